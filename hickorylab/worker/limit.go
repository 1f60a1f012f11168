package worker

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"
)

type (
	// LimitPhase is a time in which a server states the same limit, or none.
	LimitPhase struct {
		From, To time.Time
		// Rate is the limit in requests a second, or 0 without one.
		Rate float64
	}

	// Arrival is a request that reached a server.
	Arrival struct {
		At   time.Time
		Host netip.Addr
		// IsTold is set if the server had stated a limit to the host half a second before.
		IsTold bool
	}

	// limiter states the limit of a server and records what arrives.
	limiter struct {
		mu       sync.Mutex
		phases   []LimitPhase
		toldAt   map[netip.Addr]time.Time
		arrivals []Arrival
	}
)

// toldDelay is the time after which a host that was told a limit must act on it.
const toldDelay = 500 * time.Millisecond

// SetLimit makes the server state a limit in its responses, or none if rate is 0. A crash
// ends the limit.
func (s *Server) SetLimit(rate float64) {
	s.limiter.set(time.Now(), rate)
}

// LimitPhases returns the limits that the server has stated, in order, up to now.
func (s *Server) LimitPhases(now time.Time) []LimitPhase {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	phases := slices.Clone(s.limiter.phases)
	if len(phases) > 0 {
		phases[len(phases)-1].To = now
	}
	return phases
}

// Arrivals returns the requests that reached the server since its first limit, in order.
func (s *Server) Arrivals() []Arrival {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return slices.Clone(s.limiter.arrivals)
}

func (l *limiter) set(now time.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.phases) == 0 && rate == 0 {
		return
	}
	if len(l.phases) > 0 {
		l.phases[len(l.phases)-1].To = now
	}
	l.phases = append(l.phases, LimitPhase{From: now, Rate: rate})
	if rate == 0 {
		l.toldAt = nil
	}
}

// state records a request and states the limit in its response.
func (l *limiter) state(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	source, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return
	}
	host := source.Addr()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.phases) == 0 {
		return
	}
	toldAt, ok := l.toldAt[host]
	l.arrivals = append(l.arrivals, Arrival{At: now, Host: host, IsTold: ok && now.Sub(toldAt) >= toldDelay})
	rate := l.phases[len(l.phases)-1].Rate
	if rate == 0 {
		return
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(rate, 'g', -1, 64))
	if l.toldAt == nil {
		l.toldAt = make(map[netip.Addr]time.Time)
	}
	if !ok {
		l.toldAt[host] = now
	}
}
