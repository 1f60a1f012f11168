// Package edgeapi asks hosts on the users' platform for their state.
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
	// requestTimeout is the longest wait for one host; a state is made from memory.
	requestTimeout = 5 * time.Second
	// maxStateBytes bounds a state: 12,000 servers of about 300 bytes take 4 MB.
	maxStateBytes = 16 << 20
)

// ErrUnreachable means that a host did not answer with its state.
var ErrUnreachable = errors.New("host did not answer")

type (
	// Client asks hosts. It is safe for concurrent use.
	Client struct {
		http *http.Client
	}

	// Result is what came of asking one host.
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

// States asks the hosts at all addresses at once. The answers are in the order
// of the addresses.
func (c *Client) States(ctx context.Context, addresses []string) []Result {
	answers := make([]Result, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			state, err := c.State(ctx, address)
			answers[i] = Result{Address: address, State: state, Err: err}
		})
	}
	group.Wait()
	return answers
}

// State asks the host at an operator address, such as 10.0.0.1:9464.
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
		return state, fmt.Errorf("%w: %s answers %s; is it an operator address of hickoryd edge?", ErrUnreachable, address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return state, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	return state, nil
}
