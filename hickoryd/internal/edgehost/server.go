package edgehost

import (
	"context"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

type (
	// Source holds what this host has read from the store.
	Source interface {
		// ViewSince returns what is newer than the given version of the configuration
		// and the given revision of the server list.
		ViewSince(now time.Time, version, revision uint64) registry.StoreView
	}

	// ReportReceiver receives the other hosts' reports about failed servers.
	ReportReceiver interface {
		// ReportLoss receives a report that a server failed while it ran the request
		// with the given fingerprint.
		ReportLoss(now time.Time, fingerprint uint64, server string)
		// ReportReplaced receives a report that another process listens at a server's
		// address.
		ReportReplaced(now time.Time, server string)
	}

	// Server serves the calls of the other hosts.
	Server struct {
		peerapi.UnimplementedEdgeServer
		source   Source
		receiver ReportReceiver
	}
)

// NewServer returns a server that responds from source and passes reports to receiver.
func NewServer(source Source, receiver ReportReceiver) *Server {
	return &Server{source: source, receiver: receiver}
}

// FetchState implements peerapi.EdgeServer.
func (s *Server) FetchState(_ context.Context, request *peerapi.FetchStateRequest) (*peerapi.FetchStateResponse, error) {
	view := s.source.ViewSince(time.Now(), request.GetConfigVersion(), request.GetServersRevision())
	response := &peerapi.FetchStateResponse{
		Configuration: view.Document, ServersRevision: view.Revision, IsStoreReachable: view.IsStoreReachable,
	}
	for _, server := range view.Servers {
		response.Servers = append(response.Servers, encodeServer(server))
	}
	for _, host := range view.Hosts {
		response.Hosts = append(response.Hosts, host.String())
	}
	return response, nil
}

// ReportLoss implements peerapi.EdgeServer.
func (s *Server) ReportLoss(_ context.Context, request *peerapi.ReportLossRequest) (*peerapi.ReportLossResponse, error) {
	s.receiver.ReportLoss(time.Now(), request.GetFingerprint(), request.GetServerId())
	return &peerapi.ReportLossResponse{}, nil
}

// ReportReplaced implements peerapi.EdgeServer.
func (s *Server) ReportReplaced(_ context.Context, request *peerapi.ReportReplacedRequest) (*peerapi.ReportReplacedResponse, error) {
	s.receiver.ReportReplaced(time.Now(), request.GetServerId())
	return &peerapi.ReportReplacedResponse{}, nil
}

func encodeServer(s serverlist.Server) *peerapi.ServerRegistration {
	return &peerapi.ServerRegistration{
		Id: s.ID, Service: s.Service, Address: s.Address.String(), FailureDomain: s.FailureDomain,
		Stage: string(s.Stage), Slots: int32(s.Slots), IsDraining: s.IsDraining, Created: s.CreateRevision,
		SoftwareVersion: s.SoftwareVersion,
	}
}
