package rollout

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/boundedqueue"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

const (
	eventCapacity = 4096
	tickInterval  = 100 * time.Millisecond
	// maxContentBytes limits the finished samples that an owner keeps in memory. At the limit,
	// no slot is started for the first time until the trainer has taken some samples.
	maxContentBytes       = 64 << 20
	maxConcurrentScores   = 32
	scoreRetriesPerSecond = 20
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

// ownerOptions configures an owner.
type ownerOptions struct {
	Trainer model.TrainerID
	Shard   shardassignment.Shard
	Zone    model.ZoneID
	API     objectapi.API
	Engines *engineapi.Client
	HTTP    *http.Client
	View    func() *model.FleetView
	Metrics *metrics
	Log     *slog.Logger
	// Run numbers the owners under one epoch, from 1, so that their request IDs differ.
	Run int
}

// owner serves one trainer under one epoch. Only the event loop in run accesses its
// fields, except that workers and HTTP handlers also use opt, ctx, events, store, scoreSlots
// and scoreRetries.
type owner struct {
	opt          ownerOptions
	events       *boundedqueue.Queue[event]
	store        *store
	machine      *samples.Machine
	engines      *engineTable
	trainer      model.Trainer
	view         *model.FleetView
	steps        map[uint64]*stepState
	attempts     map[samples.AttemptID]runningAttempt
	pendingPulls []pullRequest
	pendingOpens []openRequest
	closedSteps  []closedStep
	// writing is set while a write of the record is in flight.
	writing bool
	// heldBytes is the size of the contents of complete samples.
	heldBytes    int
	workers      sync.WaitGroup
	ctx          context.Context
	cancelAll    context.CancelFunc
	scoreSlots   chan struct{}
	scoreRetries *rate.Limiter
	writeErr     error
	lastCounts   samples.Counts
}

// stepState holds the data of an open step that the machine does not hold.
type stepState struct {
	prompts   []string
	prefix    string
	groupSize int
	maxTokens int
	digest    uint64
	inline    bool
	contents  map[int]*content
}

func (s *stepState) prompt(group int) string {
	if s.inline {
		return s.prompts[group]
	}
	return s.prefix + " " + strconv.Itoa(group)
}

// runningAttempt is an attempt that runs or whose sample is being scored. cancel stops either.
type runningAttempt struct {
	attempt attempt
	cancel  context.CancelFunc
}

// closedStep is a step whose content was released. Its prompts are kept until a record
// without the step, with this sequence or a later one, is confirmed.
type closedStep struct {
	prompts  promptsID
	sequence uint64
}

// event is a message to the owner's event loop.
type event interface{ apply(o *owner) }

func newOwner(ctx context.Context, opt ownerOptions) *owner {
	ctx, cancel := context.WithCancel(ctx)
	return &owner{
		ctx:          ctx,
		cancelAll:    cancel,
		opt:          opt,
		events:       boundedqueue.New[event](eventCapacity, boundedqueue.Block),
		store:        &store{api: opt.API, trainer: opt.Trainer, epoch: opt.Shard.Epoch},
		engines:      newEngineTable(opt.Zone, uint64(opt.Shard.Epoch)),
		steps:        map[uint64]*stepState{},
		attempts:     map[samples.AttemptID]runningAttempt{},
		scoreSlots:   make(chan struct{}, maxConcurrentScores),
		scoreRetries: rate.NewLimiter(scoreRetriesPerSecond, scoreRetriesPerSecond),
	}
}

// run serves the trainer until its context ends, the ownership is lost or the record cannot
// be read or written.
func (o *owner) run() error {
	ctx := o.ctx
	defer func() {
		o.cancelAll()
		o.events.Close()
		o.rejectPending()
		o.workers.Wait()
	}()
	if err := o.restore(ctx); err != nil {
		return err
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for o.writeErr == nil {
		select {
		case e := <-o.events.C():
			e.apply(o)
			o.drainEvents()
		case now := <-tick.C:
			o.updateView()
			o.execute(o.machine.Tick(now))
		case <-ctx.Done():
			return ctx.Err()
		}
		o.advance()
	}
	return o.writeErr
}

// drainEvents applies the events that are already queued, so that advance runs once for
// many events.
func (o *owner) drainEvents() {
	for range eventCapacity {
		e, ok := o.events.TryPop()
		if !ok {
			return
		}
		e.apply(o)
	}
}

func (o *owner) enqueue(e event) { _ = o.events.Push(o.ctx, e) }

func (o *owner) restore(ctx context.Context) error {
	for !o.updateView() {
		if !clock.Sleep(ctx, tickInterval) {
			return ctx.Err()
		}
	}
	o.machine = samples.New(o.settings(), o.opt.Shard.Epoch)
	record, err := o.store.load(ctx)
	if err != nil {
		return err
	}
	for _, st := range record.Steps {
		state := &stepState{
			prefix: st.PromptPrefix, groupSize: st.GroupSize, maxTokens: st.MaxTokens, digest: st.Digest, inline: st.Inline, contents: map[int]*content{},
		}
		if st.Inline {
			if state.prompts, err = o.store.readPrompts(ctx, promptsID{step: st.Step, digest: st.Digest}); err != nil {
				return err
			}
			if len(state.prompts) != st.Groups {
				return Error.New("step %d has %d prompts for %d groups", st.Step, len(state.prompts), st.Groups)
			}
		}
		o.steps[st.Step] = state
	}
	if len(record.Steps) > 0 {
		o.opt.Log.Info("Restored open steps of trainer", "trainer", o.opt.Trainer, "epoch", o.opt.Shard.Epoch, "steps", len(record.Steps))
	}
	o.machine.Restore(record)
	return nil
}

// updateView applies a new fleet view. It returns false as long as no view has contained
// the trainer.
func (o *owner) updateView() bool {
	view := o.opt.View()
	if view == nil || view.Config == nil {
		return o.view != nil
	}
	trainer, ok := view.Config.Trainers[o.opt.Trainer]
	if !ok || view == o.view {
		return o.view != nil
	}
	o.view, o.trainer = view, trainer
	o.engines.update(view, trainer)
	if o.machine != nil {
		o.execute(o.machine.Configure(o.settings()))
	}
	return true
}

func (o *owner) settings() samples.Settings {
	return samples.Settings{
		Bound: o.trainer.StalenessBound, Freshness: o.trainer.Freshness, SpareGroups: o.trainer.SpareGroups,
		StepSamples: o.trainer.StepSamples, Scored: o.trainer.Scorer != "",
	}
}

// advance replies to the pulls that can be answered, starts work and writes the record.
func (o *owner) advance() {
	now := time.Now()
	o.replyToPulls(now)
	o.execute(o.machine.Plan(now, o.engines, o.heldBytes < maxContentBytes))
	o.releaseClosedSteps()
	o.write()
	counts := o.machine.Counts()
	o.opt.Metrics.addCounts(o.opt.Trainer, o.lastCounts, counts)
	o.lastCounts = counts
}

func (o *owner) execute(actions []samples.Action) {
	for _, a := range actions {
		switch a.Kind {
		case samples.ActionStart:
			o.start(a)
		case samples.ActionCancel:
			o.cancel(a.Attempt)
		case samples.ActionScore:
			o.startScore(a)
		case samples.ActionDiscard:
			o.discard(a.Slot)
		case samples.ActionReport:
			o.logReport(a)
		}
	}
}

func (o *owner) start(a samples.Action) {
	st := o.steps[a.Slot.Step]
	group, index := a.Slot.Index/st.groupSize, a.Slot.Index%st.groupSize
	requestID := o.requestID(a)
	c := newContent(requestID)
	if old := st.contents[a.Slot.Index]; old != nil && a.Prefix > 0 {
		c = old.resume(requestID, a.Prefix)
	}
	c.attemptID = a.Attempt
	st.contents[a.Slot.Index] = c
	at := attempt{
		id: a.Attempt, slot: a.Slot, address: o.engines.begin(a.Attempt, a.Engine), content: c,
		request: engineapi.GenerateRequest{
			RequestID: requestID, Prompt: st.prompt(group), MaxTokens: st.maxTokens, Priority: model.PriorityTraining,
			Offset: len(c.tokens), Prefix: append([]uint32(nil), c.tokens...), Seed: uint64(index),
		},
	}
	ctx, cancel := context.WithCancel(o.ctx)
	o.attempts[a.Attempt] = runningAttempt{attempt: at, cancel: cancel}
	o.workers.Go(func() { o.generate(ctx, at) })
}

func (o *owner) requestID(a samples.Action) string {
	st := o.steps[a.Slot.Step]
	group, index := a.Slot.Index/st.groupSize, a.Slot.Index%st.groupSize
	return sampleID(o.opt.Trainer, a.Slot.Step, group, index) + "." + itoa(uint64(o.opt.Shard.Epoch)) + "-" +
		strconv.Itoa(o.opt.Run) + "-" + itoa(uint64(a.Attempt))
}

// sampleID returns the ID of a slot's sample in request IDs, logs and explanations.
func sampleID(t model.TrainerID, step uint64, group, index int) string {
	return string(t) + "." + itoa(step) + "." + strconv.Itoa(group) + "." + strconv.Itoa(index)
}

func (o *owner) cancel(id samples.AttemptID) {
	r, ok := o.attempts[id]
	if !ok {
		return
	}
	r.cancel()
	delete(o.attempts, id)
	o.engines.end(id, routing.ResultCancelled)
	o.workers.Go(func() { o.cancelAtEngine(o.ctx, r.attempt.address, r.attempt.request.RequestID) })
}

func (o *owner) startScore(a samples.Action) {
	r, running := o.attempts[a.Attempt]
	if !running {
		o.opt.Log.Error("No attempt for finished sample; it will not be scored", "trainer", o.opt.Trainer, "attempt", a.Attempt)
		return
	}
	st := o.steps[a.Slot.Step]
	prompt := st.prompt(a.Slot.Index / st.groupSize)
	ctx, cancel := context.WithCancel(o.ctx)
	r.cancel()
	r.cancel = cancel
	o.attempts[a.Attempt] = r
	o.workers.Go(func() { o.score(ctx, r.attempt, prompt) })
}

func (o *owner) discard(slot samples.SlotID) {
	st := o.steps[slot.Step]
	if st == nil {
		return
	}
	if c := st.contents[slot.Index]; c != nil {
		o.removeAttempt(c.attemptID)
		if c.counted {
			o.heldBytes -= c.bytes()
		}
		delete(st.contents, slot.Index)
	}
}

// releaseClosedSteps releases the content of steps that the machine has closed. Their
// prompts are kept, because an owner that takes over now still finds the steps in the
// record.
func (o *owner) releaseClosedSteps() {
	for step, st := range o.steps {
		if _, open := o.machine.Explain(samples.SlotID{Step: step}); open {
			continue
		}
		delete(o.steps, step)
		if st.inline {
			sequence, _ := o.machine.RecordSequence()
			o.closedSteps = append(o.closedSteps, closedStep{prompts: promptsID{step: step, digest: st.digest}, sequence: sequence})
		}
	}
}

// deleteClosedPrompts deletes the prompts of closed steps that the confirmed record no
// longer contains.
func (o *owner) deleteClosedPrompts() {
	kept := o.closedSteps[:0]
	for _, c := range o.closedSteps {
		if c.sequence > o.machine.Confirmed() {
			kept = append(kept, c)
			continue
		}
		o.workers.Go(func() { o.store.deletePrompts(o.ctx, c.prompts) })
	}
	o.closedSteps = kept
}

// deleteRefusedPrompts deletes the prompts of a refused opening unless a step that may still
// be in the record uses them.
func (o *owner) deleteRefusedPrompts(spec samples.StepSpec) {
	id := promptsID{step: spec.Step, digest: spec.Digest}
	if st := o.steps[id.step]; !spec.Inline || st != nil && st.digest == id.digest {
		return
	}
	for _, c := range o.closedSteps {
		if c.prompts == id {
			return
		}
	}
	o.workers.Go(func() { o.store.deletePrompts(o.ctx, id) })
}

// write keeps one write of the record in flight while there are unwritten changes.
func (o *owner) write() {
	sequence, unwritten := o.machine.RecordSequence()
	if !unwritten || o.writing {
		return
	}
	o.writing = true
	record := o.machine.Record()
	o.workers.Go(func() { o.enqueue(recordWritten{sequence: sequence, err: o.store.write(o.ctx, record)}) })
}

type recordWritten struct {
	sequence uint64
	err      error
}

func (e recordWritten) apply(o *owner) {
	o.writing = false
	if e.err != nil {
		o.writeErr = e.err
		return
	}
	o.machine.Confirm(e.sequence)
	o.deleteClosedPrompts()
	o.replyToOpens()
}
