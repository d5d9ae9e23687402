package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/origins"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// errNoFirstEvent ends a stream whose first event has not come by the timeout of its route.
var errNoFirstEvent = errors.New("no event has come by the timeout of the route")

// Stream serves a streaming request. Until the first bytes of the response body arrive, the request may be
// sent to another endpoint, and it ends at the timeout of its route. After that, the stream ends when the
// endpoint's stream ends. Its errors have a result code.
func (f *Forwarder) Stream(ctx context.Context, route *catalog.Route, in *Inbound, out StreamWriter) error {
	route = f.forTeam(route, in.Team)
	began := time.Now()
	deadline := began.Add(defaultDeadline)
	if in.Budget > 0 {
		deadline = began.Add(in.Budget)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{f: f, route: route, in: in, began: began, deadline: deadline, service: route.PickService(rand.Uint64()), usage: f.beginUsage(in)}
	ctx, endWait := context.WithCancelCause(ctx)
	defer endWait(nil)
	c.firstEvent = time.AfterFunc(time.Until(f.deadline(began, route, in)), func() { endWait(errNoFirstEvent) })
	defer c.firstEvent.Stop()
	err := c.findOrigin(ctx)
	if err == nil {
		err = c.streamUnlessQuarantined(ctx, out)
	}
	f.recordResult(c, nil, err)
	return err
}

// findOrigin binds a request that takes a stream up again to the service and the software version
// that began it.
func (c *call) findOrigin(ctx context.Context) error {
	if c.in.ResumeAfter <= 0 {
		return nil
	}
	origin, ok := c.f.origins.find(ctx, c.in.Resumes, c.service, sinceBoot())
	switch {
	case !ok:
		return c.refuseFor(c.f.origins.unknownFor(), resultcode.NoEndpoint, "the software version that began the stream is not known")
	case !c.route.Serves(origin.Service):
		return c.refuse(resultcode.NoEndpoint, "the route no longer leads to the service that began the stream")
	case !c.f.origins.awaitCurrentList(ctx):
		return c.refuse(resultcode.NoEndpoint, "this host is out of step with the others and may not know which software its endpoints run")
	}
	c.service, c.software = origin.Service, origin.Software
	return nil
}

func (c *call) streamUnlessQuarantined(ctx context.Context, out StreamWriter) error {
	endTrial, err := c.checkQuarantine()
	if err != nil {
		return err
	}
	defer endTrial()
	return c.runInSlot(ctx, func() (admission.Observation, error) {
		if err := c.stream(ctx, out); err != nil {
			return admission.Observation{Kind: admission.ObservationNone}, err
		}
		c.f.quarantine.recordAnswer(c.fingerprint)
		return admission.Observation{Kind: admission.ObservationEnded, TotalTime: time.Since(c.began)}, nil
	})
}

// recordOrigin records the endpoint's software version before the first event of a new stream is
// passed on. A stream that was taken up again keeps its origin.
func (c *call) recordOrigin(e catalog.Endpoint) {
	if c.in.ResumeAfter <= 0 {
		c.f.origins.began(origins.Record{ID: c.in.ID, Origin: origins.Origin{Service: e.Service, Software: e.Software}})
	}
}

// maxUnrecorded is the number of endpoints at which a stream is not begun because their software
// version cannot be recorded, before it is refused. The store answers none of these calls in time.
const maxUnrecorded = 2

// errUnrecordedSoftware means that a stream cannot begin at an endpoint because its software version
// is not recorded in the store.
var errUnrecordedSoftware = errors.New("the software version of the endpoint could not be recorded")

// servesAnswers reports whether a route leads to the service whose answers are not streams. The
// service times of such a service are those of answers, with which the time for an event cannot be
// compared.
func servesAnswers(config *catalog.Config, service string) bool {
	return config != nil && slices.ContainsFunc(config.Routes, func(r catalog.Route) bool {
		return r.Kind != catalog.KindStreaming && r.Kind != catalog.KindRollout && r.Serves(service)
	})
}

// recordPace records the time for an event of a stream as the endpoint's service time, if it was
// measured. It includes the way through a peer while this host is cut off, and is ignored then.
func (c *call) recordPace(now time.Time, e catalog.Endpoint, took time.Duration) {
	if took > 0 && !c.f.cutOff() {
		c.f.fleet.WithTable(func(t *placement.Table) { t.RecordServiceTime(now, e.ID, took) })
	}
}

// heldHead is the head of an endpoint's stream. It is passed on with the first bytes of the body, or at the end of an empty one: an
// endpoint may stop between the two, and the caller could get no other answer then.
type heldHead struct {
	ctx context.Context
	out StreamWriter
	// firstEvent ends ctx at the timeout of the route.
	firstEvent *time.Timer
	head       *backend.Answer
	begun      bool
}

// begin passes the head on, once.
func (h *heldHead) begin() error {
	if h.begun {
		return nil
	}
	if h.head == nil {
		return errors.Join(backend.ErrIncompleteAnswer, errors.New("the stream has no head"))
	}
	if !h.firstEvent.Stop() {
		<-h.ctx.Done() // the caller gets the answer that no event has come
		return errors.Join(backend.ErrIncompleteAnswer, context.Cause(h.ctx))
	}
	h.begun = true
	return h.out.WriteHead(h.head)
}

func (c *call) stream(ctx context.Context, out StreamWriter) error {
	measure := !servesAnswers(c.f.catalog.Config(), c.service)
	unrecorded := 0
	for c.sent < c.route.MaxAttempts && unrecorded < maxUnrecorded && (c.sent == 0 || !c.quarantined()) {
		e, err := c.pickForStream(ctx, placement.Query{Service: c.service, Software: c.software, Avoid: c.tried, Prompt: c.prompt()})
		if err != nil {
			return err
		}
		c.tried = append(c.tried, e.ID)
		if c.route.Resumable && c.in.ResumeAfter <= 0 && !c.f.origins.mayBegin(ctx, origins.Origin{Service: e.Service, Software: e.Software}) {
			c.f.fleet.End(e, placement.Cancelled, 0)
			unrecorded++
			c.err = errUnrecordedSoftware
			continue
		}
		if err := c.checkStop(); err != nil { // after all that may take time
			c.f.fleet.End(e, placement.Cancelled, 0)
			return err
		}
		c.sent++
		c.lastEndpoint = e.ID
		answer, sentAt, lost := heldHead{ctx: ctx, out: out, firstEvent: c.firstEvent}, time.Now(), c.usage.Opened()
		reading := c.f.fleet.BeginReading(e, c.prompt())
		head := func(a *backend.Answer) error {
			answer.head = a
			c.gate.Observe(admission.Observation{Kind: admission.ObservationAnswered, Class: c.route.Name, Endpoint: e.ID, Latency: time.Since(sentAt)})
			return nil
		}
		passedOn, pace := false, eventPace{}
		chunk := func(b []byte) error {
			now := time.Now()
			if measure {
				c.recordPace(now, e, pace.add(now, b))
			}
			if !passedOn {
				passedOn = true
				c.usage.Began()
				c.recordOrigin(e)
				c.promptRead(reading, e)
			}
			err := answer.begin()
			if err == nil {
				err = out.WriteChunk(b)
			}
			pace.writing += time.Since(now)
			return err
		}
		err = c.f.client.Stream(ctx, backend.GenerateRequest{Request: backend.Request{
			Endpoint: e, ID: c.in.ID, Host: c.in.Host, Method: c.in.Method, URI: c.in.URI,
			Header: c.in.Header, Body: c.in.Body, Deadline: c.deadline, Repeatable: c.route.Resumable, Team: c.in.Team,
		}, ResumeAfter: c.in.ResumeAfter, Urgency: min(c.route.Urgency, lowestUrgency)}, head, chunk)
		if err == nil {
			err = answer.begin()
		}
		c.f.fleet.EndReading(reading)
		c.f.recordOutcome(e, err, ctx.Err() != nil, 0)
		if err == nil {
			return nil
		}
		if !passedOn && !errors.Is(err, backend.ErrNotRun) && !errors.Is(err, backend.ErrInvalidRequest) {
			lost() // the request may have run
		}
		if ctx.Err() == nil {
			c.f.checkForCrash(c.fingerprint, e, sentAt, err)
		}
		c.err = err
		if answer.begun {
			return codedError(resultcode.StreamBroken, err.Error())
		}
		if !errors.Is(err, backend.ErrNotRun) {
			c.mayHaveRun = true
			if ctx.Err() != nil {
				return c.deadlineError(ctx)
			}
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
		detail := "no endpoint can take the request"
		if c.software != "" {
			detail = "no endpoint of the software version that began the stream can take the request"
		}
		return e, c.refuse(resultcode.NoEndpoint, detail)
	}
	return e, c.awaitEndpoint(ctx, pick)
}
