package edgehost

import (
	"context"
	"time"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// findStartsTimeout limits the query for starts, during which requests that may crash
// servers are not refused yet.
const findStartsTimeout = 200 * time.Millisecond

// ReportPartLoss reports to all other hosts that a server failed before it began to answer
// a request.
func (c *Client) ReportPartLoss(ctx context.Context, loss crash.PartLoss) {
	c.notifyAll(ctx, func(ctx context.Context, peer peerapi.EdgeClient) error {
		_, err := peer.ReportPartLoss(ctx, &peerapi.ReportPartLossRequest{
			Service: loss.Service, Parts: loss.Parts, RequestId: loss.RequestID, ServerId: loss.Server, ServerStartedMs: encodeTime(loss.ServerStarted),
		})
		return err
	})
}

// ReportRefusal reports to all other hosts that requests are refused, or not any more.
func (c *Client) ReportRefusal(ctx context.Context, refusal crash.PartRefusal, isLifted bool) {
	c.notifyAll(ctx, func(ctx context.Context, peer peerapi.EdgeClient) error {
		_, err := peer.ReportRefusal(ctx, &peerapi.ReportRefusalRequest{
			Service: refusal.Service, Parts: refusal.Parts, DurationMs: refusal.Duration.Milliseconds(), IsLifted: isLifted,
		})
		return err
	})
}

// FindStarts returns the time since a server last began to answer a request with each of
// the parts, for those for which one of the hosts that respond in time has one.
func (c *Client) FindStarts(ctx context.Context, service string, parts []string) map[string]time.Duration {
	ctx, cancel := context.WithTimeout(ctx, findStartsTimeout)
	defer cancel()
	addresses := c.otherHosts()
	responses := query(ctx, c, addresses, func(ctx context.Context, peer peerapi.EdgeClient) (*peerapi.FindStartsResponse, error) {
		return peer.FindStarts(ctx, &peerapi.FindStartsRequest{Service: service, Parts: parts})
	})
	ages := make(map[string]time.Duration)
	for range addresses {
		for _, start := range (<-responses).value.GetStarts() {
			age := time.Duration(start.GetAgeMs()) * time.Millisecond
			if known, ok := ages[start.GetPart()]; !ok || age < known {
				ages[start.GetPart()] = age
			}
		}
	}
	return ages
}

// ReportPartLoss implements peerapi.EdgeServer.
func (s *Server) ReportPartLoss(_ context.Context, request *peerapi.ReportPartLossRequest) (*peerapi.ReportPartLossResponse, error) {
	s.quarantine.ReportPartLoss(time.Now(), crash.PartLoss{
		Service: request.GetService(), Parts: request.GetParts(), RequestID: request.GetRequestId(), Server: request.GetServerId(),
		ServerStarted: decodeTime(request.GetServerStartedMs()),
	})
	return &peerapi.ReportPartLossResponse{}, nil
}

// ReportRefusal implements peerapi.EdgeServer.
func (s *Server) ReportRefusal(_ context.Context, request *peerapi.ReportRefusalRequest) (*peerapi.ReportRefusalResponse, error) {
	refusal := crash.PartRefusal{Service: request.GetService(), Parts: request.GetParts(), Duration: time.Duration(request.GetDurationMs()) * time.Millisecond}
	s.quarantine.ReportRefusal(time.Now(), refusal, request.GetIsLifted())
	return &peerapi.ReportRefusalResponse{}, nil
}

// FindStarts implements peerapi.EdgeServer.
func (s *Server) FindStarts(_ context.Context, request *peerapi.FindStartsRequest) (*peerapi.FindStartsResponse, error) {
	response := &peerapi.FindStartsResponse{}
	for part, age := range s.quarantine.FindStarts(time.Now(), request.GetService(), request.GetParts()) {
		response.Starts = append(response.Starts, &peerapi.PartStart{Part: part, AgeMs: age.Milliseconds()})
	}
	return response, nil
}

// encodeTime returns a time in milliseconds of Unix time, and 0 for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func decodeTime(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}
