package edgehost

import (
	"context"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

type (
	// Source is what this host knows of the store.
	Source interface {
		Knowledge(now time.Time, version, revision uint64) registry.StoreView
	}

	// Losses takes reports of servers that were lost with a request in flight, and
	// of servers whose address another process has.
	Losses interface {
		ReportLoss(now time.Time, fingerprint uint64, server string)
		ReportReplaced(now time.Time, server string)
	}

	// Server answers the other hosts.
	Server struct {
		peerapi.UnimplementedEdgeServer
		source Source
		losses Losses
	}
)

// NewServer returns a server that answers from source.
func NewServer(source Source, losses Losses) *Server {
	return &Server{source: source, losses: losses}
}

// FetchState implements peerapi.EdgeServer.
func (s *Server) FetchState(_ context.Context, request *peerapi.FetchStateRequest) (*peerapi.FetchStateResponse, error) {
	known := s.source.Knowledge(time.Now(), request.GetConfigVersion(), request.GetServersRevision())
	answer := &peerapi.FetchStateResponse{
		Configuration: known.Document, ServersRevision: known.Revision, IsStoreReachable: known.IsStoreReachable,
	}
	for _, server := range known.Servers {
		answer.Servers = append(answer.Servers, encodeServer(server))
	}
	for _, host := range known.Hosts {
		answer.Hosts = append(answer.Hosts, host.String())
	}
	return answer, nil
}

// ReportLoss implements peerapi.EdgeServer.
func (s *Server) ReportLoss(_ context.Context, request *peerapi.ReportLossRequest) (*peerapi.ReportLossResponse, error) {
	s.losses.ReportLoss(time.Now(), request.GetFingerprint(), request.GetServerId())
	return &peerapi.ReportLossResponse{}, nil
}

// ReportReplaced implements peerapi.EdgeServer.
func (s *Server) ReportReplaced(_ context.Context, request *peerapi.ReportReplacedRequest) (*peerapi.ReportReplacedResponse, error) {
	s.losses.ReportReplaced(time.Now(), request.GetServerId())
	return &peerapi.ReportReplacedResponse{}, nil
}

func encodeServer(s serverlist.Server) *peerapi.ServerRegistration {
	return &peerapi.ServerRegistration{
		Id: s.ID, Service: s.Service, Address: s.Address.String(), FailureDomain: s.FailureDomain,
		Stage: string(s.Stage), Slots: int32(s.Slots), IsDraining: s.IsDraining, Created: s.CreateRevision,
	}
}
