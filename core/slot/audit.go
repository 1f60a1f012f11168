package slot

import (
	"slices"
	"time"
)

const (
	// PrefillGrace is the time in which a granted slot may stay unused while
	// its request is prefilled and transferred.
	PrefillGrace = 5 * time.Second
	// RenewInterval is the time after which a holder is asked whether it still
	// holds a running request.
	RenewInterval = 30 * time.Second

	// askInterval is the time between audits while questions are open.
	askInterval = time.Second
	// minAskPause keeps audits that overlap from asking twice. It is well under
	// askInterval: an audit that asks nothing ends the short intervals.
	minAskPause = askInterval / 2
)

const (
	// Held means that the holder says that it holds the attempt.
	Held AuditResult = iota + 1
	// NotHeld means that the holder says that it is done with the attempt. It
	// never uses the same attempt again.
	NotHeld
	// HolderEnded means that this life of the holder has ended.
	HolderEnded
	// NoResponse means that nobody can tell now.
	NoResponse
)

type (
	// AuditResult is what a home has learned about an attempt from its holder.
	AuditResult int

	// AuditQuery asks one holder about its attempts at one server.
	AuditQuery struct {
		Holder     Holder
		RequestIDs []string
	}
)

// Audit compares the ledger with the requests that a server runs. It returns
// what must be asked: attempts that run without a reservation, reservations
// that are not used, reservations of dead holders, and those to be renewed.
// Requests of other systems are left alone.
func (l *Ledger) Audit(now time.Time, serverID string, running []string, alive func(Holder) bool) []AuditQuery {
	a, ok := l.servers[serverID]
	if !ok {
		return nil
	}
	a.running = map[string]bool{}
	a.unanswered = false
	questions := map[Holder][]string{}
	for _, text := range running {
		id, ours := ParseRequestID(text)
		if !ours {
			continue
		}
		a.running[text] = true
		if _, granted := a.granted[text]; !granted && a.mayAsk(now, text) {
			questions[id.Holder] = append(questions[id.Holder], text)
		}
	}
	for text, r := range a.granted {
		if a.isDoubtful(now, r, alive) && a.mayAsk(now, text) {
			questions[r.Holder] = append(questions[r.Holder], text)
		}
	}
	a.forgetQuestions(now)
	return sortQuestions(questions)
}

// ApplyAuditResult takes in a verdict. It returns true when the server must be told to
// end the attempt; the reservation stays until that is confirmed.
func (l *Ledger) ApplyAuditResult(now time.Time, serverID, requestID string, verdict AuditResult, lifetime time.Duration) bool {
	a, ok := l.servers[serverID]
	if !ok {
		return false
	}
	r, granted := a.granted[requestID]
	switch verdict {
	case Held:
		a.renew(now, requestID, lifetime)
	case NotHeld:
		if !a.running[requestID] {
			a.drop(now, requestID)
			return false
		}
		return true
	case HolderEnded:
		return granted || a.running[requestID]
	case NoResponse:
		a.unanswered = true
		return granted && now.After(r.Deadline)
	}
	return false
}

// AuditInterval returns how long after the last audit the next one is due. Use
// that no reservation explains, reservations of dead holders and questions
// without an answer shorten it.
func (l *Ledger) AuditInterval(serverID string, alive func(Holder) bool) time.Duration {
	const mismatchInterval = 3 * time.Second
	a, ok := l.servers[serverID]
	if !ok {
		return RenewInterval
	}
	if a.unanswered {
		return askInterval
	}
	for _, r := range a.granted {
		if !alive(r.Holder) {
			return askInterval
		}
	}
	if a.reported.SlotsUsed != len(a.granted) {
		return mismatchInterval
	}
	return RenewInterval
}

// renew extends a reservation, or adopts one that another home has granted.
func (a *account) renew(now time.Time, requestID string, lifetime time.Duration) {
	r, granted := a.granted[requestID]
	if !granted {
		id, ours := ParseRequestID(requestID)
		if !ours {
			return
		}
		r = Reservation{RequestID: requestID, Holder: id.Holder, GrantedAt: now}
	}
	r.Deadline = now.Add(lifetime)
	r.renewedAt = now
	a.granted[requestID] = r
}

func (a *account) isDoubtful(now time.Time, r Reservation, alive func(Holder) bool) bool {
	if now.After(r.Deadline) || !alive(r.Holder) {
		return true
	}
	if !a.running[r.RequestID] {
		return now.Sub(r.GrantedAt) > PrefillGrace
	}
	return now.Sub(r.GrantedAt) > RenewInterval && now.Sub(r.renewedAt) > RenewInterval
}

// mayAsk limits the questions about one attempt.
func (a *account) mayAsk(now time.Time, requestID string) bool {
	if asked, ok := a.asked[requestID]; ok && now.Sub(asked) < minAskPause {
		return false
	}
	a.asked[requestID] = now
	return true
}

func (a *account) forgetQuestions(now time.Time) {
	for id, asked := range a.asked {
		if now.Sub(asked) > RenewInterval {
			delete(a.asked, id)
		}
	}
}

func sortQuestions(byHolder map[Holder][]string) []AuditQuery {
	questions := make([]AuditQuery, 0, len(byHolder))
	for holder, ids := range byHolder {
		slices.Sort(ids)
		questions = append(questions, AuditQuery{Holder: holder, RequestIDs: ids})
	}
	slices.SortFunc(questions, func(x, y AuditQuery) int { return slices.Compare(x.RequestIDs, y.RequestIDs) })
	return questions
}
