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
	fetchTimeout = 2 * time.Second
)

type (
	// Documents is the configuration in force.
	Documents interface {
		Current() *config.Document
		Offer(document *config.Document)
	}

	// Announcer is the view of the fleet that configuration spreads through.
	Announcer interface {
		SetSelf(revision uint64, draining bool)
		NewestRevision(now time.Time) member.State
	}

	// ConfigSync pulls newer configuration from peers and announces what is in
	// force here.
	ConfigSync struct {
		documents Documents
		peers     Announcer
		pool      *peer.Pool
		gate      *Gate
	}
)

// NewConfigSync returns a sync.
func NewConfigSync(documents Documents, peers Announcer, pool *peer.Pool, gate *Gate) *ConfigSync {
	return &ConfigSync{documents: documents, peers: peers, pool: pool, gate: gate}
}

// Run syncs until ctx ends.
func (s *ConfigSync) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		s.peers.SetSelf(s.documents.Current().Revision, s.gate.Draining())
		if newest := s.peers.NewestRevision(time.Now()); newest.ConfigRevision > s.documents.Current().Revision {
			s.fetch(ctx, newest)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *ConfigSync) fetch(ctx context.Context, from member.State) {
	client, err := s.pool.Client(from.Host.PeerAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := client.FetchConfig(ctx, &peerapi.FetchConfigRequest{After: s.documents.Current().Revision})
	if err != nil || len(response.GetDocument()) == 0 {
		return
	}
	document, err := config.DecodeSnapshot(response.GetDocument())
	if err != nil {
		return
	}
	s.documents.Offer(document)
}
