// Package room asks for room at backend servers before requests are sent to them, and is the
// home of services: the host that grants it for all hosts. The decisions are in core/room.
package room

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/hickoryfront/hickoryfront/core/homes"
	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
)

const (
	// holdPeriod is how long a home holds an ask whose request waits, before it answers that
	// the request still waits. The host asks again then. answerTimeout is the time that an
	// answer may take besides. Together they are below 300 ms, the time within which a host
	// must detect that a home hangs.
	holdPeriod    = 130 * time.Millisecond
	answerTimeout = 150 * time.Millisecond
	// homeRetryPeriod is the time for which a home that did not respond is not asked again.
	homeRetryPeriod = time.Second
	// prefillSlots is the number of prompts that a prefill server has at once: one that it reads
	// and the next one, so that it isn't idle while a prompt is on its way.
	prefillSlots = 2
	// idlePeriod is how long the ledger of a service is kept without an ask.
	idlePeriod = time.Minute
)

// ErrNoHome means that no home decides about a request, which the caller sends to a server of
// its own choice.
var ErrNoHome = errors.New("no home of the service has decided")

type (
	// Registry lists the backend servers and the hosts.
	Registry interface {
		Servers() *registry.Snapshot
		// Hosts returns the peer addresses of all hosts.
		Hosts() []netip.AddrPort
	}

	// Peers calls the homes on other hosts.
	Peers interface {
		// AcquireRoom asks the host at address for room for a request. inFlight is what this
		// host has in flight at the servers of the service.
		AcquireRoom(ctx context.Context, address netip.AddrPort, pool room.Pool, request room.Request, inFlight map[string]int) (room.Answer, error)
		// ReleaseRoom reports the end of requests to the host at address.
		ReleaseRoom(ctx context.Context, address netip.AddrPort, pool room.Pool, released []room.Released) error
	}

	// Options configure Rooms.
	Options struct {
		// Self is this host's peer address.
		Self netip.AddrPort
		// MinHosts is the number of hosts from which on homes are asked.
		MinHosts int
		// Homes is the number of hosts that share the room of a plain service, or 0 for one. Each
		// grants its part to a part of the hosts.
		Homes int
	}

	// Ask asks for room for one request.
	Ask struct {
		Pool      room.Pool
		Workspace string
		// Urgency is 0 for the most urgent requests.
		Urgency int
		// IsReturn is set if the caller has been refused before.
		IsReturn bool
		Arrived  time.Time
		// Target is until when the response should be complete, Deadline when the caller
		// gives up.
		Target, Deadline time.Time
		// FailureDomain is the one in which a server is preferred.
		FailureDomain string
		// ServiceTime is the expected service time of this request, or 0 if that of the servers
		// applies.
		ServiceTime time.Duration
		// Excluded are the servers that this host can't use.
		Excluded []string
		// InFlight is what this host has in flight at servers.
		InFlight map[string]int
	}

	// Refusal is the error of a request for which there is no room before its target.
	Refusal struct {
		// RetryAfter is the time after which the caller should return.
		RetryAfter time.Duration
		Reason     string
	}

	// Grant allows one request to be sent to Server.
	Grant struct {
		Server string

		rooms *Rooms
		home  netip.AddrPort
		pool  room.Pool
		id    string
	}

	// Rooms asks homes, and is the home of some services. It is safe for concurrent use.
	Rooms struct {
		options    Options
		registry   Registry
		peers      Peers
		logger     log.Interface
		background context.Context
		// incarnation distinguishes the requests of this process from those of earlier ones.
		incarnation uint32
		// share chooses the home that this host asks.
		share     uint64
		grants    *metrics.Counter
		refusals  *metrics.Counter
		fallbacks *metrics.Counter

		mu    sync.Mutex
		hosts *homes.Set
		homes map[room.Pool]*home
		// failedAt is when homes last did not respond, or were tried again since.
		failedAt map[netip.AddrPort]time.Time
		outboxes map[netip.AddrPort]*outbox
		number   uint64
	}
)

