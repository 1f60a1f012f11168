package edgehost

import (
	"context"
	"time"

	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

type (
	// Source holds what this host has read from the store.
	Source interface {
		// ViewSince returns the hosts, and the servers if their list is newer than the
		// given position.
		ViewSince(now time.Time, position serverlist.Position) registry.StoreView
		// Configuration returns the version and the document of the configuration in
		// force, or 0 and nil before the first one. The caller must not modify the document.
		Configuration() (version uint64, document []byte)
		// Follow sends updates of what this host reads from the store to a host that has the
		// servers up to position, at least one each period.
		Follow(ctx context.Context, position serverlist.Position, period time.Duration, send func(registry.Update) error) error
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

	// OriginReceiver receives the origins of streams that other hosts began, and
	// finds those that it knows.
	OriginReceiver interface {
		// ReportOrigins receives the origins of streams.
		ReportOrigins(now time.Time, origins []streamorigin.Origin)
		// FindOrigin returns what this host knows of the origin of the stream that
		// began in a caller's attempt, and of the software versions of its service
		// during the window before now.
		FindOrigin(now time.Time, requestID, service string, window time.Duration) streamorigin.Finding
	}

	// QuarantineReceiver receives the other hosts' reports about prompt parts that crash
	// servers, and tells which parts servers have begun to answer.
	QuarantineReceiver interface {
		// ReportPartLoss receives a report that a server failed before it began to answer
		// a request.
		ReportPartLoss(now time.Time, loss crash.PartLoss)
		// ReportRefusal receives a report that requests are refused, or not any more.
		ReportRefusal(now time.Time, refusal crash.PartRefusal, isLifted bool)
		// FindStarts returns the time since a server last began to answer a request with
		// each of the parts, for those of which this host has seen one.
		FindStarts(now time.Time, service string, parts []string) map[string]time.Duration
	}

	// Receivers are what serves the calls of the other hosts. The calls of those that are nil
	// are unimplemented; Source, Reports, Limits and Relays are required. Without Routes, relayed
	// requests are served as the other hosts have identified them.
	Receivers struct {
		Source     Source
		Reports    ReportReceiver
		Origins    OriginReceiver
		Quarantine QuarantineReceiver
		Limits     LimitReceiver
		Quotas     QuotaReceiver
		Rooms      RoomReceiver
		Relays     RelayDispatcher
		Routes     RelayRoutes
	}

	// Server serves the calls of the other hosts.
	Server struct {
		peerapi.UnimplementedEdgeServer
		source     Source
		receiver   ReportReceiver
		origins    OriginReceiver
		quarantine QuarantineReceiver
		limits     LimitReceiver
		quotas     QuotaReceiver
		rooms      RoomReceiver
		relays     *relays
	}
)

// NewServer returns a server that passes the calls of other hosts to r.
func NewServer(r Receivers) *Server {
	return &Server{
		source: r.Source, receiver: r.Reports, origins: r.Origins, quarantine: r.Quarantine, limits: r.Limits,
		quotas: r.Quotas, rooms: r.Rooms, relays: &relays{dispatcher: r.Relays, routes: r.Routes},
	}
}

// FetchState implements peerapi.EdgeServer.
func (s *Server) FetchState(_ context.Context, request *peerapi.FetchStateRequest) (*peerapi.FetchStateResponse, error) {
	view := s.source.ViewSince(time.Now(), serverlist.Position{Era: request.GetStoreEra(), Revision: request.GetServersRevision()})
	response := &peerapi.FetchStateResponse{
		ServersRevision: view.Position.Revision, StoreEra: view.Position.Era, IsStoreReachable: view.IsStoreReachable,
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

// ReportOrigins implements peerapi.EdgeServer.
func (s *Server) ReportOrigins(ctx context.Context, request *peerapi.ReportOriginsRequest) (*peerapi.ReportOriginsResponse, error) {
	if s.origins == nil {
		return s.UnimplementedEdgeServer.ReportOrigins(ctx, request)
	}
	origins := make([]streamorigin.Origin, 0, len(request.GetOrigins()))
	for _, o := range request.GetOrigins() {
		origins = append(origins, decodeOrigin(o))
	}
	s.origins.ReportOrigins(time.Now(), origins)
	return &peerapi.ReportOriginsResponse{}, nil
}

// FindOrigin implements peerapi.EdgeServer.
func (s *Server) FindOrigin(ctx context.Context, request *peerapi.FindOriginRequest) (*peerapi.FindOriginResponse, error) {
	if s.origins == nil {
		return s.UnimplementedEdgeServer.FindOrigin(ctx, request)
	}
	window := time.Duration(request.GetWindowMs()) * time.Millisecond
	return encodeFinding(s.origins.FindOrigin(time.Now(), request.GetRequestId(), request.GetService(), window)), nil
}

func decodeOrigin(o *peerapi.StreamOrigin) streamorigin.Origin {
	return streamorigin.Origin{RequestID: o.GetRequestId(), Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()}
}

func encodeFinding(f streamorigin.Finding) *peerapi.FindOriginResponse {
	return &peerapi.FindOriginResponse{
		IsFound: f.IsFound, SoftwareVersion: f.SoftwareVersion, IsSole: f.IsSole, SoleVersion: f.SoleVersion, IsMixed: f.IsMixed,
	}
}

func encodeServer(s serverlist.Server) *peerapi.ServerRegistration {
	return &peerapi.ServerRegistration{
		Id: s.ID, Service: s.Service, Address: s.Address.String(), FailureDomain: s.FailureDomain,
		Stage: string(s.Stage), Slots: int32(s.Slots), IsDraining: s.IsDraining, Created: s.CreateRevision,
		SoftwareVersion: s.SoftwareVersion, StartedMs: encodeTime(s.StartedAt),
	}
}
