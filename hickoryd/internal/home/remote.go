package home

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	reserveTimeout = 250 * time.Millisecond
	claimTimeout   = 2 * time.Second
)

// ErrUnreachable means that the home did not answer.
var ErrUnreachable = errors.New("home unreachable")

type (
	// Peers is what routing to homes needs of the fleet.
	Peers interface {
		Membership
		Lookup(name string) (member.State, bool)
	}

	// Router asks the home of a server or key, which may be this daemon. It is
	// safe for concurrent use.
	Router struct {
		peers  Peers
		pool   *peer.Pool
		slots  *Slots
		claims *Claims
	}
)

// NewRouter returns a router.
func NewRouter(peers Peers, pool *peer.Pool, slots *Slots, claims *Claims) *Router {
	return &Router{peers: peers, pool: pool, slots: slots, claims: claims}
}

// Holder returns this daemon as a holder of reservations.
func (r *Router) Holder() slot.Holder {
	self := r.peers.Self()
	return slot.Holder{Host: self.Name, Incarnation: self.Incarnation}
}

// Reserve asks the home of a server for a slot. The errors are ErrUnreachable,
// ErrNotHome and those of the ledger.
func (r *Router) Reserve(ctx context.Context, now time.Time, server backend.Server, requestID string, lifetime time.Duration) error {
	wanted := slot.Reservation{RequestID: requestID, Holder: r.Holder(), Deadline: now.Add(lifetime)}
	home := r.peers.Ring(now).Home(server.ID)
	if home == r.peers.Self().Name {
		_, err := r.slots.Reserve(now, server.ID, wanted)
		return err
	}
	client, err := r.client(home)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := client.Reserve(ctx, &peerapi.ReserveRequest{
		ServerId: server.ID, RequestId: requestID, Holder: peer.HostToWire(r.peers.Self()), Lifetime: durationpb.New(lifetime),
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return reserveError(response.GetOutcome())
}

// Release gives a slot back to the server's home.
func (r *Router) Release(ctx context.Context, now time.Time, serverID, requestID string) error {
	home := r.peers.Ring(now).Home(serverID)
	if home == r.peers.Self().Name {
		r.slots.Release(serverID, requestID)
		return nil
	}
	client, err := r.client(home)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = client.Release(ctx, &peerapi.ReleaseRequest{ServerId: serverID, RequestId: requestID, Confirmed: true})
	return err
}

// Claim asks the home of a key for the right to run a call. ErrUnreachable
// means that no answer came; the call must not run.
func (r *Router) Claim(ctx context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	home := r.peers.Ring(now).Home(keyText(wanted.Key))
	if home == r.peers.Self().Name {
		return r.claims.Claim(now, wanted)
	}
	client, err := r.client(home)
	if err != nil {
		return claim.Undecided, claim.Grant{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := client.Claim(ctx, &peerapi.ClaimRequest{
		Key: KeyToWire(wanted.Key), Claimant: peer.HostToWire(r.peers.Self()), BodyHash: wanted.BodyHash,
		RequestId: wanted.RequestID, Horizon: durationpb.New(wanted.Horizon),
	}, grpc.WaitForReady(true))
	if err != nil {
		return claim.Undecided, claim.Grant{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return outcomeFromWire(response.GetOutcome()), grantFromResponse(wanted, response), nil
}

// Settle tells the home of a key how a claimed call ended. A nil answer with
// notRun withdraws the claim.
func (r *Router) Settle(ctx context.Context, now time.Time, grant claim.Grant, notRun bool) error {
	home := r.peers.Ring(now).Home(keyText(grant.Key))
	if home == r.peers.Self().Name {
		r.settleLocal(grant, notRun)
		return nil
	}
	client, err := r.client(home)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = client.Settle(ctx, &peerapi.SettleRequest{
		Key: KeyToWire(grant.Key), RequestId: grant.RequestID, Answer: AnswerToWire(grant.Answer), NotRun: notRun, Unknown: grant.Unknown,
	})
	return err
}

func (r *Router) settleLocal(grant claim.Grant, notRun bool) {
	if notRun {
		r.claims.Withdraw(grant.Key, grant.RequestID)
		return
	}
	r.claims.Settle(grant.Key, grant.RequestID, grant.Answer, grant.Unknown)
}

func (r *Router) client(host string) (peerapi.PeerClient, error) {
	state, ok := r.peers.Lookup(host)
	if !ok {
		return nil, fmt.Errorf("%w: host %q is not known", ErrUnreachable, host)
	}
	client, err := r.pool.Client(state.Host.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return client, nil
}

func keyText(k claim.Key) string {
	return k.Workspace + "\x00" + k.Service + "\x00" + k.Value
}

func reserveError(outcome peerapi.ReserveResponse_Outcome) error {
	switch outcome {
	case peerapi.ReserveResponse_OUTCOME_GRANTED:
		return nil
	case peerapi.ReserveResponse_OUTCOME_FULL:
		return slot.ErrFull
	case peerapi.ReserveResponse_OUTCOME_LEAVING:
		return slot.ErrLeaving
	case peerapi.ReserveResponse_OUTCOME_NOT_HOME:
		return ErrNotHome
	}
	return ErrUnreachable
}
