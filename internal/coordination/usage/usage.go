// Package usage counts the requests that began to run at endpoints by team and time window, and
// decides the counts that are reported to the operator.
//
// A Counter holds the counts of one host. A Collector, at the host that reports, merges the cumulative
// counts of all hosts and closes windows. A Clock gives all hosts the same window numbers although the
// wall clock of some of them may step.
//
// Invariant: a request counts at most once, and a window that is decided never changes.
package usage

import (
	"maps"
	"math"
	"time"
)

// Counts is a number of requests by team.
type Counts map[string]int64

// Windows divides time, in nanoseconds since 1970, into windows of one length.
type Windows struct{ Length time.Duration }

// Index returns the number of the window that contains a Unix time.
func (w Windows) Index(unix time.Duration) int64 {
	i := int64(unix / w.Length)
	if unix < 0 && unix%w.Length != 0 {
		i--
	}
	return i
}

// End returns the Unix time at which a window ends.
func (w Windows) End(window int64) time.Duration { return time.Duration(window+1) * w.Length }

// Counter counts the requests of one host. Times are boot times of the host, so that a request is
// counted in the right window also if the offset to Unix time becomes known later. It is not safe for
// concurrent use.
type Counter struct {
	windows Windows
	// recent are the counted requests whose window may still change, settled the counts of the
	// others.
	recent  map[*Request]struct{}
	settled map[int64]Counts
	// forgotten is the last window whose counts were removed.
	forgotten int64
}

// NewCounter returns an empty counter.
func NewCounter(w Windows) *Counter {
	return &Counter{windows: w, recent: map[*Request]struct{}{}, settled: map[int64]Counts{}, forgotten: math.MinInt64}
}

// Request is a caller's request, which may be sent to several endpoints.
type Request struct {
	counter  *Counter
	team     string
	attempts []attempt
	// counted is set while the request is counted, at boot time at. In a settled request, window
	// is its window.
	counted bool
	settled bool
	at      time.Duration
	window  int64
}

// attempt is a request as sent to one endpoint. ran is set once the endpoint is known to have run it.
type attempt struct {
	at      time.Duration
	ran     bool
	refused bool
}

// Begin returns a request of a team, which is not counted yet. The request of a caller without a
// team, whose name is empty, is never counted.
func (c *Counter) Begin(team string) *Request { return &Request{counter: c, team: team} }

// Sent records that the request was sent to an endpoint at boot time at, and returns the number of the
// attempt. The request counts until the endpoint says that it did not run it: one without an answer
// may be running.
func (r *Request) Sent(at time.Duration) int {
	r.attempts = append(r.attempts, attempt{at: at})
	r.place()
	return len(r.attempts) - 1
}

// Ran records that the endpoint of an attempt ran the request.
func (r *Request) Ran(n int) {
	r.attempts[n].ran = true
	r.place()
}

// Refused records that the endpoint of an attempt did not run the request.
func (r *Request) Refused(n int) {
	r.attempts[n].refused = true
	r.place()
}

// Began records that the first event of a stream was received at boot time at. Later calls have no
// effect.
func (r *Request) Began(at time.Duration) {
	if len(r.attempts) == 0 || !r.attempts[0].ran {
		r.attempts = []attempt{{at: at, ran: true}}
		r.place()
	}
}

// place counts the request at the time of its first attempt that ran or, if none is known to have
// run, of the first one that was not refused.
func (r *Request) place() {
	if r.team == "" {
		return
	}
	found, ran, at := false, false, time.Duration(0)
	for _, a := range r.attempts {
		if a.refused || found && (ran || !a.ran) {
			continue
		}
		found, ran, at = true, a.ran, a.at
	}
	switch {
	case r.settled && found == r.counted:
		return // within the time after which counts are settled, the window would be nearly the same
	case r.settled:
		r.counted = found
		if r.window > r.counter.forgotten {
			r.counter.addSettled(r.window, r.team, map[bool]int64{true: 1, false: -1}[found])
		}
		return
	}
	r.counted, r.at = found, at
	if found {
		r.counter.recent[r] = struct{}{}
	} else {
		delete(r.counter.recent, r)
	}
}

func (c *Counter) addSettled(window int64, team string, n int64) {
	if c.settled[window] == nil {
		c.settled[window] = Counts{}
	}
	c.settled[window][team] += n
}

// Settle fixes the windows of the requests that were counted before boot time before, which bounds
// the memory that they take. offset is the Unix time at boot.
func (c *Counter) Settle(before, offset time.Duration) {
	for r := range c.recent {
		if r.at >= before {
			continue
		}
		delete(c.recent, r)
		r.settled, r.window = true, c.windows.Index(r.at+offset)
		if r.window > c.forgotten {
			c.addSettled(r.window, r.team, 1)
		}
	}
}

// Counts returns the counts of the windows after the given one. offset is the Unix time at boot.
func (c *Counter) Counts(after int64, offset time.Duration) map[int64]Counts {
	out := map[int64]Counts{}
	for w, counts := range c.settled {
		if w > after {
			out[w] = maps.Clone(counts)
		}
	}
	for r := range c.recent {
		w := c.windows.Index(r.at + offset)
		if w <= after {
			continue
		}
		if out[w] == nil {
			out[w] = Counts{}
		}
		out[w][r.team]++
	}
	for _, counts := range out {
		maps.DeleteFunc(counts, func(_ string, n int64) bool { return n == 0 })
	}
	return out
}

// Forget removes the settled counts up to a window that is decided.
func (c *Counter) Forget(through int64) {
	c.forgotten = max(c.forgotten, through)
	maps.DeleteFunc(c.settled, func(w int64, _ Counts) bool { return w <= through })
}
