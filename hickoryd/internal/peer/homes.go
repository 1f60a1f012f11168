package peer

import (
	"context"
	"encoding/json"
	"fmt"

	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// maxListingBytes bounds the response of one daemon that is asked for its grants.
const maxListingBytes = 64 << 20

// HomeClient calls the other homes of idempotency keys.
type HomeClient struct {
	self member.Host
	pool *Pool
}

// NewHomeClient returns a client that calls other homes on behalf of self.
func NewHomeClient(self member.Host, pool *Pool) *HomeClient {
	return &HomeClient{self: self, pool: pool}
}

// ListGrants queries a host for its grants of the keys whose home is this daemon in
// the given epoch. If the host's epoch is newer, ListGrants returns that epoch
// instead of grants.
func (h *HomeClient) ListGrants(ctx context.Context, host member.Host, epoch claim.Epoch) (claim.Listing, *claim.Epoch, error) {
	record, err := json.Marshal(epoch)
	if err != nil {
		return claim.Listing{}, nil, err
	}
	client, err := h.pool.Client(host.PeerAddress)
	if err != nil {
		return claim.Listing{}, nil, err
	}
	response, err := client.ListGrants(ctx, &peerapi.ListGrantsRequest{Epoch: epoch.Number, Asker: HostToWire(h.self), EpochRecord: record},
		grpc.MaxCallRecvMsgSize(maxListingBytes))
	if err != nil {
		return claim.Listing{}, nil, err
	}
	if newer, err := EpochFromWire(response.GetEpochRecord()); newer != nil || err != nil {
		return claim.Listing{}, newer, err
	}
	listing := claim.Listing{Daemon: DaemonFromWire(response.GetResponder()), Epoch: epoch.Number, Grants: GrantsFromWire(response.GetGrants())}
	for _, f := range response.GetFlags() {
		listing.Modes = append(listing.Modes, MemberModeFromWire(f))
	}
	return listing, nil, nil
}

// Witness asks another home to record a mode and grants. If the other home has not
// recorded them, Witness returns the epoch in force there.
func (h *HomeClient) Witness(ctx context.Context, host member.Host, epoch uint64, mode claim.MemberMode, grants []claim.Grant) (*claim.Epoch, error) {
	client, err := h.pool.Client(host.PeerAddress)
	if err != nil {
		return nil, err
	}
	response, err := client.Witness(ctx, &peerapi.WitnessRequest{Epoch: epoch, Flag: MemberModeToWire(mode), Grants: GrantsToWire(grants)})
	if err != nil || response.GetRecorded() {
		return nil, err
	}
	newer, err := EpochFromWire(response.GetEpochRecord())
	if err == nil && newer == nil {
		err = fmt.Errorf("host %q neither recorded the grants nor returned its claim epoch", host.Name)
	}
	return newer, err
}

// EpochFromWire decodes an epoch from its stored form. It returns nil if there is
// no data.
func EpochFromWire(data []byte) (*claim.Epoch, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var epoch claim.Epoch
	if err := json.Unmarshal(data, &epoch); err != nil {
		return nil, fmt.Errorf("claim epoch: %w", err)
	}
	return &epoch, nil
}
