package rollout

import (
	"math/rand/v2"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// engines is the trainer's view of its deployment's engines. Only the owner's duty
// uses it.
type engines struct {
	now     func() time.Time
	rng     *rand.Rand
	table   *routing.Table
	newest  model.WeightVersion
	picked  map[model.EndpointID]routing.Choice
	running map[samples.AttemptID]started
}

type started struct {
	choice routing.Choice
	at     time.Time
}

func newEngines(zone model.ZoneID, seed uint64) *engines {
	return &engines{
		now:     time.Now,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		table:   routing.NewTable(time.Now(), zone),
		picked:  map[model.EndpointID]routing.Choice{},
		running: map[samples.AttemptID]started{},
	}
}

// update takes in a fleet view: the engines, the trainer's share of their slots, what
// they report and who is leaving.
func (e *engines) update(view *model.FleetView, trainer model.Trainer) {
	c := view.Config
	d := c.Deployments[trainer.Deployment]
	shares := 0.0
	for _, t := range c.Trainers {
		if t.Deployment == trainer.Deployment {
			shares += t.Share
		}
	}
	loads := make(map[model.EndpointID]model.EndpointLoad, len(view.Loads))
	for _, l := range view.Loads {
		loads[l.Endpoint] = l
	}
	list := endpoints.Of(c, endpoints.Target{Deployment: trainer.Deployment})
	e.newest = 0
	for i := range list {
		l := loads[list[i].ID]
		list[i].Slots = samples.Quota(d, l.Queued, trainer.Share, shares)
		e.newest = max(e.newest, l.Version)
	}
	e.table.Update(list)
	e.table.SetDrains(view.Drains)
	now := e.now()
	for _, ep := range list {
		if l, ok := loads[ep.ID]; ok {
			e.table.Report(now, ep.ID, routing.Load{Running: l.Running, Queued: l.Queued, Version: l.Version, Age: l.Age})
		}
	}
}

// Pick implements samples.Picker.
func (e *engines) Pick(least model.WeightVersion, avoid model.EndpointID) (model.EndpointID, bool) {
	now := e.now()
	constraints := routing.Constraints{MinVersion: least, FreeSlot: true}
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
	e.picked[choice.ID] = choice
	return choice.ID, true
}

// NewestVersion implements samples.Picker.
func (e *engines) NewestVersion() model.WeightVersion { return e.newest }

// begin binds an attempt to the choice made for it and returns the address.
func (e *engines) begin(id samples.AttemptID, engine model.EndpointID) string {
	c := e.picked[engine]
	e.running[id] = started{choice: c, at: e.now()}
	return c.Address
}

// end gives the attempt's slot back; a second call for it does nothing.
func (e *engines) end(id samples.AttemptID, r routing.Result) {
	s, ok := e.running[id]
	if !ok {
		return
	}
	delete(e.running, id)
	now := e.now()
	e.table.End(now, s.choice, s.at, r, now.Sub(s.at))
}
