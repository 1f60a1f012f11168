package room

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// maxTags bounds the number of workspaces whose share is remembered.
	maxTags = 2048
	// returnShare is the part of the grants that returning callers get under overload. They
	// are late already, so that a request that can still be on time is worth more, but they
	// must be served before they give up. If they always came first, no request would be on
	// time for as long as an overload lasts.
	returnShare = 0.25
	// creditStep is what a grant to another request adds to the credit of returning callers.
	creditStep = returnShare / (1 - returnShare)
)

type (
	// entry is a request that waits.
	entry struct {
		Request
		index int
		// due is when the request should be complete at the latest, in nanoseconds.
		due int64
		// isAdmitted is set once the request was predicted to be in time.
		isAdmitted bool
	}

	// queue holds the requests that wait, by urgency, those of returning callers apart from
	// the others. In each of these classes the workspace that has had the least is the next
	// one, with its request of the earliest deadline. Of the grants of an urgency, returning
	// callers get returnShare while others wait as well.
	queue struct {
		classes [2 * (maxUrgency + 1)]map[string]*lane
		byID    map[string]*entry
		// tags is the number of requests that each workspace was granted, in start-time fair
		// queueing: a workspace that was idle begins at virtual, the tag of the newest grant.
		tags    map[string]float64
		virtual float64
		// credit is the number of grants due to the returning callers of each urgency.
		credit [maxUrgency + 1]float64
	}

	// lane holds the requests of a workspace in one class.
	lane struct {
		workspace string
		entries   entryHeap
	}

	entryHeap []*entry

	// expiryHeap holds grants by the time at which they expire.
	expiryHeap []*grant
)

func newQueue() queue {
	q := queue{byID: make(map[string]*entry), tags: make(map[string]float64)}
	for i := range q.classes {
		q.classes[i] = make(map[string]*lane)
	}
	return q
}

func classOf(r Request) int {
	if r.IsReturn {
		return 2 * r.Urgency
	}
	return 2*r.Urgency + 1
}

// push adds a request. A second one with the same ID is ignored.
func (q *queue) push(r Request) {
	if _, ok := q.byID[r.ID]; !ok {
		q.restore(&entry{Request: r, due: r.latest().UnixNano()})
	}
}

// restore adds an entry that pop has removed.
func (q *queue) restore(e *entry) {
	q.byID[e.ID] = e
	class := q.classes[classOf(e.Request)]
	l, ok := class[e.Workspace]
	if !ok {
		l = &lane{workspace: e.Workspace}
		class[e.Workspace] = l
	}
	heap.Push(&l.entries, e)
}

// pop removes the request that is next, or returns nil.
func (q *queue) pop() *entry {
	for urgency := range maxUrgency + 1 {
		var best *lane
		for _, l := range q.nextClass(urgency) {
			if best == nil || q.compare(q.tag(l.workspace), l.entries[0], q.tag(best.workspace), best.entries[0]) < 0 {
				best = l
			}
		}
		if best != nil {
			e := best.entries[0]
			q.remove(e.ID)
			return e
		}
	}
	return nil
}

// nextClass returns the class of an urgency that the next grant is due to.
func (q *queue) nextClass(urgency int) map[string]*lane {
	returning, others := q.classes[2*urgency], q.classes[2*urgency+1]
	if len(returning) > 0 && (len(others) == 0 || q.credit[urgency] >= 1) {
		return returning
	}
	return others
}

func (q *queue) remove(id string) {
	e, ok := q.byID[id]
	if !ok {
		return
	}
	delete(q.byID, id)
	class := q.classes[classOf(e.Request)]
	l := class[e.Workspace]
	heap.Remove(&l.entries, e.index)
	if len(l.entries) == 0 {
		delete(class, e.Workspace)
	}
}

func (q *queue) tag(workspace string) float64 {
	return max(q.tags[workspace], q.virtual)
}

// charge counts a granted request to its workspace.
func (q *queue) charge(e *entry) {
	tag := q.tag(e.Workspace)
	q.virtual = tag
	q.tags[e.Workspace] = tag + 1
	if credit := &q.credit[e.Urgency]; e.IsReturn {
		*credit = max(*credit-1, 0)
	} else {
		*credit = min(*credit+creditStep, 1)
	}
}

// reset forgets the shares while nothing waits, and those of idle workspaces if there are
// many.
func (q *queue) reset() {
	if len(q.byID) == 0 {
		clear(q.tags)
		q.virtual = 0
		q.credit = [maxUrgency + 1]float64{}
		return
	}
	if len(q.tags) > maxTags {
		for workspace, tag := range q.tags {
			if tag <= q.virtual {
				delete(q.tags, workspace)
			}
		}
	}
}

// inOrder returns the requests in the order in which they would be granted.
func (q *queue) inOrder() []*entry {
	type place struct {
		tag   float64
		entry *entry
	}
	sorted := func(class map[string]*lane) []place {
		var places []place
		for _, l := range class {
			entries := slices.Clone(l.entries)
			slices.SortFunc(entries, (*entry).compare)
			for i, e := range entries {
				places = append(places, place{q.tag(l.workspace) + float64(i), e})
			}
		}
		slices.SortFunc(places, func(a, b place) int { return q.compare(a.tag, a.entry, b.tag, b.entry) })
		return places
	}
	ordered := make([]*entry, 0, len(q.byID))
	for urgency := range maxUrgency + 1 {
		returning, others := sorted(q.classes[2*urgency]), sorted(q.classes[2*urgency+1])
		credit := q.credit[urgency]
		for len(returning)+len(others) > 0 {
			next := &others
			if len(returning) > 0 && (len(others) == 0 || credit >= 1) {
				next, credit = &returning, credit-1
			} else {
				credit += creditStep
			}
			ordered = append(ordered, (*next)[0].entry)
			*next = (*next)[1:]
		}
	}
	return ordered
}

func (q *queue) compare(tagA float64, a *entry, tagB float64, b *entry) int {
	if tagA != tagB {
		return cmp.Compare(tagA, tagB)
	}
	return a.compare(b)
}

// compare orders the requests of a workspace in a class.
func (e *entry) compare(other *entry) int {
	if e.due != other.due {
		return cmp.Compare(e.due, other.due)
	}
	return cmp.Or(e.Arrived.Compare(other.Arrived), cmp.Compare(e.ID, other.ID))
}

// latest returns when the request should be complete at the latest.
func (r Request) latest() time.Time {
	if r.Target.IsZero() {
		return r.Deadline
	}
	return r.Target
}

// margin returns the wait that is to be compared with the request's target.
func (e *entry) margin(wait time.Duration) time.Duration {
	if e.isAdmitted {
		return wait
	}
	return time.Duration(newMargin * float64(wait))
}

func (e *entry) excludes(server string) bool {
	return slices.Contains(e.Excluded, server)
}

// Len implements heap.Interface.
func (h entryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entryHeap) Less(i, j int) bool {
	return h[i].compare(h[j]) < 0
}

// Swap implements heap.Interface.
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(element any) {
	e := element.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (h *expiryHeap) add(g *grant)    { heap.Push(h, g) }
func (h *expiryHeap) remove(g *grant) { heap.Remove(h, g.index) }

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(element any) {
	g := element.(*grant)
	g.index = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
