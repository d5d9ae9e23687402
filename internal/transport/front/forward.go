package front

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/quarantine"
	"oleanderfall.example/oleanderfall/internal/coordination/retries"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/gate"
)

const (
	// hedgeShare is when a second endpoint is asked for an idempotent request, in
	// shares of its latency objective: early enough that its answer is in time, as a
	// long run at one endpoint is seldom long at another. A budget keeps hedges to a
	// share of the requests when all are slow.
	hedgeShare = 0.6
	// minHedge keeps very short objectives from doubling the load.
	minHedge = 60 * time.Millisecond
	// noEndpointPause is the pause before endpoints are looked at again when none can
	// be used.
	noEndpointPause = 40 * time.Millisecond
	// answerReserve is kept back from a caller's deadline for the way back.
	answerReserve = 20 * time.Millisecond
	// defaultDeadline bounds a request that names no deadline on a route without one.
	defaultDeadline = 30 * time.Second
	// minRetryAfter is the least that a caller is told when no endpoint answers; up to as
	// much again is added, which spreads the callers. A new endpoint is usually there by then.
	minRetryAfter = 130 * time.Millisecond
	// refuseAfter is the share of the objective for which a request may wait for an
	// endpoint before it is refused.
	refuseAfter = 0.2
)

// Inbound is a caller's request.
type Inbound struct {
	ID     string
	Host   string
	Method string
	// URI is the path and query as received, Path the path alone.
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// Budget is how long the caller waits, zero when it did not say.
	Budget time.Duration
	// ResumeAfter is the last event that the caller has of a stream, zero for none.
	ResumeAfter int
	// Scoring says that this host scores a sample and no caller waits.
	Scoring bool
}

// StreamWriter takes the answer to a streaming request.
type StreamWriter interface {
	Head(a *backend.Answer) error
	Piece(b []byte) error
}

// Forwarder sends callers' requests to endpoints.
type Forwarder struct {
	catalog *Catalog
	fleet   *Fleet
	client  backend.Client
	log     *slog.Logger
	metrics *Metrics
	// quarantine holds back requests that crash endpoints.
	quarantine *Quarantine
	// announce tells the other hosts at once of such a request.
	announce func()

	gates *Gates

	mu sync.Mutex
	// budgets bound what the services are sent a second time though a first endpoint
	// has the request or had no room for it.
	budgets map[string]*retries.Budget
}

// budget runs use on a service's budget.
func (f *Forwarder) budget(service string, use func(*retries.Budget) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budgets[service]
	if b == nil {
		b = retries.NewBudget()
		if f.budgets == nil {
			f.budgets = map[string]*retries.Budget{}
		}
		f.budgets[service] = b
	}
	return use(b)
}

func earn(b *retries.Budget) bool { b.Deposit(); return true }

func refusal(code resultcode.Code, detail string) error {
	e := &resultcode.Error{Code: code, Detail: detail}
	if code.Info().Retry {
		e.RetryAfterMillis = (minRetryAfter + rand.N(minRetryAfter)).Milliseconds()
	}
	return e
}

// Route returns the route of a request.
func (f *Forwarder) Route(host, path string) (*catalog.Route, error) {
	config := f.catalog.Config()
	if config == nil {
		return nil, refusal(resultcode.StorageOutage, "no configuration is known yet")
	}
	route := config.Match(host, path)
	if route == nil {
		return nil, refusal(resultcode.UnknownService, "no route")
	}
	return route, nil
}

// Forward serves a request of a route whose answers are held whole.
func (f *Forwarder) Forward(ctx context.Context, route *catalog.Route, in *Inbound) (*backend.Answer, error) {
	began := time.Now()
	deadline := f.deadline(began, route, in)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{f: f, route: route, in: in, began: began, deadline: deadline, service: route.Pick(rand.Uint64())}
	answer, err := c.guarded(ctx)
	f.report(c, answer, err)
	return answer, err
}

