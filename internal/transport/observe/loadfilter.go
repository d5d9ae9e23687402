package observe

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// refreshInterval is the time after which the first poller reports an unchanged load
	// again.
	refreshInterval = 12 * time.Second
	// minLoadInterval is the minimum time between two reports that differ only in the
	// numbers of running or queued requests.
	minLoadInterval = 6 * time.Second
	// secondaryDelayFactor multiplies both intervals for the pollers other than the first.
	// They report a change of version, incarnation or reachability immediately, but other
	// loads only if the first poller fails to report them.
	secondaryDelayFactor = 2
	// A change in the number of running or queued requests is reported if it is at least
	// minChange and at least 1/minChangeDivisor of the previous number.
	minChange        = 2
	minChangeDivisor = 4
)

// loadFilter decides which loads of one endpoint to report, given the last load that any
// of its pollers reported.
type loadFilter struct {
	// rank is the rank of this host among the endpoint's pollers; 0 is the first poller.
	rank      int
	last      items.LoadFact
	updatedAt time.Time
	// version is the highest version of an item for the endpoint that this host has sent or received.
	version uint64
}

// receive records a load reported by another poller if it is newer than the last one.
func (f *loadFilter) receive(now time.Time, known items.Item) {
	f.version = max(f.version, known.Version)
	at := now.Add(-time.Duration(known.AgeMillis) * time.Millisecond)
	if at.After(f.updatedAt) && known.Load != nil {
		f.last, f.updatedAt = *known.Load, at
	}
}

// report returns an item with the load, or nothing if the load need not be reported yet.
func (f *loadFilter) report(now time.Time, id model.EndpointID, fact items.LoadFact, age time.Duration) []items.Item {
	previous := f.last
	since := now.Sub(f.updatedAt)
	stateChanged := fact.Version != previous.Version || fact.Incarnation != previous.Incarnation || fact.Unreachable != previous.Unreachable
	loadChanged := changedEnough(fact.Running, previous.Running) || changedEnough(fact.Queued, previous.Queued)
	delayFactor := time.Duration(1)
	if f.rank > 0 {
		delayFactor = secondaryDelayFactor
	}
	if !stateChanged && since < delayFactor*refreshInterval && (!loadChanged || since < delayFactor*minLoadInterval) {
		return nil
	}
	f.last, f.updatedAt = fact, now
	// An item with a version that is not higher is ignored. The wall clocks of the pollers differ and step.
	f.version = max(f.version+1, uint64(max(now.Unix(), 0)))
	return []items.Item{{
		Kind:      items.Load,
		Key:       string(id),
		Version:   f.version,
		AgeMillis: age.Milliseconds(),
		Load:      &fact,
	}}
}

// changedEnough reports whether the change from previous to current is large enough to
// report.
func changedEnough(current, previous int) bool {
	change := max(current-previous, previous-current)
	return change >= minChange && change*minChangeDivisor >= previous
}
