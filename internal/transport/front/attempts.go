package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/batchrun"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// probeDelay is how long a stream may be silent before its endpoint is probed with a new
	// connection. Engines that are slow or full still accept connections.
	probeDelay = 600 * time.Millisecond
	// minTimeBeforeMove is how long a sample runs at an endpoint before it may move.
	minTimeBeforeMove = 500 * time.Millisecond
	// serviceTimeEvents is the number of events over which an endpoint's service time is
	// averaged. It is small, because moving a sample needlessly costs less than leaving it
	// at a slow endpoint.
	serviceTimeEvents = 3
	// minEventsBeforeMove is the number of events that a sample must have received from an
	// endpoint before it may move.
	minEventsBeforeMove = 3
	// spareUrgency is added to the urgency value of samples that the trainer does not wait
	// for, which makes them less urgent.
	spareUrgency = 1
)

// errVersionNotAllowed ends a stream whose weights version is older than the batch allows,
// or differs from that of earlier events if the route requires a single version.
var errVersionNotAllowed = errors.New("stream event has a weights version that the batch does not allow")

// maxSampleBytes bounds the output of a sample: an entry of the log must hold it.
const maxSampleBytes = maxPartBytes

// errSampleTooLong ends a stream with more output than a sample can have. An endpoint in trouble may send events without
// end, and which of them are the sample's is not known.
var errSampleTooLong = errors.New("the output of the sample is too long")

// attempt is one run of a sample at an endpoint. The goroutine of the attempt writes the
// atomic fields and those under mu; the goroutine of the batch reads them.
type attempt struct {
	endpoint catalog.Endpoint
	began    time.Time
	events   atomic.Int64
	// lastEvent is when the last event was received.
	lastEvent instant
	// longestGapMs is the longest time between two events in milliseconds.
	longestGapMs atomic.Int64
	cancel       context.CancelFunc
	// reading is the reading of the sample's prompt, nil if its length is unknown; firstEventMs is
	// the time to the first event in milliseconds.
	reading      *placement.Reading
	firstEventMs atomic.Int64

	// moving is set once the attempt is cancelled because the sample moves. Only the goroutine
	// of the batch uses it.
	moving bool

	mu      sync.Mutex
	partial batchrun.Partial
}

// attemptEnd is the outcome of an attempt, sent to the goroutine of the batch.
type attemptEnd struct {
	sample  int
	outcome batchrun.AttemptOutcome
	partial batchrun.Partial
	err     error
}

// startAttempt starts an attempt of a sample at an endpoint returned by Fleet.Pick, which has
// already counted the request.
func (a *activeBatch) startAttempt(i int, e catalog.Endpoint, route *catalog.Route, partial batchrun.Partial) {
	ctx, cancel := context.WithCancel(a.ctx)
	at := &attempt{endpoint: e, began: time.Now(), cancel: cancel, partial: partial}
	at.lastEvent.set(at.began)
	at.reading = a.parent.runner.fleet.BeginReading(e, a.samplePrompt(a.run.Sample(i), partial.Events))
	a.attempts[i] = at
	a.run.Started(i, e.ID)
	urgency := a.parent.runner.forwarder.forTeam(route, a.batch.Team).Urgency
	if a.run.IsSpare(i) {
		urgency += spareUrgency
	}
	g := a.generateRequest(i, e, partial.Events)
	g.Urgency = min(urgency, lowestUrgency)
	a.log.Debug("Sample attempt started", "sample", g.ID, "endpoint", e.ID, "resume_after", partial.Events)
	go func() {
		defer cancel()
		a.ends <- a.runAttempt(ctx, at, i, g)
	}()
}

// generateRequest returns the request for a sample at an endpoint. The endpoint continues the
// sample after the given number of events.
func (a *activeBatch) generateRequest(i int, e catalog.Endpoint, resumeAfter int) backend.GenerateRequest {
	sample := a.run.Sample(i)
	header := make(http.Header, len(sample.Header))
	for k, v := range sample.Header {
		header.Set(k, v)
	}
	return backend.GenerateRequest{
		Request: backend.Request{
			Endpoint: e, ID: sample.ID, Host: a.batch.Host, Method: http.MethodPost, URI: sample.Path,
			Header: header, Body: sample.Body, Deadline: time.Now().Add(a.sampleTTL - a.age()), Team: a.batch.Team,
		},
		ResumeAfter: resumeAfter,
	}
}

