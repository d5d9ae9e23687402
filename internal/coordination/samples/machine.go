// Package samples schedules the samples of a trainer's steps: it decides which attempts
// are started, cancelled or run again, how samples are grouped into batches, and when a
// batch is offered to the trainer. A slot is the place of one sample in a step; it is
// unrelated to the slots of an engine, which limit its concurrent requests. The host that
// schedules a trainer is the trainer's owner.
//
// Invariant: a slot is in at most one batch of its step. A batch is offered only after
// the record that holds it is confirmed, and only if the oldest weight version of each of
// its samples is within the staleness bound of the trainer's version at that moment.
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

// Errors returned by Open.
var (
	ErrStepClosed       = errors.New("step is closed: a later step was opened")
	ErrStepConflict     = errors.New("step is already open with different contents")
	ErrTooManyOpenSteps = errors.New("two steps are open and the oldest is not complete")
	ErrStepTooLarge     = errors.New("step has no samples or more than the limit")
)

// Settings are the settings of a trainer that affect scheduling.
type Settings struct {
	// Bound is the staleness bound in weight versions.
	Bound int
	// Freshness is in [0, 1]; higher values start samples later and under newer versions.
	Freshness float64
	// SpareGroups limits the number of groups without which a step may complete, as a
	// fraction of the groups that the trainer needs.
	SpareGroups float64
	// StepSamples is the maximum number of samples in a step.
	StepSamples int
	// Scored is set if a sample is ready only after it has been scored.
	Scored bool
}

// SlotID identifies a slot. Index is the group's index times the group size, plus the
// sample's index in the group.
type SlotID struct {
	Step  uint64
	Index int
}

// AttemptID identifies an attempt to generate a slot's sample. It is unique only until the
// trainer's owner changes.
type AttemptID uint64

// ActionKind is the type of an Action.
type ActionKind int

// The action types.
const (
	// ActionStart: generate the slot's sample on Engine, after the first Prefix tokens,
	// which are held.
	ActionStart ActionKind = iota
	// ActionCancel: cancel the attempt on its engine.
	ActionCancel
	// ActionScore: request a score for the finished sample.
	ActionScore
	// ActionDiscard: release the content of the slot.
	ActionDiscard
	// ActionReport: report the problem named by the field Problem to the operators.
	ActionReport
)

// Problem is the problem that an ActionReport reports.
type Problem int

// The problems reported, each at most once per step.
const (
	// ProblemOverBound: the sample repeatedly exceeded the staleness bound before it was
	// ready.
	ProblemOverBound Problem = iota
	// ProblemSuspect: attempts at the slot broke repeatedly without new tokens, so the slot
	// itself may be the cause.
	ProblemSuspect
	// problemCount is the number of problems.
	problemCount
)

// Action is a task that the machine asks its caller to carry out.
type Action struct {
	Kind    ActionKind
	Slot    SlotID
	Attempt AttemptID
	Engine  model.EndpointID
	Prefix  int
	Problem Problem
}

type slotState uint8

const (
	slotPending slotState = iota
	slotRunning
	slotScoring
	slotReady
	// slotClosed: received by the trainer or dropped; no content is held.
	slotClosed
	// slotWithoutContent: in a batch that an earlier owner recorded; generated again only
	// if the trainer asks for that batch.
	slotWithoutContent
)

type slot struct {
	state   slotState
	inBatch bool
	// failures counts the broken attempts without new tokens since the slot last finished.
	failures uint8
	// prefix is the number of tokens kept from a broken or moved attempt.
	prefix int
	// tokens is the length of the finished sample, 0 until the slot has one.
	tokens int
	// oldest is the oldest weight version of the tokens held. It is meaningful only if there
	// are any.
	oldest model.WeightVersion
	// attempt is the last attempt at the slot.
	attempt AttemptID
	// queueSeq identifies the slot's valid queue entry; entries with another value are
	// skipped.
	queueSeq uint32
	// avoid is the engine of the last failed or moved attempt.
	avoid model.EndpointID
	// staleAttempts counts the attempts that exceeded the staleness bound since the slot
	// was last ready.
	staleAttempts uint8
}

type attempt struct {
	slot         SlotID
	engine       model.EndpointID
	startedAt    time.Time
	lastProgress time.Time
	// firstTokenAt is when this attempt's first token was received, zero until then.
	firstTokenAt time.Time
	// prefixTokens is the number of tokens carried over from an earlier attempt.
	prefixTokens int
	// tokens is the number of tokens so far, including those carried over; oldest is their
	// oldest weight version, 0 if there are none.
	tokens int
	oldest model.WeightVersion
}

