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
	// stallLimit is how long a stream may be silent: long enough for an engine that is
	// several times slower than usual and reads a preempted prompt again.
	stallLimit = 2200 * time.Millisecond
	// deadLimit is the same for a stream whose endpoint has stalled another one.
	deadLimit = 900 * time.Millisecond
	// probeAfter is how long a stream may be silent before a connection to its endpoint is
	// tried; engines that are slow or full still accept one.
	probeAfter = 600 * time.Millisecond
	// moveGain is how much faster another endpoint must be for a slow one's samples to be
	// moved to it.
	moveGain = 1.4
	// minStay is how long a sample stays at an endpoint before it is moved again.
	minStay = 500 * time.Millisecond
	// paceEvents is the number of events over which an endpoint's pace is measured: few, as
	// a sample that is moved in vain costs less than one that stays with a slow endpoint.
	paceEvents = 3
	// usefulEvents is the number of events that must be expected still for a sample to
	// be worth moving.
	usefulEvents = 3
	// spareUrgency is added to the rank of samples that the trainer does not wait for.
	spareUrgency = 1
)

// errStaleVersion ends a stream whose weights are not those that the batch allows.
var errStaleVersion = errors.New("the weights are of a version that the batch does not allow")

// attempt is a sample's run at an endpoint. Its goroutine writes what is atomic or under
// mu; the batch's goroutine reads it.
type attempt struct {
	endpoint catalog.Endpoint
	began    time.Time
	events   atomic.Int64
	// lastEvent is the Unix time of the last event in nanoseconds.
	lastEvent atomic.Int64
	// longestGapMs is the longest pause between two events in milliseconds.
	longestGapMs atomic.Int64
	cancel       context.CancelFunc

	mu      sync.Mutex
	partial batchrun.Partial
}

// attemptEnd tells the batch's goroutine how an attempt ended.
type attemptEnd struct {
	sample  int
	end     batchrun.End
	partial batchrun.Partial
	err     error
}

// begin sends a sample to an endpoint that Pick has counted it at.
func (a *activeBatch) begin(i int, e catalog.Endpoint, route *catalog.Route, partial batchrun.Partial) {
	ctx, cancel := context.WithCancel(a.ctx)
	at := &attempt{endpoint: e, began: time.Now(), cancel: cancel, partial: partial}
	at.lastEvent.Store(at.began.UnixNano())
	a.attempts[i] = at
	a.run.Started(i, e.ID)
	urgency := route.Priority
	if a.run.Spare(i) {
		urgency += spareUrgency
	}
	g := a.generate(i, e, partial.Events)
	g.Urgency = min(urgency, lowestUrgency)
	a.log.Debug("A sample starts.", "sample", g.ID, "endpoint", e.ID, "resume_after", partial.Events)
	go func() {
		defer cancel()
		a.ends <- a.attempt(ctx, at, i, g)
	}()
}

func (a *activeBatch) generate(i int, e catalog.Endpoint, resumeAfter int) backend.Generate {
	sample := a.run.Sample(i)
	header := make(http.Header, len(sample.Header))
	for k, v := range sample.Header {
		header.Set(k, v)
	}
	return backend.Generate{
		Request: backend.Request{
			Endpoint: e, ID: sample.ID, Host: a.batch.Host, Method: http.MethodPost, URI: sample.Path,
			Header: header, Body: sample.Body, Deadline: a.giveUpAt,
		},
		ResumeAfter: resumeAfter,
	}
}

// attempt runs a sample at an endpoint and returns how that ended.
func (a *activeBatch) attempt(ctx context.Context, at *attempt, i int, g backend.Generate) attemptEnd {
	fleet := a.owner.runner.fleet
	single := a.single()
	first, measured, last := 0, time.Time{}, time.Now()
	p := &at.partial
	err := a.owner.runner.client.Generate(ctx, g, func(e backend.Event) error {
		if e.Version < a.batch.MinVersion || single && p.Events > 0 && p.Versions[0] != e.Version {
			fleet.With(func(t *placement.Table) { t.RecordVersion(g.Endpoint.ID, a.batch.Model, e.Version) })
			return errStaleVersion
		}
		at.mu.Lock()
		p.Add(e.Data, e.Version)
		at.mu.Unlock()
		now := time.Now()
		at.events.Add(1)
		at.lastEvent.Store(now.UnixNano())
		first++
		if gap := now.Sub(last).Milliseconds(); first > 1 && gap > at.longestGapMs.Load() {
			at.longestGapMs.Store(gap)
		}
		last = now
		if first == 1 {
			measured = now
		} else if (first-1)%paceEvents == 0 {
			took := now.Sub(measured) / paceEvents
			fleet.With(func(t *placement.Table) { t.RecordServiceTime(now, g.Endpoint.ID, took) })
			measured = now
		}
		return nil
	})
	end, failure := classify(ctx, err, first)
	if end == batchrun.NotRun && errors.Is(err, backend.ErrUnreachable) && ctx.Err() == nil || errors.Is(err, backend.ErrReplaced) {
		fleet.With(func(t *placement.Table) { t.Eject(time.Now(), g.Endpoint.ID) })
	}
	fleet.End(g.Endpoint.ID, failure, 0)
	return attemptEnd{sample: i, end: end, partial: *p, err: err}
}

