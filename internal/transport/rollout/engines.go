package rollout

import (
	"math/rand/v2"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// engineTable tracks the engines of a trainer's deployment: their reported load, the
// trainer's share of their slots and its running attempts. Only the owner's event loop
// uses it.
type engineTable struct {
	now           func() time.Time
	rng           *rand.Rand
	table         *routing.Table
	newestVersion model.WeightVersion
	// choices holds the last choice by Pick of each engine, for begin.
	choices map[model.EndpointID]routing.Choice
	running map[samples.AttemptID]engineAttempt
}

// engineAttempt is an attempt that takes a slot of an engine.
type engineAttempt struct {
	choice    routing.Choice
	startedAt time.Time
}

func newEngineTable(zone model.ZoneID, seed uint64) *engineTable {
	return &engineTable{
		now:     time.Now,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		table:   routing.NewTable(time.Now(), zone),
		choices: map[model.EndpointID]routing.Choice{},
		running: map[samples.AttemptID]engineAttempt{},
	}
}

// update applies a fleet view: the engines, the trainer's share of their slots, the
// reported loads and the current drains.
func (e *engineTable) update(view *model.FleetView, trainer model.Trainer) {
	c := view.Config
	d := c.Deployments[trainer.Deployment]
	totalShare := 0.0
	for _, t := range c.Trainers {
		if t.Deployment == trainer.Deployment {
			totalShare += t.Share
		}
	}
	loads := make(map[model.EndpointID]model.EndpointLoad, len(view.Loads))
	for _, l := range view.Loads {
		loads[l.Endpoint] = l
	}
	list := endpoints.ForTarget(c, endpoints.Target{Deployment: trainer.Deployment})
	e.newestVersion = 0
	for i := range list {
		l := loads[list[i].ID]
		list[i].Slots = samples.Quota(d, l.Queued, trainer.Share, totalShare)
		e.newestVersion = max(e.newestVersion, l.Version)
	}
	e.table.Update(list)
	e.table.SetDrains(view.Drains)
	now := e.now()
	for _, ep := range list {
		if l, ok := loads[ep.ID]; ok {
			e.table.RecordLoad(now, ep.ID, routing.Load{Running: l.Running, Queued: l.Queued, Version: l.Version, Age: l.Age})
		}
	}
}

// Pick implements samples.Picker.
func (e *engineTable) Pick(minVersion model.WeightVersion, avoid model.EndpointID) (model.EndpointID, bool) {
	now := e.now()
	constraints := routing.Constraints{MinVersion: minVersion, FreeSlot: true}
	if avoid != "" {
		constraints.Exclude = []model.EndpointID{avoid}
	}
	choice, ok := e.table.Pick(now, e.rng, constraints)
	if !ok && avoid != "" {
		constraints.Exclude = nil
		choice, ok = e.table.Pick(now, e.rng, constraints)
	}
	if !ok {
		return "", false
	}
	e.table.Begin(now, choice)
	e.choices[choice.ID] = choice
	return choice.ID, true
}

// NewestVersion implements samples.Picker.
func (e *engineTable) NewestVersion() model.WeightVersion { return e.newestVersion }

// begin records an attempt at the engine that Pick chose for it and returns the engine's
// address.
func (e *engineTable) begin(id samples.AttemptID, engine model.EndpointID) string {
	c := e.choices[engine]
	e.running[id] = engineAttempt{choice: c, startedAt: e.now()}
	return c.Address
}

// end releases the attempt's slot and records its result. A second call for the same
// attempt has no effect.
func (e *engineTable) end(id samples.AttemptID, r routing.Result) {
	s, ok := e.running[id]
	if !ok {
		return
	}
	delete(e.running, id)
	now := e.now()
	e.table.End(now, s.choice, s.startedAt, r, now.Sub(s.startedAt))
}
