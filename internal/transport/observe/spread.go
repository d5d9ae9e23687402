package observe

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// refreshInterval is how often the first asker spreads an unchanged load.
	refreshInterval = 12 * time.Second
	// busyInterval is the least time between two loads that differ in numbers only.
	busyInterval = 6 * time.Second
	// The other askers wait that much longer than the first, and so spread only what
	// is new and what the first one fails to spread.
	laterPart = 2
	// A change of running or queued requests is worth spreading from this many on,
	// and from this part of the former number on.
	minChange  = 2
	changePart = 4
)

// spread decides which loads of one endpoint are worth spreading, given what any
// asker spread last.
type spread struct {
	rank int
	last items.LoadFact
	at   time.Time
}

// hear takes a load that another asker spread, if it is newer.
func (s *spread) hear(now time.Time, known items.Item) {
	at := now.Add(-time.Duration(known.AgeMillis) * time.Millisecond)
	if at.After(s.at) && known.Load != nil {
		s.last, s.at = *known.Load, at
	}
}

func (s *spread) load(now time.Time, id model.EndpointID, fact items.LoadFact, age time.Duration) []items.Item {
	old := s.last
	since := now.Sub(s.at)
	became := fact.Version != old.Version || fact.Incarnation != old.Incarnation || fact.Unreached != old.Unreached
	moved := differs(fact.Running, old.Running) || differs(fact.Queued, old.Queued)
	patience := time.Duration(1)
	if s.rank > 0 {
		patience = laterPart
	}
	if !became && since < patience*refreshInterval && (!moved || since < patience*busyInterval) {
		return nil
	}
	s.last, s.at = fact, now
	return []items.Item{{
		Kind:      items.Load,
		Key:       string(id),
		Version:   uint64(now.Unix()),
		AgeMillis: age.Milliseconds(),
		Load:      &fact,
	}}
}

func differs(a, b int) bool {
	d := max(a-b, b-a)
	return d >= minChange && d*changePart >= b
}
