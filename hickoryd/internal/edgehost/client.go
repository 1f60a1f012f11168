// Package edgehost speaks to the other hosts that route on the users' platform.
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
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/registry"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// fetchFrom is the number of hosts that are asked at once: the store turns
	// about a third of the hosts away at the worst, so that one of three knows.
	fetchFrom = 3
	// reportTimeout is the longest wait for a host that is told of a loss.
	reportTimeout = time.Second
	// buffer is the size of a connection's read and write buffers in bytes:
	// messages are few and small.
	buffer = 4 << 10
	// connectTimeout is the longest wait for a connection to a host.
	connectTimeout = 500 * time.Millisecond
)

// ErrNoHost means that no other host answered.
var ErrNoHost = errors.New("no other host answers")

// Client calls the other hosts. It is safe for concurrent use.
type Client struct {
	self   netip.AddrPort
	seeds  []netip.AddrPort
	logger log.Interface

	mu          sync.Mutex
	hosts       []netip.AddrPort
	connections map[netip.AddrPort]*grpc.ClientConn
}

// NewClient returns a client that knows the seeds only.
func NewClient(self netip.AddrPort, seeds []netip.AddrPort, logger log.Interface) *Client {
	return &Client{self: self, seeds: seeds, logger: logger, connections: make(map[netip.AddrPort]*grpc.ClientConn)}
}

// SetHosts tells which hosts there are and closes connections to all others.
func (c *Client) SetHosts(hosts []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
	for address, connection := range c.connections {
		if !slices.Contains(hosts, address) && !slices.Contains(c.seeds, address) {
			_ = connection.Close() // the host has left
			delete(c.connections, address)
		}
	}
}

// Fetch asks a few hosts for what they know and returns the newest answer.
func (c *Client) Fetch(ctx context.Context, version, revision uint64) (registry.StoreView, error) {
	asked := c.some(fetchFrom)
	answers := make(chan *peerapi.FetchStateResponse, len(asked))
	for _, address := range asked {
		go c.runFetch(ctx, address, version, revision, answers)
	}
	var best registry.StoreView
	isAnswered := false
	for range asked {
		answer := <-answers
		if answer == nil {
			continue
		}
		isAnswered = true
		best = newer(best, decodeKnowledge(answer, c.logger))
	}
	if !isAnswered {
		return best, ErrNoHost
	}
	return best, nil
}

// newer joins two answers: the documents are as new as the store's at the time
// that it answered, so the later revision wins.
func newer(a, b registry.StoreView) registry.StoreView {
	best := a
	if b.HasServers && b.Revision > a.Revision {
		best.Servers, best.Revision, best.HasServers = b.Servers, b.Revision, true
	}
	if b.Document != nil && (a.Document == nil || b.Revision >= a.Revision) {
		best.Document = b.Document
	}
	if len(b.Hosts) > len(a.Hosts) {
		best.Hosts = b.Hosts
	}
	best.IsStoreReachable = a.IsStoreReachable || b.IsStoreReachable
	return best
}

func (c *Client) runFetch(ctx context.Context, address netip.AddrPort, version, revision uint64, answers chan<- *peerapi.FetchStateResponse) {
	answer, err := c.fetch(ctx, address, version, revision)
	if err != nil {
		c.logger.WithError(err).WithField("host", address.String()).Debug("host does not answer")
	}
	answers <- answer
}

func (c *Client) fetch(ctx context.Context, address netip.AddrPort, version, revision uint64) (*peerapi.FetchStateResponse, error) {
	peer, err := c.connection(address)
	if err != nil {
		return nil, err
	}
	return peer.FetchState(ctx, &peerapi.FetchStateRequest{ConfigVersion: version, ServersRevision: revision})
}

// ReportLoss tells all hosts that a server was lost while it ran a request.
func (c *Client) ReportLoss(ctx context.Context, fingerprint uint64, server string) {
	c.tellAll(ctx, func(ctx context.Context, peer peerapi.EdgeClient) error {
		_, err := peer.ReportLoss(ctx, &peerapi.ReportLossRequest{Fingerprint: fingerprint, ServerId: server})
		return err
	})
}

