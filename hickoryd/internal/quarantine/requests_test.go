package quarantine_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/quarantine"
	"github.com/hickoryfront/hickoryfront/platform"
)

// transactions is a store that applies transactions only. statesItems is set if it states the items
// of a conflict.
type transactions struct {
	statesItems bool

	mu    sync.Mutex
	items map[string]map[string]any
	calls int
}

func (s *transactions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var call struct {
		Expected []platform.Condition `json:"expected"`
		Puts     []map[string]any     `json:"put-items"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call) // other calls have none of it
	reply := map[string]any{"lease": 1, "ttl-ms": 600000, "revision": s.calls}
	if item, ok := s.items[r.URL.Query().Get("key")]; ok {
		reply = item
	}
	var current []map[string]any
	hasConflict := false
	for _, condition := range call.Expected {
		item, ok := s.items[condition.Key]
		if ok {
			current = append(current, item)
		}
		hasConflict = hasConflict || ok && item["revision"] != condition.Revision || !ok && condition.Revision != 0
	}
	if hasConflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		if reply = map[string]any{}; s.statesItems {
			reply["items"] = current
		}
	} else {
		for _, put := range call.Puts {
			put["revision"] = uint64(s.calls)
			s.items[put["key"].(string)] = put
		}
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// TestRequestLossesAtSeveralHosts guards against hosts that know one failure each and don't refuse
// the request, since they have not heard of each other's.
func TestRequestLossesAtSeveralHosts(t *testing.T) {
	const fingerprint = 7
	for name, test := range map[string]struct {
		statesItems bool
		stored      string // under the key of the failures, before the first one
		server      string // of the second failure
		isRefused   bool
	}{
		"the store states a conflict's items":   {statesItems: true, server: "b", isRefused: true},
		"the store states nothing":              {server: "b", isRefused: true},
		"one failure that both hosts have seen": {statesItems: true, server: "a"},
		"bytes that can't be read":              {statesItems: true, stored: "[]", server: "b", isRefused: true},
	} {
		t.Run(name, func(t *testing.T) {
			store := &transactions{statesItems: test.statesItems, items: make(map[string]map[string]any)}
			if test.stored != "" {
				key := platform.RequestFailuresKey(fingerprint)
				store.items[key] = map[string]any{"key": key, "value": []byte(test.stored), "revision": uint64(1)}
			}
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			hosts := []*quarantine.Quarantine{startRequestWrites(t, server), startRequestWrites(t, server)}
			now := time.Now()
			hosts[0].RecordRequestLoss(now, fingerprint, crash.Failure{Server: "a", Domain: "a", At: now})
			await(t, "the first failure is written", func() bool { return store.has(platform.RequestFailuresKey(fingerprint), 2) })
			hosts[1].RecordRequestLoss(now, fingerprint, crash.Failure{Server: test.server, Domain: test.server, At: now})
			refusal, _ := platform.EncodeRequestRefusal(platform.RequestRefusal{Fingerprint: fingerprint})
			await(t, "the second failure is written", func() bool { return store.has(platform.RequestFailuresKey(fingerprint), 4) })
			if got := hosts[1].IsRefused(time.Now(), fingerprint); got != test.isRefused {
				t.Errorf("refused: %t, want %t", got, test.isRefused)
			}
			if got := store.has(refusal.Key, 0); got != test.isRefused {
				t.Errorf("refusal in the store: %t, want %t", got, test.isRefused)
			}
		})
	}
}

// startRequestWrites returns a host that hears from no other host and uses a store.
func startRequestWrites(t *testing.T, server *httptest.Server) *quarantine.Quarantine {
	t.Helper()
	store := platform.NewStore(server.Client(), netip.MustParseAddrPort(server.Listener.Addr().String()))
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	q := quarantine.New(t.Context(), store, &peers{}, registry{}, logger, metrics.NewSet())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.RunRequestWrites(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return q
}

// has reports whether a key was written, by the call with the given number or a later one.
func (s *transactions) has(key string, call int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return ok && item["revision"].(uint64) >= uint64(call)
}
