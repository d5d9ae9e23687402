package samples

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// policy is the scheduler under simulation: Machine, or the baseline it is compared with.
type policy interface {
	Open(now time.Time, s StepSpec) ([]Action, error)
	SetVersion(now time.Time, v model.WeightVersion) []Action
	Pull(now time.Time, p Pull) (Offer, []Action)
	Plan(now time.Time, pick Picker, admitNew bool) []Action
	Progress(now time.Time, id AttemptID, tokens int, oldest model.WeightVersion) []Action
	Finished(now time.Time, id AttemptID, tokens int, oldest model.WeightVersion) []Action
	Failed(now time.Time, id AttemptID, f Failure, kept int, oldest model.WeightVersion) []Action
	RecordSequence() (uint64, bool)
	Record() ledger.Record
	Confirm(uint64)
}

type simOptions struct {
	seed            uint64
	engines         int
	slots           int
	rate            float64
	median          int
	groups, size    int
	steps           int
	batchMax        int
	trainTime       time.Duration
	versionInterval time.Duration
	swapSpread      time.Duration
	openAhead       bool
	settings        Settings
	// Fault probabilities per attempt (broken streams, uncertain versions), pull, write and
	// swap.
	brokenStreams, uncertainVersions, lostAnswers, lostWrites, failedSwaps float64
	// crashInterval is the mean time between two crashes of the owner, 0 for none.
	crashInterval time.Duration
	// writeDelay is the duration of a record write, at least 5 ms.
	writeDelay time.Duration
	newPolicy  func(Settings, model.Epoch) policy
}

type simEvent struct {
	at       time.Time
	seq      int
	callback func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type simEngine struct {
	id       model.EndpointID
	version  model.WeightVersion
	running  int
	attempts map[AttemptID]*simAttempt
}

// simAttempt generates tokens at the simulation's rate. actual holds the spans as the engine
// generated them, to compare with what the recorder holds.
type simAttempt struct {
	id           AttemptID
	slot         SlotID
	engine       *simEngine
	recorder     *Recorder
	actual       []Span
	length       int
	segmentStart time.Time
	ended        bool
}

type simContent struct {
	recorder *Recorder
	actual   []Span
}

// sim simulates one trainer, its engines and its owner under a fake clock.
type sim struct {
	opt       simOptions
	rng       *rand.Rand
	now       time.Time
	queue     simEvents
	seq       int
	engines   []*simEngine
	machine   policy
	epoch     model.Epoch
	content   map[SlotID]simContent
	running   map[AttemptID]*simAttempt
	stored    []byte
	writing   bool
	ownerDown bool
	writes    int
	trainer   simTrainer
}

type simTrainer struct {
	version      model.WeightVersion
	step         uint64
	cursor       uint64
	waiting      bool
	waitingSince time.Time
	idle         time.Duration
	delivered    map[SlotID]bool
	staleness    []int
	violations   []string
	done         bool
	endedAt      time.Time
}

func newSim(opt simOptions) *sim {
	s := &sim{
		opt: opt, rng: rand.New(rand.NewPCG(opt.seed, 11)), now: time.Unix(0, 0), epoch: 1,
		content: map[SlotID]simContent{}, running: map[AttemptID]*simAttempt{},
	}
	if opt.newPolicy == nil {
		s.opt.newPolicy = func(c Settings, e model.Epoch) policy { return New(c, e) }
	}
	s.machine = s.opt.newPolicy(opt.settings, 1)
	for i := range opt.engines {
		s.engines = append(s.engines, &simEngine{
			id: model.EndpointID(string(rune('a'+i%26)) + string(rune('a'+i/26))), version: 1, attempts: map[AttemptID]*simAttempt{},
		})
	}
	s.trainer = simTrainer{version: 1, delivered: map[SlotID]bool{}}
	return s
}

func (s *sim) schedule(d time.Duration, callback func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, callback: callback})
}

func (s *sim) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

