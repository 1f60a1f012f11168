package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/platform"
)

const (
	// watchWait is how long a watch of the configuration waits; the platform
	// allows 30 s.
	watchWait = 25 * time.Second
	// noWait makes a watch answer at once.
	noWait = time.Millisecond
	// peerTimeout is the longest wait for another host's knowledge.
	peerTimeout = 250 * time.Millisecond
	// hostsPeriod is the time between two reads of the list of hosts.
	hostsPeriod = 8 * time.Second
	// hostsStart is the time after which the list is read for the second time,
	// when the other hosts have started as well.
	hostsStart = 2500 * time.Millisecond
	// hostLease is the lifetime of this host's registration without renewal.
	hostLease = 60 * time.Second
	// renewPeriod is the time between two renewals of the lease.
	renewPeriod = 15 * time.Second
	// retryPeriod is the time after which a call that failed is made again.
	retryPeriod = 500 * time.Millisecond
)

// RunServers follows the registrations of backend servers until ctx ends. It is
// also the check that the store answers this host.
func (r *Registry) RunServers(ctx context.Context) {
	isComplete := false
	for ctx.Err() == nil {
		var err error
		isComplete, err = r.syncServers(ctx, isComplete)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.storeLost(time.Now(), err)
			r.askPeers(ctx)
		}
		r.adoptServers(func(list *serverlist.List) { list.Expire(time.Now()) })
		pause := r.options.Poll + rand.N(r.options.Poll/8)
		if err != nil {
			pause /= 2
		}
		_ = timing.Sleep(ctx, pause) // the loop's condition sees the end of ctx
	}
}

// syncServers reads what has changed, or everything where the list is not
// complete. It returns whether the list is complete.
func (r *Registry) syncServers(ctx context.Context, isComplete bool) (bool, error) {
	if !isComplete {
		return r.readServers(ctx)
	}
	r.mu.Lock()
	after := r.list.Revision()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	r.calls.Inc()
	page, err := r.store.Watch(ctx, platform.ServersPrefix, after, noWait)
	if errors.Is(err, platform.ErrCompacted) {
		r.logger.WithField("after", after).Info("history of the store is gone")
		r.readAgain()
		return r.readServers(ctx)
	}
	if err != nil {
		return true, err
	}
	r.storeAnswered(time.Now())
	changes := r.decodeServers(page.Items)
	r.adoptServers(func(list *serverlist.List) { list.Apply(time.Now(), changes, newest(page.Items, after)) })
	return true, nil
}

// newest returns the revision to go on from after events. Where there are none
// that is the old one: a watch may hear nothing while changes are made, and the
// loss of their history must show.
func newest(events []platform.Item, after uint64) uint64 {
	for _, event := range events {
		after = max(after, event.ModRevision)
	}
	return after
}

// readServers reads the whole list.
func (r *Registry) readServers(ctx context.Context) (bool, error) {
	items, at, err := r.readAll(ctx, platform.ServersPrefix, false)
	if err != nil {
		return false, err
	}
	r.storeAnswered(time.Now())
	changes := r.decodeServers(items)
	r.adoptServers(func(list *serverlist.List) { list.Replace(time.Now(), changes, at) })
	return true, nil
}

