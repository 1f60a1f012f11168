package edgedispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

// restartLag is the time after the end of a connection in which the server list may still show
// the incarnation of the server before a restart: three times the maximum lag of the list, which
// the platform states as 3 s.
const restartLag = 9 * time.Second

// errRestarted means that a server has started again since it was registered. It may have another
// software version.
var errRestarted = errors.New("the server has started again since it was registered")

// needsProof reports whether the version of a server must be confirmed before a stream runs
// there: the stream has begun at that version, or the list of servers may not show that the server
// has started again.
func (g *generation) needsProof(now time.Time, server serverlist.Server) bool {
	if !g.request.Route.IsResumable {
		return false
	}
	if g.softwareVersion != "" || g.registry.IsStoreUnreachable() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	endedAt, ok := g.endedAt[server.ID]
	return ok && now.Sub(endedAt) < restartLag
}

// proveVersion asks a server that is about to run a stream whether it is still the incarnation that
// is registered, and so has the registered version. The error is errRestarted if it is not. A
// server that doesn't state its start proves nothing, and none is expected of it.
func (g *generation) proveVersion(ctx context.Context, server serverlist.Server) error {
	if !g.needsProof(time.Now(), server) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	reply, err := g.call(ctx, server, platform.ReportCall(server.ID))
	switch {
	case err != nil:
		return err
	case reply.Status == http.StatusMisdirectedRequest:
		g.handleMisdirected(server)
		return errRestarted
	case reply.Status != http.StatusOK:
		return nil
	}
	report, err := platform.DecodeReport(reply.Body)
	if err != nil || !server.HasRestarted(report.StartedAt) {
		return err
	}
	g.logger.WithFields(g.request.logFields()).WithFields(log.Fields{"server": server.ID, "registered": server.StartedAt, "started": report.StartedAt}).Info("backend server has started again")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restarted[server.ID] = server.StartedAt
	return errRestarted
}

// restartedServers returns the IDs of the servers that have started again since they were
// registered as listed. The caller holds mu.
func (d *Dispatcher) restartedServers(listed []serverlist.Server) []string {
	var ids []string
	for _, s := range listed {
		if startedAt, ok := d.restarted[s.ID]; ok && s.StartedAt.Equal(startedAt) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// startedAgain returns the IDs of the servers whose registered version proves nothing.
func (d *Dispatcher) startedAgain() []string {
	listed := d.registry.Servers().Servers
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restartedServers(listed)
}

// recordEnd records that a connection to a server ended early or was refused at now. The caller
// holds mu.
func (d *Dispatcher) recordEnd(now time.Time, server string) {
	for id, at := range d.endedAt {
		if now.Sub(at) >= restartLag {
			delete(d.endedAt, id)
		}
	}
	d.endedAt[server] = now
}

// retainRestarted drops what is known of servers that are no longer listed as they were. The
// caller holds mu.
func (d *Dispatcher) retainRestarted(listed []serverlist.Server) {
	current := make(map[string]time.Time)
	for _, id := range d.restartedServers(listed) {
		current[id] = d.restarted[id]
	}
	d.restarted = current
}

// reserveProven is reserveWithHeadroom at a server whose version is confirmed where that is
// needed.
func (g *generation) reserveProven(ctx context.Context, server serverlist.Server, tokens, headroom int) (string, error) {
	id, err := g.reserveWithHeadroom(ctx, server, tokens, headroom)
	if err != nil {
		return "", err
	}
	if err := g.proveVersion(ctx, server); err != nil {
		g.releaseReservation(reservation{server: server, id: id})
		if errors.Is(err, upstream.ErrMayHaveRun) || errors.Is(err, upstream.ErrNotSent) {
			return "", err
		}
		return "", errors.Join(errNotRun, err)
	}
	return id, nil
}
