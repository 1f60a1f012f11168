package streamorigin

import (
	"maps"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// maxObservationGap is the longest time between two observations of the server list in
// which no software version comes and goes unseen: three times the maximum lag of the
// list, which the platform states as 3 s.
const maxObservationGap = 9 * time.Second

// returnPeriod is how long a server that has vanished without a drain may take to register
// again. Crashed servers are back after some seconds.
const returnPeriod = 10 * time.Second

type (
	// History holds the software versions that the server list has shown for each
	// service. Prefill servers do not count, because they generate no events.
	History struct {
		retention time.Duration
		// start is the first observation after which there was no gap. It is zero
		// before the first observation.
		start        time.Time
		lastObserved time.Time
		services     map[string]versions
		// serving are the servers of the newest observation that generate events and do not
		// drain, by ID.
		serving map[string]serverlist.Server
		// lostAt is when a server of a service and a version last vanished without a drain.
		lostAt map[serviceVersion]time.Time
	}

	serviceVersion struct{ service, version string }

	// versions are the software versions of a service.
	versions map[string]listing

	// listing states when a software version was listed.
	listing struct {
		// until is the newest observation that showed the version, or the first one
		// after it if that does not show it.
		until time.Time
		// isCurrent is set if the newest observation showed the version.
		isCurrent bool
	}
)

// NewHistory returns an empty history. A software version is removed from it when the
// version was not listed for the time retention. No window may be longer than that.
func NewHistory(retention time.Duration) *History {
	return &History{retention: retention, services: make(map[string]versions), lostAt: make(map[serviceVersion]time.Time)}
}

// Observe adds the server list at now. The caller must observe the list every few
// seconds, also while it does not change: after a gap longer than 9 s the history
// starts again.
func (h *History) Observe(now time.Time, servers []serverlist.Server) {
	if h.start.IsZero() || h.isGap(now) {
		h.start = now
	}
	h.lastObserved = now
	for _, v := range h.services {
		v.unlist(now)
	}
	for _, s := range servers {
		if s.Stage == serverlist.Prefill {
			continue
		}
		v, ok := h.services[s.Service]
		if !ok {
			v = make(versions)
			h.services[s.Service] = v
		}
		v[s.SoftwareVersion] = listing{until: now, isCurrent: true}
	}
	h.observeLosses(now, servers)
	h.removeExpired(now)
}

// observeLosses records the servers that have vanished without a drain since the previous
// observation.
func (h *History) observeLosses(now time.Time, servers []serverlist.Server) {
	serving, listed := make(map[string]serverlist.Server), make(map[string]bool)
	for _, s := range servers {
		listed[s.ID] = true
		if s.Stage != serverlist.Prefill && !s.IsDraining {
			serving[s.ID] = s
		}
	}
	for id, s := range h.serving {
		if !listed[id] {
			h.lostAt[serviceVersion{s.Service, s.SoftwareVersion}] = now
		}
	}
	h.serving = serving
	maps.DeleteFunc(h.lostAt, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > returnPeriod })
}

// MayReturn reports whether a server of a service and a version has vanished without a drain so
// lately that it may register again.
func (h *History) MayReturn(now time.Time, service, version string) bool {
	at, ok := h.lostAt[serviceVersion{service, version}]
	return ok && now.Sub(at) <= returnPeriod
}

// Sole returns the software version that all servers of a service had during the whole
// window before now, the removed ones included. It returns false if there was none or
// more than one, or if the history is shorter than the window.
func (h *History) Sole(now time.Time, service string, window time.Duration) (version string, ok bool) {
	if !h.covers(now, window) {
		return "", false
	}
	found := h.services[service].since(now.Add(-window))
	if len(found) != 1 {
		return "", false
	}
	return found[0], true
}

// IsMixed reports whether the history shows more than one software version of a service
// during the window before now.
func (h *History) IsMixed(now time.Time, service string, window time.Duration) bool {
	return len(h.services[service].since(now.Add(-window))) > 1
}

// Recent returns the software versions of a service's servers that were listed during the
// window before now, and whether the history is complete during the window.
func (h *History) Recent(now time.Time, service string, window time.Duration) (versions []string, isComplete bool) {
	return h.services[service].since(now.Add(-window)), h.covers(now, window)
}

// covers reports whether the history is complete during the window before now.
func (h *History) covers(now time.Time, window time.Duration) bool {
	return !h.start.IsZero() && !h.start.After(now.Add(-window)) && !h.isGap(now) && window <= h.retention
}

// isGap reports whether software versions may have come and gone unseen between the
// newest observation and now.
func (h *History) isGap(now time.Time) bool {
	return now.Sub(h.lastObserved) > maxObservationGap
}

func (h *History) removeExpired(now time.Time) {
	for service, v := range h.services {
		for version, l := range v {
			if now.Sub(l.until) > h.retention {
				delete(v, version)
			}
		}
		if len(v) == 0 {
			delete(h.services, service)
		}
	}
}

// unlist marks the versions of the previous observation as listed until now.
func (v versions) unlist(now time.Time) {
	for version, l := range v {
		if l.isCurrent {
			v[version] = listing{until: now}
		}
	}
}

// since returns the versions that were listed at begin or later.
func (v versions) since(begin time.Time) []string {
	var found []string
	for version, l := range v {
		if l.isCurrent || !l.until.Before(begin) {
			found = append(found, version)
		}
	}
	return found
}
