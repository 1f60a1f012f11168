// Package rolebalance recommends changes of a server's role when prefill or decode has
// been the bottleneck of a model for long enough. It does not order the changes. Role
// is the word of the Consul-registered engines and stage that of the users' platform
// (core/stage); both mean prefill or decode.
package rolebalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

type (
	// Options determine when a change is recommended.
	Options struct {
		Hold         time.Duration // time for which a role must be the bottleneck without interruption
		Cooldown     time.Duration // minimum time between two changes of one model
		MinServers   int           // servers that each role keeps
		HighPressure float64       // pressure from which a role is the bottleneck
		LowPressure  float64       // pressure up to which the other role has servers to spare
	}

	// Server is one backend server with its load.
	Server struct {
		Server backend.Server
		Load   backend.Load
	}

	// Pressure states how busy the roles of a model are. 1 is as busy as the latency
	// targets allow.
	Pressure struct {
		Prefill float64
		Decode  float64
	}

	// Change is a recommended change of role.
	Change struct {
		ServerID string
		Model    string
		To       backend.Role
	}

	// Balancer tracks the pressures of each model. It is not safe for concurrent
	// use.
	Balancer struct {
		options Options
		models  map[string]*modelState
	}

	// modelState is the state of one model: its current bottleneck, and the time of
	// its last recommended change. It gives the recommendations their hysteresis.
	modelState struct {
		bottleneck backend.Role // empty if there is none
		since      time.Time    // start of the bottleneck, or of the last change
		changedAt  time.Time
	}
)

// DefaultOptions returns the options that a daemon uses.
func DefaultOptions() Options {
	return Options{Hold: time.Minute, Cooldown: 10 * time.Minute, MinServers: 1, HighPressure: 0.9, LowPressure: 0.5}
}

// New returns a balancer without observations.
func New(options Options) *Balancer {
	return &Balancer{options: options, models: map[string]*modelState{}}
}

// Observe records the load of a model's servers at now, and returns a change if one is
// due. backlogTarget is the prefill backlog that uses up the target for the time to the
// first token.
func (b *Balancer) Observe(now time.Time, model string, servers []Server, backlogTarget time.Duration) (Change, bool) {
	m, ok := b.models[model]
	if !ok {
		m = &modelState{}
		b.models[model] = m
	}
	m.setBottleneck(now, b.bottleneck(PressureOf(servers, backlogTarget)))
	if m.bottleneck == "" || now.Sub(m.since) < b.options.Hold {
		return Change{}, false
	}
	if !m.changedAt.IsZero() && now.Sub(m.changedAt) < b.options.Cooldown {
		return Change{}, false
	}
	donor, ok := b.donor(servers, other(m.bottleneck))
	if !ok {
		return Change{}, false
	}
	m.changedAt = now
	m.since = now
	return Change{ServerID: donor.Server.ID, Model: model, To: m.bottleneck}, true
}

// PressureOf returns the pressures of the roles: the share of decode slots in use, and
// the mean prefill backlog as a share of backlogTarget.
func PressureOf(servers []Server, backlogTarget time.Duration) Pressure {
	var used, total, prefills int
	var backlog time.Duration
	for _, s := range servers {
		switch {
		case !takesWork(s):
		case s.Server.Role == backend.RoleDecode:
			used += s.Load.SlotsUsed
			total += max(s.Load.SlotsTotal, 1)
		case s.Server.Role == backend.RolePrefill:
			prefills++
			backlog += s.Load.PrefillBacklog
		}
	}
	var p Pressure
	if total > 0 {
		p.Decode = float64(used) / float64(total)
	}
	if prefills > 0 && backlogTarget > 0 {
		p.Prefill = backlog.Seconds() / float64(prefills) / backlogTarget.Seconds()
	}
	return p
}

// bottleneck returns the role that limits the throughput of the other one, or "" if
// there is none.
func (b *Balancer) bottleneck(p Pressure) backend.Role {
	switch {
	case p.Prefill >= b.options.HighPressure && p.Decode <= b.options.LowPressure:
		return backend.RolePrefill
	case p.Decode >= b.options.HighPressure && p.Prefill <= b.options.LowPressure:
		return backend.RoleDecode
	}
	return ""
}

// donor returns the least busy server of a role, or false if the role cannot spare one.
func (b *Balancer) donor(servers []Server, role backend.Role) (Server, bool) {
	var donors []Server
	for _, s := range servers {
		if s.Server.Role == role && takesWork(s) {
			donors = append(donors, s)
		}
	}
	if len(donors) <= max(1, b.options.MinServers) {
		return Server{}, false
	}
	return slices.MinFunc(donors, func(x, y Server) int {
		return cmp.Or(
			cmp.Compare(x.Load.SlotsUsed, y.Load.SlotsUsed),
			cmp.Compare(x.Load.PrefillBacklog, y.Load.PrefillBacklog),
			cmp.Compare(x.Server.ID, y.Server.ID))
	}), true
}

// setBottleneck records the current bottleneck and restarts its time if it has changed.
func (m *modelState) setBottleneck(now time.Time, bottleneck backend.Role) {
	if bottleneck != m.bottleneck {
		m.bottleneck = bottleneck
		m.since = now
	}
}

func takesWork(s Server) bool {
	return s.Server.State == backend.StateLive && !s.Load.Leaving && !s.Load.Unreachable
}

func other(role backend.Role) backend.Role {
	if role == backend.RolePrefill {
		return backend.RoleDecode
	}
	return backend.RolePrefill
}
