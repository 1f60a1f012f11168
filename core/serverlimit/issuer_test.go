package serverlimit_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlimit"
)

const (
	// window, factor and slack bound what a server may get, as the platform states it:
	// factor times what its limit allows in the window and slack requests.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// settledReads is the number of equal reads of the list of hosts after which it is settled.
	settledReads = 3
	// tick is the step of the simulation.
	tick = 10 * time.Millisecond
)

type (
	// simulation simulates hosts that send one server as many requests as they may.
	simulation struct {
		random *rand.Rand
		now    time.Time
		limit  float64
		hosts  []*simulatedHost
		// registered is the host list in the store.
		registered []netip.AddrPort
		// isCut is set while the hosts with even numbers can't reach the others.
		isCut bool
		// arrivals are the requests that reached the server with a permit.
		arrivals []time.Time
	}

	simulatedHost struct {
		number      int
		address     netip.AddrPort
		table       *serverlimit.Table
		homes       *serverlimit.Homes
		issuer      *serverlimit.Issuer
		list        []netip.AddrPort
		readAt      time.Time // when it reads the host list next
		waitUntil   time.Time
		frozenUntil time.Time
		isUp        bool
		isSettled   bool
		equalReads  int
	}
)

func newSimulation(random *rand.Rand, hosts int, limit float64) *simulation {
	s := &simulation{random: random, now: start, limit: limit}
	for range hosts {
		s.add()
	}
	for _, h := range s.hosts { // they have run for a while
		h.list, h.isSettled = s.registered, true
		h.homes.Observe(s.now, h.list)
		h.issuer.Settle()
	}
	s.now = s.now.Add(time.Minute)
	return s
}

