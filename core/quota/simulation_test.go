package quota_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/quota"
)

const (
	tick = 10 * time.Millisecond
	// settledReads is the number of equal reads of the host list after which it is settled.
	settledReads = 3
)

var (
	start  = time.Unix(1_700_000_000, 0)
	bounds = quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 140_000}
)

type (
	// simulation lets hosts admit requests in virtual time.
	simulation struct {
		random     *rand.Rand
		now        time.Time
		hosts      []*simulatedHost
		byAddress  map[netip.AddrPort]*simulatedHost
		registered []netip.AddrPort
		workspaces []*simulatedWorkspace
		returns    []returned
		asks       int // at other hosts
	}

	simulatedHost struct {
		address             netip.AddrPort
		groups              *quota.Groups
		ledger              *quota.Ledger
		requester           *quota.Requester
		list                []netip.AddrPort
		readAt, frozenUntil time.Time
		equalReads          int
		// wasListed is set if the host was registered when it started.
		wasListed       bool
		isUp, isSettled bool
		// isCut is set while it reaches no store, and only the hosts for which it is set as well.
		isCut bool
	}

	// simulatedWorkspace sends load times its rate, in requests of size units. Requests come
	// at random times, or with equal distances that vary by a quarter.
	simulatedWorkspace struct {
		name       string
		limit      quota.Limit
		version    uint64
		load, size float64
		isEven     bool
		failures   float64 // part of the requests that end without having run
		// failsAfter is when such a request ends, or 0 for a random time up to 3 s.
		failsAfter       time.Duration
		next             time.Time
		admitted         []admission
		refused, offered int
	}

	admission struct {
		at    time.Time
		units float64
	}

	returned struct {
		at, grantedAt time.Time
		from, home    *simulatedHost // home is nil if the units were not from a home
		workspace     *simulatedWorkspace
	}
)

// newSimulation returns hosts that have run for a minute.
func newSimulation(seed uint64, hosts int, workspaces ...*simulatedWorkspace) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, uint64(hosts))), now: start, byAddress: make(map[netip.AddrPort]*simulatedHost), workspaces: workspaces}
	for range hosts {
		s.add()
	}
	for _, h := range s.hosts {
		h.list, h.isSettled, h.readAt = s.registered, true, start.Add(time.Minute+s.upTo(10*time.Second))
		h.groups.Observe(s.now, h.list)
	}
	s.now = s.now.Add(time.Minute)
	for _, w := range workspaces {
		w.next = s.now
	}
	return s
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *simulation) add() {
	n := len(s.hosts)
	h := &simulatedHost{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 200), byte(1 + n%200)}), 1)}
	s.hosts, s.byAddress[h.address] = append(s.hosts, h), h
	s.start(h)
	s.registered = append(slices.Clone(s.registered), h.address)
}

func (s *simulation) start(h *simulatedHost) {
	h.groups, h.ledger = quota.NewGroups(h.address), quota.NewLedger(s.now, false, bounds.Window)
	h.requester = quota.NewRequester(h.address, bounds, s.now, s.random)
	h.list, h.readAt, h.isUp, h.isSettled, h.equalReads = nil, s.now, true, false, 0
	h.wasListed = slices.Contains(s.registered, h.address)
}

// stop ends a host. Its registration is removed if the stop is planned.
func (s *simulation) stop(h *simulatedHost, isPlanned bool) {
	h.isUp = false
	if isPlanned {
		s.unregister(h)
	}
}

func (s *simulation) unregister(h *simulatedHost) {
	s.registered = slices.DeleteFunc(slices.Clone(s.registered), func(a netip.AddrPort) bool { return a == h.address })
}

func (s *simulation) runs(h *simulatedHost) bool {
	return h.isUp && !s.now.Before(h.frozenUntil)
}

func (s *simulation) randomHost() *simulatedHost {
	return s.hosts[s.random.IntN(len(s.hosts))]
}

