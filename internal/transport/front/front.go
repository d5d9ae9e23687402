package front

import (
	"cmp"
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
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/configproof"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	scalingduty "oleanderfall.example/oleanderfall/internal/transport/scaling"
	"oleanderfall.example/oleanderfall/internal/transport/teamkeys"
)

const (
	// storeAttemptTimeout bounds one attempt of a store call. The store answers within a few
	// milliseconds, or a few hundred milliseconds when it is slow.
	storeAttemptTimeout = 700 * time.Millisecond
	// storeCallTimeout bounds a store call including its retries.
	storeCallTimeout = 3 * time.Second
	// AddressTTL is how long callers may cache an answer of the directory.
	AddressTTL = 2 * time.Second
)

// Store is the platform's object store, implemented by an adapter.
type Store interface {
	objectapi.API
	StatusWriter
}

// Handlers are the HTTP handlers that an adapter implements for the callers' protocol.
type Handlers interface {
	// Callers serves requests and batches.
	Callers(n *Node) http.Handler
	// Directory serves the addresses of the hosts that callers may use.
	Directory(n *Node) http.Handler
	// Readiness serves readiness probes of this host.
	Readiness(n *Node) http.Handler
}

// Params are the dependencies that an adapter provides to NewNode. Stale is a store client
// whose reads may return outdated objects.
type Params struct {
	fx.In

	Settings  Settings
	Store     Store
	Stale     objectapi.API `name:"stale"`
	Endpoints backend.Client
	Decoder   Decoder
	Handlers  Handlers
	Log       *slog.Logger
	Registry  *prometheus.Registry
	// Operator calls the operator's API; nil if there is none.
	Operator operatorapi.Client `optional:"true"`
}

// Node is the process of one host.
type Node struct {
	Settings  Settings
	Forwarder *Forwarder
	Batches   *Batches
	Metrics   *Metrics
	Catalog   *Catalog
	// Keys admits the requests of callers and trainers.
	Keys *teamkeys.Checker
	// Ingress bounds what clients hold at all listeners, Bodies reads their requests within that.
	Ingress *ingress.Limiter
	Bodies  *Bodies

	log        *slog.Logger
	peers      *Peers
	storePath  *StorePath
	endpoints  *EndpointPath
	membership *Membership
	weights    *Weights
	feed       *Feed
	permits    *Permits
	proofs     *configproof.Prover
	duties     *operatorDuties
	scaler     *scalingduty.Scaler
	params     Params

	streamSoftware *streamSoftware

	draining atomic.Bool
	inflight atomic.Int64
	stop     *hostStop
	stopOnce sync.Once
	servers  []*http.Server
	// listeners are those of the servers.
	listeners []net.Listener
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// Module runs a Node from the start to the stop of the application.
var Module = fx.Options(
	fx.Provide(NewNode),
	fx.Invoke(func(lc fx.Lifecycle, n *Node) {
		lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop})
	}),
)

