package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// smallRequests is the number of times that a small request fits into a bucket.
	smallRequests = 4

	// HomeCount is the number of hosts that grant the units of a workspace, unless there are
	// fewer. Each grants an equal part of the quota.
	HomeCount = 3
	// aheadShare is the part of the burst, or of a second's units if these are fewer, that a
	// home grants ahead each second. Leases last a second, so that they add at most twice as
	// much to what the hosts admit in any window: 3 % of it if the burst is a second's units
	// and the window 8 s.
	aheadShare = 1.0 / 8
	// returnShare is the part of a second's units that a home accepts each second as
	// returned. Units granted before a window and returned in it add to what is admitted in
	// it: at most three times this part, as hosts return only units of the last returnPeriod.
	returnShare = 1.0 / 16
	// minBurst is the least size of a bucket, in seconds of its rate. Without it a quota with
	// burst 0 would never grant.
	minBurst = 0.05
	// idlePeriod is the time without a request after which what is known of a workspace is
	// removed.
	idlePeriod = time.Minute
	// versionPeriod is the time after which a version of the document that no host has
	// stated any more is forgotten, as a store that was replaced by an older copy counts
	// its versions from there.
	versionPeriod = 10 * time.Second
	// firstPeriod is the time after a fleet's first start in which a bucket starts full.
	firstPeriod = time.Minute
	// minWait and maxWait bound the wait that a home states. The quota may change meanwhile.
	minWait = time.Millisecond
	maxWait = 5 * time.Second
)

type (
	// Ask is a host's request for units of a workspace's quota.
	Ask struct {
		Workspace string
		// Version is that of the document that Limit is from.
		Version uint64
		Limit   Limit
		// Units are what a request needs, and Ahead what may be granted for later requests.
		Units, Ahead float64
		// Hosts is the number of hosts that the requester knows. It isn't sent.
		Hosts int
	}

	// Answer is a home's response.
	Answer struct {
		// Granted is 0, Units, or up to Units + Ahead of the Ask.
		Granted float64
		// Wait is the time until there may be units again, if none are granted.
		Wait time.Duration
	}

	// Usage is what a home knows of a workspace.
	Usage struct {
		Workspace string
		Limit     Limit
		// Level is the number of units that the home has left. It may be negative by one
		// request.
		Level float64
		// Granted is the number of units granted in the last window, without those returned.
		Granted float64
	}

	// Ledger holds the units of the workspaces of which a host is a home. A workspace that
	// it does not hold has a bucket that has filled since the host became its home. It is
	// not safe for concurrent use.
	Ledger struct {
		started      time.Time
		isFirstStart bool
		window       time.Duration
		buckets      map[string]*bucket
		cleanedAt    time.Time
	}

	bucket struct {
		limit   Limit
		version uint64
		// versionAt is when a host last stated version.
		versionAt time.Time
		homes     int
		// from is when this home has begun to grant.
		from  time.Time
		level float64
		// size is the units of the last request.
		size float64
		// ahead and returned are the units that may be granted ahead, and accepted as returned.
		ahead, returned float64
		filledAt        time.Time
		usedAt          time.Time
		granted         windowSum
	}
)

// NewLedger returns the ledger of a host that has started at started. Buckets start full if the
// fleet starts for the first time, as no host can have granted units before.
func NewLedger(started time.Time, isFirstStart bool, window time.Duration) *Ledger {
	return &Ledger{started: started, isFirstStart: isFirstStart, window: window, buckets: make(map[string]*bucket)}
}

