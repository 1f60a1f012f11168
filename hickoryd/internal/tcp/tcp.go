// Package tcp makes the kernel detect connections that have stopped working without a
// reset, so that a call does not wait on one while a new connection would work.
package tcp

import (
	"errors"
	"net"
	"net/netip"
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
)

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
