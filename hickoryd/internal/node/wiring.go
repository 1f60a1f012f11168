package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/placement"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/backends"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/caller"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/configstore"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/dispatch"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/home"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/operator"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/orders"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peerserver"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/service"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/settings"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/telemetry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/transport"
)

// Options returns the wiring of a daemon. The time start, in nanoseconds, is the
// incarnation of this process.
func Options(s settings.Settings, logger log.Interface, start time.Time) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.Limits.ShutdownPeriod+closeTimeout),
		fx.Supply(s, s.TLS),
		fx.Provide(
			func() log.Interface { return logger },
			func() member.Host { return hostOf(s, start) },
			metrics.NewSet,
			transport.New, newListeners,
			newPlatform, newServerList, newPool, newDirectory, newSlots, newMembership, newClaims,
			newStore, newRegistration, newGate, newSync, newCanceller, newModels, newPlain, newRouter, newReservations, newAuditor, newPrefixes,
			home.NewCrashes, newPeers, newKeyed, newRecordings, peer.NewHomeClient,
			newCaller, newOperator, newPeerService, newDrainWatch, newOrders, newEngines, New,
			telemetry.New, newRequests, newSnapshotStore, newReporter, service.New,
		),
		fx.Invoke(setMembership, register),
	)
}

func register(lifecycle fx.Lifecycle, n *Node) {
	lifecycle.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
}

func newReservations(membership *peer.Membership, pool *peer.Pool, slots *home.Slots, set *metrics.Set) *home.Reservations {
	return home.NewReservations(time.Now(), membership, pool, slots, set)
}

func newPeers(membership *peer.Membership) home.Peers {
	return membership
}

func newPrefixes(slots *home.Slots, membership *peer.Membership, pool *peer.Pool, e engines, set *metrics.Set) *home.Prefixes {
	return home.NewPrefixes(slots, membership, pool, e, set)
}

func newAuditor(slots *home.Slots, e engines, reservations *home.Reservations, set *metrics.Set) *home.Auditor {
	return home.NewAuditor(slots, e, reservations, set)
}

func setMembership(slots *home.Slots, membership *peer.Membership) {
	slots.SetMembership(membership)
}

func routes(handler interface{ Routes(engine *gin.Engine) }) *gin.Engine {
	router := gin.New()
	router.Use(gin.Recovery())
	router.ContextWithFallback = true
	handler.Routes(router)
	return router
}

func hostOf(s settings.Settings, start time.Time) member.Host {
	return member.Host{
		Name: s.Host.Name, Incarnation: uint64(start.UnixNano()), FailureDomain: s.Host.FailureDomain,
		PeerAddress: s.Listen.AdvertisedPeer(), OperatorAddress: s.Listen.Operator,
	}
}

func newPlatform(s settings.Settings, set *metrics.Set) *consul.Client {
	return consul.New(s.Platform.KV, s.Platform.Timeout, set)
}

func newServerList(s settings.Settings, set *metrics.Set) *consul.ServerList {
	return consul.NewServerList(s.Platform.HostList, s.Platform.Timeout, set)
}

func newPool(s settings.Settings, security *transport.Security) *peer.Pool {
	return peer.NewPool(security.PeerClient(), s.Listen.Peer.Addr())
}

func newEngines() engines {
	return engines{engine.New()}
}

func newDirectory(s settings.Settings, list *consul.ServerList, logger log.Interface, set *metrics.Set) *backends.Directory {
	return backends.New(list, s.Host.FailureDomain, s.Platform.HostListPoll, logger, set)
}

func newSlots(directory *backends.Directory, e engines, canceller *dispatch.Canceller, logger log.Interface, set *metrics.Set) *home.Slots {
	return home.NewSlots(directory, e, canceller, logger, set)
}

func newMembership(s settings.Settings, self member.Host, pool *peer.Pool, slots *home.Slots, logger log.Interface, set *metrics.Set) *peer.Membership {
	return peer.NewMembership(self, peer.Options{
		Heartbeat: s.Peers.Heartbeat, Timeout: s.Peers.Timeout, Fanout: s.Peers.Fanout, Seeds: s.Peers.Seeds,
	}, pool, slots, logger, set)
}

func newClaims(s settings.Settings, self member.Host, kv *consul.Client, membership *peer.Membership, homes *peer.HomeClient, store *configstore.Store, logger log.Interface, set *metrics.Set) *home.Claims {
	return home.NewClaims(daemonOf(self), s.Limits.Claims, kv, membership, homes, horizonOf(store), logger, set)
}

func newKeyed(s settings.Settings, self member.Host, router *home.Router, recordings *dispatch.Recordings, set *metrics.Set) *dispatch.Keyed {
	return dispatch.NewKeyed(daemonOf(self), router, router, recordings, home.MaxTakeoverTime(s.Peers.Timeout), set)
}

func newRecordings(s settings.Settings) *dispatch.Recordings {
	return dispatch.NewRecordings(int(s.Limits.MaxResponseBytes))
}

