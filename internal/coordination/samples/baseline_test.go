package samples

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// baseline is the simple policy that Machine is compared with. It starts the slots of the
// trainer's current step in order, cancels nothing, and delivers the step in order once
// all of its samples are finished. Samples that are too stale by then are generated again.
type baseline struct {
	bound       int
	version     model.WeightVersion
	steps       []*baselineStep
	attempts    map[AttemptID]SlotID
	lastAttempt AttemptID
}

type baselineStep struct {
	spec          StepSpec
	nextStart     int
	retry         []int
	finished      []bool
	oldest        []model.WeightVersion
	finishedCount int
	sent          int
}

func newBaseline(c Settings, _ model.Epoch) policy {
	return &baseline{bound: c.Bound, attempts: map[AttemptID]SlotID{}}
}

func (b *baseline) findStep(step uint64) *baselineStep {
	for _, st := range b.steps {
		if st.spec.Step == step {
			return st
		}
	}
	return nil
}

func (b *baseline) Open(now time.Time, s StepSpec) ([]Action, error) {
	if b.findStep(s.Step) == nil {
		n := s.Groups * s.GroupSize
		b.steps = append(b.steps, &baselineStep{spec: s, finished: make([]bool, n), oldest: make([]model.WeightVersion, n)})
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
		i := st.nextStart
		if len(st.retry) > 0 {
			i = st.retry[0]
		}
		if i >= len(st.finished) {
			break
		}
		oldest := b.version - min(b.version, model.WeightVersion(b.bound))
		engine, ok := pick.Pick(max(1, oldest), "")
		if !ok {
			break
		}
		if len(st.retry) > 0 {
			st.retry = st.retry[1:]
		} else {
			st.nextStart++
		}
		b.lastAttempt++
		id := SlotID{Step: st.spec.Step, Index: i}
		b.attempts[b.lastAttempt] = id
		actions = append(actions, Action{Kind: ActionStart, Slot: id, Attempt: b.lastAttempt, Engine: engine})
	}
	return actions
}

func (b *baseline) Progress(time.Time, AttemptID, int, model.WeightVersion) []Action { return nil }

func (b *baseline) Finished(_ time.Time, id AttemptID, _ int, oldest model.WeightVersion) []Action {
	slot := b.attempts[id]
	delete(b.attempts, id)
	st := b.findStep(slot.Step)
	st.finished[slot.Index], st.oldest[slot.Index] = true, oldest
	st.finishedCount++
	return nil
}

func (b *baseline) Failed(_ time.Time, id AttemptID, _ Failure, _ int, _ model.WeightVersion) []Action {
	slot := b.attempts[id]
	delete(b.attempts, id)
	st := b.findStep(slot.Step)
	st.retry = append(st.retry, slot.Index)
	return nil
}

func (b *baseline) Pull(_ time.Time, p Pull) (Offer, []Action) {
	st := b.findStep(p.Step)
	for b.steps[0] != st {
		b.steps = b.steps[1:]
	}
	if st.finishedCount < len(st.finished) {
		return Offer{State: PullWait}, nil
	}
	for i := st.sent; i < len(st.finished); i++ {
		if st.oldest[i]+model.WeightVersion(b.bound) < b.version {
			st.finished[i] = false
			st.finishedCount--
			st.retry = append(st.retry, i)
		}
	}
	if st.finishedCount < len(st.finished) {
		return Offer{State: PullWait}, nil
	}
	o := Offer{State: PullOffer, Next: p.Cursor + 1}
	for i := st.sent; i < min(st.sent+p.Max, len(st.finished)); i++ {
		o.Slots = append(o.Slots, SlotID{Step: p.Step, Index: i})
	}
	st.sent += len(o.Slots)
	o.Done = st.sent == len(st.finished)
	return o, nil
}

func (b *baseline) RecordSequence() (uint64, bool) { return 0, false }
func (b *baseline) Record() ledger.Record          { return ledger.Record{} }
func (b *baseline) Confirm(uint64)                 {}
