package registry

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/storereader"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	// followedPollShare is the poll interval of a host that others follow, as a part of the
	// setting.
	followedPollShare = 0.6
	// roleWait is how long a host that starts waits for its role with what only readers do.
	roleWait = 3 * time.Second
	// readerRetryPeriod is the time for which a reader that has failed is not followed again.
	readerRetryPeriod = 6 * time.Second
)

var (
	// errReaderSilent means that a reader has sent no update in time.
	errReaderSilent = errors.New("no update from the reader")
	// errStoreLost means that the store does not respond to a reader.
	errStoreLost = errors.New("the store does not respond to the reader")
	// errRoleChanged means that this host follows other readers now, or none.
	errRoleChanged = errors.New("the readers of the failure domain have changed")
	// errMissedChanges means that an update does not follow the one before.
	errMissedChanges = errors.New("update does not follow this host's list")
)

// silenceLimit returns the longest time between two updates of a reader. After it, a read of
// the store that times out and a fetch from other hosts still fit into the drain timeout.
func (r *Registry) silenceLimit() time.Duration {
	return r.options.Poll + r.options.Timeout/2
}

// followReaders follows the readers of this host's failure domain, one after the other, until
// none of them can be followed. It returns at once if this host reads the store itself.
func (r *Registry) followReaders(ctx context.Context) {
	defer r.setRoleKnown()
	for _, reader := range r.role().Follows {
		if ctx.Err() != nil || time.Since(r.readerFailedAt[reader]) < readerRetryPeriod {
			continue
		}
		err := r.followReader(ctx, reader)
		if ctx.Err() != nil {
			return
		}
		r.readerFailedAt[reader] = time.Now()
		entry := r.logger.WithError(err).WithField("host", reader.String())
		if errors.Is(err, errRoleChanged) {
			entry.Info("no longer following a host that reads the store")
		} else {
			entry.Warn("host that reads the store can't be followed; reading the store")
		}
		return // the store is read before another host is followed
	}
}

// awaitReaders waits until the readers can be chosen, but not longer than limit.
func (r *Registry) awaitReaders(ctx context.Context, limit time.Duration) {
	await(ctx, r.areReadersKnown, limit)
}

// setRoleKnown records that this host follows a reader, or can't follow one. Only RunServers
// calls it.
func (r *Registry) setRoleKnown() {
	if !isClosed(r.roleKnown) {
		close(r.roleKnown)
	}
}

// AwaitRole waits until it is known whether this host reads the store or follows a host that
// does, but not longer than limit.
func (r *Registry) AwaitRole(ctx context.Context, limit time.Duration) {
	await(ctx, r.roleKnown, limit)
}

// await waits until condition is closed, but not longer than limit.
func await(ctx context.Context, condition <-chan struct{}, limit time.Duration) {
	select {
	case <-ctx.Done():
	case <-condition:
	case <-time.After(limit):
	}
}

// role returns how this host gets the contents of the store.
func (r *Registry) role() storereader.Role {
	r.mu.Lock()
	hosts := r.listedHosts
	r.mu.Unlock()
	self := storereader.Host{Address: r.options.Self.Peer, FailureDomain: r.options.Self.FailureDomain}
	return storereader.RoleOf(self, hosts)
}

