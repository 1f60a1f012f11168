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

const remoteAnswer = "a whole answer of another host"

type (
	// remoteOwner is another daemon that runs the call of every key.
	remoteOwner struct {
		claims
		breakAfter int // bytes after which each connection breaks; 0: never
		breaks     int // connections that break
		err        error
		refusal    *refusal.Refusal
	}

	// connection is one stream from it.
	connection struct {
		grpc.ClientStream
		owner  *remoteOwner
		offset int
		sent   int
	}
)

var errBroken = errors.New("connection broke")

func (r *remoteOwner) Claim(_ context.Context, _ time.Time, wanted claim.Grant) (claim.Outcome, claim.Grant, error) {
	wanted.Owner = claim.Owner{Host: "h2", Incarnation: 9}
	wanted.RequestID = "remote"
	return claim.Running, wanted, nil
}

func (r *remoteOwner) Attach(_ context.Context, _ claim.Owner, _ string, offset int) (grpc.ServerStreamingClient[peerapi.AttachResponse], error) {
	return &connection{owner: r, offset: offset}, nil
}

// Recv returns five bytes at a time.
func (c *connection) Recv() (*peerapi.AttachResponse, error) {
	const step = 5
	r := c.owner
	switch {
	case r.err != nil:
		return nil, r.err
	case r.refusal != nil:
		return dispatch.PartToWire(dispatch.Part{Refusal: r.refusal, Done: true}), nil
	case r.breaks > 0 && c.sent >= r.breakAfter:
		r.breaks--
		return nil, errBroken
	}
	end := min(c.offset+step, len(remoteAnswer))
	part := dispatch.Part{Body: []byte(remoteAnswer[c.offset:end]), Done: end == len(remoteAnswer)}
	if c.offset == 0 {
		part.Status = 200
	}
	c.sent += end - c.offset
	c.offset = end
	return dispatch.PartToWire(part), nil
}

// TestAttachedAnswer follows a call that runs on another host.
//
// proof: daemons cut off | answer | 3
// proof: silent connection | answer | 2
func TestAttachedAnswer(t *testing.T) {
	full := refusal.NotRun(refusal.Unavailable, "no server").WithRetryAfter(time.Second)
	failed := refusal.MayHaveRun(refusal.BackendFailed, "broken")
	tests := []struct {
		name  string
		owner *remoteOwner
		body  string
		kind  refusal.Kind
		ran   refusal.Ran
	}{
		{name: "whole", owner: &remoteOwner{}, body: remoteAnswer},
		{name: "connection breaks three times", owner: &remoteOwner{breakAfter: 10, breaks: 3}, body: remoteAnswer},
		{name: "connection breaks always", owner: &remoteOwner{breaks: 100}, kind: refusal.OutcomeUnknown, ran: refusal.RanUnknown},
		{name: "owner forgot it", owner: &remoteOwner{err: status.Error(codes.NotFound, "no record")}, kind: refusal.OutcomeUnknown, ran: refusal.RanUnknown},
		{name: "call failed", owner: &remoteOwner{refusal: failed}, kind: refusal.BackendFailed, ran: refusal.RanUnknown},
		{name: "call was not run and its key is never released", owner: &remoteOwner{refusal: full}, kind: refusal.ClaimUndecided, ran: refusal.RanNo},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.owner.table = claim.NewTable(10)
				k := dispatch.NewKeyed(owner, test.owner, test.owner, dispatch.NewRecordings(1000), takeoverTime, metrics.NewSet())
				var w work
				answer, err := send(t.Context(), k, keyedRequest("1", false), &w)
				if test.body != "" && (err != nil || string(answer.Body) != test.body || answer.Status != 200) {
					t.Errorf("answer %d %q, %v", answer.Status, answer.Body, err)
				}
				if test.body == "" {
					wantRefusal(t, err, test.kind, test.ran)
				}
				if w.runs != 0 {
					t.Errorf("%d runs beside the owner's", w.runs)
				}
			})
		})
	}
}

type (
	// refusingSource is a run that ends without an answer.
	refusingSource struct {
		dispatch.Source
		refusal *refusal.Refusal
	}

	// touchedWriter notes whether anything was written, the status included.
	touchedWriter struct {
		http.ResponseWriter
		touched bool
	}
)

func (s refusingSource) Next(context.Context) (dispatch.Part, error) {
	return dispatch.Part{Refusal: s.refusal, Done: true}, nil
}

func (refusingSource) Close() {}

func (w *touchedWriter) Header() http.Header { return http.Header{} }
func (w *touchedWriter) WriteHeader(int)     { w.touched = true }
func (w *touchedWriter) Flush()              { w.touched = true }

func (w *touchedWriter) Write(data []byte) (int, error) {
	w.touched = true
	return len(data), nil
}

// A refusal before the first byte leaves the status open: the caller gets that
// of the refusal, not 200.
//
// proof: none | answer | 4
func TestCopyOfARefusalWritesNothing(t *testing.T) {
	full := refusal.NotRun(refusal.Overloaded, "full")
	w := &touchedWriter{}
	started, err := dispatch.Copy(t.Context(), w, refusingSource{refusal: full})
	if started || refusal.FromError(err) != full {
		t.Errorf("started %v, error %v, want the refusal", started, err)
	}
	if w.touched {
		t.Error("something was written before the refusal")
	}
}
