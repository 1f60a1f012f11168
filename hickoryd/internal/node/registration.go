package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/timing"
	"github.com/hickoryfront/hickoryfront/hickoryd/platform"
)

const (
	hostPrefix   = "hickoryfront/hosts/"
	listInterval = 10 * time.Second
	// listPerHost lengthens the time between lists, so that neither the bytes
	// of one host nor the reads of all grow with the fleet.
	listPerHost   = time.Second
	retryInterval = time.Second
)

type (
	// LeaseKV is what registration needs of the platform.
	LeaseKV interface {
		List(ctx context.Context, prefix string) ([]platform.Value, error)
		Acquire(ctx context.Context, key string, data []byte, lease string) (bool, error)
		GrantLease(ctx context.Context, name string, ttl time.Duration) (string, error)
		KeepLease(ctx context.Context, lease string) error
		RevokeLease(ctx context.Context, lease string) error
	}

	// Observer takes in the hosts that the platform knows.
	Observer interface {
		Self() member.Host
		Observe(now time.Time, state member.State)
		Live(now time.Time) []member.State
	}

	// Registration announces this daemon through a lease and learns of the
	// others that the platform knows.
	Registration struct {
		kv     LeaseKV
		peers  Observer
		ttl    time.Duration
		logger log.Interface
		lease  string
	}

	hostRecord struct {
		Name            string         `json:"name"`
		Incarnation     uint64         `json:"incarnation"`
		FailureDomain   string         `json:"failureDomain"`
		PeerAddress     netip.AddrPort `json:"peerAddress"`
		OperatorAddress netip.AddrPort `json:"operatorAddress"`
	}
)

// NewRegistration returns a registration with the given lease lifetime.
func NewRegistration(kv LeaseKV, peers Observer, ttl time.Duration, logger log.Interface) *Registration {
	return &Registration{kv: kv, peers: peers, ttl: ttl, logger: logger}
}

// Run keeps the lease and reads the hosts until ctx ends.
func (r *Registration) Run(ctx context.Context) {
	nextList := time.Time{}
	for ctx.Err() == nil {
		wait := r.ttl / 3
		if err := r.keep(ctx); err != nil {
			r.logger.WithError(err).Debug("lease not kept")
			wait = retryInterval
		} else if now := time.Now(); !now.Before(nextList) || len(r.peers.Live(now)) == 1 {
			r.list(ctx, now)
			nextList = now.Add(max(listInterval, time.Duration(len(r.peers.Live(now)))*listPerHost))
			wait = min(wait, listInterval)
		}
		if len(r.peers.Live(time.Now())) == 1 {
			wait = retryInterval
		}
		_ = timing.Sleep(ctx, wait) // the loop sees the end of ctx
	}
}

// Close revokes the lease.
func (r *Registration) Close(ctx context.Context) {
	if r.lease != "" {
		_ = r.kv.RevokeLease(ctx, r.lease) // it lapses otherwise
	}
}

func (r *Registration) keep(ctx context.Context) error {
	if r.lease != "" {
		err := r.kv.KeepLease(ctx, r.lease)
		if !errors.Is(err, platform.ErrLeaseLost) {
			return err
		}
		r.logger.Warn("lease lost, registering again")
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

// list takes in hosts not yet known from heartbeats. It takes nothing from a
// host that is not listed: its lease may have lapsed in an outage.
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
