package registry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/storereader"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/idletimeout"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// watchWait is how long a watch of the configuration waits for a change. The
	// platform allows 30 s.
	watchWait = 25 * time.Second
	// noWatchWait makes a watch return at once.
	noWatchWait = time.Millisecond
	// peerTimeout bounds the request for another host's view of servers and hosts.
	peerTimeout = 250 * time.Millisecond
	// hostListPeriod is the time between two reads of the host list.
	hostListPeriod = 8 * time.Second
	// hostListStartDelay is the time between two reads of the host list until settledReads of
	// them in a row are the same: by then the other hosts have started as well. Reads may be
	// stale by seconds. Until this host is registered for the first time, the delay is also
	// the time between two attempts to register.
	hostListStartDelay = 2500 * time.Millisecond
	settledReads       = 3
	// hostListFirstDelay is the time until the first read when the fleet starts for the first
	// time. By then nearly all hosts have registered.
	hostListFirstDelay = time.Second
	// hostLease is how long this host's registration lasts without a renewal.
	hostLease = 60 * time.Second
	// renewPeriod is the time between two renewals of hostLease.
	renewPeriod = 15 * time.Second
	// maxCallTime limits an entire call of the store, without the wait of a watch. The
	// store's client cancels a call that makes no progress much earlier.
	maxCallTime = 30 * time.Second
	// retryDelay is the minimum time before RunConfiguration retries a failed call.
	retryDelay = 500 * time.Millisecond
)

var (
	// errOldEra means that a response is from before the store was replaced by a copy.
	errOldEra = errors.New("response of an older era of the store")
	// errEraChanged means that the store was replaced by a copy during a read.
	errEraChanged = errors.New("era of the store has changed between two pages")
)

// RunServers polls the registrations of backend servers until ctx ends. The poll
// also checks whether the store responds to this host.
func (r *Registry) RunServers(ctx context.Context) {
	isComplete := false
	if r.options.IsFirstStart {
		r.awaitReaders(ctx, roleWait) // reads of the store may be unnecessary then
	}
	for ctx.Err() == nil {
		if isClosed(r.areReadersKnown) {
			r.followReaders(ctx)
			isComplete = isComplete || r.position().Revision > 0
		}
		var err error
		isComplete, err = r.syncServers(ctx, isComplete)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.markStoreUnreachable(time.Now(), err)
			r.fetchFromPeers(ctx)
		}
		r.updateServers(func(list *serverlist.List) { list.Expire(time.Now()) })
		poll := r.pollInterval()
		pause := poll + rand.N(poll/8)
		if err != nil {
			pause /= 2
		}
		if err == nil && !isClosed(r.areReadersKnown) {
			r.awaitReaders(ctx, pause)
			continue
		}
		_ = timing.Sleep(ctx, pause) // the loop condition checks ctx
	}
}

