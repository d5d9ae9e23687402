package objcall

import "time"

// outageThreshold is the number of consecutive calls without an answer that count as an
// outage.
const outageThreshold = 3

// Outage detects outages of the object API and ignores single lost calls. The zero value
// describes an available API. It is not safe for concurrent use.
type Outage struct {
	failures     int
	firstFailure time.Time
}

// Failed records a call without an answer and reports whether it starts an outage.
func (o *Outage) Failed(now time.Time) bool {
	if o.failures == 0 {
		o.firstFailure = now
	}
	o.failures++
	return o.failures == outageThreshold
}

// Answered records any answer, including a refusal, and reports whether it ends an outage.
func (o *Outage) Answered() bool {
	ended := o.Active()
	o.failures = 0
	return ended
}

// Active reports whether an outage is in progress.
func (o *Outage) Active() bool { return o.failures >= outageThreshold }

// Elapsed returns how long the outage has lasted since its first failed call, 0 if there is
// none.
func (o *Outage) Elapsed(now time.Time) time.Duration {
	if !o.Active() {
		return 0
	}
	// The minimum distinguishes an outage that has just started from none.
	return max(now.Sub(o.firstFailure), time.Nanosecond)
}
