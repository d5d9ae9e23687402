package objcall

import "time"

// outageFailures is the number of calls in a row without an answer that make an outage.
const outageFailures = 3

// Outage tells an outage of the object API from single lost calls. The zero value
// is a healthy API.
type Outage struct {
	failures int
	first    time.Time
}

// Failed records a call without an answer and reports whether an outage began.
func (o *Outage) Failed(now time.Time) bool {
	if o.failures == 0 {
		o.first = now
	}
	o.failures++
	return o.failures == outageFailures
}

// Answered records any answer, a refusal included, and reports whether an outage ended.
func (o *Outage) Answered() bool {
	ended := o.Active()
	o.failures = 0
	return ended
}

// Active reports whether there is an outage.
func (o *Outage) Active() bool { return o.failures >= outageFailures }

// For is how long the outage has lasted, 0 when there is none.
func (o *Outage) For(now time.Time) time.Duration {
	if !o.Active() {
		return 0
	}
	return max(now.Sub(o.first), time.Nanosecond)
}
