package samples

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

// rerun discards a slot's content and queues it.
func (m *Machine) rerun(st *step, i int) []Action {
	s := &st.slots[i]
	if s.state == slotReady && !s.inBatch {
		st.unready(i)
	}
	s.prefix, s.tokens, s.oldest = 0, 0, 0
	m.counts.Rerun++
	m.enqueue(st, i)
	return []Action{{Kind: ActionDiscard, Slot: SlotID{Step: st.rec.Step, Index: i}}}
}

// unready is called for a ready slot outside batches.
func (st *step) unready(i int) {
	g := i / st.rec.GroupSize
	if st.groupWhole(g) {
		st.deliverable -= st.rec.GroupSize
	}
	st.groupReady[g]--
}
