package home

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// reserveTimeout is the wait for a home before a request is placed without
	// it.
	reserveTimeout = 30 * time.Millisecond
	tellTimeout    = time.Second
	tellInterval   = 200 * time.Millisecond
	tellAttempts   = 25
	confirmTimeout = 500 * time.Millisecond
	// settlePeriod is the time after a start in which hosts may be unknown.
	settlePeriod = 10 * time.Second
)

// errUnheard means that the home may have granted the slot unheard.
var errUnheard = errors.New("answer not heard")

type (
	// Reservations is the holder's side of the slots: what this daemon holds
	// and the way to the homes. It is safe for concurrent use.
	Reservations struct {
		peers       Peers
		pool        *peer.Pool
		slots       *Slots
		started     time.Time
		unreachable *metrics.Counter
		forced      *metrics.Counter

		mu    sync.Mutex
		held  map[string]bool // by attempt
		quiet quietHomes
		group sync.WaitGroup
		ctx   context.Context
		stop  context.CancelFunc
	}

	// notice tells a home something until it has taken it.
	notice struct {
		reservations *Reservations
		serverID     string
		tell         func(ctx context.Context, now time.Time, home string) error
	}
)

// NewReservations returns a holder of nothing.
func NewReservations(now time.Time, peers Peers, pool *peer.Pool, slots *Slots, set *metrics.Set) *Reservations {
	ctx, stop := context.WithCancel(context.Background())
	r := &Reservations{
		peers: peers, pool: pool, slots: slots, started: now,
		unreachable: set.NewCounter(`hickoryfront_homes_unreachable_total`),
		forced:      set.NewCounter(`hickoryfront_reservations_total{result="forced"}`),
		held:        map[string]bool{},
		ctx:         ctx,
		stop:        stop,
	}
	set.NewGauge(`hickoryfront_reservations_held`, func() float64 { return float64(r.Len()) })
	return r
}

// Holder returns this life of this daemon.
func (r *Reservations) Holder() slot.Holder {
	self := r.peers.Self()
	return slot.Holder{Host: self.Name, Incarnation: self.Incarnation}
}

// Len returns the number of attempts held.
func (r *Reservations) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// Held returns those of the attempts that this daemon holds.
func (r *Reservations) Held(requestIDs []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var held []string
	for _, id := range requestIDs {
		if r.held[id] {
			held = append(held, id)
		}
	}
	return held
}

// Reserve asks the home of a server for a slot. The errors are those of the
// ledger, and slot.ErrNoHome. After an error nothing is held: a home
// that has granted the slot unheard is told so.
func (r *Reservations) Reserve(ctx context.Context, now time.Time, server backend.Server, requestID string, terms slot.Terms) error {
	home := r.peers.HomeHosts(now).Home(server.ID)
	r.hold(requestID)
	if home == r.peers.Self().Name {
		load, err := r.slots.Reserve(now, server.ID, r.reservation(now, requestID, terms))
		if load.ServerID != "" {
			r.slots.ObserveRemote(load)
		}
		if err != nil {
			r.drop(requestID)
		}
		return homeError(err)
	}
	if r.quiet.holds(now, home) {
		r.drop(requestID)
		return slot.ErrHomeUnreachable
	}
	err := r.ask(ctx, home, server.ID, requestID, terms)
	if err == nil {
		return nil
	}
	r.drop(requestID)
	if errors.Is(err, errUnheard) {
		r.unreachable.Inc()
		if ctx.Err() == nil {
			r.quiet.add(now, home)
		}
		r.tellReleased(server.ID, requestID)
	}
	return err
}

// Force takes a slot without an answer of the home and tells the home later.
func (r *Reservations) Force(server backend.Server, requestID string, terms slot.Terms) {
	r.forced.Inc()
	r.hold(requestID)
	r.Relax(server, requestID, terms)
}

// Relax tells the home of the terms of a slot that is held.
func (r *Reservations) Relax(server backend.Server, requestID string, terms slot.Terms) {
	n := notice{reservations: r, serverID: server.ID, tell: func(ctx context.Context, now time.Time, home string) error {
		if len(r.Held([]string{requestID})) == 0 {
			return nil
		}
		return r.tellForced(ctx, now, home, server.ID, requestID, terms)
	}}
	r.group.Go(n.run)
}

// Release gives a slot back. The home is told until it has taken it.
func (r *Reservations) Release(serverID, requestID string) {
	r.drop(requestID)
	r.tellReleased(serverID, requestID)
}

// Confirm implements Holders: it asks the holder itself. Silence counts as
// death only when the holder's heartbeats have ended too and this daemon sees
// most of the fleet; a daemon that was cut off or paused must not end the work
// of all others.
func (r *Reservations) Confirm(ctx context.Context, now time.Time, question slot.AuditQuery) map[string]slot.AuditResult {
	holder := question.Holder
	if holder == r.Holder() {
		return verdicts(question.RequestIDs, r.Held(question.RequestIDs))
	}
	known, ok := r.peers.Lookup(holder.Host)
	if ok && known.Host.Incarnation > holder.Incarnation {
		return allOf(question.RequestIDs, slot.HolderEnded)
	}
	response, err := r.confirmRemote(ctx, question)
	switch {
	case err == nil && response.GetHolder().GetIncarnation() == holder.Incarnation:
		return verdicts(question.RequestIDs, response.GetHeld())
	case err == nil && response.GetHolder().GetIncarnation() > holder.Incarnation:
		return allOf(question.RequestIDs, slot.HolderEnded)
	case err != nil && r.countsAsDead(now, holder, ok):
		return allOf(question.RequestIDs, slot.HolderEnded)
	}
	return allOf(question.RequestIDs, slot.NoResponse)
}

