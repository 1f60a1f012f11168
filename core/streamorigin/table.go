// Package streamorigin holds which software version of a backend server began a
// stream, and which software versions the servers of a service have had.
//
// Servers of several software versions may serve a service side by side. A stream that
// a caller resumes may go on only at a server with the version that began it. The host
// that began the stream records its origin and reports it to other hosts, so that the
// origin is known after that host has failed.
//
// The types of this package are not safe for concurrent use.
package streamorigin

import (
	"time"
	"unique"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

type (
	// Origin states which software version began a stream.
	Origin struct {
		// RequestID is the ID of the caller's attempt that received the first event
		// of the stream.
		RequestID       string
		Service         string
		SoftwareVersion string
	}

	// Table holds the origins of streams for a lifetime after their last use. Its size
	// is bounded: beyond its limit the least recently used origin is evicted.
	Table struct {
		lifetime time.Duration
		// entries are in the order of their last use, which is also the order in
		// which they expire.
		entries *simplelru.LRU[string, entry]
	}

	// entry is the origin of one stream. Only a few labels are in use at a time, so
	// all entries with a label share it.
	entry struct {
		label   unique.Handle[label]
		expires time.Time
	}

	label struct {
		service         string
		softwareVersion string
	}
)

// NewTable returns an empty table of at most limit origins. lifetime is the longest time
// after which a caller may resume a stream. limit must be above 0.
func NewTable(limit int, lifetime time.Duration) *Table {
	entries, err := simplelru.NewLRU[string, entry](limit, nil)
	if err != nil {
		panic(err) // only for a limit below 1
	}
	return &Table{lifetime: lifetime, entries: entries}
}

// Record adds the origin of a stream that began before now. The origin of a stream never
// changes: a record of a known stream only extends its lifetime.
func (t *Table) Record(now time.Time, origin Origin) {
	t.removeExpired(now)
	if t.extend(now, origin.RequestID) {
		return
	}
	t.entries.Add(origin.RequestID, entry{
		label:   unique.Make(label{service: origin.Service, softwareVersion: origin.SoftwareVersion}),
		expires: now.Add(t.lifetime),
	})
}

// Lookup returns the origin of the stream that began in a caller's attempt, and extends
// its lifetime.
func (t *Table) Lookup(now time.Time, requestID string) (Origin, bool) {
	t.removeExpired(now)
	if !t.extend(now, requestID) {
		return Origin{}, false
	}
	e, _ := t.entries.Peek(requestID)
	l := e.label.Value()
	return Origin{RequestID: requestID, Service: l.service, SoftwareVersion: l.softwareVersion}, true
}

// Origins returns the origins of the streams of a service that have not expired at now.
func (t *Table) Origins(now time.Time, service string) []Origin {
	t.removeExpired(now)
	var origins []Origin
	for _, id := range t.entries.Keys() {
		e, _ := t.entries.Peek(id)
		if l := e.label.Value(); l.service == service {
			origins = append(origins, Origin{RequestID: id, Service: service, SoftwareVersion: l.softwareVersion})
		}
	}
	return origins
}

// Len returns the number of origins in the table.
func (t *Table) Len() int {
	return t.entries.Len()
}

// extend marks an origin as used at now, and reports whether it is in the table.
func (t *Table) extend(now time.Time, requestID string) bool {
	e, ok := t.entries.Get(requestID)
	if !ok {
		return false
	}
	if expires := now.Add(t.lifetime); expires.After(e.expires) {
		e.expires = expires
	}
	t.entries.Add(requestID, e)
	return true
}

func (t *Table) removeExpired(now time.Time) {
	for {
		_, e, ok := t.entries.GetOldest()
		if !ok || now.Before(e.expires) {
			return
		}
		t.entries.RemoveOldest()
	}
}
