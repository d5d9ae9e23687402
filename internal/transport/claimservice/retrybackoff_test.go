package claimservice

import (
	"testing"
	"time"
)

// The delay after failures doubles up to its bound, with jitter; a success resets it.
func TestRetryBackoff_DelayDoubles(t *testing.T) {
	var p retryBackoff
	now := time.Unix(1_700_000_000, 0)
	for mean := minBackgroundRetryDelay; mean <= 4*maxBackgroundRetryDelay; mean *= 2 {
		bounded := min(mean, maxBackgroundRetryDelay)
		p.finished(now, false)
		if p.due(now.Add(bounded/2 - 1)) {
			t.Fatalf("due before half of %v", bounded)
		}
		now = now.Add(bounded + bounded/2)
		if !p.due(now) {
			t.Fatalf("not due after %v", bounded+bounded/2)
		}
	}
	p.finished(now, true)
	if !p.due(now) {
		t.Fatal("not due immediately after a success")
	}
}
