package front

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/batchrun"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

const (
	// attemptCheckInterval is the interval of the check for stalled and slow samples.
	attemptCheckInterval = 100 * time.Millisecond
	// configurationCheckInterval is the interval at which a batch checks for the first configuration.
	configurationCheckInterval = 20 * time.Millisecond
)

// runnerDeps are the host's services that running batches depends on.
type runnerDeps struct {
	fleet     *Fleet
	client    backend.Client
	forwarder *Forwarder
	// cutOff reports whether this host has lost its links to all endpoints.
	cutOff func() bool
	// promptPrefixes is Decoder.PromptPrefixes.
	promptPrefixes func(header map[string]string) []PromptPrefix
}

// activeBatch is a batch that this host runs. The goroutine of runUntilDone owns its state;
// attempts and scoring requests report to it over channels.
type activeBatch struct {
	parent   *Batches
	manifest storedManifest
	batch    *batches.Batch
	results  *resultLog
	log      *slog.Logger

	run *batchrun.Run
	// waiting is the number of samples that wait to be started, as of the last round.
	waiting  atomic.Int64
	attempts map[int]*attempt
	// probes has the last probe of each endpoint with a silent stream.
	probes  map[string]*probe
	ends    chan attemptEnd
	scores  chan scoreResult
	pending chan []batches.Result
	// flushNow signals writeLog to append the pending results immediately, because the
	// trainer waits for them.
	flushNow chan struct{}
	// savedAt is when unfinished samples were last saved, ageSavedAt when the batch's age was.
	// saveMu serializes saves and guards partialsVersion, the stored version of the saved samples.
	savedAt         time.Time
	ageSavedAt      time.Time
	saveMu          sync.Mutex
	partialsVersion uint64
	// unlogged has the completed results that were passed to writeLog, by sample. Those that
	// the log contains are removed at the next save.
	unlogged map[string]batches.Result
	// carried are the known groups carried over from earlier batches.
	carried map[string]bool
	// sampleTTL is the age of the batch at which samples may be abandoned, acceptedBy the boot time
	// by which the batch had been accepted. Only the goroutine of the batch uses them.
	sampleTTL, acceptedBy time.Duration
	// resumed is true if another process has already run the batch.
	resumed bool
	stopped atomic.Bool
	// demand is the batch's demand for slots; see publishDemand.
	demand atomic.Pointer[batchDemand]
	// ended is true once the trainer has ended the batch.
	ended  atomic.Bool
	cancel context.CancelFunc
	ctx    context.Context
}

func newActiveBatch(m storedManifest, b *batches.Batch, carried map[string]bool, entries []batches.LogEntry, parent *Batches) *activeBatch {
	a := &activeBatch{
		parent: parent, manifest: m, batch: b, results: newResultLog(len(b.Samples), entries),
		log: parent.log.With("batch", m.ID), attempts: map[int]*attempt{}, unlogged: map[string]batches.Result{}, probes: map[string]*probe{},
		ends:       make(chan attemptEnd, len(b.Samples)+1),
		scores:     make(chan scoreResult, len(b.Samples)+1),
		pending:    make(chan []batches.Result, len(b.Samples)+1),
		flushNow:   make(chan struct{}, 1),
		resumed:    entries != nil,
		carried:    carried,
		acceptedBy: m.acceptedBy,
	}
	a.savedAt = time.Now()
	a.ageSavedAt = a.savedAt
	a.results.team = b.Team
	a.ctx, a.cancel = context.WithCancel(parent.base)
	return a
}

// stop stops the batch at this host. Results that are ready are still appended to the log.
func (a *activeBatch) stop(reason string) {
	if a.stopped.CompareAndSwap(false, true) {
		a.log.Info("Stopping batch", "reason", reason)
		a.cancel()
	}
}

// finished reports whether the batch is stopped at this host or has all results.
func (a *activeBatch) finished() bool { return a.stopped.Load() || a.results.full() }

func (a *activeBatch) incomplete() bool { return !a.results.full() }

