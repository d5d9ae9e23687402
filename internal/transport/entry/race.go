package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/retries"
	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// errOvertaken ends an attempt because its hedge was answered first.
var errOvertaken = errors.New("another attempt was answered")

// race makes the attempts of one plain call: one after another in the caller's
// goroutine, and at most one hedge beside an attempt that takes long.
type race struct {
	server  *Server
	request *request

	mu       sync.Mutex
	progress progress
	// last is the endpoint of the latest attempt.
	last model.EndpointID
	// overtake ends the attempt that the hedge runs beside.
	overtake context.CancelCauseFunc
	// hedged receives the hedge's result; nil without a hedge.
	hedged chan attemptResult
	ended  bool
}

// run makes attempts until one is answered or none may follow.
func (s *Server) run(ctx context.Context, q *request) (engineapi.Answer, admission.Sample, error) {
	r := &race{server: s, request: q}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if q.idempotent {
		hedge := time.AfterFunc(q.target.hedgeAfter(), func() { r.hedge(ctx) })
		defer hedge.Stop()
	}
	defer r.end()
	for {
		result, err := r.attempt(ctx)
		if err != nil {
			return engineapi.Answer{}, admission.Sample{Kind: admission.SampleNone}, err
		}
		if result.err != nil && !errors.Is(result.err, engineapi.ErrAnswerTooLarge) {
			result = r.orHedge(result)
		}
		switch {
		case result.err == nil:
			return result.answer, sampleOf(ctx, result), nil
		case errors.Is(result.err, engineapi.ErrAnswerTooLarge):
			return engineapi.Answer{}, sampleOf(ctx, result), httpapi.Fail(resultcode.AnswerLost, "The request ran; its answer is too large to pass on.")
		}
		if err := r.pause(ctx, result.failure); err != nil {
			return engineapi.Answer{}, sampleOf(ctx, result), err
		}
	}
}

func sampleOf(ctx context.Context, r attemptResult) admission.Sample {
	switch {
	case r.err == nil:
		return admission.Sample{Kind: admission.SampleAnswered, Latency: r.latency, TotalTime: r.latency}
	case r.result == routing.ResultRefused, r.result == routing.ResultFailed && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.Sample{Kind: admission.SampleRefused}
	}
	return admission.Sample{Kind: admission.SampleNone}
}

// prepare takes leave for one attempt and picks its endpoint; mu is held.
func (r *race) prepare() (trial, routing.Choice, int, error) {
	q := r.request
	t, err := r.server.try(q)
	if err != nil {
		f := httpapi.FailureOf(err)
		if r.progress.unknown {
			f = f.Uncertain()
		}
		return trial{}, routing.Choice{}, 0, f
	}
	choice, ok := q.target.begin(routing.Constraints{Exclude: r.progress.excluded})
	if !ok {
		r.server.endTrial(q, t, false)
		return trial{}, routing.Choice{}, 0, r.progress.failure(q, retries.StopAttempts)
	}
	r.progress.made++
	r.progress.running++
	r.last = choice.ID
	return t, choice, r.progress.made, nil
}

// attempt makes one attempt here.
func (r *race) attempt(ctx context.Context) (attemptResult, error) {
	ctx, overtake := context.WithCancelCause(ctx)
	defer overtake(nil)
	r.mu.Lock()
	t, choice, number, err := r.prepare()
	r.overtake = overtake
	r.mu.Unlock()
	if err != nil {
		return attemptResult{}, err
	}
	result := r.server.attempt(ctx, r.request, number, choice, t)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.note(result)
	return result, nil
}

// hedge makes a second attempt beside one that takes long. A suspected request is
// tried alone, which prepare sees to.
func (r *race) hedge(ctx context.Context) {
	q := r.request
	r.mu.Lock()
	a := retries.Attempt{Attempts: r.progress.made, Idempotent: q.idempotent, Remaining: q.left()}
	if r.ended || r.progress.running != 1 || !q.target.hedge(a) {
		r.mu.Unlock()
		return
	}
	r.progress.excluded = append(r.progress.excluded, r.last)
	t, choice, number, err := r.prepare()
	if err != nil {
		r.mu.Unlock()
		return
	}
	overtake, results := r.overtake, make(chan attemptResult, 1)
	r.hedged = results
	r.mu.Unlock()
	q.record.add("hedged", choice.ID, "")
	result := r.server.attempt(ctx, q, number, choice, t)
	results <- result
	if result.err == nil {
		overtake(errOvertaken)
	}
}

// orHedge returns the hedge's result in place of a failed one, if there is a hedge.
func (r *race) orHedge(failed attemptResult) attemptResult {
	r.mu.Lock()
	results := r.hedged
	r.hedged = nil
	r.mu.Unlock()
	if results == nil {
		return failed
	}
	result := <-results
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.note(result)
	return result
}

// pause waits before the next attempt; the error is the request's final failure.
func (r *race) pause(ctx context.Context, f retries.Failure) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict, wait := r.request.target.decide(retries.Attempt{
		Failure:    f,
		Attempts:   r.progress.made,
		Idempotent: r.request.idempotent,
		Remaining:  r.request.left(),
	})
	if verdict == retries.Retry && clock.Sleep(ctx, wait) {
		return nil
	}
	return r.progress.failure(r.request, verdict)
}

func (r *race) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}
