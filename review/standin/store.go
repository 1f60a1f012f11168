package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	changed  chan struct{}
	isDown   atomic.Bool
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
	At        uint64 `json:"at,omitempty"`
}

type lease struct {
	ends time.Time
	ttl  time.Duration
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{})}
}

// put writes a key as the operator or a worker does. While the store is down, the writer tries
// again until it is back.
func (s *store) put(key string, value any) {
	if s.isDown.Load() {
		time.AfterFunc(100*time.Millisecond, func() { s.put(key, value) })
		return
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]item{{Key: key, Value: text}}, nil)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(nil, []string{key})
}

func (s *store) commit(puts []item, removes []string) uint64 {
	s.revision++
	for _, p := range puts {
		p.Revision, p.Created = s.revision, s.revision
		if old, ok := s.items[p.Key]; ok {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, key := range removes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		var keys []string
		for key, i := range s.items {
			if i.Lease == id {
				keys = append(keys, key)
			}
		}
		if len(keys) > 0 {
			s.commit(nil, keys)
		}
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if value != nil {
		_ = json.NewEncoder(w).Encode(value)
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown.Load() {
		panic(http.ErrAbortHandler) // the connection is reset
	}
	w.Header().Set("Store-Era", "1")
	query := r.URL.Query()
	name, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/hickoryfront/"), "/")
	switch name {
	case "kv-key":
		s.mu.Lock()
		s.expire()
		i, ok := s.items[query.Get("key")]
		i.At = s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, i)
	case "kv-range":
		s.mu.Lock()
		s.expire()
		page := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, query.Get("path-prefix")) && key > query.Get("after") {
				page = append(page, i)
			}
		}
		at := s.revision
		s.mu.Unlock()
		slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		reply(w, http.StatusOK, map[string]any{"items": page, "truncated": false, "at": at})
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		s.transact(w, r)
	case "kv-lease":
		var body struct {
			TTL float64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		s.revision++
		id, ttl := s.revision, time.Duration(body.TTL)*time.Millisecond
		s.leases[id] = lease{time.Now().Add(ttl), ttl}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": body.TTL})
	case "kv-keep", "kv-lease-end":
		id, _ := strconv.ParseUint(argument, 10, 64)
		s.mu.Lock()
		s.expire()
		l, ok := s.leases[id]
		if ok {
			l.ends = time.Now().Add(l.ttl)
			if name == "kv-lease-end" {
				l.ends = time.Time{}
			}
			s.leases[id] = l
			s.expire()
		}
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
		reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("path-prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
			if s.isDown.Load() {
				panic(http.ErrAbortHandler)
			}
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"put-items"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var current []item
	holds := true
	for _, e := range t.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.commit(t.Puts, t.Remove)})
}
