package node

import (
	"context"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickoryfront/hickoryfront/core/config"
)

const drainWatchInterval = 500 * time.Millisecond

type (
	// HostEntries is the configuration in force.
	HostEntries interface {
		Current() *config.Document
	}

	// DrainWatch stops the daemon when the operators drain its host.
	DrainWatch struct {
		host     string
		entries  HostEntries
		shutdown fx.Shutdowner
		logger   log.Interface
	}
)

// NewDrainWatch returns a watch on the host's configuration entry.
func NewDrainWatch(host string, entries HostEntries, shutdown fx.Shutdowner, logger log.Interface) *DrainWatch {
	return &DrainWatch{host: host, entries: entries, shutdown: shutdown, logger: logger}
}

// Run watches until the host is drained or ctx ends.
func (d *DrainWatch) Run(ctx context.Context) {
	ticker := time.NewTicker(drainWatchInterval)
	defer ticker.Stop()
	for !d.entries.Current().Hosts[d.host].Drain {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	d.logger.Info("drained by configuration")
	_ = d.shutdown.Shutdown() // only fails when the daemon stops already
}