// syncServers reads the changes since the list's revision, or the complete list
// if isComplete is false. It returns whether the list is complete afterwards.
func (r *Registry) syncServers(ctx context.Context, isComplete bool) (bool, error) {
	if !isComplete {
		return r.listServers(ctx)
	}
	position := r.position()
	after := position.Revision
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	r.calls.Inc()
	page, err := r.store.Watch(ctx, platform.ServersPrefix, after, noWatchWait)
	if errors.Is(err, platform.ErrCompacted) {
		r.logger.WithField("after", after).Info("store has compacted the history after this revision; reading all servers and the configuration again")
		r.rereadConfiguration()
		return r.listServers(ctx)
	}
	if err != nil {
		return true, err
	}
	if r.beginEra(time.Now(), page.Era) {
		return r.listServers(ctx) // these events do not follow those of the era before
	}
	if page.Era < position.Era {
		return true, fmt.Errorf("%w: %d after %d", errOldEra, page.Era, position.Era)
	}
	r.markStoreReachable(time.Now())
	changes := r.decodeServers(page.Items)
	r.updateServers(func(list *serverlist.List) { list.Apply(time.Now(), changes, nextRevision(page.Items, after)) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changeLog.Append(changes)
	r.notifyUpdate() // also without changes: the store has responded
	return true, nil
}

// nextRevision returns the revision from which the next watch starts: that of the
// newest event, or after if there are no events. The store's current revision is
// no substitute, because a watch may return no events while changes are made. The
// next watch from the old revision then returns those changes, or ErrCompacted if
// the store has compacted their history.
func nextRevision(events []platform.Item, after uint64) uint64 {
	for _, event := range events {
		after = max(after, event.ModRevision)
	}
	return after
}

// listServers replaces the list by all registrations in the store.
func (r *Registry) listServers(ctx context.Context) (bool, error) {
	items, position, err := r.listAll(ctx, platform.ServersPrefix, false)
	if err != nil {
		return false, err
	}
	r.beginEra(time.Now(), position.Era)
	if known := r.position(); position.Era < known.Era {
		return false, fmt.Errorf("%w: %d after %d", errOldEra, position.Era, known.Era)
	}
	r.markStoreReachable(time.Now())
	changes := r.decodeServers(items)
	r.updateServers(func(list *serverlist.List) { list.Replace(time.Now(), changes, position.Revision) })
	r.resetChangeLog()
	return true, nil
}

// resetChangeLog makes followers take the complete list, since it was replaced.
func (r *Registry) resetChangeLog() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changeLog.Reset(r.list.Position())
	r.notifyUpdate()
}

// position returns the position up to which the server list is complete.
func (r *Registry) position() serverlist.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list.Position()
}

// List reads all keys with a prefix from the store. It returns the position of the first
// page: the pages are no consistent snapshot, so changes after the first page have to be
// read again.
func (r *Registry) List(ctx context.Context, prefix string) (items []platform.Item, position serverlist.Position, err error) {
	return r.listAll(ctx, prefix, false)
}

