package placement

import (
	"math"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/permits"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// maxReportedLimits bounds the limits that a heartbeat reports.
	maxReportedLimits = 16
	// limitEndRetention is how long the end of a limit is reported to peers.
	limitEndRetention = 5 * time.Second
	// limitAgeTolerance covers the delivery time of heartbeats: a report of the known limit
	// that is newer by less than this is the known one, passed on by a peer.
	limitAgeTolerance = 100 * time.Millisecond
	// wantLifetime is how long permits stay wanted after a request needed one. Samples that
	// wait for an endpoint try more often than that.
	wantLifetime = 250 * time.Millisecond
)

// requestLimit is what is known of the limit on the rate of requests to an endpoint.
type requestLimit struct {
	// active is set while the endpoint names a limit, perSecond is the limit in requests per
	// second, and asOf when the endpoint last named it or answered without one.
	active    bool
	perSecond float64
	asOf      time.Time
	// permitted is the number of requests that may be sent until permittedUntil.
	permitted      int
	permittedUntil time.Time
	// wantedAt is when a request last would have gone to the endpoint but for a permit. asking
	// is set from a request for permits to its answer; the next one is sent at askAt or later.
	wantedAt time.Time
	asking   bool
	askAt    time.Time
	// unpermitted counts the requests without a permit since the last request for permits.
	unpermitted int
}

// permitAvailable reports whether a request may be sent to the endpoint as far as its limit is
// concerned.
func (l *requestLimit) permitAvailable(now time.Time) bool {
	return !l.active || l.permitted > 0 && now.Before(l.permittedUntil)
}

// usePermit records that a request is sent to the endpoint.
func (l *requestLimit) usePermit(now time.Time) {
	switch {
	case !l.active:
	case l.permitAvailable(now):
		l.permitted--
	default:
		l.unpermitted++
	}
}

// learn records the limit as of a time; a negative perSecond means none. It reports whether the
// limit changed.
func (l *requestLimit) learn(asOf time.Time, perSecond float64) bool {
	perSecond = float64(float32(perSecond)) // as in reports, which would otherwise change it
	active := perSecond >= 0
	changed := active != l.active || active && perSecond != l.perSecond
	if changed {
		// Permits and waits of the former limit are void.
		l.permitted, l.unpermitted, l.askAt = 0, 0, time.Time{}
	}
	l.active, l.asOf = active, asOf
	if active {
		l.perSecond = perSecond
	}
	return changed
}

// RecordLimit records that an endpoint's own answer named a limit, in requests per second. It
// reports whether the limit changed. It has no effect if the endpoint was replaced meanwhile.
func (t *Table) RecordLimit(now time.Time, ep catalog.Endpoint, perSecond float64) bool {
	e := t.instance(&ep)
	return e != nil && e.limit.learn(now, perSecond)
}

// RecordUnlimited records that an endpoint answered a request that was sent at sentAt with
// success and without naming a limit. It reports whether a limit ended.
func (t *Table) RecordUnlimited(now time.Time, ep catalog.Endpoint, sentAt time.Time) bool {
	e := t.instance(&ep)
	if e == nil || !e.limit.active || !sentAt.After(e.limit.asOf) {
		return false
	}
	return e.limit.learn(now, -1)
}

// MergeLimit records a limit that another host reported, unless a newer one is known. It reports
// whether the limit changed.
func (t *Table) MergeLimit(now time.Time, r permits.LimitReport) (changed bool) {
	asOf := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	for _, e := range t.byInstance[r.Instance] {
		if asOf.After(e.limit.asOf.Add(limitAgeTolerance)) {
			changed = e.limit.learn(asOf, float64(r.PerSecond)) || changed
		}
	}
	return changed
}

// Limits returns the limits that peers should know, at most maxReportedLimits in random order.
func (t *Table) Limits(now time.Time) []permits.LimitReport {
	var out []permits.LimitReport
	for _, e := range t.entries {
		l := &e.limit
		if !l.active && now.Sub(l.asOf) > limitEndRetention || len(out) == maxReportedLimits {
			continue
		}
		out = append(out, e.limitReport(now))
	}
	return out
}

func (e *entry) limitReport(now time.Time) permits.LimitReport {
	r := permits.LimitReport{Instance: e.instanceKey, PerSecond: float32(e.limit.perSecond),
		AgeMs: uint32(min(max(now.Sub(e.limit.asOf).Milliseconds(), 0), math.MaxUint32))}
	if !e.limit.active {
		r.PerSecond = -1
	}
	return r
}

