package samples

// overBoundAttempts is the number of attempts that exceed the staleness bound, without the
// slot being ready in between, after which the sample is reported as too long for its bound.
const overBoundAttempts = 3

// dropAllStale calls dropStale for all slots of the open steps.
func (m *Machine) dropAllStale() []Action {
	var actions []Action
	for _, st := range m.steps {
		for i := range st.slots {
			actions = append(actions, m.dropStale(st, i)...)
		}
	}
	return actions
}

// dropStale cancels the attempt and discards the content of a slot that exceeds the
// staleness bound, and queues the slot again. A finished slot in a batch is kept until the
// trainer asks for that batch again.
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
		if m.isFresh(st, s) {
			return nil
		}
		return m.rerun(st, i)
	case slotPending:
		if s.prefix > 0 && !m.isFresh(st, s) {
			s.prefix = 0
			return []Action{{Kind: ActionDiscard, Slot: SlotID{Step: st.rec.Step, Index: i}}}
		}
	}
	return nil
}

// report returns an ActionReport for the slot, unless the problem was already reported for
// the step.
func (st *step) report(i int, p Problem) []Action {
	if st.reported[p] {
		return nil
	}
	st.reported[p] = true
	return []Action{{Kind: ActionReport, Slot: SlotID{Step: st.rec.Step, Index: i}, Problem: p}}
}

// rerun discards a slot's content and queues the slot to be generated again.
func (m *Machine) rerun(st *step, i int) []Action {
	s := &st.slots[i]
	if s.state == slotReady && !s.inBatch {
		st.clearReady(i)
	}
	actions := []Action{{Kind: ActionDiscard, Slot: SlotID{Step: st.rec.Step, Index: i}}}
	if s.state == slotRunning || s.state == slotScoring {
		s.staleAttempts = min(s.staleAttempts+1, overBoundAttempts)
		if s.staleAttempts == overBoundAttempts {
			m.counts.OverBound++
			actions = append(actions, st.report(i, ProblemOverBound)...)
		}
	}
	s.prefix, s.tokens, s.oldest = 0, 0, 0
	m.counts.Rerun++
	m.enqueue(st, i)
	return actions
}

// clearReady removes a ready slot from its group's count. The slot must not be in a batch.
func (st *step) clearReady(i int) {
	g := i / st.rec.GroupSize
	if st.groupComplete(g) {
		st.deliverable -= st.rec.GroupSize
	}
	st.groupReady[g]--
}
