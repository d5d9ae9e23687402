package prompts

import (
	"math"
	"testing"
	"time"
)

// The rate must be learned from prompts of different lengths, whatever the first event takes besides,
// not from prompts that are alike, and must survive a stalled stream: each of these would make an
// engine look far slower than it is.
func TestRate(t *testing.T) {
	var mixed, alike Rate
	for i := range 100 {
		for r, tokens := range map[*Rate]int{&mixed: 500 + 10_000*(i%3), &alike: 600 + 10*(i%3)} {
			r.Add(tokens, 30*time.Millisecond+time.Duration(tokens)*4*time.Microsecond)
		}
	}
	mixed.Add(500, time.Minute)
	if got, ok := mixed.PerToken(); !ok || math.Abs(float64(got-4*time.Microsecond)) > 0.1*float64(4*time.Microsecond) {
		t.Errorf("a token takes %v, known %v, want 4µs", got, ok)
	}
	if got, ok := alike.PerToken(); ok {
		t.Errorf("prompts that are alike show that a token takes %v", got)
	}
}

// Prompts that never repeat must not fill the memory of a host.
func TestCache_Bounded(t *testing.T) {
	var c Cache
	for i := range uint64(10 * maxCached) {
		c.Add(&Prompt{Tokens: 10, Prefixes: []Prefix{{Key: i, Tokens: 10}}})
	}
	if len(c.known) != maxCached || len(c.order) != maxCached {
		t.Errorf("%d parts remembered, want %d", len(c.known), maxCached)
	}
}
