package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/balance"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/originstore"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

const (
	// maxOrigins is the maximum number of streams whose origin a host holds.
	maxOrigins = 20000
	// originLifetime is how long a host holds the origin of a stream after its last use.
	originLifetime = time.Minute
	// versionRetention is how long the software versions of removed servers are
	// remembered, and how long origins are reported after a service had several versions.
	versionRetention = 10 * time.Minute
	// observePeriod is the time between two observations of an unchanged server list.
	observePeriod = time.Second
	// originHomes is the number of hosts that the origin of a stream is reported to, and
	// originLookups the number of hosts that are queried for it. More are queried, because
	// the hosts may know different lists of hosts.
	originHomes   = 2
	originLookups = 16
	// Few hosts hold origins, so that a host needs few connections to report them: one of
	// originHolderShare, but at least minOriginHolders.
	minOriginHolders  = 8
	originHolderShare = 8
	// originHolderKey is the key by which the hosts that hold origins are chosen.
	originHolderKey = "origins"
	// originReportPeriod is the time between two reports of origins while a service has one
	// software version. The origins of streams that have begun since the last report are
	// unknown if their host falls silent.
	originReportPeriod = 500 * time.Millisecond
	// probePeriod is the time between two checks whether the servers of a stream's version
	// have ended.
	probePeriod = 500 * time.Millisecond
	// unknownRetryAfter is the Retry-After of a request that resumes a stream of unknown
	// origin: the retry reaches another host.
	unknownRetryAfter = 300 * time.Millisecond
)

// errUnknownOrigin refuses a request that resumes a stream whose software version no host
// knows, while servers of several versions serve.
var errUnknownOrigin = &Failure{Status: http.StatusServiceUnavailable, RetryAfter: unknownRetryAfter, Reason: "software version that began the stream is unknown"}

// origins holds the software versions that began streams, and those that services have
// had. It is safe for concurrent use.
type origins struct {
	mu      sync.Mutex
	table   *streamorigin.Table
	history *streamorigin.History
	// observed is the version of the server list that was observed last, at observedAt.
	observed   uint64
	observedAt time.Time
	// mixed are the services with several software versions at the last observation.
	mixed map[string]bool
	// own are the streams that began at this host, with the time until which they are held, and
	// pending those of their origins that are to be reported.
	own     map[string]time.Time
	pending []streamorigin.Origin
	// hosts is the list of hosts, from which homes was built, and holders those of them that
	// hold origins. recentHosts are those of earlier lists with the time until which they
	// count, from which recentHomes was built.
	hosts       []netip.AddrPort
	holders     *rendezvous.HostSet
	homes       *rendezvous.HostSet
	recentHosts map[netip.AddrPort]time.Time
	recentHomes *rendezvous.HostSet
}

func newOrigins() *origins {
	return &origins{
		table: streamorigin.NewTable(maxOrigins, originLifetime), history: streamorigin.NewHistory(versionRetention),
		mixed: make(map[string]bool), own: make(map[string]time.Time), holders: rendezvous.New(nil), homes: rendezvous.New(nil), recentHosts: make(map[netip.AddrPort]time.Time), recentHomes: rendezvous.New(nil),
	}
}

// observe adds the server list to the history and keeps the list of hosts. It returns the
// origins that have to be reported, because their services have several software versions
// for the first time.
//
// isUnconfirmed is set if the store does not respond to this host. An unchanged list then
// shows nothing; a changed one comes from other hosts.
func (o *origins) observe(now time.Time, snapshot *registry.Snapshot, hosts []netip.AddrPort, isUnconfirmed bool) []streamorigin.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	if snapshot.Version == o.observed && (isUnconfirmed || now.Sub(o.observedAt) < observePeriod) {
		return nil
	}
	o.observed, o.observedAt = snapshot.Version, now
	o.history.Observe(now, snapshot.Servers)
	o.updateHosts(now, hosts)
	var toReport []streamorigin.Origin
	mixed := make(map[string]bool)
	for _, service := range servicesOf(snapshot.Servers) {
		if !o.history.IsMixed(now, service, versionRetention) {
			continue
		}
		mixed[service] = true
		if !o.mixed[service] {
			toReport = append(toReport, o.ownOrigins(now, service)...)
		}
	}
	o.mixed = mixed
	return toReport
}

// ownOrigins returns the origins of the streams of a service that began at this host. The
// caller holds mu.
func (o *origins) ownOrigins(now time.Time, service string) []streamorigin.Origin {
	maps.DeleteFunc(o.own, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.DeleteFunc(o.table.Origins(now, service), func(origin streamorigin.Origin) bool {
		_, isOwn := o.own[origin.RequestID]
		return !isOwn
	})
}

// record adds the origin of a stream of another host.
func (o *origins) record(now time.Time, origin streamorigin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(now, origin)
}

// begin adds the origin of a stream that begins at this host, which is to be reported. It
// returns the time after which takePending must be called, or false if that is set already.
func (o *origins) begin(now time.Time, origin streamorigin.Origin) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(now, origin)
	if len(o.own) >= maxOrigins {
		clear(o.own) // they have been reported
	}
	o.own[origin.RequestID] = now.Add(originLifetime)
	o.pending = append(o.pending, origin)
	switch {
	case o.mixed[origin.Service]:
		return 0, true
	case len(o.pending) == 1:
		return originReportPeriod, true
	default:
		return 0, false
	}
}

