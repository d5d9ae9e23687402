package samples

import "oleanderfall.example/oleanderfall/internal/state/model"

// Explanation describes the state of a slot. Batch is the index of its batch, -1 if it is
// in none.
type Explanation struct {
	State    string              `json:"state"`
	Batch    int                 `json:"batch"`
	Attempt  AttemptID           `json:"attempt,omitempty"`
	Engine   model.EndpointID    `json:"engine,omitempty"`
	Tokens   int                 `json:"tokens"`
	Oldest   model.WeightVersion `json:"oldest_version,omitempty"`
	Trainer  model.WeightVersion `json:"trainer_version"`
	Bound    int                 `json:"staleness_bound"`
	Failures int                 `json:"failures,omitempty"`
}

var stateNames = map[slotState]string{
	slotPending: "pending", slotRunning: "running", slotScoring: "scoring", slotReady: "ready",
	slotClosed: "received or dropped", slotWithoutContent: "offered by an earlier owner",
}

// Explain returns the state of a slot, and false if its step is not open or has no such
// slot.
func (m *Machine) Explain(id SlotID) (Explanation, bool) {
	st := m.findStep(id.Step)
	if st == nil || id.Index < 0 || id.Index >= len(st.slots) {
		return Explanation{}, false
	}
	s := &st.slots[id.Index]
	out := Explanation{
		State: stateNames[s.state], Batch: -1, Attempt: s.attempt, Tokens: s.tokens, Oldest: s.oldest,
		Trainer: m.version, Bound: int(m.bound(st)), Failures: int(s.failures),
	}
	if a := m.attempts[s.attempt]; a != nil {
		out.Engine, out.Tokens, out.Oldest = a.engine, a.tokens, a.oldest
	}
	for n, batch := range st.rec.Batches {
		for _, i := range batch {
			if int(i) == id.Index {
				out.Batch = n
			}
		}
	}
	return out, true
}
