package front

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/upgrades"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// planInterval is the interval at which the plan is checked for due orders.
	planInterval = 100 * time.Millisecond
)

// cutOffBeforeRelease is how long a holder has been without links to endpoints before it releases the
// lease. It is longer than the time from a failed check of the links to the next one, so that one
// failed check does not move the lease.
const cutOffBeforeRelease = 700 * time.Millisecond

// maxPeerWorkAge is how long the work that a peer reported counts without another report.
const maxPeerWorkAge = 5 * time.Second

// peerWork is the work that a peer reported, by upgrades.ModelKey.
type peerWork struct {
	work map[uint32]uint32
	at   time.Time
}

// orderCount is the number of load orders that one incarnation of an engine has accepted.
type orderCount struct {
	incarnation int64
	count       int64
}

// StatusWriter writes the status of store objects that other programs created.
type StatusWriter interface {
	PutStatus(ctx context.Context, key string, status any) error
}

// Weights orders the engines to load the target versions that trainers set, while this host
// holds the weights lease.
type Weights struct {
	settings Settings
	store    *objectapi.Client
	// stale reads the lease after a restart; what it returns may be seconds old.
	stale    objectapi.API
	statuses StatusWriter
	decoder  Decoder
	fleet    *Fleet
	peers    *Peers
	catalog  *Catalog
	client   backend.Client
	ready    func() bool
	// draining reports whether this host drains before it shuts down.
	draining func() bool
	// cutOffFor returns how long this host has had no links to endpoints, zero if it has.
	cutOffFor func() time.Duration
	// announce sends a heartbeat immediately, so that peers learn which engines are loading
	// weights.
	announce func()
	// candidate returns this host as a candidate for a task.
	candidate func() presence.Candidate
	log       *slog.Logger

	mu    sync.Mutex
	plan  *upgrades.Plan
	lease leaseRecord
	// leaseVersion is the version of the lease object in the store.
	leaseVersion uint64
	// renewedAt is the boot time at which the last confirmed acquisition or renewal was sent.
	renewedAt time.Duration
	// notBefore is the earliest time for an order.
	notBefore time.Time
	// cancel stops following the target versions and the removals. It is nil while this host
	// does not hold the lease.
	cancel context.CancelFunc
	// lastOrderAt is the boot time of the last order that this or a previous holder may have
	// sent.
	lastOrderAt time.Duration
	// orderCounts has the known order count of each engine whose last order this host sent.
	orderCounts map[string]orderCount
	// localWork returns the work that trainers recently submitted to this host, peerWork has
	// that of its peers by host.
	localWork func() map[uint32]uint32
	peerWork  map[string]peerWork
	// observedLeaseVersion is the version of the lease object that this host read last,
	// leaseObservedAt when it first read it.
	observedLeaseVersion uint64
	leaseObservedAt      time.Time
}

// Run acquires the lease when this host is its next holder, and sends orders while it holds
// the lease, until ctx ends. It releases the lease when the host drains.
func (w *Weights) Run(ctx context.Context) {
	startTime := time.Now()
	if !w.settings.FirstStart {
		w.reacquire(ctx)
	}
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.stopHolding("the process is stopping")
			return
		case <-ticker.C:
		}
		switch {
		case w.FencingToken() != 0 && w.draining():
			w.release(ctx, "the host is stopping")
		case w.FencingToken() != 0 && w.cutOffFor() > cutOffBeforeRelease && !w.ranksFirst():
			w.release(ctx, "the host has no links to the engines")
		case w.FencingToken() != 0 && w.superseded():
			w.stopHolding("another host has a higher fencing token")
		case w.FencingToken() != 0 && !w.ready():
			// A restarted holder keeps its lease while it waits for the configuration: the next
			// holder would have to wait before its first order.
		case w.FencingToken() != 0:
			w.sendOrders(ctx)
		case time.Since(startTime) > takeoverStartDelay && w.isSuccessor():
			w.acquire(ctx)
		}
	}
}

// sendOrders sends the orders that the plan has due, after making sure that the lease is
// still held.
func (w *Weights) sendOrders(ctx context.Context) {
	var endpoints []catalog.Endpoint
	states := map[string]upgrades.EngineState{}
	now := time.Now()
	w.fleet.WithTable(func(t *placement.Table) {
		endpoints = t.All()
		for _, e := range endpoints {
			states[e.ID] = upgrades.EngineState{Running: t.InFlight(e.ID), Impaired: t.IsImpaired(now, e.ID)}
		}
	})
	w.mu.Lock()
	if time.Now().Before(w.notBefore) {
		w.mu.Unlock()
		return
	}
	due := w.plan.Next(time.Now(), endpoints, w.demand(now), func(id string) upgrades.EngineState { return states[id] })
	w.mu.Unlock()
	if len(due) == 0 || !w.renew(ctx) {
		return
	}
	var sends sync.WaitGroup
	for _, s := range due {
		sends.Add(1)
		go func() {
			defer sends.Done()
			w.sendOrder(ctx, s)
		}()
	}
	sends.Wait()
	w.announce()
}