// ReportReplaced tells all hosts that another process has a server's address.
func (c *Client) ReportReplaced(ctx context.Context, server string) {
	c.tellAll(ctx, func(ctx context.Context, peer peerapi.EdgeClient) error {
		_, err := peer.ReportReplaced(ctx, &peerapi.ReportReplacedRequest{ServerId: server})
		return err
	})
}

// tellAll makes a call at all other hosts, without waiting for them.
func (c *Client) tellAll(ctx context.Context, call func(context.Context, peerapi.EdgeClient) error) {
	for _, address := range c.others() {
		go c.runTell(ctx, address, call)
	}
}

func (c *Client) runTell(ctx context.Context, address netip.AddrPort, call func(context.Context, peerapi.EdgeClient) error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	peer, err := c.connection(address)
	if err == nil {
		err = call(ctx, peer)
	}
	if err != nil {
		c.logger.WithError(err).WithField("host", address.String()).Debug("host not told")
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close() // the process ends
	}
	clear(c.connections)
}

// some returns up to count other hosts in random order.
func (c *Client) some(count int) []netip.AddrPort {
	hosts := c.others()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}

// others returns the other hosts, or the seeds while none are known.
func (c *Client) others() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.hosts
	if len(known) < 2 {
		known = append(slices.Clone(known), c.seeds...)
	}
	hosts := make([]netip.AddrPort, 0, len(known))
	for _, address := range known {
		if address != c.self && !slices.Contains(hosts, address) {
			hosts = append(hosts, address)
		}
	}
	return hosts
}

func (c *Client) connection(address netip.AddrPort) (peerapi.EdgeClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.connections[address]
	if !ok {
		var err error
		held, err = dial(address, c.self.Addr())
		if err != nil {
			return nil, err
		}
		c.connections[address] = held
	}
	return peerapi.NewEdgeClient(held), nil
}

func dial(address netip.AddrPort, local netip.Addr) (*grpc.ClientConn, error) {
	dialer := &net.Dialer{Timeout: connectTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
	return grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(buffer), grpc.WithWriteBufferSize(buffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectTimeout, Multiplier: 1.5, MaxDelay: 2 * time.Second},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithContextDialer(func(ctx context.Context, target string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", target)
		}))
}

func decodeKnowledge(answer *peerapi.FetchStateResponse, logger log.Interface) registry.StoreView {
	known := registry.StoreView{
		Revision: answer.GetServersRevision(), HasServers: len(answer.GetServers()) > 0, IsStoreReachable: answer.GetIsStoreReachable(),
	}
	if len(answer.GetConfiguration()) > 0 {
		known.Document = answer.GetConfiguration()
	}
	for _, s := range answer.GetServers() {
		server, err := decodeServer(s)
		if err != nil {
			logger.WithError(err).Warn("registration of another host passed over")
			continue
		}
		known.Servers = append(known.Servers, server)
	}
	for _, text := range answer.GetHosts() {
		if address, err := netip.ParseAddrPort(text); err == nil {
			known.Hosts = append(known.Hosts, address)
		} else {
			logger.WithError(err).Warn("host address passed over")
		}
	}
	return known
}

func decodeServer(s *peerapi.ServerRegistration) (serverlist.Server, error) {
	address, err := netip.ParseAddrPort(s.GetAddress())
	if err != nil {
		return serverlist.Server{}, fmt.Errorf("registration of %s: %w", s.GetId(), err)
	}
	return serverlist.Server{
		ID: s.GetId(), Service: s.GetService(), Address: address, FailureDomain: s.GetFailureDomain(),
		Stage: serverlist.Stage(s.GetStage()), Slots: int(s.GetSlots()), IsDraining: s.GetIsDraining(), CreateRevision: s.GetCreated(),
	}, nil
}