// listAll is List, which with allowStale may return an old state.
func (r *Registry) listAll(ctx context.Context, prefix string, allowStale bool) (items []platform.Item, position serverlist.Position, err error) {
	after := ""
	for {
		page, err := r.readPage(ctx, prefix, after, allowStale)
		if err != nil {
			return nil, position, err
		}
		if after == "" {
			position = page.Position
		}
		if page.Era != position.Era {
			return nil, position, fmt.Errorf("%w: %d and %d", errEraChanged, position.Era, page.Era)
		}
		items = append(items, page.Items...)
		if !page.IsTruncated || len(page.Items) == 0 {
			return items, position, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// readPage reads one page of the keys with a prefix.
func (r *Registry) readPage(ctx context.Context, prefix, after string, allowStale bool) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	r.calls.Inc()
	return r.store.Range(ctx, prefix, after, allowStale)
}

// fetchFromPeers applies the other hosts' view of servers and hosts if that view is newer.
func (r *Registry) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r.peerCalls.Inc()
	view, err := r.peers.Fetch(ctx, r.position())
	if err != nil {
		r.logger.WithError(err).Debug("no other host responded")
		return
	}
	if view.HasServers {
		r.beginEra(time.Now(), view.Position.Era)
		r.updateServers(func(list *serverlist.List) { list.Adopt(time.Now(), view.Servers, view.Position) })
		r.resetChangeLog()
	}
	if len(view.Hosts) > 0 {
		r.setHosts(view.Hosts)
	}
}

func (r *Registry) version() uint64 {
	if table := r.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// RunConfiguration watches the operators' configuration until ctx ends. While the store
// does not respond to this host, it takes the configuration from other hosts.
func (r *Registry) RunConfiguration(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		isUnreachable, changed := r.storeState()
		if isUnreachable {
			r.fetchConfiguration(ctx)
			select {
			case <-ctx.Done():
			case <-changed:
			case <-time.After(r.options.Poll / 2):
			}
			after = 0 // read the document again: the watch may have missed changes
			continue
		}
		if r.awaitAnnouncement(ctx, changed) {
			after = 0 // changes may be missed when this host reads the store again
			continue
		}
		if after != 0 || r.options.IsFirstStart {
			r.AwaitRole(ctx, roleWait) // reads of the store may be unnecessary then
			if r.awaitAnnouncement(ctx, changed) {
				after = 0
				continue
			}
		}
		started := time.Now()
		next, err := r.syncConfiguration(ctx, after, changed)
		if err != nil && ctx.Err() == nil {
			r.logConfigurationFailure(err, after, isClosed(changed), time.Since(started))
			if !isClosed(changed) {
				r.failures.Inc()
				r.configurationFailures.Inc()
				r.fetchConfiguration(ctx)
				_ = timing.Sleep(ctx, retryDelay+rand.N(retryDelay)) // the loop condition checks ctx
			}
		}
		after = next
	}
}

// syncConfiguration reads the document if after is 0, and otherwise waits for a
// newer document. It ends early when changed is closed, unless the document is arriving.
// It returns the revision from which the next call continues.
func (r *Registry) syncConfiguration(ctx context.Context, after uint64, changed <-chan struct{}) (uint64, error) {
	wait := watchWait
	if after == 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+maxCallTime)
	defer cancel()
	started := make(chan struct{})
	go r.cancelWhenClosed(ctx, cancel, changed, started)
	ctx = idletimeout.WithWait(ctx, wait, func() { close(started) })
	r.calls.Inc()
	if after == 0 {
		page, err := r.store.Get(ctx, platform.ConfigurationKey)
		if err != nil {
			return 0, err
		}
		r.beginEra(time.Now(), page.Era)
		r.applyDocument(page.Items[0].Value, "store")
		return max(page.Revision, page.Items[0].ModRevision), nil // a read misses no change
	}
	page, err := r.store.Watch(ctx, platform.ConfigurationKey, after, wait)
	if err != nil {
		return 0, err
	}
	if r.beginEra(time.Now(), page.Era) {
		return 0, nil // these events do not follow those of the era before
	}
	for _, item := range page.Items {
		if item.Key == platform.ConfigurationKey && !item.IsDeleted {
			r.applyDocument(item.Value, "store")
		}
	}
	return nextRevision(page.Items, after), nil
}

// fetchConfiguration takes the configuration from another host if that is newer.
func (r *Registry) fetchConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	r.peerCalls.Inc()
	document, err := r.peers.FetchConfiguration(ctx, r.version())
	if err != nil {
		r.logger.WithError(err).WithField("version", r.version()).Info("can't read the configuration from another host")
		return
	}
	if document != nil {
		r.applyDocument(document, "host")
	}
}

// logConfigurationFailure logs that a read of the document, or a watch if after is not 0,
// has failed. It is no fault if this host has canceled the call, or if the operators have
// not written the document yet.
func (r *Registry) logConfigurationFailure(err error, after uint64, isCanceled bool, took time.Duration) {
	entry := r.logger.WithError(err).WithFields(log.Fields{
		"version": r.version(), "isWatch": after != 0, "isCanceled": isCanceled, "took": took.Round(time.Millisecond).String(),
	})
	if isCanceled || errors.Is(err, platform.ErrNotFound) {
		entry.Info("configuration not read; reading it again")
		return
	}
	entry.Warn("can't read the configuration; reading it again")
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// cancelWhenClosed cancels a call when changed is closed, unless started was closed
// before. It returns when ctx ends.
func (r *Registry) cancelWhenClosed(ctx context.Context, cancel context.CancelFunc, changed, started <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-started:
	case <-changed:
		if !isClosed(started) {
			cancel()
		}
	}
}

