package samples

// overBoundEnds is the number of ends in a row, each too old before the sample was
// ready, from which on the sample counts as too long for its bound.
const overBoundEnds = 3

// dropAllStale gives up what became too old in any step.
func (m *Machine) dropAllStale() []Action {
	var actions []Action
	for _, st := range m.steps {
		for i := range st.slots {
			actions = append(actions, m.dropStale(st, i)...)
		}
	}
	return actions
}

// dropStale queues a slot again when its content, or what runs of it, is too old. A
// slot in a batch is left until the trainer asks for that batch again.
func (m *Machine) dropStale(st *step, i int) []Action {
	s := &st.slots[i]
	if s.inBatch && s.state != slotRunning && s.state != slotPending {
		return nil
	}
	switch s.state {
	case slotRunning:
		a := m.attempts[s.attempt]
		if a.oldest == 0 || a.oldest+m.bound(st) >= m.version {
			return nil
		}
		cancelled := m.cancel(s)
		return append([]Action{cancelled}, m.rerun(st, i)...)
	case slotScoring, slotReady:
		if m.fresh(st, s) {
			return nil
		}
		return m.rerun(st, i)
	case slotPending:
		if s.prefix > 0 && !m.fresh(st, s) {
			s.prefix = 0
			return []Action{{Kind: ActionDiscard, Slot: SlotID{Step: st.rec.Step, Index: i}}}
		}
	}
	return nil
}

// report asks for a report on the slot unless the step had one of its kind.
func (st *step) report(i int, r Report) []Action {
	if st.reported[r] {
		return nil
	}
	st.reported[r] = true
	return []Action{{Kind: ActionReport, Slot: SlotID{Step: st.rec.Step, Index: i}, Report: r}}
}

// rerun discards a slot's content and queues it.
func (m *Machine) rerun(st *step, i int) []Action {
	s := &st.slots[i]
	if s.state == slotReady && !s.inBatch {
		st.unready(i)
	}
	actions := []Action{{Kind: ActionDiscard, Slot: SlotID{Step: st.rec.Step, Index: i}}}
	if s.state == slotRunning || s.state == slotScoring {
		s.tooOld = min(s.tooOld+1, overBoundEnds)
		if s.tooOld == overBoundEnds {
			m.counts.OverBound++
			actions = append(actions, st.report(i, ReportOverBound)...)
		}
	}
	s.prefix, s.tokens, s.oldest = 0, 0, 0
	m.counts.Rerun++
	m.enqueue(st, i)
	return actions
}

// unready is called for a ready slot outside batches.
func (st *step) unready(i int) {
	g := i / st.rec.GroupSize
	if st.groupWhole(g) {
		st.deliverable -= st.rec.GroupSize
	}
	st.groupReady[g]--
}
