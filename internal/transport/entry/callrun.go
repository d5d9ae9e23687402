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

// errHedgeAnswered is the cancellation cause of an attempt whose hedge was answered first.
var errHedgeAnswered = errors.New("hedge of the attempt was answered first")

// callRun makes the attempts of one plain call: sequential attempts in the goroutine of
// the request, and at most one hedge in parallel to a slow attempt.
type callRun struct {
	server  *Server
	request *request

	mu       sync.Mutex
	progress progress
	// lastEndpoint is the endpoint of the last attempt.
	lastEndpoint model.EndpointID
	// cancelPrimary cancels the current sequential attempt.
	cancelPrimary context.CancelCauseFunc
	// hedgeResults receives the hedge's result. It is nil while there is no hedge.
	hedgeResults   chan attemptResult
	hedgingStopped bool
}

// run makes attempts until one is answered or the request is not retried any more. The
// returned sample is that of the last attempt, for the admission gate.
func (s *Server) run(ctx context.Context, q *request) (engineapi.Answer, admission.Observation, error) {
	r := &callRun{server: s, request: q}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if q.idempotent {
		hedge := time.AfterFunc(q.target.hedgeDelay(), func() { r.hedge(ctx) })
		defer hedge.Stop()
	}
	defer r.stopHedging()
	for {
		result, err := r.attempt(ctx)
		if err != nil {
			return engineapi.Answer{}, admission.Observation{Kind: admission.ObservationNone}, err
		}
		if result.err != nil && !errors.Is(result.err, engineapi.ErrAnswerTooLarge) {
			result = r.hedgeResultOr(result)
		}
		switch {
		case result.err == nil:
			return result.answer, admissionSample(ctx, result), nil
		case errors.Is(result.err, engineapi.ErrAnswerTooLarge):
			return engineapi.Answer{}, admissionSample(ctx, result), httpapi.NewFailure(resultcode.AnswerLost, "The request ran; its answer is too large to pass on.")
		}
		if err := r.waitForRetry(ctx, result.failure); err != nil {
			return engineapi.Answer{}, admissionSample(ctx, result), err
		}
	}
}

// admissionSample returns the sample of an attempt for the admission gate. Only refusals,
// and failures at the deadline, count against the concurrency limit.
func admissionSample(ctx context.Context, r attemptResult) admission.Observation {
	switch {
	case r.err == nil:
		return admission.Observation{Kind: admission.ObservationAnswered, Latency: r.latency, TotalTime: r.latency}
	case r.result == routing.ResultRefused, r.result == routing.ResultFailed && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.Observation{Kind: admission.ObservationRefused}
	}
	return admission.Observation{Kind: admission.ObservationNone}
}

// reserveAttempt starts the quarantine trial of one attempt and picks its endpoint. It
// also returns the number of the attempt. r.mu must be held.
func (r *callRun) reserveAttempt() (trial, routing.Choice, int, error) {
	q := r.request
	t, err := r.server.startTrial(q)
	if err != nil {
		f := httpapi.AsFailure(err)
		if r.progress.mayHaveRun {
			f = f.WithUnknownOutcome()
		}
		return trial{}, routing.Choice{}, 0, f
	}
	choice, ok := q.target.beginAttempt(routing.Constraints{Exclude: r.progress.excluded})
	if !ok {
		r.server.endTrial(q, t, false)
		return trial{}, routing.Choice{}, 0, r.progress.finalFailure(q, retries.StopAttempts)
	}
	r.progress.attemptCount++
	r.progress.inFlight++
	r.lastEndpoint = choice.ID
	return t, choice, r.progress.attemptCount, nil
}

// attempt makes one sequential attempt. The error is final. The failure of the attempt
// itself, which may be retried, is in the result.
func (r *callRun) attempt(ctx context.Context) (attemptResult, error) {
	ctx, cancelPrimary := context.WithCancelCause(ctx)
	defer cancelPrimary(nil)
	r.mu.Lock()
	t, choice, number, err := r.reserveAttempt()
	r.cancelPrimary = cancelPrimary
	r.mu.Unlock()
	if err != nil {
		return attemptResult{}, err
	}
	result := r.server.attempt(ctx, r.request, number, choice, t)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.addResult(result)
	return result, nil
}

// hedge makes a second attempt in parallel to a slow one. A suspect request gets no
// hedge, because reserveAttempt refuses a second concurrent attempt.
func (r *callRun) hedge(ctx context.Context) {
	q := r.request
	r.mu.Lock()
	a := retries.Request{Attempts: r.progress.attemptCount, Idempotent: q.idempotent, Remaining: q.remaining()}
	if r.hedgingStopped || r.progress.inFlight != 1 || !q.target.allowHedge(a) {
		r.mu.Unlock()
		return
	}
	r.progress.excluded = append(r.progress.excluded, r.lastEndpoint)
	t, choice, number, err := r.reserveAttempt()
	if err != nil {
		r.mu.Unlock()
		return
	}
	cancelPrimary, results := r.cancelPrimary, make(chan attemptResult, 1)
	r.hedgeResults = results
	r.mu.Unlock()
	q.record.add("hedged", choice.ID, "")
	result := r.server.attempt(ctx, q, number, choice, t)
	results <- result
	if result.err == nil {
		cancelPrimary(errHedgeAnswered)
	}
}

// hedgeResultOr waits for the hedge, if there is one, and returns its result. Without a
// hedge it returns failed.
func (r *callRun) hedgeResultOr(failed attemptResult) attemptResult {
	r.mu.Lock()
	results := r.hedgeResults
	r.hedgeResults = nil
	r.mu.Unlock()
	if results == nil {
		return failed
	}
	result := <-results
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.addResult(result)
	return result
}

// waitForRetry waits before the next attempt. If the request is not retried, it returns
// the final failure.
func (r *callRun) waitForRetry(ctx context.Context, f retries.Failure) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict, wait := r.request.target.decideRetry(retries.Request{
		Failure:    f,
		Attempts:   r.progress.attemptCount,
		Idempotent: r.request.idempotent,
		Remaining:  r.request.remaining(),
	})
	if verdict == retries.Retry && clock.Sleep(ctx, wait) {
		return nil
	}
	return r.progress.finalFailure(r.request, verdict)
}

func (r *callRun) stopHedging() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hedgingStopped = true
}
