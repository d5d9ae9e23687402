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

// Module provides the Manager and runs it for the lifetime of the program. It needs the
// control program's *quicmesh.Mesh and the *objectapi.Client.
var Module = fx.Module("confduty", fx.Provide(provide), fx.Invoke(func(*Manager) {}))

// Options configures a Manager.
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
	// JitterSeed seeds the random jitter.
	JitterSeed uint64
	// PollInterval is the mean interval between fallback reads of the root; 0 means the
	// default.
	PollInterval time.Duration
}

const (
	reportQueueSize = 64
	// fetcherCount is more than one so that a peer that does not reply does not block the
	// other fetches.
	fetcherCount = 2
	// defaultPollInterval is how often hosts without a watch read the root. With 390 hosts
	// this costs the object API 6.5 reads per second.
	defaultPollInterval = time.Minute
)

// generationReport reports that the peer at address from, or the object API if from is empty,
// has a generation.
type generationReport struct {
	generation model.Generation
	from       string
}

// Manager keeps the current configuration generation on this host. Its methods may be called
// from any goroutine.
type Manager struct {
	opt Options
	// storage holds all retained generations in the object API, store the generation in
	// force in memory.
	storage storage
	store   confstore.Store
	log     *slog.Logger
	metrics *configMetrics
	now     func() time.Time
	// reports queues reported generations for the fetchers. A full queue drops the oldest
	// report, because later heartbeats repeat it.
	reports *boundedqueue.Queue[generationReport]
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
	Settings  *settings.LocalSettings
	Root      *slog.Logger
	Mesh      *quicmesh.Mesh
	API       *objectapi.Client
	Registry  *prometheus.Registry
}

func provide(p params) *Manager {
	m := New(Options{
		Mesh:       p.Mesh,
		API:        p.API,
		Host:       p.Settings.Host.ID,
		Zone:       p.Settings.Host.Zone,
		Region:     p.Settings.Host.Region,
		Seeds:      p.Settings.Control.Seeds,
		Log:        logging.Component(p.Root, "configuration"),
		Registerer: p.Registry,
		JitterSeed: uint64(time.Now().UnixNano()),
	})
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { m.Start(); return nil },
		OnStop:  func(context.Context) error { m.Stop(); return nil },
	})
	return m
}

// New returns a Manager and registers its call handlers on the mesh, which must not have been
// started yet.
func New(opt Options) *Manager {
	if opt.PollInterval == 0 {
		opt.PollInterval = defaultPollInterval
	}
	m := &Manager{
		opt:     opt,
		storage: storage{api: opt.API},
		log:     opt.Log,
		now:     time.Now,
		reports: boundedqueue.New[generationReport](reportQueueSize, boundedqueue.DropOldest),
		changed: make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(opt.JitterSeed, opt.JitterSeed>>1)),
		members: func() []model.Member { return nil },
	}
	m.metrics = newMetrics(opt.Registerer, m)
	opt.Mesh.Handle(wire.MethodApply, m.handleApply)
	opt.Mesh.Handle(wire.MethodConfig, m.handleConfig)
	return m
}

// Start runs the goroutines of the Manager until Stop. It must be called at most once.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	tasks := []func(context.Context){m.fetchFromSeeds, m.followRoot, m.runGarbageCollection}
	for range fetcherCount {
		tasks = append(tasks, m.fetchReported)
	}
	for _, task := range tasks {
		m.running.Go(func() { task(ctx) })
	}
}

// Stop stops the goroutines and waits for them. It may be called without Start.
func (m *Manager) Stop() {
	if m.cancel != nil {
		m.cancel()
	}
	m.running.Wait()
}

// Generation returns the generation in force, 0 if there is none yet.
func (m *Manager) Generation() model.Generation { return m.store.Current().Generation }

// Current returns the generation in force and its configuration, 0 and nil if there is
// none yet.
func (m *Manager) Current() (model.Generation, *model.Config) {
	current := m.store.Current()
	return current.Generation, current.Config
}

// Changed returns a channel that receives a value after the generation in force has
// changed. Several changes may be combined into one value. The channel supports one
// consumer.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

// NotifyGeneration reports that the control program at address has generation g in force. A
// higher generation than that of this host is fetched in the background. NotifyGeneration
// never blocks.
func (m *Manager) NotifyGeneration(g model.Generation, address string) {
	if g > m.Generation() {
		_ = m.reports.Push(context.Background(), generationReport{generation: g, from: address})
	}
}

// SetMembers sets the function that lists the members of the fleet. The hosts that watch
// the object API are selected from this list.
func (m *Manager) SetMembers(f func() []model.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = f
}

// putInForce puts a generation in force if it is higher than the current one, and signals
// the change.
func (m *Manager) putInForce(next confstore.Snapshot, source string) {
	if !m.store.SetIfNewer(next) {
		return
	}
	m.log.Info("Generation in force", "generation", next.Generation, "source", source)
	m.metrics.applied.WithLabelValues(source).Inc()
	m.opt.API.SetCeilings(next.Config.System.ObjectAPIReadsPerSecond, next.Config.System.ObjectAPIWritesPerSecond)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// jitter returns a random duration between 50 and 150 % of t.
func (m *Manager) jitter(t time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(t) * (0.5 + m.random.Float64()))
}
