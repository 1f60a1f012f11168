package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// moveTimeout is the longest wait for a copy of a run's memory.
	moveTimeout = 1500 * time.Millisecond
	// movePause is the time between two searches for a server with room.
	movePause = 120 * time.Millisecond
)

type (
	// movedRun says where a run goes on that was moved off a leaving server.
	movedRun struct {
		server serverlist.Server
		handle string
	}

	// move takes a run off its server when that leaves.
	move struct {
		*generation
		server serverlist.Server
		// seen is the version of the list of servers that was looked at last.
		seen    uint64
		started bool
		done    chan *movedRun
		cancel  context.CancelFunc
	}
)

// Error implements error: a move ends the attempt at one server.
func (m *movedRun) Error() string {
	return "run moved to " + m.server.ID
}

func newMove(g *generation, server serverlist.Server) *move {
	return &move{generation: g, server: server, seen: g.fleet.Servers().Version, done: make(chan *movedRun, 1)}
}

// check begins the move once the server is known to leave.
func (m *move) check(ctx context.Context) {
	snapshot := m.fleet.Servers()
	if m.started || snapshot.Version == m.seen {
		return
	}
	m.seen = snapshot.Version
	if !isLeaving(snapshot.Servers, m.server.ID) {
		return
	}
	m.started = true
	ctx, m.cancel = context.WithCancel(ctx)
	go m.run(ctx)
}

// stop ends a move that is under way.
func (m *move) stop() {
	if m.started {
		m.cancel()
	}
}

// result returns where the run goes on, or nil where it was not moved. It waits
// for a move that is under way.
func (m *move) result() *movedRun {
	if !m.started {
		return nil
	}
	select {
	case moved := <-m.done:
		return moved
	case <-time.After(moveTimeout):
		return nil
	}
}

// run copies the memory while the run goes on, and then stops it with what is
// new.
func (m *move) run(ctx context.Context) {
	moved, err := m.moveOff(ctx)
	entry := m.logger.WithFields(m.order.fields()).WithField("server", m.server.ID)
	if err != nil {
		entry.WithError(err).Info("run not moved off a leaving server")
	} else {
		entry.WithFields(log.Fields{"to": moved.server.ID, "events": m.relay.Last()}).Info("run moved off a leaving server")
	}
	m.done <- moved
}

// moveOff looks for a server with room until the run ends.
func (m *move) moveOff(ctx context.Context) (*movedRun, error) {
	want := balance.Want{Service: m.order.Route.Service, Stage: serverlist.Decode, FailureDomain: m.server.FailureDomain, Excluded: []string{m.server.ID}}
	for {
		for _, target := range m.ranked(want) {
			_, err := m.copy(ctx, target, false)
			if err == nil {
				return m.finish(ctx, target)
			}
			if !errors.Is(err, errNotRun) {
				return nil, err // the run has ended, or its server is gone
			}
			m.full(target.ID)
		}
		if err := timing.Sleep(ctx, movePause); err != nil {
			return nil, err
		}
	}
}

// finish stops the run and copies what is new.
func (m *move) finish(ctx context.Context, target serverlist.Server) (*movedRun, error) {
	handle, err := m.copy(ctx, target, true)
	if err == nil {
		return &movedRun{server: target, handle: handle.ID}, nil
	}
	if handle.ID != "" {
		return &movedRun{server: m.server, handle: handle.ID}, nil // it has stopped, and goes on where it was
	}
	return nil, err
}

// copy makes one call. A handle beside an error is at the run's own server.
func (m *move) copy(ctx context.Context, target serverlist.Server, isLast bool) (platform.Handle, error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	call, err := platform.MoveCall(m.server.ID, m.order.Metadata.ID, target.Address, isLast)
	if err != nil {
		return platform.Handle{}, err
	}
	status, body, err := m.pool.Call(ctx, m.server.Address, call)
	if err != nil {
		return platform.Handle{}, err
	}
	handle, err := platform.DecodeMove(body)
	switch status {
	case http.StatusOK:
		return handle, err
	case http.StatusServiceUnavailable:
		return handle, fmt.Errorf("%w: copy answered %d", errNotRun, status)
	default:
		return handle, fmt.Errorf("%w: copy answered %d", errInvalid, status)
	}
}

// goOn runs a request at the server that holds its memory.
func (g *generation) goOn(ctx context.Context, moved *movedRun) error {
	g.isMoved = true
	g.counters.moved.Inc()
	room := seat{server: moved.server, tokens: g.order.Metadata.PromptTokens}
	g.begin(room.server.ID, room.tokens)
	defer g.end(room.server.ID, room.tokens)
	return g.decode(ctx, room, handleAt{server: moved.server, id: moved.handle})
}

// isLeaving reports whether a server drains or is not listed any more.
func isLeaving(servers []serverlist.Server, id string) bool {
	for _, s := range servers {
		if s.ID == id {
			return s.IsDraining
		}
	}
	return true
}
