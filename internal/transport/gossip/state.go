package gossip

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
)

// State is an immutable snapshot of a host's membership records and items.
type State struct {
	Self    members.Record
	Records []members.Record
	// Links is the number of hosts that updates are sent to.
	Links       int
	Drains      []items.Item
	Quarantine  []items.Item
	Loads       []items.Item
	Demands     []items.Item
	Generations []items.Item
	// At is the time of the snapshot, to which the ages of the items refer.
	At time.Time
}

// hintPublishHeartbeats is the minimum time, in heartbeats, before a state is published
// that differs from the previous one only in hints, the items whose kind is not urgent.
const hintPublishHeartbeats = 2

// publisher decides when the next state is published: at the next tick after an urgent
// change, and at most every hintPublishHeartbeats after changes of hints.
type publisher struct {
	urgent bool
	hints  bool
	last   time.Time
}

// due reports whether a state is to be published now, and if so clears the changes.
func (p *publisher) due(now time.Time, heartbeat time.Duration) bool {
	if p.urgent || p.hints && now.Sub(p.last) >= hintPublishHeartbeats*heartbeat {
		p.urgent, p.hints, p.last = false, false, now
		return true
	}
	return false
}

func (s *Service) snapshot(now time.Time) *State {
	return &State{
		Self:        s.machine.Self(),
		Records:     s.machine.Records(),
		Links:       len(s.machine.Links()),
		Drains:      s.store.ByKind(now, items.Drain),
		Quarantine:  s.store.ByKind(now, items.Quarantine),
		Loads:       s.store.ByKind(now, items.Load),
		Demands:     s.store.ByKind(now, items.Demand),
		Generations: s.store.ByKind(now, items.Generation),
		At:          now,
	}
}
