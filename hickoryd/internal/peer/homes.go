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

// maxListing bounds the answer of one daemon that is asked for its grants.
const maxListing = 64 << 20

// HomeClient speaks to the other homes of keys.
type HomeClient struct {
	self member.Host
	pool *Pool
}

// NewHomeClient returns a client of the other homes.
func NewHomeClient(self member.Host, pool *Pool) *HomeClient {
	return &HomeClient{self: self, pool: pool}
}

// ListGrants asks a daemon for the grants of the keys whose home is this daemon
// in an epoch. It returns the daemon's epoch instead when that is newer.
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
		grpc.MaxCallRecvMsgSize(maxListing))
	if err != nil {
		return claim.Listing{}, nil, err
	}
	if newer, err := EpochFromWire(response.GetEpochRecord()); newer != nil || err != nil {
		return claim.Listing{}, newer, err
	}
	listing := claim.Listing{Owner: OwnerFromWire(response.GetResponder()), Epoch: epoch.Number, Grants: GrantsFromWire(response.GetGrants())}
	for _, f := range response.GetFlags() {
		listing.Modes = append(listing.Modes, MemberModeFromWire(f))
	}
	return listing, nil, nil
}

// Witness tells another home a mode and grants. It returns the epoch in force
// there when they were not recorded.
func (h *HomeClient) Witness(ctx context.Context, host member.Host, epoch uint64, flag claim.MemberMode, grants []claim.Grant) (*claim.Epoch, error) {
	client, err := h.pool.Client(host.PeerAddress)
	if err != nil {
		return nil, err
	}
	response, err := client.Witness(ctx, &peerapi.WitnessRequest{Epoch: epoch, Flag: MemberModeToWire(flag), Grants: GrantsToWire(grants)})
	if err != nil || response.GetRecorded() {
		return nil, err
	}
	newer, err := EpochFromWire(response.GetEpochRecord())
	if err == nil && newer == nil {
		err = fmt.Errorf("host %q recorded nothing", host.Name)
	}
	return newer, err
}

// EpochFromWire reads an epoch in its stored form. No data is a nil epoch.
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
