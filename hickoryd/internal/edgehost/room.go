package edgehost

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/core/room"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// RoomReceiver grants room at the servers of the services for which this host is the home.
type RoomReceiver interface {
	// AcquireRoom responds to another host that asks for room for a request, and states what
	// it has in flight at the servers of the service.
	AcquireRoom(ctx context.Context, pool room.Pool, request room.Request, inFlight map[string]int) room.Answer
	// ReleaseRoom receives a report that requests with room have ended.
	ReleaseRoom(pool room.Pool, released []room.Released)
}

var (
	encodedOutcomes = map[room.Outcome]peerapi.RoomOutcome{
		room.Unused: peerapi.RoomOutcome_ROOM_OUTCOME_UNUSED, room.Served: peerapi.RoomOutcome_ROOM_OUTCOME_SERVED,
		room.Shed: peerapi.RoomOutcome_ROOM_OUTCOME_SHED, room.Failed: peerapi.RoomOutcome_ROOM_OUTCOME_FAILED,
	}
	decodedOutcomes = map[peerapi.RoomOutcome]room.Outcome{
		peerapi.RoomOutcome_ROOM_OUTCOME_SERVED: room.Served, peerapi.RoomOutcome_ROOM_OUTCOME_SHED: room.Shed,
		peerapi.RoomOutcome_ROOM_OUTCOME_FAILED: room.Failed,
	}
)

// AcquireRoom asks the host at address, the home of a service, for room for a request. inFlight
// is what this host has in flight at the servers of the service.
func (c *Client) AcquireRoom(ctx context.Context, address netip.AddrPort, pool room.Pool, request room.Request, inFlight map[string]int) (room.Answer, error) {
	peer, err := c.edgeClient(address)
	if err != nil {
		return room.Answer{}, err
	}
	response, err := peer.AcquireRoom(ctx, encodeRoomRequest(time.Now(), pool, request, inFlight))
	if err != nil {
		return room.Answer{}, err
	}
	return room.Answer{
		Server: response.GetServerId(), RetryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
		Reason: response.GetReason(), IsNotHome: response.GetIsNotHome(),
	}, nil
}

// ReleaseRoom reports to the host at address, the home of a service, that requests with room
// have ended.
func (c *Client) ReleaseRoom(ctx context.Context, address netip.AddrPort, pool room.Pool, released []room.Released) error {
	peer, err := c.edgeClient(address)
	if err != nil {
		return err
	}
	request := &peerapi.ReleaseRoomRequest{Service: pool.Service, Stage: string(pool.Stage), Released: make([]*peerapi.ReleasedRoom, 0, len(released))}
	for _, r := range released {
		request.Released = append(request.Released, &peerapi.ReleasedRoom{RequestId: r.RequestID, Outcome: encodedOutcomes[r.Outcome], TookMs: r.Took.Milliseconds()})
	}
	_, err = peer.ReleaseRoom(ctx, request)
	return err
}

// AcquireRoom implements peerapi.EdgeServer.
func (s *Server) AcquireRoom(ctx context.Context, request *peerapi.AcquireRoomRequest) (*peerapi.AcquireRoomResponse, error) {
	if s.rooms == nil {
		return s.UnimplementedEdgeServer.AcquireRoom(ctx, request)
	}
	decoded, inFlight := decodeRoomRequest(time.Now(), request)
	answer := s.rooms.AcquireRoom(ctx, room.Pool{Service: request.GetService(), Stage: serverlist.Stage(request.GetStage())}, decoded, inFlight)
	return &peerapi.AcquireRoomResponse{
		ServerId: answer.Server, RetryAfterMs: answer.RetryAfter.Milliseconds(), Reason: answer.Reason, IsNotHome: answer.IsNotHome,
	}, nil
}

// ReleaseRoom implements peerapi.EdgeServer.
func (s *Server) ReleaseRoom(ctx context.Context, request *peerapi.ReleaseRoomRequest) (*peerapi.ReleaseRoomResponse, error) {
	if s.rooms == nil {
		return s.UnimplementedEdgeServer.ReleaseRoom(ctx, request)
	}
	released := make([]room.Released, 0, len(request.GetReleased()))
	for _, r := range request.GetReleased() {
		released = append(released, room.Released{RequestID: r.GetRequestId(), Outcome: decodedOutcomes[r.GetOutcome()], Took: time.Duration(r.GetTookMs()) * time.Millisecond})
	}
	s.rooms.ReleaseRoom(room.Pool{Service: request.GetService(), Stage: serverlist.Stage(request.GetStage())}, released)
	return &peerapi.ReleaseRoomResponse{}, nil
}

// encodeRoomRequest encodes a request with ages and remaining times instead of times, as the
// clocks of hosts differ.
func encodeRoomRequest(now time.Time, pool room.Pool, r room.Request, inFlight map[string]int) *peerapi.AcquireRoomRequest {
	request := &peerapi.AcquireRoomRequest{
		Service: pool.Service, Stage: string(pool.Stage), ServiceTimeMs: r.ServiceTime.Milliseconds(), RequestId: r.ID, Workspace: r.Workspace, Urgency: int32(r.Urgency), IsReturn: r.IsReturn,
		AgeMs: now.Sub(r.Arrived).Milliseconds(), TargetMs: r.Target.Sub(now).Milliseconds(), DeadlineMs: r.Deadline.Sub(now).Milliseconds(),
		FailureDomain: r.FailureDomain, Excluded: r.Excluded, InFlight: make(map[string]uint32, len(inFlight)),
	}
	for server, count := range inFlight {
		request.InFlight[server] = uint32(max(count, 0))
	}
	return request
}

// decodeRoomRequest decodes a request. Its ID names the requester before the slash.
func decodeRoomRequest(now time.Time, request *peerapi.AcquireRoomRequest) (room.Request, map[string]int) {
	after := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	requester, _, _ := strings.Cut(request.GetRequestId(), "/")
	inFlight := make(map[string]int, len(request.GetInFlight()))
	for server, count := range request.GetInFlight() {
		inFlight[server] = int(count)
	}
	return room.Request{
		ID: request.GetRequestId(), Requester: requester, Workspace: request.GetWorkspace(), Urgency: int(request.GetUrgency()), IsReturn: request.GetIsReturn(),
		Arrived: after(-request.GetAgeMs()), Target: after(request.GetTargetMs()), Deadline: after(request.GetDeadlineMs()),
		FailureDomain: request.GetFailureDomain(), Excluded: request.GetExcluded(),
		ServiceTime: time.Duration(request.GetServiceTimeMs()) * time.Millisecond,
	}, inFlight
}
