package peerserver

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// Claims grants the idempotency keys whose home is this daemon.
type Claims interface {
	Claim(ctx context.Context, now time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error)
	Settle(now time.Time, key claim.Key, requestID string, response *claim.Response, unknown bool) error
	Withdraw(key claim.Key, requestID string)
	List(now time.Time, epoch claim.Epoch, requester string) (claim.Listing, *claim.Epoch)
	Witness(epoch uint64, mode claim.MemberMode, grants []claim.Grant) *claim.Epoch
	Epoch() claim.Epoch
	NotifyEpoch(epoch uint64)
}

// Claim implements the Peer service. An error other than claim.ErrNotHome becomes
// the outcome "undecided".
func (s *Server) Claim(ctx context.Context, request *peerapi.ClaimRequest) (*peerapi.ClaimResponse, error) {
	now := time.Now()
	s.claims.NotifyEpoch(request.GetEpoch())
	outcome, grant, err := s.claims.Claim(ctx, now, peer.GrantFromRequest(now, request))
	response := peer.ClaimResponse(outcome, grant)
	if err != nil && !errors.Is(err, claim.ErrNotHome) {
		response = &peerapi.ClaimResponse{Outcome: peerapi.ClaimResponse_OUTCOME_UNDECIDED}
	}
	response.Epoch = s.claims.Epoch().Number
	return response, nil
}

// Settle implements the Peer service. NotFound means that this daemon does not hold
// the grant.
func (s *Server) Settle(_ context.Context, request *peerapi.SettleRequest) (*peerapi.SettleResponse, error) {
	key := peer.KeyFromWire(request.GetKey())
	if request.GetNotRun() {
		s.claims.Withdraw(key, request.GetRequestId())
		return &peerapi.SettleResponse{}, nil
	}
	err := s.claims.Settle(time.Now(), key, request.GetRequestId(), peer.ResponseFromWire(request.GetAnswer()), request.GetUnknown())
	if err != nil {
		return nil, status.Error(codes.NotFound, err.Error())
	}
	return &peerapi.SettleResponse{}, nil
}

// ListGrants implements the Peer service. If this daemon is in a newer epoch than
// the requester, the response has that epoch and no grants.
func (s *Server) ListGrants(_ context.Context, request *peerapi.ListGrantsRequest) (*peerapi.ListGrantsResponse, error) {
	epoch, err := peer.EpochFromWire(request.GetEpochRecord())
	if err != nil || epoch == nil {
		return nil, status.Error(codes.InvalidArgument, "no epoch to list grants for")
	}
	listing, newer := s.claims.List(time.Now(), *epoch, request.GetAsker().GetName())
	if newer != nil {
		record, err := json.Marshal(newer)
		return &peerapi.ListGrantsResponse{EpochRecord: record}, err
	}
	response := &peerapi.ListGrantsResponse{
		Grants:    peer.GrantsToWire(listing.Grants),
		Responder: &peerapi.Host{Name: listing.Daemon.Host, Incarnation: listing.Daemon.Incarnation},
	}
	for _, m := range listing.Modes {
		response.Flags = append(response.Flags, peer.MemberModeToWire(m))
	}
	return response, nil
}

// Witness implements the Peer service. If the grants were not recorded because
// another epoch is in force here, the response has that epoch.
func (s *Server) Witness(_ context.Context, request *peerapi.WitnessRequest) (*peerapi.WitnessResponse, error) {
	inForce := s.claims.Witness(request.GetEpoch(), peer.MemberModeFromWire(request.GetFlag()), peer.GrantsFromWire(request.GetGrants()))
	if inForce == nil {
		return &peerapi.WitnessResponse{Recorded: true}, nil
	}
	record, err := json.Marshal(inForce)
	return &peerapi.WitnessResponse{EpochRecord: record}, err
}