// NewNode returns a node. The caller must call Start before using it.
func NewNode(p Params) *Node {
	n := &Node{Settings: p.Settings, Metrics: NewMetrics(p.Registry), Catalog: &Catalog{}, params: p, stop: newHostStop(),
		log: logging.Component(p.Log, "front")}
	n.Ingress = ingress.NewLimiter(p.Settings.Ingress.Or(ingress.DefaultLimits(p.Settings.MemoryBytes, p.Settings.Descriptors)),
		p.Registry, logging.Component(p.Log, "ingress"))
	n.Bodies = NewBodies(n.Ingress)
	n.peers = NewPeers(presence.Member{Host: p.Settings.Host, Zone: p.Settings.Zone, Capacity: float32(p.Settings.Capacity)},
		cmp.Or(p.Settings.FullMeshHosts, presence.FullMeshHosts))
	component := func(name string) *slog.Logger { return logging.Component(p.Log, name) }
	n.Keys = teamkeys.New(n.Catalog.Config, component("keys"), p.Registry)
	fleet := NewFleet(p.Settings.Zone)
	fleet.registerPromptMetrics(p.Registry)
	calls := NewPeerClient(n.peers, n.Ingress.Limits().Outbound)
	n.storePath = NewStorePath(p.Store, n.storeRelays, component("store"))
	store := objectapi.NewClient(n.storePath, objectapi.ClientOptions{
		ReadsPerSecond: p.Settings.StoreReads, WritesPerSecond: p.Settings.StoreWrites,
		AttemptTimeout: storeAttemptTimeout, CallTimeout: storeCallTimeout,
		Seed: uint64(time.Now().UnixNano()) ^ hashSeed(p.Settings.Host), Registerer: p.Registry,
	})
	stale := objectapi.PayloadReader{API: p.Stale}
	n.endpoints = newEndpointPath(p.Endpoints, newEndpointRelays(p.Settings, n.peers, p.Registry), fleet.Endpoints, n.linksChanged, component("endpoints"), p.Registry)
	n.Forwarder = &Forwarder{catalog: n.Catalog, fleet: fleet, client: n.endpoints, log: component("forward"), metrics: n.Metrics,
		gates: NewGates(fleet, func() int { return 1 + n.peers.Count() }),
		stop:  n.stop, keys: n.Keys, quarantine: NewQuarantine(), cutOff: n.endpoints.CutOff, announce: func() { n.membership.Announce() }}
	n.Batches = &Batches{
		settings: p.Settings, stop: n.stop, store: newBatchStore(p.Settings.Host, store, stale), outage: store.OutageFor, peers: n.peers, peerClient: calls,
		catalog: n.Catalog, log: component("batches"), active: map[string]*activeBatch{}, takingOver: map[string]bool{}, takeoverSlots: make(chan struct{}, maxTakeovers),
		bodies: n.Bodies, endedLogs: newLogCache(p.Settings.MemoryBytes),
		loads: map[string]*logLoad{}, loadSlots: make(chan struct{}, maxLogLoads), contentSlots: make(chan struct{}, maxContentLoads),
		groups: newRecentGroups(), announce: func() { n.membership.Announce() },
		runner:    &runnerDeps{fleet: fleet, client: n.endpoints, forwarder: n.Forwarder, cutOff: n.endpoints.CutOff, promptPrefixes: p.Decoder.PromptPrefixes},
		candidate: n.candidate,
	}
	n.proofs = newConfigProofs(n)
	n.Keys.Fresh = n.Check
	n.feed = NewFeed(feedDeps{
		store: store, stale: stale, path: n.storePath, decoder: p.Decoder, catalog: n.Catalog, fleet: fleet, peerClient: calls,
		announce: func() { n.membership.Announce() }, rank: func() int { return n.rank(feedTask) }, isHub: n.peers.IsHub, refreshInterval: p.Settings.RefreshInterval, configBound: p.Settings.ConfigBound, proofs: n.proofs, log: component("feed"),
	})
	n.streamSoftware = &streamSoftware{settings: p.Settings, store: store, catalog: n.Catalog, fleet: fleet, feed: n.feed, rank: n.rank, log: component("streams"), updating: make(chan struct{}, 1)}
	n.Forwarder.origins = newStreamOrigins(p.Settings, fleet, n.peers, calls, n.feed, n.streamSoftware, component("streams"))
	n.weights = &Weights{
		settings: p.Settings, store: store, stale: stale, statuses: p.Store, decoder: p.Decoder, fleet: fleet, peers: n.peers,
		catalog: n.Catalog, client: n.endpoints, ready: n.Ready, draining: n.Draining, cutOffFor: n.endpoints.CutOffFor, candidate: n.candidate, announce: func() { n.membership.Announce() }, log: component("weights"),
		localWork: n.Batches.RecentWork, peerWork: map[string]peerWork{},
	}
	n.permits = newPermits(p.Settings.Host, fleet, n.peers, calls, n.candidate, component("permits"), p.Registry)
	n.duties = newOperatorDuties(n, store, calls)
	n.Forwarder.usage = n.duties.usageService()
	if n.duties != nil {
		n.scaler = n.newScaler(n.duties.lease, n.duties.calls, calls)
	}
	n.endpoints.OnNotice(n.endpointNotice)
	n.membership = &Membership{
		settings: p.Settings, peers: n.peers, peerClient: calls, fleet: fleet, rank: n.rank,
		announced: make(chan struct{}, 1), quarantine: map[string]relayedQuarantine{}, store: store, stale: stale,
		fillHeartbeat: n.fillHeartbeat, log: component("hosts"), cutEntries: n.Metrics.cutEntries,
	}
	return n
}

