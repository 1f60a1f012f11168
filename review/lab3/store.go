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

// store is a stand-in of the platform's metadata store (PROTOCOL). It keeps the whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	next     uint64
	changed  chan struct{}
	// isDown makes every call fail until it is cleared: its connection is reset.
	isDown bool
	era    uint64
	conns  map[net.Conn]bool
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

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *store {
	s := &store{revision: 10, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), era: 1, conns: map[net.Conn]bool{}}
	go s.expireLoop()
	return s
}

func (s *store) expireLoop() {
	for {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if !s.isDown && now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) note(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator or a worker does.
func (s *store) Put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, text, 0)
}

// Remove removes a key.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// SetDown makes the store reset all connections, or serve again.
func (s *store) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	if isDown {
		for c := range s.conns {
			reset(c)
		}
	}
}

// Copy returns a copy of the store.
func (s *store) Copy() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &store{revision: s.revision, items: map[string]item{}, leases: map[uint64]*lease{}, next: s.next}
	for key, i := range s.items {
		c.items[key] = i
	}
	c.events = append(c.events, s.events...)
	for id, l := range s.leases {
		c.leases[id] = &lease{l.ttl, l.expires}
	}
	return c
}

// Restore replaces the store by an older copy, in the next era.
func (s *store) Restore(c *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.events, s.leases = c.revision, c.items, c.events, c.leases
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// view serves the store to one host, with the addresses at which that host reaches the workers.
type view struct {
	*store
	rewrite func(key string, value []byte) []byte
}

func (v view) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: v, ConnState: func(c net.Conn, state http.ConnState) {
		v.mu.Lock()
		defer v.mu.Unlock()
		switch state {
		case http.StateNew:
			v.conns[c] = true
			if v.isDown {
				reset(c)
			}
		case http.StateClosed, http.StateHijacked:
			delete(v.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	return nil
}

func (v view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isDown {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(v.era, 10))
	answer := func(status int, body any) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	show := func(i item) item {
		if !i.Tombstone {
			i.Value = v.rewrite(i.Key, i.Value)
		}
		return i
	}
	query := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/hickoryfront/")
	switch {
	case path == "kv-key":
		i, ok := v.items[query.Get("key")]
		if !ok {
			answer(404, map[string]any{})
			return
		}
		i = show(i)
		i.At = v.revision
		answer(200, i)
	case path == "kv-range":
		keys := []string{}
		for key := range v.items {
			if strings.HasPrefix(key, query.Get("path-prefix")) && key > query.Get("after") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		items := []item{}
		for _, key := range keys {
			items = append(items, show(v.items[key]))
		}
		answer(200, map[string]any{"items": items, "truncated": false, "at": v.revision})
	case path == "kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		until := time.After(time.Duration(wait) * time.Millisecond)
		if after > v.revision {
			answer(410, map[string]any{})
			return
		}
		for {
			events := []item{}
			for _, e := range v.events {
				if e.Revision > after && strings.HasPrefix(e.Key, query.Get("path-prefix")) {
					events = append(events, show(e))
				}
			}
			if len(events) > 0 {
				answer(200, map[string]any{"events": events, "at": v.revision})
				return
			}
			changed := v.changed
			v.mu.Unlock()
			isOver := false
			select {
			case <-changed:
			case <-until:
				isOver = true
			case <-r.Context().Done():
				isOver = true
			}
			v.mu.Lock()
			if isOver {
				answer(200, map[string]any{"events": events, "at": v.revision})
				return
			}
		}
	case path == "kv-txn":
		var t struct {
			Expected []struct {
				Key      string `json:"key"`
				Revision uint64 `json:"revision"`
			} `json:"expected"`
			Puts []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
				Lease uint64 `json:"lease"`
			} `json:"put-items"`
			Remove []string `json:"remove"`
		}
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			answer(400, map[string]any{})
			return
		}
		holds, current := true, []item{}
		for _, e := range t.Expected {
			i, ok := v.items[e.Key]
			if ok {
				current = append(current, i)
			}
			if i.Revision != e.Revision {
				holds = false
			}
		}
		if !holds {
			answer(412, map[string]any{"items": current})
			return
		}
		for _, p := range t.Puts {
			if _, ok := v.leases[p.Lease]; p.Lease != 0 && !ok {
				answer(404, map[string]any{})
				return
			}
			if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
				answer(403, map[string]any{})
				return
			}
		}
		for _, p := range t.Puts {
			v.put(p.Key, p.Value, p.Lease)
		}
		for _, key := range t.Remove {
			v.remove(key)
		}
		answer(200, map[string]any{"revision": v.revision})
	case path == "kv-lease":
		var t struct {
			TTL float64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&t)
		v.next++
		ttl := time.Duration(max(t.TTL, 1000)) * time.Millisecond
		v.leases[v.next] = &lease{ttl, time.Now().Add(ttl)}
		answer(200, map[string]any{"lease": v.next, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.Index(path, "/")+1:], 10, 64)
		l, ok := v.leases[id]
		if !ok {
			answer(404, map[string]any{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		if r.Method == http.MethodDelete {
			v.endLease(id)
		}
		answer(200, map[string]any{})
	default:
		answer(404, map[string]any{})
	}
}
