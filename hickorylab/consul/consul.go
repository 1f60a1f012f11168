// Package consul provides a stand-in for a platform that serves its key-value
// store and its server list through the Consul HTTP API. It implements a subset of
// that published API in memory. The protocol of the users' own platform is in the
// module platform.
package consul

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
	// listPollInterval is the interval at which a blocking read checks for a
	// change of the server list.
	listPollInterval = 50 * time.Millisecond
	// emptyListFilter is the only supported filter of the server list. It matches no
	// entry.
	emptyListFilter = `ServiceID == ""`
	// maxListLag is the age up to which old server lists are kept.
	maxListLag = time.Minute
)

type (
	// Faults are the failures that the stand-in simulates.
	Faults struct {
		Down          bool    `json:"down"`        // every call gets status 500
		Hang          bool    `json:"hang"`        // no call gets a response
		DelayMS       int64   `json:"delayMs"`     // latency added to every call
		LoseResponses float64 `json:"loseAnswers"` // share of writes that are applied but get status 500
		ListLagMS     int64   `json:"listLagMs"`   // delay of the server list
	}

	// Counts are the numbers of processed calls, by class. Calls that fail on arrival
	// because of Faults.Down or Faults.Hang are not counted.
	Counts struct {
		Reads   uint64 `json:"reads"`
		Writes  uint64 `json:"writes"`
		Watches uint64 `json:"watches"`
		Leases  uint64 `json:"leases"`
	}

	// Service is an entry of the server list.
	Service struct {
		ServiceID      string
		ServiceAddress string
		ServicePort    uint16
		ServiceMeta    map[string]string
	}

	// Platform is the stand-in. It is safe for concurrent use.
	Platform struct {
		mu             sync.Mutex
		index          uint64
		pairs          map[string]*pair
		sessions       map[string]*session
		changed        chan struct{} // closed and replaced on every write and change of the faults
		services       map[string]Service
		history        []listing
		listings       uint64 // number of listings recorded so far
		faults         Faults
		counts         Counts
		lossCandidates uint64 // number of applied writes under the fault LoseResponses
	}

	// pair is a key-value pair of the Consul API.
	pair struct {
		Key         string
		Value       []byte
		CreateIndex uint64
		ModifyIndex uint64
		LockIndex   uint64
		Flags       uint64
		Session     string `json:",omitempty"`
	}

	// session is a lease. The keys that a session holds are deleted when the session
	// expires or is destroyed.
	session struct {
		id      string
		ttl     time.Duration
		expires time.Time
	}

	// listing is the server list as of a time.
	listing struct {
		index    uint64
		at       time.Time
		services []Service
	}
)

// New returns a platform without keys, sessions and server list entries.
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
	if !p.applyFaults(w, r) {
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

// SetFaults replaces the simulated failures.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatchers()
}

// Counts returns the numbers of calls that were processed so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Register adds or replaces an entry of the server list.
func (p *Platform) Register(s Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[s.ServiceID] = s
	p.recordListing(time.Now())
}

// Run expires sessions until done is closed.
func (p *Platform) Run(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			p.expireSessions(time.Now())
		}
	}
}

// applyFaults simulates the set faults and reports whether the call is to be served.
func (p *Platform) applyFaults(w http.ResponseWriter, r *http.Request) bool {
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
		p.deleteKey(key)
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
		p.waitForChange(r, key, recurse, after, parseWait(query.Get("wait")))
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

// waitForChange blocks until a key has changed after an index, the platform is down
// or the wait is over.
func (p *Platform) waitForChange(r *http.Request, key string, recurse bool, after uint64, wait time.Duration) {
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

// find returns copies of the matching pairs and their highest index.
func (p *Platform) find(key string, recurse bool) ([]pair, uint64) {
	var found []pair
	newest := uint64(0)
	if !recurse {
		if stored, ok := p.pairs[key]; ok {
			return []pair{*stored}, stored.ModifyIndex
		}
		return nil, 0
	}
	for name, stored := range p.pairs {
		if strings.HasPrefix(name, key) {
			found = append(found, *stored)
			newest = max(newest, stored.ModifyIndex)
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
	lost := done && p.losesResponse()
	p.mu.Unlock()
	if lost {
		http.Error(w, "answer lost", http.StatusInternalServerError)
		return
	}
	fmt.Fprint(w, done)
}

// put writes a pair if the conditions cas and acquire hold, and reports whether it
// did. The caller holds mu.
func (p *Platform) put(key string, data []byte, cas, acquire string) bool {
	stored, exists := p.pairs[key]
	if cas != "" {
		want, err := strconv.ParseUint(cas, 10, 64)
		if err != nil || (exists && stored.ModifyIndex != want) || (!exists && want != 0) {
			return false
		}
	}
	if acquire != "" {
		if _, ok := p.sessions[acquire]; !ok {
			return false
		}
		if exists && stored.Session != "" && stored.Session != acquire {
			return false
		}
	}
	p.index++
	if !exists {
		stored = &pair{Key: key, CreateIndex: p.index}
		p.pairs[key] = stored
	}
	stored.Value = data
	stored.ModifyIndex = p.index
	if acquire != "" {
		stored.Session = acquire
		stored.LockIndex++
	}
	p.notifyWatchers()
	return true
}

// losesResponse reports whether the response to a write is lost. The lost responses
// are evenly spread over the writes.
func (p *Platform) losesResponse() bool {
	if p.faults.LoseResponses <= 0 {
		return false
	}
	p.lossCandidates++
	share := p.faults.LoseResponses
	return uint64(float64(p.lossCandidates)*share) > uint64(float64(p.lossCandidates-1)*share)
}

func (p *Platform) deleteKey(key string) {
	if _, ok := p.pairs[key]; ok {
		delete(p.pairs, key)
		p.index++
		p.notifyWatchers()
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

func (p *Platform) expireSessions(now time.Time) {
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
	for key, stored := range p.pairs {
		if stored.Session == id {
			p.deleteKey(key)
		}
	}
}

// serveCatalog writes the server list. With an index in the query, it first waits until
// the list has changed after that index or the wait is over.
func (p *Platform) serveCatalog(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	deadline := time.Now().Add(parseWait(query.Get("wait")))
	seen := p.visibleListing(time.Now())
	for after > 0 && seen.index <= after && time.Now().Before(deadline) {
		if !pause(r, listPollInterval) {
			return
		}
		seen = p.visibleListing(time.Now())
	}
	p.countRead(after > 0)
	w.Header().Set("X-Consul-Index", strconv.FormatUint(seen.index, 10))
	if query.Get("filter") == emptyListFilter {
		seen.services = []Service{}
	}
	jsonreply.Write(w, seen.services)
}

// visibleListing returns the server list that readers see, delayed by the set lag.
func (p *Platform) visibleListing(now time.Time) listing {
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
	for len(p.history) > 1 && now.Sub(p.history[1].at) > maxListLag {
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

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func parseWait(text string) time.Duration {
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
