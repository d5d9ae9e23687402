package objcall

import "time"

const (
	// decreaseFactor multiplies the rate when the API throttles a call.
	decreaseFactor = 0.5
	// increaseShare is the fraction of the ceiling added per interval without throttling.
	increaseShare = 0.02
	// adaptInterval is the minimum time between two changes of the rate.
	adaptInterval = time.Second
	// minShare is the fraction of the ceiling below which the rate never falls.
	minShare = 0.02
)

// Budget is the client-side rate limit of one host for one kind of call. The rate is
// halved when the API throttles calls and rises by a fixed step while it does not
// (additive increase, multiplicative decrease). It is not safe for concurrent use.
type Budget struct {
	ceiling    float64
	rate       float64
	lastChange time.Time
}

// NewBudget returns a budget whose rate starts at ceiling, in calls per second.
func NewBudget(ceiling float64, now time.Time) *Budget {
	return &Budget{ceiling: ceiling, rate: ceiling, lastChange: now}
}

// Rate returns the current rate in calls per second.
func (b *Budget) Rate() float64 { return b.rate }

// SetCeiling changes the ceiling, in calls per second. A rate above it is lowered immediately.
func (b *Budget) SetCeiling(ceiling float64) {
	b.ceiling = ceiling
	b.rate = min(b.rate, ceiling)
}

// Throttled records a throttled call and reports whether the rate changed. Calls that
// were in flight at the last decrease do not cause another decrease.
func (b *Budget) Throttled(now time.Time) bool {
	if b.rate < b.ceiling && now.Sub(b.lastChange) < adaptInterval {
		return false
	}
	b.rate = max(b.rate*decreaseFactor, b.ceiling*minShare)
	b.lastChange = now
	return true
}

// Answered records a call that was not throttled and reports whether the rate changed.
func (b *Budget) Answered(now time.Time) bool {
	if b.rate >= b.ceiling || now.Sub(b.lastChange) < adaptInterval {
		return false
	}
	b.rate = min(b.rate+b.ceiling*increaseShare, b.ceiling)
	b.lastChange = now
	return true
}