// add starts a new host.
func (s *simulation) add() {
	number := len(s.hosts)
	h := &simulatedHost{number: number, address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:1", number/200, 1+number%200))}
	s.hosts = append(s.hosts, h)
	s.registered = append(slices.Clone(s.registered), h.address)
	s.start(h)
}

func (s *simulation) start(h *simulatedHost) {
	h.table, h.homes, h.issuer = serverlimit.NewTable(), serverlimit.NewHomes(), serverlimit.NewIssuer(s.now)
	h.list, h.readAt, h.isUp, h.isSettled, h.equalReads = nil, s.now, true, false, 0
}

// readList reads the list of hosts as a host does: every few seconds until it is settled.
func (s *simulation) readList(h *simulatedHost) {
	if !slices.Equal(h.list, s.registered) {
		h.equalReads = 0
	}
	if h.equalReads++; h.equalReads == settledReads {
		h.isSettled = true
		h.issuer.Settle()
	}
	h.list, h.readAt = s.registered, s.now.Add(2500*time.Millisecond)
	if h.isSettled {
		h.readAt = s.now.Add(8*time.Second + time.Duration(s.random.Int64N(int64(2*time.Second))))
	}
}

func (s *simulation) randomHost() *simulatedHost {
	return s.hosts[s.random.IntN(len(s.hosts))]
}

func (s *simulation) host(address netip.AddrPort) *simulatedHost {
	i := slices.IndexFunc(s.hosts, func(h *simulatedHost) bool { return h.address == address })
	return s.hosts[i]
}

func (s *simulation) runs(h *simulatedHost) bool {
	return h.isUp && !s.now.Before(h.frozenUntil)
}

func (s *simulation) reaches(a, b *simulatedHost) bool {
	return s.runs(b) && (!s.isCut || a.number%2 == b.number%2)
}

// step lets each host read the list when it is time, and send a request with a probability.
func (s *simulation) step(probability float64) {
	s.now = s.now.Add(tick)
	for _, h := range s.hosts {
		if !s.runs(h) {
			continue
		}
		if !s.now.Before(h.readAt) {
			s.readList(h)
		}
		h.homes.Observe(s.now, h.list)
		if s.random.Float64() < probability && !s.now.Before(h.waitUntil) {
			s.request(h)
		}
	}
}

// request sends a request of a host if the host has no limit or gets a permit.
func (s *simulation) request(h *simulatedHost) {
	if limit, ok := h.table.Limit("s"); ok {
		if !s.acquire(h, limit) {
			return
		}
		s.arrivals = append(s.arrivals, s.now)
	}
	statement := serverlimit.Statement{Server: "s", IsLimited: true, Rate: s.limit, At: s.now, Since: s.now}
	if h.table.Update(statement) == serverlimit.Began {
		for _, other := range s.hosts {
			if s.reaches(h, other) {
				other.table.Update(statement)
			}
		}
	}
}

func (s *simulation) acquire(h *simulatedHost, limit serverlimit.Statement) bool {
	wait := time.Second
	homes := h.homes.Of("s")
	s.random.Shuffle(len(homes), func(i, j int) { homes[i], homes[j] = homes[j], homes[i] })
	for _, address := range homes {
		home := s.host(address)
		if !s.reaches(h, home) {
			continue
		}
		home.table.Update(limit)
		newest, _ := home.table.Limit("s")
		if !slices.Contains(home.homes.Of("s"), home.address) {
			continue
		}
		left, ok := home.issuer.Take(s.now, newest, len(home.homes.Of("s")))
		if ok {
			return true
		}
		wait = min(wait, left)
	}
	h.waitUntil = s.now.Add(wait)
	return false
}

// most returns the highest number of requests in a window.
func most(arrivals []time.Time) int {
	most, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowed(limit float64) float64 {
	return factor*limit*window.Seconds() + slack
}

// TestPermitsKeepToTheLimit guards against hosts that send a server more requests, all
// together, than its limit allows, whatever happens to hosts and to what they hear of each
// other.
func TestPermitsKeepToTheLimit(t *testing.T) {
	type disturbance struct {
		name string
		// disturb is called each second.
		disturb func(s *simulation, second int)
	}
	disturbances := []disturbance{
		{"none", func(*simulation, int) {}},
		{"hosts that can't hear each other", func(s *simulation, second int) { s.isCut = second%10 >= 4 }},
		{"hosts freeze", func(s *simulation, _ int) {
			s.randomHost().frozenUntil = s.now.Add(time.Duration(s.random.Int64N(int64(5 * time.Second))))
		}},
		{"hosts start again", func(s *simulation, _ int) { s.start(s.randomHost()) }},
		{"hosts leave and start", func(s *simulation, second int) {
			if second%3 != 0 {
				return
			}
			if h := s.randomHost(); h.isUp && len(s.registered) > 3 {
				h.isUp = false
				s.registered = slices.DeleteFunc(slices.Clone(s.registered), func(a netip.AddrPort) bool { return a == h.address })
			}
			s.add()
		}},
		{"half as many hosts start at once", func(s *simulation, second int) {
			if second != 10 {
				return
			}
			for range (len(s.hosts) + 1) / 2 {
				s.add()
			}
		}},
		{"all hosts start again at once", func(s *simulation, second int) {
			if second == 10 {
				for _, h := range s.hosts {
					s.start(h)
				}
			}
		}},
		{"registrations lapse and come back", func(s *simulation, second int) {
			if second == 5 {
				s.registered = s.registered[:min(2, len(s.registered))]
			}
			if second == 20 {
				s.registered = nil
				for _, h := range s.hosts {
					s.registered = append(s.registered, h.address)
				}
			}
		}},
	}
	for _, d := range disturbances {
		for _, hosts := range []int{1, 2, 7, 63} {
			for _, limit := range []float64{0, 0.2, 1, 1.9, 5, 30} {
				t.Run(fmt.Sprintf("%s/%d hosts/%v", d.name, hosts, limit), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(3) {
						s := newSimulation(rand.New(rand.NewPCG(seed, 1)), hosts, limit)
						for second := range 30 {
							d.disturb(s, second)
							for range int(time.Second / tick) {
								s.step(0.2)
							}
						}
						if got := most(s.arrivals); float64(got) > allowed(limit) {
							t.Errorf("seed %d: %d requests in %v, allowed %v", seed, got, window, allowed(limit))
						}
						if want := min(limit*30/2, float64(hosts)*60); d.name == "none" && limit*30 > 10 && float64(len(s.arrivals)) < want {
							t.Errorf("seed %d: %d requests in 30 s, want at least %v", seed, len(s.arrivals), want)
						}
					}
				})
			}
		}
	}
}

// TestPermitsWhileAFleetStarts lets the hosts of a fleet start one after the other, as on a busy
// machine, before a server states a limit. Each host has read another list of hosts by then.
func TestPermitsWhileAFleetStarts(t *testing.T) {
	const hosts, limit = 63, 10.0
	for _, pause := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		for _, wait := range []time.Duration{0, time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("one each %v, limit after %v", pause, wait), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					s := newSimulation(rand.New(rand.NewPCG(seed, 2)), 0, limit)
					for range hosts {
						s.add()
						s.run(pause, 0)
					}
					s.run(wait, 0)
					s.run(8*time.Second, 0.2)
					before := len(s.arrivals)
					s.run(8*time.Second, 0.2)
					if got := most(s.arrivals); float64(got) > allowed(limit) {
						t.Errorf("seed %d: %d requests in %v, allowed %v", seed, got, window, allowed(limit))
					}
					if got, want := len(s.arrivals)-before, limit*8/2; float64(got) < want {
						t.Errorf("seed %d: %d requests in 8 s once the fleet has started, want at least %v", seed, got, want)
					}
				}
			})
		}
	}
}

