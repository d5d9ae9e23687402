package front

import (
	"cmp"
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
	"oleanderfall.example/oleanderfall/internal/transport/teamkeys"
	"oleanderfall.example/oleanderfall/internal/transport/usage"
)

const (
	// hedgeDelayShare is the delay before an idempotent request is hedged to a second endpoint,
	// as a share of the route's latency objective. It is short enough for the second answer
	// to meet the objective, since a request that is slow at one endpoint is rarely slow at
	// another. The retry budget limits hedges to a share of the requests when all endpoints
	// are slow.
	hedgeDelayShare = 0.6
	// minHedgeDelay prevents very short objectives from doubling the load.
	minHedgeDelay = 60 * time.Millisecond
	// noEndpointRetryDelay is the delay between attempts to pick an endpoint while none is
	// usable.
	noEndpointRetryDelay = 40 * time.Millisecond
	// responseMargin is subtracted from a caller's deadline to leave time for the response
	// to reach it.
	responseMargin = 20 * time.Millisecond
	// defaultDeadline applies to requests without a budget. A shorter timeout of the route takes
	// precedence, for streams until their first event.
	defaultDeadline = 30 * time.Second
	// minRetryAfter is the minimum retry delay returned to refused callers. A random jitter
	// of up to the same length is added to spread their retries. A new endpoint is usually
	// available by then.
	minRetryAfter = 130 * time.Millisecond
	// maxSlotWaitShare is the longest time that a request waits for a slot or an endpoint
	// before it is refused, as a share of the route's latency objective.
	maxSlotWaitShare = 0.2
)

// Inbound is a caller's request.
type Inbound struct {
	ID     string
	Host   string
	Method string
	// URI is the path and query as received, Path only the path.
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// PromptTokens is the length of the prompt of a request to an engine, zero if unknown, and
	// PromptPrefixes its leading parts that other requests share.
	PromptTokens   int
	PromptPrefixes []PromptPrefix
	// Budget is how long the caller waits for the answer, or zero if it set no limit.
	Budget time.Duration
	// ResumeAfter is the ID of the last stream event that the caller received, or zero.
	ResumeAfter int
	// Resumes is the ID of the caller's request that brought the stream's first event, if
	// ResumeAfter is not zero.
	Resumes string
	// Scoring marks a scoring request of this host, for which no caller waits.
	Scoring bool
	// Team is the name of the team on whose behalf the request runs. It is empty if the configuration
	// has no teams, and for a request on a public route without a key.
	Team string
}

// StreamWriter receives the answer to a streaming request: WriteHead is called once with the
// status and header, then WriteChunk with each chunk of the body. If either returns an
// error, the stream ends.
type StreamWriter interface {
	WriteHead(a *backend.Answer) error
	WriteChunk(b []byte) error
}

// Forwarder sends callers' requests to endpoints.
type Forwarder struct {
	catalog *Catalog
	fleet   *Fleet
	client  backend.Client
	log     *slog.Logger
	metrics *Metrics
	// quarantine refuses requests that crash endpoints.
	quarantine *Quarantine
	// cutOff reports whether this host has lost its links to all endpoints.
	cutOff func() bool
	// announce sends a heartbeat immediately, which reports such a request to the other hosts.
	announce func()

	gates *Gates
	// origins remembers which software version began each stream.
	origins *StreamOrigins
	stop    *hostStop
	// keys knows the urgencies of teams.
	keys *teamkeys.Checker
	// usage counts the requests of each team, nil if they are not reported.
	usage *usage.Service

	mu sync.Mutex
	// retryBudgets limit, for each service, hedged requests and retries after an endpoint
	// had no free slot.
	retryBudgets map[string]*retries.Budget
}

// withRetryBudget calls use with a service's retry budget and returns its result.
func (f *Forwarder) withRetryBudget(service string, use func(*retries.Budget) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.retryBudgets[service]
	if b == nil {
		b = retries.NewBudget()
		if f.retryBudgets == nil {
			f.retryBudgets = map[string]*retries.Budget{}
		}
		f.retryBudgets[service] = b
	}
	return use(b)
}

func deposit(b *retries.Budget) bool { b.Deposit(); return true }

// codedError returns an error with a result code. If requests with this code may be retried, it
// sets a retry delay.
func codedError(code resultcode.Code, detail string) error {
	e := &resultcode.Error{Code: code, Detail: detail}
	if code.Info().Retry {
		e.RetryAfterMillis = (minRetryAfter + rand.N(minRetryAfter)).Milliseconds()
	}
	return e
}

// Route returns the route that matches a request. The error is resultcode.StorageOutage before
// the first configuration, and resultcode.UnknownService if no route matches.
func (f *Forwarder) Route(host, path string) (*catalog.Route, error) {
	config := f.catalog.Config()
	if config == nil {
		return nil, codedError(resultcode.StorageOutage, "no configuration is known yet")
	}
	route := config.Match(host, path)
	if route == nil {
		return nil, codedError(resultcode.UnknownService, "no route")
	}
	return route, nil
}

