package stragglers

import (
	"testing"
	"time"
)

func TestASampleBeyondTheUsualLengthIsExpectedToBeALongOne(t *testing.T) {
	l := NewLengths()
	for range 99 {
		l.Add(200)
	}
	l.Add(4000)
	if got := l.Remaining(0); got != (99*200+4000)/100 {
		t.Errorf("a new sample is expected to take %d tokens", got)
	}
	if got := l.Remaining(300); got != 3700 {
		t.Errorf("%d tokens left after 300", got)
	}
	if got := l.Remaining(5000); got != 2500 {
		t.Errorf("%d tokens left beyond the longest seen", got)
	}
}

func TestOnlyAClearGainIsWorthAMove(t *testing.T) {
	cases := []struct {
		remaining   int
		rate, usual float64
		want        bool
	}{
		{1000, 10, 50, true},
		{1000, 40, 50, false},
		{20, 10, 50, false},
		{1000, 0, 50, true},
		{1000, 10, 0, false},
		{0, 10, 50, false},
	}
	for _, c := range cases {
		if got := WorthMoving(c.remaining, c.rate, c.usual, time.Second); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}
