package front

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/upgrades"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// weightsLeaseKey is the object that names the host that orders engines.
	weightsLeaseKey = "leases/weights"
	// weightsSubject ranks the hosts as successors of the holder.
	weightsSubject = "weights"
	// weightsTick is the pause between looks at the plan.
	weightsTick = 100 * time.Millisecond
	// leaseValidity is how long a confirmed renewal allows orders. A new holder waits
	// for it too, on top of the distance that two holders' orders must keep.
	leaseValidity = 600 * time.Millisecond
	// leaseSettle is how long a lease whose holder is alive must stay unclaimed before
	// another host takes it: its holder may have taken it just now.
	leaseSettle = 1500 * time.Millisecond
	// targetPoll is the pause between readings of the named versions.
	targetPoll = 2 * time.Second
	// statusRetry is the pause before a status that could not be written is tried again.
	statusRetry = 500 * time.Millisecond
)

// leaseRecord is the weights lease.
type leaseRecord struct {
	Holder string `json:"holder"`
	// FencingToken grows with each change of the holder or of its process.
	FencingToken uint64 `json:"fencing_token"`
	// Released says that the holder sends no more orders, and LastOrderAgoMs how long
	// before the release it sent the last one, in milliseconds.
	Released       bool  `json:"released,omitempty"`
	LastOrderAgoMs int64 `json:"last_order_ago_ms,omitempty"`
}

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

// sinceBoot is a clock that goes on while the host is suspended, unlike time.Since: a
// lease must not look fresh after a suspension.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// FencingToken returns the lease's when this host holds it, else zero.
func (w *Weights) FencingToken() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		return 0
	}
	return w.lease.FencingToken
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

// superseded reports whether a peer holds the lease with a higher fencing token.
func (w *Weights) superseded() bool {
	own := w.FencingToken()
	for _, p := range w.peers.Alive() {
		if p.FencingToken > own {
			return true
		}
	}
	return false
}

// resume takes the lease at once when this host held it before its restart.
func (w *Weights) resume(ctx context.Context) {
	o, err := w.store.Get(ctx, weightsLeaseKey)
	var present leaseRecord
	if err == nil {
		err = batches.Decode(o.Value, &present)
	}
	switch {
	case err == nil && present.Holder == w.settings.Host:
		w.acquire(ctx)
	case err != nil && !errors.Is(err, objectapi.ErrNotFound):
		w.log.Warn("The weights lease cannot be read.", "err", err)
	}
}

// falls reports whether the lease should be this host's.
func (w *Weights) falls() bool {
	if !w.ready() {
		return false
	}
	candidates := []presence.Heartbeat{{Host: w.settings.Host, Ready: true, StoreReachable: w.reachable()}}
	for _, p := range w.peers.Alive() {
		if p.FencingToken != 0 && !p.Draining {
			return false
		}
		candidates = append(candidates, p.Heartbeat)
	}
	return presence.Successor(weightsSubject, candidates) == w.settings.Host
}

func (w *Weights) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	var present leaseRecord
	o, err := w.store.Get(ctx, weightsLeaseKey)
	if err == nil {
		err = batches.Decode(o.Value, &present)
	}
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		w.log.Warn("The weights lease cannot be read.", "err", err)
		return
	}
	if _, alive := w.peers.Get(present.Holder); alive && !present.Released && !w.unclaimed(o.Version) {
		return
	}
	next := leaseRecord{Holder: w.settings.Host, FencingToken: present.FencingToken + 1}
	value, err := batches.Encode(next)
	if err != nil {
		w.log.Error("The weights lease cannot be encoded.", "err", err)
		return
	}
	sent := sinceBoot()
	version, err := w.store.Put(ctx, weightsLeaseKey, value, o.Version)
	if err != nil {
		w.log.Warn("The weights lease could not be taken.", "err", err)
		return
	}
	wait := w.distance(present)
	w.hold(next, version, sent, wait, present.Holder)
	w.log.Info("The weights lease is taken.", "fencing_token", next.FencingToken, "former", present.Holder, "wait_ms", wait.Milliseconds())
}

// distance returns how long this host must wait before its first order, so that it is
// far enough from the last one that the former holder may have sent.
func (w *Weights) distance(former leaseRecord) time.Duration {
	switch {
	case former.Holder == "" || former.Holder == w.settings.Host:
		return 0
	case former.Released:
		return max(w.settings.Lease-time.Duration(former.LastOrderAgoMs)*time.Millisecond, 0)
	}
	return w.settings.Lease + leaseValidity
}

// unclaimed reports whether the lease has had this version for a while.
func (w *Weights) unclaimed(version uint64) bool {
	if w.seen != version {
		w.seen, w.seenAt = version, time.Now()
		return false
	}
	return time.Since(w.seenAt) > leaseSettle
}

