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
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/ring"
	"oleanderfall.example/oleanderfall/internal/transport/sharder"
)

const (
	eventCapacity = 4096
	tickInterval  = 100 * time.Millisecond
	// maxContentBytes bounds the samples a trainer's owner holds; beyond it no slot is
	// started for the first time until the trainer takes some.
	maxContentBytes       = 64 << 20
	scoringAtOnce         = 32
	scoreRetriesPerSecond = 20
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

// ownerOptions is what an owner needs of its process.
type ownerOptions struct {
	Trainer model.TrainerID
	Shard   sharder.Shard
	Zone    model.ZoneID
	API     objectapi.API
	Engines *engineapi.Client
	HTTP    *http.Client
	View    func() *model.FleetView
	Metrics *metrics
	Log     *slog.Logger
	// Run counts the owners under one epoch.
	Run int
}

// owner is one trainer's duty under one epoch. Its fields belong to the duty's
// goroutine but for the ring and what the workers use.
type owner struct {
	opt          ownerOptions
	events       *ring.Ring[event]
	store        *store
	machine      *samples.Machine
	engines      *engines
	trainer      model.Trainer
	view         *model.FleetView
	steps        map[uint64]*stepContent
	jobs         map[samples.AttemptID]runningJob
	waiting      []pullRequest
	opening      []openRequest
	closed       []closedStep
	writing      bool
	held         int
	workers      sync.WaitGroup
	ctx          context.Context
	cancelAll    context.CancelFunc
	scoreSlots   chan struct{}
	scoreRetries *rate.Limiter
	fault        error
	counted      samples.Counts
}

// stepContent is what the machine does not hold of a step.
type stepContent struct {
	prompts   []string
	prefix    string
	groupSize int
	maxTokens int
	digest    uint64
	inline    bool
	contents  map[int]*content
}

func (s *stepContent) prompt(group int) string {
	if s.inline {
		return s.prompts[group]
	}
	return s.prefix + " " + strconv.Itoa(group)
}

type runningJob struct {
	job    job
	cancel context.CancelFunc
}

// closedStep is a step without content whose prompts are kept until the record without
// it, of this sequence or a later one, is confirmed.
type closedStep struct {
	prompts  promptsID
	sequence uint64
}

// event is one message to the owner's duty.
type event interface{ apply(o *owner) }

func newOwner(ctx context.Context, opt ownerOptions) *owner {
	ctx, cancel := context.WithCancel(ctx)
	return &owner{
		ctx:          ctx,
		cancelAll:    cancel,
		opt:          opt,
		events:       ring.New[event](eventCapacity, ring.Block),
		store:        &store{api: opt.API, trainer: opt.Trainer, epoch: opt.Shard.Epoch},
		engines:      newEngines(opt.Zone, uint64(opt.Shard.Epoch)),
		steps:        map[uint64]*stepContent{},
		jobs:         map[samples.AttemptID]runningJob{},
		scoreSlots:   make(chan struct{}, scoringAtOnce),
		scoreRetries: rate.NewLimiter(scoreRetriesPerSecond, scoreRetriesPerSecond),
	}
}

// run serves the trainer until its context ends or the shard is lost.
func (o *owner) run() error {
	ctx := o.ctx
	defer func() {
		o.cancelAll()
		o.events.Close()
		o.refuseAll()
		o.workers.Wait()
	}()
	if err := o.restore(ctx); err != nil {
		return err
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for o.fault == nil {
		select {
		case e := <-o.events.C():
			e.apply(o)
			o.drainEvents()
		case now := <-tick.C:
			o.takeView()
			o.do(o.machine.Tick(now))
		case <-ctx.Done():
			return ctx.Err()
		}
		o.settle()
	}
	return o.fault
}

// drainEvents takes what else is queued, so that settle runs once for many events.
func (o *owner) drainEvents() {
	for range eventCapacity {
		e, ok := o.events.TryPop()
		if !ok {
			return
		}
		e.apply(o)
	}
}

func (o *owner) tell(e event) { _ = o.events.Push(o.ctx, e) }

func (o *owner) restore(ctx context.Context) error {
	for !o.takeView() {
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
		content := &stepContent{
			prefix: st.PromptPrefix, groupSize: st.GroupSize, maxTokens: st.MaxTokens, digest: st.Digest, inline: st.Inline, contents: map[int]*content{},
		}
		if st.Inline {
			if content.prompts, err = o.store.readPrompts(ctx, promptsID{step: st.Step, digest: st.Digest}); err != nil {
				return err
			}
			if len(content.prompts) != st.Groups {
				return Error.New("step %d has %d prompts for %d groups", st.Step, len(content.prompts), st.Groups)
			}
		}
		o.steps[st.Step] = content
	}
	if len(record.Steps) > 0 {
		o.opt.Log.Info("Trainer's steps taken over.", "trainer", o.opt.Trainer, "epoch", o.opt.Shard.Epoch, "steps", len(record.Steps))
	}
	o.machine.Restore(record)
	return nil
}

// takeView follows the fleet view; false while there is none with this trainer.
func (o *owner) takeView() bool {
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
		o.do(o.machine.Configure(o.settings()))
	}
	return true
}

func (o *owner) settings() samples.Settings {
	return samples.Settings{
		Bound: o.trainer.StalenessBound, Freshness: o.trainer.Freshness, SpareGroups: o.trainer.SpareGroups,
		StepSamples: o.trainer.StepSamples, Scored: o.trainer.Scorer != "",
	}
}

// settle answers the pulls that can be answered, starts work and writes the record.
func (o *owner) settle() {
	now := time.Now()
	o.answerPulls(now)
	o.do(o.machine.Plan(now, o.engines, o.held < maxContentBytes))
	o.dropClosed()
	o.write()
	counts := o.machine.Counts()
	o.opt.Metrics.count(o.opt.Trainer, o.counted, counts)
	o.counted = counts
}

func (o *owner) do(actions []samples.Action) {
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
			o.report(a)
		}
	}
}