// Take grants the units of an ask at now if the workspace has units left. home is this host's
// part in the workspace's quota.
func (l *Ledger) Take(now time.Time, ask Ask, home Home) Answer {
	l.clean(now)
	if !(ask.Units >= 0) || math.IsInf(ask.Units, 0) || now.Before(home.From) {
		return Answer{Wait: maxWait}
	}
	b, ok := l.buckets[ask.Workspace]
	if !ok {
		if ask.Limit.Rate <= 0 {
			return Answer{Granted: ask.Units}
		}
		b = &bucket{limit: ask.Limit, version: ask.Version, versionAt: now, homes: home.Count, from: home.From, filledAt: home.From, granted: newWindowSum(l.window)}
		if l.isFirstStart && home.From.Before(l.started.Add(firstPeriod)) {
			b.level = b.capacity()
		}
		l.buckets[ask.Workspace] = b
	}
	b.fill(now)
	b.update(now, ask, home)
	b.usedAt = now
	if b.limit.Rate <= 0 {
		return Answer{Granted: ask.Units}
	}
	if missing := b.needed(ask.Units) - b.level; missing >= 0 {
		wait := maxWait
		if seconds := missing / b.rate(); seconds < maxWait.Seconds() {
			wait = time.Duration(seconds * float64(time.Second))
		}
		return Answer{Wait: max(wait, minWait)}
	}
	granted := ask.Units
	b.level -= ask.Units
	if spare := min(b.level-b.capacity()/2, b.ahead, ask.Ahead); spare > 0 {
		granted += spare
		b.level -= spare
		b.ahead -= spare
	}
	b.granted.add(now, granted)
	return Answer{Granted: granted}
}

// Return takes back units that the home has granted and that were not used.
func (l *Ledger) Return(now time.Time, workspace string, units float64) {
	b, ok := l.buckets[workspace]
	if !ok || !(units > 0) {
		return
	}
	b.fill(now)
	if b.returned <= 0 || math.IsInf(units, 0) {
		return
	}
	b.returned -= units
	b.level = min(b.capacity(), b.level+units)
	b.granted.add(now, -units)
}

// Usage returns the workspaces that the ledger holds, by name.
func (l *Ledger) Usage(now time.Time) []Usage {
	usages := make([]Usage, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.fill(now)
		usages = append(usages, Usage{Workspace: name, Limit: b.limit, Level: b.level, Granted: b.granted.sum(now)})
	}
	slices.SortFunc(usages, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return usages
}

// clean removes the idle workspaces whose buckets are full, since a bucket that is created
// again starts full as well.
func (l *Ledger) clean(now time.Time) {
	if now.Sub(l.cleanedAt) < idlePeriod/4 {
		return
	}
	l.cleanedAt = now
	for name, b := range l.buckets {
		if now.Sub(b.usedAt) < idlePeriod {
			continue
		}
		if b.fill(now); b.level >= b.capacity() || b.limit.Rate <= 0 {
			delete(l.buckets, name)
		}
	}
}

// update takes over the limit of an ask unless a newer one is known, and this host's part in it.
func (b *bucket) update(now time.Time, ask Ask, home Home) {
	if ask.Version >= b.version || now.Sub(b.versionAt) > versionPeriod {
		b.limit, b.version, b.versionAt = ask.Limit, ask.Version, now
	}
	b.homes, b.size = home.Count, ask.Units
	if !home.From.Equal(b.from) { // others were its homes meanwhile
		b.from = home.From
		b.level = min(b.level, 0)
	}
	b.level = min(b.level, b.capacity())
}

func (b *bucket) fill(now time.Time) {
	seconds := now.Sub(b.filledAt).Seconds()
	if seconds <= 0 {
		return
	}
	b.filledAt = now
	if b.limit.Rate <= 0 {
		return
	}
	ahead, returned := b.aheadRate(), b.rate()*returnShare
	b.level = min(b.capacity(), b.level+b.rate()*seconds)
	b.ahead = min(ahead, b.ahead+ahead*seconds)
	b.returned = min(returned, b.returned+returned*seconds)
}

// needed returns the level above which a request of the given units is granted. A request that is
// small against the bucket needs its units, so that large requests leave some for smaller ones under
// overload. Another one may make the level negative, as otherwise units are lost while the bucket is
// full and no request comes.
func (b *bucket) needed(units float64) float64 {
	if units*smallRequests <= b.capacity() {
		return units
	}
	return 0
}

func (b *bucket) rate() float64 {
	return b.limit.Rate / float64(b.homes)
}

// capacity returns the size of the bucket: this home's part of the burst, or one request if that
// is more. Buckets smaller than a request lose units when requests come at random times: of a quota
// of two requests a second, 0.955 was served at 1.5 times that load, and 0.971 with this rule.
func (b *bucket) capacity() float64 {
	part := max(b.limit.Burst, b.limit.Rate*minBurst) / float64(b.homes)
	return max(part, min(b.size, b.limit.Burst))
}

func (b *bucket) aheadRate() float64 {
	return min(b.capacity(), b.rate()) * aheadShare
}
