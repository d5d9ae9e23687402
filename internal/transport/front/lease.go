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
	// weightsLeaseKey is the store object of the weights lease. Its holder is the only host
	// that orders engines to load weights.
	weightsLeaseKey = "leases/weights"
	// weightsTask is the task name for the succession order of the lease holders.
	weightsTask = "weights"
	// leaseValidity is how long orders may be sent after a confirmed renewal was sent. A new
	// holder waits for it in addition to the required interval between the orders of two
	// holders.
	leaseValidity = 600 * time.Millisecond
	// leaseUnchangedPeriod is how long a lease must stay unchanged before another host takes
	// it from a holder that is alive but whose heartbeats report no fencing token: the holder
	// may have acquired it just now.
	leaseUnchangedPeriod = 1500 * time.Millisecond
)

// leaseRecord is the stored content of the weights lease.
type leaseRecord struct {
	Holder string `json:"holder"`
	// FencingToken increases with each acquisition, also when a restarted process acquires
	// the lease again.
	FencingToken uint64 `json:"fencing_token"`
	// Released says that the holder sends no more orders. LastOrderAgoMs is the time in
	// milliseconds from its last order to the release.
	Released       bool  `json:"released,omitempty"`
	LastOrderAgoMs int64 `json:"last_order_ago_ms,omitempty"`
}

// sinceBoot returns the time since boot, including time suspended, which time.Since leaves
// out: a lease must not look valid after a suspension.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// FencingToken returns the lease's fencing token if this host holds the lease, else zero.
func (w *Weights) FencingToken() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		return 0
	}
	return w.lease.FencingToken
}

// superseded reports whether a live peer reports a higher fencing token.
func (w *Weights) superseded() bool {
	own := w.FencingToken()
	for _, p := range w.peers.Alive() {
		if p.FencingToken > own {
			return true
		}
	}
	return false
}

// reacquire acquires the lease immediately if this host held it before its restart. A stale
// answer is enough: a host that acquired the lease just before its restart acquires it again
// as a successor would.
func (w *Weights) reacquire(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, staleReadTimeout)
	defer cancel()
	o, err := w.stale.Get(readCtx, weightsLeaseKey)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		o, err = w.store.Get(ctx, weightsLeaseKey)
	}
	var current leaseRecord
	if err == nil {
		err = batches.Decode(o.Value, &current)
	}
	switch {
	case err == nil && current.Holder == w.settings.Host:
		w.acquire(ctx)
	case err != nil && !errors.Is(err, objectapi.ErrNotFound):
		w.log.Warn("Failed to read weights lease", "err", err)
	}
}

// isSuccessor reports whether this host should acquire the lease: no live peer reports that
// it holds the lease, except draining ones, and this host ranks first among the candidates.
func (w *Weights) isSuccessor() bool {
	if !w.ready() {
		return false
	}
	for _, p := range w.peers.Alive() {
		if p.FencingToken != 0 && !p.Draining {
			return false
		}
	}
	return w.ranksFirst()
}

// ranksFirst reports whether this host is the first in the succession order of the lease holders.
func (w *Weights) ranksFirst() bool {
	return presence.Successor(weightsTask, append(w.peers.Candidates(), w.candidate())) == w.settings.Host
}

// acquire takes the lease with the next fencing token, unless a live holder may still
// hold it.
func (w *Weights) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	var current leaseRecord
	o, err := w.store.Get(ctx, weightsLeaseKey)
	if err == nil {
		err = batches.Decode(o.Value, &current)
	}
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		w.log.Warn("Failed to read weights lease", "err", err)
		return
	}
	if _, alive := w.peers.Get(current.Holder); alive && !current.Released && !w.leaseUnchanged(o.Version) {
		return
	}
	next := leaseRecord{Holder: w.settings.Host, FencingToken: current.FencingToken + 1}
	value, err := batches.Encode(next)
	if err != nil {
		w.log.Error("Failed to encode weights lease", "err", err)
		return
	}
	sent := sinceBoot()
	version, err := w.store.Put(ctx, weightsLeaseKey, value, o.Version)
	if err != nil {
		w.log.Warn("Failed to acquire weights lease", "err", err)
		return
	}
	wait := w.firstOrderDelay(current)
	w.startHolding(next, version, sent, wait, current.Holder)
	w.log.Info("Acquired weights lease", "fencing_token", next.FencingToken, "former", current.Holder, "wait_ms", wait.Milliseconds())
}

