package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// recordOutcome records the outcome of an attempt in the fleet. abandoned is true if the
// attempt was cancelled or its deadline passed.
func (f *Forwarder) recordOutcome(e catalog.Endpoint, err error, abandoned bool, took time.Duration) {
	switch {
	case err == nil:
		if f.cutOff() {
			took = 0 // includes the loss of the links, or a peer
		}
		f.withRetryBudget(e.Service, deposit)
		f.fleet.End(e, placement.OK, took)
	case errors.Is(err, backend.ErrReplaced), errors.Is(err, backend.ErrUnreachable) && !abandoned:
		f.fleet.WithTable(func(t *placement.Table) { t.Eject(time.Now(), e.ID) })
		f.fleet.End(e, placement.Refused, 0)
	case errors.Is(err, backend.ErrNotRun) && !abandoned:
		f.fleet.End(e, placement.Refused, 0)
	case abandoned, errors.Is(err, backend.ErrPathLost):
		f.fleet.End(e, placement.Cancelled, 0)
	default:
		f.fleet.End(e, placement.Broken, 0)
	}
}

// evaluate returns the answer of an attempt, if any, and whether to send the request again.
func (c *call) evaluate(r attemptResult, idempotent bool) (answer *backend.Answer, retry bool) {
	switch {
	case r.err == nil && r.answer.Status < http.StatusInternalServerError:
		c.took, c.answeredBy = r.took, r.endpoint.ID
		return r.answer, false
	case r.err == nil:
		c.mayHaveRun, c.answeredBy = true, r.endpoint.ID
		if r.answer.Status == http.StatusInternalServerError {
			c.failures++
		}
		return r.answer, idempotent
	}
	c.err = r.err
	switch {
	case errors.Is(r.err, backend.ErrNotRun) && errors.Is(r.err, backend.ErrPathLost):
		return nil, false // no host reaches the endpoints
	case errors.Is(r.err, backend.ErrUnreachable), errors.Is(r.err, backend.ErrReplaced):
		return nil, true
	case errors.Is(r.err, backend.ErrNotRun):
		return nil, c.mayRetry(r.endpoint.ID)
	}
	c.mayHaveRun = true
	return nil, idempotent
}

func (c *call) finalFailure(failure *backend.Answer) (*backend.Answer, error) {
	if failure != nil {
		return failure, nil
	}
	if c.mayHaveRun {
		return nil, codedError(resultcode.EndpointFailed, c.lastError())
	}
	return nil, c.refuse(resultcode.RetryBudgetExhausted, c.lastError())
}

// deadlineError returns the error for a request whose deadline has passed, whose caller disconnected
// or whose host stopped.
func (c *call) deadlineError(ctx context.Context) error {
	if c.mayHaveRun || c.sent > 0 {
		detail := c.lastError()
		if cause := context.Cause(ctx); errors.Is(cause, errHostStopped) || errors.Is(cause, errNoFirstEvent) {
			detail = cause.Error()
		}
		return codedError(resultcode.DeadlineExceeded, detail)
	}
	return c.refuse(resultcode.DeadlineTooShort, "no endpoint took the request in time")
}

// refuse returns an error with the given code, which states that the request did not run,
// or EndpointFailed if an attempt may have run.
func (c *call) refuse(code resultcode.Code, detail string) error {
	if c.mayHaveRun {
		return codedError(resultcode.EndpointFailed, detail)
	}
	return codedError(code, detail)
}
