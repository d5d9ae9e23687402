package samples

import (
	"container/heap"
	"math"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Picker selects the engines for samples.
type Picker interface {
	// Pick returns an engine for one more sample, or false if there is none. The engine has a
	// free slot and reports at least minVersion. The engine avoid is returned only if no
	// other one qualifies.
	Pick(minVersion model.WeightVersion, avoid model.EndpointID) (model.EndpointID, bool)
	// NewestVersion returns the highest version reported by an engine in use.
	NewestVersion() model.WeightVersion
}

// The classes of pending slots, in descending priority.
const (
	// classRequested: the slot is in a batch that the trainer has asked for again.
	classRequested = iota
	// classResume: tokens of an earlier attempt are held.
	classResume
	// classRerun: the slot ran before but no tokens are held.
	classRerun
	// classNew: the slot has not run before.
	classNew
)

// pendingSlot is an entry of the pending queue. It is valid while queueSeq is the slot's.
type pendingSlot struct {
	id             SlotID
	class          int
	expectedTokens int
	queueSeq       uint32
}

// pendingQueue is a heap of slots that may start now, ordered by step, class, expected
// length (longest first) and queue sequence.
type pendingQueue []pendingSlot

// Len implements heap.Interface.
func (q pendingQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q pendingQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	switch {
	case a.id.Step != b.id.Step:
		return a.id.Step < b.id.Step
	case a.class != b.class:
		return a.class < b.class
	case a.expectedTokens != b.expectedTokens:
		return a.expectedTokens > b.expectedTokens
	}
	return a.queueSeq < b.queueSeq
}

// Swap implements heap.Interface.
func (q pendingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *pendingQueue) Push(x any) { *q = append(*q, x.(pendingSlot)) }

// Pop implements heap.Interface.
func (q *pendingQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// delayedSlot is a slot that is to be added to the pending queue at the time due.
type delayedSlot struct {
	due      time.Time
	id       SlotID
	queueSeq uint32
}

func (m *Machine) enqueueAll(st *step) {
	for i := range st.slots {
		if !st.slots[i].inBatch {
			m.pushPending(st, i, classNew)
		}
	}
}

// enqueue adds a slot that has run before to the pending queue.
func (m *Machine) enqueue(st *step, i int) {
	s := &st.slots[i]
	class := classRerun
	switch {
	case s.inBatch:
		class = classRequested
	case s.prefix > 0:
		class = classResume
	}
	m.pushPending(st, i, class)
}

func (m *Machine) pushPending(st *step, i, class int) {
	m.lastQueueSeq++
	s := &st.slots[i]
	s.state, s.queueSeq = slotPending, m.lastQueueSeq
	p := pendingSlot{id: SlotID{Step: st.rec.Step, Index: i}, class: class, queueSeq: m.lastQueueSeq}
	if class != classNew {
		p.expectedTokens = s.prefix + m.lengths.Remaining(s.prefix)
	}
	heap.Push(&m.pending, p)
}

func (m *Machine) enqueueLater(now time.Time, st *step, i int, d time.Duration) {
	m.lastQueueSeq++
	s := &st.slots[i]
	s.state, s.queueSeq = slotPending, m.lastQueueSeq
	m.delayed = append(m.delayed, delayedSlot{due: now.Add(d), id: SlotID{Step: st.rec.Step, Index: i}, queueSeq: m.lastQueueSeq})
}

func (m *Machine) enqueueDue(now time.Time) {
	kept := m.delayed[:0]
	for _, d := range m.delayed {
		st := m.findStep(d.id.Step)
		if st == nil || st.slots[d.id.Index].queueSeq != d.queueSeq {
			continue
		}
		if now.Before(d.due) {
			kept = append(kept, d)
			continue
		}
		m.enqueue(st, d.id.Index)
	}
	m.delayed = kept
}

// Plan starts pending slots as long as pick finds engines for them. Unless admitNew is
// set, it starts only slots that ran before or are in a requested batch. These must run
// even when there is no memory for new content: the trainer may be waiting for exactly
// these slots, and memory is released only after the trainer has received their content.
func (m *Machine) Plan(now time.Time, pick Picker, admitNew bool) []Action {
	m.enqueueDue(now)
	var actions []Action
	for len(m.pending) > 0 {
		top := m.pending[0]
		st := m.findStep(top.id.Step)
		if st == nil || st.slots[top.id.Index].queueSeq != top.queueSeq {
			heap.Pop(&m.pending)
			continue
		}
		if !admitNew && top.class == classNew {
			break
		}
		lowest, allowed := m.minVersion(now, st, pick.NewestVersion())
		if !allowed {
			break
		}
		engine, ok := pick.Pick(lowest, st.slots[top.id.Index].avoid)
		if !ok {
			break
		}
		heap.Pop(&m.pending)
		actions = append(actions, m.start(now, st, top.id.Index, engine))
	}
	return actions
}

func (m *Machine) start(now time.Time, st *step, i int, engine model.EndpointID) Action {
	m.lastAttempt++
	s := &st.slots[i]
	s.state, s.attempt, s.queueSeq = slotRunning, m.lastAttempt, 0
	if st.firstStart.IsZero() {
		st.firstStart = now
	}
	id := SlotID{Step: st.rec.Step, Index: i}
	m.attempts[m.lastAttempt] = &attempt{slot: id, engine: engine, startedAt: now, lastProgress: now, prefixTokens: s.prefix, tokens: s.prefix, oldest: s.oldest}
	if s.prefix == 0 {
		m.attempts[m.lastAttempt].oldest = 0
	}
	return Action{Kind: ActionStart, Slot: id, Attempt: m.lastAttempt, Engine: engine, Prefix: s.prefix}
}

// minVersion returns the lowest version under which a slot of the step is worth starting.
// It is behind the trainer's version by the staleness bound less the versions expected
// until delivery, the latter weighted by freshness. If no engine has that version yet, it
// is the newest one available, as long as the staleness bound allows it. The second result
// is false while it is too early to work ahead of the trainer.
func (m *Machine) minVersion(now time.Time, st *step, newest model.WeightVersion) (model.WeightVersion, bool) {
	pullDelay := m.averages.untilPull(now, st.rec.Step)
	if st.rec.Step > m.averages.lastPulled && m.averages.lastPulled > 0 && !m.averages.mayWorkAhead(now, m.cfg.Freshness) {
		return 0, false
	}
	deliveryDelay := max(m.averages.attemptTime, pullDelay)
	margin := int(math.Round(m.cfg.Freshness * m.averages.expectedVersions(deliveryDelay)))
	bound := m.bound(st)
	wanted := m.version - min(m.version, model.WeightVersion(max(0, int(bound)-margin)))
	oldest := m.version - min(m.version, bound)
	return max(1, oldest, min(wanted, newest)), true
}
