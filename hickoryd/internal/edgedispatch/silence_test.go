package edgedispatch_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

// endlessSilence is longer than any caller waits.
const endlessSilence = time.Minute

var resumable = route.Route{Kind: route.Streaming, IsGeneration: true, IsResumable: true, MaxServers: 2}

// sendEvents sends events and makes sure that they reach the host.
func sendEvents(w http.ResponseWriter, ids ...string) {
	w.Header().Set("Server-Stamp", "stamp")
	for _, id := range ids {
		_, _ = io.WriteString(w, "id: "+id+"\n\n")
	}
	_ = http.NewResponseController(w).Flush()
}

// eventsAroundSilence sends the events before, is silent, and goes on with those after.
func eventsAroundSilence(before []string, silence time.Duration, after ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if len(before) > 0 {
			sendEvents(w, before...)
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(silence):
		}
		sendEvents(w, after...)
	}
}

// TestLogNamesSilence checks that the log of a retried stream tells a silent server from
// one that broke off.
func TestLogNamesSilence(t *testing.T) {
	tests := []struct {
		name  string
		first http.HandlerFunc
		want  bool
	}{
		{name: "silent", first: eventsAroundSilence([]string{"1"}, endlessSilence), want: true},
		{name: "broken off", first: eventsThenBreak("1")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var firstHasCapacity, secondHasCapacity atomic.Bool
			firstHasCapacity.Store(true)
			secondHasCapacity.Store(true)
			first := startDecodeServer(t, "first", &firstHasCapacity, tt.first)
			second := startDecodeServer(t, "second", &secondHasCapacity, events("2"))
			second.FailureDomain = "elsewhere" // the first server is preferred
			entries := memory.New()
			d := edgedispatch.New(t.Context(), edgedispatch.Options{Budget: retrybudget.Limits{Slack: 100}}, servers{first, second},
				upstream.NewPool(netip.Addr{}, metrics.NewSet()), noPeers{}, &log.Logger{Handler: entries, Level: log.InfoLevel}, metrics.NewSet())
			if status, body := send(t, d, resumable, callerTimeout); status != http.StatusOK || body != "id: 1\n\nid: 2\n\n" {
				t.Fatalf("status %d, body %q", status, body)
			}
			var got string
			for _, entry := range entries.Entries {
				if entry.Message == "stream retried on another server" {
					got += entry.Fields.Get("server").(string) + ": " + entry.Fields.Get("error").(string)
				}
			}
			if !strings.HasPrefix(got, "first: ") || strings.Contains(got, "no stream event") != tt.want {
				t.Errorf("logged %q, want the server and, %t, its silence", got, tt.want)
			}
		})
	}
}
