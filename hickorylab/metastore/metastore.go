// Package metastore is a stand-in for the users' metadata store. It has keys with
// revisions, ranges, watches, transactions and leases, and can simulate faults.
package metastore

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/jsonreply"
)

// Modes of the store.
const (
	// Serve processes calls normally.
	Serve Mode = iota
	// Refuse responds to every call with 503.
	Refuse
	// Hang never responds.
	Hang
)

// maxPageItems is the maximum number of items in one page of a range.
const maxPageItems = 50

type (
	// Mode is how the calls of a caller are treated.
	Mode int

	// Store is the stand-in, an http.Handler. It is safe for concurrent use.
	Store struct {
		mu sync.Mutex
		contents
		// era rises each time the store goes back to a copy.
		era     uint64
		changed chan struct{}
		modes   map[netip.Addr]Mode
		links   map[netip.Addr]*link
		hidden  string
		calls   int
	}

	// Copy is a copy of what a store contains.
	Copy struct {
		contents contents
	}

	contents struct {
		revision uint64
		items    map[string]item
		history  []item
		// compacted is the revision up to which the history was dropped.
		compacted uint64
		leases    map[uint64]time.Time
		ttls      map[uint64]time.Duration
	}

	// item is a key, or in the history a change of a key, as it is encoded.
	item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Revision  uint64 `json:"revision"`
		Created   uint64 `json:"created,omitempty"`
		Lease     uint64 `json:"lease,omitempty"`
		Tombstone bool   `json:"tombstone,omitempty"`
		At        uint64 `json:"at,omitempty"`
	}

	// transaction applies Puts and Remove if the revisions of the keys in Expected
	// are unchanged.
	transaction struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"put-items"`
		Remove   []string `json:"remove"`
	}
)

// New returns an empty store.
func New() *Store {
	return &Store{
		era: 1, contents: contents{revision: 1, items: make(map[string]item), leases: make(map[uint64]time.Time), ttls: make(map[uint64]time.Duration)},
		changed: make(chan struct{}), modes: make(map[netip.Addr]Mode), links: make(map[netip.Addr]*link),
	}
}

// SetMode sets how calls from an address are treated. The zero address stands for
// all addresses without a mode of their own.
func (s *Store) SetMode(caller netip.Addr, mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[caller] = mode
}

// SetLink sets the bandwidth of the link over which responses are sent to an address.
// Without it the link has no limit.
func (s *Store) SetLink(caller netip.Addr, bytesPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[caller] = &link{bytesPerSecond: bytesPerSecond}
}

// Hide leaves the keys with a prefix out of all ranges.
func (s *Store) Hide(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidden = prefix
}

// Put writes a key with a JSON value and returns the new revision.
func (s *Store) Put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // value has a type that JSON can't encode: an error in the test
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit(transaction{Puts: []item{{Key: key, Value: text}}})
}

// PutBytes writes a value that need not be JSON.
func (s *Store) PutBytes(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit(transaction{Puts: []item{{Key: key, Value: value}}})
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(transaction{Remove: []string{key}})
}

// Compact drops the history, so that watches from an earlier revision get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Copy returns a copy of what the store contains.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.contents.clone()}
}

// Without returns the copy without the keys that have a prefix.
func (c Copy) Without(prefix string) Copy {
	without := c.contents.clone()
	maps.DeleteFunc(without.items, func(key string, _ item) bool { return strings.HasPrefix(key, prefix) })
	return Copy{without}
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// Restore replaces what the store contains by an older copy of it. Revisions go back, and
// calls in progress get no response.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = c.contents.clone()
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode, link, era := s.modeOf(r), s.linkOf(r), s.era
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	s.mu.Unlock()
	switch mode {
	case Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Hang:
		<-r.Context().Done()
		return
	}
	if strings.HasSuffix(r.URL.Path, "/kv-watch") && link == nil {
		s.serve(w, r)
		return
	}
	response := newBufferedResponse()
	s.serve(response, r)
	s.mu.Lock()
	isReplaced := s.era != era
	s.mu.Unlock()
	if isReplaced {
		panic(http.ErrAbortHandler)
	}
	link.send(r.Context(), w, response)
}

// serve processes a call.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/hickoryfront/")
	name, argument, _ := strings.Cut(path, "/")
	switch name {
	case "kv-key":
		s.serveKey(w, query.Get("key"))
	case "kv-range":
		s.serveRange(w, query.Get("path-prefix"), query.Get("after"))
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTransaction(w, r)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep", "kv-lease-end":
		s.serveRenew(w, argument, name == "kv-lease-end")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) linkOf(r *http.Request) *link {
	caller, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return nil
	}
	return s.links[caller.Addr()]
}

func (s *Store) modeOf(r *http.Request) Mode {
	if caller, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		if mode, ok := s.modes[caller.Addr()]; ok {
			return mode
		}
	}
	return s.modes[netip.Addr{}]
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	current.At = s.revision
	jsonreply.Write(w, current)
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var page []item
	for key, current := range s.items {
		isHidden := s.hidden != "" && strings.HasPrefix(key, s.hidden)
		if strings.HasPrefix(key, prefix) && key > after && !isHidden {
			page = append(page, current)
		}
	}
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	isTruncated := len(page) > maxPageItems
	jsonreply.Write(w, map[string]any{"items": page[:min(len(page), maxPageItems)], "truncated": isTruncated, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expire()
		events, at, changed := s.eventsAfter(query.Get("path-prefix"), after), s.revision, s.changed
		isCompacted, isReplaced := after < s.compacted || after > s.revision, s.era != era
		s.mu.Unlock()
		if isReplaced {
			panic(http.ErrAbortHandler)
		}
		if isCompacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			jsonreply.Write(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			jsonreply.Write(w, map[string]any{"events": []item{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after uint64) []item {
	var events []item
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, condition := range t.Expected {
		if s.items[condition.Key].Revision != condition.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			jsonreply.Write(w, map[string]any{"items": s.expected(t.Expected)})
			return
		}
	}
	for _, put := range t.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	jsonreply.Write(w, map[string]any{"revision": s.commit(t)})
}

// expected returns the current items of the keys of conditions. The caller holds mu.
func (s *Store) expected(conditions []item) []item {
	current := []item{}
	for _, condition := range conditions {
		if found, ok := s.items[condition.Key]; ok {
			current = append(current, found)
		}
	}
	return current
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL float64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision], s.ttls[s.revision] = time.Now().Add(ttl), ttl
	jsonreply.Write(w, map[string]any{"lease": s.revision, "ttl-ms": body.TTL})
}

func (s *Store) serveRenew(w http.ResponseWriter, argument string, isEnd bool) {
	lease, _ := strconv.ParseUint(argument, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.leases[lease]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[lease] = time.Now().Add(s.ttls[lease])
	if isEnd {
		s.leases[lease] = time.Time{}
		s.expire()
	}
	jsonreply.Write(w, map[string]any{"ttl-ms": float64(s.ttls[lease].Milliseconds())})
}

// commit applies a transaction whose conditions hold and returns the new revision.
// The caller holds mu.
func (s *Store) commit(t transaction) uint64 {
	s.revision++
	for _, put := range t.Puts {
		put.Revision, put.Created = s.revision, s.revision
		if current, ok := s.items[put.Key]; ok {
			put.Created = current.Created
		}
		s.items[put.Key] = put
		s.history = append(s.history, put)
	}
	for _, key := range t.Remove {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// expire ends leases whose TTL has passed and removes their keys. The caller holds mu.
func (s *Store) expire() {
	for lease, expiry := range s.leases {
		if time.Now().Before(expiry) {
			continue
		}
		delete(s.leases, lease)
		for key, current := range s.items {
			if current.Lease == lease {
				s.commit(transaction{Remove: []string{key}})
			}
		}
	}
}

func (c contents) clone() contents {
	c.items, c.history = maps.Clone(c.items), slices.Clone(c.history)
	c.leases, c.ttls = maps.Clone(c.leases), maps.Clone(c.ttls)
	return c
}
