package home

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	claimTimeout = 2 * time.Second
)

// ErrHostUnreachable means that a host, which need not be the home, can't be reached:
// it did not respond, or the member list does not contain it or its incarnation.
var ErrHostUnreachable = errors.New("home unreachable")

type (
	// Peers is the part of the host membership that calls to homes use.
	Peers interface {
		Membership
		Lookup(name string) (member.State, bool)
		// HasFailed reports whether an incarnation of a host may be taken for failed.
		HasFailed(now time.Time, name string, incarnation uint64) bool
		// HasMajority reports whether this daemon has heard from a majority of the known
		// hosts since the given time.
		HasMajority(since time.Time) bool
		LastContact() time.Time
	}

	// Router sends claims to the home of their key, which may be this daemon. It
	// is safe for concurrent use.
	Router struct {
		peers  Peers
		pool   *peer.Pool
		claims *Claims
	}
)

// NewRouter returns a router.
func NewRouter(peers Peers, pool *peer.Pool, claims *Claims) *Router {
	return &Router{peers: peers, pool: pool, claims: claims}
}

// Claim requests the right to run a call from the home of its key. After an error
// the call must not run, and the caller must withdraw the claim with Settle, because
// the home may have granted it. ErrHostUnreachable means that the home can't be reached.
func (r *Router) Claim(ctx context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	epoch := r.claims.Epoch().Number
	home := r.claims.HomeOf(wanted.Key)
	if home == r.peers.Self().Name {
		return r.claims.Claim(ctx, now, wanted)
	}
	client, err := r.client(home)
	if err != nil {
		return claim.Undecided, claim.Grant{}, err
	}
	response, err := client.Claim(ctx, &peerapi.ClaimRequest{
		Key: peer.KeyToWire(wanted.Key), Claimant: peer.HostToWire(r.peers.Self()), BodyHash: wanted.BodyHash,
		RequestId: wanted.RequestID, Horizon: durationpb.New(wanted.Horizon), Epoch: epoch,
	})
	if err != nil {
		return claim.Undecided, claim.Grant{}, fmt.Errorf("%w: %w", ErrHostUnreachable, err)
	}
	r.claims.NotifyEpoch(response.GetEpoch())
	outcome := peer.OutcomeFromWire(response.GetOutcome())
	if outcome == claim.Undecided || outcome == claim.NotHome {
		return outcome, claim.Grant{}, ErrUndecided
	}
	return outcome, peer.GrantFromResponse(wanted, response), nil
}

// Settle reports to the home of a key how a claimed call ended. withdraw withdraws
// the claim: the call did not run, or ended without a complete response and may run
// again. ErrNoGrant means that the home does not have the grant, or has not taken it
// over yet.
func (r *Router) Settle(ctx context.Context, now time.Time, grant claim.Grant, withdraw bool) error {
	home := r.claims.HomeOf(grant.Key)
	if home == r.peers.Self().Name {
		return r.settleLocal(now, grant, withdraw)
	}
	client, err := r.client(home)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err = client.Settle(ctx, &peerapi.SettleRequest{
		Key: peer.KeyToWire(grant.Key), RequestId: grant.RequestID, Answer: peer.ResponseToWire(grant.Response), NotRun: withdraw, Unknown: grant.Unknown,
	})
	if status.Code(err) == codes.NotFound {
		return ErrNoGrant
	}
	return err
}

// Attach opens the response, from offset on, of a request that another daemon runs
// or has run.
func (r *Router) Attach(ctx context.Context, owner claim.Daemon, requestID string, offset int) (grpc.ServerStreamingClient[peerapi.AttachResponse], error) {
	state, ok := r.peers.Lookup(owner.Host)
	if !ok || state.Host.Incarnation != owner.Incarnation {
		return nil, fmt.Errorf("%w: host %q has ended since", ErrHostUnreachable, owner.Host)
	}
	client, err := r.client(owner.Host)
	if err != nil {
		return nil, err
	}
	return client.Attach(ctx, &peerapi.AttachRequest{RequestId: requestID, Offset: uint64(offset)})
}

func (r *Router) settleLocal(now time.Time, grant claim.Grant, withdraw bool) error {
	if withdraw {
		r.claims.Withdraw(grant.Key, grant.RequestID)
		return nil
	}
	return r.claims.Settle(now, grant.Key, grant.RequestID, grant.Response, grant.Unknown)
}

func (r *Router) client(host string) (peerapi.PeerClient, error) {
	return clientOf(r.peers, r.pool, host)
}

func clientOf(peers Peers, pool *peer.Pool, host string) (peerapi.PeerClient, error) {
	state, ok := peers.Lookup(host)
	if !ok {
		return nil, fmt.Errorf("%w: host %q is not known", ErrHostUnreachable, host)
	}
	client, err := pool.Client(state.Host.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrHostUnreachable, err)
	}
	return client, nil
}
