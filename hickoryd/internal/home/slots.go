// Package home runs what this daemon is the home of: the slots of decode
// servers and the claims of idempotency keys.
package home

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/admission"
	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/core/slot"
)

const (
	loadInterval = 200 * time.Millisecond
	// loadsPerInterval bounds the servers that are read in one interval, in
	// rotation, so that a home of many servers stays within its share of
	// processor and network.
	loadsPerInterval = 6
	loadTimeout      = time.Second
)

// ErrNotHome means that another daemon is the home.
var ErrNotHome = errors.New("not the home of this server")

type (
	// Membership is what homes need of the fleet.
	Membership interface {
		Self() member.Host
		HomeHosts(now time.Time) *rendezvous.HostSet
		IsAlive(now time.Time, name string, incarnation uint64) bool
	}

	// Directory is what homes need of the backend servers.
	Directory interface {
		// Version changes whenever Servers would return something else.
		Version() uint64
		Servers() []backend.Server
		ObserveRemote(load backend.Load)
	}

	// Engines is what the home of a slot needs of the engines.
	Engines interface {
		Load(ctx context.Context, server backend.Server) (backend.Load, error)
	}

	// Canceller ends requests at engines until they confirm.
	Canceller interface {
		Cancel(server backend.Server, requestID string, confirmed func())
	}

	// Slots is the ledger of the servers whose home is this daemon. It is
	// safe for concurrent use.
	Slots struct {
		membership Membership
		directory  Directory
		engines    Engines
		canceller  Canceller
		logger     log.Interface
		granted    *metrics.Counter
		refused    *metrics.Counter
		reclaimed  *metrics.Counter

		mu         sync.Mutex
		ledger     *slot.Ledger
		prefills   *slot.PrefillLedger
		gaps       map[string]*admission.GapModel // by server
		gapTargets map[string]time.Duration       // by server, of the newest request
		servers    map[string]backend.Server
		reclaiming map[string]bool // by request id
		reading    map[string]bool // servers whose load is being read
		readers    sync.WaitGroup
		lastRead   string       // server whose load was read last; of Run alone
		owned      ownedServers // of Run alone

		adoptedRing    *rendezvous.HostSet // of Run alone
		adoptedVersion uint64              // of Run alone
	}
)

// NewSlots returns an empty ledger.
func NewSlots(directory Directory, engines Engines, canceller Canceller, logger log.Interface, set *metrics.Set) *Slots {
	return &Slots{
		directory:  directory,
		engines:    engines,
		canceller:  canceller,
		logger:     logger,
		granted:    set.NewCounter(`hickoryfront_reservations_total{result="granted"}`),
		refused:    set.NewCounter(`hickoryfront_reservations_total{result="refused"}`),
		reclaimed:  set.NewCounter(`hickoryfront_reservations_reclaimed_total`),
		ledger:     slot.NewLedger(),
		prefills:   slot.NewPrefillLedger(),
		gaps:       map[string]*admission.GapModel{},
		gapTargets: map[string]time.Duration{},
		servers:    map[string]backend.Server{},
		reclaiming: map[string]bool{},
		reading:    map[string]bool{},
	}
}

// Join sets the membership. It is called once, before Run.
func (s *Slots) Join(membership Membership) {
	s.membership = membership
}

// Reserve grants a slot. The errors are ErrNotHome and those of the ledger.
func (s *Slots) Reserve(now time.Time, serverID string, r slot.Reservation) (backend.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.servers[serverID]; !ok {
		return backend.Load{}, ErrNotHome
	}
	if r.TokenGap > 0 {
		s.gapTargets[serverID] = r.TokenGap
	}
	err := s.ledger.Reserve(now, serverID, r)
	if err != nil {
		s.refused.Inc()
	} else {
		s.granted.Inc()
	}
	load, _ := s.digest(now, serverID)
	return load, err
}

// Force records a slot that was taken without asking.
func (s *Slots) Force(now time.Time, serverID string, r slot.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.RecordForced(now, serverID, r)
}

// Release gives a slot back.
func (s *Slots) Release(serverID, requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.ledger.Release(now, serverID, requestID)
	s.prefills.Release(now, serverID, requestID)
}

