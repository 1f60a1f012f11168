package node

import (
	"context"
	"time"

	"github.com/hickoryfront/hickoryfront/core/config"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	syncInterval = 200 * time.Millisecond
	fetchTimeout = time.Second
	// stepTimeout bounds each step of the loop, so that the steps of one iteration
	// together take less than the gate's stallTimeout.
	stepTimeout = 1500 * time.Millisecond
	// minorityReadInterval is the time between reads of the platform while less
	// than half of the fleet is alive.
	minorityReadInterval = 2 * time.Second
)

type (
	// Documents holds the configuration in force and takes newer revisions from the
	// platform (Refresh) or from a peer (ApplyUpdate).
	Documents interface {
		Current() *config.Document
		Changed() <-chan struct{}
		ApplyUpdate(update []byte) error
		Refresh(ctx context.Context) error
	}

	// Announcer is the membership, which exchanges configuration revisions with the
	// peers.
	Announcer interface {
		SetSelf(revision uint64, draining bool)
		Self() member.Host
		Live(now time.Time) []member.State
		PeersWithNewerConfig(now time.Time) []member.State
		ConfigAnnounced() <-chan struct{}
		HeartbeatNow()
	}

	// PeerClients fetches configuration from the other daemons.
	PeerClients interface {
		Fetch(ctx context.Context, from member.Host, after uint64) ([]byte, error)
	}

	// ConfigSync fetches newer configuration from peers and announces the revision
	// in force on this host to them, immediately when it changes.
	ConfigSync struct {
		documents Documents
		peers     Announcer
		clients   PeerClients
		gate      *Gate
		announced uint64
		nextRead  time.Time // next read of the platform while in a minority
	}

	// poolClients implements PeerClients over the daemon's connection pool.
	poolClients struct {
		pool *peer.Pool
	}
)

// NewConfigSync returns a ConfigSync.
func NewConfigSync(documents Documents, peers Announcer, clients PeerClients, gate *Gate) *ConfigSync {
	return &ConfigSync{documents: documents, peers: peers, clients: clients, gate: gate}
}

// Run synchronizes the configuration until ctx ends.
func (s *ConfigSync) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		changed := s.documents.Changed()
		if !s.gate.Tick(time.Now()) {
			s.verify(ctx)
		}
		s.announce()
		s.catchUp(ctx)
		s.refreshInMinority(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-s.peers.ConfigAnnounced():
		case <-ticker.C:
		}
	}
}

func (s *ConfigSync) announce() {
	revision := s.documents.Current().Revision
	s.peers.SetSelf(revision, s.gate.IsDraining())
	if revision > s.announced {
		s.announced = revision
		s.peers.HeartbeatNow()
	}
}

// catchUp fetches newer configuration from the live peers, the newest first. If
// none of them provides it, catchUp reads the platform.
func (s *ConfigSync) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	ahead := s.peers.PeersWithNewerConfig(time.Now())
	for _, from := range ahead {
		if from.ConfigRevision <= s.documents.Current().Revision {
			return
		}
		if s.fetch(ctx, from.Host) {
			s.announce()
			return
		}
	}
	if len(ahead) > 0 && ahead[0].ConfigRevision > s.documents.Current().Revision {
		_ = s.documents.Refresh(ctx) // retried at the next tick
	}
}

// refreshInMinority reads the platform often while less than half of the fleet is
// alive. Only a read of the platform shows whether this daemon is cut off.
func (s *ConfigSync) refreshInMinority(ctx context.Context) {
	now := time.Now()
	if !s.gate.UpdateMinority(now) || now.Before(s.nextRead) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_ = s.documents.Refresh(ctx) // the gate checks the time of the last successful read
	s.nextRead = time.Now().Add(minorityReadInterval)
}

// verify compares the configuration of a process that was paused with that of the
// platform, or with that of a peer while the platform does not respond.
func (s *ConfigSync) verify(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if s.refresh(ctx) == nil {
		s.gate.MarkVerified()
		return
	}
	for _, state := range s.peers.Live(time.Now()) {
		if state.Host.Name == s.peers.Self().Name {
			continue
		}
		update, err := s.clients.Fetch(ctx, state.Host, s.documents.Current().Revision)
		if err == nil && (len(update) == 0 || s.documents.ApplyUpdate(update) == nil) {
			s.gate.MarkVerified()
			return
		}
	}
}

// refresh reads the platform within half of stepTimeout, which leaves time to query
// the peers when the platform is slow.
func (s *ConfigSync) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout/2)
	defer cancel()
	return s.documents.Refresh(ctx)
}

// fetch takes newer configuration from one peer and reports whether the revision
// in force has advanced.
func (s *ConfigSync) fetch(ctx context.Context, from member.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	before := s.documents.Current().Revision
	update, err := s.clients.Fetch(ctx, from, before)
	if err != nil || len(update) == 0 || s.documents.ApplyUpdate(update) != nil {
		return false
	}
	return s.documents.Current().Revision > before
}

// Fetch implements PeerClients.
func (c poolClients) Fetch(ctx context.Context, from member.Host, after uint64) ([]byte, error) {
	client, err := c.pool.Client(from.PeerAddress)
	if err != nil {
		return nil, err
	}
	response, err := client.FetchConfig(ctx, &peerapi.FetchConfigRequest{After: after})
	return response.GetDocument(), err
}
