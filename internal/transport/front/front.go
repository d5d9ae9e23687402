package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
)

const (
	// storeAttemptTimeout bounds one sending to the store, which answers in some ms and
	// in a few hundred when it is slow.
	storeAttemptTimeout = 700 * time.Millisecond
	// storeCallTimeout bounds a call to the store with its retries.
	storeCallTimeout = 3 * time.Second
	// AddressTTL is how long callers may keep an answer of the directory.
	AddressTTL = 2 * time.Second
	// addressKept is how long the slowest callers keep one: three times as long.
	addressKept = 3 * AddressTTL
	// drainBatches is how much of the grace period is left when batches are handed over.
	drainBatches = 3 * time.Second
	// exitMargin is how much of the grace period is left when the process ends.
	exitMargin = 800 * time.Millisecond
	// drainTick is the pause between looks for the end of what runs.
	drainTick = 50 * time.Millisecond
	// headerTimeout bounds a request's header, idleTimeout an idle connection; both are
	// above what the operator's limits allow callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = 45 * time.Second
)

// Store is the platform's store as an adapter gives it.
type Store interface {
	objectapi.API
	StatusWriter
}

// Handlers are what an adapter serves to callers.
type Handlers interface {
	// Callers serves requests and batches.
	Callers(n *Node) http.Handler
	// Directory answers which hosts to use.
	Directory(n *Node) http.Handler
	// Readiness answers whether this host takes requests.
	Readiness(n *Node) http.Handler
}

// Ports are what the process needs of an adapter.
type Ports struct {
	fx.In

	Settings  Settings
	Store     Store
	Stale     objectapi.API `name:"stale"`
	Endpoints backend.Client
	Decoder   Decoder
	Handlers  Handlers
	Log       *slog.Logger
	Registry  *prometheus.Registry
}

// Node is a host's process.
type Node struct {
	Settings  Settings
	Forwarder *Forwarder
	Batches   *Batches
	Metrics   *Metrics
	Catalog   *Catalog

	log        *slog.Logger
	peers      *Peers
	path       *StorePath
	membership *Membership
	weights    *Weights
	feed       *Feed
	ports      Ports

	draining atomic.Bool
	inflight atomic.Int64
	servers  []*http.Server
	cancel   context.CancelFunc
	duties   sync.WaitGroup
}

// Module runs a node for the life of the application.
var Module = fx.Options(
	fx.Provide(NewNode),
	fx.Invoke(func(lc fx.Lifecycle, n *Node) {
		lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
	}),
)

// NewNode wires a host's duties.
func NewNode(p Ports) *Node {
	n := &Node{Settings: p.Settings, Metrics: NewMetrics(p.Registry), Catalog: &Catalog{}, ports: p,
		log: logging.Part(p.Log, "front"), peers: NewPeers(p.Settings.Host)}
	part := func(name string) *slog.Logger { return logging.Part(p.Log, name) }
	fleet := NewFleet(p.Settings.Zone)
	calls := NewPeerCalls(n.peers)
	n.path = NewStorePath(p.Store, n.relays, part("store"))
	store := objectapi.NewClient(n.path, objectapi.ClientOptions{
		ReadsPerSecond: p.Settings.StoreReads, WritesPerSecond: p.Settings.StoreWrites,
		AttemptTimeout: storeAttemptTimeout, CallTimeout: storeCallTimeout,
		Seed: uint64(time.Now().UnixNano()) ^ seedOf(p.Settings.Host), Registerer: p.Registry,
	})
	n.Forwarder = &Forwarder{catalog: n.Catalog, fleet: fleet, client: p.Endpoints, log: part("forward"), metrics: n.Metrics,
		gates:      NewGates(fleet, func() int { return 1 + len(n.peers.Alive()) }),
		quarantine: NewQuarantine(), announce: func() { n.membership.Announce() }}
	n.Batches = &Batches{
		settings: p.Settings, store: newBatchStore(store), outage: store.OutageFor, peers: n.peers, calls: calls,
		catalog: n.Catalog, log: part("batches"), active: map[string]*activeBatch{}, kept: map[string]*listing{}, groups: newRecentGroups(), announce: func() { n.membership.Announce() }, adopting: map[string]bool{},
		runner: &runnerDeps{fleet: fleet, client: p.Endpoints, forwarder: n.Forwarder, storeReachable: n.path.Reachable},
	}
	n.feed = NewFeed(feedDeps{
		store: store, path: n.path, decoder: p.Decoder, catalog: n.Catalog, fleet: fleet, calls: calls,
		announce: func() { n.membership.Announce() }, rank: func() int { return n.rank(feedSubject) }, log: part("feed"),
	})
	n.weights = &Weights{
		settings: p.Settings, store: store, statuses: p.Store, decoder: p.Decoder, fleet: fleet, peers: n.peers,
		catalog: n.Catalog, client: p.Endpoints, ready: n.Ready, announce: func() { n.membership.Announce() }, reachable: n.path.Reachable, log: part("weights"),
	}
	n.membership = &Membership{
		settings: p.Settings, peers: n.peers, fleet: fleet, store: store, stale: p.Stale,
		describe: n.describe, log: part("hosts"),
	}
	return n
}