// readAll reads all keys with a prefix. The revision is that of the first page:
// pages are no snapshot, and what changed since has to be read again.
func (r *Registry) readAll(ctx context.Context, prefix string, isStale bool) (items []platform.Item, at uint64, err error) {
	after := ""
	for {
		page, err := r.rangePage(ctx, prefix, after, isStale)
		if err != nil {
			return nil, 0, err
		}
		if at == 0 {
			at = page.Revision
		}
		items = append(items, page.Items...)
		if !page.IsTruncated || len(page.Items) == 0 {
			return items, at, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (r *Registry) rangePage(ctx context.Context, prefix, after string, isStale bool) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	r.calls.Inc()
	return r.store.Range(ctx, prefix, after, isStale)
}

// askPeers takes in what another host knows.
func (r *Registry) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r.mu.Lock()
	revision := r.list.Revision()
	r.mu.Unlock()
	r.peerCalls.Inc()
	known, err := r.peers.Fetch(ctx, r.version(), revision)
	if err != nil {
		r.logger.WithError(err).Debug("no other host answers")
		return
	}
	if known.Document != nil {
		r.adoptDocument(known.Document, "host")
	}
	if known.HasServers {
		r.adoptServers(func(list *serverlist.List) { list.Adopt(known.Servers, known.Revision) })
	}
	if len(known.Hosts) > 0 {
		r.setHosts(known.Hosts)
	}
}

func (r *Registry) version() uint64 {
	if table := r.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// RunConfiguration follows the operators' document until ctx ends.
func (r *Registry) RunConfiguration(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		isLost, changed := r.connection()
		if isLost {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			after = 0 // read anew: the watch may have missed changes
			continue
		}
		next, err := r.syncConfiguration(ctx, after, changed)
		if err != nil && ctx.Err() == nil && !isClosed(changed) {
			r.failures.Inc()
			_ = timing.Sleep(ctx, retryPeriod+rand.N(retryPeriod)) // the loop's condition sees the end of ctx
		}
		after = next
	}
}

// syncConfiguration reads the document after revision 0, and else waits for a
// newer one, until the store is lost. It returns the revision to go on from.
func (r *Registry) syncConfiguration(ctx context.Context, after uint64, lost <-chan struct{}) (uint64, error) {
	wait := watchWait
	if after == 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+r.options.Timeout)
	defer cancel()
	go r.loopCancel(ctx, cancel, lost)
	r.calls.Inc()
	if after == 0 {
		page, err := r.store.Get(ctx, platform.ConfigurationKey)
		if err != nil {
			return 0, err
		}
		r.adoptDocument(page.Items[0].Value, "store")
		return max(page.Revision, page.Items[0].ModRevision), nil // a read hears everything
	}
	page, err := r.store.Watch(ctx, platform.ConfigurationKey, after, wait)
	if err != nil {
		return 0, err
	}
	for _, item := range page.Items {
		if item.Key == platform.ConfigurationKey && !item.IsDeleted {
			r.adoptDocument(item.Value, "store")
		}
	}
	return newest(page.Items, after), nil
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// loopCancel ends a call when the store is lost, until ctx ends.
func (r *Registry) loopCancel(ctx context.Context, cancel context.CancelFunc, lost <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-lost:
		cancel()
	}
}

// RunHosts registers this host and follows the list of hosts until ctx ends.
func (r *Registry) RunHosts(ctx context.Context) {
	var lease uint64
	var renewed time.Time
	pause := hostsStart
	for ctx.Err() == nil {
		if isLost, _ := r.connection(); !isLost {
			now := time.Now()
			if lease == 0 || now.Sub(renewed) > renewPeriod {
				lease = r.register(ctx, lease)
				renewed = now
			}
			r.readHosts(ctx)
		}
		_ = timing.Sleep(ctx, pause) // the loop's condition sees the end of ctx
		if lease != 0 {
			pause = hostsPeriod + rand.N(hostsPeriod/4)
		}
	}
}

// register renews the lease, or registers this host under a new one. It returns
// the lease, or 0.
func (r *Registry) register(ctx context.Context, lease uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, 3*r.options.Timeout)
	defer cancel()
	if lease != 0 {
		r.calls.Inc()
		if err := r.store.KeepLease(ctx, lease); !errors.Is(err, platform.ErrNotFound) {
			return lease // an answer that was lost is settled by the next renewal
		}
	}
	r.calls.Add(2)
	lease, _, err := r.store.NewLease(ctx, hostLease)
	if err != nil {
		r.logger.WithError(err).Warn("host not registered")
		return 0
	}
	value, err := platform.EncodeHost(r.options.Self)
	if err != nil {
		r.logger.WithError(err).Error("host not registered")
		return 0
	}
	put := platform.Put{Key: platform.HostsPrefix + r.options.Self.Name, Value: value, Lease: lease}
	if _, err := r.store.Commit(ctx, platform.Transaction{Puts: []platform.Put{put}}); err != nil {
		r.logger.WithError(err).Warn("host not registered")
		return 0
	}
	return lease
}

// readHosts reads the list of hosts.
func (r *Registry) readHosts(ctx context.Context) {
	items, _, err := r.readAll(ctx, platform.HostsPrefix, true)
	if err != nil {
		r.logger.WithError(err).Debug("list of hosts not read")
		return
	}
	var hosts []netip.AddrPort
	for _, item := range items {
		host, err := platform.DecodeHost(item)
		if err != nil {
			r.logUnreadable(item, err)
			continue
		}
		hosts = append(hosts, host.Peer)
	}
	if len(hosts) > 0 {
		r.setHosts(hosts)
	}
}

func (r *Registry) setHosts(hosts []netip.AddrPort) {
	r.mu.Lock()
	r.hosts = hosts
	r.mu.Unlock()
	r.peers.SetHosts(hosts)
}
