package front

import (
	"testing"
	"time"
)

// TestCallersWithLessTimeThanUsualWereHereBefore: a refused caller names the time that is
// left when it comes back.
func TestCallersWithLessTimeThanUsualWereHereBefore(t *testing.T) {
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
		{time.Second, "r", 0, false}, // it did not say
		{time.Second, "r", 2 * time.Second, false},
		{budgetMemory + time.Second, "r", 1600 * time.Millisecond, false}, // callers wait less now
		{time.Second, "r", time.Second, true},
	} {
		now = now.Add(c.after)
		if got := g.repeats(now, c.route, c.budget); got != c.want {
			t.Errorf("call %d: repeats = %v", i, got)
		}
	}
}
