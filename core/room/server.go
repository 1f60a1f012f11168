package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// queueShare is the part of the slots by which the limit may exceed them. The release
	// of a grant takes up to 50 ms to arrive, in which a slot would be idle otherwise; the
	// queue of a plain server holds about as many.
	queueShare = 0.5
	// startShare is the part of the slots with which a started or recovered server begins.
	startShare = 1.0 / 3
	// takeoverShare is the part of the slots with which the servers of a new ledger begin,
	// while it doesn't know what is in flight at them.
	takeoverShare = 0.5
	// startPeriod is how long after its registered start a server counts as just started.
	startPeriod = 10 * time.Second
	// shedFactor and slowFactor reduce the limit when the server sheds a request, and when
	// it becomes slower. They are applied at most once in the time that a grant is held.
	shedFactor = 0.75
	slowFactor = 0.9
	// slowRatio is the ratio of the present to the usual service time from which on a
	// server counts as slower, if that is also slowDeviations of the mean above it.
	slowRatio      = 1.3
	slowDeviations = 2.0
	// roundSize is the least number of responses whose mean is compared.
	roundSize = 16
	// usualWeight is the weight of a round in the usual service time, and slowWeight that
	// of a round that was slower or above the slots, so that a server that stays slower gets
	// its slots back.
	usualWeight = 0.1
	slowWeight  = 0.02
	// maxFailures is the number of failures in a row from which on a server gets only
	// probes, one each probePeriod. If a tenth of the requests fail at any server, six in a row
	// are one in a million.
	maxFailures = 6
	probePeriod = time.Second
	// meanWeight is the weight of the newest response in a moving average, which covers
	// about the last thirty.
	meanWeight = 1.0 / 16
	// highDeviations is the number of mean deviations from the mean service time that a
	// request is expected to take at most. With 0, a fifth of the requests that were granted
	// under overload were complete some 30 ms after their target.
	highDeviations = 2.0
)

type (
	// server is the record of a server's incarnation.
	server struct {
		Server
		limit float64
		// granted is the number of grants that are not released, and heldBy that of each
		// requester.
		granted int
		heldBy  map[string]int
		// foreign are the requests that requesters have stated besides.
		foreign      map[string]statement
		foreignTotal int
		// good is the number of successful responses since the limit changed.
		good int
		// reducedAt is when the limit was last reduced.
		reducedAt time.Time
		// took is the measured service time, and held the time from a grant to its release.
		took, held mean
		// usual is the mean service time of earlier rounds, deviation the mean distance from
		// it, and round the responses of the present round.
		usual, deviation float64
		round            sample
		// failures is the number of failures in a row.
		failures  int
		isFailing bool
		probeAt   time.Time
	}

	statement struct {
		count int
		until time.Time
	}

	sample struct {
		count int
		sum   float64 // seconds
	}

	// mean is a moving average of times, and deviation that of the distances from it, both in
	// seconds.
	mean struct {
		count              int
		seconds, deviation float64
	}
)

// newServer returns the record of a server that appears at now. isKnown is set if it may
// have run for long.
func newServer(now time.Time, s Server, isKnown bool) *server {
	share := startShare
	if isKnown && now.Sub(s.StartedAt) > startPeriod {
		share = takeoverShare
	}
	return &server{
		Server: s, limit: max(1, math.Ceil(share*float64(s.Slots))),
		heldBy: make(map[string]int), foreign: make(map[string]statement),
	}
}

func sortServers(servers []*server) {
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *server) hasRestarted(next Server) bool {
	return !s.StartedAt.IsZero() && !next.StartedAt.IsZero() && !s.StartedAt.Equal(next.StartedAt)
}

func (s *server) set(next Server) {
	if next.StartedAt.IsZero() {
		next.StartedAt = s.StartedAt
	}
	s.Server = next
	s.limit = min(s.limit, s.maxLimit())
}

func (s *server) maxLimit() float64 {
	return float64(s.Slots) + max(1, math.Floor(queueShare*float64(s.Slots)))
}

// hasRoom reports whether the server may get a further request at now. A failing one may get
// only a probe, unless isLastResort is set.
func (s *server) hasRoom(now time.Time, isLastResort bool) bool {
	if s.TakesNoWork {
		return false
	}
	if s.isFailing && !isLastResort {
		return !now.Before(s.probeAt)
	}
	return float64(s.granted+s.foreignTotal+1) <= s.limit
}

// hasFreeSlot reports whether a further request would not wait at the server.
func (s *server) hasFreeSlot() bool {
	return s.granted+s.foreignTotal < s.Slots
}

