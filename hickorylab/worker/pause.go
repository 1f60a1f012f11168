package worker

import (
	"net"
	"sync"
	"time"
)

type (
	// silence holds back what an incarnation of a server receives and sends while the
	// server is paused.
	silence struct {
		ended chan struct{} // closed when the incarnation ends

		mu    sync.Mutex
		until time.Time
	}

	// silentListener accepts no connection while the server is paused. The kernel still
	// completes their handshakes.
	silentListener struct {
		net.Listener
		silence *silence
	}

	// silentConn neither receives nor sends while the server is paused.
	silentConn struct {
		net.Conn
		silence *silence
	}
)

// Pause makes the server silent for a duration, like a process that is stopped and
// continued: its address still accepts connections, but no request is read and nothing
// is sent. Then it continues where it was. A pause during another one ends with the
// later of both, and a crash ends it.
func (s *Server) Pause(duration time.Duration) {
	s.mu.Lock()
	current := s.silence
	s.mu.Unlock()
	current.extend(time.Now().Add(duration))
}

func newSilence() *silence {
	return &silence{ended: make(chan struct{})}
}

func (s *silence) extend(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.until) {
		s.until = until
	}
}

// wait returns when the server is not paused or its incarnation has ended.
func (s *silence) wait() {
	for {
		s.mu.Lock()
		left := time.Until(s.until)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		select {
		case <-time.After(left):
		case <-s.ended:
			return
		}
	}
}

// Accept implements net.Listener.
func (l silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.silence.wait()
	if err != nil {
		return nil, err
	}
	return silentConn{Conn: conn, silence: l.silence}, nil
}

// Read implements net.Conn. It waits after the read, so that bytes that arrive during a
// pause are not seen before its end.
func (c silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.silence.wait()
	return n, err
}

// Write implements net.Conn.
func (c silentConn) Write(b []byte) (int, error) {
	c.silence.wait()
	return c.Conn.Write(b)
}
