package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// Stream serves a streaming request. Until the response header arrives, the request may be
// sent to another endpoint. After that, the stream ends when the endpoint's stream ends. Its
// errors have a result code.
func (f *Forwarder) Stream(ctx context.Context, route *catalog.Route, in *Inbound, out StreamWriter) error {
	began := time.Now()
	deadline := began.Add(defaultDeadline)
	if in.Budget > 0 {
		deadline = began.Add(in.Budget)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{f: f, route: route, in: in, began: began, deadline: deadline, service: route.PickService(rand.Uint64())}
	endTrial, err := c.checkQuarantine()
	if err == nil {
		defer endTrial()
		err = c.runInSlot(ctx, func() (admission.Observation, error) {
			if err := c.stream(ctx, out); err != nil {
				return admission.Observation{Kind: admission.ObservationNone}, err
			}
			f.quarantine.recordAnswer(c.fingerprint)
			return admission.Observation{Kind: admission.ObservationEnded, TotalTime: time.Since(began)}, nil
		})
	}
	f.recordResult(c, nil, err)
	return err
}

func (c *call) stream(ctx context.Context, out StreamWriter) error {
	for c.sent < c.route.MaxAttempts && (c.sent == 0 || !c.quarantined()) {
		e, err := c.pickForStream(ctx, placement.Query{Service: c.service, Avoid: c.tried})
		if err != nil {
			return err
		}
		c.tried = append(c.tried, e.ID)
		c.sent++
		c.lastEndpoint = e.ID
		started, sentAt := false, time.Now()
		head := func(a *backend.Answer) error {
			started = true
			c.gate.Observe(admission.Observation{Kind: admission.ObservationAnswered, Class: c.route.Name, Latency: time.Since(sentAt)})
			return out.WriteHead(a)
		}
		err = c.f.client.Stream(ctx, backend.GenerateRequest{Request: backend.Request{
			Endpoint: e, ID: c.in.ID, Host: c.in.Host, Method: c.in.Method, URI: c.in.URI,
			Header: c.in.Header, Body: c.in.Body, Deadline: c.deadline,
		}, ResumeAfter: c.in.ResumeAfter, Urgency: min(c.route.Urgency, lowestUrgency)}, head, out.WriteChunk)
		c.f.recordOutcome(e, err, ctx.Err() != nil, 0)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			c.f.checkForCrash(c.fingerprint, e, sentAt, err)
		}
		c.err = err
		if started {
			return codedError(resultcode.StreamBroken, err.Error())
		}
		if !errors.Is(err, backend.ErrNotRun) {
			c.mayHaveRun = true
			if !c.route.Resumable {
				return codedError(resultcode.EndpointFailed, err.Error())
			}
		}
	}
	return c.refuse(resultcode.RetryBudgetExhausted, c.lastError())
}

// pickForStream picks an endpoint. It waits only for permits.
func (c *call) pickForStream(ctx context.Context, q placement.Query) (e catalog.Endpoint, err error) {
	pick := func() (ok bool) {
		e, ok = c.f.fleet.Pick(q)
		return ok
	}
	if pick() {
		return e, nil
	}
	if _, atLimit := c.f.fleet.PermitWait(q); !atLimit {
		return e, c.refuse(resultcode.NoEndpoint, "no endpoint can take the request")
	}
	return e, c.awaitEndpoint(ctx, pick)
}
