package consul_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
)

const timeout = time.Second

// slowPlatform responds to each call with a body that arrives in parts and takes twice
// as long as timeout.
func slowPlatform(t *testing.T, body string) netip.AddrPort {
	t.Helper()
	const parts = 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", "5")
		for i := range parts {
			_, _ = w.Write([]byte(body[len(body)*i/parts : len(body)*(i+1)/parts])) // the caller may have disconnected
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * timeout / parts)
		}
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// A value, a list of keys or a list of servers may take longer to arrive than the platform
// may take to respond. If the time limit held for the whole response, a daemon with a slow
// link would never read it.
func TestLargeResponseOverSlowLink(t *testing.T) {
	const pair = `{"Key":"k","Value":"dmFsdWU=","ModifyIndex":5}`
	pairs := "[" + strings.Repeat(pair+",", 100) + pair + "]"
	const server = `{"ServiceID":"s","ServiceAddress":"10.0.0.1","ServicePort":80,"ServiceMeta":{"role":"plain","service":"x"}}`
	client := consul.New(slowPlatform(t, pairs), timeout, metrics.NewSet())
	list := consul.NewServerList(slowPlatform(t, "["+server+"]"), timeout, metrics.NewSet())
	tests := []struct {
		name string
		call func(ctx context.Context) (any, error)
		want string
	}{
		{name: "value", want: "5", call: func(ctx context.Context) (any, error) {
			value, err := client.Get(ctx, "k")
			return value.Index, err
		}},
		{name: "watch", want: "5", call: func(ctx context.Context) (any, error) {
			_, index, err := client.Watch(ctx, "k", 4, 10*time.Millisecond)
			return index, err
		}},
		{name: "keys", want: "101", call: func(ctx context.Context) (any, error) {
			values, err := client.List(ctx, "")
			return len(values), err
		}},
		{name: "servers", want: "1", call: func(ctx context.Context) (any, error) {
			servers, _, err := list.Servers(ctx)
			return len(servers), err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got, err := tt.call(t.Context())
			if err != nil || fmt.Sprint(got) != tt.want {
				t.Errorf("got %v, error %v; want %s", got, err, tt.want)
			}
		})
	}
}

// TestReplyToWriteThatBreaksOff guards against a reply without a length of which a part came, and
// which is taken for a lost race: the write may have taken effect.
func TestReplyToWriteThatBreaksOff(t *testing.T) {
	for reply, want := range map[string]struct {
		isWritten bool
		err       error
	}{
		"true":    {isWritten: true},
		"false\n": {},
		"tru":     {err: consul.ErrUnavailable},
		"fals":    {err: consul.ErrUnavailable},
		"":        {err: consul.ErrUnavailable},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // an unread body would reset the connection
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err) // only for a server that can't be hijacked
			}
			defer conn.Close()
			_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n\r\n" + reply)
			_ = buffered.Flush()
		}))
		t.Cleanup(server.Close)
		client := consul.New(netip.MustParseAddrPort(server.Listener.Addr().String()), timeout, metrics.NewSet())
		isWritten, err := client.CompareAndSwap(t.Context(), "k", []byte("v"), 1)
		if isWritten != want.isWritten || !errors.Is(err, want.err) {
			t.Errorf("%q: written %t, error %v; want %t and %v", reply, isWritten, err, want.isWritten, want.err)
		}
	}
}
