// Package edgehost is the gRPC client and server between the hosts that route on the
// users' platform. Hosts fetch from each other what they have read from the store, report
// failed and limited backend servers to each other, report and find the software versions
// that began streams, issue permits for limited servers, grant room at servers, and pass
// requests to each other.
package edgehost

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/core/streamorigin"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/tcp"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// fetchFanout is the number of hosts that are asked at once. In the worst case the
	// store rejects about a third of the hosts. At least one of three hosts then has
	// current data in nearly all cases.
	fetchFanout = 3
	// reportTimeout limits a report to another host.
	reportTimeout = time.Second
	// findTimeout limits the search for the origin of a stream, for which a caller
	// waits.
	findTimeout = 200 * time.Millisecond
	// minFollowPeriod is the least time between two updates without a change that a host asks
	// for.
	minFollowPeriod = 100 * time.Millisecond
	// bufferBytes is the size of a connection's read buffer and of its write buffer.
	// It is small because messages are few and small.
	bufferBytes = 4 << 10
	// maxHeaderBytes bounds the header fields of a response.
	maxHeaderBytes = 16 << 10
	// connectTimeout limits an attempt to connect to a host.
	connectTimeout = 500 * time.Millisecond
)

// ErrNoResponse means that no other host responded.
var ErrNoResponse = errors.New("no other host responded")

// Client calls the other hosts. It is safe for concurrent use.
type Client struct {
	// self is this host's own address for peers.
	self   netip.AddrPort
	seeds  []netip.AddrPort
	logger log.Interface

	mu          sync.Mutex
	hosts       []netip.AddrPort
	connections map[netip.AddrPort]*grpc.ClientConn
}

// NewClient returns a client that calls the seeds until SetHosts is called.
func NewClient(self netip.AddrPort, seeds []netip.AddrPort, logger log.Interface) *Client {
	return &Client{self: self, seeds: seeds, logger: logger, connections: make(map[netip.AddrPort]*grpc.ClientConn)}
}

// SetHosts sets the addresses of all hosts and closes the connections to hosts that
// are neither listed nor seeds.
func (c *Client) SetHosts(hosts []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
	for address, connection := range c.connections {
		if !slices.Contains(hosts, address) && !slices.Contains(c.seeds, address) {
			_ = connection.Close() // the host is no longer listed
			delete(c.connections, address)
		}
	}
}

// Fetch queries a few hosts for the servers and hosts that they have read from the store
// and merges their responses. position is that of the server list that this host has
// already.
func (c *Client) Fetch(ctx context.Context, position serverlist.Position) (registry.StoreView, error) {
	addresses := c.randomPeers(fetchFanout)
	responses := query(ctx, c, addresses, func(ctx context.Context, peer peerapi.EdgeClient) (*peerapi.FetchStateResponse, error) {
		return peer.FetchState(ctx, &peerapi.FetchStateRequest{ServersRevision: position.Revision, StoreEra: position.Era})
	})
	var best registry.StoreView
	hasResponse := false
	for range addresses {
		response := <-responses
		if response.err != nil {
			continue
		}
		hasResponse = true
		best = merge(best, decodeView(response.value, c.logger))
	}
	if !hasResponse {
		return best, ErrNoResponse
	}
	return best, nil
}

// merge adds the response b to a, the responses merged so far. The newer server list wins,
// and the longer host list. A response's position is that of its server list, and zero if it
// contains none.
func merge(a, b registry.StoreView) registry.StoreView {
	best := a
	if b.HasServers && a.Position.IsBefore(b.Position) {
		best.Servers, best.Position, best.HasServers = b.Servers, b.Position, true
	}
	if len(b.Hosts) > len(a.Hosts) {
		best.Hosts = b.Hosts
	}
	best.IsStoreReachable = a.IsStoreReachable || b.IsStoreReachable
	return best
}

// ReportLoss notifies all other hosts that a server failed while it ran the request
// with the given fingerprint.
func (c *Client) ReportLoss(ctx context.Context, fingerprint uint64, server string) {
	c.notifyAll(ctx, func(ctx context.Context, peer peerapi.EdgeClient) error {
		_, err := peer.ReportLoss(ctx, &peerapi.ReportLossRequest{Fingerprint: fingerprint, ServerId: server})
		return err
	})
}

// ReportReplaced notifies all other hosts that another process listens at a server's
// address.
func (c *Client) ReportReplaced(ctx context.Context, server string) {
	c.notifyAll(ctx, func(ctx context.Context, peer peerapi.EdgeClient) error {
		_, err := peer.ReportReplaced(ctx, &peerapi.ReportReplacedRequest{ServerId: server})
		return err
	})
}

// ReportOrigins reports the origins of streams to the host at address in the background.
func (c *Client) ReportOrigins(ctx context.Context, address netip.AddrPort, origins []streamorigin.Origin) {
	request := &peerapi.ReportOriginsRequest{Origins: make([]*peerapi.StreamOrigin, 0, len(origins))}
	for _, o := range origins {
		request.Origins = append(request.Origins, encodeOrigin(o))
	}
	go c.runNotify(ctx, address, func(ctx context.Context, peer peerapi.EdgeClient) error {
		_, err := peer.ReportOrigins(ctx, request)
		return err
	})
}

