package idletimeout_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/idletimeout"
)

const timeout = time.Second

// server is a fake server. It reads a part of the request's body after each of the pauses
// readPauses, sends the headers, and sends a part of the response's body after each of the
// pauses writePauses.
type server struct {
	readPauses  []time.Duration
	writePauses []time.Duration
}

func (s server) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, pause := range s.readPauses {
		if err := sleep(request.Context(), pause); err != nil {
			return nil, err
		}
		if _, err := request.Body.Read(make([]byte, 1)); err != nil {
			return nil, err
		}
	}
	return &http.Response{StatusCode: http.StatusOK, Body: &slowBody{ctx: request.Context(), pauses: s.writePauses}}, nil
}

type slowBody struct {
	ctx    context.Context
	pauses []time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.pauses) == 0 {
		return 0, io.EOF
	}
	if err := sleep(b.ctx, b.pauses[0]); err != nil {
		return 0, err
	}
	b.pauses = b.pauses[1:]
	p[0] = 'x'
	return 1, nil
}

func (b *slowBody) Close() error {
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func pauses(count int, each time.Duration) []time.Duration {
	all := make([]time.Duration, count)
	for i := range all {
		all[i] = each
	}
	return all
}

// A time limit on the whole call would cut off each large transfer over a slow link, and a
// call without any limit would wait for a peer that is gone.
func TestCallEndsWithoutProgress(t *testing.T) {
	const almost, tooLong = timeout - time.Millisecond, timeout + time.Millisecond
	tests := []struct {
		name   string
		server server
		body   int
		wait   time.Duration
		want   error
		took   time.Duration // until the end of the call
	}{
		{name: "immediate", took: 0},
		{name: "large response", server: server{writePauses: pauses(100, almost)}, took: 100 * almost},
		{name: "large request", server: server{readPauses: pauses(100, almost)}, body: 100, took: 100 * almost},
		{name: "no first byte", server: server{writePauses: pauses(1, time.Hour)}, want: idletimeout.ErrTimeout, took: timeout},
		{name: "response stalls", server: server{writePauses: append(pauses(50, almost), tooLong)}, want: idletimeout.ErrTimeout, took: 50*almost + timeout},
		{name: "request stalls", server: server{readPauses: append(pauses(50, almost), tooLong)}, body: 51, want: idletimeout.ErrTimeout, took: 50*almost + timeout},
		{name: "server holds the call", server: server{writePauses: []time.Duration{20 * time.Second, almost, almost}}, wait: 20 * time.Second, took: 20*time.Second + 2*almost},
		{name: "server holds the call too long", server: server{writePauses: pauses(1, 20*time.Second+tooLong)}, wait: 20 * time.Second, want: idletimeout.ErrTimeout, took: 20*time.Second + timeout},
		{name: "stall after a held call", server: server{writePauses: []time.Duration{time.Second, tooLong}}, wait: 20 * time.Second, want: idletimeout.ErrTimeout, took: time.Second + timeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts := 0
				ctx := t.Context()
				if tt.wait > 0 {
					ctx = idletimeout.WithWait(ctx, tt.wait, func() { starts++ })
				}
				started := time.Now()
				got, err := call(ctx, tt.server, tt.body)
				if !errors.Is(err, tt.want) {
					t.Errorf("error %v, want %v", err, tt.want)
				}
				if took := time.Since(started); took != tt.took {
					t.Errorf("the call took %v, want %v", took, tt.took)
				}
				if wantStarts := min(got, 1); tt.wait > 0 && starts != wantStarts {
					t.Errorf("%d reports of the first byte of %d, want %d", starts, got, wantStarts)
				}
			})
		})
	}
}

// The caller must be able to tell its own cancellation from that of a stalled call.
func TestCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout/2)
		defer cancel()
		_, err := call(ctx, server{writePauses: pauses(1, time.Hour)}, 0)
		if errors.Is(err, idletimeout.ErrTimeout) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v, want that of the caller's context", err)
		}
	})
}

// call makes a call with a body of the given size and returns the size of the response.
func call(ctx context.Context, s server, body int) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://server.example/", io.LimitReader(zeros{}, int64(body)))
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: idletimeout.NewTransport(s, timeout)}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return len(text), err
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	return len(p), nil
}
