// Package config holds the operators' configuration: profiles, services,
// workspaces, host entries and pools. It parses and checks the INI text of each
// entry and applies changes to a Document. Every change that is applied raises
// the document's revision by one. The package performs no I/O.
package config

import (
	"maps"
	"slices"
	"time"
)

const (
	// KindProfile entries set the targets, limits and retry rules of services.
	KindProfile Kind = "profile"
	// KindService entries bind a service to a profile.
	KindService Kind = "service"
	// KindWorkspace entries configure the callers' workspaces.
	KindWorkspace Kind = "workspace"
	// KindHost entries drain hosts that run hickoryfront.
	KindHost Kind = "host"
	// KindPool entries set the version, adapters and roles of a model's engines.
	KindPool Kind = "pool"

	// ClassInteractive requests take precedence over deferrable ones everywhere.
	ClassInteractive Class = "interactive"
	// ClassDeferrable requests may wait for free capacity.
	ClassDeferrable Class = "deferrable"

	// ServiceModel services run on model engines.
	ServiceModel ServiceKind = "model"
	// ServicePlain services run on plain HTTP servers.
	ServicePlain ServiceKind = "plain"
)

type (
	// Kind is the kind of a configuration entry.
	Kind string

	// Class is the priority class of a service's requests.
	Class string

	// ServiceKind is the kind of backend server that a service runs on.
	ServiceKind string

	// Entry is the INI text of one named configuration object.
	Entry struct {
		Kind     Kind   `json:"kind"`
		Name     string `json:"name"`
		Text     string `json:"text"`
		Revision uint64 `json:"revision"` // revision of the change that wrote the entry
	}

	// Edit replaces one entry, or deletes it when Text is empty.
	Edit struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name"`
		Text string `json:"text,omitempty"`
		Base uint64 `json:"base"` // entry revision that the operator has seen; 0: no such entry
	}

	// Change is a set of edits that are applied atomically.
	Change struct {
		Revision uint64    `json:"revision"`
		Author   string    `json:"author"`
		At       time.Time `json:"at"`
		WriteID  string    `json:"attempt"` // identifies the write when the response to it was lost
		Edits    []Edit    `json:"edits"`
		// Since is the newest revision that the author had seen when the change
		// was first sent; 0 means unknown. When a change is retried, the search
		// for its write ID starts after this revision.
		Since uint64 `json:"-"`
	}

	// Profile sets the targets, limits and retry rules of services. A duration
	// of zero is not set.
	Profile struct {
		Name string

		FirstTokenTarget time.Duration // time to the first token
		TokenGapTarget   time.Duration // time between tokens
		ResponseTarget   time.Duration // time to the complete response of a plain call
		Objective        float64       // share of requests that must meet the targets

		Class                Class
		MaxWait              time.Duration // longest wait for a slot before the request is refused
		AgeAfter             time.Duration // wait after which a deferrable request takes turns with interactive ones
		GoodputWeight        float64       // weight of responses within the targets
		WasteWeight          float64       // weight of prefill work that is not used
		DirectPrompt         int           // prompts of up to this many tokens may skip the prefill servers
		MaxBodyBytes         int64
		MaxTokens            int           // maximum number of tokens of one response
		RetryRatio           float64       // retries per first attempt, as a budget of the service
		RetryHorizon         time.Duration // time within which a caller may reuse an idempotency key
		NonRepeatableMethods []string      // HTTP methods that need an idempotency key
		MaxSilentGaps        int           // target token gaps without data after which a stream is resumed
		SlowReaderTimeout    time.Duration // longest total time that writes of a completion may wait for its caller to read
		AttemptTimeout       time.Duration // longest run time of a plain call with an idempotency key
		LegacyAddress        string        // base URL of the scripts that serve the calls of disabled services
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

	// Host is the operators' entry about one host that runs hickoryfront.
	Host struct {
		Name  string
		Drain bool
	}

	// Pool is the desired state of the engines that are listed with a model.
	Pool struct {
		Name      string
		Model     string
		Version   string
		Adapters  []string
		Prefill   int     // engines in the prefill role; 0 in both roles leaves the roles unchanged
		Decode    int     // engines in the decode role
		LoadShare float64 // largest share of the pool that may load weights at once
	}

	// Document is the complete configuration at one revision. It is immutable:
	// Apply returns a new document.
	Document struct {
		Revision   uint64
		Entries    map[EntryKey]Entry
		Profiles   map[string]Profile
		Services   map[string]Service
		Workspaces map[string]Workspace
		Hosts      map[string]Host
		Pools      map[string]Pool
	}

	// EntryKey identifies an entry.
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

// FromEntries builds a document from stored entries. It fails with ErrInvalid
// when an entry or a reference between entries is invalid.
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

// ServiceForModel returns the model service that serves model, whether or not
// it is enabled. It reports false when no service or more than one matches.
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
