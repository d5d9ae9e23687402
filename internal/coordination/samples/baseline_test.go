package samples

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// baseline is the plain way: slots start in order once their step is the trainer's
// present one, nothing is cancelled, and the step is delivered in order once all of it
// is made. What is too old by then is made again.
type baseline struct {
	bound    int
	version  model.WeightVersion
	steps    []*baselineStep
	attempts map[AttemptID]SlotID
	last     AttemptID
}

type baselineStep struct {
	spec   StepSpec
	next   int
	again  []int
	made   []bool
	oldest []model.WeightVersion
	count  int
	sent   int
}

func newBaseline(c Settings, _ model.Epoch) policy {
	return &baseline{bound: c.Bound, attempts: map[AttemptID]SlotID{}}
}

func (b *baseline) find(step uint64) *baselineStep {
	for _, st := range b.steps {
		if st.spec.Step == step {
			return st
		}
	}
	return nil
}

func (b *baseline) Open(now time.Time, s StepSpec) ([]Action, error) {
	if b.find(s.Step) == nil {
		n := s.Groups * s.GroupSize
		b.steps = append(b.steps, &baselineStep{spec: s, made: make([]bool, n), oldest: make([]model.WeightVersion, n)})
	}
	return b.SetVersion(now, s.Version), nil
}

func (b *baseline) SetVersion(_ time.Time, v model.WeightVersion) []Action {
	b.version = max(b.version, v)
	return nil
}

func (b *baseline) Plan(_ time.Time, pick Picker, _ bool) []Action {
	var actions []Action
	for len(b.steps) > 0 {
		st := b.steps[0]
		i := st.next
		if len(st.again) > 0 {
			i = st.again[0]
		}
		if i >= len(st.made) {
			break
		}
		oldest := b.version - min(b.version, model.WeightVersion(b.bound))
		engine, ok := pick.Pick(max(1, oldest), "")
		if !ok {
			break
		}
		if len(st.again) > 0 {
			st.again = st.again[1:]
		} else {
			st.next++
		}
		b.last++
		id := SlotID{Step: st.spec.Step, Index: i}
		b.attempts[b.last] = id
		actions = append(actions, Action{Kind: ActionStart, Slot: id, Attempt: b.last, Engine: engine})
	}
	return actions
}

func (b *baseline) Progress(time.Time, AttemptID, int, model.WeightVersion) []Action { return nil }

func (b *baseline) Finished(_ time.Time, id AttemptID, _ int, oldest model.WeightVersion) []Action {
	slot := b.attempts[id]
	delete(b.attempts, id)
	st := b.find(slot.Step)
	st.made[slot.Index], st.oldest[slot.Index] = true, oldest
	st.count++
	return nil
}

func (b *baseline) Failed(_ time.Time, id AttemptID, _ Failure, _ int, _ model.WeightVersion) []Action {
	slot := b.attempts[id]
	delete(b.attempts, id)
	st := b.find(slot.Step)
	st.again = append(st.again, slot.Index)
	return nil
}

func (b *baseline) Pull(_ time.Time, p Pull) (Offer, []Action) {
	st := b.find(p.Step)
	for b.steps[0] != st {
		b.steps = b.steps[1:]
	}
	if st.count < len(st.made) {
		return Offer{State: PullWait}, nil
	}
	for i := st.sent; i < len(st.made); i++ {
		if st.oldest[i]+model.WeightVersion(b.bound) < b.version {
			st.made[i] = false
			st.count--
			st.again = append(st.again, i)
		}
	}
	if st.count < len(st.made) {
		return Offer{State: PullWait}, nil
	}
	o := Offer{State: PullOffer, Next: p.Cursor + 1}
	for i := st.sent; i < min(st.sent+p.Max, len(st.made)); i++ {
		o.Slots = append(o.Slots, SlotID{Step: p.Step, Index: i})
	}
	st.sent += len(o.Slots)
	o.Done = st.sent == len(st.made)
	return o, nil
}

func (b *baseline) Pending() (uint64, bool) { return 0, false }
func (b *baseline) Record() ledger.Record   { return ledger.Record{} }
func (b *baseline) Confirm(uint64)          {}
