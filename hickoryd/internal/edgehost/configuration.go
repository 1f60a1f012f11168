package edgehost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/hickoryfront/hickoryfront/peerapi"
)

const (
	// versionTimeout limits the query for the version of another host's configuration.
	versionTimeout = 250 * time.Millisecond
	// partBytes is the size of the parts of a document.
	partBytes = 32 << 10
	// partTimeout limits the wait for the next part of a document. An entire document
	// has no limit: a large one takes seconds over a slow link.
	partTimeout = time.Second
)

// FetchConfiguration queries a few hosts for the version of the configuration that they
// have in force, and fetches the newest document from its host. It returns nil if none of
// them has a version above the given one.
func (c *Client) FetchConfiguration(ctx context.Context, version uint64) ([]byte, error) {
	address, newest, err := c.newestVersion(ctx)
	if err != nil || newest <= version {
		return nil, err
	}
	return c.FetchConfigurationFrom(ctx, address, version)
}

// FetchConfigurationFrom fetches the document that the host at address has in force. It returns
// nil if that is no newer than version.
func (c *Client) FetchConfigurationFrom(ctx context.Context, address netip.AddrPort, version uint64) ([]byte, error) {
	document, err := c.fetchDocument(ctx, address, version)
	if err != nil {
		return nil, fmt.Errorf("fetch configuration from %s, %d bytes so far: %w", address, len(document), err)
	}
	return document, nil
}

// newestVersion queries a few hosts and returns the highest version and its host.
func (c *Client) newestVersion(ctx context.Context) (address netip.AddrPort, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	addresses := c.randomPeers(fetchFanout)
	responses := query(ctx, c, addresses, func(ctx context.Context, peer peerapi.EdgeClient) (*peerapi.FetchVersionResponse, error) {
		return peer.FetchVersion(ctx, &peerapi.FetchVersionRequest{})
	})
	hasResponse := false
	for range addresses {
		response := <-responses
		if response.err != nil {
			continue
		}
		hasResponse = true
		if newer := response.value.GetConfigVersion(); newer > version {
			address, version = response.address, newer
		}
	}
	if !hasResponse {
		return address, version, ErrNoResponse
	}
	return address, version, nil
}

// fetchDocument fetches a document. With an error it returns the part that has arrived.
func (c *Client) fetchDocument(ctx context.Context, address netip.AddrPort, version uint64) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(partTimeout, cancel)
	defer timer.Stop()
	peer, err := c.edgeClient(address)
	if err != nil {
		return nil, err
	}
	stream, err := peer.FetchConfiguration(ctx, &peerapi.FetchConfigurationRequest{ConfigVersion: version}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return nil, err
	}
	var document []byte
	for {
		response, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return document, nil
		}
		if err != nil {
			return document, err
		}
		document = append(document, response.GetPart()...)
		timer.Reset(partTimeout)
	}
}

// FetchVersion implements peerapi.EdgeServer.
func (s *Server) FetchVersion(context.Context, *peerapi.FetchVersionRequest) (*peerapi.FetchVersionResponse, error) {
	version, _ := s.source.Configuration()
	return &peerapi.FetchVersionResponse{ConfigVersion: version}, nil
}

// FetchConfiguration implements peerapi.EdgeServer.
func (s *Server) FetchConfiguration(request *peerapi.FetchConfigurationRequest, stream grpc.ServerStreamingServer[peerapi.FetchConfigurationResponse]) error {
	version, document := s.source.Configuration()
	if version <= request.GetConfigVersion() {
		return nil
	}
	for len(document) > 0 {
		size := min(len(document), partBytes)
		if err := stream.Send(&peerapi.FetchConfigurationResponse{Part: document[:size]}); err != nil {
			return err
		}
		document = document[size:]
	}
	return nil
}
