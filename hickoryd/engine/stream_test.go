package engine_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
)

// streamOf opens a stream whose server writes the pieces and flushes after each.
func streamOf(t *testing.T, pieces ...string) *engine.Stream {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, piece := range pieces {
			fmt.Fprint(w, piece)
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	stream, err := engine.New().Decode(t.Context(), backend.Server{Address: address}, engine.DecodeRequest{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	return stream
}

// TestStreamReadsEvents guards against events that are lost or accepted incomplete
// when they arrive in pieces, exceed the buffer or are cut off.
func TestStreamReadsEvents(t *testing.T) {
	long := strings.Repeat("book ", 20_000)
	tests := map[string]struct {
		pieces []string
		want   []string
		end    error
	}{
		"one event each":          {[]string{"data: {\"text\":\"a\"}\n\n", "data: {\"text\":\"b\"}\n\n"}, []string{"a", "b"}, io.EOF},
		"all events at once":      {[]string{"data: {\"text\":\"a\"}\n\ndata: {\"text\":\"b\"}\n\n"}, []string{"a", "b"}, io.EOF},
		"event in two pieces":     {[]string{"data: {\"te", "xt\":\"a\"}\n\n"}, []string{"a"}, io.EOF},
		"carriage returns":        {[]string{"data: {\"text\":\"a\"}\r\n\r\n"}, []string{"a"}, io.EOF},
		"comments between":        {[]string{": hello\n\ndata: {\"text\":\"a\"}\n\n"}, []string{"a"}, io.EOF},
		"longer than buffers":     {[]string{"data: {\"text\":\"" + long + "\"}\n\ndata: {\"text\":\"b\"}\n\n"}, []string{long, "b"}, io.EOF},
		"cut off within an event": {[]string{"data: {\"text\":\"a\"}\n\ndata: {\"text\":\"b"}, []string{"a"}, engine.ErrBroken},
		"not an event":            {[]string{"data: [1\n\n"}, nil, engine.ErrBroken},
		"no end of line":          {[]string{"data: " + strings.Repeat("x", 3<<20)}, nil, engine.ErrBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			stream := streamOf(t, test.pieces...)
			var got []string
			for {
				token, err := stream.Next()
				if err != nil {
					if !errors.Is(err, test.end) {
						t.Errorf("end %v, want %v", err, test.end)
					}
					break
				}
				got = append(got, token.Text)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPendingMeansNoWait guards against a Next that blocks although Pending
// reported an event: only a complete event counts as pending.
func TestPendingMeansNoWait(t *testing.T) {
	stream := streamOf(t, "data: {\"text\":\"a\"}\n\ndata: {\"text\":\"b\"}\n\ndata: {\"te")
	var pending []bool
	for range 2 {
		if _, err := stream.Next(); err != nil {
			t.Fatal(err)
		}
		pending = append(pending, stream.Pending())
	}
	if diff := cmp.Diff([]bool{true, false}, pending); diff != "" {
		t.Error(diff)
	}
}
