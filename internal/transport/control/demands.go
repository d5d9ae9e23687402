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
	// minDemandInterval is the least time between two spreadings of a program's
	// demands, maxDemandInterval the time after which unchanged ones are repeated.
	minDemandInterval = 5 * time.Second
	maxDemandInterval = 30 * time.Second
	// demandChangePart is the part of a demand by which it must change to be news.
	demandChangePart = 4
)

// demandSpread decides when the demands that a program reports are worth spreading.
type demandSpread struct {
	mu   sync.Mutex
	last map[string]spreadDemand
}

type spreadDemand struct {
	at    time.Time
	facts []items.DemandFact
}

func (d *demandSpread) items(now time.Time, r wire.Report) []items.Item {
	facts := largest(r.Demands)
	if len(facts) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.last[r.Program]
	since := now.Sub(old.at)
	if since < minDemandInterval || since < maxDemandInterval && alike(facts, old.facts) {
		return nil
	}
	d.last[r.Program] = spreadDemand{now, facts}
	return []items.Item{{Kind: items.Demand, Key: string(r.Host) + "/" + r.Program, Version: uint64(now.Unix()), Demand: facts}}
}

// largest returns the greatest demands within the bound of one item, greatest first.
func largest(list []model.CallerDemand) []items.DemandFact {
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

// alike says that the same callers ask for about the same.
func alike(a, b []items.DemandFact) bool {
	if len(a) != len(b) {
		return false
	}
	was := map[model.CallerID]float32{}
	for _, f := range b {
		was[f.Caller] = f.PerSecond
	}
	for _, f := range a {
		old, known := was[f.Caller]
		if change := max(f.PerSecond-old, old-f.PerSecond); !known || change*demandChangePart > old {
			return false
		}
	}
	return true
}
