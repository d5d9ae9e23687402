package front

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/batchrun"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// runnerTick is the pause between looks at stalled and slow samples.
	runnerTick = 100 * time.Millisecond
	// proveEvery is how often an owner makes sure that it still owns an open batch and
	// that the trainer has not ended it.
	proveEvery = 2200 * time.Millisecond
	// stallLimit is how long a stream may be silent: longer than a load of weights
	// during which samples stand still.
	stallLimit = 2200 * time.Millisecond
	// deadLimit is the same for a stream whose endpoint has stalled another one.
	deadLimit = 900 * time.Millisecond
	// slowFactor is how much slower than usual an endpoint must be for its samples to
	// be moved to another one; the other must be faster by moveGain.
	slowFactor = 1.6
	moveGain   = 1.4
	// minStay is how long a sample stays at an endpoint before it is moved again.
	minStay = 500 * time.Millisecond
	// paceEvents is the number of events over which an endpoint's pace is measured.
	paceEvents = 6
	// flushEvery is how long results are gathered for one entry of a log, unless they are
	// the last that the trainer waits for. A trainer that is answered with a few results
	// asks again only after a pause, so fewer and larger entries reach it sooner.
	flushEvery = 500 * time.Millisecond
	// appendPause is the pause before an append that failed is tried again.
	appendPause = 250 * time.Millisecond
	// scoreTimeout bounds one try of a scoring request.
	scoreTimeout = 2 * time.Second
	// scorePause is the pause before a scoring request is sent again.
	scorePause = 60 * time.Millisecond
	// usefulEvents is the number of events that must be expected still for a sample to
	// be worth moving.
	usefulEvents = 3
	// saveEvery is the pause between savings of the text of unfinished samples, so that
	// their next owner need not generate it again.
	saveEvery = 1500 * time.Millisecond
	// savedEvents is the number of events from which a sample's text is worth saving:
	// about two seconds of an engine's work.
	savedEvents = 50
	// handedEvents is the same when the batch is handed over, which happens once.
	handedEvents = 5
	// spareUrgency is added to the rank of samples that the trainer does not wait for.
	spareUrgency = 1
)

// errStaleVersion ends a stream whose weights are not those that the batch allows.
var errStaleVersion = errors.New("the weights are of a version that the batch does not allow")

// runnerDeps is what running batches needs of the host.
type runnerDeps struct {
	fleet          *Fleet
	client         backend.Client
	forwarder      *Forwarder
	storeReachable func() bool
}

// activeBatch is a batch that this host runs. Its state belongs to the goroutine of
// runUntilDone; attempts and scoring report to it over channels.
type activeBatch struct {
	owner    *Batches
	manifest batches.Manifest
	batch    *batches.Batch
	results  *listing
	log      *slog.Logger

	run      *batchrun.Run
	attempts map[int]*attempt
	ends     chan attemptEnd
	scores   chan scoreEnd
	pending  chan []batches.Result
	// urgent asks for the pending results to be listed now: the trainer waits for them.
	urgent chan struct{}
	// savedAt, saving and savedVersion belong to the saving of unfinished samples.
	savedAt      time.Time
	saving       sync.Mutex
	savedVersion uint64
	// carried are the groups that an earlier batch left unfinished, as far as known.
	carried map[string]bool
	// resumed says that another process has run the batch before.
	resumed bool
	proving atomic.Bool
	proved  time.Time
	stopped atomic.Bool
	// ended says that the trainer wants no more.
	ended  atomic.Bool
	cancel context.CancelFunc
	ctx    context.Context
}

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

type attemptEnd struct {
	sample  int
	end     batchrun.End
	partial batchrun.Partial
	err     error
}

type scoreEnd struct {
	sample int
	score  string
	// failed says that the scoring request ran and failed.
	failed bool
}

