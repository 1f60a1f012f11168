package crash

import (
	"slices"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// refuseAfterFailures is the number of failures of servers after which a prompt part
	// is refused that no server has begun to answer.
	refuseAfterFailures = 3
	// refuseStartedAfterFailures is that number for a part that a server has begun to
	// answer before. Of failures within commonCauseWindow only one counts: a popular part
	// is waiting at many servers when they fail for another reason.
	refuseStartedAfterFailures = 5
	// firstRefusal is how long a part is refused for the first time. Each further refusal
	// is twice as long, up to maxRefusal.
	firstRefusal = time.Minute
	maxRefusal   = 8 * time.Minute
	// maxLosses and maxStarts bound the memory of a PartTable.
	maxLosses = 1024
	maxStarts = 8192
)

type (
	// PartLoss is the failure of a server that had not begun to answer a request.
	PartLoss struct {
		Service string
		// Parts are the IDs of the parts of the prompt that other requests may share: all
		// but the last.
		Parts []string
		// RequestID identifies the attempt of the caller.
		RequestID string
		// Server is the ID of the server. A server that starts again may keep its ID.
		Server string
		// ServerStarted is when the server's incarnation started, or zero if that is not known.
		ServerStarted time.Time
	}

	// PartRefusal refuses the requests of a service that contain all of Parts.
	PartRefusal struct {
		Service string
		Parts   []string
		// Duration is how long requests are refused from the time at which the refusal
		// was decided.
		Duration time.Duration
	}

	// PartTable finds the prompt parts that crash each server which begins to answer
	// them, whatever else the request contains. Whole requests can't be compared, since
	// no two of them are alike.
	//
	// A loss makes the parts of its request suspects, and a started response clears the
	// parts of its request. Where the losses leave several parts as the cause, only
	// requests with all of these are refused, so that sound requests with some of them
	// still run. A PartTable is not safe for concurrent use.
	PartTable struct {
		losses []partLoss
		// starts holds when a server last began to answer a request with a part.
		starts   *lru.Cache[partKey, time.Time]
		refusals map[string]partRefusal
	}

	partKey struct {
		service string
		part    string
	}

	partLoss struct {
		PartLoss
		at time.Time
	}

	partRefusal struct {
		PartRefusal
		until time.Time
	}
)

// NewPartTable returns an empty table.
func NewPartTable() *PartTable {
	starts, err := lru.New[partKey, time.Time](maxStarts)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &PartTable{starts: starts, refusals: make(map[string]partRefusal)}
}

// RecordLoss records a loss that happened at the given time. A loss that is known already
// is ignored.
func (t *PartTable) RecordLoss(at time.Time, loss PartLoss) {
	t.losses = slices.DeleteFunc(t.losses, func(l partLoss) bool { return at.Sub(l.at) > Retention })
	isKnown := slices.ContainsFunc(t.losses, func(l partLoss) bool { return l.RequestID == loss.RequestID && l.isSameServer(loss) })
	if isKnown || len(loss.Parts) == 0 {
		return
	}
	if len(t.losses) == maxLosses {
		t.losses = t.losses[1:]
	}
	t.losses = append(t.losses, partLoss{loss, at})
}

// RecordStart records that a server began at the given time to answer a request with the
// given parts. It returns the refusals that this refutes and lifts, and those that it
// narrows down to the parts that the request does not have: only these can be the cause.
func (t *PartTable) RecordStart(at time.Time, service string, parts []string) (lifted, narrowed []PartRefusal) {
	for _, part := range parts {
		key := partKey{service, part}
		if last, ok := t.starts.Get(key); !ok || last.Before(at) {
			t.starts.Add(key, at)
		}
	}
	for key, refusal := range t.refusals {
		rest := slices.DeleteFunc(slices.Clone(refusal.Parts), func(part string) bool { return slices.Contains(parts, part) })
		duration := refusal.until.Sub(at)
		if refusal.Service != service || len(rest) == len(refusal.Parts) || duration <= 0 {
			continue
		}
		delete(t.refusals, key)
		if len(rest) == 0 {
			lifted = append(lifted, refusal.PartRefusal)
		} else {
			narrowed = append(narrowed, PartRefusal{Service: service, Parts: rest, Duration: duration})
		}
	}
	for _, refusal := range narrowed {
		t.Add(at, refusal)
	}
	return lifted, narrowed
}

// LastStart returns when a server last began to answer a request with a part.
func (t *PartTable) LastStart(service, part string) (time.Time, bool) {
	return t.starts.Get(partKey{service, part})
}

// Suspects returns the parts of a request that together are to be refused by the losses
// known at now, or nil if there is no cause to refuse them or they are refused already.
func (t *PartTable) Suspects(now time.Time, service string, parts []string) []string {
	if _, isRefused := t.Check(now, service, parts); isRefused {
		return nil
	}
	var suspects []string
	most := 0
	for _, part := range parts {
		losses := t.lossesOf(now, service, part)
		failures, limit := countFailures(losses, false), refuseAfterFailures
		if t.hasStarted(now, service, part) {
			failures, limit = countFailures(losses, true), refuseStartedAfterFailures
		}
		if failures < limit || failures < most {
			continue
		}
		if common := t.commonParts(now, losses, part); failures > most || len(common) > len(suspects) {
			suspects, most = common, failures
		}
	}
	return suspects
}

