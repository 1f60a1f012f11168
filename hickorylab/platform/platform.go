// Package platform is a stand-in for the platform's key-value service and host
// list. It serves a subset of the published Consul HTTP API from memory.
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hickoryfront/hickoryfront/hickorylab/internal/jsonreply"
)

const (
	maxValueBytes = 1 << 20
	defaultWait   = 5 * time.Minute
	sweepInterval = 100 * time.Millisecond
	// listPollInterval is the time between looks of a reader that waits for a
	// change of the host list.
	listPollInterval = 50 * time.Millisecond
	// noEntries is the only filter of the host list that is understood.
	noEntries = `ServiceID == ""`
	// longestLag bounds the old host lists that are kept.
	longestLag = time.Minute
)

type (
	// Faults are the failures that the stand-in acts out.
	Faults struct {
		Down        bool    `json:"down"`        // every call gets 500
		Hang        bool    `json:"hang"`        // every call gets no answer
		DelayMS     int64   `json:"delayMs"`     // added to every call
		LoseResponses float64 `json:"loseAnswers"` // share of writes that take effect and get 500
		ListLagMS   int64   `json:"listLagMs"`   // delay of the host list
	}

	// Counts are the calls that were answered, by class.
	Counts struct {
		Reads   uint64 `json:"reads"`
		Writes  uint64 `json:"writes"`
		Watches uint64 `json:"watches"`
		Leases  uint64 `json:"leases"`
	}

	// Service is one entry of the host list.
	Service struct {
		ServiceID      string
		ServiceAddress string
		ServicePort    uint16
		ServiceMeta    map[string]string
	}

	// Platform is the stand-in. It is safe for concurrent use.
	Platform struct {
		mu       sync.Mutex
		index    uint64
		pairs    map[string]*pair
		sessions map[string]*session
		changed  chan struct{} // closed and replaced on every write
		services map[string]Service
		history  []listing
		listings uint64 // recorded so far
		faults   Faults
		counts   Counts
		losses   uint64
	}

	pair struct {
		Key         string
		Value       []byte
		CreateIndex uint64
		ModifyIndex uint64
		LockIndex   uint64
		Flags       uint64
		Session     string `json:",omitempty"`
	}

	session struct {
		id      string
		ttl     time.Duration
		expires time.Time
	}

	listing struct {
		index    uint64
		at       time.Time
		services []Service
	}
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		index:    1,
		pairs:    map[string]*pair{},
		sessions: map[string]*session{},
		changed:  make(chan struct{}),
		services: map[string]Service{},
	}
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/lab/") {
		p.serveLab(w, r)
		return
	}
	if !p.admit(w, r) {
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/kv/"):
		p.serveKV(w, r, strings.TrimPrefix(r.URL.Path, "/v1/kv/"))
	case strings.HasPrefix(r.URL.Path, "/v1/session/"):
		p.serveSession(w, r, strings.TrimPrefix(r.URL.Path, "/v1/session/"))
	case strings.HasPrefix(r.URL.Path, "/v1/catalog/service/"):
		p.serveCatalog(w, r)
	case r.URL.Path == "/v1/agent/service/register":
		p.register(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/agent/service/deregister/"):
		p.deregister(strings.TrimPrefix(r.URL.Path, "/v1/agent/service/deregister/"))
	default:
		http.NotFound(w, r)
	}
}

// SetFaults replaces the failures that are acted out.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.broadcast()
}

// Counts returns the calls answered so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Register adds or replaces an entry of the host list.
func (p *Platform) Register(s Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[s.ServiceID] = s
	p.recordListing(time.Now())
}

// Run lets leases lapse until done is closed.
func (p *Platform) Run(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			p.expire(time.Now())
		}
	}
}

func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.DelayMS > 0 && !pause(r, time.Duration(f.DelayMS)*time.Millisecond) {
		return false
	}
	if f.Hang {
		<-r.Context().Done()
		return false
	}
	if f.Down {
		http.Error(w, "no cluster leader", http.StatusInternalServerError)
		return false
	}
	return true
}

