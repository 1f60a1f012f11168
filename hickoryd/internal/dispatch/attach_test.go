package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/refusal"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const remoteResponse = "a complete response of another host"

type (
	// remoteOwner is another daemon that owns the running call of every key.
	remoteOwner struct {
		fakeHome
		failAfterBytes     int // bytes after which each connection breaks; 0: never
		failingConnections int // connections that break
		err                error
		refusal            *refusal.Refusal
	}

	// connection is one stream from a remoteOwner.
	connection struct {
		grpc.ClientStream
		owner  *remoteOwner
		offset int
		sent   int
	}
)

var errConnectionBroke = errors.New("connection broke")

func (r *remoteOwner) Claim(_ context.Context, _ time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	wanted.Owner = claim.Daemon{Host: "h2", Incarnation: 9}
	wanted.RequestID = "remote"
	return claim.Running, wanted, nil
}

func (r *remoteOwner) Attach(_ context.Context, _ claim.Daemon, _ string, offset int) (grpc.ServerStreamingClient[peerapi.AttachResponse], error) {
	return &connection{owner: r, offset: offset}, nil
}

// Recv returns chunkSize bytes at a time.
func (c *connection) Recv() (*peerapi.AttachResponse, error) {
	const chunkSize = 5
	r := c.owner
	switch {
	case r.err != nil:
		return nil, r.err
	case r.refusal != nil:
		return dispatch.PartToWire(dispatch.Part{Refusal: r.refusal, Done: true}), nil
	case r.failingConnections > 0 && c.sent >= r.failAfterBytes:
		r.failingConnections--
		return nil, errConnectionBroke
	}
	end := min(c.offset+chunkSize, len(remoteResponse))
	part := dispatch.Part{Body: []byte(remoteResponse[c.offset:end]), Done: end == len(remoteResponse)}
	if c.offset == 0 {
		part.Status = 200
	}
	c.sent += end - c.offset
	c.offset = end
	return dispatch.PartToWire(part), nil
}

// TestAttachToRemoteCall attaches to a call that runs on another host, while
// connections to that host break, the host has no record of the call, or the
// call ends with a refusal. The caller gets the complete response or a refusal
// that states whether the call ran, and the call does not run a second time.
//
// proof: daemons cut off | answer | 3
// proof: silent connection | answer | 2
func TestAttachToRemoteCall(t *testing.T) {
	notRunRefusal := refusal.NotRun(refusal.Unavailable, "no server").WithRetryAfter(time.Second)
	mayHaveRunRefusal := refusal.MayHaveRun(refusal.BackendFailed, "broken")
	tests := []struct {
		name  string
		owner *remoteOwner
		body  string
		kind  refusal.Kind
		ran   refusal.Ran
	}{
		{name: "complete", owner: &remoteOwner{}, body: remoteResponse},
		{name: "connection breaks three times", owner: &remoteOwner{failAfterBytes: 10, failingConnections: 3}, body: remoteResponse},
		{name: "connection breaks always", owner: &remoteOwner{failingConnections: 100}, kind: refusal.OutcomeUnknown, ran: refusal.RanUnknown},
		{name: "owner has no record of the call", owner: &remoteOwner{err: status.Error(codes.NotFound, "no record")}, kind: refusal.OutcomeUnknown, ran: refusal.RanUnknown},
		{name: "call failed", owner: &remoteOwner{refusal: mayHaveRunRefusal}, kind: refusal.BackendFailed, ran: refusal.RanUnknown},
		{name: "call was not run and its key is never released", owner: &remoteOwner{refusal: notRunRefusal}, kind: refusal.ClaimUndecided, ran: refusal.RanNo},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.owner.table = claim.NewTable(10)
				k := dispatch.NewKeyed(owner, test.owner, test.owner, dispatch.NewRecordings(1000), takeoverTime, metrics.NewSet())
				var w keyedWork
				response, err := sendKeyed(t.Context(), k, keyedRequest("1", false), &w)
				if test.body != "" && (err != nil || string(response.Body) != test.body || response.Status != 200) {
					t.Errorf("response %d %q, %v", response.Status, response.Body, err)
				}
				if test.body == "" {
					wantRefusal(t, err, test.kind, test.ran)
				}
				if w.runs != 0 {
					t.Errorf("%d runs in addition to the owner's", w.runs)
				}
			})
		})
	}
}

type (
	// refusingSource is a run that ends without a response.
	refusingSource struct {
		dispatch.Source
		refusal *refusal.Refusal
	}

	// writeDetector records whether anything was written, including the status.
	writeDetector struct {
		http.ResponseWriter
		hasWritten bool
	}
)

func (s refusingSource) Next(context.Context) (dispatch.Part, error) {
	return dispatch.Part{Refusal: s.refusal, Done: true}, nil
}

func (refusingSource) Close() {}

func (w *writeDetector) Header() http.Header { return http.Header{} }
func (w *writeDetector) WriteHeader(int)     { w.hasWritten = true }
func (w *writeDetector) Flush()              { w.hasWritten = true }

func (w *writeDetector) Write(data []byte) (int, error) {
	w.hasWritten = true
	return len(data), nil
}

// TestCopyOfARefusalWritesNothing guards against a status 200 for a call that
// was refused before its first byte: the caller must get the status of the
// refusal.
//
// proof: none | answer | 4
func TestCopyOfARefusalWritesNothing(t *testing.T) {
	notRunRefusal := refusal.NotRun(refusal.Overloaded, "full")
	w := &writeDetector{}
	started, err := dispatch.Copy(t.Context(), w, refusingSource{refusal: notRunRefusal})
	if started || refusal.FromError(err) != notRunRefusal {
		t.Errorf("started %v, error %v, want the refusal", started, err)
	}
	if w.hasWritten {
		t.Error("something was written before the refusal")
	}
}
