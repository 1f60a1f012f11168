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
	// catchUpTimeout bounds each step of the loop, so that a few of them stay
	// below the gate's limit for a stalled process.
	catchUpTimeout = 1500 * time.Millisecond
	// minorityReads is the time between reads of the platform while most peers
	// are gone.
	minorityReads = 2 * time.Second
)

type (
	// Documents is the configuration in force.
	Documents interface {
		Current() *config.Document
		Changed() <-chan struct{}
		Offer(update []byte) error
		Refresh(ctx context.Context) error
	}

	// Announcer is the view of the fleet that configuration spreads through.
	Announcer interface {
		SetSelf(revision uint64, draining bool)
		Self() member.Host
		Live(now time.Time) []member.State
		Newest(now time.Time) []member.State
		News() <-chan struct{}
		Hurry()
	}

	// PeerClients connects to the other daemons.
	PeerClients interface {
		Fetch(ctx context.Context, from member.Host, after uint64) ([]byte, error)
	}

	// ConfigSync pulls newer configuration from peers and announces what is in
	// force here, at once when it changes.
	ConfigSync struct {
		documents Documents
		peers     Announcer
		clients   PeerClients
		gate      *Gate
		announced uint64
		nextRead  time.Time // of a minority
	}

	// poolClients fetches over the daemon's connections.
	poolClients struct {
		pool *peer.Pool
	}
)

// NewConfigSync returns a sync.
func NewConfigSync(documents Documents, peers Announcer, clients PeerClients, gate *Gate) *ConfigSync {
	return &ConfigSync{documents: documents, peers: peers, clients: clients, gate: gate}
}

// Run syncs until ctx ends.
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
		s.readAsMinority(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-s.peers.News():
		case <-ticker.C:
		}
	}
}

func (s *ConfigSync) announce() {
	revision := s.documents.Current().Revision
	s.peers.SetSelf(revision, s.gate.IsDraining())
	if revision > s.announced {
		s.announced = revision
		s.peers.Hurry()
	}
}

// catchUp fetches what live peers have and this daemon lacks. When none of
// them answers, the platform is asked.
func (s *ConfigSync) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	ahead := s.peers.Newest(time.Now())
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
		_ = s.documents.Refresh(ctx) // tried again at the next tick
	}
}

// readAsMinority reads the platform often while most peers are gone: only that
// tells whether this daemon is cut off.
func (s *ConfigSync) readAsMinority(ctx context.Context) {
	now := time.Now()
	if !s.gate.UpdateMinority(now) || now.Before(s.nextRead) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	_ = s.documents.Refresh(ctx) // the gate sees when it was last read
	s.nextRead = time.Now().Add(minorityReads)
}

// verify compares the configuration of a process that was paused with the
// platform's, or with a peer's while the platform does not answer.
func (s *ConfigSync) verify(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
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
		if err == nil && (len(update) == 0 || s.documents.Offer(update) == nil) {
			s.gate.MarkVerified()
			return
		}
	}
}

// refresh leaves time for the peers when the platform is slow.
func (s *ConfigSync) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout/2)
	defer cancel()
	return s.documents.Refresh(ctx)
}

func (s *ConfigSync) fetch(ctx context.Context, from member.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	before := s.documents.Current().Revision
	update, err := s.clients.Fetch(ctx, from, before)
	if err != nil || len(update) == 0 || s.documents.Offer(update) != nil {
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
