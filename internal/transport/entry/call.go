package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/claimduty"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// claimedGrace is how long a claimed run may go on after its caller's deadline, so
// that its answer is kept for the caller's next sending.
const claimedGrace = 10 * time.Second

// claimedRetryAfter is when a caller whose deadline passed may ask for the answer.
const claimedRetryAfter = time.Second

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	service := model.ServiceID(vars["service"])
	q, err := s.read(w, r, endpoints.Target{Service: service})
	var answer engineapi.Answer
	if err == nil {
		q.call = vars["call"]
		q.fingerprint(q.body)
		answer, err = s.answerCall(r.Context(), q, service)
	}
	if errors.Is(r.Context().Err(), context.Canceled) {
		q.record.add("caller left", "", "")
		panic(http.ErrAbortHandler)
	}
	if err != nil && !q.claimRead && r.Header.Get(httpapi.IdempotencyKeyHeader) != "" {
		err = sayNothingOfEarlier(err)
	}
	s.finish(w, q, answer, err)
}

// sayNothingOfEarlier turns "not run" into unknown for a key whose claim was not
// read: this host's configuration may lag behind that of an earlier sending's host
// and says nothing of what that host did with the call.
func sayNothingOfEarlier(err error) error {
	f := httpapi.FailureOf(err)
	if f.Outcome != resultcode.NotRun {
		return f
	}
	return f.Uncertain()
}

// finish writes the answer or the failure and counts it.
func (s *Server) finish(w http.ResponseWriter, q *request, answer engineapi.Answer, err error) {
	name := unknownTarget
	if q.target != nil {
		name = q.target.name
	}
	if err != nil {
		f := httpapi.FailureOf(err)
		q.record.add("refused or failed", "", f.Error())
		httpapi.WriteFailure(w, f, q.id)
		s.metrics.done(name, f.Code, f.Outcome, time.Since(q.start))
		return
	}
	code := resultcode.OK
	if answer.Status >= http.StatusInternalServerError {
		code = resultcode.EndpointRefused
	}
	httpapi.WriteAnswer(w, answer.Status, answer.Body, q.id, code)
	s.metrics.done(name, code, resultcode.Ran, time.Since(q.start))
}

func (s *Server) answerCall(ctx context.Context, q *request, service model.ServiceID) (engineapi.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	rules, ok := q.config.Services[service]
	if !ok {
		return engineapi.Answer{}, httpapi.Fail(resultcode.UnknownService, "No service has this name.")
	}
	if rules.IsNonIdempotent(q.call) {
		return s.answerClaimed(ctx, q, service)
	}
	if err := s.checkRate(q); err != nil {
		return engineapi.Answer{}, err
	}
	return s.runAdmitted(ctx, q)
}

// runAdmitted takes a slot and runs the request.
func (s *Server) runAdmitted(ctx context.Context, q *request) (engineapi.Answer, error) {
	ticket, err := q.admit(ctx)
	if err != nil {
		return engineapi.Answer{}, err
	}
	answer, sample, err := s.run(ctx, q)
	q.target.gate.Leave(ticket, sample)
	return answer, err
}

// answerClaimed runs a non-idempotent call at most once over all its sendings. A
// refusal before its claim is known says nothing of earlier sendings: its outcome
// is unknown.
func (s *Server) answerClaimed(ctx context.Context, q *request, service model.ServiceID) (engineapi.Answer, error) {
	q.idempotent = false
	if q.meta.Key == "" {
		return engineapi.Answer{}, httpapi.Fail(resultcode.KeyRequired, "This call needs an "+httpapi.IdempotencyKeyHeader+".")
	}
	if s.opt.Claims == nil {
		return engineapi.Answer{}, httpapi.Fail(resultcode.ClaimUnavailable, "This host records no claims.").Uncertain()
	}
	if err := s.checkRate(q); err != nil {
		return engineapi.Answer{}, httpapi.FailureOf(err).Uncertain()
	}
	select {
	case q.target.claiming <- struct{}{}:
	default:
		f := httpapi.Fail(resultcode.Overloaded, "Too many requests of the service wait for their claim.").Uncertain()
		f.RetryAfter = noEndpointRetry
		return engineapi.Answer{}, f
	}
	key := claimduty.Key{Caller: q.meta.Caller, Service: service, Idempotency: q.meta.Key}
	ticket, err := s.opt.Claims.Begin(ctx, key, xxhash.Sum64String(q.call+"|"+string(q.body)))
	<-q.target.claiming
	q.claimRead = true
	if err != nil {
		return engineapi.Answer{}, err
	}
	return s.answerTicket(ctx, q, ticket)
}

func (s *Server) answerTicket(ctx context.Context, q *request, ticket claimduty.Ticket) (engineapi.Answer, error) {
	switch ticket.Verdict {
	case claimduty.VerdictRun:
		q.record.add("claimed", "", ticket.Shard)
		return s.runClaimed(ctx, q, ticket)
	case claimduty.VerdictAnswered:
		q.record.add("answered before", "", ticket.Shard)
		return engineapi.Answer{Status: ticket.Answer.Status, Body: ticket.Answer.Body}, nil
	case claimduty.VerdictAnswerLost:
		return engineapi.Answer{}, httpapi.Fail(resultcode.AnswerLost, "The request ran; its answer is no longer held.")
	}
	return engineapi.Answer{}, httpapi.Fail(resultcode.OutcomeUnknown, "An earlier sending may have run; it will not run again.")
}

type claimedResult struct {
	answer engineapi.Answer
	err    error
}

// runClaimed runs a claimed request and settles its claim, also when the caller
// leaves or its deadline passes before the end.
func (s *Server) runClaimed(ctx context.Context, q *request, ticket claimduty.Ticket) (engineapi.Answer, error) {
	done := make(chan claimedResult, 1)
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		run, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline.Add(claimedGrace))
		defer cancel()
		answer, err := s.runAdmitted(run, q)
		done <- claimedResult{answer: answer, err: err}
		s.settle(run, ticket, answer, err)
	}()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		failure := httpapi.Fail(resultcode.InProgress, "The deadline passed while the request runs; ask again with the same key.")
		failure.RetryAfter = claimedRetryAfter
		return engineapi.Answer{}, failure
	}
}

func (s *Server) settle(ctx context.Context, ticket claimduty.Ticket, answer engineapi.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimduty.SettleTimeout)
	defer cancel()
	outcome := resultcode.Ran
	if err != nil {
		outcome = httpapi.FailureOf(err).Outcome
	}
	s.opt.Claims.Settle(ctx, ticket, outcome, claimduty.Answer{Status: answer.Status, Body: answer.Body})
}
