// Package callerretry tells callers that ask for the first time from those that
// come back, by the time that they have left. Callers of one route wait for
// about equally long; how far they differ is learnt from what they send.
package callerretry

import (
	"slices"
	"time"
)

const (
	// remembered is the number of requests that the usual time is taken from: the
	// last half minute of a route with two requests a second.
	remembered = 64
	// least is the number of requests from which anybody counts as come back.
	least = 8
	// usualQuantile is the quantile of the times left that is taken as the whole
	// time: single callers wait for much longer, and up to half have come back.
	usualQuantile = 0.9
	// equalShare is the part of the whole time by which equal callers differ: the
	// way from the caller.
	equalShare = 0.01
	// spreadShare is the part of the whole time by which callers differ where
	// their patience is spread: 15 in 100 on the users' grown sites, and the way.
	// Callers that were told to come back have spent more.
	spreadShare = 0.17
)

// Estimator learns the patience of one route's callers. It is not safe for
// concurrent use.
type Estimator struct {
	left []time.Duration // the last times left, as a ring
	next int
}

// New returns an estimator that has seen nobody.
func New() *Estimator {
	return &Estimator{}
}

// Observe takes in the time that a caller has left and returns how long ago it
// asked for the first time, or 0 where it asks for the first time now.
func (e *Estimator) Observe(left time.Duration) time.Duration {
	if left <= 0 {
		return 0 // the caller does not say
	}
	e.remember(left)
	if len(e.left) < least {
		return 0
	}
	whole := e.usual()
	spent := whole - left
	if spent <= e.margin(whole) {
		return 0
	}
	return spent
}

func (e *Estimator) remember(left time.Duration) {
	if len(e.left) < remembered {
		e.left = append(e.left, left)
		return
	}
	e.left[e.next] = left
	e.next = (e.next + 1) % remembered
}

func (e *Estimator) usual() time.Duration {
	sorted := slices.Sorted(slices.Values(e.left))
	return sorted[int(usualQuantile*float64(len(sorted)))]
}

// margin returns the spent time up to which a caller counts as asking for the
// first time.
func (e *Estimator) margin(whole time.Duration) time.Duration {
	equal := time.Duration(equalShare * float64(whole))
	spread := time.Duration(spreadShare * float64(whole))
	atTop, below := 0, 0
	for _, left := range e.left {
		switch spent := whole - left; {
		case spent <= equal:
			atTop++
		case spent <= spread:
			below++
		}
	}
	if below > atTop {
		return spread
	}
	return equal
}
