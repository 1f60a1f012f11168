package edgehost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/peerapi"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// acceptTimeout limits the wait until another host accepts a request.
	acceptTimeout = 300 * time.Millisecond
	// maxRelayedBytes is the total size of the bodies of other hosts' requests above which
	// further requests are rejected.
	maxRelayedBytes = 8 << 20
	// relayPollPeriod is the time between two checks whether all requests of other hosts
	// have ended.
	relayPollPeriod = 10 * time.Millisecond
)

var (
	// errLeaving and errNoPath reject requests of other hosts.
	errLeaving  = errors.New("host is leaving")
	errNoPath   = errors.New("no path to servers of the service")
	errTooMuch  = errors.New("too many bodies of other hosts' requests")
	errNoHead   = errors.New("request without a head")
	errBodySize = errors.New("body has another size than announced")
	// errRelayedKey refuses a request without a known key.
	errRelayedKey = &edgedispatch.Failure{Status: http.StatusUnauthorized, Reason: "unknown key"}
)

type (
	// RelayDispatcher sends the requests of other hosts to backend servers.
	RelayDispatcher interface {
		// AcceptsRelay reports whether the host has paths to servers of a service, and to most
		// of them if needsMost is set.
		AcceptsRelay(service string, needsMost bool) bool
		Serve(ctx context.Context, request *edgedispatch.Request, sink edgedispatch.Sink) error
	}

	// RelayRoutes holds the routes of the current configuration.
	RelayRoutes interface {
		// Table returns the routes, or nil if no configuration was loaded yet.
		Table() *route.Table
	}

	// relays serves the requests of other hosts.
	relays struct {
		dispatcher RelayDispatcher
		// routes is nil if requests are served with the headers that the other hosts pass on.
		routes        RelayRoutes
		isDraining    atomic.Bool
		inFlight      atomic.Int64
		bufferedBytes atomic.Int64
	}

	// relaySink sends a response to the host that has passed the request.
	relaySink struct {
		stream    grpc.BidiStreamingServer[peerapi.RelayRequest, peerapi.RelayResponse]
		isStarted bool
	}
)

// Relay passes a request to the host at address and writes the response to sink. The error is
// edgedispatch.ErrRelayRejected if the host has not sent the request to a server,
// an *edgedispatch.Failure if the host can't serve it, upstream.ErrMayHaveRun if that is
// unknown, and edgedispatch.ErrTruncated if the response has broken off.
func (c *Client) Relay(ctx context.Context, address netip.AddrPort, r *edgedispatch.Request, sink edgedispatch.Sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.offer(ctx, cancel, address, r)
	if err != nil {
		return fmt.Errorf("%w: %w", edgedispatch.ErrRelayRejected, err)
	}
	for body := r.Body; len(body) > 0; {
		part := body[:min(len(body), partBytes)]
		body = body[len(part):]
		if err := stream.Send(&peerapi.RelayRequest{Part: &peerapi.RelayRequest_Body{Body: part}}); err != nil {
			return fmt.Errorf("%w: %w", edgedispatch.ErrRelayRejected, err)
		}
	}
	if err := stream.Send(&peerapi.RelayRequest{Part: &peerapi.RelayRequest_IsComplete{IsComplete: true}}); err != nil {
		return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
	}
	return receive(stream, sink)
}

// offer sends the head of a request and awaits its acceptance.
func (c *Client) offer(ctx context.Context, cancel context.CancelFunc, address netip.AddrPort, r *edgedispatch.Request) (grpc.BidiStreamingClient[peerapi.RelayRequest, peerapi.RelayResponse], error) {
	timer := time.AfterFunc(acceptTimeout, cancel)
	peer, err := c.edgeClient(address)
	if err != nil {
		return nil, err
	}
	stream, err := peer.Relay(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&peerapi.RelayRequest{Part: &peerapi.RelayRequest_Head{Head: encodeRelayHead(time.Now(), r)}}); err != nil && err != io.EOF {
		return nil, err
	}
	response, err := stream.Recv() // after io.EOF it returns why the stream has ended
	switch {
	case err != nil:
		return nil, err
	case response.GetAcceptance() == nil:
		return nil, errors.New(response.GetFailure().GetReason())
	case !timer.Stop():
		return nil, context.DeadlineExceeded
	}
	return stream, nil
}

// receive receives the response to a request.
func receive(stream grpc.BidiStreamingClient[peerapi.RelayRequest, peerapi.RelayResponse], sink edgedispatch.Sink) error {
	isStarted := false
	for {
		response, err := stream.Recv()
		switch {
		case err == io.EOF && isStarted:
			return nil
		case err != nil && isStarted:
			return fmt.Errorf("%w: %w", edgedispatch.ErrTruncated, err)
		case err != nil:
			return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
		}
		switch part := response.GetPart().(type) {
		case *peerapi.RelayResponse_Start:
			isStarted = true
			err = sink.Start(int(part.Start.GetStatus()), decodeHeaders(part.Start.GetHeaders()))
		case *peerapi.RelayResponse_Body:
			err = sink.Write(part.Body)
		case *peerapi.RelayResponse_Failure:
			return decodeFailure(part.Failure)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", edgedispatch.ErrTruncated, err)
		}
	}
}

