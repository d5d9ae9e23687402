package confduty

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
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/ring"
)

// Error is the class of this package's errors.
var Error = errs.Class("confduty")

// Module provides the Duty and runs it with the program. It needs the control
// program's *quicmesh.Mesh and the *objectapi.Client.
var Module = fx.Module("confduty", fx.Provide(provide), fx.Invoke(func(*Duty) {}))

// Options configures a Duty.
type Options struct {
	Mesh *quicmesh.Mesh
	API  *objectapi.Client
	Host model.HostID
	Zone model.ZoneID
	// Region is used until a configuration tells the region of Zone.
	Region model.RegionID
	// Seeds are control addresses asked at the start.
	Seeds []string
	Log   *slog.Logger
	// Registerer takes the metrics, nil for none.
	Registerer prometheus.Registerer
	// Seed makes the jitter.
	Seed uint64
	// PollInterval is the mean time between two fallback reads of the root, 0 for
	// the default.
	PollInterval time.Duration
}

const (
	hintRing = 64
	// fetchers go on when one of them waits for a peer that does not reply.
	fetchers = 2
	// defaultPoll is the fallback for hosts without a watch: at 390 hosts it costs
	// the object API 6.5 reads a second.
	defaultPoll = time.Minute
)

// hint says that a peer, or the object API when from is empty, has a generation.
type hint struct {
	generation model.Generation
	from       string
}

// Duty keeps the configuration in force on this host. Its methods may be called
// from any goroutine.
type Duty struct {
	opt     Options
	storage storage
	store   confstore.Store
	log     *slog.Logger
	metrics *dutyMetrics
	now     func() time.Time
	// hints carries what was heard to the fetch duty; the oldest is dropped when
	// full, since a later heartbeat repeats it.
	hints   *ring.Ring[hint]
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

func provide(p params) *Duty {
	d := New(Options{
		Mesh:       p.Mesh,
		API:        p.API,
		Host:       p.Settings.Host.ID,
		Zone:       p.Settings.Host.Zone,
		Region:     p.Settings.Host.Region,
		Seeds:      p.Settings.Control.Seeds,
		Log:        logging.Part(p.Root, "configuration"),
		Registerer: p.Registry,
		Seed:       uint64(time.Now().UnixNano()),
	})
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { d.Start(); return nil },
		OnStop:  func(context.Context) error { d.Stop(); return nil },
	})
	return d
}

// New returns a Duty and registers its calls on the mesh, which is not started yet.
func New(opt Options) *Duty {
	if opt.PollInterval == 0 {
		opt.PollInterval = defaultPoll
	}
	d := &Duty{
		opt:     opt,
		storage: storage{api: opt.API},
		log:     opt.Log,
		now:     time.Now,
		hints:   ring.New[hint](hintRing, ring.DropOldest),
		changed: make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(opt.Seed, opt.Seed>>1)),
		members: func() []model.Member { return nil },
	}
	d.metrics = newMetrics(opt.Registerer, d)
	opt.Mesh.Handle(wire.MethodApply, d.handleApply)
	opt.Mesh.Handle(wire.MethodConfig, d.handleConfig)
	return d
}

// Start runs the duty until Stop.
func (d *Duty) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	duties := []func(context.Context){d.askSeeds, d.follow, d.collect}
	for range fetchers {
		duties = append(duties, d.fetch)
	}
	for _, duty := range duties {
		d.running.Go(func() { duty(ctx) })
	}
}

// Stop ends the duty and waits for it.
func (d *Duty) Stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.running.Wait()
}

// Generation is the one in force, 0 before the first.
func (d *Duty) Generation() model.Generation { return d.store.Current().Generation }

// Current returns the generation in force, 0 and nil before the first.
func (d *Duty) Current() (model.Generation, *model.Config) {
	h := d.store.Current()
	return h.Generation, h.Config
}

// Changed receives after the generation in force changed; several changes may make
// one signal. It has one consumer.
func (d *Duty) Changed() <-chan struct{} { return d.changed }

// Heard takes note that the control program at address has generation g in force.
// It never blocks.
func (d *Duty) Heard(g model.Generation, address string) {
	if g > d.Generation() {
		_ = d.hints.Push(context.Background(), hint{generation: g, from: address})
	}
}

// SetMembers gives the function that lists the members of the overlay, by which the
// hosts that watch the object API are chosen.
func (d *Duty) SetMembers(f func() []model.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = f
}

// offer puts a generation in force if it is higher and tells the consumer.
func (d *Duty) offer(h confstore.Held, source string) {
	if !d.store.Offer(h) {
		return
	}
	d.log.Info("Generation in force.", "generation", h.Generation, "source", source)
	d.metrics.applied.WithLabelValues(source).Inc()
	d.opt.API.SetCeilings(h.Config.System.ObjectAPIReadsPerSecond, h.Config.System.ObjectAPIWritesPerSecond)
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// jitter spreads t over 50 to 150 %.
func (d *Duty) jitter(t time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(t) * (0.5 + d.random.Float64()))
}
