// Package timing holds the daemon's waits that end with a context.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d. The error is the context's when that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
