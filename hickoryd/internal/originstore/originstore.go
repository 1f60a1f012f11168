// Package originstore keeps in the platform's store what hosts need to let streams go on
// after all hosts have failed at the same time: which software versions of a service may have
// begun streams, and, while there are several, which of them began each stream.
package originstore

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// tick is the time between two checks of the records.
	tick = 200 * time.Millisecond
	// observePeriod is the time between two observations of an unchanged server list.
	observePeriod = time.Second
	// historyRetention is how long versions of removed servers are remembered.
	historyRetention = 10 * time.Minute
	// ListLag is the longest time by which the server list of a host is out of date, as the
	// platform states it.
	ListLag = 3 * time.Second
	// writers is the number of hosts that write a change of a record at once. The others wait
	// for writerDelay to twice that, and read the record before they write it.
	writers     = 3
	writerDelay = 300 * time.Millisecond
	// firstReadDelay is the time after which a host that is no writer reads a record for the
	// first time when the fleet starts for the first time.
	firstReadDelay = 1500 * time.Millisecond
	// retryDelay is the time after a call that failed until the next one.
	retryDelay = 500 * time.Millisecond
	// maxAvoidance is the longest time for which servers of a version get no streams because
	// the version is not recorded. Without a limit, a store that accepts no writes would
	// take the servers out of use.
	maxAvoidance = 2 * time.Second
	// flushPeriod is the least time between two writes of origins. The origins of streams
	// that began later are lost if all hosts fail.
	flushPeriod = 500 * time.Millisecond
	// originLifetime is how long a stream's origin is held. It is longer than a stream.
	originLifetime = time.Minute
	// leaseTTL is how long origins stay in the store after their host has failed. Keys are
	// bound to a lease until it is maxLeaseAge old.
	leaseTTL    = 3 * time.Minute
	maxLeaseAge = time.Minute
	// callTimeout limits a call of the store in the background, and findTimeout the search
	// for which a caller waits.
	callTimeout = 2 * time.Second
	findTimeout = 400 * time.Millisecond
)

type (
	// Registry is the host's copy of the store's contents.
	Registry interface {
		Servers() *registry.Snapshot
		Hosts() []netip.AddrPort
		// Table returns the routes, or nil if no configuration was loaded yet.
		Table() *route.Table
		IsStoreUnreachable() bool
		// Era returns the era of the store, and when this host noticed that the store had
		// been replaced by a copy of itself, or the zero time.
		Era() (uint64, time.Time)
		// List reads all keys with a prefix.
		List(ctx context.Context, prefix string) ([]platform.Item, serverlist.Position, error)
	}

	// Store is the part of the platform's store that Records uses.
	Store interface {
		Get(ctx context.Context, key string) (platform.Page, error)
		NewLease(ctx context.Context, lifetime time.Duration) (uint64, time.Duration, error)
		Commit(ctx context.Context, t platform.Transaction) (serverlist.Position, error)
	}

	// Options configure Records.
	Options struct {
		// Self is this host's peer address, and Writer names this start of the host.
		Self   netip.AddrPort
		Writer string
		// IsFirstStart is set if no host has run before.
		IsFirstStart bool
	}

	// Records keeps the records of all services with resumable streams. It is safe for
	// concurrent use.
	Records struct {
		options  Options
		registry Registry
		store    Store
		logger   log.Interface
		calls    *metrics.Counter
		failures *metrics.Counter

		mu      sync.Mutex
		history *streamorigin.History
		// observed is the version of the server list that was observed last, at observedAt.
		observed   uint64
		observedAt time.Time
		// era is the era of the store in which records were read.
		era      uint64
		services map[string]*service
		lease    uint64
		leasedAt time.Time
	}

	// service is what this host knows of the versions of one service.
	service struct {
		tracker *streamorigin.RecordTracker
		isRead  bool
		// revision is that of the record, or 0 if there is none.
		revision uint64
		record   streamorigin.Record
		// dueAt is when this host writes a change of the record, or zero without one.
		dueAt time.Time
		// avoidedSince is since when a listed version has not been recorded, or zero.
		avoidedSince time.Time
		// origins holds the streams of this host by bucket and ID, with the time of their
		// last use.
		origins map[int]map[string]held
		// changed are the buckets to write.
		changed map[int]bool
		// flushAt is the earliest time of the next write of origins.
		flushAt time.Time
	}

	held struct {
		version string
		at      time.Time
	}

	// readRecord is a record as the store has it, or nil, with its revision.
	readRecord struct {
		record   *streamorigin.Record
		revision uint64
		era      uint64
	}
)

// New returns records that nothing was read of yet.
func New(options Options, store Store, r Registry, logger log.Interface, set *metrics.Set) *Records {
	return &Records{
		options: options, store: store, registry: r, logger: logger, history: streamorigin.NewHistory(historyRetention), services: make(map[string]*service),
		calls:    set.NewCounter(`hickoryfront_edge_origin_store_calls_total`),
		failures: set.NewCounter(`hickoryfront_edge_origin_store_failures_total`),
	}
}

