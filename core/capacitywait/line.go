package capacitywait

import (
	"slices"
	"time"
)

// maxPassed is the number of searches that a request leaves to those before it until it makes
// one itself. It bounds how much a request that finds no memory, such as a large one, delays
// those behind it: these search at least a quarter as often.
const maxPassed = 3

type (
	// Line orders the requests of one service that wait on this host, so that the first one
	// finds the memory that becomes free: a stream that has begun, then the most urgent, then
	// one whose caller was refused before, then the earliest target. It is not safe for
	// concurrent use.
	Line struct {
		waiting []*Place
	}

	// Place is the place of a waiting request in the line.
	Place struct {
		IsStreaming bool
		Priority    int
		IsReturn    bool
		// Target is when the first event is due.
		Target time.Time
		// passed is the number of searches that the request has left to others.
		passed int
	}
)

// Join adds a request to the line, until Leave.
func (l *Line) Join(p *Place) {
	at := len(l.waiting)
	for at > 0 && p.isBefore(l.waiting[at-1]) {
		at--
	}
	l.waiting = slices.Insert(l.waiting, at, p)
}

// Leave removes a request from the line.
func (l *Line) Leave(p *Place) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Place) bool { return other == p })
}

// TakeTurn reports whether a request in the line searches now, or leaves this search to those
// before it.
func (l *Line) TakeTurn(p *Place) bool {
	if l.waiting[0] == p || p.passed >= maxPassed {
		p.passed = 0
		return true
	}
	p.passed++
	return false
}

func (p *Place) isBefore(other *Place) bool {
	switch {
	case p.IsStreaming != other.IsStreaming:
		return p.IsStreaming
	case p.Priority != other.Priority:
		return p.Priority < other.Priority
	case p.IsReturn != other.IsReturn:
		return p.IsReturn
	default:
		return p.Target.Before(other.Target)
	}
}
