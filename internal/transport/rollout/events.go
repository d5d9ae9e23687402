package rollout

import (
	"errors"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/trainerapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// attemptProgress tells how far an attempt is.
type attemptProgress struct {
	id     samples.AttemptID
	tokens int
	oldest model.WeightVersion
}

func (e attemptProgress) apply(o *owner) {
	o.do(o.machine.Progress(time.Now(), e.id, e.tokens, e.oldest))
}

// attemptEnded tells that an attempt is over.
type attemptEnded struct {
	job     job
	outcome outcome
}

// outcome says how an attempt ended.
type outcome int

const (
	// outcomeWhole: the whole sample came with all its versions.
	outcomeWhole outcome = iota
	// outcomeRefused: the engine did not run it.
	outcomeRefused
	// outcomeBusy: the engine did not run it for lack of a free slot.
	outcomeBusy
	// outcomeBroken: the stream was cut; the tokens so far are good.
	outcomeBroken
	// outcomeDoubtful: the versions of the tokens are not certain.
	outcomeDoubtful
)

// failure returns the outcome as the machine and the engines' table take it.
func (f outcome) failure() (samples.Failure, routing.Result) {
	switch f {
	case outcomeRefused:
		return samples.FailureRefused, routing.ResultFailed
	case outcomeBusy:
		return samples.FailureRefused, routing.ResultRefused
	case outcomeDoubtful:
		return samples.FailureDoubtful, routing.ResultFailed
	}
	return samples.FailureBroken, routing.ResultFailed
}

func (e attemptEnded) apply(o *owner) {
	if _, ok := o.jobs[e.job.id]; !ok {
		return
	}
	now := time.Now()
	tokens, oldest := e.job.content.progress()
	if e.outcome == outcomeWhole {
		o.engines.end(e.job.id, routing.ResultAnswered)
		o.held += e.job.content.bytes()
		e.job.content.held = true
		o.do(o.machine.Finished(now, e.job.id, tokens, oldest))
		if o.trainer.Scorer == "" {
			o.forget(e.job.id)
		}
		return
	}
	kind, result := e.outcome.failure()
	o.engines.end(e.job.id, result)
	o.forget(e.job.id)
	o.do(o.machine.Failed(now, e.job.id, kind, tokens, oldest))
}

func (o *owner) forget(id samples.AttemptID) {
	if j, ok := o.jobs[id]; ok {
		j.cancel()
		delete(o.jobs, id)
	}
}

// sampleScored tells the score of a finished attempt.
type sampleScored struct {
	job   job
	score float64
}

func (e sampleScored) apply(o *owner) {
	o.forget(e.job.id)
	e.job.content.mu.Lock()
	e.job.content.score = e.score
	e.job.content.mu.Unlock()
	o.do(o.machine.Scored(e.job.slot, e.job.id))
}

// versionTold tells the trainer's version.
type versionTold struct {
	version model.WeightVersion
	reply   chan<- error
}

func (e versionTold) apply(o *owner) {
	o.do(o.machine.SetVersion(time.Now(), e.version))
	e.reply <- nil
}

// openRequest opens a step; it is answered once the record holds the step.
type openRequest struct {
	spec     samples.StepSpec
	prompts  []string
	reply    chan<- error
	sequence uint64
}

func (e openRequest) apply(o *owner) {
	actions, err := o.machine.Open(time.Now(), e.spec)
	o.do(actions)
	if err != nil {
		if errors.Is(err, samples.ErrStepConflict) || errors.Is(err, samples.ErrStepClosed) {
			o.dropRefused(e.spec)
		}
		e.reply <- openFailure(err)
		return
	}
	if o.steps[e.spec.Step] == nil {
		o.steps[e.spec.Step] = &stepContent{
			prompts: e.prompts, prefix: e.spec.PromptPrefix, groupSize: e.spec.GroupSize, maxTokens: e.spec.MaxTokens,
			digest: e.spec.Digest, inline: e.spec.Inline, contents: map[int]*content{},
		}
	}
	e.sequence, _ = o.machine.Pending()
	o.opening = append(o.opening, e)
	o.answerOpens()
}

func openFailure(err error) error {
	switch err {
	case samples.ErrStepTooLarge:
		return resultcode.New(resultcode.TooLarge, "The step has no samples or more than the trainer's limit.")
	case samples.ErrTooManyOpenSteps:
		return resultcode.New(resultcode.StepConflict, "Two steps are open and the first is not whole; take its batches before the next opening.")
	case samples.ErrStepClosed:
		return resultcode.New(resultcode.StepUnknown, "The step is over.")
	}
	return resultcode.New(resultcode.StepConflict, "The step was opened with other contents.")
}

func (o *owner) answerOpens() {
	kept := o.opening[:0]
	for _, e := range o.opening {
		if o.machine.Confirmed() < e.sequence {
			kept = append(kept, e)
			continue
		}
		e.reply <- nil
	}
	o.opening = kept
}

// pullRequest asks for a batch; it waits until its deadline.
type pullRequest struct {
	pull     samples.Pull
	deadline time.Time
	gone     <-chan struct{}
	reply    chan<- pullReply
}

type pullReply struct {
	batch trainerapi.Batch
	err   error
}

func (e pullRequest) apply(o *owner) { o.waiting = append(o.waiting, e) }

// answerPulls answers what can be answered now.
func (o *owner) answerPulls(now time.Time) {
	kept := o.waiting[:0]
	for _, p := range o.waiting {
		select {
		case <-p.gone:
			continue
		default:
		}
		offer, actions := o.machine.Pull(now, p.pull)
		o.do(actions)
		switch offer.State {
		case samples.PullOffer:
			p.reply <- pullReply{batch: o.batch(p.pull, offer)}
		case samples.PullUnknown:
			p.reply <- pullReply{err: resultcode.New(resultcode.StepUnknown, "The step is not open.")}
		case samples.PullConflict:
			p.reply <- pullReply{err: resultcode.New(resultcode.StepConflict, "No batch has this cursor, a later one was asked for, or max is below the group size.")}
		case samples.PullWait:
			if now.Before(p.deadline) {
				kept = append(kept, p)
				continue
			}
			p.reply <- pullReply{err: resultcode.New(resultcode.BatchNotReady, "No batch is ready yet.")}
		}
	}
	o.waiting = kept
}

func (o *owner) batch(p samples.Pull, offer samples.Offer) trainerapi.Batch {
	st := o.steps[p.Step]
	out := trainerapi.Batch{Step: p.Step, Cursor: p.Cursor, Next: offer.Next, Done: offer.Done, Samples: []trainerapi.Sample{}}
	for _, slot := range offer.Slots {
		group, index := slot.Index/st.groupSize, slot.Index%st.groupSize
		s := st.contents[slot.Index].sample(p.Step, group, index, st.prompt(group))
		o.opt.Metrics.offered(o.opt.Trainer, int(o.machine.Version())-int(s.Oldest()))
		out.Samples = append(out.Samples, s)
	}
	return out
}

// refuseAll answers what still waits when the ownership ends.
func (o *owner) refuseAll() {
	lost := resultcode.New(resultcode.NotOwner, "This host no longer owns the trainer's shard.")
	for _, p := range o.waiting {
		p.reply <- pullReply{err: lost}
	}
	for _, e := range o.opening {
		e.reply <- lost
	}
	for {
		e, ok := o.events.TryPop()
		if !ok {
			return
		}
		switch e := e.(type) {
		case pullRequest:
			e.reply <- pullReply{err: lost}
		case openRequest:
			e.reply <- lost
		case versionTold:
			e.reply <- lost
		case explainRequest:
			close(e.reply)
		}
	}
}

// report logs what the operators can mend.
func (o *owner) report(a samples.Action) {
	st := o.steps[a.Slot.Step]
	e, open := o.machine.Explain(a.Slot)
	if st == nil || !open {
		return
	}
	text := "Sample became too old again before it was ready; its bound is too low for its length."
	if a.Report == samples.ReportSuspect {
		text = "Sample's attempts break at every engine; it is tried again once a minute."
	}
	o.opt.Log.Warn(text, "sample", sampleID(o.opt.Trainer, a.Slot.Step, a.Slot.Index/st.groupSize, a.Slot.Index%st.groupSize),
		"bound", e.Bound, "version", e.Trainer)
}

// explainRequest asks where a sample stands.
type explainRequest struct {
	step         uint64
	group, index int
	reply        chan<- samples.Explanation
}

func (e explainRequest) apply(o *owner) {
	defer close(e.reply)
	st := o.steps[e.step]
	if st == nil {
		return
	}
	if out, ok := o.machine.Explain(samples.SlotID{Step: e.step, Index: e.group*st.groupSize + e.index}); ok {
		e.reply <- out
	}
}
