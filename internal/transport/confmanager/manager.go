package confmanager

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/boundedqueue"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
)

// Error is the class of this package's errors.
var Error = errs.Class("confduty")

// Module provides the Duty and runs it for the lifetime of the program. It needs the
// control program's *quicmesh.Mesh and the *objectapi.Client.
var Module = fx.Module("confduty", fx.Provide(provide), fx.Invoke(func(*Manager) {}))

// Options configures a Duty.
type Options struct {
	Mesh *quicmesh.Mesh
	API  *objectapi.Client
	Host model.HostID
	Zone model.ZoneID
	// Region is used until a configuration assigns a region to Zone.
	Region model.RegionID
	// Seeds are the addresses of control programs to fetch a generation from at startup.
	Seeds []string
	Log   *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
	// Seed seeds the random jitter.
	Seed uint64
	// PollInterval is the mean interval between fallback reads of the root; 0 means the
	// default.
	PollInterval time.Duration
}

const (
	hintQueueSize = 64
	// fetcherCount is more than one so that a peer that does not reply does not block the
	// other fetches.
	fetcherCount = 2
	// defaultPollInterval is how often hosts without a watch read the root. With 390 hosts
	// this costs the object API 6.5 reads per second.
	defaultPollInterval = time.Minute
)

// hint reports that the peer at address from, or the object API if from is empty, has a
// generation.
type hint struct {
	generation model.Generation
	from       string
}

// Manager keeps the current configuration generation on this host. Its methods may be called
// from any goroutine.
type Manager struct {
	opt     Options
	storage storage
	store   confstore.Store
	log     *slog.Logger
	metrics *configMetrics
	now     func() time.Time
	// hints queues reported generations for the fetchers. A full queue drops the oldest
	// hint, because later heartbeats repeat it.
	hints   *boundedqueue.Queue[hint]
	changed chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	members func() []model.Member

	cancel  context.CancelFunc
	running sync.WaitGroup
}

type params struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  *settings.Process
	Root      *slog.Logger
	Mesh      *quicmesh.Mesh
	API       *objectapi.Client
	Registry  *prometheus.Registry
}

func provide(p params) *Manager {
	d := New(Options{
		Mesh:       p.Mesh,
		API:        p.API,
		Host:       p.Settings.Host.ID,
		Zone:       p.Settings.Host.Zone,
		Region:     p.Settings.Host.Region,
		Seeds:      p.Settings.Control.Seeds,
		Log:        logging.Component(p.Root, "configuration"),
		Registerer: p.Registry,
		Seed:       uint64(time.Now().UnixNano()),
	})
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { d.Start(); return nil },
		OnStop:  func(context.Context) error { d.Stop(); return nil },
	})
	return d
}

// New returns a Duty and registers its call handlers on the mesh, which must not have been
// started yet.
func New(opt Options) *Manager {
	if opt.PollInterval == 0 {
		opt.PollInterval = defaultPollInterval
	}
	d := &Manager{
		opt:     opt,
		storage: storage{api: opt.API},
		log:     opt.Log,
		now:     time.Now,
		hints:   boundedqueue.New[hint](hintQueueSize, boundedqueue.DropOldest),
		changed: make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(opt.Seed, opt.Seed>>1)),
		members: func() []model.Member { return nil },
	}
	d.metrics = newMetrics(opt.Registerer, d)
	opt.Mesh.Handle(wire.MethodApply, d.handleApply)
	opt.Mesh.Handle(wire.MethodConfig, d.handleConfig)
	return d
}

// Start runs the goroutines of the Duty until Stop.
func (d *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	tasks := []func(context.Context){d.fetchFromSeeds, d.followRoot, d.runGarbageCollection}
	for range fetcherCount {
		tasks = append(tasks, d.fetchHinted)
	}
	for _, task := range tasks {
		d.running.Go(func() { task(ctx) })
	}
}

// Stop stops the goroutines and waits for them. It may be called without Start.
func (d *Manager) Stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.running.Wait()
}

// Generation returns the generation in force, 0 if there is none yet.
func (d *Manager) Generation() model.Generation { return d.store.Current().Generation }

// Current returns the generation in force and its configuration, 0 and nil if there is
// none yet.
func (d *Manager) Current() (model.Generation, *model.Config) {
	h := d.store.Current()
	return h.Generation, h.Config
}

// Changed returns a channel that receives a value after the generation in force has
// changed. Several changes may be combined into one value. The channel supports one
// consumer.
func (d *Manager) Changed() <-chan struct{} { return d.changed }

// NotifyGeneration reports that the control program at address has generation g in force. A higher
// generation than that of this host is fetched in the background. Heard never blocks.
func (d *Manager) NotifyGeneration(g model.Generation, address string) {
	if g > d.Generation() {
		_ = d.hints.Push(context.Background(), hint{generation: g, from: address})
	}
}

// SetMembers sets the function that lists the members of the overlay. The hosts that watch
// the object API are selected from this list.
func (d *Manager) SetMembers(f func() []model.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = f
}

// offer puts a generation in force if it is higher than the current one, and signals the
// change.
func (d *Manager) offer(h confstore.Snapshot, source string) {
	if !d.store.SetIfNewer(h) {
		return
	}
	d.log.Info("Generation in force", "generation", h.Generation, "source", source)
	d.metrics.applied.WithLabelValues(source).Inc()
	d.opt.API.SetCeilings(h.Config.System.ObjectAPIReadsPerSecond, h.Config.System.ObjectAPIWritesPerSecond)
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// jitter returns a random duration between 50 and 150 % of t.
func (d *Manager) jitter(t time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(t) * (0.5 + d.random.Float64()))
}
