package slot

import (
	"slices"
	"time"
)

const (
	// PrefillGrace is the time for which a granted slot may stay unused while
	// its request is prefilled and its KV cache transferred.
	PrefillGrace = 5 * time.Second
	// RenewInterval is the time after which a holder is asked whether it still
	// holds a running attempt.
	RenewInterval = 30 * time.Second

	// queryInterval is the time between audits while queries are unanswered.
	queryInterval = time.Second
	// minQueryPause keeps overlapping audits from querying an attempt twice.
	// It must stay well under queryInterval: an audit that comes a little early
	// and sends no query would set the interval back to RenewInterval.
	minQueryPause = queryInterval / 2
)

const (
	// Held means that the holder confirms that it holds the attempt.
	Held AuditResult = iota + 1
	// NotHeld means that the holder has finished with the attempt. It never
	// uses the same attempt again.
	NotHeld
	// HolderEnded means that this incarnation of the holder has ended.
	HolderEnded
	// NoResponse means that the state of the attempt can't be determined now.
	NoResponse
)

type (
	// AuditResult is what a home has learned about an attempt from its holder.
	AuditResult int

	// AuditQuery is a query to one holder about attempts at one server.
	AuditQuery struct {
		Holder     Holder
		AttemptIDs []string
	}
)

// Audit compares the ledger with the requests that a server runs and returns
// the queries to send. They cover attempts that run without a reservation,
// reservations that are unused, past their deadline or due for renewal, and
// reservations whose holder is not alive. Requests of other systems are
// ignored.
func (l *Ledger) Audit(now time.Time, serverID string, running []string, alive func(Holder) bool) []AuditQuery {
	s, ok := l.servers[serverID]
	if !ok {
		return nil
	}
	s.running = map[string]bool{}
	s.hasUnanswered = false
	idsByHolder := map[Holder][]string{}
	for _, text := range running {
		id, ours := ParseAttemptID(text)
		if !ours {
			continue
		}
		s.running[text] = true
		if _, granted := s.reservations[text]; !granted && s.startQuery(now, text) {
			idsByHolder[id.Holder] = append(idsByHolder[id.Holder], text)
		}
	}
	for text, r := range s.reservations {
		if s.needsQuery(now, r, alive) && s.startQuery(now, text) {
			idsByHolder[r.Holder] = append(idsByHolder[r.Holder], text)
		}
	}
	s.pruneQueries(now)
	return sortQueries(idsByHolder)
}

// ApplyAuditResult updates the ledger with the result for one attempt. It
// returns true when the attempt must be cancelled at the server; the reservation
// stays until the cancellation is confirmed.
func (l *Ledger) ApplyAuditResult(now time.Time, serverID, attemptID string, result AuditResult, lifetime time.Duration) bool {
	s, ok := l.servers[serverID]
	if !ok {
		return false
	}
	r, granted := s.reservations[attemptID]
	switch result {
	case Held:
		s.renew(now, attemptID, lifetime)
	case NotHeld:
		if !s.running[attemptID] {
			s.release(now, attemptID)
			return false
		}
		return true
	case HolderEnded:
		return granted || s.running[attemptID]
	case NoResponse:
		s.hasUnanswered = true
		return granted && now.After(r.Deadline)
	}
	return false
}

// AuditInterval returns how long after the last audit of a server the next one
// is due. The interval is shorter while queries are unanswered, while a
// reservation has a holder that is not alive, and while the server reports a
// number of used slots other than the number of reservations.
func (l *Ledger) AuditInterval(serverID string, alive func(Holder) bool) time.Duration {
	const mismatchInterval = 3 * time.Second
	s, ok := l.servers[serverID]
	if !ok {
		return RenewInterval
	}
	if s.hasUnanswered {
		return queryInterval
	}
	for _, r := range s.reservations {
		if !alive(r.Holder) {
			return queryInterval
		}
	}
	if s.lastReport.SlotsUsed != len(s.reservations) {
		return mismatchInterval
	}
	return RenewInterval
}

// renew extends a reservation, or adopts one that another home has granted.
func (s *serverSlots) renew(now time.Time, attemptID string, lifetime time.Duration) {
	r, granted := s.reservations[attemptID]
	if !granted {
		id, ours := ParseAttemptID(attemptID)
		if !ours {
			return
		}
		r = Reservation{AttemptID: attemptID, Holder: id.Holder, GrantedAt: now}
	}
	r.Deadline = now.Add(lifetime)
	r.renewedAt = now
	s.reservations[attemptID] = r
}

// needsQuery reports whether the holder of a reservation must confirm it.
func (s *serverSlots) needsQuery(now time.Time, r Reservation, alive func(Holder) bool) bool {
	if now.After(r.Deadline) || !alive(r.Holder) {
		return true
	}
	if !s.running[r.AttemptID] {
		return now.Sub(r.GrantedAt) > PrefillGrace
	}
	return now.Sub(r.GrantedAt) > RenewInterval && now.Sub(r.renewedAt) > RenewInterval
}

// startQuery records a query about an attempt. It returns false when the last
// one is too recent.
func (s *serverSlots) startQuery(now time.Time, attemptID string) bool {
	if queriedAt, ok := s.queriedAt[attemptID]; ok && now.Sub(queriedAt) < minQueryPause {
		return false
	}
	s.queriedAt[attemptID] = now
	return true
}

func (s *serverSlots) pruneQueries(now time.Time) {
	for id, queriedAt := range s.queriedAt {
		if now.Sub(queriedAt) > RenewInterval {
			delete(s.queriedAt, id)
		}
	}
}

func sortQueries(idsByHolder map[Holder][]string) []AuditQuery {
	queries := make([]AuditQuery, 0, len(idsByHolder))
	for holder, ids := range idsByHolder {
		slices.Sort(ids)
		queries = append(queries, AuditQuery{Holder: holder, AttemptIDs: ids})
	}
	slices.SortFunc(queries, func(x, y AuditQuery) int { return slices.Compare(x.AttemptIDs, y.AttemptIDs) })
	return queries
}