type step struct {
	rec   ledger.Step
	slots []slot
	// batchSequence holds, for each batch, the sequence number of the first record that
	// contains it.
	batchSequence []uint64
	// inBatch is the number of slots in batches, received the number of batches that the
	// trainer acknowledged.
	inBatch  int
	received int
	// firstStart is when the first attempt started; finished is the number of attempts
	// that finished.
	firstStart time.Time
	finished   int
	// groupReady is the number of ready slots of each group. readyQueue lists the groups in
	// the order in which they became complete; a group in it may have lost a sample
	// since. queued is set for the groups in readyQueue. deliverable is the number of slots
	// in complete groups outside batches. reported is set for the problems reported.
	groupReady  []uint16
	reported    [problemCount]bool
	queued      []bool
	readyQueue  []int
	deliverable int
}

// Machine is the state machine that schedules one trainer's steps. It belongs to one owner;
// the next owner creates its own from the stored record, see Restore. A Machine performs no
// I/O: its methods return the actions to carry out. It is not safe for concurrent use.
type Machine struct {
	cfg     Settings
	version model.WeightVersion
	epoch   model.Epoch
	// sequence is the number of the current record; it increases when a step is opened or
	// closed and when a batch is formed. confirmed is the number of the last record that is
	// known to be stored.
	sequence  uint64
	confirmed uint64
	// steps holds the open steps, ordered by step number.
	steps        []*step
	attempts     map[AttemptID]*attempt
	lastAttempt  AttemptID
	lastQueueSeq uint32
	// pending holds the slots that may start now, delayed those that wait for a retry.
	pending  pendingQueue
	delayed  []delayedSlot
	lengths  *stragglers.LengthHistogram
	averages movingAverages
	counts   Counts
}

// Counts are totals since the machine was created, except Outstanding.
type Counts struct {
	// Delivered counts samples in batches that the trainer acknowledged. When a step is
	// closed, the samples in its other batches are counted too.
	Delivered uint64
	// Rerun counts samples discarded to be generated again.
	Rerun uint64
	// Cancelled counts attempts cancelled because their sample is too stale or no longer
	// needed.
	Cancelled uint64
	// UncertainVersions counts attempts whose token versions are uncertain.
	UncertainVersions uint64
	// Moved counts attempts cancelled to be resumed on another engine.
	Moved uint64
	// OverBound and Suspect count the attempts that met the condition of ProblemOverBound or
	// ProblemSuspect.
	OverBound uint64
	Suspect   uint64
	// DroppedByLength counts dropped samples by expected length.
	DroppedByLength stragglers.LengthCounts
	// Outstanding is the number of attempts in flight.
	Outstanding int
}

// New returns an empty machine for an owner with the given epoch.
func New(cfg Settings, epoch model.Epoch) *Machine {
	return &Machine{cfg: cfg, epoch: epoch, attempts: map[AttemptID]*attempt{}, lengths: stragglers.NewLengthHistogram()}
}

// Configure replaces the settings and drops content that exceeds a lowered staleness
// bound. The bound of an open step never rises above the one with which it was opened.
func (m *Machine) Configure(cfg Settings) []Action {
	m.cfg = cfg
	return m.dropAllStale()
}

// Restore loads the record of an earlier owner into a new machine. Batches in the record
// count as confirmed. The record must be written again, since its epoch has changed.
func (m *Machine) Restore(r ledger.Record) {
	m.version = max(m.version, r.TrainerVersion)
	for _, rec := range r.Steps {
		st := newStep(rec)
		for _, batch := range rec.Batches {
			for _, i := range batch {
				st.slots[i].state = slotWithoutContent
				st.slots[i].inBatch = true
				st.inBatch++
			}
			st.batchSequence = append(st.batchSequence, 0)
		}
		m.steps = append(m.steps, st)
		if !st.complete() {
			m.enqueueAll(st)
		}
	}
	m.sequence++
}

// StepSpec describes a step that a trainer opens.
type StepSpec struct {
	Step      uint64
	Groups    int
	GroupSize int
	// Needed is the number of groups that the trainer needs, 0 for all.
	Needed       int
	MaxTokens    int
	Bound        int
	Digest       uint64
	PromptPrefix string
	Inline       bool
	Version      model.WeightVersion
}

