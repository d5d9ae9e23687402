package claimduty

import (
	"testing"
	"time"
)

func TestFailedWorkIsTriedAgainAfterADoublingPause(t *testing.T) {
	var p retryPace
	now := time.Unix(1_700_000_000, 0)
	for mean := paceMin; mean <= 4*paceMax; mean *= 2 {
		bounded := min(mean, paceMax)
		p.ended(now, false)
		if p.due(now.Add(bounded/2 - 1)) {
			t.Fatalf("due before half of %v", bounded)
		}
		now = now.Add(bounded + bounded/2)
		if !p.due(now) {
			t.Fatalf("not due after %v", bounded+bounded/2)
		}
	}
	p.ended(now, true)
	if !p.due(now) {
		t.Fatal("work that succeeded is not due at once")
	}
}
