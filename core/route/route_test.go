package route_test

import (
	"testing"

	"github.com/hickoryfront/hickoryfront/core/route"
)

func TestFind(t *testing.T) {
	table := route.NewTable(&route.Configuration{Routes: []route.Route{
		{Name: "short", HostName: "h.example", PathPrefix: "/a/"},
		{Name: "long", HostName: "h.example", PathPrefix: "/a/b/"},
		{Name: "other", HostName: "o.example", PathPrefix: "/"},
	}})
	tests := []struct{ name, host, path, want string }{
		{name: "prefix", host: "h.example", path: "/a/x", want: "short"},
		{name: "longest prefix", host: "h.example", path: "/a/b/x", want: "long"},
		{name: "a prefix ends with its slash", host: "h.example", path: "/a/bc", want: "short"},
		{name: "host with port", host: "h.example:8080", path: "/a/x", want: "short"},
		{name: "escaped path stays as it is", host: "h.example", path: "/a%2fb/x"},
		{name: "other host", host: "o.example", path: "/a/x", want: "other"},
		{name: "no such host", host: "n.example", path: "/a/x"},
		{name: "no such path", host: "h.example", path: "/b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if r := table.Find(tt.host, tt.path); r != nil {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("route %q, want %q", got, tt.want)
			}
		})
	}
}

func TestIsRepeatable(t *testing.T) {
	tests := []struct {
		name  string
		route route.Route
		want  bool
	}{
		{name: "safe", route: route.Route{Kind: route.Safe}, want: true},
		{name: "unsafe", route: route.Route{Kind: route.Unsafe}},
		{name: "unsafe is never resumed", route: route.Route{Kind: route.Unsafe, IsResumable: true}},
		{name: "stream", route: route.Route{Kind: route.Streaming}},
		{name: "stream that can be resumed", route: route.Route{Kind: route.Streaming, IsResumable: true}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.route.IsRetryable(); got != tt.want {
				t.Errorf("repeatable %t, want %t", got, tt.want)
			}
		})
	}
}
