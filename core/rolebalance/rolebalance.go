// Package rolebalance recommends changes of role when prefill or decode has
// been the bottleneck of a model for long enough. It gives no orders.
package rolebalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
)

type (
	// Options set when a change is recommended.
	Options struct {
		Hold         time.Duration // for which a role must be the bottleneck without a break
		Cooldown     time.Duration // between changes of one model
		MinServers   int           // servers that each role keeps
		HighPressure float64       // pressure from which a role is the bottleneck
		LowPressure  float64       // pressure up to which the other role has servers to spare
	}

	// Server is one engine with its load.
	Server struct {
		Server backend.Server
		Load   backend.Load
	}

	// Pressure says how busy the roles of a model are: 1 is as much as the
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

	// Balancer watches the models. It is not safe for concurrent use.
	Balancer struct {
		options Options
		models  map[string]*watch
	}

	// watch is the state of one model: the hysteresis of its last pressures.
	watch struct {
		bottleneck backend.Role // empty: none
		since      time.Time
		changedAt  time.Time
	}
)

// DefaultOptions are the options of a daemon.
func DefaultOptions() Options {
	return Options{Hold: time.Minute, Cooldown: 10 * time.Minute, MinServers: 1, HighPressure: 0.9, LowPressure: 0.5}
}

// New returns a balancer that has seen nothing.
func New(options Options) *Balancer {
	return &Balancer{options: options, models: map[string]*watch{}}
}

// Observe takes in the servers of a model, and returns a change when one is
// due. backlogTarget is the prefill backlog that uses up the first-token target.
func (b *Balancer) Observe(now time.Time, model string, servers []Server, backlogTarget time.Duration) (Change, bool) {
	w, ok := b.models[model]
	if !ok {
		w = &watch{}
		b.models[model] = w
	}
	w.note(now, b.bottleneck(PressureOf(servers, backlogTarget)))
	if w.bottleneck == "" || now.Sub(w.since) < b.options.Hold {
		return Change{}, false
	}
	if !w.changedAt.IsZero() && now.Sub(w.changedAt) < b.options.Cooldown {
		return Change{}, false
	}
	donor, ok := b.donor(servers, other(w.bottleneck))
	if !ok {
		return Change{}, false
	}
	w.changedAt = now
	w.since = now
	return Change{ServerID: donor.Server.ID, Model: model, To: w.bottleneck}, true
}

// PressureOf measures the roles: the share of decode slots in use, and the mean
// prefill backlog as a share of backlogTarget.
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

// bottleneck returns the role that holds the other one up, or "".
func (b *Balancer) bottleneck(p Pressure) backend.Role {
	switch {
	case p.Prefill >= b.options.HighPressure && p.Decode <= b.options.LowPressure:
		return backend.RolePrefill
	case p.Decode >= b.options.HighPressure && p.Prefill <= b.options.LowPressure:
		return backend.RoleDecode
	}
	return ""
}

// donor returns the least busy server of a role that can spare one.
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

// note restarts the time of a bottleneck whenever it changes.
func (w *watch) note(now time.Time, bottleneck backend.Role) {
	if bottleneck != w.bottleneck {
		w.bottleneck = bottleneck
		w.since = now
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
