package placement

import (
	"slices"
	"time"
)

// suspect reports whether the endpoint was ejected and has not answered since. It holds
// until suspectDuration after the end of the ejection.
func (e *entry) suspect(now time.Time) bool {
	return e.ejections > 0 && now.Before(e.ejectedUntil.Add(suspectDuration))
}

// Eject ejects an endpoint that is known not to answer, whatever its failure count.
func (t *Table) Eject(now time.Time, id string) {
	if e, ok := t.entries[id]; ok {
		e.failures = max(e.failures, failuresToEject)
		e.ejectedUntil = now.Add(min(initialEjection<<min(e.ejections, 8), maxEjection))
		e.ejections++
		e.unreachable = true
	}
}

// ForgetFailures ends all ejections and forgets the failures that led to them. It is called when they
// prove to have another cause than the endpoints.
func (t *Table) ForgetFailures() {
	for _, e := range t.entries {
		e.failures, e.ejections, e.ejectedUntil, e.unreachable = 0, 0, time.Time{}, false
	}
}

// Unreachable returns the keys of suspect endpoints that this host ejected with Eject and
// that have not answered it since, at most 24 in no particular order.
func (t *Table) Unreachable(now time.Time) []uint32 {
	var out []uint32
	for _, e := range t.entries {
		if e.unreachable && e.suspect(now) && len(out) < maxReported {
			out = append(out, e.key)
		}
	}
	return out
}

// IsUnreachable reports whether an endpoint does not answer, by this host's own attempts or by the
// unexpired reports of peers.
func (t *Table) IsUnreachable(now time.Time, id string) bool {
	e, ok := t.entries[id]
	return ok && (e.unreachable && e.suspect(now) || now.Before(e.reportedUnreachableUntil))
}

// Slow returns the keys of endpoints that this host measured as slow within the last
// reportTTL, at most 24 in no particular order.
func (t *Table) Slow(now time.Time) []uint32 {
	var out []uint32
	for _, e := range t.entries {
		if e.serviceTime > 0 && now.Sub(e.measuredAt) < reportTTL && len(out) < maxReported && t.IsSlow(now, e.endpoint.ID) {
			out = append(out, e.key)
		}
	}
	return out
}

// Reported returns the keys of endpoints whose reports as unreachable or slow by peers have
// not expired, at most 24 of each in no particular order.
func (t *Table) Reported(now time.Time) (unreachable, slow []uint32) {
	for _, e := range t.entries {
		if now.Before(e.reportedUnreachableUntil) && len(unreachable) < maxReported {
			unreachable = append(unreachable, e.key)
		}
		if now.Before(e.reportedSlowUntil) && len(slow) < maxReported {
			slow = append(slow, e.key)
		}
	}
	return unreachable, slow
}

// IsSlow reports whether an endpoint's service time is at least slowFactor times the
// baseline of its service.
func (t *Table) IsSlow(now time.Time, id string) bool {
	serviceTime, baseline := t.ServiceTime(now, id)
	return serviceTime > 0 && float64(serviceTime) >= slowFactor*float64(baseline)
}

// minMoveSpeedup is the minimum ratio of a slow endpoint's service time to that of another
// endpoint for a request to move there.
const minMoveSpeedup = 1.4

// ShouldMove reports whether a request at an endpoint should be moved: the endpoint is slow,
// and the best other one for the query, which must require a free slot, is faster by
// minMoveSpeedup.
func (t *Table) ShouldMove(now time.Time, from string, q Query) bool {
	if !t.IsSlow(now, from) {
		return false
	}
	q.Avoid = append(slices.Clone(q.Avoid), from)
	other, ok := t.Pick(now, q, 0)
	if !ok {
		return false
	}
	current, _ := t.ServiceTime(now, from)
	candidate, _ := t.ServiceTime(now, other.ID)
	return float64(current) > minMoveSpeedup*float64(candidate)
}

// IsImpaired reports whether an endpoint is slow or does not answer, by this host's own
// measurements or by the unexpired reports of peers.
func (t *Table) IsImpaired(now time.Time, id string) bool {
	e, ok := t.entries[id]
	return ok && (e.suspect(now) || now.Before(e.ejectedUntil) || t.IsSlow(now, id) ||
		now.Before(e.reportedUnreachableUntil) || now.Before(e.reportedSlowUntil))
}

// MarkReportedSlow records that a peer reported an endpoint slow. The report expires after
// reportTTL.
func (t *Table) MarkReportedSlow(now time.Time, key uint32) {
	for _, e := range t.byKey[key] {
		e.reportedSlowUntil = now.Add(reportTTL)
	}
}

// MarkReportedUnreachable records that a peer reported an endpoint unreachable. The report
// expires after reportTTL.
func (t *Table) MarkReportedUnreachable(now time.Time, key uint32) {
	for _, e := range t.byKey[key] {
		e.reportedUnreachableUntil = now.Add(reportTTL)
	}
}
