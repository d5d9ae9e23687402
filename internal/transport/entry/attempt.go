package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/retries"
	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// probeTimeout bounds the status call of isDead.
const probeTimeout = 150 * time.Millisecond

// attemptResult is the result of one attempt.
type attemptResult struct {
	choice  routing.Choice
	answer  engineapi.Answer
	latency time.Duration
	err     error
	result  routing.Result
	failure retries.Failure
}

// attempt makes one attempt of a plain call.
func (s *Server) attempt(ctx context.Context, q *request, number int, c routing.Choice, t trial) attemptResult {
	started := time.Now()
	s.metrics.attempts.WithLabelValues(q.target.name).Inc()
	q.record.add("sent", c.ID, "")
	answer, err := q.target.client.Call(ctx, c.Address, engineapi.CallRequest{
		RequestID: fmt.Sprintf("%s-%d", q.id, number),
		Call:      q.call,
		Body:      q.body,
	})
	out := attemptResult{choice: c, answer: answer, err: err, latency: time.Since(started)}
	if err != nil {
		out.result, out.failure = classifyFailure(ctx, err)
	}
	s.endAttempt(ctx, q, c, started, &out, t)
	return out
}

// endAttempt reports the result of an attempt to routing and the quarantine, and marks the
// endpoint as draining if it refused for that reason.
func (s *Server) endAttempt(ctx context.Context, q *request, c routing.Choice, started time.Time, out *attemptResult, t trial) {
	if out.result == routing.ResultFailed && q.remaining() <= 0 && out.latency < q.target.hedgeDelay() {
		// The deadline was too short for the attempt to count against the endpoint.
		out.result = routing.ResultCancelled
	}
	if q.target.endAttempt(c, started, out.result, out.latency, out.answer.Incarnation) {
		s.opt.Log.Warn("Endpoint ejected", "endpoint", c.ID, "target", q.target.name, "err", out.err)
	}
	if out.err == nil {
		q.record.add("answered", c.ID, "")
		s.endTrial(q, t, true)
		return
	}
	q.record.add("attempt failed", c.ID, out.err.Error())
	if errors.Is(out.err, engineapi.ErrDraining) && q.target.markDraining(c.ID, c.Incarnation) {
		s.opt.Log.Info("Endpoint started draining", "endpoint", c.ID, "target", q.target.name)
		s.requestReport()
	}
	if out.result == routing.ResultFailed && out.failure == retries.FailureUnknown && ctx.Err() == nil && s.isDead(q.target, c) {
		s.recordCrash(q, c.ID, started)
	}
	s.endTrial(q, t, out.result == routing.ResultAnswered)
}

// isDead reports whether an endpoint that broke a connection has crashed: it refuses,
// resets or closes the connection, or answers with a newer incarnation. An endpoint that
// does not answer within probeTimeout is not considered dead, because it may be slow or
// unreachable.
func (s *Server) isDead(t *target, c routing.Choice) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	status, err := t.client.Status(ctx, c.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
	}
	s.recordIncarnation(t, c.ID, status.Incarnation)
	return c.Incarnation != 0 && status.Incarnation > c.Incarnation
}

func (s *Server) recordIncarnation(t *target, id model.EndpointID, i model.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.ObserveIncarnation(time.Now(), id, i)
}

// progress is the state of a request's attempts.
type progress struct {
	attemptCount int
	inFlight     int
	mayHaveRun   bool
	excluded     []model.EndpointID
}

func (p *progress) addResult(r attemptResult) {
	p.inFlight--
	p.mayHaveRun = p.mayHaveRun || r.failure == retries.FailureUnknown
	p.excluded = append(p.excluded, r.choice.ID)
}

// finalFailure returns the failure of a request that is not retried any more, for the
// given reason. The outcome is "not run" only if no attempt may have run.
func (p *progress) finalFailure(q *request, v retries.Verdict) *httpapi.Failure {
	if p.mayHaveRun || p.inFlight > 0 {
		switch {
		case !q.idempotent:
			return httpapi.NewFailure(resultcode.OutcomeUnknown, "The endpoint failed while the request may have run; it will not run again.")
		case q.remaining() <= 0:
			return httpapi.NewFailure(resultcode.DeadlineExceeded, "The deadline passed after dispatch.")
		}
		return httpapi.NewFailure(resultcode.EndpointFailed, "The endpoints failed while the request ran.")
	}
	f := httpapi.NewFailure(resultcode.NoEndpoint, "No endpoint can take the request now.")
	switch v {
	case retries.StopBudget:
		f = httpapi.NewFailure(resultcode.RetryBudgetExhausted, "Attempts failed before they started and the retry budget is spent.")
	case retries.StopDeadline:
		f = httpapi.NewFailure(resultcode.DeadlineTooShort, "No attempt started, and none could end before the deadline.")
	}
	f.RetryAfter = noEndpointRetryAfter
	return f
}

// noEndpointRetryAfter is the Retry-After of a request that finds no endpoint, or that finds
// too many requests waiting for their claim.
const noEndpointRetryAfter = 250 * time.Millisecond
