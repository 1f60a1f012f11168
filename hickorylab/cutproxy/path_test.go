package cutproxy_test

import (
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
)

// TestPath guards against a stand-in for a network path that treats connections otherwise
// than a network does.
func TestPath(t *testing.T) {
	const hangTime = 300 * time.Millisecond
	tests := []struct {
		name    string
		cut     cutproxy.Cut
		openErr error // of an open connection
		newErr  error // of a new one
	}{
		{name: "hang", cut: cutproxy.Hang, openErr: os.ErrDeadlineExceeded, newErr: errTimeout},
		{name: "reset", cut: cutproxy.Reset, openErr: syscall.ECONNRESET, newErr: syscall.ECONNREFUSED},
		{name: "refuse new connections", cut: cutproxy.RefuseNew, newErr: syscall.ECONNREFUSED},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			target, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer target.Close()
			go echo(target)
			spare, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := spare.Addr().String()
			spare.Close()
			path, err := cutproxy.ListenPath(address, target.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer path.Close()
			open := dial(t, address)
			if err := exchange(open, waitTimeout); err != nil {
				t.Fatal(err)
			}
			if err := path.Cut(tt.cut); err != nil {
				t.Fatal(err)
			}
			if err := exchange(open, hangTime); !errors.Is(err, tt.openErr) || tt.openErr == nil && err != nil {
				t.Errorf("an open connection ends with %v, want %v", err, tt.openErr)
			}
			if err := connect(address, hangTime); !errors.Is(err, tt.newErr) {
				t.Errorf("a new connection ends with %v, want %v", err, tt.newErr)
			}
			if err := path.Heal(); err != nil {
				t.Fatal(err)
			}
			if err := exchange(dial(t, address), waitTimeout); err != nil {
				t.Errorf("after the cut a connection ends with %v", err)
			}
		})
	}
}

// TestPathWhileProcessesStart guards against a path that can't be cut while the test starts
// processes: between fork and exec such a process has a copy of the closed listener.
func TestPathWhileProcessesStart(t *testing.T) {
	const cuts = 30
	path, err := cutproxy.ListenPath("127.0.0.1:20999", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer path.Close()
	var isOver atomic.Bool
	var starting sync.WaitGroup
	for range 2 * runtime.GOMAXPROCS(0) {
		starting.Go(func() {
			for !isOver.Load() {
				_ = exec.Command("true").Run() // only its start matters
			}
		})
	}
	for range cuts {
		if err := errors.Join(path.Cut(cutproxy.Hang), path.Heal()); err != nil {
			t.Error(err)
			break
		}
	}
	isOver.Store(true)
	starting.Wait()
}

const waitTimeout = 20 * time.Second

var errTimeout = errors.New("timeout")

// connect tries to connect within a time, and otherwise returns errTimeout.
func connect(address string, limit time.Duration) error {
	conn, err := net.DialTimeout("tcp4", address, limit)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errTimeout
	}
	if err == nil {
		conn.Close()
	}
	return err
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp4", address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// exchange sends a byte and reads one within a time.
func exchange(conn net.Conn, limit time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte{'x'}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(conn, conn) }()
	}
}
