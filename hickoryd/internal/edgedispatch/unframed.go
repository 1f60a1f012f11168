package edgedispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hickoryfront/hickoryfront/core/serverlist"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/upstream"
)

// endCheckTimeout limits the check of a server whose response has ended with its connection.
const endCheckTimeout = 150 * time.Millisecond

// errServerEnded means that a server has ended together with a response that only the end of its
// connection ends, so that the response may lack its end.
var errServerEnded = errors.New("the server has ended with its response")

// checkEndOfConnection returns an error if a response of server has ended with its connection and
// no process listens at the server's address any more.
func (d *Dispatcher) checkEndOfConnection(ctx context.Context, server serverlist.Server, response *upstream.Response) error {
	if !http1.EndsWithConnection(response.Response) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if d.pool.HasEnded(ctx, server.Address) {
		return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, errServerEnded)
	}
	return nil
}
