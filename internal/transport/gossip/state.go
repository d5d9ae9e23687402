package gossip

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
)

// State is what a host knows at one moment. It is immutable.
type State struct {
	Self    members.Record
	Records []members.Record
	// Links is the number of hosts that news goes to.
	Links       int
	Drains      []items.Item
	Quarantine  []items.Item
	Loads       []items.Item
	Demands     []items.Item
	Generations []items.Item
	// At is when the ages in the items were true.
	At time.Time
}

// hintHeartbeats is the least time, in heartbeats, between two states that differ in
// hints only.
const hintHeartbeats = 2

// publisher hands states on: those with urgent changes at once, others seldom.
type publisher struct {
	urgent bool
	hints  bool
	last   time.Time
}

func (p *publisher) due(now time.Time, heartbeat time.Duration) bool {
	if p.urgent || p.hints && now.Sub(p.last) >= hintHeartbeats*heartbeat {
		p.urgent, p.hints, p.last = false, false, now
		return true
	}
	return false
}

func (d *Duty) snapshot(now time.Time) *State {
	return &State{
		Self:        d.machine.Self(),
		Records:     d.machine.Records(),
		Links:       len(d.machine.Links()),
		Drains:      d.store.Of(now, items.Drain),
		Quarantine:  d.store.Of(now, items.Quarantine),
		Loads:       d.store.Of(now, items.Load),
		Demands:     d.store.Of(now, items.Demand),
		Generations: d.store.Of(now, items.Generation),
		At:          now,
	}
}
