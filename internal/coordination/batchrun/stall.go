package batchrun

import "time"

const (
	// minStallTimeout is the least time without an event after which a stream counts as stalled.
	// It leaves time for an engine that processes a preempted prompt again.
	minStallTimeout = 2200 * time.Millisecond
	// minSuspectTimeout replaces minStallTimeout at an endpoint that has stalled another stream.
	minSuspectTimeout = 900 * time.Millisecond
	// stallIntervals and suspectIntervals are the same limits in event intervals of the
	// service, so that slow but sound streams are not cut where events take seconds.
	stallIntervals   = 16
	suspectIntervals = 8
	// maxStallDoublings bounds the doublings of the limits after stalls without progress.
	maxStallDoublings = 5
)

// StallTimeouts returns how long the stream of a sample may be silent: generally, and at an
// endpoint that has stalled another stream. interval is the usual time between two events of
// the service, or zero if it is unknown. From the second attempt in a row that was interrupted
// without an event, each doubles the limits: if the first event alone takes longer than the
// limit, no attempt would ever get one, and the interval would stay unknown.
func (r *Run) StallTimeouts(i int, interval time.Duration) (stall, suspect time.Duration) {
	factor := time.Duration(1) << min(max(r.samples[i].stalls-1, 0), maxStallDoublings)
	return factor * max(minStallTimeout, stallIntervals*interval), factor * max(minSuspectTimeout, suspectIntervals*interval)
}