// New returns the rooms of a host, whose background work ends with the context background.
func New(background context.Context, options Options, r Registry, peers Peers, logger log.Interface, set *metrics.Set) *Rooms {
	rooms := &Rooms{
		options: options, registry: r, peers: peers, logger: logger, background: background, incarnation: rand.Uint32(), share: xxhash.Sum64String(options.Self.String()),
		grants:    set.NewCounter(`hickoryfront_edge_room_grants_total`),
		refusals:  set.NewCounter(`hickoryfront_edge_room_refusals_total`),
		fallbacks: set.NewCounter(`hickoryfront_edge_room_fallbacks_total`),
		hosts:     homes.New(), homes: make(map[room.Pool]*home),
		failedAt: make(map[netip.AddrPort]time.Time), outboxes: make(map[netip.AddrPort]*outbox),
	}
	set.NewGauge(`hickoryfront_edge_room_waiting`, rooms.waiting)
	set.RegisterMetricsWriter(rooms.writeLimits)
	return rooms
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Reason
}

// Acquire asks the home of the service for a server, and waits while the home has the request
// in its queue. The error is a *Refusal, or ErrNoHome if this host has to choose the server
// itself, or that of ctx.
func (r *Rooms) Acquire(ctx context.Context, ask Ask) (*Grant, error) {
	if len(r.registry.Hosts()) < r.options.MinHosts {
		return nil, ErrNoHome
	}
	home, id, ok := r.homeOf(time.Now(), ask.Pool)
	if !ok {
		r.fallbacks.Inc()
		return nil, ErrNoHome
	}
	request := room.Request{
		ID: id, Requester: r.options.Self.String(), Workspace: ask.Workspace, Urgency: ask.Urgency, IsReturn: ask.IsReturn,
		Arrived: ask.Arrived, Target: ask.Target, Deadline: ask.Deadline, FailureDomain: ask.FailureDomain, Excluded: ask.Excluded, ServiceTime: ask.ServiceTime,
	}
	answer, err := r.await(ctx, home, ask, request)
	switch {
	case err != nil:
		// The home may have granted the request meanwhile.
		r.release(home, ask.Pool, room.Released{RequestID: id, Outcome: room.Unused})
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r.logger.WithError(err).WithFields(log.Fields{"service": ask.Pool.Service, "stage": ask.Pool.Stage, "host": home.String()}).Debug("home did not respond to a request for room")
		r.fallbacks.Inc()
		return nil, fmt.Errorf("%w: %w", ErrNoHome, err)
	case answer.Server != "":
		r.grants.Inc()
		return &Grant{Server: answer.Server, rooms: r, home: home, pool: ask.Pool, id: id}, nil
	case answer.IsNotHome || answer.Reason == room.ReasonNoServer:
		r.fallbacks.Inc()
		return nil, ErrNoHome
	default:
		r.refusals.Inc()
		return nil, &Refusal{RetryAfter: answer.RetryAfter, Reason: answer.Reason}
	}
}

// await asks a home until it grants or refuses the request.
func (r *Rooms) await(ctx context.Context, home netip.AddrPort, ask Ask, request room.Request) (room.Answer, error) {
	inFlight := ask.InFlight
	for {
		answer, err := r.askOnce(ctx, home, ask.Pool, request, inFlight)
		switch {
		case err == nil:
			r.markResponded(home)
		case ctx.Err() == nil:
			r.markFailed(time.Now(), home)
		}
		if err != nil || answer.Server != "" || answer.IsNotHome || answer.Reason != "" {
			return answer, err
		}
		if time.Now().After(ask.Target.Add(answerTimeout)) {
			return answer, fmt.Errorf("%w before the target of the request", ErrNoHome)
		}
		inFlight = nil // the home has it
	}
}

func (r *Rooms) askOnce(ctx context.Context, home netip.AddrPort, pool room.Pool, request room.Request, inFlight map[string]int) (room.Answer, error) {
	if home == r.options.Self {
		return r.AcquireRoom(ctx, pool, request, inFlight), ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, holdPeriod+answerTimeout)
	defer cancel()
	return r.peers.AcquireRoom(ctx, home, pool, request, inFlight)
}

// homeOf returns the home of a service and the ID of a new request to it. It returns false if
// there is none or it has not responded lately.
func (r *Rooms) homeOf(now time.Time, pool room.Pool) (netip.AddrPort, string, bool) {
	hosts := r.registry.Hosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	homes := r.homesOf(now, hosts, pool)
	if len(homes) == 0 {
		return netip.AddrPort{}, "", false
	}
	home := homes[r.share%uint64(len(homes))]
	if failedAt, hasFailed := r.failedAt[home]; hasFailed {
		if now.Sub(failedAt) < homeRetryPeriod {
			return home, "", false
		}
		r.failedAt[home] = now // only this request tries it, and may wait in vain
	}
	r.number++
	return home, fmt.Sprintf("%s/%x-%x", r.options.Self, r.incarnation, r.number), true
}

