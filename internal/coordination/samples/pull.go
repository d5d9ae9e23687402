package samples

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// maxBatches bounds the batches of a step, and so the writes of its record.
const maxBatches = 128

// Pull is a trainer's request for a batch.
type Pull struct {
	Step    uint64
	Cursor  uint64
	Max     int
	Version model.WeightVersion
}

// PullState says what came of a pull.
type PullState int

// The outcomes of a pull.
const (
	// PullWait: nothing can be offered yet.
	PullWait PullState = iota
	// PullOffer: the batch may be sent now.
	PullOffer
	// PullUnknown: no such step is open.
	PullUnknown
	// PullConflict: the cursor is beyond the batches that exist or below one that was
	// acknowledged, or the trainer takes fewer samples than a group has.
	PullConflict
)

// Offer is the answer to a pull.
type Offer struct {
	State PullState
	Slots []SlotID
	Next  uint64
	Done  bool
}

// Pull answers a request. The caller asks again after any change while the answer is
// PullWait; an offer holds only for the moment it was given.
func (m *Machine) Pull(now time.Time, p Pull) (Offer, []Action) {
	actions := m.SetVersion(now, p.Version)
	st := m.find(p.Step)
	if st == nil {
		return Offer{State: PullUnknown}, actions
	}
	if p.Cursor < uint64(st.received) || p.Cursor > uint64(len(st.rec.Batches)) || p.Max < st.rec.GroupSize {
		return Offer{State: PullConflict}, actions
	}
	for m.steps[0] != st {
		actions = append(actions, m.closeFirst()...)
	}
	m.pace.pulling(now, p.Step)
	actions = append(actions, m.acknowledge(st, p.Cursor)...)
	if p.Cursor == uint64(len(st.rec.Batches)) {
		if st.whole() {
			return Offer{State: PullOffer, Next: p.Cursor, Done: true}, actions
		}
		formed, more := m.form(st, p.Max)
		actions = append(actions, more...)
		if !formed {
			return Offer{State: PullWait}, actions
		}
	}
	offer, more := m.offer(now, st, p.Cursor)
	return offer, append(actions, more...)
}

// acknowledge frees what the trainer received: every batch below cursor.
func (m *Machine) acknowledge(st *step, cursor uint64) []Action {
	var actions []Action
	for ; st.received < int(cursor); st.received++ {
		for _, i := range st.rec.Batches[st.received] {
			s := &st.slots[i]
			if s.state == slotRunning {
				actions = append(actions, m.cancel(s))
			}
			s.state, s.ticket = slotReceived, 0
			m.counts.Delivered++
			actions = append(actions, Action{Kind: ActionDiscard, Slot: SlotID{Step: st.rec.Step, Index: int(i)}})
		}
	}
	return actions
}

// form puts ready groups into the next batch, in the order they became ready.
func (m *Machine) form(st *step, most int) (bool, []Action) {
	left := st.rec.Needed() - st.inBatch
	least := min((st.rec.Needed()+maxBatches-1)/maxBatches, left, most-st.rec.GroupSize+1)
	if st.deliverable == 0 || st.deliverable < least {
		return false, nil
	}
	var batch []uint16
	kept := st.queue[:0]
	for n, g := range st.queue {
		if len(batch)+st.rec.GroupSize > min(most, left) {
			kept = append(kept, st.queue[n:]...)
			break
		}
		st.queued[g] = false
		if !st.groupWhole(g) {
			continue
		}
		for i := g * st.rec.GroupSize; i < (g+1)*st.rec.GroupSize; i++ {
			batch = append(batch, uint16(i))
		}
	}
	st.queue = kept
	return true, m.appendBatch(st, batch)
}

func (m *Machine) appendBatch(st *step, batch []uint16) []Action {
	for _, i := range batch {
		st.slots[i].inBatch = true
	}
	st.deliverable -= len(batch)
	st.inBatch += len(batch)
	m.sequence++
	st.rec.Batches = append(st.rec.Batches, batch)
	st.batchSequence = append(st.batchSequence, m.sequence)
	if !st.whole() {
		return nil
	}
	var actions []Action
	for i := range st.slots {
		if !st.slots[i].inBatch {
			actions = append(actions, m.dropSlot(st, i)...)
		}
	}
	return actions
}

// offer answers with a recorded batch once each of its samples is held and fresh.
// What is not is made again: that the trainer asks proves that it has not received
// the batch.
func (m *Machine) offer(now time.Time, st *step, cursor uint64) (Offer, []Action) {
	if m.confirmed < st.batchSequence[cursor] {
		return Offer{State: PullWait}, nil
	}
	var actions []Action
	batch := st.rec.Batches[cursor]
	o := Offer{State: PullOffer, Next: cursor + 1, Slots: make([]SlotID, 0, len(batch))}
	for _, i := range batch {
		s := &st.slots[i]
		id := SlotID{Step: st.rec.Step, Index: int(i)}
		o.Slots = append(o.Slots, id)
		if s.state == slotReady && m.fresh(st, s) {
			continue
		}
		o.State = PullWait
		if s.state == slotReady || s.state == slotUnheld {
			actions = append(actions, m.rerun(st, int(i))...)
		}
	}
	if o.State == PullWait {
		return Offer{State: PullWait}, actions
	}
	if o.Done = st.whole() && int(cursor) == len(st.rec.Batches)-1; o.Done {
		m.pace.done(now)
	}
	return o, actions
}
