// Package config holds the operators' configuration: profiles, services,
// workspaces and host entries. It parses and checks their INI text and decides
// how changes apply. It does no input or output.
package config

import (
	"maps"
	"slices"
	"time"
)

const (
	// KindProfile entries say how a service is run.
	KindProfile Kind = "profile"
	// KindService entries bind a service to a profile.
	KindService Kind = "service"
	// KindWorkspace entries name the callers' workspaces.
	KindWorkspace Kind = "workspace"
	// KindHost entries drain hosts of the system itself.
	KindHost Kind = "host"
	// KindPool entries say what the engines of a model should run.
	KindPool Kind = "pool"

	// ClassInteractive requests go first everywhere.
	ClassInteractive Class = "interactive"
	// ClassDeferrable requests can wait.
	ClassDeferrable Class = "deferrable"

	// ServiceModel services are answered by model engines.
	ServiceModel ServiceKind = "model"
	// ServicePlain services are answered by plain servers.
	ServicePlain ServiceKind = "plain"
)

type (
	// Kind is the kind of a configuration entry.
	Kind string

	// Class is the urgency of a service's requests.
	Class string

	// ServiceKind says what answers a service.
	ServiceKind string

	// Entry is one named configuration text.
	Entry struct {
		Kind     Kind   `json:"kind"`
		Name     string `json:"name"`
		Text     string `json:"text"`
		Revision uint64 `json:"revision"` // change that wrote it
	}

	// Edit replaces or deletes one entry. An empty Text deletes.
	Edit struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name"`
		Text string `json:"text,omitempty"`
		Base uint64 `json:"base"` // entry revision the operator has seen; 0: none
	}

	// Change is a set of edits that applies whole or not at all.
	Change struct {
		Revision uint64    `json:"revision"`
		Author   string    `json:"author"`
		At       time.Time `json:"at"`
		Attempt  string    `json:"attempt"` // recognises this write after a lost answer
		Edits    []Edit    `json:"edits"`
		// Since is the newest revision that the author had seen when the change
		// was first sent; 0 means unknown. It bounds the search for the attempt
		// of a change that is sent again.
		Since uint64 `json:"-"`
	}

	// Profile says how a service is run. Durations of zero are unset.
	Profile struct {
		Name string

		FirstTokenTarget time.Duration
		TokenGapTarget   time.Duration
		ResponseTarget   time.Duration
		Objective        float64 // share of answers within the targets

		Class                Class
		MaxWait              time.Duration
		AgeAfter             time.Duration
		GoodputWeight        float64
		WasteWeight          float64
		DirectPrompt         int // prompts up to this many tokens may skip prefill servers
		MaxBodyBytes         int64
		MaxTokens            int
		RetryRatio           float64
		RetryHorizon         time.Duration
		NonRepeatableMethods []string // HTTP methods that need an idempotency key
		MaxSilentGaps        int      // token gaps without data before a stream is resumed
		SlowReaderTimeout    time.Duration
		AttemptTimeout       time.Duration
		LegacyAddress        string // base URL of the scripts that serve unbound calls
	}

	// Service binds a service to its profile.
	Service struct {
		Name    string
		Kind    ServiceKind
		Model   string
		Profile string
		Enabled bool // false: calls go to the profile's legacy address
	}

	// Workspace is one tenant of a caller.
	Workspace struct {
		Name  string
		Share float64 // weight in fair sharing
	}

	// Host is an operators' entry about one host of the system.
	Host struct {
		Name  string
		Drain bool
	}

	// Pool says what the engines that are listed with a model should run.
	Pool struct {
		Name      string
		Model     string
		Version   string
		Adapters  []string
		Prefill   int     // engines in this role; 0 for both roles: left as they are
		Decode    int     // engines in this role
		LoadShare float64 // largest share of the pool that loads weights at once
	}

	// Document is the whole configuration at one revision. It is immutable:
	// Apply returns a new one.
	Document struct {
		Revision   uint64
		Entries    map[EntryKey]Entry
		Profiles   map[string]Profile
		Services   map[string]Service
		Workspaces map[string]Workspace
		Hosts      map[string]Host
		Pools      map[string]Pool
	}

	// EntryKey names an entry.
	EntryKey struct {
		Kind Kind
		Name string
	}
)

// NewDocument returns the empty configuration at revision 0.
func NewDocument() *Document {
	return &Document{
		Entries:    map[EntryKey]Entry{},
		Profiles:   map[string]Profile{},
		Services:   map[string]Service{},
		Workspaces: map[string]Workspace{},
		Hosts:      map[string]Host{},
		Pools:      map[string]Pool{},
	}
}

// FromEntries builds a document from stored entries.
func FromEntries(revision uint64, entries []Entry) (*Document, error) {
	d := NewDocument()
	d.Revision = revision
	for _, e := range entries {
		if err := d.put(e); err != nil {
			return nil, err
		}
	}
	return d, d.checkReferences()
}

// List returns all entries sorted by kind and name.
func (d *Document) List() []Entry {
	entries := slices.Collect(maps.Values(d.Entries))
	slices.SortFunc(entries, compareEntries)
	return entries
}

// ServiceForModel returns the only enabled model service that serves model.
func (d *Document) ServiceForModel(model string) (Service, bool) {
	var found Service
	matches := 0
	for _, s := range d.Services {
		if s.Kind == ServiceModel && s.Model == model {
			found = s
			matches++
		}
	}
	return found, matches == 1
}

func (d *Document) clone() *Document {
	return &Document{
		Revision:   d.Revision,
		Entries:    maps.Clone(d.Entries),
		Profiles:   maps.Clone(d.Profiles),
		Services:   maps.Clone(d.Services),
		Workspaces: maps.Clone(d.Workspaces),
		Hosts:      maps.Clone(d.Hosts),
		Pools:      maps.Clone(d.Pools),
	}
}
