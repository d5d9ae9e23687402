package batchrun

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// A step starts while the fast engines are full for a moment. A sample that takes a free slot at an
// engine twice as slow ends later than one that waits; if the wait is long, or the sample short, the
// slow engine is better.
func TestAwaitFaster_StartsWhereTheSampleEndsFirst(t *testing.T) {
	b := &batches.Batch{MinVersion: 1, DesiredGroups: 2}
	for _, s := range []struct {
		id     string
		tokens int
	}{{"short", 20}, {"usual", 1000}, {"long", 8000}} {
		b.Samples = append(b.Samples, batches.Sample{ID: s.id, Group: s.id, ExpectedTokens: s.tokens})
	}
	offer := SlowOffer{Slow: 70 * time.Millisecond, Usual: 32 * time.Millisecond, UsualSlots: 156, TokenTime: 600 * time.Microsecond}
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		sample int
		change func(*SlowOffer)
		waited time.Duration
		want   bool
	}{
		{"a slot is free soon", 1, func(o *SlowOffer) { o.Ahead = 20 }, 0, true},
		{"a long sample waits behind many", 2, func(o *SlowOffer) { o.Ahead = 150 }, 0, true},
		{"the wait is longer than it saves", 1, func(o *SlowOffer) { o.Ahead = 150 }, 0, false},
		{"a short sample", 0, func(o *SlowOffer) { o.Ahead = 20 }, 0, false},
		{"it has waited for what it could save", 1, func(*SlowOffer) {}, 800 * time.Millisecond, false},
		{"no usual engine has the weights", 1, func(o *SlowOffer) { o.UsualSlots = 0 }, 0, false},
		{"not slower", 1, func(o *SlowOffer) { o.Slow = o.Usual }, 0, false},
		{"no sample has ended yet", 1, func(o *SlowOffer) { o.TokenTime = 0 }, 0, false},
	} {
		r := New(b, Options{MaxFailures: 3}, nil)
		o := offer
		c.change(&o)
		got := r.AwaitFaster(now, c.sample, o)
		if c.waited > 0 {
			got = r.AwaitFaster(now.Add(c.waited), c.sample, o)
		}
		if got != c.want {
			t.Errorf("%s: waits %v, want %v", c.name, got, c.want)
		}
	}
}

// A sample at a slow engine is interrupted although it ends there about as soon, which costs callers
// a connection and the engine that takes it over another reading of its prompt.
func TestWorthMoving_OnlyForAGain(t *testing.T) {
	b := &batches.Batch{MinVersion: 1, DesiredGroups: 1, Samples: []batches.Sample{{ID: "a", Group: "a", ExpectedTokens: 1000}}}
	r := New(b, Options{MaxFailures: 3}, nil)
	offer := SlowOffer{Slow: 70 * time.Millisecond, Usual: 32 * time.Millisecond, TokenTime: time.Millisecond}
	for _, c := range []struct {
		events int
		slow   time.Duration
		want   bool
	}{{3, 70 * time.Millisecond, true}, {25, 70 * time.Millisecond, false}, {25, 200 * time.Millisecond, true}, {3, 40 * time.Millisecond, false}} {
		offer.Slow = c.slow
		if got := r.WorthMoving(0, c.events, offer); got != c.want {
			t.Errorf("after %d events of %v: worth moving %v, want %v", c.events, c.slow, got, c.want)
		}
	}
	if !r.WorthMoving(0, 3, SlowOffer{}) {
		t.Error("a sample stays at a slow engine because no sample has ended yet")
	}
}
