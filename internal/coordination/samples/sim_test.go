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

// policy is what the harness drives: Machine, or the baseline it is compared with.
type policy interface {
	Open(now time.Time, s StepSpec) ([]Action, error)
	SetVersion(now time.Time, v model.WeightVersion) []Action
	Pull(now time.Time, p Pull) (Offer, []Action)
	Plan(now time.Time, pick Picker, room bool) []Action
	Progress(now time.Time, id AttemptID, tokens int, oldest model.WeightVersion) []Action
	Finished(now time.Time, id AttemptID, tokens int, oldest model.WeightVersion) []Action
	Failed(now time.Time, id AttemptID, f Failure, kept int, oldest model.WeightVersion) []Action
	Pending() (uint64, bool)
	Record() ledger.Record
	Confirm(uint64)
}

type simOptions struct {
	seed         uint64
	engines      int
	slots        int
	rate         float64
	median       int
	groups, size int
	steps        int
	batchMax     int
	trainTime    time.Duration
	versionEvery time.Duration
	swapSpread   time.Duration
	openAhead    bool
	settings     Settings
	// The probabilities of faults, for each attempt, pull, write and swap.
	breaks, doubts, lostAnswers, lostWrites, failedSwaps float64
	// crashEvery is the mean time between two deaths of the owner, 0 for none.
	crashEvery time.Duration
	// writeDelay is the time of a write of the record, 5 ms when zero.
	writeDelay time.Duration
	fresh      func(Settings, model.Epoch) policy
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
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

// simAttempt makes tokens at the sim's rate; truth is what the engine knows.
type simAttempt struct {
	id       AttemptID
	slot     SlotID
	engine   *simEngine
	rec      *Recorder
	truth    []Span
	length   int
	segStart time.Time
	ended    bool
}

type simContent struct {
	rec   *Recorder
	truth []Span
}

// sim is one trainer, its engines and its owner under a fake clock.
type sim struct {
	opt     simOptions
	rng     *rand.Rand
	now     time.Time
	queue   simEvents
	seq     int
	engines []*simEngine
	p       policy
	epoch   model.Epoch
	content map[SlotID]simContent
	running map[AttemptID]*simAttempt
	stored  []byte
	writing bool
	down    bool
	writes  int
	trainer simTrainer
}

type simTrainer struct {
	version   model.WeightVersion
	step      uint64
	cursor    uint64
	waiting   bool
	since     time.Time
	idle      time.Duration
	seen      map[SlotID]bool
	staleness []int
	wrong     []string
	done      bool
	end       time.Time
}

func newSim(opt simOptions) *sim {
	s := &sim{
		opt: opt, rng: rand.New(rand.NewPCG(opt.seed, 11)), now: time.Unix(0, 0), epoch: 1,
		content: map[SlotID]simContent{}, running: map[AttemptID]*simAttempt{},
	}
	if opt.fresh == nil {
		s.opt.fresh = func(c Settings, e model.Epoch) policy { return New(c, e) }
	}
	s.p = s.opt.fresh(opt.settings, 1)
	for i := range opt.engines {
		s.engines = append(s.engines, &simEngine{
			id: model.EndpointID(string(rune('a'+i%26)) + string(rune('a'+i/26))), version: 1, attempts: map[AttemptID]*simAttempt{},
		})
	}
	s.trainer = simTrainer{version: 1, seen: map[SlotID]bool{}}
	return s
}

func (s *sim) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

// run plays until the trainer is done or the time is up; it reports whether it is done.
func (s *sim) run(limit time.Duration) bool {
	end := s.now.Add(limit)
	s.at(0, s.openStep)
	s.at(s.opt.versionEvery, s.newVersion)
	s.at(time.Second, s.tick)
	if s.opt.crashEvery > 0 {
		s.at(s.crashDelay(), s.crash)
	}
	for len(s.queue) > 0 && !s.trainer.done {
		e := heap.Pop(&s.queue).(simEvent)
		if e.at.After(end) {
			return false
		}
		s.now = e.at
		e.do()
		s.settle()
	}
	return s.trainer.done
}

// tick lets work start that was held back.
func (s *sim) tick() { s.at(time.Second, s.tick) }

func (s *sim) settle() {
	if s.down {
		return
	}
	s.pull()
	s.do(s.p.Plan(s.now, s, true))
	s.write()
}

func (s *sim) do(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionStart:
			s.start(a)
		case ActionCancel:
			s.keep(s.running[a.Attempt])
			s.end(s.running[a.Attempt])
		case ActionDiscard:
			delete(s.content, a.Slot)
		}
	}
}

