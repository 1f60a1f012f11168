package serverlimit

import (
	"time"
)

const (
	// HomeCount is the number of hosts that issue the permits for a server, unless there
	// are fewer. Each has an equal share of the limit.
	HomeCount = 3
	// usedShare is the part of a limit for which permits are issued. While hosts see
	// different lists of hosts, a server may have more homes than HomeCount.
	usedShare = 0.9
	// freshPeriod is the time after a server has first stated its limit in which a home
	// starts with one permit. A home that starts later may follow one that has just issued
	// its own.
	freshPeriod = time.Second
	// joinPeriod is the time in which all hosts have learned that a host has started, and
	// ask it instead of the home before. The host may also have been a home itself and have
	// forgotten the permits that it has issued.
	joinPeriod = 12 * time.Second
	// unsettledWait is the wait that is told to hosts while the list of hosts is not settled.
	unsettledWait = 500 * time.Millisecond
	// maxWait bounds the time until the next permit that is told to hosts, since the limit
	// may change or end meanwhile.
	maxWait = 5 * time.Second
)

type (
	// Issuer issues permits, of which each allows one request to a server, as one of the
	// homes of the server. It is not safe for concurrent use.
	Issuer struct {
		started time.Time
		// isSettled is set by Settle.
		isSettled bool
		buckets   map[string]*bucket
	}

	// Permit is the response of a home to a request for a permit.
	Permit struct {
		IsGranted bool
		// Wait is the time until the home's next permit, if this one is not granted.
		Wait time.Duration
		// Newest is the newest statement of the server that the home has.
		Newest Statement
	}

	// bucket holds at most one permit, so that a home never issues more than its share and
	// one.
	bucket struct {
		started time.Time // of the server's incarnation
		permits float64
		rate    float64
		filled  time.Time
	}
)

// NewIssuer returns the issuer of a host that has started at started.
func NewIssuer(started time.Time) *Issuer {
	return &Issuer{started: started, buckets: make(map[string]*bucket)}
}

// Settle records that this host's list of hosts was the same in some reads, seconds apart.
// Before that no permits are issued: while a fleet starts, hosts have read different lists, in
// which many of them are homes.
func (i *Issuer) Settle() {
	i.isSettled = true
}

// Take takes a permit at now for a server with the given limit and number of homes. If there
// is none, it returns false and the time until the next one.
func (i *Issuer) Take(now time.Time, limit Statement, homes int) (wait time.Duration, ok bool) {
	if !i.isSettled {
		return unsettledWait, false
	}
	if joined := i.started.Add(joinPeriod); limit.Since.Before(i.started) && now.Before(joined) {
		return min(joined.Sub(now), maxWait), false
	}
	b, found := i.buckets[limit.Server]
	if !found || !b.started.Equal(limit.ServerStarted) {
		b = &bucket{started: limit.ServerStarted, filled: now}
		if now.Sub(limit.Since) < freshPeriod {
			b.permits = 1
		}
		i.buckets[limit.Server] = b
	}
	b.permits = min(1, b.permits+b.rate*now.Sub(b.filled).Seconds())
	b.filled, b.rate = now, usedShare*limit.Rate/float64(homes)
	if b.permits >= 1 {
		b.permits--
		return 0, true
	}
	if left := (1 - b.permits) / b.rate; left < maxWait.Seconds() { // false if the rate is 0
		return time.Duration(left * float64(time.Second)), false
	}
	return maxWait, false
}

// Retain removes the servers for which isListed returns false.
func (i *Issuer) Retain(isListed func(server string) bool) {
	for server := range i.buckets {
		if !isListed(server) {
			delete(i.buckets, server)
		}
	}
}