// run runs steps for a time.
func (s *simulation) run(duration time.Duration, probability float64) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.step(probability)
	}
}

// TestEvenSharesBreakTheLimit shows that the bound finds a limit that hosts divide evenly: a
// burst of one request for each host is too much.
func TestEvenSharesBreakTheLimit(t *testing.T) {
	const hosts, limit = 63, 1.9
	var arrivals []time.Time
	for i := range hosts {
		arrivals = append(arrivals, at(float64(i)/100))
	}
	if got := most(arrivals); float64(got) <= allowed(limit) {
		t.Errorf("%d requests in %v, allowed %v", got, window, allowed(limit))
	}
}

func settledIssuer(started time.Time) *serverlimit.Issuer {
	i := serverlimit.NewIssuer(started)
	i.Settle()
	return i
}

func TestIssuer(t *testing.T) {
	limit := serverlimit.Statement{Server: "s", IsLimited: true, Rate: 4, At: at(0), Since: at(0)}
	take := func(i *serverlimit.Issuer, seconds float64, s serverlimit.Statement) bool {
		_, ok := i.Take(at(seconds), s, serverlimit.HomeCount)
		return ok
	}
	t.Run("a host that was there when the limit began has a permit at once", func(t *testing.T) {
		i := settledIssuer(at(-100))
		if !take(i, 0.1, limit) || take(i, 0.1, limit) {
			t.Error("want one permit")
		}
	})
	t.Run("a host whose list of hosts is not settled has none", func(t *testing.T) {
		i := serverlimit.NewIssuer(at(-100))
		if take(i, 0.1, limit) {
			t.Error("permit issued")
		}
	})
	t.Run("a host that starts later has none until others have heard of it", func(t *testing.T) {
		i := settledIssuer(at(5))
		if take(i, 6, limit) || take(i, 16, limit) {
			t.Error("permit issued")
		}
		take(i, 18, limit)
		if !take(i, 30, limit) {
			t.Error("no permit issued")
		}
	})
	t.Run("permits do not add up", func(t *testing.T) {
		i := settledIssuer(at(-100))
		take(i, 0.1, limit)
		if !take(i, 100, limit) || take(i, 100, limit) {
			t.Error("want one permit")
		}
	})
	t.Run("the wait ends with a permit", func(t *testing.T) {
		i := settledIssuer(at(-100))
		take(i, 0.1, limit)
		wait, ok := i.Take(at(0.1), limit, serverlimit.HomeCount)
		if ok || wait <= 0 || wait > time.Second || !take(i, 0.101+wait.Seconds(), limit) {
			t.Errorf("wait %v", wait)
		}
	})
	t.Run("another incarnation of the server", func(t *testing.T) {
		i := settledIssuer(at(-100))
		take(i, 0.1, limit)
		next := limit
		next.ServerStarted, next.Since = at(50), at(51)
		if !take(i, 51, next) {
			t.Error("no permit for the new incarnation")
		}
	})
	t.Run("a limit of zero", func(t *testing.T) {
		i := settledIssuer(at(-100))
		none := limit
		none.Rate, none.Since = 0, at(-50)
		if wait, ok := i.Take(at(10), none, serverlimit.HomeCount); ok || wait <= 0 {
			t.Errorf("issued %v, wait %v", ok, wait)
		}
	})
}