// Pick implements Picker: the least loaded engine that fits.
func (s *sim) Pick(least model.WeightVersion, avoid model.EndpointID) (model.EndpointID, bool) {
	var best *simEngine
	for _, e := range s.engines {
		if e.version < least || e.running >= s.opt.slots {
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

// Newest implements Picker.
func (s *sim) Newest() model.WeightVersion {
	newest := model.WeightVersion(0)
	for _, e := range s.engines {
		newest = max(newest, e.version)
	}
	return newest
}

func (s *sim) length(slot SlotID) int {
	rng := rand.New(rand.NewPCG(s.opt.seed+slot.Step, uint64(slot.Index)))
	if rng.IntN(100) == 0 {
		return 20 * s.opt.median
	}
	return s.opt.median/2 + rng.IntN(s.opt.median+1)
}

func (s *sim) start(a Action) {
	var engine *simEngine
	for _, e := range s.engines {
		if e.id == a.Engine {
			engine = e
		}
	}
	at := &simAttempt{id: a.Attempt, slot: a.Slot, engine: engine, length: s.length(a.Slot), segStart: s.now}
	at.rec = NewRecorder("", nil)
	if a.Prefix > 0 {
		kept := s.content[a.Slot]
		at.rec = NewRecorder("", kept.rec.Spans())
		at.truth = append(at.truth, kept.truth...)
	}
	s.running[a.Attempt] = at
	engine.attempts[a.Attempt] = at
	s.emit(at, 1)
	if s.chance(s.opt.breaks) {
		s.at(time.Duration(s.rng.Float64()*float64(s.left(at))), func() { s.fail(at, FailureBroken) })
	}
	if s.chance(s.opt.doubts) {
		s.at(time.Duration(s.rng.Float64()*float64(s.left(at))), func() { s.fail(at, FailureDoubtful) })
	}
	s.scheduleEnd(at)
}

func (s *sim) left(at *simAttempt) time.Duration {
	return time.Duration(float64(at.length-at.rec.Tokens()) / s.opt.rate * float64(time.Second))
}

func (s *sim) scheduleEnd(at *simAttempt) {
	version := at.engine.version
	s.at(s.left(at), func() {
		if at.ended || at.engine.version != version {
			return
		}
		s.emit(at, at.length-at.rec.Tokens())
		s.end(at)
		s.content[at.slot] = simContent{rec: at.rec, truth: at.truth}
		s.do(s.p.Finished(s.now, at.id, at.rec.Tokens(), at.rec.Oldest()))
	})
}

// emit makes count tokens under the engine's version.
func (s *sim) emit(at *simAttempt, count int) {
	count = min(count, at.length-at.rec.Tokens())
	from := at.rec.Tokens()
	if err := at.rec.Add(from, count, at.engine.version); err != nil {
		panic(err)
	}
	if count > 0 {
		at.truth = append(at.truth, Span{From: from, To: from + count, Version: at.engine.version})
	}
	at.segStart = s.now
}

// catchUp makes the tokens due since the segment began.
func (s *sim) catchUp(at *simAttempt) {
	s.emit(at, int(s.now.Sub(at.segStart).Seconds()*s.opt.rate))
}

func (s *sim) keep(at *simAttempt) {
	if at != nil && !at.ended {
		s.catchUp(at)
		s.content[at.slot] = simContent{rec: at.rec, truth: at.truth}
	}
}

func (s *sim) end(at *simAttempt) {
	if at == nil || at.ended {
		return
	}
	at.ended = true
	at.engine.running--
	delete(at.engine.attempts, at.id)
	delete(s.running, at.id)
}

func (s *sim) fail(at *simAttempt, f Failure) {
	if at.ended {
		return
	}
	s.keep(at)
	s.end(at)
	s.do(s.p.Failed(s.now, at.id, f, at.rec.Tokens(), at.rec.Oldest()))
}

func (s *sim) newVersion() {
	s.trainer.version++
	v := s.trainer.version
	if !s.down {
		s.do(s.p.SetVersion(s.now, v))
	}
	for _, e := range s.engines {
		s.at(time.Duration(s.rng.Float64()*float64(s.opt.swapSpread)), func() { s.swap(e, v) })
	}
	s.at(s.opt.versionEvery, s.newVersion)
}

func (s *sim) swap(e *simEngine, v model.WeightVersion) {
	if e.version >= v {
		return
	}
	if s.chance(s.opt.failedSwaps) {
		s.at(s.opt.swapSpread, func() { s.swap(e, v) })
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
		if !s.down {
			s.do(s.p.Progress(s.now, at.id, at.rec.Tokens(), at.rec.Oldest()))
		}
	}
}

// write keeps one conditional update in flight; its answer may be lost and is then
// resolved by a read.
func (s *sim) write() {
	sequence, due := s.p.Pending()
	if !due || s.writing {
		return
	}
	record := s.p.Record()
	value, err := ledger.Encode(record)
	if err != nil {
		panic(err)
	}
	s.writing = true
	s.writes++
	delay, epoch := max(s.opt.writeDelay, 5*time.Millisecond), s.epoch
	s.at(delay, func() {
		if s.epoch != epoch {
			return
		}
		s.stored = value
		if s.chance(s.opt.lostWrites) {
			delay = 500 * time.Millisecond
		}
		s.at(delay, func() {
			if s.epoch == epoch && !s.down {
				s.writing = false
				s.p.Confirm(sequence)
			}
		})
	})
}

func (s *sim) crashDelay() time.Duration {
	return time.Duration((0.5 + s.rng.Float64()) * float64(s.opt.crashEvery))
}

// crash ends the owner with all content; another one takes the record over.
func (s *sim) crash() {
	s.down = true
	for _, at := range s.running {
		at.ended = true
	}
	for _, e := range s.engines {
		e.running, e.attempts = 0, map[AttemptID]*simAttempt{}
	}
	s.running = map[AttemptID]*simAttempt{}
	s.content = map[SlotID]simContent{}
	s.at(2*time.Second, func() {
		s.down, s.writing = false, false
		s.epoch++
		m := s.opt.fresh(s.opt.settings, s.epoch)
		if s.stored != nil {
			r, err := ledger.Decode(s.stored)
			if err != nil {
				panic(err)
			}
			m.(interface{ Restore(ledger.Record) }).Restore(r)
		}
		s.p = m
		s.at(s.crashDelay(), s.crash)
	})
}

func (s *sim) openStep() {
	if s.down {
		s.at(100*time.Millisecond, s.openStep)
		return
	}
	t := &s.trainer
	t.step++
	t.cursor, t.waiting, t.since = 0, true, s.now
	s.open(t.step)
	if s.opt.openAhead && t.step < uint64(s.opt.steps) {
		s.open(t.step + 1)
	}
}

func (s *sim) open(step uint64) {
	actions, err := s.p.Open(s.now, StepSpec{
		Step: step, Groups: s.opt.groups, GroupSize: s.opt.size, Bound: s.opt.settings.Bound, Digest: step, Version: s.trainer.version,
	})
	if err != nil {
		panic(err)
	}
	s.do(actions)
}

func (s *sim) pull() {
	t := &s.trainer
	for t.waiting && !s.down {
		o, actions := s.p.Pull(s.now, Pull{Step: t.step, Cursor: t.cursor, Max: s.opt.batchMax, Version: t.version})
		s.do(actions)
		switch o.State {
		case PullWait:
			return
		case PullUnknown:
			s.open(t.step)
			return
		case PullConflict:
			t.wrong = append(t.wrong, "cursor refused")
			t.done = true
			return
		}
		if s.chance(s.opt.lostAnswers) {
			t.waiting = false
			s.at(time.Duration(s.rng.IntN(20))*time.Second, func() { t.waiting = true })
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
			t.wrong = append(t.wrong, "content not held")
			continue
		case t.seen[slot]:
			t.wrong = append(t.wrong, "slot delivered again")
		case c.rec.Tokens() != s.length(slot) || !sameSpans(c.rec.Spans(), c.truth):
			t.wrong = append(t.wrong, "spans are not the truth")
		}
		t.seen[slot] = true
		staleness := int(t.version) - int(c.rec.Oldest())
		t.staleness = append(t.staleness, staleness)
		if staleness > s.opt.settings.Bound {
			t.wrong = append(t.wrong, "over the bound")
		}
	}
	t.cursor = o.Next
	if !o.Done {
		return
	}
	t.waiting = false
	t.idle += s.now.Sub(t.since)
	if int(t.step) == s.opt.steps {
		t.done, t.end = true, s.now
		return
	}
	s.at(s.opt.trainTime, s.openStep)
}

func sameSpans(got, truth []Span) bool {
	want := NewRecorder("", nil)
	for _, t := range truth {
		if want.Add(t.From, t.To-t.From, t.Version) != nil {
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
