// Package clock waits for time to pass, for duties that may be ended meanwhile.
//
// Invariant: a wait ends with its context at the latest and leaves no timer behind.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d; false when ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
