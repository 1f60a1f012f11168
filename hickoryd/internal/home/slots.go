// Package home implements the duties of a daemon as a home, and the calls to other
// homes.
//
// The home of a backend server is the daemon that owns the server's slot or prefill
// ledger. It reads the server's load, grants reservations, indexes the server's
// prefix cache and audits the requests that the server runs. The home of an
// idempotency key decides on the claims of the key; package claim explains epochs,
// grants, journals and witnesses. The home of a request fingerprint counts the
// server crashes with that fingerprint.
//
// Homes are chosen by rendezvous hashing: those of servers and fingerprints from the
// hosts that are alive and not draining, those of keys from the members of the epoch
// in force.
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
	// loadsPerInterval limits the servers whose load is read in one interval. A
	// home of more servers reads them in rotation and so stays within its share of
	// processor time and network bandwidth.
	loadsPerInterval = 6
	loadTimeout      = time.Second
)

// ErrNotHome means that another daemon is the home.
var ErrNotHome = errors.New("not the home of this server")

type (
	// Membership is the part of the host membership that Slots uses.
	Membership interface {
		Self() member.Host
		HomeHosts(now time.Time) *rendezvous.HostSet
		IsAlive(now time.Time, name string, incarnation uint64) bool
	}

	// Directory lists the backend servers and receives their loads.
	Directory interface {
		// Version changes whenever the result of Servers changes.
		Version() uint64
		Servers() []backend.Server
		ObserveLoad(load backend.Load)
	}

	// Engines reads the load reports of the engines.
	Engines interface {
		Load(ctx context.Context, server backend.Server) (backend.Load, error)
	}

	// Canceller cancels requests at engines and retries until the engine confirms.
	Canceller interface {
		Cancel(server backend.Server, attemptID string, confirmed func())
	}

	// Slots holds the slot and prefill ledgers of the servers whose home is this
	// daemon, and reads the servers' loads. It is safe for concurrent use.
	Slots struct {
		membership Membership
		directory  Directory
		engines    Engines
		canceller  Canceller
		logger     log.Interface
		granted    *metrics.Counter
		refused    *metrics.Counter
		reclaimed  *metrics.Counter

		mu          sync.Mutex
		ledger      *slot.Ledger
		prefills    *slot.PrefillLedger
		gapModels   map[string]*admission.GapModel // by server
		gapTargets  map[string]time.Duration       // by server: target of the newest request that has one
		servers     map[string]backend.Server
		reclaiming  map[string]bool // by attempt ID: a cancellation is under way
		activeReads map[string]bool // servers whose load is being read
		readers     sync.WaitGroup
		lastRead    string       // server whose load was read last; used only by Run
		ownership   ownedServers // used only by Run

		trackedHomes   *rendezvous.HostSet // used only by Run
		trackedVersion uint64              // used only by Run
	}
)

// NewSlots returns empty ledgers.
func NewSlots(directory Directory, engines Engines, canceller Canceller, logger log.Interface, set *metrics.Set) *Slots {
	return &Slots{
		directory:   directory,
		engines:     engines,
		canceller:   canceller,
		logger:      logger,
		granted:     set.NewCounter(`hickoryfront_reservations_total{result="granted"}`),
		refused:     set.NewCounter(`hickoryfront_reservations_total{result="refused"}`),
		reclaimed:   set.NewCounter(`hickoryfront_reservations_reclaimed_total`),
		ledger:      slot.NewLedger(),
		prefills:    slot.NewPrefillLedger(),
		gapModels:   map[string]*admission.GapModel{},
		gapTargets:  map[string]time.Duration{},
		servers:     map[string]backend.Server{},
		reclaiming:  map[string]bool{},
		activeReads: map[string]bool{},
	}
}

// SetMembership sets the membership. It is called once, before Run.
func (s *Slots) SetMembership(membership Membership) {
	s.membership = membership
}

// Reserve grants a slot and returns the load of the server. The errors are
// ErrNotHome and those of the ledger.
func (s *Slots) Reserve(now time.Time, serverID string, r slot.Reservation) (backend.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.servers[serverID]; !ok {
		return backend.Load{}, ErrNotHome
	}
	if r.TokenGapTarget > 0 {
		s.gapTargets[serverID] = r.TokenGapTarget
	}
	err := s.ledger.Reserve(now, serverID, r)
	if err != nil {
		s.refused.Inc()
	} else {
		s.granted.Inc()
	}
	load, _ := s.publishedLoad(now, serverID)
	return load, err
}

