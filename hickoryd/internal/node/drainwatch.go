package node

import (
	"context"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickoryfront/hickoryfront/core/config"
)

type (
	// HostEntries is the configuration in force.
	HostEntries interface {
		Current() *config.Document
		Changed() <-chan struct{}
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
	for {
		changed := d.entries.Changed()
		if d.entries.Current().Hosts[d.host].Drain {
			d.logger.Info("drained by configuration")
			_ = d.shutdown.Shutdown() // only fails when the daemon stops already
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
