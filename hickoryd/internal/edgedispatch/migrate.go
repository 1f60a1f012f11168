package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// transferTimeout limits a transfer of the KV cache of a run that goes on meanwhile. The
	// last transfer has no limit but the request's deadline: the run has stopped, and only
	// the response tells where it can be resumed.
	transferTimeout = 1500 * time.Millisecond
	// maxStopTime is the longest transfer after which the run is stopped without another
	// one: the last transfer, during which the stream pauses, takes about as long as the one
	// before.
	maxStopTime = 200 * time.Millisecond
	// minGain is the part of the time of a transfer by which the next one must be shorter
	// for a further one to be worth while. A server leaves soon, so a run is not kept there
	// for longer than that.
	minGain = 0.25
	// migrationPause is the time between two searches for a server with free capacity, and
	// between two transfers.
	migrationPause = 120 * time.Millisecond
	// targetTimeout is the time within which a server must respond to be the one at which a run
	// goes on.
	targetTimeout = 150 * time.Millisecond
	// maxMigrations is the maximum number of migrations of one request.
	maxMigrations = 8
)

var (
	// errNoTarget means that no server has room for a run.
	errNoTarget = errors.New("no decode server to migrate the run to")
	// errTransferInProgress means that the run's server still carries out a transfer
	// whose response was not awaited.
	errTransferInProgress = errors.New("an earlier transfer of the run is in progress")
)

type (
	// migratedRun is a run that was stopped to migrate it off a draining server.
	migratedRun struct {
		// server is the one at which the run resumes. source is the run's own server, which
		// still holds its KV cache and can resume it too.
		server, source serverlist.Server
		// handle is the handle of the KV cache at source.
		handle string
		// events is the number of events that the run has generated.
		events uint64
	}

	// migration moves a run to another server when its own server drains or is
	// unregistered.
	migration struct {
		*generation
		// server is the run's own server.
		server serverlist.Server
		// target is the server that has a copy of the run's KV cache, or nil. lastTook is
		// how long the last transfer to it took.
		target   *serverlist.Server
		lastTook time.Duration
		// copied is the handle by which the copy is freed at both servers.
		copied kvHandle
		// checkedVersion is the version of the server list that was checked last.
		checkedVersion uint64
		started        bool
		// mayHaveStopped is set once the server may have stopped the run by the last transfer.
		mayHaveStopped atomic.Bool
		// done receives the result. abandoned is closed when nobody awaits it.
		done      chan *migratedRun
		abandoned chan struct{}
		// cancel ends the migration, cancelSearch only until the run is stopped.
		cancel       context.CancelFunc
		cancelSearch context.CancelFunc
	}
)

// Error implements error: a migration ends the attempt at the run's server.
func (m *migratedRun) Error() string {
	return "run migrated to " + m.server.ID
}

func newMigration(g *generation, server serverlist.Server) *migration {
	m := &migration{generation: g, server: server, done: make(chan *migratedRun), abandoned: make(chan struct{})}
	if snapshot := g.registry.Servers(); !isLeaving(snapshot.Servers, server.ID) { // a migrated run may have gone on at its own server
		m.checkedVersion = snapshot.Version
	}
	return m
}

// check starts the migration once the server list shows that the server is draining
// or no longer lists it.
func (m *migration) check(ctx context.Context) {
	snapshot := m.registry.Servers()
	if m.started || snapshot.Version == m.checkedVersion {
		return
	}
	m.checkedVersion = snapshot.Version
	if !isLeaving(snapshot.Servers, m.server.ID) {
		return
	}
	m.started = true
	ctx, m.cancel = context.WithCancel(ctx)
	searchCtx, cancelSearch := context.WithCancel(ctx)
	m.cancelSearch = cancelSearch
	go m.run(ctx, searchCtx)
}

// stop cancels a migration that is in progress, and frees the copy of a run that is not
// resumed from it.
func (m *migration) stop() {
	if m.started {
		m.cancel()
		close(m.abandoned)
	}
}

// result returns where the run resumes after its stream has ended, or nil if the run was
// not migrated. It waits for the response to the last transfer, until ctx ends.
func (m *migration) result(ctx context.Context) *migratedRun {
	if !m.started {
		return nil
	}
	m.cancelSearch()
	m.phase = phaseMigration
	select {
	case migrated := <-m.done:
		return migrated
	case <-ctx.Done():
		return nil
	}
}

// run migrates the run: it transfers the KV cache while the run continues, then stops
// the run and transfers what was added since.
func (m *migration) run(ctx, searchCtx context.Context) {
	migrated, err := m.migrate(ctx, searchCtx)
	entry := m.logger.WithFields(m.request.logFields()).WithField("server", m.server.ID)
	if err != nil {
		entry.WithError(err).Info("run not migrated off a draining server")
	} else {
		entry.WithFields(log.Fields{"to": migrated.server.ID, "events": migrated.events}).Info("run migrated off a draining server")
	}
	select {
	case m.done <- migrated:
	case <-m.abandoned:
		migrated = nil
	}
	if migrated == nil {
		m.releaseHandle(m.copied)
	}
}