// homes returns the homes of a workspace as a running host sees them.
func (s *simulation) homes(w *simulatedWorkspace) []*simulatedHost {
	i := slices.IndexFunc(s.hosts, func(h *simulatedHost) bool { return s.runs(h) && h.isSettled && !h.isCut })
	if i < 0 {
		return nil
	}
	groups := s.hosts[i].groups
	var homes []*simulatedHost
	for _, address := range groups.Homes(groups.Group(w.name)) {
		home, _ := s.reached(s.hosts[i], address)
		homes = append(homes, home)
	}
	return homes
}

func (s *simulation) randomHome() *simulatedHost {
	homes := s.homes(s.workspaces[s.random.IntN(len(s.workspaces))])
	if len(homes) == 0 {
		return s.randomHost()
	}
	return homes[s.random.IntN(len(homes))]
}

func (s *simulation) reached(h *simulatedHost, address netip.AddrPort) (*simulatedHost, bool) {
	o := s.byAddress[address]
	return o, s.runs(o) && o.isCut == h.isCut
}

// run runs the simulation for a time, and calls each at the begin of each second if it is set.
func (s *simulation) run(d time.Duration, each func(second int)) {
	for i := range int(d / tick) {
		if each != nil && i%int(time.Second/tick) == 0 {
			each(i / int(time.Second/tick))
		}
		s.now = s.now.Add(tick)
		for _, h := range s.hosts {
			if s.runs(h) && !h.isCut && !s.now.Before(h.readAt) {
				s.readList(h)
			}
		}
		s.returns = slices.DeleteFunc(s.returns, s.giveBack)
		for _, w := range s.workspaces {
			s.arrive(w)
		}
	}
}

// readList reads the host list as a host does: every few seconds until it is settled.
func (s *simulation) readList(h *simulatedHost) {
	if !slices.Equal(h.list, s.registered) {
		h.equalReads = 0
	}
	h.equalReads++
	h.isSettled = h.isSettled || h.equalReads >= settledReads
	h.list, h.readAt = s.registered, s.now.Add(2500*time.Millisecond)
	if h.isSettled {
		h.readAt = s.now.Add(8*time.Second + s.upTo(2*time.Second))
	}
}

// arrive lets the requests of a workspace arrive at random hosts.
func (s *simulation) arrive(w *simulatedWorkspace) {
	gap := float64(time.Second) * w.size / (w.load * w.limit.Rate)
	for ; !w.next.After(s.now); w.next = w.next.Add(time.Duration(gap)) {
		if !w.isEven {
			w.next = w.next.Add(time.Duration(gap * (s.random.ExpFloat64() - 1)))
		}
		h := s.randomHost()
		for range 10 { // callers' requests go to hosts that run, if most do
			if s.runs(h) {
				break
			}
			h = s.randomHost()
		}
		if !s.runs(h) {
			continue
		}
		w.offered++
		home, grantedAt, ok := s.admit(h, w)
		if !ok {
			w.refused++
			continue
		}
		if s.random.Float64() < w.failures {
			after := w.failsAfter
			if after == 0 {
				after = s.upTo(3 * time.Second)
			}
			s.returns = append(s.returns, returned{at: s.now.Add(after), grantedAt: grantedAt, from: h, home: home, workspace: w})
			continue
		}
		w.admitted = append(w.admitted, admission{s.now, w.size})
	}
}