func newActiveBatch(m storedManifest, b *batches.Batch, carried map[string]bool, entries []batches.LogEntry, owner *Batches) *activeBatch {
	a := &activeBatch{
		owner: owner, manifest: m.Manifest, batch: b, results: newListing(len(b.Samples), entries),
		log: owner.log.With("batch", m.ID), attempts: map[int]*attempt{},
		ends:    make(chan attemptEnd, len(b.Samples)+1),
		scores:  make(chan scoreEnd, len(b.Samples)+1),
		pending: make(chan []batches.Result, len(b.Samples)+1),
		urgent:  make(chan struct{}, 1),
		proved:  time.Now(),
		savedAt: time.Now(),
		resumed: entries != nil,
		carried: carried,
	}
	a.ctx, a.cancel = context.WithCancel(owner.base)
	return a
}

// halt ends the work on the batch; results that are ready are still listed.
func (a *activeBatch) halt(why string) {
	if a.stopped.CompareAndSwap(false, true) {
		a.log.Info("A batch stops.", "reason", why)
		a.cancel()
	}
}

func (a *activeBatch) finished() bool { return a.stopped.Load() || a.results.full() }

func (a *activeBatch) incomplete() bool { return !a.results.full() }

func (a *activeBatch) options() batchrun.Options {
	opt := batchrun.Options{
		GiveUpAt: a.manifest.Accepted().Add(defaultSampleTTL), MaxFailures: defaultFailures, MaxScoreFailures: defaultFailures,
		Carried: a.carried,
	}
	if route := a.route(a.batch.Host, a.batch.Path); route != nil {
		if route.SampleTTL > 0 {
			opt.GiveUpAt = a.manifest.Accepted().Add(route.SampleTTL)
		}
		opt.MaxFailures, opt.SingleVersion = route.MaxAttempts, route.SingleVersion
		opt.MaxScoreFailures = max(opt.MaxScoreFailures, route.MaxAttempts)
	}
	for i := range a.batch.Samples {
		if sc := a.batch.Samples[i].Scoring; sc != nil {
			if route := a.route(sc.Host, sc.Path); route != nil {
				opt.MaxScoreFailures = max(opt.MaxScoreFailures, route.MaxAttempts)
			}
			break
		}
	}
	return opt
}

const (
	// defaultSampleTTL and defaultFailures hold where the route does not say.
	defaultSampleTTL = 40 * time.Second
	defaultFailures  = 3
)

func (a *activeBatch) route(host, path string) *catalog.Route {
	config := a.owner.catalog.Config()
	if config == nil {
		return nil
	}
	return config.Match(host, path)
}

// runUntilDone runs the batch until every result is listed or it is halted.
func (a *activeBatch) runUntilDone(base context.Context) {
	defer a.cancel()
	a.run = batchrun.New(a.batch, a.options(), a.results.ids())
	a.restore()
	written := make(chan struct{})
	go func() {
		defer close(written)
		a.writeLog(base)
	}()
	ticker := time.NewTicker(runnerTick)
	defer ticker.Stop()
	for a.ctx.Err() == nil && a.run.Open() > 0 {
		changed := a.owner.runner.fleet.Changed()
		a.startSamples()
		select {
		case <-a.ctx.Done():
		case e := <-a.ends:
			a.attemptEnded(e)
			a.drainEnds()
		case s := <-a.scores:
			a.scored(s)
		case <-changed:
		case <-ticker.C:
			a.inspect()
		}
		a.flush()
	}
	if a.stopped.Load() && a.owner.draining() {
		a.saveNow()
	}
	for _, at := range a.attempts {
		at.cancel()
	}
	a.flush()
	close(a.pending)
	<-written
	if a.ended.Load() {
		a.seal(base)
	}
	a.results.close()
	a.log.Info("A batch is done at this host.", "listed", len(a.results.ids()), "total", a.results.total,
		"age_ms", time.Since(a.manifest.Accepted()).Milliseconds())
	if a.results.full() {
		a.linger()
	}
}