// hold starts the duties of the holder. Its first order is sent after wait.
func (w *Weights) hold(l leaseRecord, version uint64, sent, wait time.Duration, former string) {
	formerOrder := sinceBoot() + wait - w.settings.Lease
	if former == w.settings.Host {
		formerOrder = sinceBoot() // this host's former process may have ordered just now
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.lease, w.version, w.proved = l, version, sent
	w.notBefore = time.Now().Add(wait)
	w.plan, w.cancel, w.orders, w.orderedAt = upgrades.NewPlan(), cancel, map[string]orderCount{}, formerOrder
	w.mu.Unlock()
	go func() { _ = w.store.Follow(ctx, w.decoder.ModelPrefix(), targetFollower{w}) }()
	go w.pollTargets(ctx)
	go func() { _ = w.store.Follow(ctx, w.decoder.StoreRemovalPrefix(), removalFollower{w, ctx}) }()
}

// pollTargets reads the named versions besides the watch, which may stay without
// events for seconds when the store drops its history.
func (w *Weights) pollTargets(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := w.store.List(ctx, w.decoder.ModelPrefix(), "", 0)
		if err != nil && ctx.Err() == nil {
			w.log.Warn("The named versions cannot be listed.", "err", err)
		}
		targetFollower{w}.Reset(page.Objects)
		select {
		case <-ctx.Done():
		case <-time.After(targetPoll):
		}
	}
}

// release gives the lease up for good, so that its next holder need not doubt it.
func (w *Weights) release(ctx context.Context) {
	w.lose("the host is stopping")
	w.mu.Lock()
	last, version := w.lease, w.version
	last.LastOrderAgoMs = (sinceBoot() - w.orderedAt).Milliseconds()
	w.mu.Unlock()
	last.Released = true
	value, err := batches.Encode(last)
	if err != nil {
		w.log.Error("The weights lease cannot be encoded.", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	if _, err := w.store.Put(ctx, weightsLeaseKey, value, version); err != nil {
		w.log.Warn("The weights lease could not be released; its next holder waits for its end.", "err", err)
	}
}

func (w *Weights) lose(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		return
	}
	w.cancel()
	w.cancel = nil
	w.log.Info("The weights lease is given up.", "fencing_token", w.lease.FencingToken, "reason", why)
}

// order sends what the plan asks for now.
func (w *Weights) order(ctx context.Context) {
	var endpoints []catalog.Endpoint
	running := map[string]int{}
	w.fleet.With(func(t *placement.Table) {
		endpoints = t.All()
		for _, e := range endpoints {
			running[e.ID] = t.Running(e.ID)
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

// renew makes sure that this host still holds the lease.
func (w *Weights) renew(ctx context.Context) bool {
	w.mu.Lock()
	lease, version, fresh := w.lease, w.version, sinceBoot()-w.proved < leaseValidity/2
	w.mu.Unlock()
	if fresh {
		return true
	}
	value, err := batches.Encode(lease)
	if err != nil {
		w.log.Error("The weights lease cannot be encoded.", "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	sent := sinceBoot()
	next, err := w.store.Put(ctx, weightsLeaseKey, value, version)
	switch {
	case err == nil:
		w.mu.Lock()
		w.version, w.proved = next, sent
		w.mu.Unlock()
		return true
	case objectapi.Unresolved(err), errors.Is(err, objectapi.ErrConflict):
		w.lose("it could not be renewed: " + err.Error())
	default:
		w.log.Warn("The weights lease could not be renewed.", "err", err)
	}
	return false
}

func (w *Weights) send(ctx context.Context, s upgrades.Step) {
	orders, err := w.ordersOf(ctx, s.Endpoint)
	if err != nil {
		w.log.Warn("An engine's report cannot be read.", "endpoint", s.Endpoint.ID, "err", err)
		w.mu.Lock()
		w.plan.Unclear(time.Now(), s)
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
func (w *Weights) settle(s upgrades.Step, orders int64, state backend.OrderState, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.orders, s.Endpoint.ID)
	switch {
	case err != nil:
		w.plan.Unclear(time.Now(), s)
	case state == backend.OrderAccepted:
		w.plan.Accepted(time.Now(), s)
		for _, l := range w.plan.Loads(time.Now()) {
			w.fleet.With(func(t *placement.Table) { t.SetLoading(time.Now(), placement.LoadKey(l.Endpoint, l.Model), l.Until) })
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

// targetFollower takes the versions that trainers name.
type targetFollower struct{ w *Weights }

// Reset implements objectapi.Handler.
func (f targetFollower) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		f.Change(objectapi.Event{Object: o})
	}
}

// Change implements objectapi.Handler.
func (f targetFollower) Change(e objectapi.Event) {
	if e.Deleted {
		return
	}
	model, version, err := f.w.decoder.ModelVersion(e.Key, e.Value)
	if err != nil {
		f.w.log.Error("A model's version cannot be read.", "key", e.Key, "err", err)
		return
	}
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.w.plan.SetTarget(model, version) {
		f.w.log.Info("A version is named.", "model", model, "version", version)
	}
}

// removalFollower answers requests to empty a store host: it holds nothing of ours.
type removalFollower struct {
	w   *Weights
	ctx context.Context
}

// Reset implements objectapi.Handler.
func (f removalFollower) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		f.Change(objectapi.Event{Object: o})
	}
}

// Change implements objectapi.Handler.
func (f removalFollower) Change(e objectapi.Event) {
	if e.Deleted {
		return
	}
	host := strings.TrimPrefix(e.Key, f.w.decoder.StoreRemovalPrefix())
	go func() {
		for f.ctx.Err() == nil {
			err := f.w.statuses.PutStatus(f.ctx, e.Key, f.w.decoder.RemovalDone())
			f.w.log.Info("A store host may be removed.", "host", host, "err", err)
			if err == nil || errors.Is(err, objectapi.ErrNotFound) {
				return
			}
			select {
			case <-f.ctx.Done():
			case <-time.After(statusRetry):
			}
		}
	}()
}