// endpointNotice records what an answer says about its endpoint. If that is new, it is reported to
// the peers at once.
func (n *Node) endpointNotice(e catalog.Endpoint, notice backend.Notice) {
	if n.Forwarder.fleet.RecordLimit(e, notice) {
		n.log.Info("Request limit of endpoint changed", "endpoint", e.ID, "service", e.Service,
			"limited", notice.Limited, "per_second", notice.LimitPerSecond)
		n.membership.Announce()
	}
	if !notice.Leaving {
		return
	}
	isNew := false
	n.Forwarder.fleet.WithTable(func(t *placement.Table) { isNew = t.MarkLeaving(e) })
	if isNew {
		n.log.Info("Endpoint says that it is leaving", "endpoint", e.ID, "service", e.Service)
		n.membership.Announce()
	}
}

// hashSeed returns the FNV-1a hash of a host name, so that hosts that start at the same time
// use different random seeds.
func hashSeed(host string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(host) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// storeRelays returns the addresses of the peers that reach the store directly.
func (n *Node) storeRelays() []string {
	var out []string
	for _, p := range n.peers.Alive() {
		if p.StoreReachable {
			out = append(out, p.PeerAddress)
		}
	}
	return out
}

// linksChanged tells the rest of the host and its peers that this host lost its links to all endpoints
// or has them again.
func (n *Node) linksChanged(cutOff bool) {
	if cutOff {
		n.Forwarder.fleet.WithTable((*placement.Table).ForgetFailures)
	}
	n.membership.Announce()
}

func (n *Node) fillHeartbeat(h *presence.Heartbeat) {
	h.Ready, h.Draining = n.Ready(), n.draining.Load()
	h.StoreReachable, h.CutOff = n.storePath.Reachable(), n.endpoints.CutOff()
	h.FencingToken = n.weights.FencingToken()
	n.duties.fillHeartbeat(h)
	h.Batches, h.Work = n.Batches.UnfinishedIDs(), n.Batches.RecentWork()
	n.feed.FillHeartbeat(h)
	h.Generation = n.Catalog.Generation() // after the ages, which must not be those of a later read
	n.Forwarder.quarantine.FillHeartbeat(h)
	now := time.Now()
	n.Forwarder.fleet.WithTable(func(t *placement.Table) {
		h.Unreachable, h.Slow, h.Leaving, h.Limits = t.Unreachable(now), t.Slow(now), t.Leaving(), t.Limits(now)
	})
	if h.CutOff {
		h.Unreachable, h.Slow = nil, nil // they may stem from the peers through which requests go
	}
	for _, l := range n.weights.Loads(now) {
		if h.LoadingMs == nil {
			h.LoadingMs = map[uint32]uint16{}
		}
		h.LoadingMs[placement.WeightsKey(l.Endpoint, l.Model)] = uint16(l.Until.Sub(now).Milliseconds())
	}
}

// rank returns this host's position in the succession order of a task that hosts perform also
// before they have a configuration.
func (n *Node) rank(task string) int {
	candidates := append(n.peers.Candidates(), n.candidate())
	for i := range candidates {
		candidates[i].Ready, candidates[i].CutOff = true, false
	}
	return slices.Index(presence.SuccessionOrder(task, candidates), n.Settings.Host)
}

// candidate returns this host as a candidate for a task.
func (n *Node) candidate() presence.Candidate {
	return presence.Candidate{Host: n.Settings.Host, Ready: true, Draining: n.draining.Load(), StoreReachable: n.storePath.Reachable(), CutOff: n.endpoints.CutOff(), Hub: n.peers.IsHub()}
}

// Ready reports whether this host accepts requests: it is not draining and has a
// configuration.
func (n *Node) Ready() bool { return !n.draining.Load() && n.Catalog.Config() != nil }

// Draining reports whether this host drains before it shuts down.
func (n *Node) Draining() bool { return n.draining.Load() }

// CutOff reports whether this host has lost its links to all endpoints and sends requests through peers.
func (n *Node) CutOff() bool { return n.endpoints.CutOff() }

// Addresses returns the addresses to which callers of a zone may connect now: those of all
// ready hosts in a small fleet, else those of up to maxAddresses hosts, the ones of the zone
// first. An unknown zone is allowed.
func (n *Node) Addresses(zone string) []string {
	var ready []presence.Member
	if n.Ready() {
		ready = append(ready, presence.Member{Host: n.Settings.Host, Zone: n.Settings.Zone, CallerAddress: n.Settings.CallerAddress})
	}
	for _, p := range n.peers.Alive() {
		if p.Ready && !p.Draining {
			ready = append(ready, p)
		}
	}
	return presence.SelectAddresses(ready, zone)
}

// TrackRequest counts a caller's request as in flight until the returned function is called. Stop
// waits for the requests in flight.
func (n *Node) TrackRequest() func() {
	n.inflight.Add(1)
	return func() { n.inflight.Add(-1) }
}

// Start opens the listeners and starts the background tasks. It is the start hook of the
// application and returns an error if a listener cannot be opened.
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
	n.Batches.base, n.Batches.startedAt = ctx, time.Now()
	n.membership.onHeartbeat = func(h presence.Heartbeat, _ bool) {
		n.feed.ReceiveHeartbeat(ctx, h)
		n.Batches.ReceiveHeartbeat(h)
		n.weights.ReceiveHeartbeat(h)
		n.Forwarder.quarantine.ReceiveHeartbeat(h)
	}
	n.membership.onLost = n.Batches.HostLost
	// Requests of callers announce state changes by heartbeat, so heartbeats start first.
	if err := n.membership.Run(ctx); err != nil {
		return err
	}
	s := n.Settings
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(n.params.Registry, promhttp.HandlerOpts{}))
	always := context.Background()
	for _, l := range []listener{
		{name: "peers", address: s.PeerAddress, handler: n.peerHandler(), requests: always},
		{name: "readiness", address: s.ReadyAddress, handler: n.params.Handlers.Readiness(n), requests: always},
		{name: "directory", address: s.DirectoryAddress, handler: n.params.Handlers.Directory(n), requests: always},
		{name: "callers", address: s.CallerAddress, handler: n.params.Handlers.Callers(n), requests: n.stop.serving, heads: n.callerHeads},
		{name: "metrics", address: s.MetricsAddress, handler: metrics, requests: always},
	} {
		if err := n.serve(ctx, l); err != nil {
			return err
		}
	}
	for _, task := range []func(context.Context){n.feed.Run, n.weights.Run, n.permits.Run, n.Forwarder.origins.Run, n.streamSoftware.Run, n.Batches.Watch, n.Batches.WatchManifests, n.Batches.WatchOwnership, n.duties.Run, n.runScaler} {
		n.tasks.Add(1)
		go func() {
			defer n.tasks.Done()
			task(ctx)
		}()
	}
	n.log.Info("Host started", "host", s.Host, "zone", s.Zone, "callers", s.CallerAddress, "store", s.StoreAddress)
	return nil
}