// run processes events until the trainer is done or limit has passed, and reports whether the
// trainer is done.
func (s *sim) run(limit time.Duration) bool {
	end := s.now.Add(limit)
	s.schedule(0, s.openStep)
	s.schedule(s.opt.versionInterval, s.newVersion)
	s.schedule(time.Second, s.tick)
	if s.opt.crashInterval > 0 {
		s.schedule(s.crashDelay(), s.crash)
	}
	for len(s.queue) > 0 && !s.trainer.done {
		e := heap.Pop(&s.queue).(simEvent)
		if e.at.After(end) {
			return false
		}
		s.now = e.at
		e.callback()
		s.runOwner()
	}
	return s.trainer.done
}

// tick causes a run of the owner every second, so that delayed work can start.
func (s *sim) tick() { s.schedule(time.Second, s.tick) }

func (s *sim) runOwner() {
	if s.ownerDown {
		return
	}
	s.pull()
	s.apply(s.machine.Plan(s.now, s, true))
	s.writeRecord()
}

func (s *sim) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionStart:
			s.startAttempt(a)
		case ActionCancel:
			s.saveContent(s.running[a.Attempt])
			s.endAttempt(s.running[a.Attempt])
		case ActionDiscard:
			delete(s.content, a.Slot)
		}
	}
}

// Pick implements Picker: it selects the least loaded engine that qualifies.
func (s *sim) Pick(minVersion model.WeightVersion, avoid model.EndpointID) (model.EndpointID, bool) {
	var best *simEngine
	for _, e := range s.engines {
		if e.version < minVersion || e.running >= s.opt.slots {
			continue
		}
		if best == nil || best.id == avoid || (e.running < best.running && e.id != avoid) {
			best = e
		}
	}
	if best == nil {
		return "", false
	}
	best.running++
	return best.id, true
}

// NewestVersion implements Picker.
func (s *sim) NewestVersion() model.WeightVersion {
	newest := model.WeightVersion(0)
	for _, e := range s.engines {
		newest = max(newest, e.version)
	}
	return newest
}

func (s *sim) sampleLength(slot SlotID) int {
	rng := rand.New(rand.NewPCG(s.opt.seed+slot.Step, uint64(slot.Index)))
	if rng.IntN(100) == 0 {
		return 20 * s.opt.median
	}
	return s.opt.median/2 + rng.IntN(s.opt.median+1)
}

func (s *sim) startAttempt(a Action) {
	var engine *simEngine
	for _, e := range s.engines {
		if e.id == a.Engine {
			engine = e
		}
	}
	at := &simAttempt{id: a.Attempt, slot: a.Slot, engine: engine, length: s.sampleLength(a.Slot), segmentStart: s.now}
	at.recorder = NewRecorder("", nil)
	if a.Prefix > 0 {
		kept := s.content[a.Slot]
		at.recorder = NewRecorder("", kept.recorder.Spans())
		at.actual = append(at.actual, kept.actual...)
	}
	s.running[a.Attempt] = at
	engine.attempts[a.Attempt] = at
	s.emit(at, 1)
	if s.chance(s.opt.brokenStreams) {
		s.schedule(time.Duration(s.rng.Float64()*float64(s.remainingTime(at))), func() { s.failAttempt(at, FailureBroken) })
	}
	if s.chance(s.opt.uncertainVersions) {
		s.schedule(time.Duration(s.rng.Float64()*float64(s.remainingTime(at))), func() { s.failAttempt(at, FailureUncertainVersions) })
	}
	s.scheduleEnd(at)
}

func (s *sim) remainingTime(at *simAttempt) time.Duration {
	return time.Duration(float64(at.length-at.recorder.Tokens()) / s.opt.rate * float64(time.Second))
}

