package observe

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// refreshInterval is how often the first asker spreads an unchanged load; the
	// others wait that much longer for each rank.
	refreshInterval = 10 * time.Second
	// busyInterval is, in the same way, the least time between two loads that differ
	// in numbers only.
	busyInterval = 4 * time.Second
	// A change of running or queued requests is worth spreading from this many on,
	// and from this part of the former number on.
	minChange  = 2
	changePart = 4
)

// spread decides which loads of one endpoint are worth spreading.
type spread struct {
	rank int
	last items.LoadFact
	at   time.Time
}

func (s *spread) load(now time.Time, id model.EndpointID, fact items.LoadFact, age time.Duration) []items.Item {
	old := s.last
	since := now.Sub(s.at)
	became := fact.Version != old.Version || fact.Incarnation != old.Incarnation || fact.Unreached != old.Unreached
	moved := differs(fact.Running, old.Running) || differs(fact.Queued, old.Queued)
	rank := time.Duration(1 + s.rank)
	if !became && since < rank*refreshInterval && (!moved || since < rank*busyInterval) {
		return nil
	}
	s.last, s.at = fact, now
	return []items.Item{{
		Kind:      items.Load,
		Key:       string(id),
		Version:   uint64(now.UnixMilli()),
		AgeMillis: age.Milliseconds(),
		Load:      &fact,
	}}
}

func differs(a, b int) bool {
	d := max(a-b, b-a)
	return d >= minChange && d*changePart >= b
}
