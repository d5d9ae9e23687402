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
	// A slot is suspect after suspectFailures broken attempts without new tokens since it last
	// finished: the sample itself may break the engines. It is then retried only every
	// suspectDelay.
	suspectFailures = 4
	suspectDelay    = time.Minute
)

// activeAttempt returns an attempt with its step and slot, or nil if the attempt ended or
// was cancelled.
func (m *Machine) activeAttempt(id AttemptID) (*attempt, *step, *slot) {
	a := m.attempts[id]
	if a == nil {
		return nil, nil, nil
	}
	st := m.findStep(a.slot.Step)
	return a, st, &st.slots[a.slot.Index]
}

// Progress records the total number of tokens of the sample, including those carried over,
// and their oldest weight version. Attempts that are no longer active are ignored.
func (m *Machine) Progress(now time.Time, id AttemptID, tokens int, oldest model.WeightVersion) []Action {
	a, st, _ := m.activeAttempt(id)
	if a == nil {
		return nil
	}
	if tokens > a.tokens {
		a.lastProgress = now
		if a.firstTokenAt.IsZero() {
			a.firstTokenAt = now
		}
	}
	a.tokens, a.oldest = tokens, oldest
	return m.dropStale(st, a.slot.Index)
}

// Finished records that the attempt completed the sample and that the weight version of
// every token is known. tokens and oldest are as in Progress.
func (m *Machine) Finished(now time.Time, id AttemptID, tokens int, oldest model.WeightVersion) []Action {
	a, st, s := m.activeAttempt(id)
	if a == nil {
		return nil
	}
	delete(m.attempts, id)
	m.lengths.Add(tokens)
	m.averages.observeAttempt(now.Sub(a.startedAt), tokens-a.prefixTokens)
	s.tokens, s.oldest, s.prefix, s.failures = tokens, oldest, 0, 0
	s.state = slotScoring
	if st.finished++; st.finished == st.rec.RequiredSlots() {
		m.averages.stepTime = movingAverage(m.averages.stepTime, now.Sub(st.firstStart))
	}
	if !m.isFresh(st, s) {
		return m.rerun(st, a.slot.Index)
	}
	if m.cfg.Scored {
		return []Action{{Kind: ActionScore, Slot: a.slot, Attempt: id}}
	}
	m.markReady(st, a.slot.Index)
	return nil
}

// Scored records that the sample of this attempt has been scored. It has no effect if the
// slot no longer waits for the score.
func (m *Machine) Scored(slot SlotID, id AttemptID) []Action {
	st := m.findStep(slot.Step)
	if st == nil {
		return nil
	}
	s := &st.slots[slot.Index]
	if s.state != slotScoring || s.attempt != id {
		return nil
	}
	if !m.isFresh(st, s) {
		return m.rerun(st, slot.Index)
	}
	m.markReady(st, slot.Index)
	return nil
}

func (m *Machine) markReady(st *step, i int) {
	s := &st.slots[i]
	s.state, s.staleAttempts = slotReady, 0
	if s.inBatch {
		return
	}
	g := i / st.rec.GroupSize
	st.groupReady[g]++
	if !st.groupComplete(g) {
		return
	}
	st.deliverable += st.rec.GroupSize
	if !st.queued[g] {
		st.queued[g] = true
		st.readyQueue = append(st.readyQueue, g)
	}
}

// Failure is the reason why an attempt ended without a complete sample.
type Failure int

// The failure reasons.
const (
	// FailureRefused: the engine did not run the attempt.
	FailureRefused Failure = iota
	// FailureBroken: the stream ended early; the tokens received so far are valid.
	FailureBroken
	// FailureUncertainVersions: the versions of the tokens are uncertain, so the tokens are
	// discarded.
	FailureUncertainVersions
)

// Failed records that an attempt ended without a complete sample and queues its slot
// again after a delay. kept is the number of valid tokens held, oldest their oldest
// version.
func (m *Machine) Failed(now time.Time, id AttemptID, f Failure, kept int, oldest model.WeightVersion) []Action {
	a, st, s := m.activeAttempt(id)
	if a == nil {
		return nil
	}
	delete(m.attempts, id)
	s.avoid = a.engine
	var actions []Action
	switch f {
	case FailureUncertainVersions:
		m.counts.UncertainVersions++
		kept = 0
		actions = append(actions, Action{Kind: ActionDiscard, Slot: a.slot})
	case FailureRefused:
		kept, oldest = s.prefix, s.oldest
	}
	if f == FailureBroken && kept <= a.prefixTokens {
		s.failures = min(s.failures+1, suspectFailures)
		if s.failures == suspectFailures {
			m.counts.Suspect++
			actions = append(actions, st.report(a.slot.Index, ProblemSuspect)...)
		}
	}
	s.prefix, s.oldest, s.tokens = kept, oldest, 0
	if kept > 0 && !m.isFresh(st, s) {
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
	// stallTimeout is the time without a new token after which an attempt is cancelled.
	stallTimeout = 10 * time.Second
	// minMoveAge is the minimum time since the first token before an attempt may be moved
	// away from a slow engine.
	minMoveAge = 5 * time.Second
	// moveCost is the time until a resumed sample yields its first token.
	moveCost = time.Second
)

// Tick cancels attempts to be resumed on another engine: those without a new token for
// stallTimeout, and long ones whose engine is much slower than average.
func (m *Machine) Tick(now time.Time) []Action {
	var due []AttemptID
	for id, a := range m.attempts {
		if now.Sub(a.lastProgress) >= stallTimeout || m.isSlow(now, a) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	var actions []Action
	for _, id := range due {
		a, st, s := m.activeAttempt(id)
		delete(m.attempts, id)
		actions = append(actions, Action{Kind: ActionCancel, Attempt: id, Slot: a.slot, Engine: a.engine})
		m.counts.Moved++
		s.avoid, s.prefix, s.oldest = a.engine, a.tokens, a.oldest
		m.enqueue(st, a.slot.Index)
	}
	return actions
}

// isSlow reports whether the attempt should move because of its engine's speed. The rate
// counts from the first token, since the attempt may wait in the engine's queue before.
func (m *Machine) isSlow(now time.Time, a *attempt) bool {
	age := now.Sub(a.firstTokenAt)
	if a.firstTokenAt.IsZero() || age < minMoveAge {
		return false
	}
	rate := float64(a.tokens-a.prefixTokens) / age.Seconds()
	return stragglers.ShouldMove(m.lengths.Remaining(a.tokens), rate, m.averages.tokenRate, moveCost)
}