func daemonOf(h member.Host) claim.Daemon {
	return claim.Daemon{Host: h.Name, Incarnation: h.Incarnation}
}

// horizonOf returns a function for the longest retry horizon of the profiles. The
// result never shrinks while the process runs, because a grant is valid for the
// horizon of the profile under which it was made, even if that profile has been
// deleted.
func horizonOf(store *configstore.Store) func() time.Duration {
	longest := defaultRetryHorizon
	return func() time.Duration {
		for _, p := range store.Current().Profiles {
			longest = max(longest, p.RetryHorizon)
		}
		return longest
	}
}

func newStore(kv *consul.Client, membership *peer.Membership, logger log.Interface, set *metrics.Set) *configstore.Store {
	return configstore.New(kv, membership, logger, set)
}

func newRegistration(s settings.Settings, kv *consul.Client, membership *peer.Membership, logger log.Interface) *Registration {
	return NewRegistration(kv, membership, s.Platform.LeaseTTL, logger)
}

func newGate(s settings.Settings, store *configstore.Store, membership *peer.Membership, directory *backends.Directory) *Gate {
	return NewGate(store, membership, directory, otherSeeds(s), s.Peers.Isolation)
}

func newSync(store *configstore.Store, membership *peer.Membership, pool *peer.Pool, gate *Gate) *ConfigSync {
	return NewConfigSync(store, membership, poolClients{pool}, gate)
}

func otherSeeds(s settings.Settings) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(s.Peers.Seeds), func(a netip.AddrPort) bool {
		return a == s.Listen.Peer || a == s.Listen.AdvertisedPeer()
	})
}

func newCanceller(e engines, directory *backends.Directory, set *metrics.Set) *dispatch.Canceller {
	return dispatch.NewCanceller(e, directory, set)
}

func newRouter(membership *peer.Membership, pool *peer.Pool, claims *home.Claims) *home.Router {
	return home.NewRouter(membership, pool, claims)
}

func newModels(s settings.Settings, e engines, reservations *home.Reservations, prefixes *home.Prefixes, directory *backends.Directory, crashes *home.Crashes, canceller *dispatch.Canceller, set *metrics.Set) *dispatch.Models {
	return dispatch.NewModels(s.Host.FailureDomain, placement.NewReserving(placement.Options{LinkRate: s.Limits.KVBytesPerSecond}, rand.Float64), e, reservations, prefixes, directory, crashes, canceller, set)
}

func newPlain(client *service.Client, directory *backends.Directory, keyed *dispatch.Keyed) *dispatch.Plain {
	return dispatch.NewPlain(client, directory, keyed)
}

func newCaller(s settings.Settings, models *dispatch.Models, plain *dispatch.Plain, keyed *dispatch.Keyed, client *service.Client, store *configstore.Store, gate *Gate, requests *telemetry.RequestCounter) *caller.Handler {
	return caller.New(models, plain, keyed, client, store, gate, requests, s.Limits.Requests)
}

func newOperator(s settings.Settings, store *configstore.Store, membership *peer.Membership, directory *backends.Directory, gate *Gate, requests *telemetry.RequestCounter, reports *telemetry.Reporter, set *metrics.Set) *operator.Handler {
	return operator.New(s.Auth.OperatorToken, store, membership, directory, gate, requests, reports, set)
}

func newPeerService(membership *peer.Membership, slots *home.Slots, reservations *home.Reservations, claims *home.Claims, crashes *home.Crashes, store *configstore.Store, recorder *telemetry.Recorder, recordings *dispatch.Recordings, prefixes *home.Prefixes) *peerserver.Server {
	return peerserver.New(peerserver.Dependencies{
		Membership: membership,
		Slots:      slots,
		Holdings:   reservations,
		Claims:     claims,
		Crashes:    crashes,
		Config:     store,
		Burn:       recorder,
		Recordings: recordings,
		Prefixes:   prefixes,
	})
}

func newDrainWatch(s settings.Settings, store *configstore.Store, shutdown fx.Shutdowner, logger log.Interface) *DrainWatch {
	return NewDrainWatch(s.Host.Name, store, shutdown, logger)
}

func newRequests(recorder *telemetry.Recorder) *telemetry.RequestCounter {
	return telemetry.NewRequestCounter(recorder)
}

func newSnapshotStore(recorder *telemetry.Recorder, self member.Host, kv *consul.Client, membership *peer.Membership, logger log.Interface, set *metrics.Set) *telemetry.SnapshotStore {
	return telemetry.NewSnapshotStore(recorder, self, kv, membership, logger, set)
}

func newReporter(recorder *telemetry.Recorder, self member.Host, membership *peer.Membership, pool *peer.Pool, kv *consul.Client) *telemetry.Reporter {
	return telemetry.NewReporter(recorder, self, membership, pool, kv)
}

func newOrders(self member.Host, kv *consul.Client, e engines, store *configstore.Store, membership *peer.Membership, directory *backends.Directory, logger log.Interface, set *metrics.Set) *orders.Manager {
	return orders.New(self, kv, e, store, membership, directory, logger, set)
}
