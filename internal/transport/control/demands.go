package control

import (
	"slices"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// minDemandInterval is the minimum time between two gossiped demand items of a program;
	// after maxDemandInterval an unchanged one is sent again.
	minDemandInterval = 5 * time.Second
	maxDemandInterval = 30 * time.Second
	// A change of a demand is gossiped if it is more than 1/demandChangeDivisor of the
	// previous demand.
	demandChangeDivisor = 4
)

// demandFilter limits how often the demands that a program reports are gossiped.
type demandFilter struct {
	mu   sync.Mutex
	last map[string]sentDemands
}

type sentDemands struct {
	sentAt  time.Time
	version uint64
	facts   []items.DemandFact
}

// takeDueItems returns the demand item to gossip for a report, or nil if none is due, and
// records it as sent.
func (d *demandFilter) takeDueItems(now time.Time, r wire.Report) []items.Item {
	facts := largestDemands(r.Demands)
	if len(facts) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.last[r.Program]
	elapsed := now.Sub(old.sentAt)
	if elapsed < minDemandInterval || elapsed < maxDemandInterval && similarDemands(facts, old.facts) {
		return nil
	}
	// The wall clock may step back, and an item with a version that is not higher is ignored.
	version := max(old.version+1, uint64(max(now.Unix(), 0)))
	d.last[r.Program] = sentDemands{now, version, facts}
	return []items.Item{{Kind: items.Demand, Key: string(r.Host) + "/" + r.Program, Version: version, Demand: facts}}
}

// largestDemands returns the items.MaxDemandsPerHost largest demands, largest first.
func largestDemands(list []model.CallerDemand) []items.DemandFact {
	out := make([]items.DemandFact, 0, len(list))
	for _, c := range list {
		out = append(out, items.DemandFact{Caller: c.Caller, PerSecond: float32(c.PerSecond)})
	}
	slices.SortStableFunc(out, func(a, b items.DemandFact) int {
		switch {
		case a.PerSecond > b.PerSecond:
			return -1
		case a.PerSecond < b.PerSecond:
			return 1
		}
		return 0
	})
	return out[:min(len(out), items.MaxDemandsPerHost)]
}

// similarDemands reports whether a and b name the same callers and no caller's demand
// differs by more than its value in b divided by demandChangeDivisor.
func similarDemands(a, b []items.DemandFact) bool {
	if len(a) != len(b) {
		return false
	}
	previous := map[model.CallerID]float32{}
	for _, f := range b {
		previous[f.Caller] = f.PerSecond
	}
	for _, f := range a {
		old, known := previous[f.Caller]
		if change := max(f.PerSecond-old, old-f.PerSecond); !known || change*demandChangeDivisor > old {
			return false
		}
	}
	return true
}