// migrate transfers the run to the first server with free capacity and then stops the
// run. It repeats the transfer, which copies only what is new, until the copy lags so
// little behind the run that the stream does not pause for long, or the transfers get no
// shorter. It tries until searchCtx ends.
func (m *migration) migrate(ctx, searchCtx context.Context) (*migratedRun, error) {
	criteria := balance.Criteria{
		Service: m.request.Route.Service, Stage: serverlist.Decode, SoftwareVersion: m.server.SoftwareVersion,
		FailureDomain: m.server.FailureDomain, Excluded: append([]string{m.server.ID}, m.unfitTargets...),
	}
	for {
		target, took, err := m.transferToAny(searchCtx, criteria)
		switch {
		case err == nil && m.isCopyNear(took) && !m.canContinue(searchCtx, target):
			criteria.Excluded = append(criteria.Excluded, target.ID)
			m.target, m.lastTook = nil, 0
		case err == nil && searchCtx.Err() == nil && m.isCopyNear(took):
			migrated, err := m.complete(ctx, target)
			if !errors.Is(err, upstream.ErrNotSent) && !errors.Is(err, errTransferInProgress) {
				return migrated, err
			}
			m.target, m.lastTook = &target, took // the run goes on
		case err == nil:
			m.target, m.lastTook = &target, took
		case errors.Is(err, errInvalid):
			return nil, err // the server doesn't run the request any more
		case errors.Is(err, errNotRun):
			m.target, m.lastTook = nil, 0
		}
		if err := timing.Sleep(searchCtx, migrationPause); err != nil {
			return nil, err
		}
	}
}

// canContinue reports whether a server responds at once and is a decode server. One that has
// fallen silent would let the copy of a stopped run expire, and one that changes its stage would
// reject it.
func (m *migration) canContinue(ctx context.Context, target serverlist.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	reply, err := m.call(ctx, target, platform.ReportCall(target.ID))
	if err != nil || reply.Status == http.StatusMisdirectedRequest {
		return false
	}
	report, err := platform.DecodeReport(reply.Body)
	return reply.Status != http.StatusOK || err != nil || !report.IsSwitching && report.Stage != serverlist.Prefill
}

// isCopyNear reports whether the run is to be stopped after a transfer that took the given
// time.
func (m *migration) isCopyNear(took time.Duration) bool {
	return took <= maxStopTime || m.lastTook > 0 && float64(took) > (1-minGain)*float64(m.lastTook)
}

// transferToAny transfers the KV cache of the run, which goes on, to the server that has a
// copy already, or to the first one that has room. It returns that server and how long the
// transfer took.
func (m *migration) transferToAny(ctx context.Context, criteria balance.Criteria) (serverlist.Server, time.Duration, error) {
	if m.target != nil && m.takesNoWork(m.target.ID) {
		m.target, m.lastTook = nil, 0
	}
	var targets []serverlist.Server
	if m.target != nil {
		targets = []serverlist.Server{*m.target}
	} else {
		targets = m.rankServers(criteria)
	}
	err := errNoTarget
	for _, target := range targets {
		if m.target == nil && !m.acquirePermit(ctx, target) {
			continue
		}
		started := time.Now()
		if err = m.transferRunning(ctx, target); !errors.Is(err, errNotRun) {
			return target, time.Since(started), err
		}
		m.markFull(target.ID)
	}
	return serverlist.Server{}, 0, err
}

// transferRunning transfers the KV cache of the run, which goes on, to target.
func (m *migration) transferRunning(ctx context.Context, target serverlist.Server) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	handle, err := m.transfer(ctx, target, false)
	if err == nil {
		m.copied = kvHandle{server: m.server, id: handle.ID}
	}
	return err
}

// complete stops the run and transfers the part of its KV cache that is new.
func (m *migration) complete(ctx context.Context, target serverlist.Server) (*migratedRun, error) {
	m.mayHaveStopped.Store(true)
	handle, err := m.transfer(ctx, target, true)
	if errors.Is(err, upstream.ErrNotSent) || errors.Is(err, errTransferInProgress) || errors.Is(err, errInvalid) {
		m.mayHaveStopped.Store(false) // the run goes on, or had ended
	}
	if err == nil {
		return &migratedRun{server: target, source: m.server, handle: handle.ID, events: handle.Events}, nil
	}
	if handle.ID != "" {
		return &migratedRun{server: m.server, source: m.server, handle: handle.ID, events: handle.Events}, nil // the run has stopped and resumes at its own server
	}
	return nil, err
}

// transfer has the run's server send the run's KV cache to target. With isLast the
// run stops first. A handle returned together with an error is at the run's own
// server.
func (m *migration) transfer(ctx context.Context, target serverlist.Server, isLast bool) (platform.KVHandle, error) {
	call, err := platform.MigrateCall(m.server.ID, m.request.Metadata.ID, target.Address, isLast)
	if err != nil {
		return platform.KVHandle{}, err
	}
	reply, err := m.call(ctx, m.server, call)
	if err != nil {
		return platform.KVHandle{}, err
	}
	handle, err := platform.DecodeMigration(reply.Body)
	switch reply.Status {
	case http.StatusOK:
		return handle, err
	case http.StatusServiceUnavailable:
		return handle, fmt.Errorf("%w: transfer returned status %d", errNotRun, reply.Status)
	case http.StatusConflict:
		return handle, errTransferInProgress
	default:
		return handle, fmt.Errorf("%w: transfer returned status %d", errInvalid, reply.Status)
	}
}

// resumeRun continues a migrated run at a server that has its KV cache.
func (g *generation) resumeRun(ctx context.Context, migrated *migratedRun) error {
	g.counters.migrations.Inc()
	source := kvHandle{server: migrated.source, id: migrated.handle, holders: []serverlist.Server{migrated.server}}
	if migrated.server.ID != migrated.source.ID {
		source.holders = append(source.holders, migrated.source)
	}
	held := reservation{server: migrated.server, tokens: g.request.Metadata.PromptTokens}
	g.beginRequest(held.server.ID, held.tokens)
	defer g.endRequest(held.server.ID, held.tokens)
	return g.decode(ctx, held, source)
}

// isLeaving reports whether a server takes no new work and its runs must migrate, because
// it is draining or no longer listed.
func isLeaving(servers []serverlist.Server, id string) bool {
	for _, s := range servers {
		if s.ID == id {
			return s.IsDraining
		}
	}
	return true
}