// linger keeps the results at hand until the trainer has ended the batch.
func (a *activeBatch) linger() {
	for a.ctx.Err() == nil && time.Since(a.manifest.Accepted()) < a.owner.settings.Retention {
		select {
		case <-a.ctx.Done():
		case <-time.After(proveEvery):
			a.proveOwnership()
		}
	}
}

// drainEnds takes all ends that are there, so that a burst of them is one step.
func (a *activeBatch) drainEnds() {
	for {
		select {
		case e := <-a.ends:
			a.attemptEnded(e)
		default:
			return
		}
	}
}

func (a *activeBatch) flush() {
	results := a.run.TakeResults()
	if len(results) == 0 {
		return
	}
	if a.run.Satisfied() {
		select {
		case a.urgent <- struct{}{}:
		default:
		}
	}
	a.pending <- results // has room for every sample's result
}

// startSamples starts what can be started now.
func (a *activeBatch) startSamples() {
	now := time.Now()
	for {
		i, ok := a.run.Next(now)
		if !ok {
			return
		}
		sample := a.run.Sample(i)
		route := a.route(a.batch.Host, sample.Path)
		if route == nil {
			a.run.Postponed(now, i)
			continue
		}
		q := placement.Query{
			Service: route.Pick(rand.Uint64()), Model: a.batch.Model, MinVersion: a.batch.MinVersion,
			FreeSlot: true, Prefer: a.run.Home(i),
		}
		e, ok := a.owner.runner.fleet.Pick(q)
		if !ok {
			return // a change in the fleet starts the next round
		}
		a.begin(i, e, route, a.run.Resume(i, e.Versions[a.batch.Model]))
	}
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
			Header: header, Body: sample.Body, Deadline: a.options().GiveUpAt,
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
			fleet.With(func(t *placement.Table) { t.SeenVersion(g.Endpoint.ID, a.batch.Model, e.Version) })
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
			fleet.With(func(t *placement.Table) { t.Measured(now, g.Endpoint.ID, took) })
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
func classify(ctx context.Context, err error, events int) (batchrun.End, placement.Failure) {
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
	case events > 0:
		return batchrun.Interrupted, placement.Broke
	}
	return batchrun.Crashed, placement.Broke
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

// score sends the scoring request until it succeeds or fails for good.
func (a *activeBatch) score(i int, sc *batches.Scoring) {
	for a.ctx.Err() == nil {
		signature, failed, err := a.scoreOnce(sc)
		if err == nil {
			a.scores <- scoreEnd{sample: i, score: signature}
			return
		}
		a.log.Info("A scoring request did not succeed.", "request", sc.ID, "ran", failed, "err", err)
		if failed {
			a.scores <- scoreEnd{sample: i, failed: true}
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(scorePause):
		}
	}
}

func (a *activeBatch) scoreOnce(sc *batches.Scoring) (signature string, failed bool, err error) {
	route, err := a.owner.runner.forwarder.Route(sc.Host, sc.Path)
	if err != nil {
		return "", false, err
	}
	once := *route
	once.Kind, once.MaxAttempts = catalog.KindSafe, 2 // a late answer is asked for at a second endpoint
	answer, err := a.owner.runner.forwarder.Forward(a.ctx, &once, &Inbound{
		ID: sc.ID, Host: sc.Host, Method: http.MethodPost, URI: sc.Path, Path: sc.Path,
		Header: http.Header{}, Body: sc.Body, Budget: scoreTimeout,
	})
	switch {
	case err != nil:
		return "", false, err
	case answer.Status/100 == 2:
		return answer.Signature, false, nil
	}
	return "", answer.Status == http.StatusInternalServerError, refusal(resultcode.EndpointRefused, http.StatusText(answer.Status))
}

func (a *activeBatch) scored(s scoreEnd) {
	if !s.failed {
		a.run.Scored(s.sample, s.score)
		return
	}
	if a.run.ScoreFailed(s.sample) {
		go a.score(s.sample, a.run.Sample(s.sample).Scoring)
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
		if silent > stallLimit || silent > deadLimit && slices.Contains(stalled, at.endpoint.ID) || a.worthMoving(now, i, at) {
			at.cancel()
		}
	}
}

// saveSoon saves unfinished samples without waiting for the store. It does nothing while
// an earlier saving is under way.
func (a *activeBatch) saveSoon() {
	samples := a.unfinished(savedEvents)
	if len(samples) == 0 || !a.saving.TryLock() {
		return
	}
	go func() {
		defer a.saving.Unlock()
		a.save(samples)
	}()
}

// saveNow saves unfinished samples before the batch is handed over.
func (a *activeBatch) saveNow() {
	samples := a.unfinished(handedEvents)
	a.saving.Lock()
	defer a.saving.Unlock()
	a.save(samples)
}

// unfinished returns the text of unfinished samples of some length, the longest first
// and as many as one object holds.
func (a *activeBatch) unfinished(minEvents int) []savedSample {
	var samples []savedSample
	for i, at := range a.attempts {
		at.mu.Lock()
		if at.partial.Events >= minEvents {
			samples = append(samples, savedSample{ID: a.run.Sample(i).ID, Partial: at.partial.Clone()})
		}
		at.mu.Unlock()
	}
	for i := range a.batch.Samples {
		if p, ok := a.run.Waiting(i); ok && p.Events >= minEvents {
			samples = append(samples, savedSample{ID: a.run.Sample(i).ID, Partial: p})
		}
	}
	slices.SortFunc(samples, func(x, y savedSample) int { return cmp.Compare(y.Partial.Events, x.Partial.Events) })
	size := 0
	for n := range samples {
		if size += len(samples[n].Partial.Text); size > maxPartBytes {
			return samples[:n]
		}
	}
	return samples
}

// save replaces what is saved. The caller holds saving.
func (a *activeBatch) save(samples []savedSample) {
	if len(samples) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(a.owner.base, storePatience)
	defer cancel()
	version, err := a.owner.store.savePartials(ctx, a.manifest.ID, samples, a.savedVersion)
	if errors.Is(err, objectapi.ErrConflict) {
		// An earlier write whose answer was lost, or a former owner's.
		if _, a.savedVersion, err = a.owner.store.partials(ctx, a.manifest.ID); err == nil {
			version, err = a.owner.store.savePartials(ctx, a.manifest.ID, samples, a.savedVersion)
		}
	}
	if err != nil {
		a.log.Warn("Unfinished samples could not be saved.", "count", len(samples), "err", err)
		return
	}
	a.savedVersion = version
}

// restore takes up what an earlier owner saved.
func (a *activeBatch) restore() {
	if a.manifest.Epoch == 1 && !a.resumed {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, storePatience)
	defer cancel()
	samples, version, err := a.owner.store.partials(ctx, a.manifest.ID)
	if err != nil {
		a.log.Warn("Saved samples could not be read.", "err", err)
		return
	}
	a.savedVersion = version
	restored := 0
	for _, s := range samples {
		if a.run.Restore(s.ID, s.Partial) {
			restored++
		}
	}
	a.log.Info("Saved samples are continued.", "saved", len(samples), "continued", restored)
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
		own, usual := t.Pace(now, at.endpoint.ID)
		if own == 0 || float64(own) < slowFactor*float64(usual) {
			return
		}
		other, ok := t.Pick(now, placement.Query{
			Service: at.endpoint.Service, Model: a.batch.Model, MinVersion: a.batch.MinVersion,
			FreeSlot: true, Avoid: []string{at.endpoint.ID},
		}, 0)
		if !ok {
			return
		}
		pace, _ := t.Pace(now, other.ID)
		moving = float64(own) > moveGain*float64(pace)
	})
	return moving
}

