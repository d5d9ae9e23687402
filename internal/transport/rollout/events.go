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

// attemptProgress reports how many tokens an attempt has received so far.
type attemptProgress struct {
	id     samples.AttemptID
	tokens int
	oldest model.WeightVersion
}

func (e attemptProgress) apply(o *owner) {
	o.execute(o.machine.Progress(time.Now(), e.id, e.tokens, e.oldest))
}

// attemptEnded reports the end of an attempt.
type attemptEnded struct {
	attempt attempt
	outcome outcome
}

// outcome is the way in which an attempt ended.
type outcome int

const (
	// outcomeComplete: the sample is complete and the version of each token is known.
	outcomeComplete outcome = iota
	// outcomeRefused: the engine did not run the attempt.
	outcomeRefused
	// outcomeBusy: the engine did not run the attempt because it had no free slot.
	outcomeBusy
	// outcomeBroken: the stream broke; the tokens received so far are valid.
	outcomeBroken
	// outcomeVersionsUncertain: the weight versions of the tokens are uncertain, so the tokens
	// are discarded.
	outcomeVersionsUncertain
)

// failure returns the results of a failed attempt for the machine and the routing table.
func (f outcome) failure() (samples.Failure, routing.Result) {
	switch f {
	case outcomeRefused:
		return samples.FailureRefused, routing.ResultFailed
	case outcomeBusy:
		return samples.FailureRefused, routing.ResultRefused
	case outcomeVersionsUncertain:
		return samples.FailureUncertainVersions, routing.ResultFailed
	}
	return samples.FailureBroken, routing.ResultFailed
}

func (e attemptEnded) apply(o *owner) {
	if _, ok := o.attempts[e.attempt.id]; !ok {
		return
	}
	now := time.Now()
	tokens, oldest := e.attempt.content.progress()
	if e.outcome == outcomeComplete {
		o.engines.end(e.attempt.id, routing.ResultAnswered)
		o.heldBytes += e.attempt.content.bytes()
		e.attempt.content.counted = true
		o.execute(o.machine.Finished(now, e.attempt.id, tokens, oldest))
		if o.trainer.Scorer == "" {
			o.removeAttempt(e.attempt.id)
		}
		return
	}
	kind, result := e.outcome.failure()
	o.engines.end(e.attempt.id, result)
	o.removeAttempt(e.attempt.id)
	o.execute(o.machine.Failed(now, e.attempt.id, kind, tokens, oldest))
}

func (o *owner) removeAttempt(id samples.AttemptID) {
	if r, ok := o.attempts[id]; ok {
		r.cancel()
		delete(o.attempts, id)
	}
}

// sampleScored reports the score of a finished attempt.
type sampleScored struct {
	attempt attempt
	score   float64
}

func (e sampleScored) apply(o *owner) {
	o.removeAttempt(e.attempt.id)
	e.attempt.content.mu.Lock()
	e.attempt.content.score = e.score
	e.attempt.content.mu.Unlock()
	o.execute(o.machine.Scored(e.attempt.slot, e.attempt.id))
}

// versionReported reports the trainer's weight version.
type versionReported struct {
	version model.WeightVersion
	reply   chan<- error
}

func (e versionReported) apply(o *owner) {
	o.execute(o.machine.SetVersion(time.Now(), e.version))
	e.reply <- nil
}

// openRequest opens a step. The reply is sent once the record that holds the step is
// confirmed.
type openRequest struct {
	spec    samples.StepSpec
	prompts []string
	reply   chan<- error
	// sequence is that of a record that holds the step. apply sets it.
	sequence uint64
}