// takePending returns the origins that are to be reported.
func (o *origins) takePending() []streamorigin.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.pending
	o.pending = nil
	return pending
}

// find returns what this host knows of the origin of a stream.
func (o *origins) find(now time.Time, requestID, service string, window time.Duration) streamorigin.Finding {
	o.mu.Lock()
	defer o.mu.Unlock()
	var f streamorigin.Finding
	if origin, ok := o.table.Lookup(now, requestID); ok && origin.Service == service {
		f.IsFound, f.SoftwareVersion = true, origin.SoftwareVersion
	}
	f.SoleVersion, f.IsSole = o.history.Sole(now, service, window)
	f.IsMixed = o.history.IsMixed(now, service, window)
	return f
}

// mayReturn reports whether servers of a service and a version may register again at now.
func (o *origins) mayReturn(now time.Time, service, softwareVersion string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.MayReturn(now, service, softwareVersion)
}

// homesOf returns up to n hosts of highest weight for a key, without self. hosts is the
// current list. Hosts that it no longer has are included if there are fewer than n, as a
// host's registration may lapse while the host goes on.
func (o *origins) homesOf(now time.Time, key string, n int, hosts []netip.AddrPort, self netip.AddrPort) []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateHosts(now, hosts)
	return chooseHomes(key, n, self, o.homes, o.recentHomes)
}

// holdersOf is homesOf for the origin of a stream: the hosts that hold origins come first.
func (o *origins) holdersOf(now time.Time, requestID string, n int, hosts []netip.AddrPort, self netip.AddrPort) []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateHosts(now, hosts)
	return chooseHomes(requestID, n, self, o.holders, o.homes, o.recentHomes)
}

// chooseHomes returns up to n hosts of highest weight for a key, without self, those of the
// first sets first.
func chooseHomes(key string, n int, self netip.AddrPort, sets ...*rendezvous.HostSet) []netip.AddrPort {
	homes := make([]netip.AddrPort, 0, n)
	for _, set := range sets {
		for _, name := range set.Homes(key, n+1) {
			address := netip.MustParseAddrPort(name)
			if address != self && len(homes) < n && !slices.Contains(homes, address) {
				homes = append(homes, address)
			}
		}
	}
	return homes
}

