// Package claim decides which call with an idempotency key may run. Once a key
// has been granted, no daemon grants it again until its horizon has passed.
//
// The package uses these terms:
//
//   - A claim is a request to run the call of a key.
//   - A grant is the decision that one request may run the call. Its horizon is
//     the time for which it excludes every other grant of the key.
//   - The home of a key is the daemon that decides on the claims of that key. It
//     is chosen from the homes of an epoch by rendezvous hashing.
//   - An epoch is a numbered list of homes on which all daemons agree through the
//     platform. A change of the list begins the next epoch.
//   - A member is one membership of a home in the epochs. It differs from the
//     membership of a host in core/member, which states whether the host is alive.
//   - A journal is the record of a home's grants on the platform. A seal ends the
//     journal of a former home, so that no further grant can be acknowledged
//     through it.
//   - A witness is another home that records grants while their home cannot write
//     its journal, which is an outage.
//   - A former home is cleared for a key when this daemon knows every grant of
//     the key that the former home acknowledged, and the former home can
//     acknowledge no more.
package claim

import (
	"errors"
	"time"
)

const (
	// Granted lets the requester run the call.
	Granted Outcome = iota + 1
	// Running means that another request of this key is running, or has run and
	// only its owner may still have the response.
	Running
	// Settled means that the call ran and its response is stored.
	Settled
	// Unknown means that the call may have run and its response is lost.
	Unknown
	// BodyMismatch means that an earlier request used the key with another body.
	BodyMismatch
	// Undecided means that this home cannot decide now; the call was not run.
	Undecided
	// NotHome means that another daemon is the home of the key.
	NotHome
)

// expireInterval is the minimum time between two scans for expired keys.
const expireInterval = time.Second

// maxResponseBytes limits the total size of the stored responses of one table.
// The oldest responses are dropped first; their owners may still have them.
const maxResponseBytes = 16 << 20

// ErrTableFull means that the table, or the share of this workspace in it, has no
// capacity for another key until some keys expire.
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

	// Daemon is one incarnation of a daemon. The owner of a grant is the daemon that
	// runs the call; the members of an epoch are daemons that are homes.
	Daemon struct {
		Host        string
		Incarnation uint64
	}

	// Header is one header of a stored response.
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

	// Grant records that one request may run the call of a key, and how that call
	// ended.
	Grant struct {
		Key       Key
		BodyHash  uint64
		RequestID string
		Owner     Daemon
		GrantedAt time.Time
		Horizon   time.Duration
		Settled   bool
		Unknown   bool
		Response  *Response // nil when the response is lost or too large to keep
	}

	// Table holds the grants of one home. It is not safe for concurrent use.
	Table struct {
		limit           int
		grants          map[Key]*Grant
		keysByWorkspace map[string]int // number of held keys by workspace
		nextExpiry      time.Time      // earliest time of the next scan for expired keys
		responseOrder   []Key          // keys with a stored response, oldest first, and keys whose response was dropped since
		responseBytes   int            // total size of the stored responses
	}
)

// NewTable returns an empty table that holds at most limit keys.
func NewTable(limit int) *Table {
	return &Table{limit: limit, grants: map[Key]*Grant{}, keysByWorkspace: map[string]int{}}
}

// Claim decides on one key. The returned grant is the one that holds the key.
func (t *Table) Claim(now time.Time, wanted Grant) (Outcome, Grant, error) {
	if held, ok := t.Lookup(now, wanted.Key); ok {
		return held.outcome(wanted), held, nil
	}
	if !t.hasCapacity(wanted.Key.Workspace) {
		t.expireIfDue(now)
		if !t.hasCapacity(wanted.Key.Workspace) {
			return Undecided, Grant{}, ErrTableFull
		}
	}
	wanted.GrantedAt = now
	t.put(&wanted)
	return Granted, wanted, nil
}

// Expire removes the keys whose horizon has passed.
func (t *Table) Expire(now time.Time) {
	for _, g := range t.grants {
		if g.expired(now) {
			t.remove(g)
		}
	}
	t.nextExpiry = now.Add(expireInterval)
}

