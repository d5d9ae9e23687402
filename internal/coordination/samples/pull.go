package samples

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// maxBatches limits the batches of a step, and thereby the writes of its record. A batch
// is formed only from at least 1/maxBatches of the required slots, unless fewer are missing
// or the trainer accepts only smaller batches.
const maxBatches = 128

// Pull is a trainer's request for the batch at Cursor, with at most Max samples. The
// cursor acknowledges all earlier batches; Version is the trainer's weight version.
type Pull struct {
	Step    uint64
	Cursor  uint64
	Max     int
	Version model.WeightVersion
}

// PullState is the outcome of a pull.
type PullState int

// The pull outcomes.
const (
	// PullWait: no batch can be offered yet.
	PullWait PullState = iota
	// PullOffer: the batch may be sent now.
	PullOffer
	// PullUnknown: the step is not open.
	PullUnknown
	// PullConflict: the cursor is beyond the next batch or below an acknowledged one, or
	// Max is smaller than a group.
	PullConflict
)

// Offer is the answer to a pull. Next is the cursor of the next batch; Done is set if the
// step has no further batch.
type Offer struct {
	State PullState
	Slots []SlotID
	Next  uint64
	Done  bool
}

// Pull answers a trainer's request. A valid request closes earlier steps. After PullWait the
// call must be repeated when the machine has changed. An offer is valid only until the next
// call of a method that changes the machine.
func (m *Machine) Pull(now time.Time, p Pull) (Offer, []Action) {
	actions := m.SetVersion(now, p.Version)
	st := m.findStep(p.Step)
	if st == nil {
		return Offer{State: PullUnknown}, actions
	}
	if p.Cursor < uint64(st.received) || p.Cursor > uint64(len(st.rec.Batches)) || p.Max < st.rec.GroupSize {
		return Offer{State: PullConflict}, actions
	}
	for m.steps[0] != st {
		actions = append(actions, m.closeOldestStep()...)
	}
	m.averages.observePull(now, p.Step)
	actions = append(actions, m.acknowledge(st, p.Cursor)...)
	if p.Cursor == uint64(len(st.rec.Batches)) {
		if st.complete() {
			return Offer{State: PullOffer, Next: p.Cursor, Done: true}, actions
		}
		formed, more := m.formBatch(st, p.Max)
		actions = append(actions, more...)
		if !formed {
			return Offer{State: PullWait}, actions
		}
	}
	offer, more := m.offerBatch(now, st, p.Cursor)
	return offer, append(actions, more...)
}

// acknowledge releases the content of the batches below cursor, which the trainer has
// received.
func (m *Machine) acknowledge(st *step, cursor uint64) []Action {
	var actions []Action
	for ; st.received < int(cursor); st.received++ {
		for _, i := range st.rec.Batches[st.received] {
			s := &st.slots[i]
			if s.state == slotRunning {
				actions = append(actions, m.cancel(s))
			}
			s.state, s.queueSeq = slotClosed, 0
			m.counts.Delivered++
			actions = append(actions, Action{Kind: ActionDiscard, Slot: SlotID{Step: st.rec.Step, Index: int(i)}})
		}
	}
	return actions
}

// formBatch puts complete groups into the next batch, in the order in which they became
// complete. It reports false if too few samples are ready.
func (m *Machine) formBatch(st *step, maxSamples int) (bool, []Action) {
	missing := st.rec.RequiredSlots() - st.inBatch
	minSamples := min((st.rec.RequiredSlots()+maxBatches-1)/maxBatches, missing, maxSamples-st.rec.GroupSize+1)
	if st.deliverable == 0 || st.deliverable < minSamples {
		return false, nil
	}
	var batch []uint16
	kept := st.readyQueue[:0]
	for n, g := range st.readyQueue {
		if len(batch)+st.rec.GroupSize > min(maxSamples, missing) {
			kept = append(kept, st.readyQueue[n:]...)
			break
		}
		st.queued[g] = false
		if !st.groupComplete(g) {
			continue
		}
		for i := g * st.rec.GroupSize; i < (g+1)*st.rec.GroupSize; i++ {
			batch = append(batch, uint16(i))
		}
	}
	st.readyQueue = kept
	return true, m.appendBatch(st, batch)
}

// appendBatch adds a batch to the record. If the step is then complete, it drops the
// remaining slots.
func (m *Machine) appendBatch(st *step, batch []uint16) []Action {
	for _, i := range batch {
		st.slots[i].inBatch = true
	}
	st.deliverable -= len(batch)
	st.inBatch += len(batch)
	m.sequence++
	st.rec.Batches = append(st.rec.Batches, batch)
	st.batchSequence = append(st.batchSequence, m.sequence)
	if !st.complete() {
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

// offerBatch offers a recorded batch if the record is confirmed and the content of each slot
// is held and within the staleness bound. Slots whose content is missing or too stale are
// generated again. That is safe because the trainer asks for the batch only if it has not received it.
func (m *Machine) offerBatch(now time.Time, st *step, cursor uint64) (Offer, []Action) {
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
		if s.state == slotReady && m.isFresh(st, s) {
			continue
		}
		o.State = PullWait
		if s.state == slotReady || s.state == slotWithoutContent {
			actions = append(actions, m.rerun(st, int(i))...)
		}
	}
	if o.State == PullWait {
		return Offer{State: PullWait}, actions
	}
	if o.Done = st.complete() && int(cursor) == len(st.rec.Batches)-1; o.Done {
		m.averages.observeStepDone(now)
	}
	return o, actions
}
