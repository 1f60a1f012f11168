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
	// reserveTimeout is the time after which a request is placed without a
	// response from the home.
	reserveTimeout    = 30 * time.Millisecond
	noticeTimeout     = time.Second
	noticeInterval    = 200 * time.Millisecond
	maxNoticeAttempts = 25
	confirmTimeout    = 500 * time.Millisecond
	// startupPeriod is the time after the start of this daemon in which it may not
	// have received the state of every host yet.
	startupPeriod = 10 * time.Second
)

// errNoResponse means that the home may have granted the slot, but its response
// did not arrive.
var errNoResponse = errors.New("no response from the home")

type (
	// Reservations is the holder's side of the slots: it lists the attempts that
	// this daemon holds, and reserves and releases slots at the homes. It is safe
	// for concurrent use.
	Reservations struct {
		peers       Peers
		pool        *peer.Pool
		slots       *Slots
		started     time.Time
		unreachable *metrics.Counter
		forced      *metrics.Counter

		mu           sync.Mutex
		held         map[string]bool // by attempt
		unresponsive unresponsiveHomes
		notices      sync.WaitGroup
		ctx          context.Context
		stop         context.CancelFunc
	}

	// notice is a message to the home of a server that is retried until the home
	// has received it.
	notice struct {
		reservations *Reservations
		serverID     string
		send         func(ctx context.Context, now time.Time, home string) error
	}
)

// NewReservations returns a holder without reservations. now is the start time of this
// daemon.
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

// Holder returns this incarnation of this daemon.
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

// Held returns the given attempts that this daemon holds.
func (r *Reservations) Held(attemptIDs []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var held []string
	for _, id := range attemptIDs {
		if r.held[id] {
			held = append(held, id)
		}
	}
	return held
}

// Reserve requests a slot from the home of a server. The errors are those of the
// ledger and slot.ErrHomeUnreachable. After an error nothing is held: when the home
// may have granted the slot without its response arriving, the slot is released.
func (r *Reservations) Reserve(ctx context.Context, now time.Time, server backend.Server, attemptID string, terms slot.Terms) error {
	home := r.peers.HomeHosts(now).Home(server.ID)
	r.addHeld(attemptID)
	if home == r.peers.Self().Name {
		load, err := r.slots.Reserve(now, server.ID, r.reservation(now, attemptID, terms))
		if load.ServerID != "" {
			r.slots.ObserveLoad(load)
		}
		if err != nil {
			r.removeHeld(attemptID)
		}
		return homeError(err)
	}
	if r.unresponsive.contains(now, home) {
		r.removeHeld(attemptID)
		return slot.ErrHomeUnreachable
	}
	err := r.requestSlot(ctx, home, server.ID, attemptID, terms)
	if err == nil {
		return nil
	}
	r.removeHeld(attemptID)
	if errors.Is(err, errNoResponse) {
		r.unreachable.Inc()
		if ctx.Err() == nil {
			r.unresponsive.add(now, home)
		}
		r.notifyReleased(server.ID, attemptID)
	}
	return err
}

// Force takes a slot without a response from the home and notifies the home
// afterwards.
func (r *Reservations) Force(server backend.Server, attemptID string, terms slot.Terms) {
	r.forced.Inc()
	r.addHeld(attemptID)
	r.UpdateTerms(server, attemptID, terms)
}

// UpdateTerms notifies the home of new terms of a slot that is held.
func (r *Reservations) UpdateTerms(server backend.Server, attemptID string, terms slot.Terms) {
	n := notice{reservations: r, serverID: server.ID, send: func(ctx context.Context, now time.Time, home string) error {
		if len(r.Held([]string{attemptID})) == 0 {
			return nil
		}
		return r.notifyForced(ctx, now, home, server.ID, attemptID, terms)
	}}
	r.notices.Go(n.run)
}

// Release releases a slot. The notice to the home is retried until the home has
// received it.
func (r *Reservations) Release(serverID, attemptID string) {
	r.removeHeld(attemptID)
	r.notifyReleased(serverID, attemptID)
}

// Confirm implements Holders by querying the holder itself. A holder that does not
// respond counts as failed only when its heartbeats have ended too and this daemon
// hears a majority of the fleet. A daemon that was cut off or paused would otherwise
// cancel the work of all other hosts.
func (r *Reservations) Confirm(ctx context.Context, now time.Time, query slot.AuditQuery) map[string]slot.AuditResult {
	holder := query.Holder
	if holder == r.Holder() {
		return auditResults(query.AttemptIDs, r.Held(query.AttemptIDs))
	}
	known, ok := r.peers.Lookup(holder.Host)
	if ok && known.Host.Incarnation > holder.Incarnation {
		return resultForAll(query.AttemptIDs, slot.HolderEnded)
	}
	response, err := r.confirmRemote(ctx, query)
	switch {
	case err == nil && response.GetHolder().GetIncarnation() == holder.Incarnation:
		return auditResults(query.AttemptIDs, response.GetHeld())
	case err == nil && response.GetHolder().GetIncarnation() > holder.Incarnation:
		return resultForAll(query.AttemptIDs, slot.HolderEnded)
	case err != nil && r.isHolderFailed(now, holder, ok && known.Host.Incarnation == holder.Incarnation):
		return resultForAll(query.AttemptIDs, slot.HolderEnded)
	}
	return resultForAll(query.AttemptIDs, slot.NoResponse)
}