// Relay implements peerapi.EdgeServer.
func (s *Server) Relay(stream grpc.BidiStreamingServer[peerapi.RelayRequest, peerapi.RelayResponse]) error {
	r := s.relays
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetHead()
	if head == nil || head.GetRoute() == nil {
		return status.Error(codes.InvalidArgument, errNoHead.Error())
	}
	size := int64(min(head.GetBodyBytes(), maxRelayedBytes+1)) // a larger size would be negative
	defer r.bufferedBytes.Add(-size)
	if err := r.check(head, r.bufferedBytes.Add(size)); err != nil {
		return stream.Send(&peerapi.RelayResponse{Part: &peerapi.RelayResponse_Failure{Failure: &peerapi.RelayFailure{
			Status: http.StatusServiceUnavailable, Reason: err.Error(), IsRejection: true,
		}}})
	}
	if err := stream.Send(&peerapi.RelayResponse{Part: &peerapi.RelayResponse_Acceptance{Acceptance: &peerapi.RelayAcceptance{}}}); err != nil {
		return err
	}
	request := decodeRelayHead(time.Now(), head)
	if request.Body, err = receiveBody(stream, int(size)); err != nil {
		return err
	}
	sink := &relaySink{stream: stream}
	if err := r.identify(request); err != nil {
		return r.end(sink, head, err)
	}
	return r.end(sink, head, r.dispatcher.Serve(stream.Context(), request, sink))
}

// DrainRelays rejects further requests of other hosts.
func (s *Server) DrainRelays() {
	s.relays.isDraining.Store(true)
}

// AwaitRelays waits until the requests of other hosts have ended.
func (s *Server) AwaitRelays(ctx context.Context) error {
	for s.relays.inFlight.Load() > 0 {
		if err := timing.Sleep(ctx, relayPollPeriod); err != nil {
			return err
		}
	}
	return nil
}

// check returns why a request is rejected, or nil. bufferedBytes is the size of all bodies with
// its own.
func (r *relays) check(head *peerapi.RelayHead, bufferedBytes int64) error {
	switch {
	case r.isDraining.Load():
		return errLeaving
	case !r.accepts(head):
		return errNoPath
	case bufferedBytes > maxRelayedBytes:
		return errTooMuch
	}
	return nil
}

// identify finds the workspace of a request that the other host has not identified, and replaces
// the headers that state it: a host of an earlier version, or with an older configuration
// without workspaces, passes on the caller's key and the caller's own Tenant. The error is a
// *Failure if the request needs a key and has no known one. A stream that has begun continues, and
// a request by a newer configuration than this host's may be one of a public route.
func (r *relays) identify(request *edgedispatch.Request) error {
	if r.routes == nil {
		return nil
	}
	table := r.routes.Table()
	if table == nil || !table.Directory().IsEnforced() {
		return nil
	}
	if request.Workspace == "" {
		hash, err := platform.DecodeKey(request.Header)
		if workspace, ok := table.Directory().Find(hash); err == nil && ok {
			request.Workspace = workspace.Name
		} else if !request.IsContinued && request.ConfigVersion <= table.Version() && !isPublic(table, request) {
			return errRelayedKey
		}
	}
	platform.SetTenant(request.Header, request.Workspace)
	return nil
}

// isPublic reports whether the route of a request is public.
func isPublic(table *route.Table, request *edgedispatch.Request) bool {
	path, _, _ := strings.Cut(request.Target, "?")
	found := table.Find(request.Host, path)
	return found != nil && found.IsPublic
}

func (r *relays) accepts(head *peerapi.RelayHead) bool {
	return r.dispatcher.AcceptsRelay(head.GetRoute().GetService(), head.GetNeedsMostPaths())
}

// end ends the response to a request that was served with the result err.
func (r *relays) end(sink *relaySink, head *peerapi.RelayHead, err error) error {
	var failure *edgedispatch.Failure
	if sink.isStarted || !errors.As(err, &failure) {
		return err
	}
	// A host that stops or has just lost its own paths leaves the request to another one.
	isRejection := failure.Status == http.StatusServiceUnavailable && (r.isDraining.Load() || !r.accepts(head))
	return sink.stream.Send(&peerapi.RelayResponse{Part: &peerapi.RelayResponse_Failure{Failure: &peerapi.RelayFailure{
		Status: int32(failure.Status), RetryAfterMs: failure.RetryAfter.Milliseconds(), Reason: failure.Reason, IsRejection: isRejection,
	}}})
}

// Start implements edgedispatch.Sink.
func (s *relaySink) Start(status int, header http.Header) error {
	s.isStarted = true
	return s.stream.Send(&peerapi.RelayResponse{Part: &peerapi.RelayResponse_Start{Start: &peerapi.RelayStart{Status: int32(status), Headers: encodeHeaders(header)}}})
}

