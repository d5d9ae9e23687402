package entry

import (
	"context"
	"errors"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/retries"
	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// errOvertaken ends an attempt because another one of its request was answered.
var errOvertaken = errors.New("another attempt was answered")

// race makes the attempts of one plain call: repeats after failures, and a hedge
// beside an attempt that takes long.
type race struct {
	server   *Server
	request  *request
	progress progress
	results  chan attemptResult
	cancels  []context.CancelCauseFunc
	// last is the endpoint of the latest attempt.
	last model.EndpointID
}

// run makes attempts until one is answered or none may follow.
func (s *Server) run(ctx context.Context, q *request) (engineapi.Answer, admission.Sample, error) {
	r := &race{server: s, request: q, results: make(chan attemptResult, retries.MaxAttempts)}
	defer r.cancel()
	if err := r.launch(ctx); err != nil {
		return engineapi.Answer{}, admission.Sample{Kind: admission.SampleNone}, err
	}
	hedge := time.NewTimer(q.target.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case result := <-r.results:
			answer, done, err := r.ended(ctx, result)
			if done {
				return answer, sampleOf(result, err), err
			}
		case <-hedge.C:
			r.hedge(ctx)
		case <-ctx.Done():
			return engineapi.Answer{}, admission.Sample{Kind: admission.SampleRefused}, r.progress.failure(q, retries.StopDeadline)
		}
	}
}

func sampleOf(r attemptResult, err error) admission.Sample {
	switch {
	case err == nil:
		return admission.Sample{Kind: admission.SampleAnswered, Latency: r.latency}
	case r.result == routing.ResultRefused:
		return admission.Sample{Kind: admission.SampleRefused}
	}
	return admission.Sample{Kind: admission.SampleNone}
}

func (r *race) cancel() {
	for _, c := range r.cancels {
		c(errOvertaken)
	}
}

// launch starts one attempt in a goroutine of its own.
func (r *race) launch(ctx context.Context) error {
	q := r.request
	t, err := r.server.try(q)
	if err != nil {
		f := httpapi.FailureOf(err)
		if r.progress.unknown {
			f = f.Uncertain()
		}
		return f
	}
	choice, ok := q.target.begin(routing.Constraints{Exclude: r.progress.excluded})
	if !ok {
		r.server.endTrial(q, t, false)
		return r.progress.failure(q, retries.StopAttempts)
	}
	attempt, cancel := context.WithCancelCause(ctx)
	r.cancels = append(r.cancels, cancel)
	r.progress.made++
	r.progress.running++
	r.last = choice.ID
	number := r.progress.made
	go func() { r.results <- r.server.attempt(attempt, q, number, choice, t) }()
	return nil
}

// ended handles the end of an attempt. done says that the request has its answer
// or its final failure.
func (r *race) ended(ctx context.Context, result attemptResult) (engineapi.Answer, bool, error) {
	r.progress.note(result)
	if result.err == nil {
		return result.answer, true, nil
	}
	if r.progress.running > 0 {
		return engineapi.Answer{}, false, nil
	}
	verdict, wait := r.request.target.decide(retries.Attempt{
		Failure:    result.failure,
		Made:       r.progress.made,
		Idempotent: r.request.idempotent,
		Left:       r.request.left(),
	})
	if verdict != retries.Retry {
		return engineapi.Answer{}, true, r.progress.failure(r.request, verdict)
	}
	if !sleep(ctx, wait) {
		return engineapi.Answer{}, true, r.progress.failure(r.request, retries.StopDeadline)
	}
	if err := r.launch(ctx); err != nil {
		return engineapi.Answer{}, true, err
	}
	return engineapi.Answer{}, false, nil
}

// hedge starts a second attempt beside one that takes long. A suspected request is
// tried alone, which launch sees to.
func (r *race) hedge(ctx context.Context) {
	q := r.request
	if r.progress.running != 1 {
		return
	}
	a := retries.Attempt{Made: r.progress.made, Idempotent: q.idempotent, Left: q.left()}
	if !q.target.hedge(a) {
		return
	}
	q.record.add("hedged", "", "")
	r.progress.excluded = append(r.progress.excluded, r.last)
	_ = r.launch(ctx)
}