func (s *sim) scheduleEnd(at *simAttempt) {
	version := at.engine.version
	s.schedule(s.remainingTime(at), func() {
		if at.ended || at.engine.version != version {
			return
		}
		s.emit(at, at.length-at.recorder.Tokens())
		s.endAttempt(at)
		s.content[at.slot] = simContent{recorder: at.recorder, actual: at.actual}
		s.apply(s.machine.Finished(s.now, at.id, at.recorder.Tokens(), at.recorder.Oldest()))
	})
}

// emit generates count tokens under the engine's version.
func (s *sim) emit(at *simAttempt, count int) {
	count = min(count, at.length-at.recorder.Tokens())
	from := at.recorder.Tokens()
	if err := at.recorder.Add(from, count, at.engine.version); err != nil {
		panic(err)
	}
	if count > 0 {
		at.actual = append(at.actual, Span{From: from, To: from + count, Version: at.engine.version})
	}
	at.segmentStart = s.now
}

// catchUp generates the tokens due since the segment began.
func (s *sim) catchUp(at *simAttempt) {
	s.emit(at, int(s.now.Sub(at.segmentStart).Seconds()*s.opt.rate))
}

func (s *sim) saveContent(at *simAttempt) {
	if at != nil && !at.ended {
		s.catchUp(at)
		s.content[at.slot] = simContent{recorder: at.recorder, actual: at.actual}
	}
}

func (s *sim) endAttempt(at *simAttempt) {
	if at == nil || at.ended {
		return
	}
	at.ended = true
	at.engine.running--
	delete(at.engine.attempts, at.id)
	delete(s.running, at.id)
}

func (s *sim) failAttempt(at *simAttempt, f Failure) {
	if at.ended {
		return
	}
	s.saveContent(at)
	s.endAttempt(at)
	s.apply(s.machine.Failed(s.now, at.id, f, at.recorder.Tokens(), at.recorder.Oldest()))
}

func (s *sim) newVersion() {
	s.trainer.version++
	v := s.trainer.version
	if !s.ownerDown {
		s.apply(s.machine.SetVersion(s.now, v))
	}
	for _, e := range s.engines {
		s.schedule(time.Duration(s.rng.Float64()*float64(s.opt.swapSpread)), func() { s.swap(e, v) })
	}
	s.schedule(s.opt.versionInterval, s.newVersion)
}

func (s *sim) swap(e *simEngine, v model.WeightVersion) {
	if e.version >= v {
		return
	}
	if s.chance(s.opt.failedSwaps) {
		s.schedule(s.opt.swapSpread, func() { s.swap(e, v) })
		return
	}
	var attempts []*simAttempt
	for _, id := range slices.Sorted(maps.Keys(e.attempts)) {
		attempts = append(attempts, e.attempts[id])
		s.catchUp(e.attempts[id])
	}
	e.version = v
	for _, at := range attempts {
		s.scheduleEnd(at)
		if !s.ownerDown {
			s.apply(s.machine.Progress(s.now, at.id, at.recorder.Tokens(), at.recorder.Oldest()))
		}
	}
}

// writeRecord keeps at most one conditional update of the record in flight. If its answer is
// lost, the outcome becomes known only after a read, which takes 500 ms.
func (s *sim) writeRecord() {
	sequence, unconfirmed := s.machine.RecordSequence()
	if !unconfirmed || s.writing {
		return
	}
	record := s.machine.Record()
	value, err := ledger.Encode(record)
	if err != nil {
		panic(err)
	}
	s.writing = true
	s.writes++
	delay, epoch := max(s.opt.writeDelay, 5*time.Millisecond), s.epoch
	s.schedule(delay, func() {
		if s.epoch != epoch {
			return
		}
		s.stored = value
		if s.chance(s.opt.lostWrites) {
			delay = 500 * time.Millisecond
		}
		s.schedule(delay, func() {
			if s.epoch == epoch && !s.ownerDown {
				s.writing = false
				s.machine.Confirm(sequence)
			}
		})
	})
}

func (s *sim) crashDelay() time.Duration {
	return time.Duration((0.5 + s.rng.Float64()) * float64(s.opt.crashInterval))
}

