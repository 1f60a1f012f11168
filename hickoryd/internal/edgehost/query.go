package edgehost

import (
	"context"
	"net/netip"

	"github.com/hickoryfront/hickoryfront/peerapi"
)

type (
	// hostQuery is a call to one host.
	hostQuery[T any] struct {
		client    *Client
		address   netip.AddrPort
		call      func(ctx context.Context, peer peerapi.EdgeClient) (T, error)
		responses chan<- hostResponse[T]
	}

	// hostResponse is the result of a call to one host.
	hostResponse[T any] struct {
		address netip.AddrPort
		value   T // the zero value if err is not nil
		err     error
	}
)

// query calls the hosts at addresses at the same time. The channel returns one response for
// each of them, in the order in which they arrive.
func query[T any](ctx context.Context, c *Client, addresses []netip.AddrPort, call func(ctx context.Context, peer peerapi.EdgeClient) (T, error)) <-chan hostResponse[T] {
	responses := make(chan hostResponse[T], len(addresses))
	for _, address := range addresses {
		go hostQuery[T]{client: c, address: address, call: call, responses: responses}.run(ctx)
	}
	return responses
}

func (q hostQuery[T]) run(ctx context.Context) {
	response := hostResponse[T]{address: q.address}
	peer, err := q.client.edgeClient(q.address)
	if err == nil {
		response.value, err = q.call(ctx, peer)
	}
	if err != nil {
		q.client.logger.WithError(err).WithField("host", q.address.String()).Debug("host did not respond")
	}
	response.err = err
	q.responses <- response
}