// runAttempt runs a sample at an endpoint and returns how the attempt ended.
func (a *activeBatch) runAttempt(ctx context.Context, at *attempt, i int, g backend.GenerateRequest) attemptEnd {
	fleet := a.parent.runner.fleet
	singleVersion := a.singleVersion()
	received, windowStart, last := 0, time.Time{}, time.Now()
	output := &at.partial
	err := a.parent.runner.client.Generate(ctx, g, func(e backend.Event) error {
		if e.Version < a.batch.MinVersion || singleVersion && output.Events > 0 && output.Versions[0] != e.Version {
			fleet.WithTable(func(t *placement.Table) { t.RecordVersion(g.Endpoint.ID, a.batch.Model, e.Version) })
			return errVersionNotAllowed
		}
		if output.Size()+len(e.Data) >= maxSampleBytes {
			return errors.Join(backend.ErrIncompleteAnswer, errSampleTooLong)
		}
		at.mu.Lock()
		output.Add(e.Data, e.Version, g.Endpoint.Software)
		at.mu.Unlock()
		now := time.Now()
		at.events.Add(1)
		at.lastEvent.set(now)
		received++
		if gap := now.Sub(last).Milliseconds(); received > 1 && gap > at.longestGapMs.Load() {
			at.longestGapMs.Store(gap)
		}
		last = now
		if received == 1 {
			windowStart = now
			at.firstEventMs.Store(fleet.PromptRead(at.reading).Milliseconds())
		} else if (received-1)%serviceTimeEvents == 0 {
			took := now.Sub(windowStart) / serviceTimeEvents
			fleet.WithTable(func(t *placement.Table) { t.RecordServiceTime(now, g.Endpoint.ID, took) })
			windowStart = now
		}
		return nil
	})
	fleet.EndReading(at.reading)
	if errors.Is(err, errSampleTooLong) {
		at.mu.Lock()
		*output = batchrun.Partial{}
		at.mu.Unlock()
	}
	attemptOutcome, endpointOutcome := classify(ctx, err, received)
	if attemptOutcome == batchrun.NotRun && errors.Is(err, backend.ErrUnreachable) && ctx.Err() == nil || errors.Is(err, backend.ErrReplaced) {
		fleet.WithTable(func(t *placement.Table) { t.Eject(time.Now(), g.Endpoint.ID) })
	}
	fleet.End(g.Endpoint, endpointOutcome, 0)
	return attemptEnd{sample: i, outcome: attemptOutcome, partial: *output, err: err}
}

func (a *activeBatch) singleVersion() bool {
	route := a.route(a.batch.Host, a.batch.Path)
	return route != nil && route.SingleVersion
}

// classify returns the outcomes that an attempt with this error and number of received events
// has for the batch run and for its endpoint.
func classify(ctx context.Context, err error, events int) (batchrun.AttemptOutcome, placement.Outcome) {
	switch {
	case err == nil:
		return batchrun.Complete, placement.OK
	case errors.Is(err, errVersionNotAllowed):
		return batchrun.Interrupted, placement.Cancelled
	case errors.Is(err, backend.ErrInvalidRequest):
		return batchrun.Invalid, placement.OK
	case errors.Is(err, backend.ErrFailed):
		return batchrun.Failed, placement.OK
	case errors.Is(err, backend.ErrNotRun):
		return batchrun.NotRun, placement.Refused
	case ctx.Err() != nil, errors.Is(err, backend.ErrPathLost):
		return batchrun.Interrupted, placement.Cancelled
	case events == 0:
		return batchrun.Crashed, placement.Broken
	}
	return batchrun.Interrupted, placement.Broken
}

func (a *activeBatch) attemptEnded(e attemptEnd) {
	at := a.attempts[e.sample]
	delete(a.attempts, e.sample)
	sample := a.run.Sample(e.sample)
	if now, took := time.Now(), time.Since(at.began); e.outcome == batchrun.Complete && int(at.events.Load()) == e.partial.Events {
		a.parent.runner.fleet.WithTable(func(t *placement.Table) { t.RecordSample(now, at.endpoint, sample.ExpectedTokens, took) })
	}
	a.run.Ended(time.Now(), e.sample, e.outcome, e.partial)
	unread, ahead := 0, 0
	if at.reading != nil {
		unread, ahead = at.reading.Unread, at.reading.Ahead
	}
	a.log.Info("Sample attempt ended", "sample", sample.ID, "endpoint", at.endpoint.ID, "software", at.endpoint.Software,
		"events", e.partial.Events, "versions", e.partial.Versions, "took_ms", time.Since(at.began).Milliseconds(),
		"longest_gap_ms", at.longestGapMs.Load(), "expected_tokens", sample.ExpectedTokens,
		"first_event_ms", at.firstEventMs.Load(), "prompt_unread", unread, "prompt_ahead", ahead, "err", e.err)
	if e.outcome == batchrun.Complete && sample.Scoring != nil {
		go a.score(e.sample, sample.Scoring)
	}
}

