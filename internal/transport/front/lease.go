package front

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/upgrades"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// weightsLeaseKey is the object that names the host that orders engines.
	weightsLeaseKey = "leases/weights"
	// weightsSubject ranks the hosts as successors of the holder.
	weightsSubject = "weights"
	// leaseValidity is how long a confirmed renewal allows orders. A new holder waits
	// for it too, on top of the distance that two holders' orders must keep.
	leaseValidity = 600 * time.Millisecond
	// leaseSettle is how long a lease whose holder is alive must stay unclaimed before
	// another host takes it: its holder may have taken it just now.
	leaseSettle = 1500 * time.Millisecond
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