// listener is an address that this host serves.
type listener struct {
	name, address string
	handler       http.Handler
	// requests is the context of all requests of the listener.
	requests context.Context
	// heads returns the limits of its requests; nil stands for the defaults.
	heads func() ingress.HeadLimits
}

// callerHeads returns the operator's limits of callers' requests.
func (n *Node) callerHeads() ingress.HeadLimits {
	config := n.Catalog.Config()
	if config == nil {
		return ingress.HeadLimits{}
	}
	l := config.Limits
	return ingress.HeadLimits{MaxBytes: l.MaxHeaderBytes, Timeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

func (n *Node) serve(ctx context.Context, l listener) error {
	open, err := n.Ingress.Listen(ctx, "tcp4", l.address, l.name, l.heads)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: l.handler, BaseContext: func(net.Listener) context.Context { return l.requests },
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	ingress.Prepare(server)
	n.servers, n.listeners = append(n.servers, server), append(n.listeners, open)
	go func() {
		if err := server.Serve(open); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.Error("Listener failed", "address", l.address, "err", err)
		}
	}()
	return nil
}

// close stops the background tasks and closes the listeners.
func (n *Node) close() {
	n.cancel()
	n.endpoints.Close()
	n.membership.close()
	for _, s := range n.servers {
		_ = s.Close() // the process is shutting down, so errors do not matter
	}
}