// checkAttempts cancels attempts that have stalled or whose endpoint is unreachable. It also
// saves unfinished samples when that is due.
func (a *activeBatch) checkAttempts() {
	now := time.Now()
	a.run.Expire(a.age())
	if now.Sub(a.savedAt) > saveInterval {
		a.savedAt = now
		a.saveAsync()
	}
	var stalled []string
	for i, at := range a.attempts {
		if limit, _ := a.stallTimeouts(now, i, at); at.silence(now) > limit && !slices.Contains(stalled, at.endpoint.ID) {
			stalled = append(stalled, at.endpoint.ID)
		}
	}
	if a.parent.runner.cutOff() {
		stalled = nil // the peer through which a stream goes may have stalled
	}
	for _, id := range stalled {
		a.parent.runner.fleet.WithTable(func(t *placement.Table) { t.Eject(now, id) })
		a.log.Warn("Endpoint ejected after a stalled stream", "endpoint", id)
	}
	for i, at := range a.attempts {
		limit, suspectLimit := a.stallTimeouts(now, i, at)
		if slices.Contains(stalled, at.endpoint.ID) {
			limit = suspectLimit
		}
		if silent := at.silence(now); silent > limit || silent > probeDelay && a.unreachable(now, at) {
			at.cancel()
		}
	}
}

// silence returns the time since the last event.
func (at *attempt) silence(now time.Time) time.Duration {
	return now.Sub(at.lastEvent.time())
}

// stallTimeouts returns how long an attempt's stream may be silent; see batchrun.StallTimeouts.
func (a *activeBatch) stallTimeouts(now time.Time, i int, at *attempt) (stall, suspect time.Duration) {
	var interval time.Duration
	a.parent.runner.fleet.WithTable(func(t *placement.Table) {
		endpoint, baseline := t.ServiceTime(now, at.endpoint.ID)
		interval = max(endpoint, baseline)
	})
	return a.run.StallTimeouts(i, interval)
}

// probe is a connection attempt to an endpoint with a silent stream.
type probe struct {
	began  time.Time
	failed atomic.Bool
}

// unreachable reports whether the probe of a silent stream's endpoint has failed. It starts
// one probe for each period of silence.
func (a *activeBatch) unreachable(now time.Time, at *attempt) bool {
	p := a.probes[at.endpoint.ID]
	if p != nil && p.began.After(at.lastEvent.time()) {
		return p.failed.Load()
	}
	p = &probe{began: now}
	a.probes[at.endpoint.ID] = p
	go func() {
		err := a.parent.runner.client.CheckConnection(a.ctx, at.endpoint)
		if err == nil || a.ctx.Err() != nil {
			return
		}
		p.failed.Store(true)
		if errors.Is(err, backend.ErrPathLost) {
			return
		}
		a.parent.runner.fleet.WithTable(func(t *placement.Table) { t.Eject(time.Now(), at.endpoint.ID) })
		a.log.Warn("Endpoint of a silent stream unreachable", "endpoint", at.endpoint.ID, "err", err)
	}()
	return false
}

// shouldMove reports whether a sample runs at a slow endpoint while one that is faster by
// minMoveSpeedup has a free slot.
func (a *activeBatch) shouldMove(now time.Time, i int, at *attempt) bool {
	if now.Sub(at.began) < minTimeBeforeMove || at.events.Load() < minEventsBeforeMove {
		return false
	}
	if a.route(a.batch.Host, a.run.Sample(i).Path) == nil {
		return false // the sample could not start again
	}
	move := false
	a.parent.runner.fleet.WithTable(func(t *placement.Table) {
		slow, usual := t.ServiceTime(now, at.endpoint.ID)
		if !a.run.WorthMoving(i, int(at.events.Load()), batchrun.SlowOffer{Slow: slow, Usual: usual, TokenTime: t.TokenTime(at.endpoint.Service)}) {
			return
		}
		move = t.ShouldMove(now, at.endpoint.ID, placement.Query{
			Service: at.endpoint.Service, Model: a.batch.Model, MinVersion: a.batch.MinVersion, FreeSlot: true,
			Software: at.endpoint.Software, Prompt: a.samplePrompt(a.run.Sample(i), int(at.events.Load())),
		})
	})
	return move
}

// moveFromSlowEndpoint cancels the sample with the most work left among those that should move,
// and reports whether there was one. It is called before waiting samples start: they would
// otherwise take each slot at a fast endpoint the moment it is free.
func (a *activeBatch) moveFromSlowEndpoint(now time.Time) bool {
	var move *attempt
	most := 0
	for i, at := range a.attempts {
		if tokens := a.run.Sample(i).ExpectedTokens; (move == nil || tokens > most) && !at.moving && a.shouldMove(now, i, at) {
			move, most = at, tokens
		}
	}
	if move == nil {
		return false
	}
	move.moving = true
	move.cancel()
	return true
}