// proveOwnership asks the store whether this host still owns the batch.
func (a *activeBatch) proveOwnership() {
	if !a.proving.CompareAndSwap(false, true) {
		return
	}
	defer a.proving.Store(false)
	if time.Since(a.results.proved()) < proveEvery/2 {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, storePatience)
	defer cancel()
	if err := a.owner.prove(ctx, a); err != nil && !errors.Is(err, errNotHere) && a.ctx.Err() == nil {
		a.log.Warn("The ownership of a batch could not be proved.", "err", err)
	}
}

// writeLog appends results to the log in groups until there are no more.
func (a *activeBatch) writeLog(ctx context.Context) {
	var queue []batches.Result
	for results := range a.pending {
		queue = append(queue, results...)
		queue = a.gather(queue)
		for len(queue) > 0 {
			queue = a.appendSome(ctx, queue)
			if ctx.Err() != nil || a.stopped.Load() && a.owner.outage() > 0 {
				return
			}
		}
	}
}

// gather waits a little for more results, so that one entry takes them all.
func (a *activeBatch) gather(queue []batches.Result) []batches.Result {
	timer := time.NewTimer(flushEvery)
	defer timer.Stop()
	for {
		select {
		case more, ok := <-a.pending:
			if !ok {
				return queue
			}
			queue = append(queue, more...)
		case <-timer.C:
			return queue
		case <-a.urgent:
			return a.drainPending(queue)
		}
	}
}