// Write implements edgedispatch.Sink.
func (s *relaySink) Write(part []byte) error {
	for len(part) > 0 {
		next := part[:min(len(part), partBytes)]
		part = part[len(next):]
		if err := s.stream.Send(&peerapi.RelayResponse{Part: &peerapi.RelayResponse_Body{Body: next}}); err != nil {
			return err
		}
	}
	return nil
}

// receiveBody receives the body of a request, which has the given size.
func receiveBody(stream grpc.BidiStreamingServer[peerapi.RelayRequest, peerapi.RelayResponse], size int) ([]byte, error) {
	var body []byte
	for {
		message, err := stream.Recv()
		switch {
		case err != nil:
			return nil, err
		case message.GetIsComplete() && len(body) == size:
			return body, nil
		case message.GetIsComplete() || len(body)+len(message.GetBody()) > size:
			return nil, status.Error(codes.InvalidArgument, errBodySize.Error())
		}
		body = append(body, message.GetBody()...)
	}
}

func encodeRelayHead(now time.Time, r *edgedispatch.Request) *peerapi.RelayHead {
	return &peerapi.RelayHead{
		Method: r.Method, Target: r.Target, Host: r.Host, Headers: encodeHeaders(r.Header), ConfigVersion: r.ConfigVersion,
		Route: &peerapi.RelayRoute{
			Name: r.Route.Name, Kind: string(r.Route.Kind), Service: r.Route.Service, TimeoutMs: r.Route.Timeout.Milliseconds(),
			LatencyTargetMs: r.Route.LatencyTarget.Milliseconds(), GapTargetMs: r.Route.GapTarget.Milliseconds(), Priority: int32(r.Route.Priority),
			MaxServers: int32(r.Route.MaxServers), IsGeneration: r.Route.IsGeneration, IsResumable: r.Route.IsResumable,
		},
		TimeLeftMs: r.Deadline.Sub(now).Milliseconds(), Fingerprint: r.Fingerprint, BodyBytes: uint64(len(r.Body)),
		NeedsMostPaths: r.NeedsMostPaths, IsContinued: r.IsContinued, IsResumed: r.Metadata.IsResumed, LastEventId: r.Metadata.LastEventID, SoftwareVersion: r.SoftwareVersion,
		Workspace: r.Workspace, Priority: int32(r.Priority), IsRanked: r.IsRanked,
	}
}

// decodeRelayHead returns a request of another host, which arrives at now, without its body.
// The time that it has spent at that host is no reason to refuse it as late. Headers that
// can't be decoded are ignored, as the other host has done.
func decodeRelayHead(now time.Time, head *peerapi.RelayHead) *edgedispatch.Request {
	selected := head.GetRoute()
	milliseconds := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	r := &edgedispatch.Request{
		Method: head.GetMethod(), Target: head.GetTarget(), Host: head.GetHost(), Header: decodeHeaders(head.GetHeaders()), ConfigVersion: head.GetConfigVersion(),
		Route: &route.Route{
			Name: selected.GetName(), Kind: route.Kind(selected.GetKind()), Service: selected.GetService(), Timeout: milliseconds(selected.GetTimeoutMs()),
			LatencyTarget: milliseconds(selected.GetLatencyTargetMs()), GapTarget: milliseconds(selected.GetGapTargetMs()), Priority: int(selected.GetPriority()),
			MaxServers: int(selected.GetMaxServers()), IsGeneration: selected.GetIsGeneration(), IsResumable: selected.GetIsResumable(),
		},
		Arrived: now, Deadline: now.Add(milliseconds(head.GetTimeLeftMs())), Fingerprint: head.GetFingerprint(),
		IsRelayed: true, IsContinued: head.GetIsContinued(), SoftwareVersion: head.GetSoftwareVersion(),
		Workspace: head.GetWorkspace(), Priority: int(head.GetPriority()), IsRanked: head.GetIsRanked(),
	}
	r.Metadata, _ = platform.DecodeRequest(r.Header)
	if r.IsContinued {
		r.Metadata.IsResumed, r.Metadata.LastEventID = head.GetIsResumed(), head.GetLastEventId()
	}
	return r
}

// decodeFailure returns the error of a request that another host has not served.
func decodeFailure(failure *peerapi.RelayFailure) error {
	if failure.GetIsRejection() {
		return fmt.Errorf("%w: %s", edgedispatch.ErrRelayRejected, failure.GetReason())
	}
	return &edgedispatch.Failure{
		Status: int(failure.GetStatus()), RetryAfter: time.Duration(failure.GetRetryAfterMs()) * time.Millisecond, Reason: failure.GetReason(),
	}
}

func encodeHeaders(header http.Header) []*peerapi.RelayHeader {
	headers := make([]*peerapi.RelayHeader, 0, len(header))
	for name, values := range header {
		headers = append(headers, &peerapi.RelayHeader{Name: name, Values: values})
	}
	return headers
}

func decodeHeaders(headers []*peerapi.RelayHeader) http.Header {
	header := make(http.Header, len(headers))
	for _, h := range headers {
		header[h.GetName()] = h.GetValues()
	}
	return header
}
