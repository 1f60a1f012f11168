package node

import (
	"context"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/hickoryfront/hickoryfront/core/config"
)

type (
	// HostEntries provides the configuration in force and a channel that closes when
	// it changes.
	HostEntries interface {
		Current() *config.Document
		Changed() <-chan struct{}
	}

	// DrainWatch shuts the daemon down when operators drain its host.
	DrainWatch struct {
		host     string
		entries  HostEntries
		shutdown fx.Shutdowner
		logger   log.Interface
	}
)

// NewDrainWatch returns a DrainWatch for the configuration entry of host.
func NewDrainWatch(host string, entries HostEntries, shutdown fx.Shutdowner, logger log.Interface) *DrainWatch {
	return &DrainWatch{host: host, entries: entries, shutdown: shutdown, logger: logger}
}

// Run watches the entry until the host is drained or ctx ends.
func (d *DrainWatch) Run(ctx context.Context) {
	for {
		changed := d.entries.Changed()
		if d.entries.Current().Hosts[d.host].Drain {
			d.logger.Info("host drained by its configuration entry; shutting down")
			_ = d.shutdown.Shutdown() // fails only if the daemon is shutting down already
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
