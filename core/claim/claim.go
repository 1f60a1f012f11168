// Package claim decides which call with an idempotency key may run. A key once
// granted is never granted again by anyone until its horizon has passed.
package claim

import (
	"errors"
	"time"
)

const (
	// Granted lets the asker run the call.
	Granted Outcome = iota + 1
	// Running means that another request of this key runs, or ran and only its
	// owner may still have the answer.
	Running
	// Settled means that the call ran and its answer is stored.
	Settled
	// Unknown means that the call may have run and its answer is lost.
	Unknown
	// BodyMismatch means that the key came with another body before.
	BodyMismatch
	// Undecided means that this home cannot decide now; nothing was run.
	Undecided
	// NotHome means that another daemon is the home of the key.
	NotHome
)

// expireInterval is the shortest time between two searches for expired keys.
const expireInterval = time.Second

// maxAnswerBytes bounds the stored answers of one table together. The oldest go
// first; their owners may still have them.
const maxAnswerBytes = 16 << 20

// ErrTableFull means that no more keys, or no more of this workspace, can be held
// until some expire.
var ErrTableFull = errors.New("claim table is full")

type (
	// Outcome is the decision on one claim.
	Outcome int

	// Key is an idempotency key in its scope.
	Key struct {
		Workspace string
		Service   string
		Value     string
	}

	// Owner is one life of the daemon that runs the call.
	Owner struct {
		Host        string
		Incarnation uint64
	}

	// Header is one header of a stored answer.
	Header struct {
		Name  string
		Value string
	}

	// Response is the stored outcome of a call.
	Response struct {
		Status  int
		Headers []Header
		Body    []byte
	}

	// Grant is one key that was granted.
	Grant struct {
		Key       Key
		BodyHash  uint64
		RequestID string
		Owner     Owner
		GrantedAt time.Time
		Horizon   time.Duration
		Settled   bool
		Unknown   bool
		Response  *Response // nil when it is lost or too large to keep
	}

	// Table holds the grants of one home. It is not safe for concurrent use.
	Table struct {
		limit    int
		grants   map[Key]*Grant
		held     map[string]int // keys by workspace
		expireAt time.Time      // earliest next search for expired keys
		answered []Key          // keys with an answer, oldest first; may name others too
		bytes    int            // of all answers
	}
)

// NewTable returns an empty table that holds at most limit keys.
func NewTable(limit int) *Table {
	return &Table{limit: limit, grants: map[Key]*Grant{}, held: map[string]int{}}
}

// Claim decides on one key. The returned grant is the one that holds the key.
func (t *Table) Claim(now time.Time, wanted Grant) (Outcome, Grant, error) {
	if held, ok := t.Lookup(now, wanted.Key); ok {
		return held.outcome(wanted), held, nil
	}
	if !t.hasRoom(wanted.Key.Workspace) {
		t.expireSometimes(now)
		if !t.hasRoom(wanted.Key.Workspace) {
			return Undecided, Grant{}, ErrTableFull
		}
	}
	wanted.GrantedAt = now
	t.put(&wanted)
	return Granted, wanted, nil
}

// Expire drops the keys whose horizon has passed.
func (t *Table) Expire(now time.Time) {
	for _, g := range t.grants {
		if g.expired(now) {
			t.remove(g)
		}
	}
	t.expireAt = now.Add(expireInterval)
}

// hasRoom reports whether a workspace may hold one more key. The last quarter of
// the table is shared evenly, so that a flood from one workspace leaves room for
// the others.
func (t *Table) hasRoom(workspace string) bool {
	if len(t.grants) < t.limit*3/4 {
		return true
	}
	sharers := len(t.held)
	if t.held[workspace] == 0 {
		sharers++
	}
	return len(t.grants) < t.limit && t.held[workspace] < max(1, t.limit/(sharers+1))
}

// expireSometimes bounds the work that claims cause at a full table.
func (t *Table) expireSometimes(now time.Time) {
	if !now.Before(t.expireAt) {
		t.Expire(now)
	}
}

