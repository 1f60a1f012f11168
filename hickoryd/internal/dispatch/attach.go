package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// maxReconnects bounds how often one attached response reconnects to its owner.
const maxReconnects = 3

type (
	// Attacher opens responses that other daemons are producing or have
	// produced.
	Attacher interface {
		Attach(ctx context.Context, owner claim.Daemon, requestID string, offset int) (grpc.ServerStreamingClient[peerapi.AttachResponse], error)
	}

	// Source is the response of one request, read from its first byte.
	Source interface {
		// NotRun waits for the first part of the response and reports whether
		// the request ended without being run.
		NotRun(ctx context.Context) (bool, error)
		// Next returns the next part; io.EOF follows the last.
		Next(ctx context.Context) (Part, error)
		Close()
	}

	localSource struct {
		recording *Recording
		detach    func()
		offset    int
		done      bool
	}

	remoteSource struct {
		attacher   Attacher
		owner      claim.Daemon
		requestID  string
		stream     grpc.ServerStreamingClient[peerapi.AttachResponse]
		offset     int
		reconnects int
		done       bool
		first      *Part // received, but not yet returned by Next
	}

	storedSource struct {
		response claim.Response
	}
)

func newLocalSource(recording *Recording) Source {
	return &localSource{recording: recording, detach: recording.Attach()}
}

func (s *localSource) NotRun(ctx context.Context) (bool, error) {
	part, err := s.recording.Next(ctx, 0)
	return isNotRun(part), err
}

func (s *localSource) Next(ctx context.Context) (Part, error) {
	if s.done {
		return Part{}, io.EOF
	}
	part, err := s.recording.Next(ctx, s.offset)
	s.offset += len(part.Body)
	s.done = part.Done
	return part, err
}

func (s *localSource) Close() {
	s.detach()
}

func openRemote(ctx context.Context, attacher Attacher, owner claim.Daemon, requestID string) (Source, error) {
	s := &remoteSource{attacher: attacher, owner: owner, requestID: requestID}
	part, err := s.receive(ctx)
	if err != nil {
		return nil, err
	}
	s.first = &part
	return s, nil
}

func (s *remoteSource) NotRun(context.Context) (bool, error) {
	return s.first != nil && isNotRun(*s.first), nil
}

func (s *remoteSource) Next(ctx context.Context) (Part, error) {
	if s.first != nil {
		part := *s.first
		s.first = nil
		return part, nil
	}
	if s.done {
		return Part{}, io.EOF
	}
	return s.receive(ctx)
}

func (s *remoteSource) Close() {}

// receive reads the next part. When the connection breaks, receive opens a new
// one at the offset that was reached.
func (s *remoteSource) receive(ctx context.Context) (Part, error) {
	for {
		response, err := s.receiveOnce(ctx)
		if err == nil {
			s.offset += len(response.GetBody())
			s.done = response.GetDone()
			return partFromWire(response), nil
		}
		s.stream = nil
		s.reconnects++
		switch {
		case status.Code(err) == codes.NotFound:
			return Part{}, ErrNotRecorded
		case ctx.Err() != nil || s.reconnects > maxReconnects:
			return Part{}, err
		}
	}
}

func (s *remoteSource) receiveOnce(ctx context.Context) (*peerapi.AttachResponse, error) {
	if s.stream == nil {
		stream, err := s.attacher.Attach(ctx, s.owner, s.requestID, s.offset)
		if err != nil {
			return nil, err
		}
		s.stream = stream
	}
	response, err := s.stream.Recv()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return response, err
}

func (s storedSource) NotRun(context.Context) (bool, error) {
	return false, nil
}

func (s storedSource) Next(context.Context) (Part, error) {
	return Part{Status: s.response.Status, Headers: s.response.Headers, Body: s.response.Body, Done: true}, nil
}

func (s storedSource) Close() {}

// Collect reads a complete response. Its errors are of type *refusal.Refusal,
// or context.Canceled when ctx has ended.
func Collect(ctx context.Context, source Source) (claim.Response, error) {
	defer source.Close()
	var response claim.Response
	for {
		part, err := source.Next(ctx)
		if err != nil {
			return response, sourceError(ctx, err)
		}
		if part.Refusal != nil {
			return response, part.Refusal
		}
		if part.Status != 0 {
			response.Status, response.Headers = part.Status, part.Headers
		}
		response.Body = append(response.Body, part.Body...)
		if part.Done {
			return response, nil
		}
	}
}

// Copy writes a response to a caller as its parts arrive. Its errors are of
// type *refusal.Refusal, or context.Canceled when the caller has disconnected.
// started reports whether anything was written. A response that failed after
// its first byte already carries the error in its body.
func Copy(ctx context.Context, to http.ResponseWriter, source Source) (started bool, err error) {
	defer source.Close()
	for {
		part, err := source.Next(ctx)
		if err != nil {
			return started, sourceError(ctx, err)
		}
		if part.Status != 0 {
			writeHead(to, part)
			started = true
		}
		if part.Refusal != nil && !started {
			return started, part.Refusal // write nothing: the refusal has its own status
		}
		if len(part.Body) > 0 {
			if _, err := to.Write(part.Body); err != nil {
				return started, context.Canceled
			}
		}
		if flusher, ok := to.(http.Flusher); ok && started {
			flusher.Flush()
		}
		if part.Done {
			return started, nil
		}
	}
}

func writeHead(to http.ResponseWriter, part Part) {
	for _, h := range part.Headers {
		to.Header().Add(h.Name, h.Value)
	}
	to.WriteHeader(part.Status)
}

func sourceError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Canceled
	}
	return refusal.MayHaveRun(refusal.OutcomeUnknown, "the answer of the running call was lost: %v", err)
}

func isNotRun(part Part) bool {
	return part.Refusal != nil && part.Refusal.Ran == refusal.RanNo
}

// PartToWire converts a part of a response to its wire form.
func PartToWire(p Part) *peerapi.AttachResponse {
	response := &peerapi.AttachResponse{Status: int32(p.Status), Body: p.Body, Done: p.Done, Refusal: refusalToWire(p.Refusal)}
	for _, h := range p.Headers {
		response.Headers = append(response.Headers, &peerapi.Header{Name: h.Name, Value: h.Value})
	}
	return response
}

func partFromWire(r *peerapi.AttachResponse) Part {
	part := Part{Status: int(r.GetStatus()), Body: r.GetBody(), Done: r.GetDone(), Refusal: refusalFromWire(r.GetRefusal())}
	for _, h := range r.GetHeaders() {
		part.Headers = append(part.Headers, claim.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return part
}

func refusalToWire(r *refusal.Refusal) *peerapi.Refusal {
	if r == nil {
		return nil
	}
	return &peerapi.Refusal{Code: r.Kind.Code, Ran: string(r.Ran), Message: r.Message, RetryAfter: durationpb.New(r.RetryAfter)}
}

func refusalFromWire(r *peerapi.Refusal) *refusal.Refusal {
	if r == nil {
		return nil
	}
	kind := refusal.BackendFailed
	for _, k := range refusal.Kinds() {
		if k.Code == r.GetCode() {
			kind = k
		}
	}
	return &refusal.Refusal{Kind: kind, Ran: refusal.Ran(r.GetRan()), Message: r.GetMessage(), RetryAfter: r.GetRetryAfter().AsDuration()}
}
