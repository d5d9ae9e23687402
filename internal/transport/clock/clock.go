// Package clock provides a sleep that can be cancelled.
//
// Invariant: a sleep returns when its context ends at the latest, and stops its timer.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it passed before ctx ended.
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