func (t *Table) put(g *Grant) {
	if old, ok := t.grants[g.Key]; ok {
		t.remove(old)
	}
	t.grants[g.Key] = g
	t.held[g.Key.Workspace]++
}

// Lookup returns the grant of a key that is within its horizon.
func (t *Table) Lookup(now time.Time, key Key) (Grant, bool) {
	held, ok := t.grants[key]
	if !ok || held.expired(now) {
		return Grant{}, false
	}
	return *held, true
}

// Settle stores how the call of requestID ended. A settle of another request
// than the holder's is ignored.
func (t *Table) Settle(key Key, requestID string, answer *Response, unknown bool) {
	g, ok := t.grants[key]
	if !ok || g.RequestID != requestID {
		return
	}
	g.Settled = true
	g.Unknown = unknown
	t.setAnswer(g, answer)
}

// Withdraw drops a grant whose call did not reach any backend server.
func (t *Table) Withdraw(key Key, requestID string) {
	if g, ok := t.grants[key]; ok && g.RequestID == requestID && !g.Settled {
		t.remove(g)
	}
}

// Merge takes in a grant of another home, even over the limit. A key that was
// withdrawn and granted again is held by its newest grant; a stored answer
// completes the grant that it belongs to.
func (t *Table) Merge(g Grant) {
	held, ok := t.grants[g.Key]
	completes := ok && held.RequestID == g.RequestID && held.lacks(g)
	replaces := ok && held.RequestID != g.RequestID && !held.Settled && g.GrantedAt.After(held.GrantedAt)
	if ok && !completes && !replaces {
		return
	}
	answer := g.Response
	g.Response = nil
	t.put(&g)
	t.setAnswer(&g, answer)
}

// Grants returns all grants that have not expired, in no order.
func (t *Table) Grants(now time.Time) []Grant {
	t.Expire(now)
	grants := make([]Grant, 0, len(t.grants))
	for _, g := range t.grants {
		grants = append(grants, *g)
	}
	return grants
}

// Len returns the number of held keys.
func (t *Table) Len() int {
	return len(t.grants)
}

func (t *Table) remove(g *Grant) {
	t.dropAnswer(g)
	delete(t.grants, g.Key)
	t.held[g.Key.Workspace]--
	if t.held[g.Key.Workspace] == 0 {
		delete(t.held, g.Key.Workspace)
	}
}

// setAnswer stores an answer and drops the oldest ones over the limit.
func (t *Table) setAnswer(g *Grant, answer *Response) {
	t.dropAnswer(g)
	if answer == nil {
		return
	}
	g.Response = answer
	t.bytes += answer.size()
	t.answered = append(t.answered, g.Key)
	for t.bytes > maxAnswerBytes || len(t.answered) > 2*len(t.grants)+1 {
		oldest, ok := t.grants[t.answered[0]]
		t.answered = t.answered[1:]
		if ok && t.bytes > maxAnswerBytes {
			t.dropAnswer(oldest)
		}
	}
}

func (t *Table) dropAnswer(g *Grant) {
	if g.Response != nil {
		t.bytes -= g.Response.size()
		g.Response = nil
	}
}

func (a *Response) size() int {
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// WithoutResponse returns the grant as a journal keeps it: without its answer, which
// others may still tell.
func (g Grant) WithoutResponse() Grant {
	g.Response = nil
	g.Settled = g.Unknown
	return g
}

// lacks reports whether other tells more of how the same request ended.
func (g *Grant) lacks(other Grant) bool {
	if !g.Settled {
		return other.Settled
	}
	return g.Response == nil && other.Response != nil
}

func (g *Grant) expired(now time.Time) bool {
	return now.Sub(g.GrantedAt) > g.Horizon+clockSkew
}

func (g *Grant) outcome(wanted Grant) Outcome {
	switch {
	case g.BodyHash != wanted.BodyHash:
		return BodyMismatch
	case g.RequestID == wanted.RequestID:
		return Granted
	case g.Settled && g.Response != nil:
		return Settled
	case g.Unknown:
		return Unknown
	default:
		return Running
	}
}
