package edgedispatch

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/serverlimit"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/platform"
)

// observeAnswer takes up what the response to a request that was sent at sentAt states about
// the limit of its server. A response without a limit ends one only if the server has
// accepted the request.
func (d *Dispatcher) observeAnswer(server serverlist.Server, response *upstream.Response, sentAt time.Time) {
	metadata := response.Metadata
	isAccepted := !metadata.IsNotRun && (metadata.HasStamp || response.StatusCode == http.StatusOK)
	if !metadata.HasLimit && isAccepted {
		d.updateLimit(server, serverlimit.Statement{Server: server.ID, ServerStarted: server.StartedAt, At: sentAt})
	}
}

// observeLimit takes up the limit that a server's response states, if any.
func (d *Dispatcher) observeLimit(server serverlist.Server, response platform.Response) {
	if response.HasLimit {
		d.updateLimit(server, serverlimit.Statement{
			Server: server.ID, ServerStarted: server.StartedAt, IsLimited: true, Rate: response.Limit, At: time.Now(),
		})
	}
}

// updateLimit records what a server has stated about its limit.
func (d *Dispatcher) updateLimit(server serverlist.Server, statement serverlimit.Statement) {
	d.mu.Lock()
	change := d.limits.Update(statement)
	d.mu.Unlock()
	entry := d.logger.WithFields(log.Fields{"server": server.ID, "service": server.Service})
	switch change {
	case serverlimit.Began, serverlimit.RateChanged:
		entry.WithField("limit", statement.Rate).Info("backend server states a limit")
	case serverlimit.Ended:
		entry.Info("backend server states no limit any more")
	case serverlimit.Unchanged:
	}
}

// countLimited counts a request that is sent to a server with a limit.
func (d *Dispatcher) countLimited(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, isLimited := d.limits.Limit(server); isLimited {
		d.counters.limitedRequests.Inc()
	}
}
