package placement

import (
	"slices"
	"time"
)

// cost returns the expected service time relative to the service's baseline, plus
// penalties.
func (e *entry) cost(now time.Time, zone string, baseline time.Duration, random uint64) float64 {
	cost := 1.0
	if baseline > 0 {
		cost = float64(e.serviceTimeAt(now, baseline)) / float64(baseline)
	}
	utilization := float64(e.load()) / float64(max(e.endpoint.Slots, 1))
	if utilization >= 1 {
		cost *= 1 + utilization
	}
	cost += utilization * loadCost
	if zone != e.endpoint.Zone {
		cost += otherZoneCost
	}
	switch {
	case e.suspect(now), now.Before(e.reportedUnreachableUntil) && now.Sub(e.answeredAt) > reportTTL,
		now.Before(e.reportedSlowUntil) && now.Sub(e.measuredAt) > reportTTL:
		cost += suspectCost
	case e.triedAgain(now, baseline):
		cost += suspectCost
	case e.hasIdleConnection(now):
		cost -= warmBonus
	}
	jitter := (uint64(e.key) ^ random) * 0x9e3779b97f4a7c15 >> 54
	return cost + float64(jitter)/1024*tieBreakCost
}

const (
	// loadCost is the cost added for a full endpoint compared with an idle one.
	loadCost = 0.5
	// versionCost is added for each version above the required one, up to maxVersionSteps.
	// It reserves endpoints with newer weights for the training steps that need them.
	versionCost     = 0.3
	maxVersionSteps = 2
	// warmBonus favors endpoints to which this host has an idle connection. An idle connection
	// stays open for idleConnTTL; at most maxIdleConns are kept.
	warmBonus    = 0.15
	idleConnTTL  = 9 * time.Second
	maxIdleConns = 24
	// tieBreakCost bounds the random term that spreads requests over endpoints of equal
	// cost.
	tieBreakCost = 0.04
)

// hasIdleConnection reports whether a request to the endpoint can reuse a connection.
func (e *entry) hasIdleConnection(now time.Time) bool {
	n := len(e.idleSince)
	return n > 0 && now.Sub(e.idleSince[n-1]) < idleConnTTL
}

// serviceTimeAt returns the endpoint's service time, or the baseline if it is unknown. The
// excess of a slow measurement over the baseline is divided by 4 after each
// slowMeasurementTTL without a new one, so that a recovered endpoint is tried again.
func (e *entry) serviceTimeAt(now time.Time, baseline time.Duration) time.Duration {
	if e.serviceTime == 0 {
		return baseline
	}
	if e.serviceTime <= baseline {
		return e.serviceTime
	}
	excess := e.serviceTime - baseline
	for age := now.Sub(e.measuredAt); age > slowMeasurementTTL && excess > 0; age -= slowMeasurementTTL {
		excess /= 4
	}
	return baseline + excess
}

// triedAgain reports whether the endpoint was slow, its measurement is too old to count in full, and a
// request of this host that may show its speed is in flight there.
func (e *entry) triedAgain(now time.Time, baseline time.Duration) bool {
	return e.localLoad > 0 && e.serviceTime > 0 && now.Sub(e.measuredAt) > slowMeasurementTTL &&
		float64(e.serviceTime) >= slowFactor*float64(baseline)
}

// baseline returns the median service time of a service's endpoints, or 0 if none is known.
// It also updates t.baselines, which caches the result for up to baselineTTL.
func (t *Table) baseline(now time.Time, service string) time.Duration {
	cached, ok := t.baselines[service]
	if ok && now.Sub(cached.computedAt) < baselineTTL && cached.serviceTime > 0 {
		return cached.serviceTime
	}
	var serviceTimes []time.Duration
	for _, e := range t.services[service] {
		if e.serviceTime > 0 {
			serviceTimes = append(serviceTimes, e.serviceTime)
		}
	}
	var median time.Duration
	if len(serviceTimes) > 0 {
		slices.Sort(serviceTimes)
		median = serviceTimes[(len(serviceTimes)-1)/2]
	}
	t.baselines[service] = serviceBaseline{serviceTime: median, computedAt: now}
	return median
}

// Baseline returns the median service time of a service's endpoints; zero is unknown.
func (t *Table) Baseline(now time.Time, service string) time.Duration {
	return t.baseline(now, service)
}

// ServiceTime returns an endpoint's service time and its service's baseline; zero is unknown.
func (t *Table) ServiceTime(now time.Time, id string) (serviceTime, baseline time.Duration) {
	e, ok := t.entries[id]
	if !ok {
		return 0, 0
	}
	baseline = t.baseline(now, e.endpoint.Service)
	return e.serviceTimeAt(now, baseline), baseline
}