// guarded runs the request unless one like it crashes endpoints.
func (c *call) guarded(ctx context.Context) (*backend.Answer, error) {
	c.print = fingerprint(c.in)
	switch verdict, _ := c.f.quarantine.check(c.print); verdict {
	case quarantine.Refuse:
		return nil, refusal(resultcode.Quarantined, "requests like this one crashed endpoints")
	case quarantine.Busy:
		return nil, refusal(resultcode.Overloaded, "a request like this one, which may crash endpoints, is running")
	case quarantine.Suspect:
		defer c.f.quarantine.done(c.print)
	}
	var answer *backend.Answer
	err := c.admitted(ctx, func() (admission.Sample, error) {
		began := time.Now()
		var err error
		if answer, err = c.run(ctx); err != nil {
			return admission.Sample{Kind: admission.SampleNone}, err
		}
		return admission.Sample{Kind: admission.SampleAnswered, Class: c.route.Name, Latency: c.took, TotalTime: time.Since(began)}, nil
	})
	if err == nil && answer.Status/100 == 2 {
		c.f.quarantine.answered(c.print)
	}
	return answer, err
}

// deadline is when the final answer must be out.
func (f *Forwarder) deadline(now time.Time, route *catalog.Route, in *Inbound) time.Time {
	wait := in.Budget
	if wait <= 0 {
		wait = defaultDeadline
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return now.Add(wait - min(answerReserve, wait/10))
}

func (f *Forwarder) report(c *call, answer *backend.Answer, err error) {
	took := time.Since(c.began)
	status, code := 0, resultcode.OK
	if answer != nil {
		status = answer.Status
	}
	reason := c.lastError()
	var e *resultcode.Error
	if errors.As(err, &e) {
		code, reason = e.Code, e.Detail
	}
	f.metrics.request(c.route.Name, code, took)
	f.log.Info("A request ended.", "request", c.in.ID, "route", c.route.Name, "service", c.service,
		"endpoint", c.last, "attempts", c.sent, "status", status, "result", int(code), "took_ms", took.Milliseconds(),
		"reason", reason)
}

// call is one request on its way.
type call struct {
	f        *Forwarder
	route    *catalog.Route
	in       *Inbound
	service  string
	gate     *gate.Gate
	began    time.Time
	deadline time.Time
	tried    []string
	sent     int
	last     string
	// took is the time of the attempt that was answered.
	took time.Duration
	// print is the request's fingerprint.
	print uint64
	// mayHaveRun says that an attempt's effect is open.
	mayHaveRun bool
	err        error
}

func (c *call) lastError() string {
	if c.err == nil {
		return ""
	}
	return c.err.Error()
}

// errOutrun ends an attempt when another endpoint, asked later, has answered.
var errOutrun = errors.New("another endpoint answered first")

type attemptResult struct {
	endpoint catalog.Endpoint
	answer   *backend.Answer
	err      error
	took     time.Duration
}

// run sends the request until an answer can be given. Idempotent requests are sent to
// a second endpoint when the first one is late or fails; others only after an attempt
// that certainly did not run.
func (c *call) run(ctx context.Context) (*backend.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idempotent := idempotent(c.route)
	results := make(chan attemptResult, c.route.MaxAttempts)
	pending := 0
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	var failure *backend.Answer
	for {
		if pending == 0 {
			if c.sent >= c.route.MaxAttempts || c.sent > 0 && c.crashes() {
				return c.giveUp(failure)
			}
			if err := c.start(ctx, results); err != nil {
				if failure != nil {
					return failure, nil
				}
				return nil, err
			}
			pending++
		}
		select {
		case <-ctx.Done():
			return nil, c.expired()
		case <-hedge.C:
			if idempotent && c.sent < c.route.MaxAttempts && !c.gate.Busy() && c.f.budget(c.service, (*retries.Budget).Withdraw) &&
				c.tryStart(ctx, results, true) {
				pending++
			}
		case r := <-results:
			pending--
			answer, again := c.judge(r, idempotent)
			if answer != nil && !again {
				cancel(errOutrun)
				return answer, nil
			}
			if answer != nil {
				failure = answer
			}
			if !again && pending == 0 {
				return c.giveUp(failure)
			}
		}
	}
}

// crashes reports whether the request has turned out to crash endpoints.
func (c *call) crashes() bool {
	verdict, _ := c.f.quarantine.check(c.print)
	if verdict == quarantine.Suspect {
		c.f.quarantine.done(c.print)
	}
	return verdict == quarantine.Refuse
}

func (c *call) hedgeDelay() time.Duration {
	return max(time.Duration(hedgeShare*float64(c.route.Objective)), minHedge)
}

// start sends the request to an endpoint, waiting a little for one.
func (c *call) start(ctx context.Context, results chan<- attemptResult) error {
	for !c.tryStart(ctx, results, false) {
		waited := time.Since(c.began)
		if c.sent == 0 && waited > time.Duration(refuseAfter*float64(c.route.Objective)) {
			return c.refuse(resultcode.NoEndpoint, "no endpoint can take the request")
		}
		select {
		case <-ctx.Done():
			return c.expired()
		case <-time.After(noEndpointPause):
		}
	}
	return nil
}

// tryStart sends the request to an endpoint if there is one, for a hedge only to one
// that has room at once.
func (c *call) tryStart(ctx context.Context, results chan<- attemptResult, hedge bool) bool {
	e, ok := c.f.fleet.Pick(placement.Query{Service: c.service, Avoid: c.tried, FreeSlot: hedge})
	if !ok {
		if len(c.tried) > 0 && !hedge {
			c.tried = nil // every endpoint was tried; the best one is tried again
		}
		return false
	}
	c.tried = append(c.tried, e.ID)
	c.sent++
	c.last = e.ID
	go func() {
		began := time.Now()
		answer, err := c.f.client.Do(ctx, backend.Request{
			Endpoint: e, ID: c.in.ID, Host: c.in.Host, Method: c.in.Method, URI: c.in.URI,
			Header: c.in.Header, Body: c.in.Body, Deadline: c.deadline,
		})
		took := time.Since(began)
		if errors.Is(context.Cause(ctx), errOutrun) && err != nil {
			// A silent endpoint shows only by this; two in a row leave it out for a while.
			c.f.fleet.End(e.ID, placement.Broken, 0)
		} else {
			c.f.settle(e, err, ctx.Err() != nil, took)
		}
		if ctx.Err() == nil {
			c.f.suspect(c.print, e, began, err)
		}
		results <- attemptResult{endpoint: e, answer: answer, err: err, took: took}
	}()
	return true
}

// settle records an attempt's end in the fleet.
func (f *Forwarder) settle(e catalog.Endpoint, err error, gaveUp bool, took time.Duration) {
	switch {
	case err == nil:
		f.budget(e.Service, earn)
		f.fleet.End(e.ID, placement.OK, took)
	case errors.Is(err, backend.ErrReplaced), errors.Is(err, backend.ErrUnreachable) && !gaveUp:
		f.fleet.With(func(t *placement.Table) { t.Eject(time.Now(), e.ID) })
		f.fleet.End(e.ID, placement.Refused, 0)
	case errors.Is(err, backend.ErrNotRun) && !gaveUp:
		f.fleet.End(e.ID, placement.Refused, 0)
	case gaveUp:
		f.fleet.End(e.ID, placement.Cancelled, 0)
	default:
		f.fleet.End(e.ID, placement.Broken, 0)
	}
}

// judge returns the answer to give, or whether to try again.
func (c *call) judge(r attemptResult, idempotent bool) (answer *backend.Answer, again bool) {
	switch {
	case r.err == nil && r.answer.Status < http.StatusInternalServerError:
		c.took = r.took
		return r.answer, false
	case r.err == nil:
		c.mayHaveRun = true
		return r.answer, idempotent
	}
	c.err = r.err
	switch {
	case errors.Is(r.err, backend.ErrUnreachable), errors.Is(r.err, backend.ErrReplaced):
		return nil, true
	case errors.Is(r.err, backend.ErrNotRun):
		return nil, c.mayRepeat()
	}
	c.mayHaveRun = true
	return nil, idempotent
}

func (c *call) giveUp(failure *backend.Answer) (*backend.Answer, error) {
	if failure != nil {
		return failure, nil
	}
	if c.mayHaveRun {
		return nil, refusal(resultcode.EndpointFailed, c.lastError())
	}
	return nil, c.refuse(resultcode.RetryBudgetExhausted, c.lastError())
}

// expired is the answer once the deadline has passed or the caller is gone.
func (c *call) expired() error {
	if c.mayHaveRun || c.sent > 0 {
		return refusal(resultcode.DeadlineExceeded, c.lastError())
	}
	return c.refuse(resultcode.DeadlineTooShort, "no endpoint took the request in time")
}

// refuse says that the request did not run, unless an attempt leaves that open.
func (c *call) refuse(code resultcode.Code, detail string) error {
	if c.mayHaveRun {
		return refusal(resultcode.EndpointFailed, detail)
	}
	return refusal(code, detail)
}

// Stream serves a streaming request. Before the first byte it may be sent to another
// endpoint as other requests may; afterwards the stream ends with its endpoint's.
func (f *Forwarder) Stream(ctx context.Context, route *catalog.Route, in *Inbound, out StreamWriter) error {
	began := time.Now()
	deadline := began.Add(defaultDeadline)
	if in.Budget > 0 {
		deadline = began.Add(in.Budget)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{f: f, route: route, in: in, began: began, deadline: deadline, service: route.Pick(rand.Uint64())}
	err := c.admitted(ctx, func() (admission.Sample, error) {
		if err := c.stream(ctx, out); err != nil {
			return admission.Sample{Kind: admission.SampleNone}, err
		}
		return admission.Sample{Kind: admission.SampleEnded, TotalTime: time.Since(began)}, nil
	})
	f.report(c, nil, err)
	return err
}

func (c *call) stream(ctx context.Context, out StreamWriter) error {
	for c.sent < c.route.MaxAttempts {
		e, ok := c.f.fleet.Pick(placement.Query{Service: c.service, Avoid: c.tried})
		if !ok {
			return c.refuse(resultcode.NoEndpoint, "no endpoint can take the request")
		}
		c.tried = append(c.tried, e.ID)
		c.sent++
		c.last = e.ID
		started, sentAt := false, time.Now()
		head := func(a *backend.Answer) error {
			started = true
			c.gate.Observe(admission.Sample{Kind: admission.SampleAnswered, Class: c.route.Name, Latency: time.Since(sentAt)})
			return out.Head(a)
		}
		err := c.f.client.Stream(ctx, backend.Generate{Request: backend.Request{
			Endpoint: e, ID: c.in.ID, Host: c.in.Host, Method: c.in.Method, URI: c.in.URI,
			Header: c.in.Header, Body: c.in.Body, Deadline: c.deadline,
		}, ResumeAfter: c.in.ResumeAfter, Urgency: min(c.route.Priority, lowestUrgency)}, head, out.Piece)
		c.f.settle(e, err, ctx.Err() != nil, 0)
		if err == nil {
			return nil
		}
		c.err = err
		if started {
			return refusal(resultcode.StreamBroken, err.Error())
		}
		if !errors.Is(err, backend.ErrNotRun) {
			c.mayHaveRun = true
			if !c.route.Resumable {
				return refusal(resultcode.EndpointFailed, err.Error())
			}
		}
	}
	return c.refuse(resultcode.RetryBudgetExhausted, c.lastError())
}

// lowestUrgency is the last rank that engines know.
const lowestUrgency = 9