// FindOrigin queries the hosts at addresses for the origin of the stream that began in
// a caller's attempt, and for the software versions of its service during the window
// before now. Without addresses it queries all other hosts that are known, or the seeds.
// It returns as soon as one host has found the origin, and otherwise the merged responses
// of the hosts that responded in time.
func (c *Client) FindOrigin(ctx context.Context, addresses []netip.AddrPort, requestID, service string, window time.Duration) (streamorigin.Finding, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	if len(addresses) == 0 {
		addresses = c.otherHosts()
	}
	request := &peerapi.FindOriginRequest{RequestId: requestID, Service: service, WindowMs: encodeWindow(window)}
	responses := query(ctx, c, addresses, func(ctx context.Context, peer peerapi.EdgeClient) (*peerapi.FindOriginResponse, error) {
		return peer.FindOrigin(ctx, request)
	})
	merged := streamorigin.Finding{}
	hasResponse := false
	for range addresses {
		response := <-responses
		if response.err != nil {
			continue
		}
		hasResponse = true
		merged = merged.Merge(decodeFinding(response.value))
		if merged.IsFound {
			break
		}
	}
	if !hasResponse {
		return merged, ErrNoResponse
	}
	return merged, nil
}

// notifyAll makes a call to each other host in the background.
func (c *Client) notifyAll(ctx context.Context, call func(context.Context, peerapi.EdgeClient) error) {
	for _, address := range c.otherHosts() {
		go c.runNotify(ctx, address, call)
	}
}

func (c *Client) runNotify(ctx context.Context, address netip.AddrPort, call func(context.Context, peerapi.EdgeClient) error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	peer, err := c.edgeClient(address)
	if err == nil {
		err = call(ctx, peer)
	}
	if err != nil {
		c.logger.WithError(err).WithField("host", address.String()).Debug("report to host failed")
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close() // the process is exiting
	}
	clear(c.connections)
}

// randomPeers returns up to count other hosts in random order.
func (c *Client) randomPeers(count int) []netip.AddrPort {
	hosts := c.otherHosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}

// otherHosts returns the addresses of the other hosts, or of the seeds while no other
// host is known.
func (c *Client) otherHosts() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := c.hosts
	if len(addresses) < 2 {
		addresses = append(slices.Clone(addresses), c.seeds...)
	}
	hosts := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		if address != c.self && !slices.Contains(hosts, address) {
			hosts = append(hosts, address)
		}
	}
	return hosts
}

// edgeClient returns a client of the host at address, over a new connection if
// there is none.
func (c *Client) edgeClient(address netip.AddrPort) (peerapi.EdgeClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.connections[address]
	if !ok {
		var err error
		conn, err = dial(address, c.self.Addr())
		if err != nil {
			return nil, err
		}
		c.connections[address] = conn
	}
	return peerapi.NewEdgeClient(conn), nil
}

func dial(address netip.AddrPort, local netip.Addr) (*grpc.ClientConn, error) {
	dialer := tcp.NewDialer(local, connectTimeout)
	return grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes), grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectTimeout, Multiplier: 1.5, MaxDelay: 2 * time.Second},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithContextDialer(func(ctx context.Context, target string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", target)
		}))
}

func decodeView(response *peerapi.FetchStateResponse, logger log.Interface) registry.StoreView {
	view := registry.StoreView{
		Position: serverlist.Position{Era: response.GetStoreEra(), Revision: response.GetServersRevision()}, HasServers: len(response.GetServers()) > 0, IsStoreReachable: response.GetIsStoreReachable(),
	}
	for _, s := range response.GetServers() {
		server, err := decodeServer(s)
		if err != nil {
			logger.WithError(err).Warn("can't decode a server registration from another host; ignoring it")
			continue
		}
		view.Servers = append(view.Servers, server)
	}
	for _, text := range response.GetHosts() {
		if address, err := netip.ParseAddrPort(text); err == nil {
			view.Hosts = append(view.Hosts, address)
		} else {
			logger.WithError(err).Warn("can't parse a host address from another host; ignoring it")
		}
	}
	return view
}

func decodeServer(s *peerapi.ServerRegistration) (serverlist.Server, error) {
	address, err := netip.ParseAddrPort(s.GetAddress())
	if err != nil {
		return serverlist.Server{}, fmt.Errorf("registration of %s: %w", s.GetId(), err)
	}
	return serverlist.Server{
		ID: s.GetId(), Service: s.GetService(), Address: address, FailureDomain: s.GetFailureDomain(),
		Stage: serverlist.Stage(s.GetStage()), SoftwareVersion: s.GetSoftwareVersion(), Slots: int(s.GetSlots()), IsDraining: s.GetIsDraining(), CreateRevision: s.GetCreated(),
		StartedAt: decodeTime(s.GetStartedMs()),
	}, nil
}

func encodeOrigin(o streamorigin.Origin) *peerapi.StreamOrigin {
	return &peerapi.StreamOrigin{RequestId: o.RequestID, Service: o.Service, SoftwareVersion: o.SoftwareVersion}
}

// encodeWindow returns a window in milliseconds, rounded up so that it covers the whole
// window.
func encodeWindow(window time.Duration) uint32 {
	return uint32((window + time.Millisecond - 1) / time.Millisecond)
}

func decodeFinding(response *peerapi.FindOriginResponse) streamorigin.Finding {
	return streamorigin.Finding{
		IsFound: response.GetIsFound(), SoftwareVersion: response.GetSoftwareVersion(),
		IsSole: response.GetIsSole(), SoleVersion: response.GetSoleVersion(), IsMixed: response.GetIsMixed(),
	}
}
