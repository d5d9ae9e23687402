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
	// streamIdleTimeout limits the wait for an engine's next chunk.
	streamIdleTimeout      = 30 * time.Second
	initialScoreRetryDelay = 50 * time.Millisecond
	maxScoreRetryDelay     = 5 * time.Second
	cancelTimeout          = time.Second
)

// attempt is one attempt to generate a sample at an engine.
type attempt struct {
	id      samples.AttemptID
	slot    samples.SlotID
	address string
	request engineapi.GenerateRequest
	content *content
}

// generate runs an attempt and reports its progress and end to the event loop.
func (o *owner) generate(ctx context.Context, at attempt) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(streamIdleTimeout, cancel)
	defer idle.Stop()
	stream, err := o.opt.Engines.Generate(ctx, at.address, at.request)
	if err != nil {
		o.enqueue(attemptEnded{attempt: at, outcome: callOutcome(err)})
		return
	}
	defer stream.Close()
	o.enqueue(o.readStream(at, stream, idle))
}

// callOutcome derives from the error of a Generate call whether the engine ran the attempt.
func callOutcome(err error) outcome {
	switch {
	case errors.Is(err, engineapi.ErrBusy):
		return outcomeBusy
	case errors.Is(err, engineapi.ErrNotSent), errors.Is(err, engineapi.ErrDraining):
		return outcomeRefused
	}
	return outcomeBroken
}

// readStream reads the stream to its end and reports progress to the event loop.
func (o *owner) readStream(at attempt, stream *engineapi.Stream, idle *time.Timer) attemptEnded {
	reportedAt, reportedVersion := time.Time{}, model.WeightVersion(0)
	for {
		c, err := stream.Next()
		if err != nil || c.Error != "" {
			return attemptEnded{attempt: at, outcome: outcomeBroken}
		}
		idle.Reset(streamIdleTimeout)
		if c.Done {
			if at.content.checkComplete(c.Total) != nil {
				return attemptEnded{attempt: at, outcome: outcomeVersionsUncertain}
			}
			return attemptEnded{attempt: at, outcome: outcomeComplete}
		}
		if at.content.addChunk(c) != nil {
			return attemptEnded{attempt: at, outcome: outcomeVersionsUncertain}
		}
		if now := time.Now(); c.Version != reportedVersion || now.Sub(reportedAt) >= progressInterval {
			reportedAt, reportedVersion = now, c.Version
			tokens, oldest := at.content.progress()
			o.enqueue(attemptProgress{id: at.id, tokens: tokens, oldest: oldest})
		}
	}
}

func (c *content) addChunk(chunk engineapi.Chunk) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.recorder.Add(chunk.Offset, len(chunk.Tokens), chunk.Version); err != nil {
		return err
	}
	if len(chunk.Tokens) > 0 {
		c.tokens = append(c.tokens, chunk.Tokens...)
	}
	return nil
}

func (c *content) checkComplete(total int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recorder.CheckComplete(total)
}

func (c *content) progress() (int, model.WeightVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recorder.Tokens(), c.recorder.Oldest()
}

// score calls the scorer until it answers or ctx ends. Calls are limited by the scoring
// slots, retries also by a rate limit. Each call goes to the scorer that is configured at
// that moment; without one the score is 0.
func (o *owner) score(ctx context.Context, at attempt, prompt string) {
	delay := initialScoreRetryDelay
	request := platformapi.ScoreRequest{SampleID: at.request.RequestID, Prompt: prompt, Tokens: at.content.tokens}
	for try := 0; ; try++ {
		if try > 0 && o.scoreRetries.Wait(ctx) != nil {
			return
		}
		scorer, scored := o.scorer()
		if !scored {
			o.enqueue(sampleScored{attempt: at})
			return
		}
		reply, err := o.scoreOnce(ctx, scorer, request)
		if err == nil {
			o.enqueue(sampleScored{attempt: at, score: reply.Score})
			return
		}
		if !clock.Sleep(ctx, delay) {
			return
		}
		delay = min(2*delay, maxScoreRetryDelay)
	}
}

// scorer returns the trainer's currently configured scorer, or false if there is none.
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

// cancelAtEngine asks the engine to cancel a request. The caller also closes the stream.
func (o *owner) cancelAtEngine(ctx context.Context, address, requestID string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_ = o.opt.Engines.Cancel(ctx, address, requestID)
}
