package front

import (
	"testing"
	"time"
)

// A refused caller retries with its remaining time as the budget, so a budget well below
// the longest one of the route marks a retry.
func TestGates_ShorterBudgetIsRetry(t *testing.T) {
	g := NewGates(NewFleet("a"), func() int { return 1 })
	now := time.Unix(1000, 0)
	for i, c := range []struct {
		after  time.Duration
		route  string
		budget time.Duration
		want   bool
	}{
		{0, "r", 2 * time.Second, false},
		{time.Second, "r", 1600 * time.Millisecond, true},
		{time.Second, "r", 1990 * time.Millisecond, false},
		{time.Second, "other", 1600 * time.Millisecond, false},
		{time.Second, "r", 0, false}, // no budget set
		{time.Second, "r", 2 * time.Second, false},
		{budgetRetention + time.Second, "r", 1600 * time.Millisecond, false}, // the longest budget has expired
		{time.Second, "r", time.Second, true},
	} {
		now = now.Add(c.after)
		if got := g.isRetry(now, c.route, c.budget); got != c.want {
			t.Errorf("call %d: isRetry = %v", i, got)
		}
	}
}
