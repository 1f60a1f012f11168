// Package tcp makes the kernel detect connections that have stopped working without a
// reset, so that a call does not wait on one while a new connection would work.
package tcp

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval is the time between two keep-alive probes on an idle connection. The
	// kernel allows whole seconds.
	probeInterval = time.Second
	// maxProbes is the number of unanswered probes after which a connection is closed. With
	// one, a lost packet would close it.
	maxProbes = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged. It is the time until
	// maxProbes probes have remained unanswered, since the kernel applies it to these too.
	unackedTimeout = (maxProbes + 1) * probeInterval
	// endingTime is the time within which the kernel closes all sockets of a process that ends.
	endingTime = 20 * time.Millisecond
)

// Dial makes a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a dialer whose connections are closed when their peer has acknowledged
// neither bytes nor keep-alive probes for about three seconds. They use the local address,
// if it is valid, as their source. timeout limits the wait for a connection.
func NewDialer(local netip.Addr, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxProbes},
		Control:         LimitUnacked(unackedTimeout),
	}
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return dialer
}

// LimitUnacked returns a net.Dialer's Control function that makes the kernel close a
// connection whose peer acknowledges nothing for timeout.
func LimitUnacked(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// HasEnded reports whether the process that listened at an address has ended. The kernel may end
// the connections of a process some time before it closes the listener, so a new connection must
// stay open to show that the process lives. A process that resets further connections lives if it
// accepts another one.
func HasEnded(ctx context.Context, dial Dial, address string) bool {
	for range 2 {
		socket, err := dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		isOpen := staysOpen(socket)
		_ = socket.Close() // nothing was sent
		if isOpen {
			return false
		}
	}
	return false
}

func staysOpen(socket net.Conn) bool {
	if err := socket.SetReadDeadline(time.Now().Add(endingTime)); err != nil {
		return false
	}
	_, err := socket.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
