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

// maxPrefillAge is the age at which a reserved prefill expires: its holder is then
// assumed not to release it any more.
const maxPrefillAge = 45 * time.Second

// ReservePrefill adds a prefill to the queue of a server whose home is this daemon.
// The errors are ErrNotHome and those of the ledger.
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

// recordLoad records a load report of a server and returns the load to publish.
// The caller holds mu.
func (s *Slots) recordLoad(now time.Time, server backend.Server, load backend.Load) (backend.Load, bool) {
	s.ledger.Observe(load)
	if server.Role == backend.RolePrefill {
		s.prefills.Observe(load)
	} else {
		s.updateBatchLimit(server, load)
	}
	return s.publishedLoad(now, server.ID)
}

// updateBatchLimit updates the model of the server's token gap and limits its batch
// to the size that keeps the gap within the target.
func (s *Slots) updateBatchLimit(server backend.Server, load backend.Load) {
	model, ok := s.gapModels[server.ID]
	if !ok {
		model = &admission.GapModel{}
		s.gapModels[server.ID] = model
	}
	model.Observe(load.Batch, load.TokenGap)
	if target := s.gapTargets[server.ID]; target > 0 {
		s.ledger.SetBatchLimit(server.ID, model.MaxBatch(target, server.Slots))
	}
}

// publishedLoad returns the load of a server as this home publishes it. The caller
// holds mu.
func (s *Slots) publishedLoad(now time.Time, serverID string) (backend.Load, bool) {
	if s.servers[serverID].Role == backend.RolePrefill {
		return s.prefills.Load(now, serverID)
	}
	load, ok := s.ledger.Load(now, serverID)
	if model, known := s.gapModels[serverID]; known {
		load.TokenGap = model.Gap(load.SlotsUsed)
	}
	return load, ok
}

// forgetServer removes a server from the ledgers. The caller holds mu.
func (s *Slots) forgetServer(id string) {
	s.ledger.Forget(id)
	s.prefills.Forget(id)
	delete(s.gapModels, id)
	delete(s.gapTargets, id)
}

// ReservePrefill requests a place in the queue of a prefill server from the server's
// home. The errors are slot.ErrHomeUnreachable and those of the ledger.
func (r *Reservations) ReservePrefill(ctx context.Context, now time.Time, server backend.Server, p slot.Prefill) error {
	p.Holder = r.Holder()
	home := r.peers.HomeHosts(now).Home(server.ID)
	if home == r.peers.Self().Name {
		load, err := r.slots.ReservePrefill(now, server.ID, p)
		if load.ServerID != "" {
			r.slots.ObserveLoad(load)
		}
		return homeError(err)
	}
	if r.unresponsive.contains(now, home) {
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
	r.observeLoad(response.GetLoad())
	return reserveError(response.GetOutcome())
}

// ReleasePrefill removes a prefill from its server's queue. The home is notified in
// the background, with retries.
func (r *Reservations) ReleasePrefill(serverID, attemptID string) {
	r.notifyReleased(serverID, attemptID)
}