// Close waits until the homes have received all notices. It drops the remaining
// notices when ctx ends.
func (r *Reservations) Close(ctx context.Context) {
	defer context.AfterFunc(ctx, r.stop)()
	r.notices.Wait()
	r.stop()
}

func (r *Reservations) confirmRemote(ctx context.Context, query slot.AuditQuery) (*peerapi.ConfirmHeldResponse, error) {
	client, err := clientOf(r.peers, r.pool, query.Holder.Host)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return client.ConfirmHeld(ctx, &peerapi.ConfirmHeldRequest{RequestIds: query.AttemptIDs})
}

// isHolderFailed reports whether a holder that does not respond counts as failed. isKnown
// reports whether this daemon has its incarnation in the member list; the entry of another
// one may not have arrived yet.
func (r *Reservations) isHolderFailed(now time.Time, holder slot.Holder, isKnown bool) bool {
	if isKnown {
		return r.peers.HasFailed(now, holder.Host, holder.Incarnation)
	}
	lastContact := r.peers.LastContact()
	return !lastContact.IsZero() && now.Sub(r.started) > startupPeriod && r.peers.HasMajority(now.Add(-startupPeriod))
}

func (r *Reservations) requestSlot(ctx context.Context, home, serverID, attemptID string, terms slot.Terms) error {
	client, err := clientOf(r.peers, r.pool, home)
	if err != nil {
		return fmt.Errorf("%w: %w", slot.ErrHomeUnreachable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := client.Reserve(ctx, r.request(serverID, attemptID, terms))
	if err != nil {
		return fmt.Errorf("%w: %w: %w", slot.ErrHomeUnreachable, errNoResponse, err)
	}
	r.observeLoad(response.GetLoad())
	return reserveError(response.GetOutcome())
}

// observeLoad records the load in a response, which is newer than the load in the
// last heartbeat.
func (r *Reservations) observeLoad(load *peerapi.ServerLoad) {
	if load.GetServerId() != "" {
		r.slots.ObserveLoad(peer.LoadFromWire(load))
	}
}

func (r *Reservations) notifyReleased(serverID, attemptID string) {
	n := notice{reservations: r, serverID: serverID, send: func(ctx context.Context, _ time.Time, home string) error {
		if home == r.peers.Self().Name {
			r.slots.Release(serverID, attemptID)
			return nil
		}
		client, err := clientOf(r.peers, r.pool, home)
		if err != nil {
			return err
		}
		_, err = client.Release(ctx, &peerapi.ReleaseRequest{ServerId: serverID, RequestId: attemptID, Confirmed: true})
		return err
	}}
	r.notices.Go(n.run)
}

func (r *Reservations) notifyForced(ctx context.Context, now time.Time, home, serverID, attemptID string, terms slot.Terms) error {
	if home == r.peers.Self().Name {
		r.slots.RecordForced(now, serverID, r.reservation(now, attemptID, terms))
		return nil
	}
	client, err := clientOf(r.peers, r.pool, home)
	if err != nil {
		return err
	}
	request := r.request(serverID, attemptID, terms)
	request.Forced = true
	_, err = client.Reserve(ctx, request)
	return err
}

func (r *Reservations) request(serverID, attemptID string, terms slot.Terms) *peerapi.ReserveRequest {
	return peer.SlotRequest(serverID, attemptID, terms, r.peers.Self())
}

func (r *Reservations) reservation(now time.Time, attemptID string, terms slot.Terms) slot.Reservation {
	return slot.Reservation{
		AttemptID: attemptID, Holder: r.Holder(), Deadline: now.Add(terms.Lifetime), Isolated: terms.Isolated,
		Deferrable: terms.Deferrable, Aged: terms.Aged, Lead: terms.Lead, Overcommit: terms.Overcommit, TokenGapTarget: terms.TokenGapTarget,
	}
}

func (r *Reservations) addHeld(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[attemptID] = true
}

func (r *Reservations) removeHeld(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, attemptID)
}

// run sends the notice until the home has received it. Each attempt determines the
// home anew, because the server may get another home meanwhile. After the last
// attempt, the home's next audit corrects the difference.
func (n notice) run() {
	for range maxNoticeAttempts {
		now := time.Now()
		ctx, cancel := context.WithTimeout(n.reservations.ctx, noticeTimeout)
		err := n.send(ctx, now, n.reservations.peers.HomeHosts(now).Home(n.serverID))
		cancel()
		if err == nil || timing.Sleep(n.reservations.ctx, noticeInterval) != nil {
			return
		}
	}
}

// auditResults returns Held for each attempt in held and NotHeld for the others.
func auditResults(attemptIDs, held []string) map[string]slot.AuditResult {
	results := resultForAll(attemptIDs, slot.NotHeld)
	for _, id := range held {
		results[id] = slot.Held
	}
	return results
}

func resultForAll(attemptIDs []string, result slot.AuditResult) map[string]slot.AuditResult {
	results := make(map[string]slot.AuditResult, len(attemptIDs))
	for _, id := range attemptIDs {
		results[id] = result
	}
	return results
}

// reserveError returns the error for an outcome at a remote home. An outcome without a
// case here becomes slot.ErrHomeUnreachable. OUTCOME_BACKLOG is one of them: a prefill
// over the backlog limit gets slot.ErrBacklog from a local home only.
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

// homeError replaces ErrNotHome by slot.ErrHomeUnreachable. Slots updates its servers
// once each loadInterval, and so may not have a server yet after the server list or
// the hosts have changed.
func homeError(err error) error {
	if errors.Is(err, ErrNotHome) {
		return slot.ErrHomeUnreachable
	}
	return err
}
