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
	"oleanderfall.example/oleanderfall/internal/transport/claimservice"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// claimedGrace is how long a claimed request may run past its deadline, so that its
// answer is available when the caller retries.
const claimedGrace = 10 * time.Second

// claimedRetryAfter is the Retry-After of a claimed request that is still running at its
// deadline.
const claimedRetryAfter = time.Second

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	service := model.ServiceID(vars["service"])
	q, err := s.readRequest(w, r, endpoints.Target{Service: service})
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
	if err != nil && !q.claimChecked && r.Header.Get(httpapi.IdempotencyKeyHeader) != "" {
		err = uncertainIfNotRun(err)
	}
	s.finish(w, q, answer, err)
}

// uncertainIfNotRun changes the outcome "not run" to unknown. It is used for keyed
// requests whose claim was not looked up: an earlier request with the same key may have
// run at another host, and this host's configuration may be older than that host's.
func uncertainIfNotRun(err error) error {
	f := httpapi.AsFailure(err)
	if f.Outcome != resultcode.NotRun {
		return f
	}
	return f.WithUnknownOutcome()
}

// finish writes the answer or the failure and records it in the metrics.
func (s *Server) finish(w http.ResponseWriter, q *request, answer engineapi.Answer, err error) {
	name := unknownTarget
	if q.target != nil {
		name = q.target.name
	}
	if err != nil {
		f := httpapi.AsFailure(err)
		q.record.add("refused or failed", "", f.Error())
		httpapi.WriteFailure(w, f, q.id)
		s.metrics.recordRequest(name, f.Code, f.Outcome, time.Since(q.start))
		return
	}
	code := resultcode.OK
	if answer.Status >= http.StatusInternalServerError {
		code = resultcode.EndpointRefused
	}
	httpapi.WriteAnswer(w, answer.Status, answer.Body, q.id, code)
	s.metrics.recordRequest(name, code, resultcode.Ran, time.Since(q.start))
}

func (s *Server) answerCall(ctx context.Context, q *request, service model.ServiceID) (engineapi.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	rules, ok := q.config.Services[service]
	if !ok {
		return engineapi.Answer{}, httpapi.NewFailure(resultcode.UnknownService, "No service has this name.")
	}
	if rules.IsNonIdempotent(q.call) {
		return s.answerClaimed(ctx, q, service)
	}
	if err := s.checkRate(q); err != nil {
		return engineapi.Answer{}, err
	}
	return s.runAdmitted(ctx, q)
}

// runAdmitted takes a slot, runs the request and releases the slot.
func (s *Server) runAdmitted(ctx context.Context, q *request) (engineapi.Answer, error) {
	admissionRequest, err := q.admit(ctx)
	if err != nil {
		return engineapi.Answer{}, err
	}
	answer, sample, err := s.run(ctx, q)
	q.target.gate.Leave(admissionRequest, sample)
	return answer, err
}

// answerClaimed runs a non-idempotent call at most once, however often the caller sends
// it. A refusal before the claim is looked up has the outcome unknown, because an earlier
// request with the same key may have run.
func (s *Server) answerClaimed(ctx context.Context, q *request, service model.ServiceID) (engineapi.Answer, error) {
	q.idempotent = false
	if q.headers.Key == "" {
		return engineapi.Answer{}, httpapi.NewFailure(resultcode.KeyRequired, "This call needs an "+httpapi.IdempotencyKeyHeader+".")
	}
	if s.opt.Claims == nil {
		return engineapi.Answer{}, httpapi.NewFailure(resultcode.ClaimUnavailable, "This host records no claims.").WithUnknownOutcome()
	}
	if err := s.checkRate(q); err != nil {
		return engineapi.Answer{}, httpapi.AsFailure(err).WithUnknownOutcome()
	}
	select {
	case q.target.claimSlots <- struct{}{}:
	default:
		f := httpapi.NewFailure(resultcode.Overloaded, "Too many requests of the service wait for their claim.").WithUnknownOutcome()
		f.RetryAfter = noEndpointRetryAfter
		return engineapi.Answer{}, f
	}
	key := claimservice.Key{Caller: q.headers.Caller, Service: service, Idempotency: q.headers.Key}
	claim, err := s.opt.Claims.Begin(ctx, key, xxhash.Sum64String(q.call+"|"+string(q.body)))
	<-q.target.claimSlots
	q.claimChecked = true
	if err != nil {
		return engineapi.Answer{}, err
	}
	return s.answerFromClaim(ctx, q, claim)
}

// answerFromClaim runs the request or answers for an earlier run, according to the claim's
// verdict.
func (s *Server) answerFromClaim(ctx context.Context, q *request, claim claimservice.Claim) (engineapi.Answer, error) {
	switch claim.Verdict {
	case claimservice.VerdictRun:
		q.record.add("claimed", "", claim.Shard)
		return s.runClaimed(ctx, q, claim)
	case claimservice.VerdictAnswered:
		q.record.add("answered before", "", claim.Shard)
		return engineapi.Answer{Status: claim.Answer.Status, Body: claim.Answer.Body}, nil
	case claimservice.VerdictAnswerLost:
		return engineapi.Answer{}, httpapi.NewFailure(resultcode.AnswerLost, "The request ran; its answer is no longer held.")
	}
	return engineapi.Answer{}, httpapi.NewFailure(resultcode.OutcomeUnknown, "An earlier sending may have run; it will not run again.")
}

type claimedResult struct {
	answer engineapi.Answer
	err    error
}

// runClaimed runs a claimed request and settles its claim. The run continues in the
// background if the caller disconnects or the deadline passes.
func (s *Server) runClaimed(ctx context.Context, q *request, claim claimservice.Claim) (engineapi.Answer, error) {
	done := make(chan claimedResult, 1)
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline.Add(claimedGrace))
		defer cancel()
		answer, err := s.runAdmitted(runCtx, q)
		done <- claimedResult{answer: answer, err: err}
		s.settle(runCtx, claim, answer, err)
	}()
	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		failure := httpapi.NewFailure(resultcode.InProgress, "The deadline passed while the request runs; ask again with the same key.")
		failure.RetryAfter = claimedRetryAfter
		return engineapi.Answer{}, failure
	}
}

// settle records the outcome and the answer of a claimed request. It is not cancelled with
// ctx, so that the claim is settled even if the run timed out.
func (s *Server) settle(ctx context.Context, claim claimservice.Claim, answer engineapi.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimservice.SettleTimeout)
	defer cancel()
	outcome := resultcode.Ran
	if err != nil {
		outcome = httpapi.AsFailure(err).Outcome
	}
	s.opt.Claims.Settle(ctx, claim, outcome, claimservice.Answer{Status: answer.Status, Body: answer.Body})
}
