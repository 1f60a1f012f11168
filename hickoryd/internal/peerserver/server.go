// Package peerserver serves the calls of the other daemons.
package peerserver

import (
	"context"
	"errors"
	"time"

	"github.com/hickoryfront/hickoryfront/core/backend"
	"github.com/hickoryfront/hickoryfront/core/crash"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/slot"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

type (
	// Membership handles heartbeats and probes.
	Membership interface {
		Receive(now time.Time, request *peerapi.HeartbeatRequest) *peerapi.HeartbeatResponse
		Probe(ctx context.Context, target member.Host) bool
	}

	// Slots grants the slots of the servers whose home is this daemon.
	Slots interface {
		Reserve(now time.Time, serverID string, r slot.Reservation) (backend.Load, error)
		RecordForced(now time.Time, serverID string, r slot.Reservation)
		Release(serverID, attemptID string)
		ReservePrefill(now time.Time, serverID string, p slot.Prefill) (backend.Load, error)
	}

	// Holdings returns the attempts for which this daemon holds a reservation.
	Holdings interface {
		Holder() slot.Holder
		Held(attemptIDs []string) []string
	}

	// Crashes decides about the fingerprints whose home is this daemon.
	Crashes interface {
		CheckLocal(now time.Time, fingerprint uint64) crash.Decision
		ReportLocal(now time.Time, fingerprint uint64, serverID, domain string) crash.Decision
		ReportSuccessLocal(now time.Time, fingerprint uint64)
	}

	// Config returns the update that brings a peer to the configuration in force.
	Config interface {
		UpdateAfter(now time.Time, revision uint64) ([]byte, uint64, error)
	}

	// Burn returns the service-level counters of this host in their stored form.
	Burn interface {
		EncodedSnapshot(now time.Time) ([]byte, error)
	}

	// Dependencies are the parts of the daemon that the server calls.
	Dependencies struct {
		Membership Membership
		Slots      Slots
		Holdings   Holdings
		Claims     Claims
		Crashes    Crashes
		Config     Config
		Burn       Burn
		Recordings Recordings
		Prefixes   Prefixes
	}

	// Server implements the Peer service.
	Server struct {
		peerapi.UnimplementedPeerServer
		membership Membership
		slots      Slots
		holdings   Holdings
		claims     Claims
		crashes    Crashes
		config     Config
		burn       Burn
		recordings Recordings
		prefixes   Prefixes
	}
)

// New returns a server.
func New(dependencies Dependencies) *Server {
	return &Server{
		membership: dependencies.Membership,
		slots:      dependencies.Slots,
		holdings:   dependencies.Holdings,
		claims:     dependencies.Claims,
		crashes:    dependencies.Crashes,
		config:     dependencies.Config,
		burn:       dependencies.Burn,
		recordings: dependencies.Recordings,
		prefixes:   dependencies.Prefixes,
	}
}

// Heartbeat implements the Peer service.
func (s *Server) Heartbeat(_ context.Context, request *peerapi.HeartbeatRequest) (*peerapi.HeartbeatResponse, error) {
	return s.membership.Receive(time.Now(), request), nil
}

// Probe implements the Peer service.
func (s *Server) Probe(ctx context.Context, request *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	return &peerapi.ProbeResponse{Reached: s.membership.Probe(ctx, peer.HostFromWire(request.GetTarget()))}, nil
}

// Reserve implements the Peer service.
func (s *Server) Reserve(_ context.Context, request *peerapi.ReserveRequest) (*peerapi.ReserveResponse, error) {
	now := time.Now()
	if request.GetPrefill() != nil {
		load, err := s.slots.ReservePrefill(now, request.GetServerId(), peer.PrefillFromWire(request))
		return &peerapi.ReserveResponse{Outcome: reserveOutcome(err), Load: peer.LoadToWire(load)}, nil
	}
	r := peer.ReservationFromWire(now, request)
	if request.GetForced() {
		s.slots.RecordForced(now, request.GetServerId(), r)
		return &peerapi.ReserveResponse{Outcome: peerapi.ReserveResponse_OUTCOME_GRANTED}, nil
	}
	load, err := s.slots.Reserve(now, request.GetServerId(), r)
	return &peerapi.ReserveResponse{
		Outcome: reserveOutcome(err),
		Load:    peer.LoadToWire(load),
	}, nil
}

// Release implements the Peer service.
func (s *Server) Release(_ context.Context, request *peerapi.ReleaseRequest) (*peerapi.ReleaseResponse, error) {
	s.slots.Release(request.GetServerId(), request.GetRequestId())
	return &peerapi.ReleaseResponse{}, nil
}

// ConfirmHeld implements the Peer service.
func (s *Server) ConfirmHeld(_ context.Context, request *peerapi.ConfirmHeldRequest) (*peerapi.ConfirmHeldResponse, error) {
	holder := s.holdings.Holder()
	return &peerapi.ConfirmHeldResponse{
		Holder: &peerapi.Host{Name: holder.Host, Incarnation: holder.Incarnation},
		Held:   s.holdings.Held(request.GetRequestIds()),
	}, nil
}

// FetchConfig implements the Peer service.
func (s *Server) FetchConfig(_ context.Context, request *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error) {
	update, revision, err := s.config.UpdateAfter(time.Now(), request.GetAfter())
	if err != nil {
		return nil, err
	}
	return &peerapi.FetchConfigResponse{Revision: revision, Document: update}, nil
}

// Burn implements the Peer service.
func (s *Server) Burn(context.Context, *peerapi.BurnRequest) (*peerapi.BurnResponse, error) {
	data, err := s.burn.EncodedSnapshot(time.Now())
	if err != nil {
		return nil, err
	}
	return &peerapi.BurnResponse{Snapshot: data}, nil
}

// ReportCrash implements the Peer service.
func (s *Server) ReportCrash(_ context.Context, request *peerapi.ReportCrashRequest) (*peerapi.ReportCrashResponse, error) {
	now := time.Now()
	if request.GetSurvived() {
		s.crashes.ReportSuccessLocal(now, request.GetFingerprint())
		return &peerapi.ReportCrashResponse{}, nil
	}
	decision := s.crashes.ReportLocal(now, request.GetFingerprint(), request.GetServerId(), request.GetFailureDomain())
	return &peerapi.ReportCrashResponse{Refused: decision == crash.Refuse}, nil
}

// CheckFingerprint implements the Peer service.
func (s *Server) CheckFingerprint(_ context.Context, request *peerapi.CheckFingerprintRequest) (*peerapi.CheckFingerprintResponse, error) {
	decision := s.crashes.CheckLocal(time.Now(), request.GetFingerprint())
	return &peerapi.CheckFingerprintResponse{Refused: decision == crash.Refuse, Isolate: decision == crash.Isolate}, nil
}

func reserveOutcome(err error) peerapi.ReserveResponse_Outcome {
	switch {
	case err == nil:
		return peerapi.ReserveResponse_OUTCOME_GRANTED
	case errors.Is(err, slot.ErrFull):
		return peerapi.ReserveResponse_OUTCOME_FULL
	case errors.Is(err, slot.ErrLeaving):
		return peerapi.ReserveResponse_OUTCOME_LEAVING
	case errors.Is(err, slot.ErrServerUnreachable):
		return peerapi.ReserveResponse_OUTCOME_UNREACHABLE
	case errors.Is(err, slot.ErrBacklog):
		return peerapi.ReserveResponse_OUTCOME_BACKLOG
	}
	return peerapi.ReserveResponse_OUTCOME_NOT_HOME
}
