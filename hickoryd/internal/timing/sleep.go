// Package timing provides waits that end early with a context.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d. If ctx ends first, Sleep returns the error of ctx.
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