// Run keeps the records up to date until ctx ends.
func (r *Records) Run(ctx context.Context) {
	for timing.Sleep(ctx, tick) == nil {
		if r.registry.IsStoreUnreachable() {
			continue
		}
		now := time.Now()
		servers := r.observe(now)
		for name := range resumableServices(r.registry.Table()) {
			r.syncRecord(ctx, now, name, versionsOf(servers, name))
			r.flush(ctx, now, name)
		}
	}
}

// Record records the origin of a stream that begins or goes on at this host.
func (r *Records) Record(now time.Time, origin streamorigin.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(origin.Service)
	bucket := platform.OriginBucket(origin.RequestID)
	if s.origins[bucket] == nil {
		s.origins[bucket] = make(map[string]held)
	}
	s.origins[bucket][origin.RequestID] = held{origin.SoftwareVersion, now}
	s.changed[bucket] = true
}

// AvoidedVersions returns the software versions of a service at which no stream may begin at
// now, because the store has not recorded them.
func (r *Records) AvoidedVersions(now time.Time, name string) []string {
	if r.registry.IsStoreUnreachable() {
		return nil // this host can't know what is recorded
	}
	listed := versionsOf(r.registry.Servers().Servers, name)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	avoided := slices.DeleteFunc(listed, s.tracker.IsRecorded)
	switch {
	case len(avoided) == 0:
		s.avoidedSince = time.Time{}
	case s.avoidedSince.IsZero():
		s.avoidedSince = now
	case now.Sub(s.avoidedSince) > maxAvoidance:
		return nil
	}
	return avoided
}

// Find returns what the store knows about the version at which a stream may go on, or nil if
// the store can't be read. It reads the store anew, since other hosts may have begun streams
// at versions that this host has not heard of yet.
func (r *Records) Find(ctx context.Context, name, requestID string) *streamorigin.Stored {
	if r.registry.IsStoreUnreachable() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	read, err := r.read(ctx, name)
	if err != nil {
		return nil
	}
	stored := &streamorigin.Stored{Record: read.record, Era: read.era}
	if stored.IsSole() {
		return stored
	}
	r.calls.Inc()
	items, _, err := r.registry.List(ctx, platform.OriginsBucketPrefix(name, platform.OriginBucket(requestID)))
	if err != nil {
		r.failures.Inc()
		r.logger.WithError(err).Debug("can't read the origins of streams from the store")
		return stored
	}
	for _, item := range items {
		origins, err := platform.DecodeOrigins(item)
		if err != nil {
			r.logger.WithError(err).Warn("can't decode the origins of streams; ignoring them")
			continue
		}
		for _, origin := range origins {
			if origin.RequestID == requestID && origin.Service == name {
				stored.IsFound, stored.SoftwareVersion = true, origin.SoftwareVersion
				return stored
			}
		}
	}
	return stored
}

// Describe adds the records to s.
func (r *Records) Describe(s *hoststate.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if service := r.services[name]; service.isRead {
			s.Versions = append(s.Versions, hoststate.ServiceVersions{Service: name, Recorded: service.record.Versions, IsComplete: service.record.IsComplete})
		}
	}
}

// observe adds the server list to the history, and returns it. It forgets what was read in an
// earlier era of the store.
func (r *Records) observe(now time.Time) []serverlist.Server {
	snapshot := r.registry.Servers()
	era, _ := r.registry.Era()
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot.Version != r.observed || now.Sub(r.observedAt) >= observePeriod {
		r.observed, r.observedAt = snapshot.Version, now
		r.history.Observe(now, snapshot.Servers)
	}
	if era != r.era {
		r.era, r.lease = era, 0
		for _, s := range r.services {
			s.tracker, s.isRead, s.revision, s.dueAt = streamorigin.NewRecordTracker(), false, 0, time.Time{}
			for bucket := range s.origins {
				s.changed[bucket] = true
			}
		}
	}
	return snapshot.Servers
}

// service returns a service. The caller holds mu.
func (r *Records) service(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{tracker: streamorigin.NewRecordTracker(), origins: make(map[int]map[string]held), changed: make(map[int]bool)}
		r.services[name] = s
	}
	return s
}

// syncRecord reads the record of a service if that has not been done, and writes the changes
// that are due.
func (r *Records) syncRecord(ctx context.Context, now time.Time, name string, listed []string) {
	if len(listed) == 0 {
		return
	}
	r.mu.Lock()
	s := r.service(name)
	if !s.isRead && s.dueAt.IsZero() && r.options.IsFirstStart && !r.isWriter(name) {
		s.dueAt = now.Add(firstReadDelay) // by then the record has been written
	}
	isRead, dueAt := s.isRead, s.dueAt
	next, isChange := r.next(now, name, listed)
	isWriter := r.isWriter(name)
	if isRead && isChange && dueAt.IsZero() && !isWriter {
		dueAt = now.Add(writerDelay + rand.N(writerDelay))
		s.dueAt = dueAt
	}
	if !isChange {
		s.dueAt = time.Time{}
	}
	revision := s.revision
	r.mu.Unlock()
	if now.Before(dueAt) || isRead && !isChange {
		return
	}
	if !isRead || !isWriter {
		if !r.reload(ctx, now, name) {
			return
		}
		r.mu.Lock()
		next, isChange = r.next(now, name, listed)
		revision = s.revision
		r.mu.Unlock()
		if !isChange || !isRead && !isWriter {
			return
		}
	}
	r.write(ctx, now, name, next, revision)
}

