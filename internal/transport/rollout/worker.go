package rollout

import (
	"context"
	"errors"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/samples"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/platformapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

const (
	progressInterval = 250 * time.Millisecond
	// idleStream bounds the wait for an engine's next chunk.
	idleStream    = 30 * time.Second
	scoreBackoff  = 50 * time.Millisecond
	maxScorePause = 5 * time.Second
	cancelTimeout = time.Second
)

// job is one attempt at one sample.
type job struct {
	id      samples.AttemptID
	slot    samples.SlotID
	address string
	request engineapi.GenerateRequest
	content *content
}

// generate runs an attempt and tells the owner's duty how it goes and ends.
func (o *owner) generate(ctx context.Context, j job) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(idleStream, cancel)
	defer idle.Stop()
	stream, err := o.opt.Engines.Generate(ctx, j.address, j.request)
	if err != nil {
		o.tell(attemptEnded{job: j, outcome: outcomeOf(err)})
		return
	}
	defer stream.Close()
	o.tell(o.read(j, stream, idle))
}

// outcomeOf tells from the error of a call whether the engine ran the attempt.
func outcomeOf(err error) outcome {
	switch {
	case errors.Is(err, engineapi.ErrBusy):
		return outcomeBusy
	case errors.Is(err, engineapi.ErrNotSent), errors.Is(err, engineapi.ErrLeaving):
		return outcomeRefused
	}
	return outcomeBroken
}

// read takes in the stream until it ends.
func (o *owner) read(j job, stream *engineapi.Stream, idle *time.Timer) attemptEnded {
	told, toldVersion := time.Time{}, model.WeightVersion(0)
	for {
		c, err := stream.Next()
		if err != nil || c.Error != "" {
			return attemptEnded{job: j, outcome: outcomeBroken}
		}
		idle.Reset(idleStream)
		if c.Done {
			if j.content.end(c.Total) != nil {
				return attemptEnded{job: j, outcome: outcomeDoubtful}
			}
			return attemptEnded{job: j, outcome: outcomeWhole}
		}
		if j.content.add(c) != nil {
			return attemptEnded{job: j, outcome: outcomeDoubtful}
		}
		if now := time.Now(); c.Version != toldVersion || now.Sub(told) >= progressInterval {
			told, toldVersion = now, c.Version
			tokens, oldest := j.content.progress()
			o.tell(attemptProgress{id: j.id, tokens: tokens, oldest: oldest})
		}
	}
}

func (c *content) add(chunk engineapi.Chunk) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.record.Add(chunk.Offset, len(chunk.Tokens), chunk.Version); err != nil {
		return err
	}
	if len(chunk.Tokens) > 0 {
		c.tokens = append(c.tokens, chunk.Tokens...)
	}
	return nil
}

func (c *content) end(total int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record.CheckComplete(total)
}

func (c *content) progress() (int, model.WeightVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record.Tokens(), c.record.Oldest()
}

// score asks the scorer until it answers or ctx ends. First calls are bounded by the
// slots for scoring, repeats by a budget besides. Each try asks the scorer that the
// configuration of that moment names; without one the score is 0.
func (o *owner) score(ctx context.Context, j job, prompt string) {
	pause := scoreBackoff
	request := platformapi.ScoreRequest{SampleID: j.request.RequestID, Prompt: prompt, Tokens: j.content.tokens}
	for try := 0; ; try++ {
		if try > 0 && o.scoreRetries.Wait(ctx) != nil {
			return
		}
		scorer, scored := o.scorer()
		if !scored {
			o.tell(sampleScored{job: j})
			return
		}
		reply, err := o.scoreOnce(ctx, scorer, request)
		if err == nil {
			o.tell(sampleScored{job: j, score: reply.Score})
			return
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxScorePause)
	}
}

// scorer returns the trainer's scorer as configured now; false when it has none.
func (o *owner) scorer() (model.Scorer, bool) {
	c := o.opt.View().Config
	scorer, ok := c.Scorers[c.Trainers[o.opt.Trainer].Scorer]
	return scorer, ok
}

func (o *owner) scoreOnce(ctx context.Context, scorer model.Scorer, r platformapi.ScoreRequest) (platformapi.ScoreReply, error) {
	select {
	case o.scoreSlots <- struct{}{}:
	case <-ctx.Done():
		return platformapi.ScoreReply{}, ctx.Err()
	}
	defer func() { <-o.scoreSlots }()
	ctx, cancel := context.WithTimeout(ctx, scorer.Timeout)
	defer cancel()
	return platformapi.Score(ctx, o.opt.HTTP, scorer.Address, r)
}

// cancelAtEngine tells the engine, besides closing the stream.
func (o *owner) cancelAtEngine(ctx context.Context, address, requestID string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_ = o.opt.Engines.Cancel(ctx, address, requestID)
}
