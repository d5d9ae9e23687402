// Package samples decides how the samples of a trainer's steps are made and
// delivered: what is started, cancelled, run again, put into a batch and offered.
//
// Invariant: a slot is in at most one batch of its step; a batch is offered only once
// the record that holds it is confirmed, and only with samples whose oldest version is
// within the bound of the trainer's version at that moment.
package samples

import (
	"time"

	"errors"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/coordination/stragglers"
	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Error is the class of this package's errors.
var Error = errs.Class("samples")

// The errors of Open.
var (
	ErrStepOver     = errors.New("the step is over")
	ErrStepConflict = errors.New("the step was opened with other contents")
	ErrStepsOpen    = errors.New("two steps are open and the first is not whole")
	ErrStepTooLarge = errors.New("the step has too many samples")
)

// Settings are the trainer's settings that decide.
type Settings struct {
	Bound       int
	Freshness   float64
	SpareGroups float64
	StepSamples int
	// Scored says that samples wait for a score.
	Scored bool
}

// SlotID names one sample of a step; Index is group*groupSize+index.
type SlotID struct {
	Step  uint64
	Index int
}

// AttemptID numbers an attempt at a slot within one ownership of the trainer.
type AttemptID uint64

// ActionKind says what an Action asks for.
type ActionKind int

// The kinds of action.
const (
	// ActionStart: generate the slot at Engine, after Prefix tokens that are held.
	ActionStart ActionKind = iota
	// ActionCancel: end the attempt at its engine.
	ActionCancel
	// ActionScore: have the finished sample scored.
	ActionScore
	// ActionDiscard: the content of the slot is not needed any more.
	ActionDiscard
	// ActionReport: tell the operators what Report says of the slot.
	ActionReport
)

// Report says what an ActionReport is about.
type Report int

// The reports, each given once a step.
const (
	// ReportOverBound: the sample takes longer than its bound allows.
	ReportOverBound Report = iota
	// ReportSuspect: the slot's attempts break at every engine.
	ReportSuspect
	reportKinds
)

// Action is something the machine wants done.
type Action struct {
	Kind    ActionKind
	Slot    SlotID
	Attempt AttemptID
	Engine  model.EndpointID
	Prefix  int
	Report  Report
}

type slotState uint8

const (
	slotPending slotState = iota
	slotRunning
	slotScoring
	slotReady
	// slotReceived: the trainer has it; nothing is kept.
	slotReceived
	// slotUnheld: in a batch of an earlier owner; made again only when asked for.
	slotUnheld
)

type slot struct {
	state    slotState
	inBatch  bool
	failures uint8
	// prefix counts the tokens kept from a broken attempt.
	prefix  int
	tokens  int
	oldest  model.WeightVersion
	attempt AttemptID
	// ticket invalidates older entries of the queue.
	ticket uint32
	avoid  model.EndpointID
	// tooOld counts the ends in a row for which the sample was too old before it was ready.
	tooOld uint8
}

type attempt struct {
	slot     SlotID
	engine   model.EndpointID
	started  time.Time
	progress time.Time
	// first is when the first token of this attempt came, zero before.
	first  time.Time
	from   int
	tokens int
	oldest model.WeightVersion
}

type step struct {
	rec   ledger.Step
	slots []slot
	// batchSequence is the record's sequence that first held each batch.
	batchSequence []uint64
	inBatch       int
	received      int
	// began is when the first slot was started, made how many slots ended.
	began time.Time
	made  int
	// groupReady counts the ready slots of each group; queue lists the groups that
	// were whole, in that order, and deliverable counts the slots of those that are
	// whole and in no batch.
	groupReady  []uint16
	reported    [reportKinds]bool
	queued      []bool
	queue       []int
	deliverable int
}

// Machine holds the steps of one trainer under one ownership.
type Machine struct {
	cfg       Settings
	version   model.WeightVersion
	epoch     model.Epoch
	sequence  uint64
	confirmed uint64
	steps     []*step
	attempts  map[AttemptID]*attempt
	last      AttemptID
	tickets   uint32
	pending   pendingQueue
	delayed   []delayedSlot
	lengths   *stragglers.LengthHistogram
	pace      pace
	counts    Counts
}

// Counts are the machine's totals.
type Counts struct {
	Delivered   uint64
	Rerun       uint64
	Cancelled   uint64
	Doubtful    uint64
	Moved       uint64
	OverBound   uint64
	Suspect     uint64
	DroppedBy   stragglers.LengthCounts
	Outstanding int
}

// New returns a machine for an ownership with the given epoch.
func New(cfg Settings, epoch model.Epoch) *Machine {
	return &Machine{cfg: cfg, epoch: epoch, attempts: map[AttemptID]*attempt{}, lengths: stragglers.NewLengthHistogram()}
}

// Configure replaces the settings and gives up what a lower bound makes too old. A
// higher bound does not raise that of open steps.
func (m *Machine) Configure(cfg Settings) []Action {
	m.cfg = cfg
	return m.dropAllStale()
}

// Restore takes over the record an earlier owner left.
func (m *Machine) Restore(r ledger.Record) {
	m.version = max(m.version, r.TrainerVersion)
	for _, rec := range r.Steps {
		st := newStep(rec)
		for _, batch := range rec.Batches {
			for _, i := range batch {
				st.slots[i].state = slotUnheld
				st.slots[i].inBatch = true
				st.inBatch++
			}
			st.batchSequence = append(st.batchSequence, 0)
		}
		m.steps = append(m.steps, st)
		if !st.whole() {
			m.queueAll(st)
		}
	}
	m.sequence++
}

// StepSpec is what a trainer opens a step with.
type StepSpec struct {
	Step      uint64
	Groups    int
	GroupSize int
	// Needed is the number of groups the trainer needs, 0 for all.
	Needed       int
	MaxTokens    int
	Bound        int
	Digest       uint64
	PromptPrefix string
	Inline       bool
	Version      model.WeightVersion
}

// Open opens a step. It is open once the sequence that Pending shows is confirmed.
func (m *Machine) Open(now time.Time, s StepSpec) ([]Action, error) {
	actions := m.SetVersion(now, s.Version)
	if st := m.find(s.Step); st != nil {
		if st.rec.Digest != s.Digest {
			return actions, ErrStepConflict
		}
		return actions, nil
	}
	if n := len(m.steps); n > 0 && s.Step < m.steps[n-1].rec.Step {
		return actions, ErrStepOver
	}
	if s.Groups < 1 || s.GroupSize < 1 || s.Groups*s.GroupSize > min(m.cfg.StepSamples, ledger.MaxSlots) {
		return actions, ErrStepTooLarge
	}
	if len(m.steps) >= maxOpenSteps && !m.steps[0].whole() {
		return actions, ErrStepsOpen
	}
	rec := ledger.Step{
		Step: s.Step, Groups: s.Groups, GroupSize: s.GroupSize, MaxTokens: s.MaxTokens,
		Spare: m.spare(s),
		Bound: s.Bound, Digest: s.Digest, PromptPrefix: s.PromptPrefix, Inline: s.Inline,
	}
	for len(m.steps) >= maxOpenSteps {
		actions = append(actions, m.closeFirst()...)
	}
	st := newStep(rec)
	m.steps = append(m.steps, st)
	m.queueAll(st)
	m.sequence++
	return actions, nil
}

// spare is the number of groups the step may end without: what the trainer offers, up
// to its setting.
func (m *Machine) spare(s StepSpec) int {
	if s.Needed <= 0 {
		return 0
	}
	most := int(float64(s.Groups) * m.cfg.SpareGroups / (1 + m.cfg.SpareGroups))
	return max(0, min(s.Groups-s.Needed, most))
}

const maxOpenSteps = 2

func newStep(rec ledger.Step) *step {
	return &step{
		rec:        rec,
		slots:      make([]slot, rec.Slots()),
		groupReady: make([]uint16, rec.Groups),
		queued:     make([]bool, rec.Groups),
	}
}

func (m *Machine) find(number uint64) *step {
	for _, st := range m.steps {
		if st.rec.Step == number {
			return st
		}
	}
	return nil
}

// whole reports whether every needed slot is in a batch.
func (st *step) whole() bool { return st.inBatch >= st.rec.Needed() }

// bound is the step's staleness bound in force.
func (m *Machine) bound(st *step) model.WeightVersion {
	return model.WeightVersion(max(0, min(st.rec.Bound, m.cfg.Bound)))
}

func (m *Machine) fresh(st *step, s *slot) bool { return s.oldest+m.bound(st) >= m.version }

// Pending returns the last sequence and whether its record is still to be written.
func (m *Machine) Pending() (sequence uint64, unwritten bool) {
	return m.sequence, m.sequence > m.confirmed
}

// Record returns the record as of the present sequence.
func (m *Machine) Record() ledger.Record {
	r := ledger.Record{Epoch: m.epoch, Sequence: m.sequence, TrainerVersion: m.version}
	for _, st := range m.steps {
		r.Steps = append(r.Steps, st.rec)
	}
	return r
}

// Confirm tells that the record with this sequence was written.
func (m *Machine) Confirm(sequence uint64) { m.confirmed = max(m.confirmed, sequence) }

// Confirmed returns the highest sequence written.
func (m *Machine) Confirmed() uint64 { return m.confirmed }

// Version returns the trainer's version as known.
func (m *Machine) Version() model.WeightVersion { return m.version }

// Counts returns the totals so far.
func (m *Machine) Counts() Counts {
	c := m.counts
	c.Outstanding = len(m.attempts)
	return c
}

// closeFirst forgets the lowest step.
func (m *Machine) closeFirst() []Action {
	st := m.steps[0]
	m.steps = m.steps[1:]
	var actions []Action
	for i := range st.slots {
		actions = append(actions, m.dropSlot(st, i)...)
	}
	m.sequence++
	return actions
}

// dropSlot ends the work on a slot that is not needed any more.
func (m *Machine) dropSlot(st *step, i int) []Action {
	s := &st.slots[i]
	id := SlotID{Step: st.rec.Step, Index: i}
	if s.inBatch && s.state != slotReceived {
		m.counts.Delivered++
	}
	if !s.inBatch && s.state != slotReceived {
		m.counts.DroppedBy.Add(m.expected(s))
	}
	var actions []Action
	if s.state == slotRunning {
		actions = append(actions, m.cancel(s))
	}
	if s.state != slotReceived && s.state != slotUnheld {
		actions = append(actions, Action{Kind: ActionDiscard, Slot: id})
	}
	s.state = slotReceived
	s.ticket = 0
	return actions
}

func (m *Machine) expected(s *slot) int {
	if s.state == slotScoring || s.state == slotReady {
		return s.tokens
	}
	done := s.prefix
	if a := m.attempts[s.attempt]; a != nil {
		done = a.tokens
	}
	return done + m.lengths.Remaining(done)
}

func (m *Machine) cancel(s *slot) Action {
	a := m.attempts[s.attempt]
	delete(m.attempts, s.attempt)
	m.counts.Cancelled++
	return Action{Kind: ActionCancel, Attempt: s.attempt, Slot: a.slot, Engine: a.engine}
}

// SetVersion takes in the trainer's version and cancels what can no longer make it.
func (m *Machine) SetVersion(now time.Time, v model.WeightVersion) []Action {
	if v <= m.version {
		return nil
	}
	m.pace.versions(now, int(v-m.version))
	m.version = v
	return m.dropAllStale()
}

func (st *step) groupWhole(g int) bool { return int(st.groupReady[g]) == st.rec.GroupSize }