// PermitsWanted is a request for permits that is due.
type PermitsWanted struct {
	Endpoint catalog.Endpoint
	// Limit is the endpoint's limit as this host knows it.
	Limit permits.LimitReport
	// Count is how many permits to ask for, and Unpermitted how many requests were sent without
	// one since the last request for permits.
	Count       int
	Unpermitted int
}

// TakePermitsWanted returns the requests for permits that are due now. The caller must send them
// and pass the answers to AddPermits.
func (t *Table) TakePermitsWanted(now time.Time) []PermitsWanted {
	var out []PermitsWanted
	for e := range t.wantingPermits {
		l := &e.limit
		switch {
		case l.permitAvailable(now), now.Sub(l.wantedAt) > wantLifetime:
			delete(t.wantingPermits, e)
		case !l.asking && !now.Before(l.askAt):
			delete(t.wantingPermits, e)
			out = append(out, PermitsWanted{Endpoint: e.endpoint, Limit: e.limitReport(now), Count: permits.BatchSize(l.perSecond), Unpermitted: l.unpermitted})
			l.unpermitted, l.asking = 0, true
		}
	}
	return out
}

// AddPermits records the answer to a request for permits. It reports whether requests may be sent
// that could not be sent before.
func (t *Table) AddPermits(now time.Time, ep catalog.Endpoint, g permits.Grant) bool {
	e := t.instance(&ep)
	if e == nil {
		return false
	}
	e.limit.asking, e.limit.askAt = false, now.Add(g.RetryAfter)
	if g.Count == 0 {
		return false
	}
	e.limit.permitted, e.limit.permittedUntil = g.Count, now.Add(permits.Lifetime)
	return true
}

// NextPermits returns the earliest time at which permits that are wanted should be requested; ok
// is false if none are wanted.
func (t *Table) NextPermits() (at time.Time, ok bool) {
	for e := range t.wantingPermits {
		if !e.limit.asking && (!ok || e.limit.askAt.Before(at)) {
			at, ok = e.limit.askAt, true
		}
	}
	return at, ok
}

// PermitWait reports whether requests for the query wait for permits: endpoints are eligible, and
// each has a limit and no permit. wait is how long that lasts at least, zero if an issuer has not
// answered yet.
func (t *Table) PermitWait(now time.Time, q Query) (wait time.Duration, atLimit bool) {
	for _, e := range t.services[q.Service] {
		if !e.eligible(&q) {
			continue
		}
		if e.limit.permitAvailable(now) {
			return 0, false
		}
		left := max(e.limit.askAt.Sub(now), 0)
		if e.limit.asking {
			left = 0
		}
		if !atLimit || left < wait {
			wait, atLimit = left, true
		}
	}
	return wait, atLimit
}

// CurrentLimit merges a limit that another host reported and returns the newest one known, in
// requests per second; negative if it has ended.
func (t *Table) CurrentLimit(now time.Time, r permits.LimitReport) float64 {
	t.MergeLimit(now, r)
	known := t.byInstance[r.Instance]
	switch {
	case len(known) == 0:
		return float64(r.PerSecond)
	case !known[0].limit.active:
		return -1
	}
	return known[0].limit.perSecond
}

// RecordCall records a call to an endpoint that is sent whether or not its limit allows it, such
// as an order to load weights.
func (t *Table) RecordCall(now time.Time, ep catalog.Endpoint) {
	if e := t.instance(&ep); e != nil {
		e.limit.usePermit(now)
	}
}

// limitedCandidate is an endpoint that a query could select but for a permit, and its cost.
type limitedCandidate struct {
	entry *entry
	cost  float64
}

// wantPermits records that permits are wanted after a query: for every candidate if the query
// selected no endpoint, else for the one with the lowest cost if that is lower than the cost of
// the endpoint selected.
func (t *Table) wantPermits(now time.Time, candidates []limitedCandidate, selected bool, selectedCost float64) {
	cheapest := -1
	for i, c := range candidates {
		if !selected {
			t.wantPermit(now, c.entry)
		} else if c.cost < selectedCost && (cheapest < 0 || c.cost < candidates[cheapest].cost) {
			cheapest = i
		}
	}
	if cheapest >= 0 {
		t.wantPermit(now, candidates[cheapest].entry)
	}
}

func (t *Table) wantPermit(now time.Time, e *entry) {
	e.limit.wantedAt = now
	t.wantingPermits[e] = struct{}{}
}
