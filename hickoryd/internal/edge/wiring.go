package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/hickoryfront/hickoryfront/core/retrybudget"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgecaller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgehost"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgeorder"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/idletimeout"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/originstore"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/quarantine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/room"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/tcp"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/workspacequota"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// memoryShare is the part of the memory that the process may use (the setting
	// memoryMB) that is the Go runtime's memory limit. The rest holds the sockets'
	// buffers and the program.
	memoryShare = 0.6
	// bodyShare is the part of that memory that request bodies may take.
	bodyShare = 0.2
	// gcPercent is the growth of the heap between two garbage collections. It is low
	// because memory is scarcer than processor time on these hosts.
	gcPercent = 50
	// storeConnections is the number of idle connections to the store that are kept:
	// one for the watch, the others for reads and writes.
	storeConnections = 4
	// maxStoreHeadBytes bounds the head of a response of the store.
	maxStoreHeadBytes = 64 << 10
	// stopMargin is the time that Stop may take beyond the grace period.
	stopMargin = 5 * time.Second
)

// lifetime is the context of the daemon's background loops and of the dispatcher's
// background work. end cancels the context.
type lifetime struct {
	context.Context
	end context.CancelFunc
}

// Options returns the fx options that build and run a daemon.
func Options(s Settings, logger log.Interface) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.Grace+stopMargin),
		fx.Supply(s),
		fx.Provide(
			func() log.Interface { return logger },
			metrics.NewSet,
			newMemory, newLifetime, newPool, newStore, newPeers, newRegistry, newQuarantine, newRecords, newRooms, newDispatcher, newQuotas, newHandler, newEdgeServer, newController, New,
		),
		fx.Invoke(limitMemory, register),
	)
}

func register(lifecycle fx.Lifecycle, d *Daemon) {
	lifecycle.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
}

func limitMemory(s Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
}

func newLifetime() *lifetime {
	ctx, end := context.WithCancel(context.Background())
	return &lifetime{ctx, end}
}

func newPool(s Settings, m *memory, set *metrics.Set) *upstream.Pool {
	pool := upstream.NewPool(s.Caller.Addr(), set)
	pool.CountMemory(m.servers)
	return pool
}

func newStore(s Settings) *platform.Store {
	transport := http1.NewTransport(&http.Transport{
		DialContext:         tcp.NewDialer(s.Peer.Addr(), s.StoreTimeout).DialContext,
		MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		ReadBufferSize: 2 << 10, WriteBufferSize: 1 << 10, MaxResponseHeaderBytes: maxStoreHeadBytes,
	})
	return platform.NewStore(&http.Client{Transport: idletimeout.NewTransport(transport, s.StoreTimeout)}, s.Store)
}

func newPeers(s Settings, logger log.Interface) *edgehost.Client {
	return edgehost.NewClient(s.Peer, s.Seeds, logger)
}

func newRegistry(s Settings, store *platform.Store, peers *edgehost.Client, logger log.Interface, set *metrics.Set) *registry.Registry {
	return registry.New(registry.Options{
		Self: platform.Host{Name: s.Name, Peer: s.Peer, FailureDomain: s.FailureDomain},
		Poll: s.StorePoll(), Timeout: s.StoreTimeout, IsFirstStart: s.IsFirstStart,
	}, store, peers, logger, set)
}

func newQuarantine(l *lifetime, store *platform.Store, peers *edgehost.Client, r *registry.Registry, logger log.Interface, set *metrics.Set) *quarantine.Quarantine {
	return quarantine.New(l, store, peers, r, logger, set)
}

func newRecords(s Settings, store *platform.Store, r *registry.Registry, logger log.Interface, set *metrics.Set) *originstore.Records {
	return originstore.New(originstore.Options{
		Self: s.Peer, Writer: fmt.Sprintf("%s-%x", s.Name, rand.Uint64()), IsFirstStart: s.IsFirstStart,
	}, store, r, logger, set)
}

func newDispatcher(l *lifetime, s Settings, r *registry.Registry, pool *upstream.Pool, peers *edgehost.Client, q *quarantine.Quarantine, records *originstore.Records, rooms *room.Rooms, logger log.Interface, set *metrics.Set) *edgedispatch.Dispatcher {
	options := edgedispatch.Options{
		FailureDomain: s.FailureDomain, Self: s.Peer, Budget: retrybudget.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack},
	}
	if s.RoomServices == roomPlain || s.RoomServices == roomAll {
		options.Rooms = rooms
	}
	if s.RoomServices == roomPrefill || s.RoomServices == roomAll {
		options.PrefillRooms = rooms
	}
	return edgedispatch.New(l, options, r, pool, peers, q, records, logger, set)
}

// newRooms returns nil if no service uses them.
func newRooms(l *lifetime, s Settings, r *registry.Registry, peers *edgehost.Client, logger log.Interface, set *metrics.Set) *room.Rooms {
	if s.RoomServices == roomNone {
		return nil
	}
	return room.New(l, room.Options{Self: s.Peer, MinHosts: s.RoomMinHosts, Homes: s.RoomHomes}, r, peers, logger, set)
}

func newHandler(m *memory, r *registry.Registry, d *edgedispatch.Dispatcher, quotas *workspacequota.Quotas, logger log.Interface, set *metrics.Set) *edgecaller.Handler {
	h := edgecaller.New(r, r, quotas, d, m.bodies, logger, set)
	h.CountResponses(m.responses)
	return h
}

func newQuotas(l *lifetime, s Settings, r *registry.Registry, peers *edgehost.Client, logger log.Interface, set *metrics.Set) *workspacequota.Quotas {
	return workspacequota.New(l, time.Now(), workspacequota.Options{Self: s.Peer, Bounds: s.Quota, IsFirstStart: s.IsFirstStart}, r, peers, logger, set)
}

func newEdgeServer(r *registry.Registry, d *edgedispatch.Dispatcher, q *quarantine.Quarantine, quotas *workspacequota.Quotas, rooms *room.Rooms) *edgehost.Server {
	receivers := edgehost.Receivers{Source: r, Reports: d, Origins: d, Quarantine: q, Limits: d, Quotas: quotas, Relays: d, Routes: r}
	if rooms != nil {
		receivers.Rooms = rooms
	}
	return edgehost.NewServer(receivers)
}

func newController(s Settings, r *registry.Registry, store *platform.Store, pool *upstream.Pool, logger log.Interface, set *metrics.Set) *edgeorder.Controller {
	return edgeorder.New(s.Name, s.Peer, s.PrefillShare, r, store, pool, logger, set)
}