// Open opens a step. The step counts as open once the sequence number that
// RecordSequence returns is confirmed. Opening an open step again with the same digest does
// not change it.
func (m *Machine) Open(now time.Time, s StepSpec) ([]Action, error) {
	actions := m.SetVersion(now, s.Version)
	if st := m.findStep(s.Step); st != nil {
		if st.rec.Digest != s.Digest {
			return actions, ErrStepConflict
		}
		return actions, nil
	}
	if n := len(m.steps); n > 0 && s.Step < m.steps[n-1].rec.Step {
		return actions, ErrStepClosed
	}
	if s.Groups < 1 || s.GroupSize < 1 || s.Groups*s.GroupSize > min(m.cfg.StepSamples, ledger.MaxSlots) {
		return actions, ErrStepTooLarge
	}
	if len(m.steps) >= maxOpenSteps && !m.steps[0].complete() {
		return actions, ErrTooManyOpenSteps
	}
	rec := ledger.Step{
		Step: s.Step, Groups: s.Groups, GroupSize: s.GroupSize, MaxTokens: s.MaxTokens,
		SpareGroups:    m.spareGroups(s),
		StalenessBound: s.Bound, Digest: s.Digest, PromptPrefix: s.PromptPrefix, Inline: s.Inline,
	}
	for len(m.steps) >= maxOpenSteps {
		actions = append(actions, m.closeOldestStep()...)
	}
	st := newStep(rec)
	m.steps = append(m.steps, st)
	m.enqueueAll(st)
	m.sequence++
	return actions, nil
}

// spareGroups returns the number of groups without which the step may complete: the groups
// that the trainer does not need, limited by Settings.SpareGroups.
func (m *Machine) spareGroups(s StepSpec) int {
	if s.Needed <= 0 {
		return 0
	}
	limit := int(float64(s.Groups) * m.cfg.SpareGroups / (1 + m.cfg.SpareGroups))
	return max(0, min(s.Groups-s.Needed, limit))
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

func (m *Machine) findStep(number uint64) *step {
	for _, st := range m.steps {
		if st.rec.Step == number {
			return st
		}
	}
	return nil
}

// complete reports whether as many slots are in batches as the step requires.
func (st *step) complete() bool { return st.inBatch >= st.rec.RequiredSlots() }

// bound returns the staleness bound in effect for the step.
func (m *Machine) bound(st *step) model.WeightVersion {
	return model.WeightVersion(max(0, min(st.rec.StalenessBound, m.cfg.Bound)))
}

// isFresh reports whether the content of a slot is within the staleness bound.
func (m *Machine) isFresh(st *step, s *slot) bool { return s.oldest+m.bound(st) >= m.version }

// RecordSequence returns the sequence number of the current record and whether that record
// has yet to be written and confirmed.
func (m *Machine) RecordSequence() (sequence uint64, unconfirmed bool) {
	return m.sequence, m.sequence > m.confirmed
}

// Record returns the current record.
func (m *Machine) Record() ledger.Record {
	r := ledger.Record{Epoch: m.epoch, Sequence: m.sequence, TrainerVersion: m.version}
	for _, st := range m.steps {
		r.Steps = append(r.Steps, st.rec)
	}
	return r
}

// Confirm marks the record with this sequence number, and all earlier ones, as stored.
func (m *Machine) Confirm(sequence uint64) { m.confirmed = max(m.confirmed, sequence) }

// Confirmed returns the highest confirmed sequence number.
func (m *Machine) Confirmed() uint64 { return m.confirmed }

// Version returns the highest weight version that the trainer reported.
func (m *Machine) Version() model.WeightVersion { return m.version }

// Counts returns the current totals.
func (m *Machine) Counts() Counts {
	c := m.counts
	c.Outstanding = len(m.attempts)
	return c
}

// closeOldestStep removes the open step with the lowest number.
func (m *Machine) closeOldestStep() []Action {
	st := m.steps[0]
	m.steps = m.steps[1:]
	var actions []Action
	for i := range st.slots {
		actions = append(actions, m.dropSlot(st, i)...)
	}
	m.sequence++
	return actions
}

// dropSlot closes a slot that is no longer needed and cancels its attempt.
func (m *Machine) dropSlot(st *step, i int) []Action {
	s := &st.slots[i]
	id := SlotID{Step: st.rec.Step, Index: i}
	if s.inBatch && s.state != slotClosed {
		m.counts.Delivered++
	}
	if !s.inBatch && s.state != slotClosed {
		m.counts.DroppedByLength.Add(m.expectedTokens(s))
	}
	var actions []Action
	if s.state == slotRunning {
		actions = append(actions, m.cancel(s))
	}
	if s.state != slotClosed && s.state != slotWithoutContent {
		actions = append(actions, Action{Kind: ActionDiscard, Slot: id})
	}
	s.state = slotClosed
	s.queueSeq = 0
	return actions
}

func (m *Machine) expectedTokens(s *slot) int {
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

// SetVersion records the trainer's weight version. It cancels attempts and discards content
// that now exceed the staleness bound, and queues their slots again. A version that is not
// higher than the last one is ignored.
func (m *Machine) SetVersion(now time.Time, v model.WeightVersion) []Action {
	if v <= m.version {
		return nil
	}
	m.averages.observeVersions(now, int(v-m.version))
	m.version = v
	return m.dropAllStale()
}

func (st *step) groupComplete(g int) bool { return int(st.groupReady[g]) == st.rec.GroupSize }