func (e openRequest) apply(o *owner) {
	actions, err := o.machine.Open(time.Now(), e.spec)
	o.execute(actions)
	if err != nil {
		if errors.Is(err, samples.ErrStepConflict) || errors.Is(err, samples.ErrStepClosed) {
			o.deleteRefusedPrompts(e.spec)
		}
		e.reply <- openError(err)
		return
	}
	if o.steps[e.spec.Step] == nil {
		o.steps[e.spec.Step] = &stepState{
			prompts: e.prompts, prefix: e.spec.PromptPrefix, groupSize: e.spec.GroupSize, maxTokens: e.spec.MaxTokens,
			digest: e.spec.Digest, inline: e.spec.Inline, contents: map[int]*content{},
		}
	}
	e.sequence, _ = o.machine.RecordSequence()
	o.pendingOpens = append(o.pendingOpens, e)
	o.replyToOpens()
}

func openError(err error) error {
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

func (o *owner) replyToOpens() {
	kept := o.pendingOpens[:0]
	for _, e := range o.pendingOpens {
		if o.machine.Confirmed() < e.sequence {
			kept = append(kept, e)
			continue
		}
		e.reply <- nil
	}
	o.pendingOpens = kept
}

// pullRequest asks for a batch and waits for it until the deadline.
type pullRequest struct {
	pull      samples.Pull
	deadline  time.Time
	cancelled <-chan struct{}
	reply     chan<- pullReply
}

type pullReply struct {
	batch trainerapi.Batch
	err   error
}

func (e pullRequest) apply(o *owner) { o.pendingPulls = append(o.pendingPulls, e) }

// replyToPulls replies to the pulls that have a batch, an error or an expired deadline, and
// drops those whose caller is gone.
func (o *owner) replyToPulls(now time.Time) {
	kept := o.pendingPulls[:0]
	for _, p := range o.pendingPulls {
		select {
		case <-p.cancelled:
			continue
		default:
		}
		offer, actions := o.machine.Pull(now, p.pull)
		o.execute(actions)
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
	o.pendingPulls = kept
}

func (o *owner) batch(p samples.Pull, offer samples.Offer) trainerapi.Batch {
	st := o.steps[p.Step]
	out := trainerapi.Batch{Step: p.Step, Cursor: p.Cursor, Next: offer.Next, Done: offer.Done, Samples: []trainerapi.Sample{}}
	for _, slot := range offer.Slots {
		group, index := slot.Index/st.groupSize, slot.Index%st.groupSize
		s := st.contents[slot.Index].sample(p.Step, group, index, st.prompt(group))
		o.opt.Metrics.observeStaleness(o.opt.Trainer, int(o.machine.Version())-int(s.OldestVersion()))
		out.Samples = append(out.Samples, s)
	}
	return out
}

// rejectPending replies to all waiting and queued requests when the ownership ends.
func (o *owner) rejectPending() {
	notOwner := resultcode.New(resultcode.NotOwner, "This host no longer owns the trainer's shard.")
	for _, p := range o.pendingPulls {
		p.reply <- pullReply{err: notOwner}
	}
	for _, e := range o.pendingOpens {
		e.reply <- notOwner
	}
	for {
		e, ok := o.events.TryPop()
		if !ok {
			return
		}
		switch e := e.(type) {
		case pullRequest:
			e.reply <- pullReply{err: notOwner}
		case openRequest:
			e.reply <- notOwner
		case versionReported:
			e.reply <- notOwner
		case explainRequest:
			close(e.reply)
		}
	}
}

// logReport logs a problem that operators can fix.
func (o *owner) logReport(a samples.Action) {
	st := o.steps[a.Slot.Step]
	e, open := o.machine.Explain(a.Slot)
	if st == nil || !open {
		return
	}
	message := "Sample repeatedly exceeded its staleness bound before it was ready; bound too low for its length"
	if a.Problem == samples.ProblemSuspect {
		message = "Attempts at sample failed on every engine; retrying once a minute"
	}
	o.opt.Log.Warn(message, "sample", sampleID(o.opt.Trainer, a.Slot.Step, a.Slot.Index/st.groupSize, a.Slot.Index%st.groupSize),
		"bound", e.Bound, "version", e.Trainer)
}

// explainRequest asks for the state of a sample. The reply channel is closed without a
// value if the sample's step is not open.
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