// next returns the record that the store should have. The caller holds mu.
func (r *Records) next(now time.Time, name string, listed []string) (streamorigin.Record, bool) {
	s := r.service(name)
	if !s.isRead {
		return streamorigin.Record{}, true
	}
	era, began := r.registry.Era()
	window := longestTimeout(r.registry.Table(), name) + ListLag
	recent, covers := r.history.Recent(now, name, window)
	return s.tracker.Next(now, streamorigin.Observation{
		Listed: listed, Recent: recent, CoversWindow: covers && now.Sub(began) >= window, Era: era, IsFirstStart: r.options.IsFirstStart,
	})
}

// isWriter reports whether this host writes a change of a service's record at once.
func (r *Records) isWriter(name string) bool {
	var hosts []string
	for _, host := range r.registry.Hosts() {
		hosts = append(hosts, host.String())
	}
	return slices.Contains(rendezvous.New(hosts).Homes(name, writers), r.options.Self.String())
}

// reload reads the record of a service. It reports whether that has succeeded.
func (r *Records) reload(ctx context.Context, now time.Time, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read, err := r.read(ctx, name)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if err != nil {
		s.dueAt = now.Add(retryDelay)
		return false
	}
	s.set(read.record, read.revision)
	return true
}

// read reads the record of a service from the store.
func (r *Records) read(ctx context.Context, name string) (readRecord, error) {
	r.calls.Inc()
	page, err := r.store.Get(ctx, platform.VersionsKey(name))
	if errors.Is(err, platform.ErrNotFound) {
		return readRecord{}, nil
	}
	if err != nil {
		r.failures.Inc()
		r.logger.WithError(err).Debug("can't read the software versions of a service from the store")
		return readRecord{}, err
	}
	read := readRecord{revision: page.Items[0].ModRevision, era: page.Era}
	record, err := platform.DecodeVersions(name, page.Items[0])
	if err != nil {
		r.logger.WithError(err).Warn("can't decode the software versions of a service; writing them again")
		return read, nil
	}
	read.record = &record
	return read, nil
}

// write writes the record of a service if it still has the given revision.
func (r *Records) write(ctx context.Context, now time.Time, name string, next streamorigin.Record, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := platform.EncodeVersions(name, next)
	if err != nil {
		r.logger.WithError(err).Error("can't encode the software versions of a service")
		return
	}
	r.calls.Inc()
	position, err := r.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: item.Key, Revision: revision}}, Puts: []platform.Put{{Key: item.Key, Value: item.Value}},
	})
	r.mu.Lock()
	s := r.service(name)
	if err == nil {
		s.set(&next, position.Revision)
	} else {
		s.isRead, s.dueAt = false, now.Add(retryDelay)
	}
	r.mu.Unlock()
	switch {
	case err == nil:
		r.logger.WithFields(log.Fields{"service": name, "versions": next.Versions, "complete": next.IsComplete}).Info("software versions of a service recorded")
	case errors.Is(err, platform.ErrConflict):
		r.reload(ctx, now, name) // another host has written it
	default:
		r.failures.Inc()
		r.logger.WithError(err).Debug("software versions of a service not written; retrying")
	}
}

// set takes up a record.
func (s *service) set(record *streamorigin.Record, revision uint64) {
	s.tracker.SetRecord(record)
	s.isRead, s.revision, s.record, s.dueAt = true, revision, streamorigin.Record{}, time.Time{}
	if record != nil {
		s.record = *record
	}
}

// resumableServices returns the services with routes whose streams may be resumed.
func resumableServices(table *route.Table) map[string]bool {
	services := make(map[string]bool)
	if table == nil {
		return services
	}
	for _, r := range table.Routes() {
		if r.Kind == route.Streaming && r.IsResumable && r.IsGeneration {
			for service := range r.Services() {
				services[service] = true
			}
		}
	}
	return services
}

// longestTimeout returns the longest timeout of the routes to a service.
func longestTimeout(table *route.Table, service string) time.Duration {
	longest := time.Duration(0)
	for _, r := range table.Routes() {
		if r.LeadsTo(service) {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// versionsOf returns the software versions of a service's servers that generate events.
func versionsOf(servers []serverlist.Server, service string) []string {
	var versions []string
	for _, s := range servers {
		if s.Service == service && s.Stage != serverlist.Prefill && !slices.Contains(versions, s.SoftwareVersion) {
			versions = append(versions, s.SoftwareVersion)
		}
	}
	return versions
}