// crash stops the owner, which loses all content. A new owner restores the record 2 s later.
func (s *sim) crash() {
	s.ownerDown = true
	for _, at := range s.running {
		at.ended = true
	}
	for _, e := range s.engines {
		e.running, e.attempts = 0, map[AttemptID]*simAttempt{}
	}
	s.running = map[AttemptID]*simAttempt{}
	s.content = map[SlotID]simContent{}
	s.schedule(2*time.Second, func() {
		s.ownerDown, s.writing = false, false
		s.epoch++
		m := s.opt.newPolicy(s.opt.settings, s.epoch)
		if s.stored != nil {
			r, err := ledger.Decode(s.stored)
			if err != nil {
				panic(err)
			}
			m.(interface{ Restore(ledger.Record) }).Restore(r)
		}
		s.machine = m
		s.schedule(s.crashDelay(), s.crash)
	})
}

func (s *sim) openStep() {
	if s.ownerDown {
		s.schedule(100*time.Millisecond, s.openStep)
		return
	}
	t := &s.trainer
	t.step++
	t.cursor, t.waiting, t.waitingSince = 0, true, s.now
	s.open(t.step)
	if s.opt.openAhead && t.step < uint64(s.opt.steps) {
		s.open(t.step + 1)
	}
}

func (s *sim) open(step uint64) {
	actions, err := s.machine.Open(s.now, StepSpec{
		Step: step, Groups: s.opt.groups, GroupSize: s.opt.size, Bound: s.opt.settings.Bound, Digest: step, Version: s.trainer.version,
	})
	if err != nil {
		panic(err)
	}
	s.apply(actions)
}

func (s *sim) pull() {
	t := &s.trainer
	for t.waiting && !s.ownerDown {
		o, actions := s.machine.Pull(s.now, Pull{Step: t.step, Cursor: t.cursor, Max: s.opt.batchMax, Version: t.version})
		s.apply(actions)
		switch o.State {
		case PullWait:
			return
		case PullUnknown:
			s.open(t.step)
			return
		case PullConflict:
			t.violations = append(t.violations, "cursor refused")
			t.done = true
			return
		}
		if s.chance(s.opt.lostAnswers) {
			t.waiting = false
			s.schedule(time.Duration(s.rng.IntN(20))*time.Second, func() { t.waiting = true })
			return
		}
		s.receive(o)
	}
}

func (s *sim) receive(o Offer) {
	t := &s.trainer
	for _, slot := range o.Slots {
		c, held := s.content[slot]
		switch {
		case !held:
			t.violations = append(t.violations, "content not held")
			continue
		case t.delivered[slot]:
			t.violations = append(t.violations, "slot delivered again")
		case c.recorder.Tokens() != s.sampleLength(slot) || !sameSpans(c.recorder.Spans(), c.actual):
			t.violations = append(t.violations, "recorded spans differ from the generated ones")
		}
		t.delivered[slot] = true
		staleness := int(t.version) - int(c.recorder.Oldest())
		t.staleness = append(t.staleness, staleness)
		if staleness > s.opt.settings.Bound {
			t.violations = append(t.violations, "over the bound")
		}
	}
	t.cursor = o.Next
	if !o.Done {
		return
	}
	t.waiting = false
	t.idle += s.now.Sub(t.waitingSince)
	if int(t.step) == s.opt.steps {
		t.done, t.endedAt = true, s.now
		return
	}
	s.schedule(s.opt.trainTime, s.openStep)
}

func sameSpans(got, actual []Span) bool {
	want := NewRecorder("", nil)
	for _, span := range actual {
		if want.Add(span.From, span.To-span.From, span.Version) != nil {
			return false
		}
	}
	if len(got) != len(want.Spans()) {
		return false
	}
	for i, sp := range want.Spans() {
		if got[i] != sp {
			return false
		}
	}
	return true
}
