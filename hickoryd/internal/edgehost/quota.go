package edgehost

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hickoryfront/hickoryfront/core/quota"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// QuotaReceiver grants units of the workspaces of which this host is a home.
type QuotaReceiver interface {
	// GrantQuota responds at now to a host that asks for units. The error is quota.ErrNoHome
	// if this host does not grant units of the workspace.
	GrantQuota(now time.Time, ask quota.Ask) (quota.Answer, error)
	// ReturnQuota takes back at now units that this host has granted.
	ReturnQuota(now time.Time, workspace string, units float64)
}

// AcquireQuota asks the host at address, a home of a workspace, for units. The error is
// quota.ErrNoHome if the host does not grant units of the workspace, or knows no quotas.
func (c *Client) AcquireQuota(ctx context.Context, address netip.AddrPort, ask quota.Ask) (quota.Answer, error) {
	peer, err := c.edgeClient(address)
	if err != nil {
		return quota.Answer{}, err
	}
	response, err := peer.AcquireQuota(ctx, &peerapi.AcquireQuotaRequest{
		Workspace: ask.Workspace, ConfigVersion: ask.Version, Rate: ask.Limit.Rate, Burst: ask.Limit.Burst, Units: ask.Units, Ahead: ask.Ahead,
	})
	if code := status.Code(err); code == codes.FailedPrecondition || code == codes.Unimplemented {
		return quota.Answer{}, fmt.Errorf("%w: %w", quota.ErrNoHome, err)
	}
	if err != nil {
		return quota.Answer{}, err
	}
	return quota.Answer{Granted: response.GetGranted(), Wait: time.Duration(response.GetWaitMs()) * time.Millisecond}, nil
}

// ReturnQuota returns units to the host at address, which has granted them.
func (c *Client) ReturnQuota(ctx context.Context, address netip.AddrPort, workspace string, units float64) error {
	peer, err := c.edgeClient(address)
	if err != nil {
		return err
	}
	_, err = peer.ReturnQuota(ctx, &peerapi.ReturnQuotaRequest{Workspace: workspace, Units: units})
	return err
}

// AcquireQuota implements peerapi.EdgeServer.
func (s *Server) AcquireQuota(ctx context.Context, request *peerapi.AcquireQuotaRequest) (*peerapi.AcquireQuotaResponse, error) {
	if s.quotas == nil {
		return s.UnimplementedEdgeServer.AcquireQuota(ctx, request)
	}
	if err := ctx.Err(); err != nil { // after a pause of this host the requester waits no longer
		return nil, status.FromContextError(err).Err()
	}
	answer, err := s.quotas.GrantQuota(time.Now(), quota.Ask{
		Workspace: request.GetWorkspace(), Version: request.GetConfigVersion(),
		Limit: quota.Limit{Rate: request.GetRate(), Burst: request.GetBurst()}, Units: request.GetUnits(), Ahead: request.GetAhead(),
	})
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &peerapi.AcquireQuotaResponse{Granted: answer.Granted, WaitMs: encodeWait(answer.Wait)}, nil
}

// ReturnQuota implements peerapi.EdgeServer.
func (s *Server) ReturnQuota(ctx context.Context, request *peerapi.ReturnQuotaRequest) (*peerapi.ReturnQuotaResponse, error) {
	if s.quotas == nil {
		return s.UnimplementedEdgeServer.ReturnQuota(ctx, request)
	}
	s.quotas.ReturnQuota(time.Now(), request.GetWorkspace(), request.GetUnits())
	return &peerapi.ReturnQuotaResponse{}, nil
}

// encodeWait returns a wait in milliseconds, rounded up so that it has passed at the home.
func encodeWait(wait time.Duration) int64 {
	return int64((wait + time.Millisecond - 1) / time.Millisecond)
}
