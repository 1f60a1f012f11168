package edgehost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// Follow receives the updates of the host at address until it can't be followed, ctx ends or
// receive fails. The error is never nil.
func (c *Client) Follow(ctx context.Context, address netip.AddrPort, position serverlist.Position, period time.Duration, receive func(registry.Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peer, err := c.edgeClient(address)
	if err != nil {
		return err
	}
	stream, err := peer.Follow(ctx, &peerapi.FollowRequest{ServersRevision: position.Revision, StoreEra: position.Era, PeriodMs: period.Milliseconds()})
	if err != nil {
		return err
	}
	for {
		response, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%w: %s has ended the updates", ErrNoResponse, address)
		}
		if err != nil {
			return err
		}
		if err := receive(c.decodeUpdate(response)); err != nil {
			return err
		}
	}
}

func (c *Client) decodeUpdate(response *peerapi.FollowResponse) registry.Update {
	update := registry.Update{
		StoreAge: time.Duration(response.GetStoreAgeMs()) * time.Millisecond, IsComplete: response.GetIsComplete(),
		Position:      serverlist.Position{Era: response.GetStoreEra(), Revision: response.GetServersRevision()},
		ConfigVersion: response.GetConfigVersion(), Refusals: response.GetRefusals(),
	}
	for _, s := range response.GetServers() {
		if server, err := decodeServer(s); err == nil {
			update.Servers = append(update.Servers, server)
		} else {
			c.logger.WithError(err).Warn("can't decode a server registration from another host; ignoring it")
		}
	}
	for _, change := range response.GetChanges() {
		next := serverlist.Change{ID: change.GetServerId(), Revision: change.GetRevision()}
		if s := change.GetServer(); s != nil {
			server, err := decodeServer(s)
			if err != nil {
				c.logger.WithError(err).Warn("can't decode a server registration from another host; ignoring it")
				continue
			}
			next.Server = &server
		}
		update.Changes = append(update.Changes, next)
	}
	return update
}

// Follow implements peerapi.EdgeServer.
func (s *Server) Follow(request *peerapi.FollowRequest, stream grpc.ServerStreamingServer[peerapi.FollowResponse]) error {
	position := serverlist.Position{Era: request.GetStoreEra(), Revision: request.GetServersRevision()}
	period := max(time.Duration(request.GetPeriodMs())*time.Millisecond, minFollowPeriod)
	return s.source.Follow(stream.Context(), position, period, func(update registry.Update) error {
		return stream.Send(encodeUpdate(update))
	})
}

func encodeUpdate(update registry.Update) *peerapi.FollowResponse {
	response := &peerapi.FollowResponse{
		StoreAgeMs: update.StoreAge.Milliseconds(), IsComplete: update.IsComplete, ServersRevision: update.Position.Revision, StoreEra: update.Position.Era,
		ConfigVersion: update.ConfigVersion, Refusals: update.Refusals,
	}
	for _, server := range update.Servers {
		response.Servers = append(response.Servers, encodeServer(server))
	}
	for _, change := range update.Changes {
		next := &peerapi.ServerChange{ServerId: change.ID, Revision: change.Revision}
		if change.Server != nil {
			next.Server = encodeServer(*change.Server)
		}
		response.Changes = append(response.Changes, next)
	}
	return response
}