// homesOf returns the hosts that share the room of a pool: one for prefill servers, as these have
// too few slots to divide. The caller holds mu.
func (r *Rooms) homesOf(now time.Time, hosts []netip.AddrPort, pool room.Pool) []netip.AddrPort {
	r.hosts.Observe(now, hosts)
	count := 1
	if pool.Stage == serverlist.NoStage {
		count = max(r.options.Homes, 1)
	}
	return r.hosts.Of(pool.Service+string(pool.Stage), count)
}

func (r *Rooms) markFailed(now time.Time, home netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, failedAt := range r.failedAt {
		if now.Sub(failedAt) >= idlePeriod {
			delete(r.failedAt, other)
		}
	}
	r.failedAt[home] = now
}

func (r *Rooms) markResponded(home netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failedAt, home)
}

// Release reports the outcome of the granted request, at which the server took a time.
func (g *Grant) Release(outcome room.Outcome, took time.Duration) {
	g.rooms.release(g.home, g.pool, room.Released{RequestID: g.id, Outcome: outcome, Took: took})
}

func (r *Rooms) release(home netip.AddrPort, pool room.Pool, released room.Released) {
	if home == r.options.Self {
		r.ReleaseRoom(pool, []room.Released{released})
		return
	}
	r.mu.Lock()
	o, ok := r.outboxes[home]
	if !ok {
		r.dropOutboxes(time.Now())
		o = &outbox{rooms: r, home: home}
		r.outboxes[home] = o
	}
	r.mu.Unlock()
	o.add(time.Now(), pool, released)
}

// AcquireRoom responds to a host that asks for room for a request, if this host is the home of
// the service: when the request is granted or refused, or while it waits after holdPeriod. If
// ctx ends before, the request is cancelled.
func (r *Rooms) AcquireRoom(ctx context.Context, pool room.Pool, request room.Request, inFlight map[string]int) room.Answer {
	h, p, ok := r.home(time.Now(), pool)
	if !ok {
		return room.Answer{IsNotHome: true}
	}
	return h.acquire(ctx, request, inFlight, r.registry.Servers(), p)
}

// ReleaseRoom receives the reports of a host that requests have ended.
func (r *Rooms) ReleaseRoom(pool room.Pool, released []room.Released) {
	r.mu.Lock()
	h, ok := r.homes[pool]
	r.mu.Unlock()
	if ok {
		h.release(time.Now(), released)
	}
}

// home returns the ledger of a service if this host is its home. It drops the ledgers that are
// not used any more.
func (r *Rooms) home(now time.Time, pool room.Pool) (*home, part, bool) {
	hosts := r.registry.Hosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	homes := r.homesOf(now, hosts, pool)
	number := slices.Index(homes, r.options.Self)
	if number < 0 {
		return nil, part{}, false
	}
	h, ok := r.homes[pool]
	if !ok {
		for other, h := range r.homes {
			if now.Sub(h.usedAt) > idlePeriod {
				delete(r.homes, other)
			}
		}
		h = newHome(now, pool)
		r.homes[pool] = h
	}
	h.usedAt = now
	return h, part{number, len(homes)}, true
}

// servers returns the servers of a part of a pool, or none if a plain one states no slots: its capacity is
// unknown then.
func servers(snapshot *registry.Snapshot, pool room.Pool, p part) []room.Server {
	var servers []room.Server
	for _, s := range snapshot.Servers {
		if s.Service != pool.Service || s.Stage != pool.Stage {
			continue
		}
		if s.Stage == serverlist.NoStage && s.Slots <= 0 {
			return nil
		}
		slots := p.slots(s)
		if slots == 0 {
			continue
		}
		servers = append(servers, room.Server{ID: s.ID, FailureDomain: s.FailureDomain, Slots: slots, StartedAt: s.StartedAt, TakesNoWork: s.IsDraining})
	}
	return servers
}

// Describe adds to s the ledgers of the services for which this host is the home.
func (r *Rooms) Describe(s *hoststate.State) {
	for _, h := range r.allHomes() {
		s.Rooms = append(s.Rooms, h.describe())
	}
}

// slots returns the slots of a server that a home grants.
func (p part) slots(s serverlist.Server) int {
	if s.Stage == serverlist.Prefill {
		return prefillSlots
	}
	offset := int(xxhash.Sum64String(s.ID) % uint64(p.count))
	slots := s.Slots / p.count
	if (p.number+offset)%p.count < s.Slots%p.count { // the rest goes to different homes for different servers
		slots++
	}
	return slots
}