// firstOrderDelay returns how long this host must wait before its first order, so that the
// required interval since the previous holder's last possible order has passed.
func (w *Weights) firstOrderDelay(previous leaseRecord) time.Duration {
	switch {
	case previous.Holder == "" || previous.Holder == w.settings.Host:
		return 0
	case previous.Released:
		return max(w.settings.Lease-time.Duration(previous.LastOrderAgoMs)*time.Millisecond, 0)
	}
	return w.settings.Lease + leaseValidity
}

// leaseUnchanged reports whether the lease has had this version for longer than
// leaseUnchangedPeriod.
func (w *Weights) leaseUnchanged(version uint64) bool {
	if w.observedLeaseVersion != version {
		w.observedLeaseVersion, w.leaseObservedAt = version, time.Now()
		return false
	}
	return time.Since(w.leaseObservedAt) > leaseUnchangedPeriod
}

// startHolding records the acquired lease and starts following the target versions and the
// removals of store hosts. sent is the boot time at which the acquisition was sent. The first
// order is sent after wait.
func (w *Weights) startHolding(l leaseRecord, version uint64, sent, wait time.Duration, previousHolder string) {
	previousOrderAt := sinceBoot() + wait - w.settings.Lease
	if previousHolder == w.settings.Host {
		previousOrderAt = sinceBoot() // this host's previous process may have ordered just now
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.lease, w.leaseVersion, w.renewedAt = l, version, sent
	w.notBefore = time.Now().Add(wait)
	w.plan, w.cancel, w.orderCounts, w.lastOrderAt = upgrades.NewPlan(), cancel, map[string]orderCount{}, previousOrderAt
	w.mu.Unlock()
	go func() { _ = w.store.Follow(ctx, w.decoder.ModelPrefix(), targetFollower{w}) }()
	go w.pollTargets(ctx)
	go func() { _ = w.store.Follow(ctx, w.decoder.StoreRemovalPrefix(), removalFollower{w, ctx}) }()
}

// release stops holding the lease and marks it as released in the store, so that the next
// holder need not wait until it expires.
func (w *Weights) release(ctx context.Context, reason string) {
	w.stopHolding(reason)
	w.mu.Lock()
	last, version := w.lease, w.leaseVersion
	last.LastOrderAgoMs = (sinceBoot() - w.lastOrderAt).Milliseconds()
	w.mu.Unlock()
	last.Released = true
	value, err := batches.Encode(last)
	if err != nil {
		w.log.Error("Failed to encode weights lease", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	if _, err := w.store.Put(ctx, weightsLeaseKey, value, version); err != nil {
		w.log.Warn("Failed to release weights lease; the next holder waits until it expires", "err", err)
	}
}

// stopHolding stops acting as the holder, without writing to the store.
func (w *Weights) stopHolding(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		return
	}
	w.cancel()
	w.cancel = nil
	w.log.Info("Stopped holding weights lease", "fencing_token", w.lease.FencingToken, "reason", reason)
}

// renew reports whether this host still holds the lease, and renews it when half of
// leaseValidity has passed. After a conflict or an unresolved write, it stops holding the
// lease. After any other error the host keeps it and sends no orders.
func (w *Weights) renew(ctx context.Context) bool {
	w.mu.Lock()
	lease, version, fresh := w.lease, w.leaseVersion, sinceBoot()-w.renewedAt < leaseValidity/2
	w.mu.Unlock()
	if fresh {
		return true
	}
	value, err := batches.Encode(lease)
	if err != nil {
		w.log.Error("Failed to encode weights lease", "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	sent := sinceBoot()
	next, err := w.store.Put(ctx, weightsLeaseKey, value, version)
	switch {
	case err == nil:
		w.mu.Lock()
		w.leaseVersion, w.renewedAt = next, sent
		w.mu.Unlock()
		return true
	case objectapi.Unresolved(err), errors.Is(err, objectapi.ErrConflict):
		w.stopHolding("renewal failed: " + err.Error())
	default:
		w.log.Warn("Failed to renew weights lease", "err", err)
	}
	return false
}
