package front

import (
	"context"
	"errors"
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
)

const (
	// runnerTick is the pause between looks at stalled and slow samples.
	runnerTick = 100 * time.Millisecond
	// proveEvery is how often an owner makes sure that it still owns an open batch and
	// that the trainer has not ended it.
	proveEvery = 2200 * time.Millisecond
)

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
	// probes are the last tries of connections, by endpoint.
	probes  map[string]*probe
	ends    chan attemptEnd
	scores  chan scoreEnd
	pending chan []batches.Result
	// urgent asks for the pending results to be listed now: the trainer waits for them.
	urgent chan struct{}
	// savedAt, saving and savedVersion belong to the saving of unfinished samples.
	savedAt      time.Time
	saving       sync.Mutex
	savedVersion uint64
	// carried are the groups that an earlier batch left unfinished, as far as known.
	carried map[string]bool
	// giveUpAt is when samples may be abandoned for their age.
	giveUpAt time.Time
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

func newActiveBatch(m storedManifest, b *batches.Batch, carried map[string]bool, entries []batches.LogEntry, owner *Batches) *activeBatch {
	a := &activeBatch{
		owner: owner, manifest: m.Manifest, batch: b, results: newListing(len(b.Samples), entries),
		log: owner.log.With("batch", m.ID), attempts: map[int]*attempt{}, probes: map[string]*probe{},
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
		AbandonAt: a.manifest.Accepted().Add(defaultSampleTTL), MaxFailures: defaultFailures, MaxScoreFailures: defaultFailures,
		Carried: a.carried,
	}
	if route := a.route(a.batch.Host, a.batch.Path); route != nil {
		if route.SampleTTL > 0 {
			opt.AbandonAt = a.manifest.Accepted().Add(route.SampleTTL)
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
	opt := a.options()
	a.giveUpAt = opt.AbandonAt
	a.run = batchrun.New(a.batch, opt, a.results.ids())
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
			FreeSlot: true, Prefer: a.run.PreferredEndpoint(i),
		}
		e, ok := a.owner.runner.fleet.Pick(q)
		if !ok {
			return // a change in the fleet starts the next round
		}
		a.begin(i, e, route, a.run.Resume(i, e.Versions[a.batch.Model]))
	}
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