// demand returns the work that trainers recently submitted to all hosts, by upgrades.ModelKey.
// The caller holds the lock.
func (w *Weights) demand(now time.Time) map[uint32]uint32 {
	out := w.localWork()
	for host, p := range w.peerWork {
		if now.Sub(p.at) > maxPeerWorkAge {
			delete(w.peerWork, host)
			continue
		}
		for model, tokens := range p.work {
			out[model] += tokens
		}
	}
	return out
}

// ReceiveHeartbeat records the work that a peer reports.
func (w *Weights) ReceiveHeartbeat(h presence.Heartbeat) {
	if len(h.Work) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerWork[h.Host] = peerWork{h.Work, time.Now()}
}

// Loads returns the loads that this host has ordered and that are expected to be in progress
// at time now. It returns none while this host does not hold the lease.
func (w *Weights) Loads(now time.Time) []upgrades.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		return nil
	}
	return w.plan.Loads(now)
}

// sendOrder sends one load order, unless the lease is no longer valid. It stops holding the
// lease if the engine has seen a higher fencing token.
func (w *Weights) sendOrder(ctx context.Context, s upgrades.LoadOrder) {
	orders, err := w.acceptedOrders(ctx, s.Endpoint)
	if err != nil {
		w.log.Warn("Failed to read engine report", "endpoint", s.Endpoint.ID, "err", err)
		w.mu.Lock()
		w.plan.OutcomeUnknown(time.Now(), s)
		w.mu.Unlock()
		return
	}
	w.mu.Lock()
	lease, valid := w.lease, w.cancel != nil && sinceBoot()-w.renewedAt < leaseValidity
	w.mu.Unlock()
	if !valid {
		return
	}
	w.mu.Lock()
	w.lastOrderAt = sinceBoot()
	w.mu.Unlock()
	w.fleet.WithTable(func(t *placement.Table) { t.RecordCall(time.Now(), s.Endpoint) })
	state, err := w.client.Order(ctx, backend.Order{
		Endpoint: s.Endpoint, Model: s.Model, Version: s.Version, KeepRunning: w.keepRunning(s.Endpoint.Service),
		Holder: lease.Holder, FencingToken: lease.FencingToken, ExpectOrders: orders,
	})
	w.log.Info("Sent load order to engine", "endpoint", s.Endpoint.ID, "model", s.Model, "version", s.Version,
		"from", s.Endpoint.Versions[s.Model], "fencing_token", lease.FencingToken, "expect", orders,
		"holds", err == nil && state == backend.OrderAlreadyApplied, "err", err)
	w.recordOrder(s, orders, state, err)
	if errors.Is(err, backend.ErrFenced) {
		w.stopHolding("an engine has seen a higher fencing token")
	}
}

// recordOrder records the outcome of an order in the plan.
func (w *Weights) recordOrder(s upgrades.LoadOrder, orders int64, state backend.OrderResult, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.orderCounts, s.Endpoint.ID)
	switch {
	case err != nil:
		w.plan.OutcomeUnknown(time.Now(), s)
	case state == backend.OrderAccepted:
		w.plan.Accepted(time.Now(), s)
		for _, l := range w.plan.Loads(time.Now()) {
			w.fleet.WithTable(func(t *placement.Table) { t.SetLoading(time.Now(), placement.WeightsKey(l.Endpoint, l.Model), l.Until) })
		}
		w.orderCounts[s.Endpoint.ID] = orderCount{incarnation: s.Endpoint.Incarnation, count: orders + 1}
	default:
		w.plan.AlreadyApplied(time.Now(), s)
	}
}

// acceptedOrders returns how many orders an engine has accepted: the known count if this host
// sent the last order to this incarnation, else the count in the engine's report.
func (w *Weights) acceptedOrders(ctx context.Context, e catalog.Endpoint) (int64, error) {
	w.mu.Lock()
	known, ok := w.orderCounts[e.ID]
	w.mu.Unlock()
	if ok && known.incarnation == e.Incarnation {
		return known.count, nil
	}
	w.fleet.WithTable(func(t *placement.Table) { t.RecordCall(time.Now(), e) })
	report, err := w.client.ReadReport(ctx, e)
	if err != nil {
		return 0, err
	}
	if report.Incarnation != 0 && report.Incarnation != e.Incarnation {
		return 0, backend.ErrReplaced
	}
	return report.Orders, nil
}

// keepRunning reports whether running samples may continue under a new version. They may not
// if any route of the service requires a single version per sample.
func (w *Weights) keepRunning(service string) bool {
	config := w.catalog.Config()
	if config == nil {
		return false
	}
	for i := range config.Routes {
		if r := &config.Routes[i]; r.SingleVersion && r.Serves(service) {
			return false
		}
	}
	return true
}