// Forward serves a request of a route whose answers are buffered completely. Its errors have a
// result code.
func (f *Forwarder) Forward(ctx context.Context, route *catalog.Route, in *Inbound) (*backend.Answer, error) {
	answer, _, err := f.forward(ctx, route, in)
	return answer, err
}

// forward is Forward. It also returns the number of attempts that an endpoint answered with an
// internal server error, which counts as run.
func (f *Forwarder) forward(ctx context.Context, route *catalog.Route, in *Inbound) (answer *backend.Answer, failures int, err error) {
	route = f.forTeam(route, in.Team)
	began := time.Now()
	deadline := f.deadline(began, route, in)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c := &call{f: f, route: route, in: in, began: began, deadline: deadline, service: route.PickService(rand.Uint64()), usage: f.beginUsage(in)}
	answer, err = c.runUnlessQuarantined(ctx)
	f.recordResult(c, answer, err)
	return answer, c.failures, err
}

// runUnlessQuarantined runs the request unless its fingerprint is quarantined.
func (c *call) runUnlessQuarantined(ctx context.Context) (*backend.Answer, error) {
	endTrial, err := c.checkQuarantine()
	if err != nil {
		return nil, err
	}
	defer endTrial()
	var answer *backend.Answer
	err = c.runInSlot(ctx, func() (admission.Observation, error) {
		began := time.Now()
		var err error
		if answer, err = c.run(ctx); err != nil {
			return admission.Observation{Kind: admission.ObservationNone}, err
		}
		return admission.Observation{Kind: admission.ObservationAnswered, Class: c.route.Name, Endpoint: c.answeredBy, Latency: c.took,
			TotalTime: time.Since(began)}, nil
	})
	if err == nil && answer.Status/100 == 2 && c.mayBeQuarantined() {
		c.f.quarantine.recordAnswer(c.fingerprint)
	}
	return answer, err
}

// checkQuarantine returns an error if requests like this one are quarantined. Otherwise the
// caller must call endTrial after the request.
func (c *call) checkQuarantine() (endTrial func(), err error) {
	if !c.mayBeQuarantined() {
		return func() {}, nil
	}
	c.fingerprint = fingerprint(c.in)
	switch verdict, _ := c.f.quarantine.check(c.fingerprint); verdict {
	case quarantine.Refuse:
		return nil, codedError(resultcode.Quarantined, "requests like this one crashed endpoints")
	case quarantine.Busy:
		return nil, codedError(resultcode.Overloaded, "a request like this one, which may crash endpoints, is running")
	case quarantine.Suspect:
		return func() { c.f.quarantine.endTrial(c.fingerprint) }, nil
	}
	return func() {}, nil
}

// deadline returns the time by which the final answer must be sent, or the first event of a stream.
func (f *Forwarder) deadline(now time.Time, route *catalog.Route, in *Inbound) time.Time {
	wait := in.Budget
	if wait <= 0 {
		wait = defaultDeadline
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return now.Add(wait - min(responseMargin, wait/10))
}

// recordResult counts and logs a finished request.
func (f *Forwarder) recordResult(c *call, answer *backend.Answer, err error) {
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
	f.metrics.recordRequest(c.route.Name, code, took)
	if c.sent > 0 && !c.in.Scoring && (err == nil || code == resultcode.DeadlineExceeded && !time.Now().Before(c.deadline)) {
		f.stop.record(c.route.Name, took)
	}
	f.log.Info("Request finished", "request", c.in.ID, "route", c.route.Name, "service", c.service,
		"endpoint", c.lastEndpoint, "attempts", c.sent, "status", status, "result", int(code), "took_ms", took.Milliseconds(),
		"reason", reason)
}

// call is the state of one request while it is forwarded.
type call struct {
	f       *Forwarder
	route   *catalog.Route
	in      *Inbound
	service string
	// software is the only software version that may run the request, empty for any.
	software string
	gate     *gate.Gate
	began    time.Time
	deadline time.Time
	// firstEvent ends the wait for the first event of a stream.
	firstEvent   *time.Timer
	tried        []string
	sent         int
	lastEndpoint string
	// took is the duration of the attempt that was answered, answeredBy the ID of its endpoint.
	took       time.Duration
	answeredBy string
	// fingerprint identifies the request in the quarantine.
	fingerprint uint64
	// failures counts the attempts that an endpoint answered with an internal server error.
	failures int
	// mayHaveRun is true if an endpoint may have run the request.
	mayHaveRun bool
	// err is the error of the last failed attempt.
	err error
	// usage counts the request for its team.
	usage *usage.Request
}

func (c *call) lastError() string {
	if c.err == nil {
		return ""
	}
	return c.err.Error()
}

// errHedgeLost cancels the remaining attempts after another endpoint has answered.
var errHedgeLost = errors.New("another endpoint answered first")

type attemptResult struct {
	endpoint catalog.Endpoint
	answer   *backend.Answer
	err      error
	took     time.Duration
}

// run sends the request until there is an answer to return or no attempt is left. Idempotent
// requests are sent to a second endpoint if the first one is slow or fails, other requests
// only after an attempt that certainly did not run.
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
			if c.sent >= c.route.MaxAttempts || c.sent > 0 && c.quarantined() {
				return c.finalFailure(failure)
			}
			if err := c.sendWhenAvailable(ctx, results); err != nil {
				if failure != nil {
					return failure, nil
				}
				return nil, err
			}
			pending++
		}
		select {
		case <-ctx.Done():
			return nil, c.deadlineError(ctx)
		case <-hedge.C:
			if idempotent && c.sent < c.route.MaxAttempts && !c.gate.HasWaiting() && c.f.withRetryBudget(c.service, (*retries.Budget).Withdraw) &&
				c.trySend(ctx, results, true) {
				pending++
			}
		case r := <-results:
			pending--
			answer, retry := c.evaluate(r, idempotent)
			if answer != nil && !retry {
				cancel(errHedgeLost)
				return answer, nil
			}
			if answer != nil {
				failure = answer
			}
			if !retry && pending == 0 {
				return c.finalFailure(failure)
			}
		}
	}
}

