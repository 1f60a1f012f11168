package cutproxy_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
)

// listen returns a listener whose connections echo the data that they receive.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return listener
}

// TestRefuseEndsConnectionsBeingMade guards against a connection that forwards data
// although its source was set to Refuse while the connection was being established.
func TestRefuseEndsConnectionsBeingMade(t *testing.T) {
	target := listen(t)
	for range 300 {
		proxy, err := cutproxy.Listen("127.0.0.1:0", target.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", proxy.Address())
		if err != nil {
			t.Fatal(err)
		}
		proxy.SetMode(netip.Addr{}, cutproxy.Refuse)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = c.Write([]byte("x"))
		if n, err := c.Read(make([]byte, 1)); n > 0 {
			t.Fatalf("a connection forwards data after it was set to Refuse: %d bytes, %v", n, err)
		}
		c.Close()
		proxy.Close()
	}
}

// TestCloseEndsConnectionsBeingMade guards against Close waiting for a connection that
// it didn't close, because the connection to the target was still being established.
func TestCloseEndsConnectionsBeingMade(t *testing.T) {
	target := listen(t)
	for range 300 {
		proxy, err := cutproxy.Listen("127.0.0.1:0", target.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", proxy.Address())
		if err != nil {
			t.Fatal(err)
		}
		closed := make(chan struct{})
		go func() {
			proxy.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("Close does not return while the client keeps its connection open")
		}
		c.Close()
	}
}