// RecordForced records a slot that its holder has already: the holder took the slot
// without a response from this home, or its terms have changed.
func (s *Slots) RecordForced(now time.Time, serverID string, r slot.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.RecordForced(now, serverID, r)
}

// Release ends the slot reservation or the prefill of an attempt.
func (s *Slots) Release(serverID, attemptID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.ledger.Release(now, serverID, attemptID)
	s.prefills.Release(now, serverID, attemptID)
}

// LocalLoads returns the published loads of the servers whose home is this daemon.
func (s *Slots) LocalLoads(now time.Time) []backend.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make([]backend.Load, 0, len(s.servers))
	for id := range s.servers {
		if load, ok := s.publishedLoad(now, id); ok {
			loads = append(loads, load)
		}
	}
	return loads
}

// ObserveLoad passes a published load to the directory.
func (s *Slots) ObserveLoad(load backend.Load) {
	s.directory.ObserveLoad(load)
}

// Run follows the server list and reads the engines' loads until ctx ends.
func (s *Slots) Run(ctx context.Context) {
	defer s.readers.Wait()
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		s.trackOwned(time.Now())
		s.readLoads(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// trackOwned tracks the servers whose home is this daemon, removes the others, and
// removes expired prefills.
func (s *Slots) trackOwned(now time.Time) {
	homes, version := s.membership.HomeHosts(now), s.directory.Version()
	if homes != s.trackedHomes || version != s.trackedVersion {
		s.trackListed(homes)
		s.trackedHomes, s.trackedVersion = homes, version
	}
	alive := s.isAliveAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefills.Expire(now, maxPrefillAge, alive)
}

// trackListed scans the complete server list. trackOwned skips it while neither the
// hosts nor the list have changed, because the list has every server of the fleet.
func (s *Slots) trackListed(homes *rendezvous.HostSet) {
	listed := s.directory.Servers()
	s.ownership.update(homes, s.membership.Self().Name, len(listed))
	owned := map[string]backend.Server{}
	for _, server := range listed {
		if server.Role != backend.RolePlain && s.ownership.contains(server.ID) {
			owned[server.ID] = server
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.servers {
		if _, ok := owned[id]; !ok {
			s.forgetServer(id)
		}
	}
	for _, server := range owned {
		s.ledger.Track(server)
		if server.Role == backend.RolePrefill {
			s.prefills.Track(server)
		}
	}
	s.servers = owned
}

// readLoads starts to read the loads of the next servers. It skips servers whose
// previous read is still in progress, so that a server that hangs does not delay the
// others.
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
	if s.activeReads[serverID] {
		return false
	}
	s.activeReads[serverID] = true
	return true
}

func (s *Slots) endRead(serverID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.activeReads, serverID)
}

// nextToRead returns the next servers of the rotation, at most loadsPerInterval.
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

// audit returns the queries to send to holders about the requests of one server.
func (s *Slots) audit(now time.Time, serverID string, running []string) []slot.AuditQuery {
	alive := s.isAliveAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Audit(now, serverID, running, alive)
}

// auditInterval returns how long after the last audit of a server the next is due.
func (s *Slots) auditInterval(now time.Time, serverID string) time.Duration {
	alive := s.isAliveAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.AuditInterval(serverID, alive)
}

// applyAuditResult updates the ledger with the result for one attempt and cancels
// the attempt when the ledger requires it. It reports whether it started a
// cancellation.
func (s *Slots) applyAuditResult(now time.Time, server backend.Server, attemptID string, result slot.AuditResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.ApplyAuditResult(now, server.ID, attemptID, result, confirmedLifetime) || s.reclaiming[attemptID] {
		return false
	}
	s.reclaiming[attemptID] = true
	s.reclaimed.Inc()
	s.canceller.Cancel(server, attemptID, s.onCancelConfirmed(server.ID, attemptID))
	return true
}

func (s *Slots) isAliveAt(now time.Time) func(slot.Holder) bool {
	return func(h slot.Holder) bool { return s.membership.IsAlive(now, h.Host, h.Incarnation) }
}

func (s *Slots) onCancelConfirmed(serverID, attemptID string) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ledger.Release(time.Now(), serverID, attemptID)
		delete(s.reclaiming, attemptID)
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
	publishedLoad, ok := r.slots.recordLoad(time.Now(), r.server, load)
	r.slots.mu.Unlock()
	if ok {
		r.slots.directory.ObserveLoad(publishedLoad)
	}
}