// Close waits until the homes have taken all notices, and drops the rest when
// ctx ends.
func (r *Reservations) Close(ctx context.Context) {
	defer context.AfterFunc(ctx, r.stop)()
	r.group.Wait()
	r.stop()
}

func (r *Reservations) confirmRemote(ctx context.Context, question slot.AuditQuery) (*peerapi.ConfirmHeldResponse, error) {
	client, err := clientOf(r.peers, r.pool, question.Holder.Host)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return client.ConfirmHeld(ctx, &peerapi.ConfirmHeldRequest{RequestIds: question.RequestIDs})
}

// countsAsDead decides on a holder that can't be asked. A host that was never
// heard of may be news that has not arrived yet.
func (r *Reservations) countsAsDead(now time.Time, holder slot.Holder, known bool) bool {
	if r.peers.IsAlive(now, holder.Host, holder.Incarnation) || !r.peers.HasQuorum(now) {
		return false
	}
	if known {
		return true
	}
	heard := r.peers.LastContact()
	return !heard.IsZero() && now.Sub(r.started) > settlePeriod
}

func (r *Reservations) ask(ctx context.Context, home, serverID, requestID string, terms slot.Terms) error {
	client, err := clientOf(r.peers, r.pool, home)
	if err != nil {
		return fmt.Errorf("%w: %w", slot.ErrHomeUnreachable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := client.Reserve(ctx, r.request(serverID, requestID, terms))
	if err != nil {
		return fmt.Errorf("%w: %w: %w", slot.ErrHomeUnreachable, errUnheard, err)
	}
	r.observe(response.GetLoad())
	return reserveError(response.GetOutcome())
}

// observe takes in the load that came with an answer, which is newer than the
// last heartbeat.
func (r *Reservations) observe(load *peerapi.ServerLoad) {
	if load.GetServerId() != "" {
		r.slots.ObserveRemote(peer.LoadFromWire(load))
	}
}

func (r *Reservations) tellReleased(serverID, requestID string) {
	n := notice{reservations: r, serverID: serverID, tell: func(ctx context.Context, _ time.Time, home string) error {
		if home == r.peers.Self().Name {
			r.slots.Release(serverID, requestID)
			return nil
		}
		client, err := clientOf(r.peers, r.pool, home)
		if err != nil {
			return err
		}
		_, err = client.Release(ctx, &peerapi.ReleaseRequest{ServerId: serverID, RequestId: requestID, Confirmed: true})
		return err
	}}
	r.group.Go(n.run)
}

func (r *Reservations) tellForced(ctx context.Context, now time.Time, home, serverID, requestID string, terms slot.Terms) error {
	if home == r.peers.Self().Name {
		r.slots.Force(now, serverID, r.reservation(now, requestID, terms))
		return nil
	}
	client, err := clientOf(r.peers, r.pool, home)
	if err != nil {
		return err
	}
	request := r.request(serverID, requestID, terms)
	request.Forced = true
	_, err = client.Reserve(ctx, request)
	return err
}

func (r *Reservations) request(serverID, requestID string, terms slot.Terms) *peerapi.ReserveRequest {
	return peer.SlotRequest(serverID, requestID, terms, r.peers.Self())
}

func (r *Reservations) reservation(now time.Time, requestID string, terms slot.Terms) slot.Reservation {
	return slot.Reservation{
		RequestID: requestID, Holder: r.Holder(), Deadline: now.Add(terms.Lifetime), Isolated: terms.Isolated,
		Deferrable: terms.Deferrable, Aged: terms.Aged, Lead: terms.Lead, Overcommit: terms.Overcommit, TokenGap: terms.TokenGap,
	}
}

func (r *Reservations) hold(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[requestID] = true
}

func (r *Reservations) drop(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, requestID)
}

// run repeats the notice, as the home may move meanwhile. Once it gives up,
// the audit of the home finds the difference.
func (n notice) run() {
	for range tellAttempts {
		now := time.Now()
		ctx, cancel := context.WithTimeout(n.reservations.ctx, tellTimeout)
		err := n.tell(ctx, now, n.reservations.peers.HomeHosts(now).Home(n.serverID))
		cancel()
		if err == nil || timing.Sleep(n.reservations.ctx, tellInterval) != nil {
			return
		}
	}
}

// verdicts says of each attempt whether it is among those held.
func verdicts(requestIDs, held []string) map[string]slot.AuditResult {
	result := allOf(requestIDs, slot.NotHeld)
	for _, id := range held {
		result[id] = slot.Held
	}
	return result
}

func allOf(requestIDs []string, verdict slot.AuditResult) map[string]slot.AuditResult {
	result := make(map[string]slot.AuditResult, len(requestIDs))
	for _, id := range requestIDs {
		result[id] = verdict
	}
	return result
}

func reserveError(outcome peerapi.ReserveResponse_Outcome) error {
	switch outcome {
	case peerapi.ReserveResponse_OUTCOME_GRANTED:
		return nil
	case peerapi.ReserveResponse_OUTCOME_FULL:
		return slot.ErrFull
	case peerapi.ReserveResponse_OUTCOME_LEAVING:
		return slot.ErrLeaving
	}
	return slot.ErrHomeUnreachable
}

// homeError hides that this daemon is not the home after all: its view of the
// fleet has just changed.
func homeError(err error) error {
	if errors.Is(err, ErrNotHome) {
		return slot.ErrHomeUnreachable
	}
	return err
}