// options returns the run's limits: those of the batch's route, else the defaults.
func (a *activeBatch) options() batchrun.Options {
	opt := batchrun.Options{
		SampleTTL: defaultSampleTTL, MaxFailures: defaultMaxFailures, MaxScoreFailures: defaultMaxFailures,
		Carried: a.carried,
	}
	if route := a.route(a.batch.Host, a.batch.Path); route != nil {
		if route.SampleTTL > 0 {
			opt.SampleTTL = route.SampleTTL
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
	// defaultSampleTTL and defaultMaxFailures apply unless the route sets a limit.
	defaultSampleTTL   = 40 * time.Second
	defaultMaxFailures = 3
)

// route returns the configured route for a host and path, or nil if there is none.
func (a *activeBatch) route(host, path string) *catalog.Route {
	config := a.parent.catalog.Config()
	if config == nil {
		return nil
	}
	return config.Match(host, path)
}

// runUntilDone runs the batch until every sample has its result or the batch is stopped. Log
// writes continue until base ends. A complete batch then stays in memory; see awaitEnd.
func (a *activeBatch) runUntilDone(base context.Context) {
	defer a.cancel()
	a.awaitConfiguration()
	a.confirmOpen()
	opt := a.options()
	a.sampleTTL = opt.SampleTTL
	a.run = batchrun.New(a.batch, opt, a.results.ids())
	a.restore()
	written := make(chan struct{})
	go func() {
		defer close(written)
		a.writeLog(base)
	}()
	ticker := time.NewTicker(attemptCheckInterval)
	defer ticker.Stop()
	for a.ctx.Err() == nil && a.run.Open() > 0 {
		changed := a.parent.runner.fleet.Changed()
		a.startSamples()
		a.publishDemand(time.Now())
		select {
		case <-a.ctx.Done():
		case e := <-a.ends:
			a.attemptEnded(e)
			a.drainEnds()
		case s := <-a.scores:
			a.recordScore(s)
		case <-changed:
		case <-ticker.C:
			a.checkAttempts()
		}
		a.flush()
	}
	if a.stopped.Load() && a.parent.draining() {
		a.saveForHandover()
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
	a.log.Info("Batch finished at this host", "listed", len(a.results.ids()), "total", a.results.total,
		"age_ms", a.age().Milliseconds())
	if a.results.full() {
		a.awaitEnd()
	}
}

// awaitConfiguration waits until a configuration is in force or the batch is stopped. A host that has
// just started would take the defaults for the limits of the batch's route.
func (a *activeBatch) awaitConfiguration() {
	for a.ctx.Err() == nil && a.parent.catalog.Config() == nil {
		clock.Sleep(a.ctx, configurationCheckInterval)
	}
}

// awaitEnd keeps the results in memory until the batch is stopped, usually because the trainer
// has ended it, or until its retention period is over.
func (a *activeBatch) awaitEnd() {
	select {
	case <-a.ctx.Done():
	case <-time.After(a.parent.settings.Retention - a.age()):
	}
}

// drainEnds handles all attempt ends that are pending, so that a burst causes only one round
// of starts.
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

// startSamples starts samples while the run has one to start and an endpoint has a free
// slot.
func (a *activeBatch) startSamples() {
	now := time.Now()
	if a.moveFromSlowEndpoint(now) {
		return // the end of the attempt triggers the next round
	}
	skip := map[int]bool{}
	awaiting := 0
	defer func() { a.waiting.Store(int64(a.run.Waiting())) }()
	for awaiting < maxAwaitingFaster {
		i, ok := a.run.Next(now, skip)
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
			Service: route.PickService(rand.Uint64()), Model: a.batch.Model, MinVersion: a.batch.MinVersion,
			FreeSlot: true, Prefer: a.run.PreferredEndpoint(i), Prompt: a.samplePrompt(sample, 0),
		}
		e, outcome := a.pick(now, i, awaiting, q)
		switch outcome {
		case picked:
			a.startAttempt(i, e, route, a.run.Resume(i, e.Versions[a.batch.Model], e.Software))
		case awaitsSoftware:
			skip[i] = true
		case awaitsFaster:
			skip[i] = true
			awaiting++
		case noneFree:
			return // a change of the fleet triggers the next round
		}
	}
}

// awaitFaster returns a condition for Fleet.PickUnless: the endpoint is slow, and the sample should wait
// for a usual one.
func (a *activeBatch) awaitFaster(i, ahead int, q placement.Query) func(*placement.Table, time.Time, catalog.Endpoint) bool {
	return func(t *placement.Table, now time.Time, e catalog.Endpoint) bool {
		if !t.IsSlow(now, e.ID) {
			return false
		}
		slow, usual := t.ServiceTime(now, e.ID)
		return a.run.AwaitFaster(now, i, batchrun.SlowOffer{Slow: slow, Usual: usual, UsualSlots: t.UsualSlots(now, q),
			Ahead: ahead, TokenTime: t.TokenTime(q.Service)})
	}
}

// waitingElsewhere returns the number of waiting samples of the other batches of this host.
func (s *Batches) waitingElsewhere(except *activeBatch) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, b := range s.active {
		if b != except {
			n += b.waiting.Load()
		}
	}
	return int(n)
}

// maxAwaitingFaster bounds the samples that one round passes over because they wait for a particular
// endpoint, and with it the time that a round takes.
const maxAwaitingFaster = 16

// pickOutcome is the outcome of the search for an endpoint for a sample.
type pickOutcome int

const (
	picked pickOutcome = iota
	noneFree
	// awaitsSoftware: no endpoint of the software version that generated the sample's output is free.
	awaitsSoftware
	// awaitsFaster: only slow endpoints are free, and the sample should wait for another one.
	awaitsFaster
)

// pick picks an endpoint for a sample before which the given number of this batch's samples await a
// faster one. If the sample has output, that is an endpoint of the software version that generated it,
// unless waiting for one takes too long.
func (a *activeBatch) pick(now time.Time, i, awaiting int, q placement.Query) (e catalog.Endpoint, outcome pickOutcome) {
	fleet := a.parent.runner.fleet
	ahead := awaiting + a.parent.waitingElsewhere(a)
	try := func(q placement.Query) pickOutcome {
		var ok, rejected bool
		e, ok, rejected = fleet.PickUnless(q, a.awaitFaster(i, ahead, q))
		switch {
		case ok:
			return picked
		case rejected:
			return awaitsFaster
		}
		return noneFree
	}
	software, began := a.run.Software(i)
	if !began {
		outcome = try(q)
		return e, outcome
	}
	continuing := q
	continuing.Software = software
	if outcome = try(continuing); outcome != noneFree {
		return e, outcome
	}
	serves, interval := false, time.Duration(0)
	fleet.WithTable(func(t *placement.Table) { serves, interval = t.Serves(continuing), t.Baseline(now, q.Service) })
	if serves && a.run.AwaitSoftware(now, i, interval) {
		return e, awaitsSoftware
	}
	if outcome = try(q); outcome == picked {
		a.log.Info("Sample starts over at another software version", "sample", a.run.Sample(i).ID, "from", software, "to", e.Software)
	}
	return e, outcome
}
