package objcall

import "time"

const (
	// decreaseFactor is applied to the rate when the API refuses a call for its rate.
	decreaseFactor = 0.5
	// increaseShare of the ceiling is added for each interval without a refusal.
	increaseShare = 0.02
	// adaptInterval separates two changes of the rate.
	adaptInterval = time.Second
	// floorShare of the ceiling is what a budget never falls below.
	floorShare = 0.02
)

// Budget is the rate of one kind of call that one host allows itself. It falls by
// half when the API refuses calls and rises by a fixed step while it does not
// (additive increase, multiplicative decrease).
type Budget struct {
	ceiling float64
	rate    float64
	changed time.Time
}

// NewBudget returns a budget that starts at its ceiling, in calls a second.
func NewBudget(ceiling float64, now time.Time) *Budget {
	return &Budget{ceiling: ceiling, rate: ceiling, changed: now}
}

// Rate is the calls a second allowed now.
func (b *Budget) Rate() float64 { return b.rate }

// SetCeiling changes the ceiling; the rate follows at once when it is above it.
func (b *Budget) SetCeiling(ceiling float64) {
	b.ceiling = ceiling
	b.rate = min(b.rate, ceiling)
}

// Throttled records a refusal and reports whether the rate changed. Refusals of
// calls that were under way at the last decrease count once.
func (b *Budget) Throttled(now time.Time) bool {
	if b.rate < b.ceiling && now.Sub(b.changed) < adaptInterval {
		return false
	}
	b.rate = max(b.rate*decreaseFactor, b.ceiling*floorShare)
	b.changed = now
	return true
}

// Answered records a call that was not refused and reports whether the rate changed.
func (b *Budget) Answered(now time.Time) bool {
	if b.rate >= b.ceiling || now.Sub(b.changed) < adaptInterval {
		return false
	}
	b.rate = min(b.rate+b.ceiling*increaseShare, b.ceiling)
	b.changed = now
	return true
}
