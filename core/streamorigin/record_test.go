package streamorigin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
)

const (
	modelStep = 500 * time.Millisecond
	// modelWindow is longer than a stream, which takes at most streamSteps.
	modelWindow = 6 * time.Second
	streamSteps = 8
	// maxAge is the number of steps by which a host's list of servers may be out of date.
	maxAge = 3
)

type (
	// modelStore is the store, with one service's record and the origins of its streams.
	modelStore struct {
		isDown  bool
		era     uint64
		record  *streamorigin.Record
		origins map[string]string
		// listed are the versions of the servers that run.
		listed []string
		// started is the number of versions that were started.
		started int
		older   *modelStore
	}

	// modelHost is one start of a host.
	modelHost struct {
		tracker *streamorigin.RecordTracker
		history *streamorigin.History
		table   *streamorigin.Table
		listed  []string
		era     uint64
		// eraBegan is when the host noticed that the store was set back, or zero.
		eraBegan time.Time
		pending  map[string]string
		// age is the number of steps since the list of servers was read.
		age int
	}

	modelStream struct {
		version string
		step    int
	}
)

func newModelHost() *modelHost {
	return &modelHost{
		tracker: streamorigin.NewRecordTracker(), history: streamorigin.NewHistory(time.Hour),
		table: streamorigin.NewTable(1000, time.Hour), pending: make(map[string]string),
	}
}

// step does what a host does every few hundred milliseconds. It reads the list of servers if
// that is due, and writes to the store if isWriting is set.
func (h *modelHost) step(t *rapid.T, now time.Time, store *modelStore, isFirstStart, isWriting bool) {
	if store.isDown {
		return
	}
	if h.age++; h.listed == nil || h.age > maxAge || rapid.Bool().Draw(t, "reads") {
		h.listed, h.age = slices.Clone(store.listed), 0
	}
	if h.era != store.era {
		if h.era != 0 {
			h.eraBegan = now
		}
		h.era, h.tracker = store.era, streamorigin.NewRecordTracker()
	}
	h.observe(now)
	if isWriting {
		h.tracker.SetRecord(store.record)
	}
	recent, covers := h.history.Recent(now, "s", modelWindow)
	next, isChange := h.tracker.Next(now, streamorigin.Observation{
		Listed: h.listed, Recent: recent, CoversWindow: covers && now.Sub(h.eraBegan) >= modelWindow, Era: store.era, IsFirstStart: isFirstStart,
	})
	if !isWriting {
		return
	}
	if isChange {
		store.record = &next
		h.tracker.SetRecord(&next)
	}
	if h.tracker.IsMixed() {
		for id, version := range h.pending {
			store.origins[id] = version
		}
	}
}

// exchange brings the host's list of servers up to date. Hosts exchange their lists when the
// store does not respond.
func (h *modelHost) exchange(now time.Time, store *modelStore) {
	if h.listed != nil {
		h.listed, h.age = slices.Clone(store.listed), 0
		h.observe(now)
	}
}

func (h *modelHost) observe(now time.Time) {
	var servers []serverlist.Server
	for _, version := range h.listed {
		servers = append(servers, serverlist.Server{Service: "s", SoftwareVersion: version})
	}
	h.history.Observe(now, servers)
}

// begin begins a stream at a version that the host may use. It returns false if there is none.
func (h *modelHost) begin(t *rapid.T, now time.Time, id string) (modelStream, bool) {
	usable := slices.DeleteFunc(slices.Clone(h.listed), func(version string) bool { return !h.tracker.IsRecorded(version) })
	if len(usable) == 0 {
		return modelStream{}, false
	}
	version := rapid.SampledFrom(usable).Draw(t, "version")
	h.table.Record(now, streamorigin.Origin{RequestID: id, Service: "s", SoftwareVersion: version})
	h.pending[id] = version
	return modelStream{version: version}, true
}

// resume returns the version at which a host lets a stream go on.
func (h *modelHost) resume(now time.Time, store *modelStore, id string) (string, bool) {
	var finding streamorigin.Finding
	if origin, ok := h.table.Lookup(now, id); ok {
		finding.IsFound, finding.SoftwareVersion = true, origin.SoftwareVersion
	}
	finding.SoleVersion, finding.IsSole = h.history.Sole(now, "s", modelWindow)
	finding.IsMixed = h.history.IsMixed(now, "s", modelWindow)
	if store.isDown {
		return finding.Resolve(nil, true)
	}
	version, isFound := store.origins[id]
	return finding.Resolve(&streamorigin.Stored{Record: store.record, Era: store.era, IsFound: isFound, SoftwareVersion: version}, true)
}

// TestStreamsAfterAllHostsFail starts, ends and drains servers of two versions, kills all hosts
// at once, takes the store away and sets it back, while streams begin and are taken up again.
// No stream may go on at another version than its own. Each one must go on whose origin was
// written to the store, or whose version was the only one that the store has recorded, as long
// as the store responds and was not set back.
func TestStreamsAfterAllHostsFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{origins: make(map[string]string), listed: []string{"v1"}, started: 1, era: 1}
		now := start
		hosts := []*modelHost{newModelHost(), newModelHost()}
		for _, h := range hosts {
			h.step(t, now, store, true, true)
		}
		streams := make(map[string]modelStream)
		wasSetBack := false
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(modelStep)
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				version := fmt.Sprint("v", rapid.IntRange(1, store.started+1).Draw(t, "started"))
				if !slices.Contains(store.listed, version) {
					store.listed = append(slices.Clone(store.listed), version)
					store.started++
				}
			case 1:
				if len(store.listed) > 1 {
					store.listed = slices.Delete(slices.Clone(store.listed), 0, 1)
				}
			case 2, 3:
				hosts = []*modelHost{newModelHost(), newModelHost()}
			case 4:
				hosts[0] = newModelHost()
			case 5:
				store.isDown = !store.isDown
				for _, h := range hosts {
					h.exchange(now, store)
				}
			case 6:
				older := *store
				older.older = nil
				older.origins = make(map[string]string)
				store.older = &older
			case 7:
				if store.older != nil && !store.isDown {
					back := *store.older
					back.era, back.isDown, back.listed, back.started = store.era+1, false, store.listed, store.started
					*store, wasSetBack = back, true
				}
			}
			for _, h := range hosts {
				h.step(t, now, store, false, h.era != store.era || rapid.Bool().Draw(t, "writes"))
			}
			for i, h := range hosts {
				id := fmt.Sprint("r", step, "-", i)
				if s, ok := h.begin(t, now, id); ok {
					s.step = step
					streams[id] = s
				}
			}
			for id, s := range streams {
				if step-s.step > streamSteps {
					delete(streams, id)
					continue
				}
				version, isStored := store.origins[id]
				for _, h := range hosts {
					got, ok := h.resume(now, store, id)
					if ok && got != s.version {
						t.Fatalf("stream %s of %s goes on at %s; record %+v, era %d, set back %t", id, s.version, got, store.record, store.era, wasSetBack)
					}
					isSole := !wasSetBack && store.record != nil && slices.Equal(store.record.Versions, []string{s.version}) && !h.history.IsMixed(now, "s", modelWindow)
					if !ok && !store.isDown && (isStored && version == s.version || isSole && !h.isContradicted(now, s.version)) {
						t.Fatalf("stream %s of %s is refused, record %+v", id, s.version, store.record)
					}
				}
			}
		}
	})
}

// isContradicted reports whether the host has seen another version only.
func (h *modelHost) isContradicted(now time.Time, version string) bool {
	sole, ok := h.history.Sole(now, "s", modelWindow)
	return ok && sole != version
}