// mayBeQuarantined reports whether the request may be what crashes endpoints. Requests of trainers'
// batches never are.
func (c *call) mayBeQuarantined() bool { return !c.in.Scoring }

// quarantined reports whether the request has been quarantined since it was admitted.
func (c *call) quarantined() bool {
	if !c.mayBeQuarantined() {
		return false
	}
	verdict, _ := c.f.quarantine.check(c.fingerprint)
	if verdict == quarantine.Suspect {
		c.f.quarantine.endTrial(c.fingerprint)
	}
	return verdict == quarantine.Refuse
}

func (c *call) hedgeDelay() time.Duration {
	return max(time.Duration(hedgeDelayShare*float64(c.route.Objective)), minHedgeDelay)
}

// allDraining reports whether all endpoints of a service are draining, so that no request to it
// can be served until a new one registers.
func (f *Forwarder) allDraining(service string) (all bool) {
	f.fleet.WithTable(func(t *placement.Table) { all = t.AllDraining(service) })
	return all
}

// sendWhenAvailable sends the request to an endpoint and waits for a short time if none is
// usable. It returns an error if this host can no longer finish the request.
func (c *call) sendWhenAvailable(ctx context.Context, results chan<- attemptResult) error {
	var stopErr error
	err := c.awaitEndpoint(ctx, func() bool {
		stopErr = c.checkStop()
		return stopErr != nil || c.trySend(ctx, results, false)
	})
	return cmp.Or(stopErr, err)
}

// trySend sends the request to an endpoint if one is usable, and reports whether it did.
// A hedge is sent only to an endpoint with a free slot.
func (c *call) trySend(ctx context.Context, results chan<- attemptResult, hedge bool) bool {
	e, ok := c.f.fleet.Pick(placement.Query{Service: c.service, Avoid: c.tried, FreeSlot: hedge})
	if !ok {
		if len(c.tried) > 0 && !hedge {
			c.tried = nil // every endpoint was tried, so all may be tried again
		}
		return false
	}
	c.tried = append(c.tried, e.ID)
	c.sent++
	c.lastEndpoint = e.ID
	go func() {
		began := time.Now()
		ended := c.usage.Sent()
		answer, err := c.f.client.Do(ctx, backend.Request{
			Endpoint: e, ID: c.in.ID, Host: c.in.Host, Method: c.in.Method, URI: c.in.URI,
			Header: c.in.Header, Body: c.in.Body, Deadline: c.deadline, Repeatable: idempotent(c.route), Team: c.in.Team,
		})
		ended(err == nil, errors.Is(err, backend.ErrNotRun))
		took := time.Since(began)
		if errors.Is(context.Cause(ctx), errHedgeLost) && err != nil && !errors.Is(err, backend.ErrPathLost) {
			// An endpoint that never answers is detected only when another endpoint answers
			// its request first. Two such attempts in a row eject it for some time.
			c.f.fleet.End(e, placement.Broken, 0)
		} else {
			c.f.recordOutcome(e, err, ctx.Err() != nil, took)
		}
		if ctx.Err() == nil && c.mayBeQuarantined() {
			c.f.checkForCrash(c.fingerprint, e, began, err)
		}
		results <- attemptResult{endpoint: e, answer: answer, err: err, took: took}
	}()
	return true
}

// lowestUrgency is the highest value of the urgency scale of engines, on which 0 is the
// most urgent.
const lowestUrgency = 9
