package tcp_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/tcp"
)

// Without these options the kernel keeps a connection that has stopped working without a
// reset for minutes, and a watch on it misses every change.
func TestDialerDetectsSilentConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	connection, err := tcp.NewDialer(netip.MustParseAddr("127.0.0.2"), time.Second).DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if got := netip.MustParseAddrPort(connection.LocalAddr().String()).Addr().String(); got != "127.0.0.2" {
		t.Errorf("source address %s, want 127.0.0.2", got)
	}
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name                string
		level, option, want int
	}{
		{name: "SO_KEEPALIVE", level: unix.SOL_SOCKET, option: unix.SO_KEEPALIVE, want: 1},
		{name: "TCP_KEEPIDLE", level: unix.IPPROTO_TCP, option: unix.TCP_KEEPIDLE, want: 1},
		{name: "TCP_KEEPINTVL", level: unix.IPPROTO_TCP, option: unix.TCP_KEEPINTVL, want: 1},
		{name: "TCP_KEEPCNT", level: unix.IPPROTO_TCP, option: unix.TCP_KEEPCNT, want: 2},
		{name: "TCP_USER_TIMEOUT", level: unix.IPPROTO_TCP, option: unix.TCP_USER_TIMEOUT, want: 3000},
	} {
		var got int
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			got, optionErr = unix.GetsockoptInt(int(descriptor), tt.level, tt.option)
		})
		if err != nil || optionErr != nil || got != tt.want {
			t.Errorf("%s is %d, errors %v and %v; want %d", tt.name, got, err, optionErr, tt.want)
		}
	}
}

// TestHasEnded guards against a process that is taken for a living one since it accepts a connection
// while the kernel closes its sockets, and against a living one that is taken for ended.
func TestHasEnded(t *testing.T) {
	stay := func(net.Listener) {}
	end := func(listener net.Listener) { listener.Close() }
	reset := func(listener net.Listener) {
		if socket, err := listener.Accept(); err == nil {
			_ = socket.(*net.TCPConn).SetLinger(0)
			socket.Close()
		}
	}
	for name, tt := range map[string]struct {
		before, after func(net.Listener) // what the process does before and after a connection is made
		want          bool
	}{
		"lives":                      {before: stay, after: stay},
		"has ended":                  {before: end, after: stay, want: true},
		"is ending":                  {before: stay, after: end, want: true},
		"resets further connections": {before: stay, after: reset},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				tt.before(listener)
				defer tt.after(listener)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			if got := tcp.HasEnded(t.Context(), dial, listener.Addr().String()); got != tt.want {
				t.Errorf("ended %t, want %t", got, tt.want)
			}
		})
	}
}
