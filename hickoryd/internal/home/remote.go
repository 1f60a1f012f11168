package home

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	claimTimeout = 2 * time.Second
)

// ErrUnreachable means that the home did not answer.
var ErrUnreachable = errors.New("home unreachable")

type (
	// Peers is what routing to homes needs of the fleet.
	Peers interface {
		Membership
		Lookup(name string) (member.State, bool)
		Majority(now time.Time) bool
		LastHeard() time.Time
	}

	// Router asks the home of a key, which may be this daemon. It is
	// safe for concurrent use.
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
	return clientOf(r.peers, r.pool, host)
}

func clientOf(peers Peers, pool *peer.Pool, host string) (peerapi.PeerClient, error) {
	state, ok := peers.Lookup(host)
	if !ok {
		return nil, fmt.Errorf("%w: host %q is not known", ErrUnreachable, host)
	}
	client, err := pool.Client(state.Host.PeerAddress)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return client, nil
}

func keyText(k claim.Key) string {
	return k.Workspace + "\x00" + k.Service + "\x00" + k.Value
}