// followReader follows a reader until it can't be followed any more.
func (r *Registry) followReader(ctx context.Context, reader netip.AddrPort) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(r.silenceLimit(), func() { cancel(errReaderSilent) })
	defer silence.Stop()
	defer r.setFollowed(netip.AddrPort{})
	position := r.position()
	period := time.Duration(followedPollShare * float64(r.options.Poll))
	err := r.peers.Follow(ctx, reader, position, period, func(update Update) error {
		if !slices.Contains(r.role().Follows, reader) {
			return errRoleChanged
		}
		if update.StoreAge >= r.silenceLimit() {
			return errStoreLost
		}
		if err := r.applyUpdate(time.Now(), update); err != nil {
			return err
		}
		r.setFollowed(reader)
		r.setRoleKnown()
		silence.Reset(r.silenceLimit() - update.StoreAge)
		return nil
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// applyUpdate takes up an update of a reader.
func (r *Registry) applyUpdate(now time.Time, update Update) error {
	if update.IsComplete {
		if r.position().Era > update.Position.Era {
			return errMissedChanges
		}
		r.beginEra(now, update.Position.Era)
		r.updateServers(func(list *serverlist.List) { list.Adopt(now, update.Servers, update.Position) })
	} else {
		if r.position().Era != update.Position.Era {
			return errMissedChanges
		}
		r.updateServers(func(list *serverlist.List) { list.Apply(now, update.Changes, update.Position.Revision) })
	}
	r.markStoreReachable(now.Add(-update.StoreAge))
	r.updateServers(func(list *serverlist.List) { list.Expire(now) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if update.ConfigVersion > r.announcedVersion {
		r.announcedVersion = update.ConfigVersion
		r.notifyAnnouncement()
	}
	if update.Refusals != r.refusals {
		r.refusals = update.Refusals
		r.notifyRefusals()
	}
	return nil
}

// followsReader returns 1 while this host follows a reader, and 0 otherwise.
func (r *Registry) followsReader() float64 {
	if reader, _, _ := r.followedReader(); reader.IsValid() {
		return 1
	}
	return 0
}

// setFollowed sets the reader that this host follows, or none.
func (r *Registry) setFollowed(reader netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followed == reader {
		return
	}
	r.followed = reader
	r.notifyChange()
	r.notifyRefusals()
	if reader.IsValid() {
		r.logger.WithField("host", reader.String()).Info("following a host that reads the store")
	}
}

// followedReader returns the reader that this host follows, or the zero address. The channel is
// closed when the reader has announced another version of the configuration.
func (r *Registry) followedReader() (netip.AddrPort, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followed, r.announcedVersion, r.announced
}

// notifyAnnouncement tells RunConfiguration that a reader has announced a version. The caller
// holds mu.
func (r *Registry) notifyAnnouncement() {
	close(r.announced)
	r.announced = make(chan struct{})
}

// notifyRefusals tells the user of FollowedRefusals that they may have changed. The caller
// holds mu.
func (r *Registry) notifyRefusals() {
	close(r.refusalsChanged)
	r.refusalsChanged = make(chan struct{})
}

// FollowedRefusals returns a number that changes with the refusals of prompt parts in the store,
// as a reader has told it, and a channel that is closed when that changes. isFollowing is false
// while this host reads the store itself.
func (r *Registry) FollowedRefusals() (refusals uint64, changed <-chan struct{}, isFollowing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusals, r.refusalsChanged, r.followed.IsValid()
}

// awaitAnnouncement takes up the configurations that the followed reader announces, until this
// host follows none any more. It reports whether the host has followed one.
func (r *Registry) awaitAnnouncement(ctx context.Context, changed <-chan struct{}) bool {
	reader, announced, next := r.followedReader()
	if !reader.IsValid() {
		return false
	}
	if announced > r.version() {
		r.fetchAnnounced(ctx, reader)
		if announced > r.version() { // not received, or this host can't decode what the reader can
			_ = timing.Sleep(ctx, retryDelay) // the caller checks ctx
		}
		return true
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-next:
	}
	return true
}

// fetchAnnounced takes the configuration from a reader that has announced it, or from the store
// if the reader does not send it.
func (r *Registry) fetchAnnounced(ctx context.Context, reader netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	r.peerCalls.Inc()
	document, err := r.peers.FetchConfigurationFrom(ctx, reader, r.version())
	if err == nil && document != nil {
		r.applyDocument(document, "reader")
		return
	}
	_, changed := r.storeState()
	started := time.Now()
	if _, err := r.syncConfiguration(ctx, 0, changed); err != nil {
		r.logConfigurationFailure(err, 0, isClosed(changed), time.Since(started))
	}
}