// cost returns the expected time in which the server serves a further request, in seconds.
// It rises with the server's load, and is positive without a measured service time.
func (s *server) cost() float64 {
	return (s.took.seconds + 1e-3) * (1 + float64(s.granted+s.foreignTotal)/s.limit)
}

func (s *server) begin(now time.Time, requester string) {
	s.granted++
	s.heldBy[requester]++
	if s.isFailing {
		s.probeAt = now.Add(probePeriod)
	}
}

func (s *server) end(requester string) {
	s.granted--
	s.heldBy[requester]--
	if s.heldBy[requester] <= 0 {
		delete(s.heldBy, requester)
	}
}

// observe records at now the number of requests that a requester has in flight.
func (s *server) observe(now time.Time, requester string, count int) {
	s.foreignTotal -= s.foreign[requester].count
	delete(s.foreign, requester)
	if surplus := count - s.heldBy[requester]; surplus > 0 {
		period := foreignPeriod
		if took := s.took.value(); took > 0 {
			period = took
		}
		s.foreign[requester] = statement{surplus, now.Add(period)}
		s.foreignTotal += surplus
	}
}

func (s *server) dropForeign(now time.Time) {
	for requester, f := range s.foreign {
		if !now.Before(f.until) {
			s.foreignTotal -= f.count
			delete(s.foreign, requester)
		}
	}
}

// record records at now the outcome of a request that took a time at the server, and whose
// grant was held for a time.
func (s *server) record(now time.Time, o Outcome, took, held time.Duration) {
	switch o {
	case Served:
		s.recordSuccess(now, took)
		s.held.add(held)
	case Shed:
		s.reduce(now, shedFactor, 1)
	case Failed:
		s.failures++
		if s.failures >= maxFailures && !s.isFailing {
			s.isFailing, s.probeAt = true, now.Add(probePeriod)
		}
	case Unused:
	}
}

func (s *server) recordSuccess(now time.Time, took time.Duration) {
	s.failures = 0
	if s.isFailing {
		s.isFailing = false
		s.limit, s.good = max(1, math.Ceil(startShare*float64(s.Slots))), 0
	}
	s.took.add(took)
	s.good++
	if float64(s.good) >= s.limit && s.limit < float64(s.Slots) {
		s.limit, s.good = s.limit+1, 0
	}
	s.recordRound(now, took.Seconds())
}

// recordRound compares the mean of a round of responses with the usual service time. The limit
// grows above the slots only after a round that was no slower.
func (s *server) recordRound(now time.Time, took float64) {
	s.round.count++
	s.round.sum += took
	if s.usual > 0 {
		s.deviation += (math.Abs(took-s.usual) - s.deviation) * meanWeight
	}
	if s.round.count < max(roundSize, int(s.limit)) {
		return
	}
	current := s.round.sum / float64(s.round.count)
	distance := slowDeviations * s.deviation / math.Sqrt(float64(s.round.count))
	s.round = sample{}
	switch {
	case s.usual == 0:
		s.usual = current
	case current > slowRatio*s.usual && current > s.usual+distance:
		s.reduce(now, slowFactor, math.Ceil(float64(s.Slots)/2))
		s.usual += (current - s.usual) * slowWeight
	case s.limit > float64(s.Slots):
		s.usual += (current - s.usual) * slowWeight // requests may have waited at the server
		s.grow()
	default:
		s.usual += (current - s.usual) * usualWeight
		s.grow()
	}
}

// grow raises a limit of at least the slots if it is in use.
func (s *server) grow() {
	if s.limit >= float64(s.Slots) && float64(s.granted+s.foreignTotal+1) >= s.limit {
		s.limit = min(s.limit+1, s.maxLimit())
	}
}

// reduce reduces the limit by a factor, to no less than least, unless it was reduced within
// the time that a grant is held: the responses since then are to earlier requests.
func (s *server) reduce(now time.Time, factor, least float64) {
	if now.Sub(s.reducedAt) < s.held.value() {
		return
	}
	s.limit = min(s.limit, max(least, math.Floor(s.limit*factor)))
	s.reducedAt, s.good = now, 0
}

func (m *mean) add(took time.Duration) {
	m.count++
	weight := max(meanWeight, 1/float64(m.count))
	m.deviation += (math.Abs(took.Seconds()-m.seconds) - m.deviation) * min(weight, 0.5)
	m.seconds += (took.Seconds() - m.seconds) * weight
}

// high returns a time that most of the times are below: about 19 in 20 of evenly distributed
// ones.
func (m *mean) high() time.Duration {
	return time.Duration((m.seconds + highDeviations*m.deviation) * float64(time.Second))
}

func (m *mean) value() time.Duration {
	return time.Duration(m.seconds * float64(time.Second))
}