func (o *owner) start(a samples.Action) {
	st := o.steps[a.Slot.Step]
	group, index := a.Slot.Index/st.groupSize, a.Slot.Index%st.groupSize
	requestID := o.requestID(a)
	c := newContent(requestID)
	if old := st.contents[a.Slot.Index]; old != nil && a.Prefix > 0 {
		c = old.continued(requestID, a.Prefix)
	}
	c.attempt = a.Attempt
	st.contents[a.Slot.Index] = c
	j := job{
		id: a.Attempt, slot: a.Slot, address: o.engines.begin(a.Attempt, a.Engine), content: c,
		request: engineapi.GenerateRequest{
			RequestID: requestID, Prompt: st.prompt(group), MaxTokens: st.maxTokens, Priority: model.PriorityTraining,
			Offset: len(c.tokens), Prefix: append([]uint32(nil), c.tokens...), Seed: uint64(index),
		},
	}
	ctx, cancel := context.WithCancel(o.ctx)
	o.jobs[a.Attempt] = runningJob{job: j, cancel: cancel}
	o.workers.Go(func() { o.generate(ctx, j) })
}

func (o *owner) requestID(a samples.Action) string {
	st := o.steps[a.Slot.Step]
	group, index := a.Slot.Index/st.groupSize, a.Slot.Index%st.groupSize
	return sampleID(o.opt.Trainer, a.Slot.Step, group, index) + "." + itoa(uint64(o.opt.Shard.Epoch)) + "-" +
		strconv.Itoa(o.opt.Run) + "-" + itoa(uint64(a.Attempt))
}

// sampleID names a slot in logs and explanations.
func sampleID(t model.TrainerID, step uint64, group, index int) string {
	return string(t) + "." + itoa(step) + "." + strconv.Itoa(group) + "." + strconv.Itoa(index)
}

func (o *owner) cancel(id samples.AttemptID) {
	j, ok := o.jobs[id]
	if !ok {
		return
	}
	j.cancel()
	delete(o.jobs, id)
	o.engines.end(id, routing.ResultCancelled)
	o.workers.Go(func() { o.cancelAtEngine(o.ctx, j.job.address, j.job.request.RequestID) })
}

func (o *owner) startScore(a samples.Action) {
	j, running := o.jobs[a.Attempt]
	if !running {
		o.opt.Log.Error("A finished sample has no job and waits for its score for ever.", "trainer", o.opt.Trainer, "attempt", a.Attempt)
		return
	}
	st := o.steps[a.Slot.Step]
	prompt := st.prompt(a.Slot.Index / st.groupSize)
	ctx, cancel := context.WithCancel(o.ctx)
	j.cancel()
	j.cancel = cancel
	o.jobs[a.Attempt] = j
	o.workers.Go(func() { o.score(ctx, j.job, prompt) })
}

func (o *owner) discard(slot samples.SlotID) {
	st := o.steps[slot.Step]
	if st == nil {
		return
	}
	if c := st.contents[slot.Index]; c != nil {
		o.forget(c.attempt)
		if c.held {
			o.held -= c.bytes()
		}
		delete(st.contents, slot.Index)
	}
}

// dropClosed forgets the contents of steps that the machine closed. Their prompts stay:
// an owner that takes over now still finds the steps in the record.
func (o *owner) dropClosed() {
	for step, st := range o.steps {
		if _, open := o.machine.Explain(samples.SlotID{Step: step}); open {
			continue
		}
		delete(o.steps, step)
		if st.inline {
			sequence, _ := o.machine.Pending()
			o.closed = append(o.closed, closedStep{prompts: promptsID{step: step, digest: st.digest}, sequence: sequence})
		}
	}
}

// dropPrompts deletes the prompts of the steps that the confirmed record is without.
func (o *owner) dropPrompts() {
	kept := o.closed[:0]
	for _, c := range o.closed {
		if c.sequence > o.machine.Confirmed() {
			kept = append(kept, c)
			continue
		}
		o.workers.Go(func() { o.store.dropPrompts(o.ctx, c.prompts) })
	}
	o.closed = kept
}

// dropRefused deletes the prompts of a refused opening unless a step of the record has them.
func (o *owner) dropRefused(spec samples.StepSpec) {
	id := promptsID{step: spec.Step, digest: spec.Digest}
	if st := o.steps[id.step]; !spec.Inline || st != nil && st.digest == id.digest {
		return
	}
	for _, c := range o.closed {
		if c.prompts == id {
			return
		}
	}
	o.workers.Go(func() { o.store.dropPrompts(o.ctx, id) })
}

// write keeps one write of the record in flight while there is something to write.
func (o *owner) write() {
	sequence, due := o.machine.Pending()
	if !due || o.writing {
		return
	}
	o.writing = true
	record := o.machine.Record()
	o.workers.Go(func() { o.tell(recordWritten{sequence: sequence, err: o.store.write(o.ctx, record)}) })
}

type recordWritten struct {
	sequence uint64
	err      error
}

func (e recordWritten) apply(o *owner) {
	o.writing = false
	if e.err != nil {
		o.fault = e.err
		return
	}
	o.machine.Confirm(e.sequence)
	o.dropPrompts()
	o.answerOpens()
}