// admit asks the homes as a host does. It returns the home that has granted the units, and when, or
// nil if the units are not from a home.
func (s *simulation) admit(h *simulatedHost, w *simulatedWorkspace) (home *simulatedHost, grantedAt time.Time, isAdmitted bool) {
	h.groups.Observe(s.now, h.list)
	ask := quota.Ask{Workspace: w.name, Version: w.version, Limit: w.limit, Units: w.size, Hosts: h.groups.HostCount()}
	d := h.requester.Begin(s.now, ask, h.groups.Homes(h.groups.Group(w.name)))
	switch d.Step {
	case quota.Admit:
		home, _ = s.reached(h, d.Home)
		return home, d.GrantedAt, true
	case quota.Refuse:
		return nil, s.now, false
	case quota.AskHomes:
	}
	ask.Ahead = d.Ahead
	wait := time.Duration(0)
	for _, address := range d.Homes {
		if address != h.address {
			s.asks++
		}
		home, isReached := s.reached(h, address)
		ok := isReached
		var answer quota.Answer
		if ok {
			answer, ok = s.grant(home, ask)
		}
		switch {
		case !ok:
			h.requester.MarkSilent(s.now, address, isReached)
		case answer.Granted > 0:
			h.requester.Grant(s.now, ask, address, answer.Granted)
			return home, s.now, true
		case wait == 0 || answer.Wait < wait:
			wait = answer.Wait
		}
	}
	if wait > 0 {
		h.requester.Deny(s.now, ask, wait)
		return nil, s.now, false
	}
	if (h.isSettled || h.equalReads >= 2 || h.wasListed && h.equalReads > 0) && h.requester.IsStarting(s.now, h.groups.Homes(h.groups.Group(w.name))) {
		return nil, s.now, h.requester.TakeStartShare(s.now, ask, h.groups.HostCount())
	}
	return nil, s.now, h.isSettled && h.requester.TakeAllowance(s.now, ask, h.groups.HostCount())
}

// grant responds as a home does. It returns false if the host does not grant.
func (s *simulation) grant(home *simulatedHost, ask quota.Ask) (quota.Answer, bool) {
	own, ok := s.own(home, ask.Workspace)
	if !ok {
		return quota.Answer{}, false
	}
	if !s.now.Before(own.From) {
		return home.ledger.Take(s.now, ask, own), true
	}
	group := home.groups.Group(ask.Workspace)
	candidates, ok := home.groups.Candidates(s.now, group)
	for _, address := range candidates {
		other, isReached := s.reached(home, address)
		if !isReached {
			return quota.Answer{}, false
		}
		if part, isHome := s.own(other, ask.Workspace); isHome && !s.now.Before(part.From) {
			return quota.Answer{}, false
		}
	}
	if ok {
		home.groups.Confirm(s.now, group)
	}
	return quota.Answer{}, false
}

func (s *simulation) own(h *simulatedHost, workspace string) (quota.Home, bool) {
	h.groups.Observe(s.now, h.list)
	own, ok := h.groups.Own(workspace)
	return own, ok && h.isSettled
}

// giveBack returns the units of a request that has not run, once it has ended.
func (s *simulation) giveBack(r returned) bool {
	if s.now.Before(r.at) {
		return false
	}
	if s.runs(r.from) && r.home != nil && r.from.requester.Return(s.now, r.grantedAt, r.workspace.name, r.workspace.size) && s.runs(r.home) {
		r.home.ledger.Return(s.now, r.workspace.name, r.workspace.size)
	}
	return true
}

// served returns the part of the quota that was admitted since a time.
func (s *simulation) served(w *simulatedWorkspace, since time.Time) float64 {
	total := 0.0
	for _, a := range w.admitted {
		if !a.at.Before(since) {
			total += a.units
		}
	}
	return total / (w.limit.Rate * s.now.Sub(since).Seconds())
}

// most returns the most units that were admitted in a window since a time.
func (w *simulatedWorkspace) most(since time.Time) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, a := range w.admitted {
		sum += a.units
		for a.at.Sub(w.admitted[first].at) > bounds.Window || w.admitted[first].at.Before(since) && first < len(w.admitted)-1 {
			sum -= w.admitted[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

func allowed(limit quota.Limit) float64 {
	return (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overshoot) + bounds.Slack
}

func small(load float64) *simulatedWorkspace {
	return &simulatedWorkspace{name: "small", limit: quota.Limit{Unit: quota.Tokens, Rate: 8_000, Burst: 8_000}, version: 1, load: load, size: 3_300, isEven: load < 1}
}

func large(load float64) *simulatedWorkspace {
	return &simulatedWorkspace{name: "large", limit: quota.Limit{Unit: quota.Tokens, Rate: 318_000, Burst: 318_000}, version: 1, load: load, size: 3_300}
}
