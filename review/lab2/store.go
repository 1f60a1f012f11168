package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: keys with revisions, ranges, watches,
// transactions and leases.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration
	changed  chan struct{}
	// down makes every call of the store wait without an answer.
	down bool
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	At        uint64 `json:"at,omitempty"`
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, changed: make(chan struct{})}
}

// put writes a key as the operator or a worker does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]item{{Key: key, Value: text}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.commit(nil, []string{key})
	}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) commit(puts []item, removed []string) uint64 {
	s.revision++
	for _, p := range puts {
		p.Revision, p.Created = s.revision, s.revision
		if old, ok := s.items[p.Key]; ok {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, key := range removed {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
	s.signal()
	return s.revision
}

func (s *store) expire() {
	now := time.Now()
	for lease, end := range s.leases {
		if now.Before(end) {
			continue
		}
		delete(s.leases, lease)
		for key, it := range s.items {
			if it.Lease == lease {
				s.commit(nil, []string{key})
			}
		}
	}
}

func (s *store) serve(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return l, nil
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ServeHTTP serves the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	name, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/hickoryfront/"), "/")
	switch name {
	case "kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		it, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		it.At = s.revision
		reply(w, it)
	case "kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		page := []item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("path-prefix")) && key > q.Get("after") {
				page = append(page, it)
			}
		}
		sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
		n := min(len(page), 500)
		reply(w, map[string]any{"items": page[:n], "truncated": n < len(page), "at": s.revision})
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		var t struct {
			Expected []item   `json:"expected"`
			Puts     []item   `json:"put-items"`
			Remove   []string `json:"remove"`
		}
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		for _, e := range t.Expected {
			if s.items[e.Key].Revision != e.Revision {
				current := []item{}
				for _, x := range t.Expected {
					if it, ok := s.items[x.Key]; ok {
						current = append(current, it)
					}
				}
				w.WriteHeader(http.StatusPreconditionFailed)
				reply(w, map[string]any{"items": current})
				return
			}
		}
		for _, p := range t.Puts {
			if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
				w.WriteHeader(http.StatusNotFound)
				return
			}
		}
		reply(w, map[string]any{"revision": s.commit(t.Puts, t.Remove)})
	case "kv-lease":
		var b struct {
			TTL float64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		ttl := time.Duration(b.TTL * float64(time.Millisecond))
		s.leases[s.revision], s.ttls[s.revision] = time.Now().Add(ttl), ttl
		reply(w, map[string]any{"lease": s.revision, "ttl-ms": b.TTL})
	case "kv-keep", "kv-lease-end":
		id, _ := strconv.ParseUint(argument, 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		if _, ok := s.leases[id]; !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.leases[id] = time.Now().Add(s.ttls[id])
		if name == "kv-lease-end" {
			s.leases[id] = time.Time{}
			s.expire()
		}
		reply(w, map[string]any{"ttl-ms": s.ttls[id].Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path-prefix")) {
				events = append(events, e)
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