func seedOf(host string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(host) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// relays lists the peers that reach the store themselves.
func (n *Node) relays() []string {
	var out []string
	for _, p := range n.peers.Alive() {
		if p.StoreReachable {
			out = append(out, p.PeerAddress)
		}
	}
	return out
}

func (n *Node) describe(h *presence.Heartbeat) {
	h.Ready, h.Draining = n.Ready(), n.draining.Load()
	h.StoreReachable = n.path.Reachable()
	h.Generation = n.Catalog.Generation()
	h.FencingToken = n.weights.FencingToken()
	h.Batches = n.Batches.Owned()
	n.feed.Describe(h)
	n.Forwarder.quarantine.Describe(h)
	now := time.Now()
	n.Forwarder.fleet.With(func(t *placement.Table) { h.Unreachable, h.Slow = t.Unreachable(now), t.Slow(now) })
	for _, l := range n.weights.Loads(now) {
		if h.LoadingMs == nil {
			h.LoadingMs = map[uint32]uint16{}
		}
		h.LoadingMs[placement.WeightsKey(l.Endpoint, l.Model)] = uint16(l.Until.Sub(now).Milliseconds())
	}
}

// rank returns this host's place in the order of the duty named subject.
func (n *Node) rank(subject string) int {
	candidates := []presence.Heartbeat{{Host: n.Settings.Host, Ready: true, StoreReachable: n.path.Reachable()}}
	for _, p := range n.peers.Alive() {
		candidates = append(candidates, p.Heartbeat)
	}
	return slices.Index(presence.SuccessionOrder(subject, candidates), n.Settings.Host)
}

// Ready reports whether this host takes requests.
func (n *Node) Ready() bool { return !n.draining.Load() && n.Catalog.Config() != nil }

// Draining reports whether this host is stopping.
func (n *Node) Draining() bool { return n.draining.Load() }

// Addresses returns where callers may connect now.
func (n *Node) Addresses() []string {
	var out []string
	if n.Ready() {
		out = append(out, n.Settings.CallerAddress)
	}
	for _, p := range n.peers.Alive() {
		if p.Ready && !p.Draining {
			out = append(out, p.CallerAddress)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Begin counts a caller's request until the returned function is called.
func (n *Node) Begin() func() {
	n.inflight.Add(1)
	return func() { n.inflight.Add(-1) }
}

// Start implements the application's start.
func (n *Node) Start(context.Context) error {
	if err := n.open(); err != nil {
		n.close()
		return err
	}
	return nil
}

func (n *Node) open() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.Batches.base = ctx
	n.membership.heard = func(h presence.Heartbeat, _ bool) {
		n.feed.Heard(ctx, h)
		n.Batches.Heard(h)
		n.Forwarder.quarantine.Heard(h)
	}
	// Callers' requests announce what they change, so heartbeats come first.
	if err := n.membership.Run(ctx); err != nil {
		return err
	}
	s := n.Settings
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(n.ports.Registry, promhttp.HandlerOpts{}))
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{s.PeerAddress, peerHandler(n.ports.Store, n.feed, n.Batches)},
		{s.ReadyAddress, n.ports.Handlers.Readiness(n)},
		{s.DirectoryAddress, n.ports.Handlers.Directory(n)},
		{s.CallerAddress, n.ports.Handlers.Callers(n)},
		{s.MetricsAddress, metrics},
	} {
		if err := n.serve(l.address, l.handler); err != nil {
			return err
		}
	}
	for _, duty := range []func(context.Context){n.feed.Run, n.weights.Run, n.Batches.Watch} {
		n.duties.Add(1)
		go func() {
			defer n.duties.Done()
			duty(ctx)
		}()
	}
	n.log.Info("Started.", "host", s.Host, "zone", s.Zone, "callers", s.CallerAddress, "store", s.StoreAddress)
	return nil
}

func (n *Node) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("A listener ended.", "address", address, "err", err)
		}
	}()
	return nil
}

// Stop drains the host: it leaves the directory at once, serves callers that still
// know its address, hands its batches over and ends before the grace period does.
func (n *Node) Stop(context.Context) error {
	began := time.Now()
	n.log.Info("Stopping.", "in_flight", n.inflight.Load(), "batches", len(n.Batches.Owned()))
	n.draining.Store(true)
	n.membership.Announce()
	grace := n.Settings.GracePeriod
	n.await(began.Add(grace-drainBatches), func() bool {
		return len(n.Batches.Owned()) == 0 && time.Since(began) > addressKept
	})
	handing, cancel := context.WithDeadline(context.Background(), began.Add(grace-exitMargin))
	defer cancel()
	n.Batches.Drain(handing)
	n.await(began.Add(grace-exitMargin), func() bool {
		return n.inflight.Load() == 0 && time.Since(began) > addressKept
	})
	n.close()
	n.log.Info("Stopped.", "in_flight", n.inflight.Load(), "took_ms", time.Since(began).Milliseconds())
	return nil
}

// close ends the duties and gives the ports back.
func (n *Node) close() {
	n.cancel()
	n.membership.close()
	for _, s := range n.servers {
		_ = s.Close() // nothing is left to lose
	}
}

func (n *Node) await(until time.Time, done func() bool) {
	for time.Now().Before(until) && !done() {
		time.Sleep(drainTick)
	}
}