// updateHosts builds the sets of hosts again if the list has changed. The caller holds mu.
func (o *origins) updateHosts(now time.Time, hosts []netip.AddrPort) {
	if slices.Equal(hosts, o.hosts) {
		return
	}
	for _, host := range o.hosts {
		o.recentHosts[host] = now.Add(originLifetime)
	}
	maps.DeleteFunc(o.recentHosts, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	o.hosts = hosts
	o.homes, o.recentHomes = newHostSet(slices.Values(hosts)), newHostSet(maps.Keys(o.recentHosts))
	o.holders = rendezvous.New(o.homes.Homes(originHolderKey, max(minOriginHolders, len(hosts)/originHolderShare)))
}

func newHostSet(hosts iter.Seq[netip.AddrPort]) *rendezvous.HostSet {
	var names []string
	for host := range hosts {
		names = append(names, host.String())
	}
	return rendezvous.New(names)
}

// ReportOrigins records other hosts' reports of the origins of streams.
func (d *Dispatcher) ReportOrigins(now time.Time, reported []streamorigin.Origin) {
	for _, origin := range reported {
		d.origins.record(now, origin)
	}
}

// FindOrigin returns what this host knows of the origin of the stream that began in a
// caller's attempt, and of the software versions of its service during the window before
// now.
func (d *Dispatcher) FindOrigin(now time.Time, requestID, service string, window time.Duration) streamorigin.Finding {
	d.servers() // observes the list
	return d.origins.find(now, requestID, service, window)
}

// recordOrigin records the software version that begins a stream, and reports it to other
// hosts: at once if the service has several versions, and otherwise together with others, as a
// host that falls silent before a further version serves can't report it any more.
func (d *Dispatcher) recordOrigin(origin streamorigin.Origin) {
	now := time.Now()
	d.originStore.Record(now, origin)
	switch delay, ok := d.origins.begin(now, origin); {
	case ok && delay == 0:
		d.runReportPending()
	case ok:
		time.AfterFunc(delay, d.runReportPending)
	}
}

// runReportPending reports the origins that were not reported yet.
func (d *Dispatcher) runReportPending() {
	d.reportOrigins(d.origins.takePending())
}

// runReportOrigins reports the origins of the streams of a service that has become mixed.
func (d *Dispatcher) runReportOrigins(toReport []streamorigin.Origin) {
	d.reportOrigins(toReport)
}

// reportOrigins reports origins to the hosts that hold them.
func (d *Dispatcher) reportOrigins(toReport []streamorigin.Origin) {
	now, hosts := time.Now(), d.registry.Hosts()
	byHost := make(map[netip.AddrPort][]streamorigin.Origin)
	for _, origin := range toReport {
		for _, home := range d.origins.holdersOf(now, origin.RequestID, originHomes, hosts, d.options.Self) {
			byHost[home] = append(byHost[home], origin)
		}
	}
	for home, batch := range byHost {
		d.peers.ReportOrigins(d.background, home, batch)
	}
}

// resolveOrigin returns the software version at which the stream that the request resumes
// may go on. The error is errUnknownOrigin if that is not known.
func (d *Dispatcher) resolveOrigin(ctx context.Context, r *Request) (string, error) {
	now, window := time.Now(), r.Route.Timeout+originstore.ListLag
	finding := d.FindOrigin(now, r.Metadata.ResumesID, r.Route.Service, window)
	hosts := d.origins.holdersOf(now, r.Metadata.ResumesID, originLookups, d.registry.Hosts(), d.options.Self)
	hasOthers := false
	if !finding.IsFound {
		found, err := d.peers.FindOrigin(ctx, hosts, r.Metadata.ResumesID, r.Route.Service, window)
		hasOthers = err == nil
		finding = finding.Merge(found)
	}
	var stored *streamorigin.Stored
	if !finding.IsFound {
		stored = d.originStore.Find(ctx, r.Route.Service, r.Metadata.ResumesID)
	}
	version, ok := finding.Resolve(stored, hasOthers)
	d.logger.WithFields(r.logFields()).WithFields(log.Fields{
		"resumes": r.Metadata.ResumesID, "softwareVersion": version, "known": ok, "found": finding.IsFound, "mixed": finding.IsMixed, "otherHosts": hasOthers, "store": describeStored(stored),
	}).Info("stream resumed by its caller")
	if !ok {
		return "", errUnknownOrigin
	}
	return version, nil
}

// describeStored returns what the store knows of the origin of a stream, for the log.
func describeStored(s *streamorigin.Stored) string {
	switch {
	case s == nil:
		return "not read"
	case s.IsFound:
		return "has the origin"
	case s.Record == nil:
		return "no record"
	default:
		return fmt.Sprintf("record of %v, complete %t", s.Record.Versions, s.Record.IsComplete)
	}
}

// beginStream records the software version of the stream, whose response starts with the
// events of server. All further events have to come from servers of this version.
func (g *generation) beginStream(server serverlist.Server) {
	g.softwareVersion = server.SoftwareVersion
	if !g.request.Route.IsResumable {
		return
	}
	id := g.request.Metadata.ID
	if g.request.Metadata.ResumesID != "" {
		id = g.request.Metadata.ResumesID
	}
	g.recordOrigin(streamorigin.Origin{RequestID: id, Service: g.request.Route.Service, SoftwareVersion: g.softwareVersion})
}

// allowsVersion reports whether the stream may go on at the server of a placement, which
// may have been made before the response started.
func (g *generation) allowsVersion(p placement) bool {
	return g.softwareVersion == "" || p.held.server.SoftwareVersion == g.softwareVersion
}

// checkVersion returns a *Failure if the stream has a software version of which no server
// is left that the request was not sent to, and none is likely to register again.
func (g *generation) checkVersion(ctx context.Context, servers []serverlist.Server) error {
	criteria := g.decodeCriteria()
	if g.softwareVersion == "" || slices.ContainsFunc(servers, criteria.Matches) {
		return nil
	}
	criteria.Excluded = nil
	if g.origins.mayReturn(time.Now(), g.request.Route.Service, g.softwareVersion) || g.haveEnded(ctx, servers, criteria) {
		g.phase = phaseVersion
		return nil
	}
	return &Failure{Status: http.StatusServiceUnavailable, Reason: fmt.Sprintf("no decode server of software version %q is left", g.softwareVersion)}
}

// haveEnded reports whether no process listens at the address of a server that is still
// registered and not draining, so that the server is likely to start again.
func (g *generation) haveEnded(ctx context.Context, servers []serverlist.Server, criteria balance.Criteria) bool {
	if now := time.Now(); now.Sub(g.probedAt) >= probePeriod {
		g.probedAt = now
		g.hasEndedServer = slices.ContainsFunc(servers, func(s serverlist.Server) bool {
			return criteria.Matches(s) && errors.Is(g.pool.Probe(ctx, s.Address), upstream.ErrRefused)
		})
	}
	return g.hasEndedServer
}

func servicesOf(servers []serverlist.Server) []string {
	var services []string
	for _, s := range servers {
		if !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	return services
}
