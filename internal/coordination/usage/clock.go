package usage

import (
	"slices"
	"time"
)

const (
	// maxSlew is how much a Clock follows the wall clock, per second. It exceeds the drift of any
	// clock by far, and keeps a step of the wall clock from moving a window within a day.
	maxSlew = time.Millisecond
	// minVotes is the number of hosts from which the median is better than one's own clock.
	minVotes = 3
	// voteLifetime is how long a host's vote counts. Hosts without requests send none.
	voteLifetime = 10 * time.Minute
	// decideInterval is the time between two medians. Each takes a time that grows with the number of
	// votes, so that one for each vote would cost the square of that.
	decideInterval = time.Second
	// maxRoundTrip bounds the error of an adopted offset to half of it.
	maxRoundTrip = 100 * time.Millisecond
)

// Clock estimates Unix time from boot time, as an offset between the two. The offset that binds a host
// is the one that the reporting host last told it, and before the first one its own: the wall clock at
// the start of the process, which then follows the wall clock by at most maxSlew. The reporting host
// itself uses the median of the own offsets of all hosts that send it counts, so that a minority of
// wrong wall clocks has no effect. All times except wall and Unix times are boot times.
type Clock struct {
	own        time.Duration
	observedAt time.Duration
	adopted    bool
	offset     time.Duration
	votes      map[string]vote
	// decided is set while offset is the median taken at decidedAt.
	decided   bool
	decidedAt time.Duration
}

// vote is another host's own offset, converted to the boot time of this one.
type vote struct {
	offset time.Duration
	at     time.Duration
}

// NewClock returns a clock that is set by the wall clock at boot time now.
func NewClock(now, wall time.Duration) *Clock {
	return &Clock{own: wall - now, observedAt: now, votes: map[string]vote{}}
}

// Observe makes the host's own offset follow its wall clock.
func (c *Clock) Observe(now, wall time.Duration) {
	limit := time.Duration(float64(maxSlew) * (now - c.observedAt).Seconds())
	c.own += min(max(wall-now-c.own, -limit), limit)
	c.observedAt = now
}

// Own returns the Unix time by the host's own clock.
func (c *Clock) Own(now time.Duration) time.Duration { return now + c.own }

// Offset returns the offset that binds this host.
func (c *Clock) Offset() time.Duration {
	if c.adopted {
		return c.offset
	}
	return c.own
}

// Adopt sets the offset from the answer of the reporting host, whose Unix time was unix, to a message
// sent at sent and answered at received.
func (c *Clock) Adopt(sent, received, unix time.Duration) {
	roundTrip := received - sent
	if c.adopted && roundTrip > maxRoundTrip {
		return
	}
	c.adopted, c.offset, c.decided = true, unix+roundTrip/2-received, false
}

// Vote records the own Unix time of another host in a message received at now.
func (c *Clock) Vote(now time.Duration, host string, unix time.Duration) {
	c.votes[host] = vote{unix - now, now}
}

// Decide sets the offset to the median of the votes and this host's own offset, if these are enough.
// It reports whether they are. A median counts for decideInterval.
func (c *Clock) Decide(now time.Duration) bool {
	if c.decided && now-c.decidedAt < decideInterval {
		return true
	}
	c.decided = false
	offsets := []time.Duration{c.own}
	for host, v := range c.votes {
		if now-v.at > voteLifetime {
			delete(c.votes, host)
			continue
		}
		offsets = append(offsets, v.offset)
	}
	if len(offsets) < minVotes {
		return false
	}
	slices.Sort(offsets)
	c.adopted, c.offset = true, offsets[len(offsets)/2]
	c.decided, c.decidedAt = true, now
	return true
}
