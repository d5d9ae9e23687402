package samples

import (
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/stragglers"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
	// suspectFailures is the number of broken attempts in a row after which a slot
	// may itself be what breaks the engines, and suspectDelay its retry interval.
	suspectFailures = 4
	suspectDelay    = time.Minute
)

// current returns the attempt and its slot while the attempt counts.
func (m *Machine) current(id AttemptID) (*attempt, *step, *slot) {
	a := m.attempts[id]
	if a == nil {
		return nil, nil, nil
	}
	st := m.find(a.slot.Step)
	return a, st, &st.slots[a.slot.Index]
}

// Progress tells how many tokens of the sample exist and under which oldest version.
func (m *Machine) Progress(now time.Time, id AttemptID, tokens int, oldest model.WeightVersion) []Action {
	a, st, _ := m.current(id)
	if a == nil {
		return nil
	}
	if tokens > a.tokens {
		a.progress = now
		if a.first.IsZero() {
			a.first = now
		}
	}
	a.tokens, a.oldest = tokens, oldest
	return m.dropStale(st, a.slot.Index)
}

// Finished tells that the whole sample was made with all versions known.
func (m *Machine) Finished(now time.Time, id AttemptID, tokens int, oldest model.WeightVersion) []Action {
	a, st, s := m.current(id)
	if a == nil {
		return nil
	}
	delete(m.attempts, id)
	m.lengths.Add(tokens)
	m.pace.made(now.Sub(a.started), tokens-a.from)
	s.tokens, s.oldest, s.prefix, s.failures = tokens, oldest, 0, 0
	s.state = slotScoring
	if st.made++; st.made == st.rec.Needed() {
		m.pace.stepTime = average(m.pace.stepTime, now.Sub(st.began))
	}
	if !m.fresh(st, s) {
		return m.rerun(st, a.slot.Index)
	}
	if m.cfg.Scored {
		return []Action{{Kind: ActionScore, Slot: a.slot, Attempt: id}}
	}
	m.markReady(st, a.slot.Index)
	return nil
}

// Scored tells that the sample of this attempt has its score.
func (m *Machine) Scored(slot SlotID, id AttemptID) []Action {
	st := m.find(slot.Step)
	if st == nil {
		return nil
	}
	s := &st.slots[slot.Index]
	if s.state != slotScoring || s.attempt != id {
		return nil
	}
	if !m.fresh(st, s) {
		return m.rerun(st, slot.Index)
	}
	m.markReady(st, slot.Index)
	return nil
}

func (m *Machine) markReady(st *step, i int) {
	s := &st.slots[i]
	s.state, s.tooOld = slotReady, 0
	if s.inBatch {
		return
	}
	g := i / st.rec.GroupSize
	st.groupReady[g]++
	if !st.groupWhole(g) {
		return
	}
	st.deliverable += st.rec.GroupSize
	if !st.queued[g] {
		st.queued[g] = true
		st.queue = append(st.queue, g)
	}
}

// Failure says why an attempt ended without a sample.
type Failure int

// The kinds of failure.
const (
	// FailureRefused: the engine did not run it.
	FailureRefused Failure = iota
	// FailureBroken: the stream was cut; the tokens so far are good.
	FailureBroken
	// FailureDoubtful: the versions of the tokens are not certain.
	FailureDoubtful
)

// Failed tells that an attempt ended; kept is the number of good tokens held and
// oldest their oldest version.
func (m *Machine) Failed(now time.Time, id AttemptID, f Failure, kept int, oldest model.WeightVersion) []Action {
	a, st, s := m.current(id)
	if a == nil {
		return nil
	}
	delete(m.attempts, id)
	s.avoid = a.engine
	var actions []Action
	switch f {
	case FailureDoubtful:
		m.counts.Doubtful++
		kept = 0
		actions = append(actions, Action{Kind: ActionDiscard, Slot: a.slot})
	case FailureRefused:
		kept, oldest = s.prefix, s.oldest
	}
	if f == FailureBroken && kept <= a.from {
		s.failures = min(s.failures+1, suspectFailures)
		if s.failures == suspectFailures {
			m.counts.Suspect++
			actions = append(actions, st.report(a.slot.Index, ReportSuspect)...)
		}
	}
	s.prefix, s.oldest, s.tokens = kept, oldest, 0
	if kept > 0 && !m.fresh(st, s) {
		s.prefix = 0
		actions = append(actions, Action{Kind: ActionDiscard, Slot: a.slot})
	}
	m.enqueueLater(now, st, a.slot.Index, retryDelay(s.failures))
	return actions
}

func retryDelay(failures uint8) time.Duration {
	if failures >= suspectFailures {
		return suspectDelay
	}
	return min(firstRetryDelay<<failures, maxRetryDelay)
}

const (
	stallTime = 10 * time.Second
	// moveAfter is the least age of an attempt that is moved for its engine's speed.
	moveAfter = 5 * time.Second
	// moveCost is the time a resume takes before its first token.
	moveCost = time.Second
)

// Tick moves samples to be resumed elsewhere: those whose engine gives no tokens, and
// long ones whose engine is much slower than the others.
func (m *Machine) Tick(now time.Time) []Action {
	var due []AttemptID
	for id, a := range m.attempts {
		if now.Sub(a.progress) >= stallTime || m.slow(now, a) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	var actions []Action
	for _, id := range due {
		a, st, s := m.current(id)
		delete(m.attempts, id)
		actions = append(actions, Action{Kind: ActionCancel, Attempt: id, Slot: a.slot, Engine: a.engine})
		m.counts.Moved++
		s.avoid, s.prefix, s.oldest = a.engine, a.tokens, a.oldest
		m.enqueue(st, a.slot.Index)
	}
	return actions
}

// slow judges the engine from the attempt's first token on; before that the attempt may
// wait in the engine's queue.
func (m *Machine) slow(now time.Time, a *attempt) bool {
	age := now.Sub(a.first)
	if a.first.IsZero() || age < moveAfter {
		return false
	}
	rate := float64(a.tokens-a.from) / age.Seconds()
	return stragglers.ShouldMove(m.lengths.Remaining(a.tokens), rate, m.pace.rate, moveCost)
}
