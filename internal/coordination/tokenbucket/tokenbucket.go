// Package tokenbucket limits a rate and the size of bursts.
//
// Invariant: in any period, at most its length times the rate plus the capacity tokens are
// taken, apart from those that Spend takes by force.
package tokenbucket

import "time"

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a bucket that has the given number of tokens at now.
func New(now time.Time, tokens float64) Bucket { return Bucket{tokens: tokens, refilledAt: now} }

// Refill adds the tokens for the time since the last Refill, in tokens per second, up to the
// capacity.
func (b *Bucket) Refill(now time.Time, perSecond, capacity float64) {
	if now.After(b.refilledAt) {
		b.tokens += perSecond * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, capacity)
}

// Take takes up to n whole tokens and returns how many it took.
func (b *Bucket) Take(n int) int {
	n = max(min(n, int(b.tokens)), 0)
	b.tokens -= float64(n)
	return n
}

// Spend takes n tokens even if the bucket has fewer. The next Refills make up for the rest, which
// is at most maxDebt tokens.
func (b *Bucket) Spend(n int, maxDebt float64) { b.tokens = max(b.tokens-float64(n), -maxDebt) }

// Wait returns the time until the bucket has a whole token, as of the last Refill.
func (b *Bucket) Wait(perSecond float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}
