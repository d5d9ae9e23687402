package samples

import (
	"container/heap"
	"math"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Picker chooses an engine for one more sample: its reported version is at least
// minVersion, it is not avoid when another one fits, and it has a free slot.
type Picker interface {
	Pick(minVersion model.WeightVersion, avoid model.EndpointID) (model.EndpointID, bool)
	// Newest is the highest version that an engine in use reports.
	Newest() model.WeightVersion
}

// The classes of pending slots, the first goes first.
const (
	// classAsked: the trainer asked again for a batch that holds the slot.
	classAsked = iota
	// classResume: part of the sample exists.
	classResume
	classRerun
	classFirst
)

type pendingSlot struct {
	id       SlotID
	class    int
	expected int
	ticket   uint32
}

// pendingQueue orders by step, class, expected length (longest first) and age.
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
	case a.expected != b.expected:
		return a.expected > b.expected
	}
	return a.ticket < b.ticket
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

type delayedSlot struct {
	due    time.Time
	id     SlotID
	ticket uint32
}

func (m *Machine) queueAll(st *step) {
	for i := range st.slots {
		if !st.slots[i].inBatch {
			m.push(st, i, classFirst)
		}
	}
}

// enqueue queues a slot that runs again.
func (m *Machine) enqueue(st *step, i int) {
	s := &st.slots[i]
	class := classRerun
	switch {
	case s.inBatch:
		class = classAsked
	case s.prefix > 0:
		class = classResume
	}
	m.push(st, i, class)
}

func (m *Machine) push(st *step, i, class int) {
	m.tickets++
	s := &st.slots[i]
	s.state, s.ticket = slotPending, m.tickets
	p := pendingSlot{id: SlotID{Step: st.rec.Step, Index: i}, class: class, ticket: m.tickets}
	if class != classFirst {
		p.expected = s.prefix + m.lengths.Remaining(s.prefix)
	}
	heap.Push(&m.pending, p)
}

func (m *Machine) enqueueLater(now time.Time, st *step, i int, d time.Duration) {
	m.tickets++
	s := &st.slots[i]
	s.state, s.ticket = slotPending, m.tickets
	m.delayed = append(m.delayed, delayedSlot{due: now.Add(d), id: SlotID{Step: st.rec.Step, Index: i}, ticket: m.tickets})
}

func (m *Machine) wakeDelayed(now time.Time) {
	kept := m.delayed[:0]
	for _, d := range m.delayed {
		st := m.find(d.id.Step)
		if st == nil || st.slots[d.id.Index].ticket != d.ticket {
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

// Plan starts pending slots while pick finds engines for them. Without room for more
// content it starts only slots that ran before or are in the batch asked for: the trainer
// may wait for just these, and takes content away only once it has them.
func (m *Machine) Plan(now time.Time, pick Picker, room bool) []Action {
	m.wakeDelayed(now)
	var actions []Action
	for len(m.pending) > 0 {
		top := m.pending[0]
		st := m.find(top.id.Step)
		if st == nil || st.slots[top.id.Index].ticket != top.ticket {
			heap.Pop(&m.pending)
			continue
		}
		if !room && top.class == classFirst {
			break
		}
		least, allowed := m.minVersion(now, st, pick.Newest())
		if !allowed {
			break
		}
		engine, ok := pick.Pick(least, st.slots[top.id.Index].avoid)
		if !ok {
			break
		}
		heap.Pop(&m.pending)
		actions = append(actions, m.start(now, st, top.id.Index, engine))
	}
	return actions
}

func (m *Machine) start(now time.Time, st *step, i int, engine model.EndpointID) Action {
	m.last++
	s := &st.slots[i]
	s.state, s.attempt, s.ticket = slotRunning, m.last, 0
	if st.began.IsZero() {
		st.began = now
	}
	id := SlotID{Step: st.rec.Step, Index: i}
	m.attempts[m.last] = &attempt{slot: id, engine: engine, started: now, progress: now, from: s.prefix, tokens: s.prefix, oldest: s.oldest}
	if s.prefix == 0 {
		m.attempts[m.last].oldest = 0
	}
	return Action{Kind: ActionStart, Slot: id, Attempt: m.last, Engine: engine, Prefix: s.prefix}
}

// minVersion is the lowest version worth starting the slot under: the bound less the
// versions expected until delivery, weighed by freshness; the newest version there is
// when no engine has that one yet and the bound allows it. The second result is false
// while it is too early to work ahead of the trainer.
func (m *Machine) minVersion(now time.Time, st *step, newest model.WeightVersion) (model.WeightVersion, bool) {
	until := m.pace.untilPull(now, st.rec.Step)
	if st.rec.Step > m.pace.pulled && m.pace.pulled > 0 && !m.pace.mayWorkAhead(now, m.cfg.Freshness) {
		return 0, false
	}
	wait := max(m.pace.sampleTime, until)
	margin := int(math.Round(m.cfg.Freshness * m.pace.advance(wait)))
	bound := m.bound(st)
	wanted := m.version - min(m.version, model.WeightVersion(max(0, int(bound)-margin)))
	oldest := m.version - min(m.version, bound)
	return max(1, oldest, min(wanted, newest)), true
}
