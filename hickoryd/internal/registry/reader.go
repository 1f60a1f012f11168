package registry

import (
	"context"
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
)

// ErrNotReader means that a host can't be followed, because it follows another one itself or
// the store does not respond to it.
var ErrNotReader = errors.New("host does not read the store itself")

// Update is what a host that reads the store tells a host that follows it.
type Update struct {
	// StoreAge is the time since the store responded to the reader.
	StoreAge time.Duration
	// IsComplete is set if Servers is the complete list. Otherwise Changes follow the position
	// of the update before.
	IsComplete bool
	Servers    []serverlist.Server
	Changes    []serverlist.Change
	// Position is that of the list with this update.
	Position serverlist.Position
	// ConfigVersion is the version of the configuration that the reader has in force.
	ConfigVersion uint64
	// Refusals changes with the refusals of prompt parts in the store.
	Refusals uint64
}

// Follow sends updates to a host that has the servers up to position, until ctx ends or send
// fails: the first one at once, the next ones after each read of the store and at least one
// each period.
func (r *Registry) Follow(ctx context.Context, position serverlist.Position, period time.Duration, send func(Update) error) error {
	r.followers.Add(1)
	defer r.followers.Add(-1)
	for {
		update, next, err := r.updateSince(time.Now(), position)
		if err != nil {
			return err
		}
		if r.hasResponse() {
			if err := send(update); err != nil {
				return err
			}
			position = update.Position
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-next:
		case <-time.After(period):
		}
	}
}

// updateSince returns the update at now for a host that has the servers up to position, and a
// channel that is closed when there is more to tell.
func (r *Registry) updateSince(now time.Time, position serverlist.Position) (Update, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followed.IsValid() || r.isUnreachable {
		return Update{}, nil, ErrNotReader
	}
	update := Update{
		StoreAge: now.Sub(r.lastResponse), Position: r.list.Position(), ConfigVersion: r.version(), Refusals: r.refusals,
	}
	changes, ok := r.changeLog.Since(position)
	if ok {
		update.Changes = changes
	} else {
		update.IsComplete, update.Servers = true, r.list.Servers()
	}
	return update, r.updated, nil
}

// hasResponse reports whether the store has ever responded to this host.
func (r *Registry) hasResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastResponse.IsZero()
}

// NotifyRefusals records that the refusals of prompt parts in the store have changed.
func (r *Registry) NotifyRefusals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
	r.notifyUpdate()
}

// notifyUpdate tells the followers that there is an update. The caller holds mu.
func (r *Registry) notifyUpdate() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// pollInterval returns the time between two reads of the registrations. It is shorter if other
// hosts follow this one, since news takes a step more to them.
func (r *Registry) pollInterval() time.Duration {
	if r.role().HasFollowers {
		return time.Duration(followedPollShare * float64(r.options.Poll))
	}
	return r.options.Poll
}