// RunHosts keeps this host registered and polls the host list until ctx ends.
func (r *Registry) RunHosts(ctx context.Context) {
	var lease uint64
	var renewed time.Time
	pause := hostListStartDelay
	if r.options.IsFirstStart {
		pause = hostListFirstDelay
	}
	isReplaced := false
	isStarting := r.options.IsFirstStart // the other hosts have not registered yet
	isFirst := r.options.IsFirstStart
	for ctx.Err() == nil {
		if isUnreachable, _ := r.storeState(); !isUnreachable {
			now := time.Now()
			if lease == 0 || now.Sub(renewed) > renewPeriod {
				lease = r.register(ctx, lease)
				renewed = now
			}
			if !isReplaced && !isStarting {
				r.listHosts(ctx, isFirst)
				isFirst = false
			}
			isStarting = false
		}
		isReplaced = false
		select {
		case <-ctx.Done():
		case <-r.replaced:
			// The copy may lack this host, and others, which register again as well.
			lease, pause, isReplaced = 0, hostListStartDelay, true
			continue
		case <-time.After(pause):
		}
		pause = hostListStartDelay
		if lease != 0 && r.AreHostsSettled() {
			pause = hostListPeriod + rand.N(hostListPeriod/4)
		}
	}
}

// register renews the lease. If lease is 0 or has expired, register registers this
// host under a new lease. It returns the lease, or 0 if the registration failed.
func (r *Registry) register(ctx context.Context, lease uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, 3*r.options.Timeout)
	defer cancel()
	if lease != 0 {
		r.calls.Inc()
		if err := r.store.KeepLease(ctx, lease); !errors.Is(err, platform.ErrNotFound) {
			return lease // the next renewal shows whether a renewal without response took effect
		}
	}
	r.calls.Add(2)
	lease, _, err := r.store.NewLease(ctx, hostLease)
	if err != nil {
		r.logger.WithError(err).Warn("can't register this host; retrying")
		return 0
	}
	value, err := platform.EncodeHost(r.options.Self)
	if err != nil {
		r.logger.WithError(err).Error("can't encode this host's registration; retrying")
		return 0
	}
	put := platform.Put{Key: platform.HostsPrefix + r.options.Self.Name, Value: value, Lease: lease}
	position, err := r.store.Commit(ctx, platform.Transaction{Puts: []platform.Put{put}})
	if err != nil {
		r.logger.WithError(err).Warn("can't register this host; retrying")
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registeredAt == 0 {
		r.registeredAt = position.Revision
	}
	return lease
}

// listHosts reads the host list and sets it, unless it has no entry or is older than the last
// one: cheap reads are stale by seconds. With isFirst the read is not stale.
func (r *Registry) listHosts(ctx context.Context, isFirst bool) {
	items, position, err := r.listAll(ctx, platform.HostsPrefix, !isFirst)
	if err != nil {
		r.logger.WithError(err).Debug("can't read the host list; keeping the last one")
		return
	}
	var hosts []netip.AddrPort
	var listed []storereader.Host
	ownCreated := uint64(math.MaxUint64)
	for _, item := range items {
		host, err := platform.DecodeHost(item)
		if err != nil {
			r.logInvalid(item, err)
			continue
		}
		if host.Name == r.options.Self.Name {
			ownCreated = item.CreateRevision
		}
		hosts = append(hosts, host.Peer)
		listed = append(listed, storereader.Host{Address: host.Peer, FailureDomain: host.FailureDomain})
	}
	r.mu.Lock()
	if len(hosts) == 0 || position.IsBefore(r.hostsPosition) {
		r.mu.Unlock()
		return
	}
	r.hostsPosition = position
	if !slices.Equal(listed, r.listedHosts) {
		r.listedHosts, r.equalReads = listed, 0
	}
	r.equalReads++
	r.reads++
	r.areHostsSettled = r.areHostsSettled || r.equalReads >= settledReads
	if r.reads == 1 {
		r.wasListed = r.registeredAt > 0 && ownCreated < r.registeredAt
		close(r.areReadersKnown)
	}
	r.mu.Unlock()
	r.setHosts(hosts)
}

func (r *Registry) setHosts(hosts []netip.AddrPort) {
	r.mu.Lock()
	r.hosts = hosts
	r.mu.Unlock()
	r.peers.SetHosts(hosts)
}
