package home

import (
	"context"
	"fmt"
	"time"

	"github.com/hickoryfront/hickoryfront/core/admission"
	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
)

// prefillLimit is the age at which a reserved prefill counts as forgotten.
const prefillLimit = 45 * time.Second

// ReservePrefill puts a prefill into the queue of a server whose home is this
// daemon. The errors are ErrNotHome and those of the ledger.
func (s *Slots) ReservePrefill(now time.Time, serverID string, p slot.Prefill) (backend.Load, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.servers[serverID]; !ok {
		return backend.Load{}, ErrNotHome
	}
	_, err := s.prefills.Reserve(now, serverID, p)
	load, _ := s.prefills.Load(now, serverID)
	return load, err
}

// observe takes in a load report and returns the digest to publish. The caller
// holds mu.
func (s *Slots) observe(now time.Time, server backend.Server, load backend.Load) (backend.Load, bool) {
	s.ledger.Observe(load)
	if server.Role == backend.RolePrefill {
		s.prefills.Observe(load)
	} else {
		s.learnGap(server, load)
	}
	return s.digest(now, server.ID)
}

// learnGap limits the server's batch to what keeps its token gap in target.
func (s *Slots) learnGap(server backend.Server, load backend.Load) {
	model, ok := s.gaps[server.ID]
	if !ok {
		model = &admission.GapModel{}
		s.gaps[server.ID] = model
	}
	model.Observe(load.Batch, load.TokenGap)
	if target := s.gapTargets[server.ID]; target > 0 {
		s.ledger.SetBatchLimit(server.ID, model.MaxBatch(target, server.Slots))
	}
}

// digest is what the home publishes of a server. The caller holds mu.
func (s *Slots) digest(now time.Time, serverID string) (backend.Load, bool) {
	if s.servers[serverID].Role == backend.RolePrefill {
		return s.prefills.Load(now, serverID)
	}
	load, ok := s.ledger.Load(now, serverID)
	if model, known := s.gaps[serverID]; known {
		load.TokenGap = model.Gap(load.SlotsUsed)
	}
	return load, ok
}

// forgetServer drops what is kept of a server. The caller holds mu.
func (s *Slots) forgetServer(id string) {
	s.ledger.Forget(id)
	s.prefills.Forget(id)
	delete(s.gaps, id)
	delete(s.gapTargets, id)
}

// ReservePrefill asks the home of a prefill server for a place in its queue.
// The errors are slot.ErrNoHome and those of the ledger.
func (r *Reservations) ReservePrefill(ctx context.Context, now time.Time, server backend.Server, p slot.Prefill) error {
	p.Holder = r.Holder()
	home := r.peers.HomeHosts(now).Home(server.ID)
	if home == r.peers.Self().Name {
		load, err := r.slots.ReservePrefill(now, server.ID, p)
		if load.ServerID != "" {
			r.slots.ObserveRemote(load)
		}
		return homeError(err)
	}
	if r.quiet.holds(now, home) {
		return slot.ErrHomeUnreachable
	}
	client, err := clientOf(r.peers, r.pool, home)
	if err != nil {
		return fmt.Errorf("%w: %w", slot.ErrHomeUnreachable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := client.Reserve(ctx, peer.PrefillRequest(server.ID, p, r.peers.Self()))
	if err != nil {
		return fmt.Errorf("%w: %w", slot.ErrHomeUnreachable, err)
	}
	r.observe(response.GetLoad())
	return reserveError(response.GetOutcome())
}

// ReleasePrefill takes a prefill out of its server's queue.
func (r *Reservations) ReleasePrefill(serverID, requestID string) {
	r.tellReleased(serverID, requestID)
}
