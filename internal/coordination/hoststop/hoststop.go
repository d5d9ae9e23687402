// Package hoststop decides what a host does with requests once its planned stop has begun: which of
// them it still takes, and when those that run have to end.
//
// Invariant: a request is taken only if it is expected to end before the host stops serving, or if its
// caller stops waiting before that. A stream cannot be answered otherwise once it has begun, and nobody
// knows its length before it ends, so only the second reason counts for streams from Schedule.BoundStreams on.
package hoststop

import (
	"slices"
	"time"
)

const (
	// maxExitMargin is the part of the grace period that remains when the host exits, and exitShare
	// its largest share of a short grace period.
	maxExitMargin = 400 * time.Millisecond
	exitShare     = 0.1
	// maxAnswerMargin is the time for which abandoned requests are answered before the host exits.
	maxAnswerMargin = 100 * time.Millisecond
	answerShare     = 0.025
	// maxCloseMargin is the time between the closing of the listeners and the abandonment of requests.
	maxCloseMargin = 300 * time.Millisecond
	closeShare     = 0.075
	// lengthMarginShare is the share by which a request may outlast its expected length, maxLengthMargin
	// the most that this may be.
	lengthMarginShare = 0.25
	maxLengthMargin   = 300 * time.Millisecond
	// maxHandoverReserve is the part of the grace period that remains when the host hands over its
	// duties.
	maxHandoverReserve = 3 * time.Second
	handoverShare      = 0.75
	// maxStreamTime is the time after the begin of the stop for which streams are taken by their expected
	// length: callers that come so early may not know of the stop yet, and most of the grace period is left.
	maxStreamTime   = 3 * time.Second
	streamTimeShare = 0.375
)

// Schedule is the timetable of a planned stop. The times are in the order of the fields, apart from
// BoundStreams, which may come after HandOver.
type Schedule struct {
	// BoundStreams is when the host begins to refuse streams whose callers may wait for longer than it serves.
	BoundStreams time.Time
	// HandOver is when the duties of the host are handed over to others.
	HandOver time.Time
	// Close is when the host stops listening, even if requests still run.
	Close time.Time
	// Abandon is when requests that still run are answered that their outcome is unknown.
	Abandon time.Time
	// Exit is when the last connections are closed.
	Exit time.Time
}

// NewSchedule returns the timetable of a stop that began at a time and ends with a kill after the grace
// period.
func NewSchedule(began time.Time, grace time.Duration) Schedule {
	before := func(t time.Time, longest time.Duration, share float64) time.Time {
		return t.Add(-min(longest, time.Duration(share*float64(grace))))
	}
	s := Schedule{
		BoundStreams: began.Add(min(maxStreamTime, time.Duration(streamTimeShare*float64(grace)))),
		HandOver:     before(began.Add(grace), maxHandoverReserve, handoverShare),
		Exit:         before(began.Add(grace), maxExitMargin, exitShare),
	}
	s.Abandon = before(s.Exit, maxAnswerMargin, answerShare)
	s.Close = before(s.Abandon, maxCloseMargin, closeShare)
	return s
}

// Request describes a request that arrives, or is to be sent again, during the stop.
type Request struct {
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Length is how long the request is expected to take; Known is false if there is no expectation.
	Length time.Duration
	Known  bool
	// Streamed is set if the answer is passed on before its end.
	Streamed bool
}

// MayFinish reports whether the host may take a request. One of unknown length is taken only if its
// caller stops waiting before the host stops serving: others can still serve it. A streamed one has no known
// length from BoundStreams on.
func (s Schedule) MayFinish(now time.Time, r Request) bool {
	if r.Streamed && !now.Before(s.BoundStreams) {
		r.Known = false
	}
	margin := min(time.Duration(lengthMarginShare*float64(r.Length)), maxLengthMargin)
	return !r.Deadline.After(s.Abandon) || r.Known && !now.Add(r.Length+margin).After(s.Abandon)
}

const (
	// recentLengths is the number of requests of a class that are remembered, maxClasses that of
	// classes.
	recentLengths = 64
	maxClasses    = 512
	// repeatableQuantile is the share of recent requests that are at most as long as the expected length
	// of one that may be repeated.
	repeatableQuantile = 0.75
)

// Lengths remembers how long the recent requests of each class took, and which ones run. The zero value is
// empty. It is not safe for concurrent use.
type Lengths struct {
	classes map[string]*lengths
	running map[*Running]struct{}
}

// Running is a request that runs.
type Running struct {
	class string
	began time.Time
}

// Begin records that a request of a class, which arrived at a time, runs. The caller must call End.
func (l *Lengths) Begin(class string, arrived time.Time) *Running {
	if l.running == nil {
		l.running = map[*Running]struct{}{}
	}
	r := &Running{class: class, began: arrived}
	l.running[r] = struct{}{}
	return r
}

// End records that a request runs no more.
func (l *Lengths) End(r *Running) { delete(l.running, r) }

// lengths are the most recent lengths of one class.
type lengths struct {
	ms   [recentLengths]uint32
	next int
	full bool
}

// Record records the length of a request that has ended.
func (l *Lengths) Record(class string, took time.Duration) {
	c := l.classes[class]
	if c == nil {
		if l.classes == nil || len(l.classes) >= maxClasses {
			l.classes = map[string]*lengths{} // classes that are still in use come back
		}
		c = &lengths{}
		l.classes[class] = c
	}
	c.ms[c.next] = uint32(min(max(took, 0), time.Hour).Milliseconds()) + 1
	c.next = (c.next + 1) % recentLengths
	c.full = c.full || c.next == 0
}

// Expected returns the expected length of a request of a class; known is false if no request of the
// class has ended. A request that may run only once is expected to take as long as the longest of the recent
// ones, also of those that still run: it is worse off if the host ends before it than if it is refused, since
// its caller cannot send it again.
func (l *Lengths) Expected(now time.Time, class string, repeatable bool) (length time.Duration, known bool) {
	c := l.classes[class]
	if c == nil {
		return 0, false
	}
	sorted := slices.Clone(c.ms[:c.next])
	if c.full {
		sorted = slices.Clone(c.ms[:])
	}
	slices.Sort(sorted)
	if repeatable {
		return time.Duration(sorted[int(repeatableQuantile*float64(len(sorted)))]) * time.Millisecond, true
	}
	longest := time.Duration(sorted[len(sorted)-1]) * time.Millisecond
	for r := range l.running {
		if r.class == class {
			longest = max(longest, now.Sub(r.began))
		}
	}
	return longest, true
}
