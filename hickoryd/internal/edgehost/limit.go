package edgehost

import (
	"context"
	"net/netip"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlimit"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// LimitReceiver receives the other hosts' reports about the limits of servers and issues
// permits to them.
type LimitReceiver interface {
	// ReportLimit receives what a server has stated to another host.
	ReportLimit(statement serverlimit.Statement)
	// IssuePermit responds at now to another host that wants to send one request to a
	// server, and whose newest statement is given.
	IssuePermit(now time.Time, statement serverlimit.Statement) serverlimit.Permit
}

// ReportLimit reports what a server has stated to the hosts at addresses, or to all other
// hosts if there are no addresses, in the background.
func (c *Client) ReportLimit(ctx context.Context, addresses []netip.AddrPort, statement serverlimit.Statement) {
	if len(addresses) == 0 {
		addresses = c.otherHosts()
	}
	request := &peerapi.ReportLimitRequest{Limit: encodeLimit(time.Now(), statement)}
	for _, address := range addresses {
		go c.runNotify(ctx, address, func(ctx context.Context, peer peerapi.EdgeClient) error {
			_, err := peer.ReportLimit(ctx, request)
			return err
		})
	}
}

// AcquirePermit asks the host at address, a home of the statement's server, for a permit to
// send the server one request.
func (c *Client) AcquirePermit(ctx context.Context, address netip.AddrPort, statement serverlimit.Statement) (serverlimit.Permit, error) {
	peer, err := c.edgeClient(address)
	if err != nil {
		return serverlimit.Permit{}, err
	}
	response, err := peer.AcquirePermit(ctx, &peerapi.AcquirePermitRequest{Limit: encodeLimit(time.Now(), statement)})
	if err != nil {
		return serverlimit.Permit{}, err
	}
	return serverlimit.Permit{
		IsGranted: response.GetIsGranted(), Wait: time.Duration(response.GetWaitMs()) * time.Millisecond,
		Newest: decodeLimit(time.Now(), response.GetNewest()),
	}, nil
}

// ReportLimit implements peerapi.EdgeServer.
func (s *Server) ReportLimit(_ context.Context, request *peerapi.ReportLimitRequest) (*peerapi.ReportLimitResponse, error) {
	s.limits.ReportLimit(decodeLimit(time.Now(), request.GetLimit()))
	return &peerapi.ReportLimitResponse{}, nil
}

// AcquirePermit implements peerapi.EdgeServer.
func (s *Server) AcquirePermit(_ context.Context, request *peerapi.AcquirePermitRequest) (*peerapi.AcquirePermitResponse, error) {
	now := time.Now()
	permit := s.limits.IssuePermit(now, decodeLimit(now, request.GetLimit()))
	return &peerapi.AcquirePermitResponse{
		IsGranted: permit.IsGranted, WaitMs: permit.Wait.Milliseconds(), Newest: encodeLimit(now, permit.Newest),
	}, nil
}

// encodeLimit encodes a statement with ages instead of times, as the clocks of hosts differ.
func encodeLimit(now time.Time, s serverlimit.Statement) *peerapi.ServerLimit {
	limit := &peerapi.ServerLimit{
		ServerId: s.Server, ServerStartedMs: encodeTime(s.ServerStarted), IsLimited: s.IsLimited, Rate: s.Rate, AgeMs: now.Sub(s.At).Milliseconds(),
	}
	if s.IsLimited {
		limit.SinceAgeMs = now.Sub(s.Since).Milliseconds()
	}
	return limit
}

func decodeLimit(now time.Time, limit *peerapi.ServerLimit) serverlimit.Statement {
	s := serverlimit.Statement{
		Server: limit.GetServerId(), ServerStarted: decodeTime(limit.GetServerStartedMs()), IsLimited: limit.GetIsLimited(), Rate: limit.GetRate(),
		At: now.Add(-time.Duration(limit.GetAgeMs()) * time.Millisecond),
	}
	if s.IsLimited {
		s.Since = now.Add(-time.Duration(limit.GetSinceAgeMs()) * time.Millisecond)
	}
	return s
}
