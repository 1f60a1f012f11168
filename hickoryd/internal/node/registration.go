package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/consul"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
)

const (
	hostPrefix   = "hickoryfront/hosts/"
	listInterval = 10 * time.Second
	// listIntervalPerHost is the time between list reads for each live host. The
	// interval grows with the fleet, so that neither the bytes that one host reads
	// per second nor the list reads of all hosts per second do.
	listIntervalPerHost = time.Second
	// retryInterval is the time to the next attempt after the lease could not be
	// renewed, and the time between list reads while no other host is alive.
	retryInterval = time.Second
)

type (
	// LeaseKV is the part of the platform's key-value service that Registration
	// uses.
	LeaseKV interface {
		List(ctx context.Context, prefix string) ([]consul.Value, error)
		Acquire(ctx context.Context, key string, data []byte, lease string) (bool, error)
		GrantLease(ctx context.Context, name string, ttl time.Duration) (string, error)
		KeepLease(ctx context.Context, lease string) error
		RevokeLease(ctx context.Context, lease string) error
	}

	// Observer is the membership, which records the hosts that the platform lists.
	Observer interface {
		Self() member.Host
		Observe(now time.Time, state member.State)
		Live(now time.Time) []member.State
	}

	// Registration registers this daemon on the platform under a lease and passes
	// the other registered hosts to the membership.
	Registration struct {
		kv     LeaseKV
		peers  Observer
		ttl    time.Duration
		logger log.Interface
		lease  string
	}

	// hostRecord is the stored value of a registration.
	hostRecord struct {
		Name            string         `json:"name"`
		Incarnation     uint64         `json:"incarnation"`
		FailureDomain   string         `json:"failureDomain"`
		PeerAddress     netip.AddrPort `json:"peerAddress"`
		OperatorAddress netip.AddrPort `json:"operatorAddress"`
	}
)

// NewRegistration returns a Registration whose lease expires ttl after its last
// renewal.
func NewRegistration(kv LeaseKV, peers Observer, ttl time.Duration, logger log.Interface) *Registration {
	return &Registration{kv: kv, peers: peers, ttl: ttl, logger: logger}
}

// Run renews the lease and reads the registered hosts until ctx ends.
func (r *Registration) Run(ctx context.Context) {
	nextList := time.Time{}
	for ctx.Err() == nil {
		wait := r.ttl / 3
		if err := r.renew(ctx); err != nil {
			r.logger.WithError(err).Debug("can't renew the registration lease; retrying")
			wait = retryInterval
		} else if now := time.Now(); !now.Before(nextList) || len(r.peers.Live(now)) == 1 {
			r.list(ctx, now)
			nextList = now.Add(max(listInterval, time.Duration(len(r.peers.Live(now)))*listIntervalPerHost))
			wait = min(wait, listInterval)
		}
		if len(r.peers.Live(time.Now())) == 1 {
			wait = retryInterval
		}
		_ = timing.Sleep(ctx, wait) // the loop condition checks ctx
	}
}

// Close revokes the lease, which removes the registration.
func (r *Registration) Close(ctx context.Context) {
	if r.lease != "" {
		_ = r.kv.RevokeLease(ctx, r.lease) // a lease that is not revoked expires after its TTL
	}
}

// renew renews the lease. It registers the daemon under a new lease if there is
// none or if the lease has expired.
func (r *Registration) renew(ctx context.Context) error {
	if r.lease != "" {
		err := r.kv.KeepLease(ctx, r.lease)
		if !errors.Is(err, consul.ErrLeaseExpired) {
			return err
		}
		r.logger.Warn("registration lease expired; registering again")
		r.lease = ""
	}
	self := r.peers.Self()
	lease, err := r.kv.GrantLease(ctx, self.Name, r.ttl)
	if err != nil {
		return err
	}
	data, err := json.Marshal(hostRecord{
		Name: self.Name, Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
		PeerAddress: self.PeerAddress, OperatorAddress: self.OperatorAddress,
	})
	if err != nil {
		return err
	}
	if _, err = r.kv.Acquire(ctx, hostPrefix+self.Name, data, lease); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// list passes registered hosts that are not yet known from heartbeats to the
// membership. The absence of a host from the list proves nothing, as its lease
// may have expired during an outage of the platform.
func (r *Registration) list(ctx context.Context, now time.Time) {
	values, err := r.kv.List(ctx, hostPrefix)
	if err != nil {
		return
	}
	known := map[string]bool{}
	for _, s := range r.peers.Live(now) {
		known[s.Host.Name] = true
	}
	for _, v := range values {
		var h hostRecord
		if json.Unmarshal(v.Data, &h) != nil || known[h.Name] {
			continue
		}
		r.peers.Observe(now, member.State{LastSeen: now, Host: member.Host{
			Name: h.Name, Incarnation: h.Incarnation, FailureDomain: h.FailureDomain,
			PeerAddress: h.PeerAddress, OperatorAddress: h.OperatorAddress,
		}})
	}
}