// Refuse refuses requests with all of the given parts from now on, and returns the refusal.
func (t *PartTable) Refuse(now time.Time, service string, parts []string) PartRefusal {
	refusal := PartRefusal{Service: service, Parts: parts, Duration: firstRefusal}
	if last, ok := t.refusals[refusal.Key()]; ok {
		refusal.Duration = min(2*last.Duration, maxRefusal)
	}
	t.Add(now, refusal)
	return refusal
}

// Add adds a refusal that became known at now, unless one of the same parts ends later.
func (t *PartTable) Add(now time.Time, refusal PartRefusal) {
	for key, known := range t.refusals {
		if now.Sub(known.until) > maxRefusal {
			delete(t.refusals, key)
		}
	}
	until := now.Add(refusal.Duration)
	if known, ok := t.refusals[refusal.Key()]; !ok || known.until.Before(until) {
		t.refusals[refusal.Key()] = partRefusal{refusal, until}
	}
}

// Lift ends a refusal that another host has refuted.
func (t *PartTable) Lift(refusal PartRefusal) {
	delete(t.refusals, refusal.Key())
}

// Check returns when the refusal of a request with the given parts ends. It returns false
// if the request is not refused at now.
func (t *PartTable) Check(now time.Time, service string, parts []string) (time.Time, bool) {
	var until time.Time
	for _, refusal := range t.refusals {
		if refusal.until.After(now) && refusal.until.After(until) && refusal.matches(service, parts) {
			until = refusal.until
		}
	}
	return until, !until.IsZero()
}

// Refusals returns the refusals that are in force at now, with the rest of their duration.
func (t *PartTable) Refusals(now time.Time) []PartRefusal {
	var inForce []PartRefusal
	for _, refusal := range t.refusals {
		if rest := refusal.until.Sub(now); rest > 0 {
			inForce = append(inForce, PartRefusal{Service: refusal.Service, Parts: refusal.Parts, Duration: rest})
		}
	}
	slices.SortFunc(inForce, func(a, b PartRefusal) int { return strings.Compare(a.Key(), b.Key()) })
	return inForce
}

// Key returns a text that is the same for refusals of the same parts.
func (r PartRefusal) Key() string {
	return r.Service + "/" + strings.Join(slices.Sorted(slices.Values(r.Parts)), "+")
}

func (r partRefusal) matches(service string, parts []string) bool {
	if r.Service != service {
		return false
	}
	for _, part := range r.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// hasStarted reports whether a server has begun to answer a request with a part.
func (t *PartTable) hasStarted(now time.Time, service, part string) bool {
	last, ok := t.LastStart(service, part)
	return ok && now.Sub(last) < Retention
}

// lossesOf returns the losses of requests with a part since a server last began to answer
// such a request.
func (t *PartTable) lossesOf(now time.Time, service, part string) []partLoss {
	last, _ := t.LastStart(service, part)
	var losses []partLoss
	for _, loss := range t.losses {
		if loss.Service == service && loss.at.After(last) && now.Sub(loss.at) <= Retention && slices.Contains(loss.Parts, part) {
			losses = append(losses, loss)
		}
	}
	slices.SortStableFunc(losses, func(a, b partLoss) int { return a.at.Compare(b.at) })
	return losses
}

// commonParts returns the parts that all of the losses share, without those other than
// part that servers have begun to answer.
func (t *PartTable) commonParts(now time.Time, losses []partLoss, part string) []string {
	var common []string
	for _, candidate := range losses[0].Parts {
		isCommon := !slices.ContainsFunc(losses, func(l partLoss) bool { return !slices.Contains(l.Parts, candidate) })
		if candidate == part || isCommon && !t.hasStarted(now, losses[0].Service, candidate) {
			common = append(common, candidate)
		}
	}
	return common
}

// countFailures returns the number of failures behind the losses, which are in the order
// of time. Losses within commonCauseWindow belong to one failure if they are of the same
// server, or in any case with acrossServers.
func countFailures(losses []partLoss, acrossServers bool) int {
	var failures []partLoss
	for _, loss := range losses {
		isCounted := slices.ContainsFunc(failures, func(f partLoss) bool {
			return (acrossServers || f.isSameServer(loss.PartLoss)) && loss.at.Sub(f.at) < commonCauseWindow
		})
		if !isCounted {
			failures = append(failures, loss)
		}
	}
	return len(failures)
}

// isSameServer reports whether two losses are of one incarnation of a server, as far as
// that is known.
func (l PartLoss) isSameServer(other PartLoss) bool {
	return l.Server == other.Server && l.ServerStarted.Equal(other.ServerStarted)
}

// Len returns the number of losses, parts and refusals in the table.
func (t *PartTable) Len() int {
	return len(t.losses) + t.starts.Len() + len(t.refusals)
}