// LocalLoads returns the digests of the servers whose home is this daemon.
func (s *Slots) LocalLoads(now time.Time) []backend.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make([]backend.Load, 0, len(s.servers))
	for id := range s.servers {
		if load, ok := s.digest(now, id); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// ObserveRemote passes digests of other homes to the directory.
func (s *Slots) ObserveRemote(load backend.Load) {
	s.directory.ObserveRemote(load)
}

// Run follows the list and the engines' loads until ctx ends.
func (s *Slots) Run(ctx context.Context) {
	defer s.readers.Wait()
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		s.adopt(time.Now())
		s.readLoads(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// adopt tracks the servers whose home is this daemon and forgets the others.
func (s *Slots) adopt(now time.Time) {
	homes, version := s.membership.HomeHosts(now), s.directory.Version()
	if homes != s.adoptedRing || version != s.adoptedVersion {
		s.adoptListed(homes)
		s.adoptedRing, s.adoptedVersion = homes, version
	}
	alive := s.aliveAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefills.Expire(now, prefillLimit, alive)
}

// adoptListed goes through the list, whose length is that of the whole fleet.
func (s *Slots) adoptListed(homes *rendezvous.HostSet) {
	listed := s.directory.Servers()
	s.owned.follow(homes, s.membership.Self().Name, len(listed))
	mine := map[string]backend.Server{}
	for _, server := range listed {
		if server.Role != backend.RolePlain && s.owned.has(server.ID) {
			mine[server.ID] = server
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.servers {
		if _, ok := mine[id]; !ok {
			s.forgetServer(id)
		}
	}
	for _, server := range mine {
		s.ledger.Track(server)
		if server.Role == backend.RolePrefill {
			s.prefills.Track(server)
		}
	}
	s.servers = mine
}

// readLoads begins to read the loads of all servers but those that have not
// answered the last time yet: one that is frozen must not delay the others.
func (s *Slots) readLoads(ctx context.Context) {
	for _, server := range s.nextToRead() {
		if s.beginRead(server.ID) {
			reader := loadReader{slots: s, server: server}
			s.readers.Go(func() { reader.run(ctx) })
		}
	}
}

func (s *Slots) beginRead(serverID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading[serverID] {
		return false
	}
	s.reading[serverID] = true
	return true
}

func (s *Slots) endRead(serverID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reading, serverID)
}

// nextToRead returns the servers whose turn it is.
func (s *Slots) nextToRead() []backend.Server {
	servers := s.tracked()
	slices.SortFunc(servers, func(a, b backend.Server) int { return cmp.Compare(a.ID, b.ID) })
	if len(servers) <= loadsPerInterval {
		return servers
	}
	start, found := slices.BinarySearchFunc(servers, s.lastRead, func(a backend.Server, id string) int { return cmp.Compare(a.ID, id) })
	if found {
		start++
	}
	next := make([]backend.Server, 0, loadsPerInterval)
	for i := range loadsPerInterval {
		next = append(next, servers[(start+i)%len(servers)])
	}
	s.lastRead = next[len(next)-1].ID
	return next
}

func (s *Slots) tracked() []backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := make([]backend.Server, 0, len(s.servers))
	for _, server := range s.servers {
		servers = append(servers, server)
	}
	return servers
}

// audit returns what must be asked about the requests of one server.
func (s *Slots) audit(now time.Time, serverID string, running []string) []slot.AuditQuery {
	alive := s.aliveAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Audit(now, serverID, running, alive)
}

// auditDue returns how long after the last audit of a server the next is due.
func (s *Slots) auditDue(now time.Time, serverID string) time.Duration {
	alive := s.aliveAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.AuditInterval(serverID, alive)
}

// judge takes in a verdict and ends the attempt where that is due. It returns
// whether a cancellation was begun.
func (s *Slots) judge(now time.Time, server backend.Server, requestID string, verdict slot.AuditResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.ApplyAuditResult(now, server.ID, requestID, verdict, adoptedLifetime) || s.reclaiming[requestID] {
		return false
	}
	s.reclaiming[requestID] = true
	s.reclaimed.Inc()
	s.canceller.Cancel(server, requestID, s.released(server.ID, requestID))
	return true
}

func (s *Slots) aliveAt(now time.Time) func(slot.Holder) bool {
	return func(h slot.Holder) bool { return s.membership.IsAlive(now, h.Host, h.Incarnation) }
}

func (s *Slots) released(serverID, requestID string) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ledger.Release(time.Now(), serverID, requestID)
		delete(s.reclaiming, requestID)
	}
}

type loadReader struct {
	slots  *Slots
	server backend.Server
}

func (r loadReader) run(ctx context.Context) {
	defer r.slots.endRead(r.server.ID)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := r.slots.engines.Load(ctx, r.server)
	r.slots.mu.Lock()
	r.slots.ledger.SetReachable(r.server.ID, err == nil)
	r.slots.prefills.SetReachable(r.server.ID, err == nil)
	if err != nil {
		r.slots.mu.Unlock()
		return
	}
	digest, ok := r.slots.observe(time.Now(), r.server, load)
	r.slots.mu.Unlock()
	if ok {
		r.slots.directory.ObserveRemote(digest)
	}
}
