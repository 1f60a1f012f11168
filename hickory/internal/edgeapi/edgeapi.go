// Package edgeapi reads the state of hosts on the users' platform.
package edgeapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hickoryfront/hickoryfront/core/hoststate"
)

const (
	// requestTimeout bounds the request to one host. A host builds its state from
	// memory, without calls of its own.
	requestTimeout = 5 * time.Second
	// maxStateBytes bounds a state: 12,000 servers of about 300 bytes take 4 MB.
	maxStateBytes = 16 << 20
)

// ErrUnreachable means that a host did not respond with its state.
var ErrUnreachable = errors.New("host did not respond")

type (
	// Client reads the state of hosts. It is safe for concurrent use.
	Client struct {
		http *http.Client
	}

	// Result is the state of one host, or the error of reading it.
	Result struct {
		Address string
		State   hoststate.State
		Err     error
	}
)

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Timeout: requestTimeout}}
}

// States reads the states of the hosts at all addresses concurrently. The results are
// in the order of the addresses.
func (c *Client) States(ctx context.Context, addresses []string) []Result {
	results := make([]Result, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			state, err := c.State(ctx, address)
			results[i] = Result{Address: address, State: state, Err: err}
		})
	}
	group.Wait()
	return results
}

// State reads the state of the host at an operator address, such as 10.0.0.1:9464.
func (c *Client) State(ctx context.Context, address string) (hoststate.State, error) {
	var state hoststate.State
	base := "http://" + strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+hoststate.Path, nil)
	if err != nil {
		return state, fmt.Errorf("%w: %s: %w; give an address such as 10.0.0.1:9464", ErrUnreachable, address, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return state, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("%w: %s responded with %s; is it an operator address of hickoryd edge?", ErrUnreachable, address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return state, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	return state, nil
}
