package registry_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"

	"github.com/hickoryfront/hickoryfront/core/identity"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
)

// TestKeysInEveryOrder guards against a revoked key that is valid again because an older
// document arrives after a newer one. In document n, the key "key-n" is new and that of
// document n-1 is revoked.
func TestKeysInEveryOrder(t *testing.T) {
	for _, order := range [][]int{{2, 3, 4}, {2, 4, 3}, {3, 2, 4}, {3, 4, 2}, {4, 2, 3}, {4, 3, 2}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			r := registry.New(registry.Options{}, nil, &peers{}, &log.Logger{Handler: discard.New()}, metrics.NewSet())
			newest := 0
			for _, version := range order {
				r.Apply(fmt.Appendf(nil, `{"version":%d,"tenants":[{"name":"w","api-keys":["key-%d","key-always"]}]}`, version, version))
				newest = max(newest, version)
				for n := 2; n <= 4; n++ {
					if _, ok := r.Table().Directory().Find(identity.HashKey(fmt.Sprint("key-", n))); ok != (n == newest) {
						t.Errorf("key of document %d is known: %t, although document %d is the newest", n, ok, newest)
					}
				}
				if _, ok := r.Table().Directory().Find(identity.HashKey("key-always")); !ok {
					t.Error("the key that all documents have is unknown")
				}
			}
			if version, document := r.Configuration(); version != uint64(newest) || bytes.Contains(document, []byte("key-always")) {
				t.Errorf("document %d for other hosts: %s", version, document)
			}
		})
	}
}

// TestSharedKeysAreLogged guards against a shared key that is refused and that operators can't
// find, against a key in the log, and against a document that is refused because of it.
func TestSharedKeysAreLogged(t *testing.T) {
	var logged bytes.Buffer
	r := registry.New(registry.Options{}, nil, &peers{}, &log.Logger{Handler: json.New(&logged)}, metrics.NewSet())
	r.Apply([]byte(`{"version":2,"tenants":[{"name":"w1","api-keys":["key-1"]},{"name":"w2","api-keys":["key-1","key-2"]},{"name":"w3","rate-per-s":-1}]}`))
	for _, want := range []string{`["w1","w2"]`, `w3`, `"workspaces":3`} {
		if !strings.Contains(logged.String(), want) {
			t.Errorf("no %s in the log", want)
		}
	}
	if strings.Contains(logged.String(), "key-1") || strings.Contains(logged.String(), "key-2") {
		t.Errorf("a key in the log:\n%s", logged.String())
	}
	if _, ok := r.Table().Directory().Find(identity.HashKey("key-2")); !ok {
		t.Error("the key of one workspace is unknown")
	}
}

// TestHasServer guards against shares of a split route for services whose servers all drain.
func TestHasServer(t *testing.T) {
	s := &store{revision: 5, version: 1, servers: map[string]string{"a": "ready", "b": "draining"}}
	r := start(t, s, &peers{})
	if !r.HasServer("s") || r.HasServer("other") {
		t.Error("want servers of the service s only")
	}
	s.set(func() { s.revision, s.servers["a"] = 6, "draining" })
	await(t, "all servers drain", func() bool { return !r.HasServer("s") })
}
