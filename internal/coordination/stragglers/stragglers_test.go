package stragglers

import (
	"testing"
	"time"
)

// A new sample is expected to have the mean length. Once it exceeds the typical length, only
// the longer samples count, and beyond the longest one half of its own length is expected.
func TestRemaining_BeyondTypicalLength(t *testing.T) {
	l := NewLengthHistogram()
	for range 99 {
		l.Add(200)
	}
	l.Add(4000)
	if got := l.Remaining(0); got != (99*200+4000)/100 {
		t.Errorf("Remaining(0) = %d tokens, want the mean of all samples", got)
	}
	if got := l.Remaining(300); got != 3700 {
		t.Errorf("Remaining(300) = %d tokens, want 3700", got)
	}
	if got := l.Remaining(5000); got != 2500 {
		t.Errorf("Remaining(5000) = %d tokens, want 2500", got)
	}
}

// Guards against moves that gain little: a sample is moved only if it would finish in less
// than half the time elsewhere, and never while the average rate is unknown.
func TestShouldMove_RequiresClearGain(t *testing.T) {
	cases := []struct {
		remaining         int
		rate, averageRate float64
		want              bool
	}{
		{1000, 10, 50, true},
		{1000, 40, 50, false},
		{20, 10, 50, false},
		{1000, 0, 50, true},
		{1000, 10, 0, false},
		{0, 10, 50, false},
	}
	for _, c := range cases {
		if got := ShouldMove(c.remaining, c.rate, c.averageRate, time.Second); got != c.want {
			t.Errorf("ShouldMove(%+v) = %v", c, got)
		}
	}
}