func (p *Platform) serveKV(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodGet:
		p.read(w, r, key)
	case http.MethodPut:
		p.write(w, r, key)
	case http.MethodDelete:
		p.mu.Lock()
		p.counts.Writes++
		p.remove(key)
		p.mu.Unlock()
		fmt.Fprint(w, "true")
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	recurse := query.Has("recurse")
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	if after > 0 {
		p.await(r, key, recurse, after, waitOf(query.Get("wait")))
	}
	p.mu.Lock()
	if after > 0 {
		p.counts.Watches++
	} else {
		p.counts.Reads++
	}
	down := p.faults.Down
	found, newest := p.find(key, recurse)
	if newest == 0 {
		newest = p.index
	}
	p.mu.Unlock()
	if down {
		http.Error(w, "no cluster leader", http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(newest, 10))
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	jsonreply.Write(w, found)
}

// await blocks until a key changes after index, for at most wait.
func (p *Platform) await(r *http.Request, key string, recurse bool, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		_, newest := p.find(key, recurse)
		changed := p.changed
		down := p.faults.Down
		p.mu.Unlock()
		if newest > after || down {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// find returns copies of the pairs and their newest index.
func (p *Platform) find(key string, recurse bool) ([]pair, uint64) {
	var found []pair
	newest := uint64(0)
	if !recurse {
		if held, ok := p.pairs[key]; ok {
			return []pair{*held}, held.ModifyIndex
		}
		return nil, 0
	}
	for name, held := range p.pairs {
		if strings.HasPrefix(name, key) {
			found = append(found, *held)
			newest = max(newest, held.ModifyIndex)
		}
	}
	slices.SortFunc(found, func(a, b pair) int { return strings.Compare(a.Key, b.Key) })
	return found, newest
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	if len(data) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	p.mu.Lock()
	p.counts.Writes++
	done := p.put(key, data, query.Get("cas"), query.Get("acquire"))
	lost := done && p.loses()
	p.mu.Unlock()
	if lost {
		http.Error(w, "answer lost", http.StatusInternalServerError)
		return
	}
	fmt.Fprint(w, done)
}

// put writes a pair under the conditions of the query. The caller holds mu.
func (p *Platform) put(key string, data []byte, cas, acquire string) bool {
	held, exists := p.pairs[key]
	if cas != "" {
		want, err := strconv.ParseUint(cas, 10, 64)
		if err != nil || (exists && held.ModifyIndex != want) || (!exists && want != 0) {
			return false
		}
	}
	if acquire != "" {
		if _, ok := p.sessions[acquire]; !ok {
			return false
		}
		if exists && held.Session != "" && held.Session != acquire {
			return false
		}
	}
	p.index++
	if !exists {
		held = &pair{Key: key, CreateIndex: p.index}
		p.pairs[key] = held
	}
	held.Value = data
	held.ModifyIndex = p.index
	if acquire != "" {
		held.Session = acquire
		held.LockIndex++
	}
	p.broadcast()
	return true
}

// loses decides, evenly spread, whether the answer to a write is lost.
func (p *Platform) loses() bool {
	if p.faults.LoseResponses <= 0 {
		return false
	}
	p.losses++
	share := p.faults.LoseResponses
	return uint64(float64(p.losses)*share) > uint64(float64(p.losses-1)*share)
}

func (p *Platform) remove(key string) {
	if _, ok := p.pairs[key]; ok {
		delete(p.pairs, key)
		p.index++
		p.broadcast()
	}
}

func (p *Platform) serveSession(w http.ResponseWriter, r *http.Request, path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Leases++
	verb, id, _ := strings.Cut(path, "/")
	switch verb {
	case "create":
		var request struct{ TTL string }
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ttl, err := time.ParseDuration(request.TTL)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s := &session{id: uuid.NewString(), ttl: ttl, expires: time.Now().Add(ttl)}
		p.sessions[s.id] = s
		jsonreply.Write(w, map[string]string{"ID": s.id})
	case "renew":
		s, ok := p.sessions[id]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.expires = time.Now().Add(s.ttl)
		jsonreply.Write(w, []map[string]string{{"ID": s.id}})
	case "destroy":
		p.endSession(id)
		fmt.Fprint(w, "true")
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.sessions {
		if now.After(s.expires) {
			p.endSession(id)
		}
	}
}

func (p *Platform) endSession(id string) {
	delete(p.sessions, id)
	for key, held := range p.pairs {
		if held.Session == id {
			p.remove(key)
		}
	}
}

// serveCatalog answers with the list, or waits until it changes after an index.
func (p *Platform) serveCatalog(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	deadline := time.Now().Add(waitOf(query.Get("wait")))
	seen := p.visible(time.Now())
	for after > 0 && seen.index <= after && time.Now().Before(deadline) {
		if !pause(r, listPollInterval) {
			return
		}
		seen = p.visible(time.Now())
	}
	p.countRead(after > 0)
	w.Header().Set("X-Consul-Index", strconv.FormatUint(seen.index, 10))
	if query.Get("filter") == noEntries {
		seen.services = []Service{}
	}
	jsonreply.Write(w, seen.services)
}

// visible returns the list as readers see it, which is late by the set lag.
func (p *Platform) visible(now time.Time) listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now.Add(-time.Duration(p.faults.ListLagMS) * time.Millisecond)
	seen := listing{index: 1, services: []Service{}}
	for _, l := range p.history {
		if l.at.After(at) {
			break
		}
		seen = l
	}
	return seen
}

func (p *Platform) countRead(waited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waited {
		p.counts.Watches++
	} else {
		p.counts.Reads++
	}
}

func (p *Platform) recordListing(now time.Time) {
	const first = 2 // the index of the empty list is 1
	l := listing{index: first + p.listings, at: now, services: make([]Service, 0, len(p.services))}
	p.listings++
	for _, s := range p.services {
		l.services = append(l.services, s)
	}
	slices.SortFunc(l.services, func(a, b Service) int { return strings.Compare(a.ServiceID, b.ServiceID) })
	p.history = append(p.history, l)
	for len(p.history) > 1 && now.Sub(p.history[1].at) > longestLag {
		p.history = p.history[1:]
	}
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID      string
		Address string
		Port    uint16
		Meta    map[string]string
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Register(Service{ServiceID: request.ID, ServiceAddress: request.Address, ServicePort: request.Port, ServiceMeta: request.Meta})
}

func (p *Platform) deregister(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.services, id)
	p.recordListing(time.Now())
}

func (p *Platform) serveLab(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/lab/faults":
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	case "/lab/counts":
		jsonreply.Write(w, p.Counts())
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func waitOf(text string) time.Duration {
	wait, err := time.ParseDuration(text)
	if err != nil {
		return defaultWait
	}
	return wait
}

func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