// drainPending takes the results that are there.
func (a *activeBatch) drainPending(queue []batches.Result) []batches.Result {
	for {
		select {
		case more, ok := <-a.pending:
			if !ok {
				return queue
			}
			queue = append(queue, more...)
		default:
			return queue
		}
	}
}

// seal appends the entry after which the log takes no more, once the batch is ended.
func (a *activeBatch) seal(ctx context.Context) {
	for !a.results.final() && ctx.Err() == nil {
		number, first := a.results.next()
		entry := batches.LogEntry{First: first, Sealed: true}
		err := a.owner.store.append(ctx, a.manifest.ID, number, entry)
		if errors.Is(err, objectapi.ErrConflict) {
			if entry, err = a.owner.store.entry(ctx, a.manifest.ID, number); err == nil {
				a.results.add(entry)
				continue
			}
		}
		if err != nil {
			a.log.Warn("The log could not be sealed; readings go to the store.", "entry", number, "err", err)
			return
		}
		a.results.add(entry)
	}
}

// appendSome appends as many results as fit in one entry and returns the rest.
func (a *activeBatch) appendSome(ctx context.Context, queue []batches.Result) []batches.Result {
	queue = slices.DeleteFunc(queue, func(r batches.Result) bool { return a.results.has(r.ID) })
	if len(queue) == 0 || a.results.final() {
		return nil
	}
	n, size := 0, 0
	for n < len(queue) && (n == 0 || size+queue[n].Size() <= maxPartBytes) {
		size += queue[n].Size()
		n++
	}
	number, first := a.results.next()
	entry := batches.LogEntry{First: first, Results: queue[:n:n]}
	began := time.Now()
	err := a.owner.store.append(ctx, a.manifest.ID, number, entry)
	switch {
	case err == nil:
		a.results.add(entry)
		a.results.setProved(began)
		a.log.Info("Results are listed.", "entry", number, "first", first, "count", n, "took_ms", time.Since(began).Milliseconds())
		return queue[n:]
	case errors.Is(err, objectapi.ErrConflict):
		other, err := a.owner.store.entry(ctx, a.manifest.ID, number)
		if err == nil {
			a.log.Warn("Another host appended to the log.", "entry", number, "count", len(other.Results))
			a.results.add(other)
			return queue
		}
	}
	a.log.Warn("Results could not be listed.", "entry", number, "err", err)
	select {
	case <-ctx.Done():
	case <-time.After(appendPause):
	}
	return queue
}
