package originstore

import (
	"context"
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/platform"
)

// flush writes the origins of a service's streams that have changed, while several software
// versions are recorded.
func (r *Records) flush(ctx context.Context, now time.Time, name string) {
	r.mu.Lock()
	s := r.service(name)
	s.expire(now)
	isDue := s.tracker.IsMixed() && len(s.changed) > 0 && !now.Before(s.flushAt)
	items, err := s.encodeChanged(name, r.options.Writer, isDue)
	if isDue {
		s.flushAt = now.Add(flushPeriod)
	}
	r.mu.Unlock()
	if err != nil {
		r.logger.WithError(err).Error("can't encode the origins of streams")
	}
	if len(items) == 0 {
		return
	}
	if err := r.commit(ctx, now, items); err != nil {
		r.failures.Inc()
		r.logger.WithError(err).Debug("origins of streams not written; retrying")
		r.mu.Lock()
		defer r.mu.Unlock()
		for bucket := range s.origins {
			s.changed[bucket] = true
		}
	}
}

// commit writes items, which vanish from the store some time after this host has failed.
func (r *Records) commit(ctx context.Context, now time.Time, items []platform.Item) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.lease == 0 || now.Sub(r.leasedAt) > maxLeaseAge {
		r.calls.Inc()
		lease, _, err := r.store.NewLease(ctx, leaseTTL)
		if err != nil {
			return err
		}
		r.lease, r.leasedAt = lease, now
	}
	var transaction platform.Transaction
	for _, item := range items {
		transaction.Puts = append(transaction.Puts, platform.Put{Key: item.Key, Value: item.Value, Lease: r.lease})
	}
	r.calls.Inc()
	_, err := r.store.Commit(ctx, transaction)
	if errors.Is(err, platform.ErrNotFound) {
		r.lease = 0
	}
	return err
}

// expire removes the origins that were not used for originLifetime.
func (s *service) expire(now time.Time) {
	for bucket, origins := range s.origins {
		for id, h := range origins {
			if now.Sub(h.at) > originLifetime {
				delete(origins, id)
			}
		}
		if len(origins) == 0 {
			delete(s.origins, bucket)
			delete(s.changed, bucket)
		}
	}
}

// encodeChanged returns the buckets that have changed if isDue is set, and marks them as
// unchanged.
func (s *service) encodeChanged(name, writer string, isDue bool) ([]platform.Item, error) {
	if !isDue {
		return nil, nil
	}
	var items []platform.Item
	for bucket := range s.changed {
		var origins []streamorigin.Origin
		for id, h := range s.origins[bucket] {
			origins = append(origins, streamorigin.Origin{RequestID: id, Service: name, SoftwareVersion: h.version})
		}
		item, err := platform.EncodeOrigins(name, bucket, writer, origins)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	clear(s.changed)
	return items, nil
}
