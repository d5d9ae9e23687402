package front

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/upgrades"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// weightsTick is the pause between looks at the plan.
	weightsTick = 100 * time.Millisecond
)

// orderCount is the number of orders that an incarnation of an engine has accepted.
type orderCount struct {
	incarnation int64
	count       int64
}

// StatusWriter writes the status of objects that others made.
type StatusWriter interface {
	PutStatus(ctx context.Context, key string, status any) error
}

// Weights brings the engines to the versions that trainers name, while this host
// holds the lease for it.
type Weights struct {
	settings Settings
	store    *objectapi.Client
	statuses StatusWriter
	decoder  Decoder
	fleet    *Fleet
	peers    *Peers
	catalog  *Catalog
	client   backend.Client
	ready    func() bool
	// announce tells the other hosts at once what engines load.
	announce func()
	// reachable reports whether the store serves this host directly.
	reachable func() bool
	log       *slog.Logger

	mu      sync.Mutex
	plan    *upgrades.Plan
	lease   leaseRecord
	version uint64
	// proved is the boot time at which the last confirmed renewal was sent.
	proved    time.Duration
	notBefore time.Time
	cancel    context.CancelFunc
	// orderedAt is the boot time of the last order that this or a former holder may have
	// sent.
	orderedAt time.Duration
	// orders are the counts of engines that this host has ordered.
	orders map[string]orderCount
	seen   uint64
	seenAt time.Time
}

// Run takes the lease when it falls to this host, and orders versions while it holds
// it, until ctx ends.
func (w *Weights) Run(ctx context.Context) {
	began := time.Now()
	w.resume(ctx)
	ticker := time.NewTicker(weightsTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.lose("the process ends")
			return
		case <-ticker.C:
		}
		switch {
		case w.FencingToken() != 0 && !w.ready():
			w.release(ctx)
		case w.FencingToken() != 0 && w.superseded():
			w.lose("another host has a higher fencing token")
		case w.FencingToken() != 0:
			w.order(ctx)
		case time.Since(began) > takeoverStart && w.falls():
			w.acquire(ctx)
		}
	}
}

// order sends what the plan asks for now.
func (w *Weights) order(ctx context.Context) {
	var endpoints []catalog.Endpoint
	running := map[string]int{}
	w.fleet.With(func(t *placement.Table) {
		endpoints = t.All()
		for _, e := range endpoints {
			running[e.ID] = t.InFlight(e.ID)
		}
	})
	w.mu.Lock()
	if time.Now().Before(w.notBefore) {
		w.mu.Unlock()
		return
	}
	steps := w.plan.Next(time.Now(), endpoints, func(id string) int { return running[id] })
	w.mu.Unlock()
	if len(steps) == 0 || !w.renew(ctx) {
		return
	}
	var sends sync.WaitGroup
	for _, s := range steps {
		sends.Add(1)
		go func() {
			defer sends.Done()
			w.send(ctx, s)
		}()
	}
	sends.Wait()
	w.announce()
}

// Loads returns the loads that this host has ordered and that should still be going on.
func (w *Weights) Loads(now time.Time) []upgrades.Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		return nil
	}
	return w.plan.Loads(now)
}

func (w *Weights) send(ctx context.Context, s upgrades.LoadOrder) {
	orders, err := w.ordersOf(ctx, s.Endpoint)
	if err != nil {
		w.log.Warn("An engine's report cannot be read.", "endpoint", s.Endpoint.ID, "err", err)
		w.mu.Lock()
		w.plan.OutcomeUnknown(time.Now(), s)
		w.mu.Unlock()
		return
	}
	w.mu.Lock()
	lease, valid := w.lease, w.cancel != nil && sinceBoot()-w.proved < leaseValidity
	w.mu.Unlock()
	if !valid {
		return
	}
	w.mu.Lock()
	w.orderedAt = sinceBoot()
	w.mu.Unlock()
	state, err := w.client.Order(ctx, backend.Order{
		Endpoint: s.Endpoint, Model: s.Model, Version: s.Version, KeepRunning: w.keepRunning(s.Endpoint.Service),
		Holder: lease.Holder, FencingToken: lease.FencingToken, ExpectOrders: orders,
	})
	w.log.Info("An engine is ordered to a version.", "endpoint", s.Endpoint.ID, "model", s.Model, "version", s.Version,
		"from", s.Endpoint.Versions[s.Model], "fencing_token", lease.FencingToken, "expect", orders,
		"holds", err == nil && state == backend.OrderHolds, "err", err)
	w.settle(s, orders, state, err)
	if errors.Is(err, backend.ErrFenced) {
		w.lose("an engine has seen a higher fencing token")
	}
}

// settle records an engine's answer to an order.
func (w *Weights) settle(s upgrades.LoadOrder, orders int64, state backend.OrderState, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.orders, s.Endpoint.ID)
	switch {
	case err != nil:
		w.plan.OutcomeUnknown(time.Now(), s)
	case state == backend.OrderAccepted:
		w.plan.Accepted(time.Now(), s)
		for _, l := range w.plan.Loads(time.Now()) {
			w.fleet.With(func(t *placement.Table) { t.SetLoading(time.Now(), placement.WeightsKey(l.Endpoint, l.Model), l.Until) })
		}
		w.orders[s.Endpoint.ID] = orderCount{incarnation: s.Endpoint.Incarnation, count: orders + 1}
	default:
		w.plan.Accepted(time.Now(), s)
	}
}

// ordersOf returns how many orders an engine has accepted, from its own report unless
// this host gave the last one.
func (w *Weights) ordersOf(ctx context.Context, e catalog.Endpoint) (int64, error) {
	w.mu.Lock()
	known, ok := w.orders[e.ID]
	w.mu.Unlock()
	if ok && known.incarnation == e.Incarnation {
		return known.count, nil
	}
	report, err := w.client.Observe(ctx, e)
	if err != nil {
		return 0, err
	}
	if report.Incarnation != 0 && report.Incarnation != e.Incarnation {
		return 0, backend.ErrReplaced
	}
	return report.Orders, nil
}

// keepRunning reports whether samples may continue under a new version: not where a
// route of the service needs one version for each sample.
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