// hasCapacity reports whether a workspace may hold one more key. Once three
// quarters of the table are in use, a workspace may hold at most limit/(n+1) keys,
// where n is the number of workspaces that hold keys, this one included, so that a
// flood of keys from one workspace leaves capacity for the others.
func (t *Table) hasCapacity(workspace string) bool {
	if len(t.grants) < t.limit*3/4 {
		return true
	}
	sharers := len(t.keysByWorkspace)
	if t.keysByWorkspace[workspace] == 0 {
		sharers++
	}
	return len(t.grants) < t.limit && t.keysByWorkspace[workspace] < max(1, t.limit/(sharers+1))
}

// expireIfDue calls Expire at most once per expireInterval, which limits the work
// that claims cause at a full table.
func (t *Table) expireIfDue(now time.Time) {
	if !now.Before(t.nextExpiry) {
		t.Expire(now)
	}
}

func (t *Table) put(g *Grant) {
	if old, ok := t.grants[g.Key]; ok {
		t.remove(old)
	}
	t.grants[g.Key] = g
	t.keysByWorkspace[g.Key.Workspace]++
}

// Lookup returns the grant of a key that is within its horizon.
func (t *Table) Lookup(now time.Time, key Key) (Grant, bool) {
	held, ok := t.grants[key]
	if !ok || held.expired(now) {
		return Grant{}, false
	}
	return *held, true
}

// Settle stores how the call of requestID ended. It does nothing when another
// request holds the key.
func (t *Table) Settle(key Key, requestID string, response *Response, unknown bool) {
	g, ok := t.grants[key]
	if !ok || g.RequestID != requestID {
		return
	}
	g.Settled = true
	g.Unknown = unknown
	t.setResponse(g, response)
}

// Withdraw removes a grant whose call did not reach any backend server.
func (t *Table) Withdraw(key Key, requestID string) {
	if g, ok := t.grants[key]; ok && g.RequestID == requestID && !g.Settled {
		t.remove(g)
	}
}

// Merge adds a grant of another home, even beyond the limit. When a key was
// withdrawn and granted again, the newest grant holds the key. A stored response
// completes the grant that the response belongs to.
func (t *Table) Merge(g Grant) {
	held, ok := t.grants[g.Key]
	completes := ok && held.RequestID == g.RequestID && held.isLessCompleteThan(g)
	replaces := ok && held.RequestID != g.RequestID && !held.Settled && g.GrantedAt.After(held.GrantedAt)
	if ok && !completes && !replaces {
		return
	}
	response := g.Response
	g.Response = nil
	t.put(&g)
	t.setResponse(&g, response)
}

// Grants returns all grants that have not expired, in no particular order.
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
	t.dropResponse(g)
	delete(t.grants, g.Key)
	t.keysByWorkspace[g.Key.Workspace]--
	if t.keysByWorkspace[g.Key.Workspace] == 0 {
		delete(t.keysByWorkspace, g.Key.Workspace)
	}
}

// setResponse stores a response and drops the oldest responses beyond
// maxResponseBytes.
func (t *Table) setResponse(g *Grant, response *Response) {
	t.dropResponse(g)
	if response == nil {
		return
	}
	g.Response = response
	t.responseBytes += response.size()
	t.responseOrder = append(t.responseOrder, g.Key)
	for t.responseBytes > maxResponseBytes || len(t.responseOrder) > 2*len(t.grants)+1 {
		oldest, ok := t.grants[t.responseOrder[0]]
		t.responseOrder = t.responseOrder[1:]
		if ok && t.responseBytes > maxResponseBytes {
			t.dropResponse(oldest)
		}
	}
}

func (t *Table) dropResponse(g *Grant) {
	if g.Response != nil {
		t.responseBytes -= g.Response.size()
		g.Response = nil
	}
}

func (r *Response) size() int {
	size := len(r.Body)
	for _, h := range r.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// WithoutResponse returns the grant as a journal stores it: without its response,
// which another home may still supply. The copy is settled only when the outcome
// is unknown.
func (g Grant) WithoutResponse() Grant {
	g.Response = nil
	g.Settled = g.Unknown
	return g
}

// isLessCompleteThan reports whether other records more about how the same request
// ended.
func (g *Grant) isLessCompleteThan(other Grant) bool {
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