func (a *activeBatch) single() bool {
	route := a.route(a.batch.Host, a.batch.Path)
	return route != nil && route.SingleVersion
}

// classify maps an attempt's error. events is the number of events that it brought.
func classify(ctx context.Context, err error, events int) (batchrun.End, placement.Outcome) {
	switch {
	case err == nil:
		return batchrun.Complete, placement.OK
	case errors.Is(err, errStaleVersion):
		return batchrun.Interrupted, placement.Cancelled
	case errors.Is(err, backend.ErrInvalid):
		return batchrun.Invalid, placement.OK
	case errors.Is(err, backend.ErrFailed):
		return batchrun.Failed, placement.OK
	case errors.Is(err, backend.ErrNotRun):
		return batchrun.NotRun, placement.Refused
	case ctx.Err() != nil:
		return batchrun.Interrupted, placement.Cancelled
	case events == 0:
		return batchrun.Crashed, placement.Broken
	}
	return batchrun.Interrupted, placement.Broken
}

func (a *activeBatch) attemptEnded(e attemptEnd) {
	at := a.attempts[e.sample]
	delete(a.attempts, e.sample)
	a.run.Ended(time.Now(), e.sample, e.end, e.partial)
	sample := a.run.Sample(e.sample)
	a.log.Info("A sample's attempt ended.", "sample", sample.ID, "endpoint", at.endpoint.ID,
		"events", e.partial.Events, "versions", e.partial.Versions, "took_ms", time.Since(at.began).Milliseconds(),
		"longest_gap_ms", at.longestGapMs.Load(), "expected_tokens", sample.ExpectedTokens, "err", e.err)
	if e.end == batchrun.Complete && sample.Scoring != nil {
		go a.score(e.sample, sample.Scoring)
	}
}

// inspect ends attempts that stand still or are much slower than they need to be.
func (a *activeBatch) inspect() {
	now := time.Now()
	a.run.Expire(now)
	if now.Sub(a.proved) > proveEvery {
		a.proved = now
		go a.proveOwnership()
	}
	if now.Sub(a.savedAt) > saveEvery {
		a.savedAt = now
		a.saveSoon()
	}
	var stalled []string
	for _, at := range a.attempts {
		if now.Sub(time.Unix(0, at.lastEvent.Load())) > stallLimit && !slices.Contains(stalled, at.endpoint.ID) {
			stalled = append(stalled, at.endpoint.ID)
		}
	}
	for _, id := range stalled {
		a.owner.runner.fleet.With(func(t *placement.Table) { t.Eject(now, id) })
		a.log.Warn("An endpoint stands still.", "endpoint", id)
	}
	for i, at := range a.attempts {
		silent := now.Sub(time.Unix(0, at.lastEvent.Load()))
		if silent > stallLimit || silent > probeAfter && a.unreachable(now, at) || silent > deadLimit && slices.Contains(stalled, at.endpoint.ID) || a.worthMoving(now, i, at) {
			at.cancel()
		}
	}
}

// probe is the try of a connection to an endpoint whose streams are silent.
type probe struct {
	began  time.Time
	failed atomic.Bool
}

// unreachable reports whether a connection to a silent stream's endpoint was tried in
// vain, and tries one for each silence.
func (a *activeBatch) unreachable(now time.Time, at *attempt) bool {
	p := a.probes[at.endpoint.ID]
	if p != nil && p.began.UnixNano() > at.lastEvent.Load() {
		return p.failed.Load()
	}
	p = &probe{began: now}
	a.probes[at.endpoint.ID] = p
	go func() {
		err := a.owner.runner.client.Reach(a.ctx, at.endpoint)
		if err == nil || a.ctx.Err() != nil {
			return
		}
		p.failed.Store(true)
		a.owner.runner.fleet.With(func(t *placement.Table) { t.Eject(time.Now(), at.endpoint.ID) })
		a.log.Warn("The endpoint of a silent stream cannot be reached.", "endpoint", at.endpoint.ID, "err", err)
	}()
	return false
}

// worthMoving reports whether a sample runs at a slow endpoint while a faster one has
// room.
func (a *activeBatch) worthMoving(now time.Time, i int, at *attempt) bool {
	if now.Sub(at.began) < minStay || at.events.Load() < usefulEvents {
		return false
	}
	route := a.route(a.batch.Host, a.run.Sample(i).Path)
	if route == nil {
		return false
	}
	moving := false
	a.owner.runner.fleet.With(func(t *placement.Table) {
		if !t.IsSlow(now, at.endpoint.ID) {
			return
		}
		other, ok := t.Pick(now, placement.Query{
			Service: at.endpoint.Service, Model: a.batch.Model, MinVersion: a.batch.MinVersion,
			FreeSlot: true, Avoid: []string{at.endpoint.ID},
		}, 0)
		if !ok {
			return
		}
		own, _ := t.ServiceTime(now, at.endpoint.ID)
		pace, _ := t.ServiceTime(now, other.ID)
		moving = float64(own) > moveGain*float64(pace)
	})
	return moving
}
