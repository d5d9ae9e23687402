// Package duties decides which host performs the operator's duties, and makes the calls to the
// operator's API for it. A lease object in the store names the holder and its fencing token.
//
// Invariant: a call is sent only within Validity after the sending of a confirmed renewal, and the
// first call of a holder follows the last call of the one before by at least Settings.Distance, unless
// the API executes a call later than it was sent.
package duties

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

const (
	// leaseKey is the store object of the lease.
	leaseKey = "leases/duties"
	// task is the task name for the succession order of the holders.
	task = "duties"
	// Validity is how long calls may be sent after a confirmed renewal was sent. A new holder waits
	// for it in addition to the distance between the calls of two holders, so that a longer one
	// would make the reports that are due at a change of the holder late.
	Validity = 1500 * time.Millisecond
	// renewInterval leaves a renewal half a second, which the store takes when it is slow.
	renewInterval = time.Second
	// unchangedPeriod is how long a lease must stay unchanged before another host takes it from a
	// holder that is alive but does not say whether it holds it: it may have acquired it just now.
	unchangedPeriod = 1500 * time.Millisecond
	// askTimeout bounds the question to a holder whether it still is one.
	askTimeout = 500 * time.Millisecond
	// startDelay is how long a new process waits for the heartbeats of a holder.
	startDelay = time.Second
	// checkInterval is the interval at which a host checks whether it should hold the lease.
	checkInterval = 200 * time.Millisecond
	// storeCallTimeout bounds a call to the store about the lease.
	storeCallTimeout = 2500 * time.Millisecond
	// unreachableBeforeRelease is how long the store has not served a holder before it releases the
	// lease. One failed call does not move the lease.
	unreachableBeforeRelease = 1500 * time.Millisecond
	// failingBeforeRelease is how long the operator's API has not answered a holder before it
	// releases the lease to a host that may reach it, and impairedPeriod how long it then leaves the
	// lease to others. A report that waits for the first failure, the next holder and its first call
	// is still sent within the 10 s in which it is due.
	failingBeforeRelease = 2500 * time.Millisecond
	impairedPeriod       = 30 * time.Second
	// lateExecution is how long after a call without an answer the lease is not handed over because
	// the API fails: the call may be executed after those of the next holder, with a lower token.
	lateExecution = 10 * time.Second
	// acquisitionPause is the time between two attempts to acquire the lease.
	acquisitionPause = time.Second
	// releaseTimeout bounds the release on a planned stop, which may have little time left.
	releaseTimeout = time.Second
)

// record is the stored content of the lease.
type record struct {
	Holder string `json:"holder"`
	// FencingToken increases with each acquisition, also when the same host acquires the lease
	// again.
	FencingToken uint64 `json:"fencing_token"`
	// Released says that the holder sends no more calls. LastCallAgoMs is the time in milliseconds
	// from its last call to the release.
	Released      bool  `json:"released,omitempty"`
	LastCallAgoMs int64 `json:"last_call_ago_ms,omitempty"`
}

// Settings configures a Lease.
type Settings struct {
	Host string
	// Distance is the minimum time between the last call of a holder and the first of the next one.
	Distance time.Duration
	// Now returns the boot time; nil means clock.SinceBoot.
	Now func() time.Duration
}

// Fleet is what a host knows about the other hosts.
type Fleet struct {
	// Peers returns the live hosts without this one, and Candidates those that may perform tasks,
	// including this one.
	Peers      func() []presence.Member
	Candidates func() []presence.Candidate
	// Ready reports whether this host may perform tasks, Draining whether it is about to stop,
	// StoreReachable whether the store serves it directly.
	Ready          func() bool
	Draining       func() bool
	StoreReachable func() bool
	// Announce sends a heartbeat immediately.
	Announce func()
	// AskToken asks a host for the fencing token with which it holds the lease, zero if it does not
	// hold it. Heartbeats that pass through a hub of a build without duties do not report it.
	AskToken func(ctx context.Context, host string) (uint64, error)
}

// Lease is this host's view of the duties lease. It is safe for concurrent use.
type Lease struct {
	settings Settings
	store    objectapi.API
	fleet    Fleet
	log      *slog.Logger
	now      func() time.Duration

	holding      prometheus.Gauge
	acquisitions prometheus.Counter
	renewals     *prometheus.CounterVec

	mu sync.Mutex
	// held is set while this host holds the lease. own is its record, version that of the object.
	held    bool
	own     record
	version uint64
	// renewedAt is the boot time at which the last confirmed renewal was sent, notBefore the
	// earliest one for a call, lastCall that of the last call that this or a former holder may have
	// sent, and inFlight the number of calls without an answer so far.
	renewedAt time.Duration
	notBefore time.Duration
	lastCall  time.Duration
	inFlight  int
	// renewalFailing is set after a failed renewal until the next confirmed one.
	renewalFailing bool
	// cancel ends the duties, running counts those that have not ended.
	cancel  context.CancelFunc
	running sync.WaitGroup
	// failingSince is the boot time of the first of the calls that the API has not answered since it
	// last answered one, zero if there is none. impairedUntil is until when others are to hold the
	// lease.
	failingSince  time.Duration
	impairedUntil time.Duration
	// unconfirmedAt is when the last call ended that may be executed later.
	unconfirmedAt time.Duration
	// mustRelease is the reason for a release that is due, or empty. No calls are sent until then.
	mustRelease string

	// The fields below are used by the goroutine of Run only. seenVersion is the version of the
	// lease object that this host read last, seenAt when it first read it, and unreachableSince
	// since when the store has not served this host, zero if it does.
	seenVersion      uint64
	seenAt           time.Duration
	unreachableSince time.Duration
	// triedAt is when this host last tried to acquire the lease.
	triedAt time.Duration
}

// NewLease returns a lease that is not held and registers its metrics. Run acquires it.
func NewLease(s Settings, store objectapi.API, fleet Fleet, log *slog.Logger, reg prometheus.Registerer) *Lease {
	l := &Lease{settings: s, store: store, fleet: fleet, log: log, now: clock.SinceBoot,
		holding: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oleander_duties_holding", Help: "1 while this host holds the duties lease, else 0.",
		}),
		acquisitions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oleander_duties_acquisitions_total", Help: "How often this host acquired the duties lease.",
		}),
		renewals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_duties_renewals_total", Help: "Renewals of the duties lease by outcome.",
		}, []string{"outcome"}),
	}
	if s.Now != nil {
		l.now = s.Now
	}
	reg.MustRegister(l.holding, l.acquisitions, l.renewals)
	return l
}

// Token returns the fencing token if this host holds the lease, also while it must not send calls,
// else zero. Heartbeats report it.
func (l *Lease) Token() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return 0
	}
	return l.own.FencingToken
}

// State returns whether this host may hold the lease. Heartbeats report it.
func (l *Lease) State() presence.DutiesState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now() < l.impairedUntil {
		return presence.DutiesImpaired
	}
	return presence.DutiesAble
}

// Credentials returns the credentials for calls and whether this host may send them at boot time now.
func (l *Lease) Credentials(now time.Duration) (operatorapi.Credentials, bool) {
	token, ok := l.Holding(now)
	return operatorapi.Credentials{Holder: l.settings.Host, Token: token}, ok
}

// Holding returns the fencing token and whether this host may send calls at boot time now (see
// clock.SinceBoot).
func (l *Lease) Holding(now time.Duration) (token uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own.FencingToken, l.valid(now)
}

// valid reports whether calls may be sent. The caller holds the lock.
func (l *Lease) valid(now time.Duration) bool {
	return l.held && l.mustRelease == "" && now >= l.notBefore && now < l.renewedAt+Validity
}

// Confirmed reports whether the last renewal is still valid at boot time now. It is so also while a new
// holder waits before its first call.
func (l *Lease) Confirmed(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && now < l.renewedAt+Validity
}

// StoredHolder returns the host that the stored lease names and its fencing token, empty if the lease
// is released.
func (l *Lease) StoredHolder(ctx context.Context) (host string, token uint64, err error) {
	r, _, err := l.read(ctx)
	if err != nil || r.Released {
		return "", 0, err
	}
	return r.Holder, r.FencingToken, nil
}

// Run acquires the lease when this host is its next holder, and renews it while it is held. Each
// duty runs while this host holds the lease: its context ends when the host stops holding it, and it must
// return soon after, since the lease is not acquired again before. A duty must check Holding before each
// call, or make it through Calls, since it also runs while calls are not allowed yet. Run
// releases the lease when the host drains, and returns when ctx ends.
func (l *Lease) Run(ctx context.Context, duties ...func(context.Context)) {
	started := l.now()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stop("the process is stopping")
			return
		case <-ticker.C:
		}
		l.step(ctx, started, duties)
	}
}

// step makes one check of the lease.
func (l *Lease) step(ctx context.Context, started time.Duration, duties []func(context.Context)) {
	if l.Token() == 0 {
		now := l.now()
		if now-started > startDelay && now-l.triedAt >= acquisitionPause && l.isSuccessor() {
			l.triedAt = now
			l.acquire(ctx, duties)
		}
		return
	}
	if reason := l.releaseReason(); reason != "" {
		l.release(ctx, reason)
		return
	}
	if l.superseded() {
		l.stop("another host has a higher fencing token")
		return
	}
	l.mu.Lock()
	due := l.now()-l.renewedAt >= renewInterval
	l.mu.Unlock()
	if due {
		l.Confirm(ctx)
	}
}

// releaseReason returns why this host should release the lease, empty if it should not.
func (l *Lease) releaseReason() string {
	l.mu.Lock()
	reason := l.mustRelease
	l.mu.Unlock()
	if reason != "" {
		return reason
	}
	if l.fleet.Draining() {
		return "the host is stopping"
	}
	if l.failing() {
		return "the operator's API does not answer the host"
	}
	if l.fleet.StoreReachable() {
		l.unreachableSince = 0
		return ""
	}
	if l.unreachableSince == 0 {
		l.unreachableSince = l.now()
	}
	if l.now()-l.unreachableSince < unreachableBeforeRelease {
		return ""
	}
	// If the store serves no host, none can take over.
	if l.hasOther(func(c presence.Candidate) bool { return c.StoreReachable }) {
		return "the store does not serve the host"
	}
	return ""
}

// failing reports whether the API has not answered this host's calls for failingBeforeRelease while
// another host may reach it, and if so marks this host as impaired.
func (l *Lease) failing() bool {
	l.mu.Lock()
	since, unconfirmedAt := l.failingSince, l.unconfirmedAt
	l.mu.Unlock()
	if since == 0 || l.now()-since < failingBeforeRelease || unconfirmedAt != 0 && l.now()-unconfirmedAt < lateExecution {
		return false
	}
	able := map[string]bool{}
	for _, p := range l.fleet.Peers() {
		able[p.Host] = p.Duties == presence.DutiesAble
	}
	if !l.hasOther(func(c presence.Candidate) bool { return able[c.Host] }) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.impairedUntil, l.failingSince = l.now()+impairedPeriod, 0
	return true
}

// hasOther reports whether another host may perform tasks and fulfils a condition.
func (l *Lease) hasOther(condition func(presence.Candidate) bool) bool {
	return slices.ContainsFunc(l.fleet.Candidates(), func(c presence.Candidate) bool {
		return c.Host != l.settings.Host && c.Ready && !c.Draining && condition(c)
	})
}

// candidates returns the hosts that may hold the lease: those of builds that know the duties, and
// among these the ones that are not impaired, if there are any.
func (l *Lease) candidates() []presence.Candidate {
	states := map[string]presence.DutiesState{l.settings.Host: l.State()}
	for _, p := range l.fleet.Peers() {
		states[p.Host] = p.Duties
	}
	all := l.fleet.Candidates()
	best := presence.DutiesImpaired
	for _, c := range all {
		if c.Ready && !c.Draining {
			best = max(best, states[c.Host])
		}
	}
	return slices.DeleteFunc(all, func(c presence.Candidate) bool { return states[c.Host] < best })
}

// isSuccessor reports whether this host should acquire the lease: no live peer reports that it holds
// the lease, except draining ones, and this host ranks first among the candidates.
func (l *Lease) isSuccessor() bool {
	if !l.fleet.Ready() || l.fleet.Draining() {
		return false
	}
	for _, p := range l.fleet.Peers() {
		if p.DutiesToken != 0 && !p.Draining {
			return false
		}
	}
	return presence.Successor(task, l.candidates()) == l.settings.Host
}

// superseded reports whether a live peer reports a higher fencing token.
func (l *Lease) superseded() bool {
	own := l.Token()
	for _, p := range l.fleet.Peers() {
		if p.DutiesToken > own {
			return true
		}
	}
	return false
}

// read reads the record. An absent one is empty and has version 0.
func (l *Lease) read(ctx context.Context) (r record, version uint64, err error) {
	o, err := l.store.Get(ctx, leaseKey)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		return record{}, 0, nil
	case err != nil:
		return record{}, 0, err
	}
	return r, o.Version, json.Unmarshal(o.Value, &r)
}

// acquire takes the lease with the next fencing token, unless a live holder may still hold it.
func (l *Lease) acquire(ctx context.Context, duties []func(context.Context)) {
	l.running.Wait()
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	current, version, err := l.read(callCtx)
	if err != nil {
		l.log.Warn("Failed to read duties lease", "err", err)
		return
	}
	if l.mayBeHeld(callCtx, current, version) {
		return
	}
	next := record{Holder: l.settings.Host, FencingToken: current.FencingToken + 1}
	value, err := json.Marshal(next)
	if err != nil {
		l.log.Error("Failed to encode duties lease", "err", err)
		return
	}
	sent := l.now()
	version, err = l.store.Put(callCtx, leaseKey, value, version)
	if err != nil {
		l.log.Warn("Failed to acquire duties lease", "err", err)
		return
	}
	wait := l.firstCallDelay(current)
	dutiesCtx, cancelDuties := context.WithCancel(ctx)
	l.mu.Lock()
	now := l.now()
	l.held, l.own, l.version, l.renewedAt, l.mustRelease, l.failingSince = true, next, version, sent, "", 0
	l.renewalFailing = false
	l.notBefore, l.lastCall = now+wait, now+wait-l.settings.Distance
	l.cancel = cancelDuties
	l.mu.Unlock()
	l.unreachableSince = 0
	l.acquisitions.Inc()
	l.holding.Set(1)
	l.log.Info("Acquired duties lease", "fencing_token", next.FencingToken, "former", current.Holder, "wait_ms", wait.Milliseconds())
	l.fleet.Announce()
	for _, d := range duties {
		l.running.Go(func() { d(dutiesCtx) })
	}
}

// mayBeHeld reports whether the host that a record names is alive and may still hold the lease. A
// former process of this host does not.
func (l *Lease) mayBeHeld(ctx context.Context, r record, version uint64) bool {
	alive := slices.ContainsFunc(l.fleet.Peers(), func(p presence.Member) bool { return p.Host == r.Holder })
	if r.Released || r.Holder == l.settings.Host || !alive {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if token, err := l.fleet.AskToken(ctx, r.Holder); err == nil {
		return token == r.FencingToken
	}
	if l.seenVersion != version {
		l.seenVersion, l.seenAt = version, l.now()
		return true
	}
	return l.now()-l.seenAt <= unchangedPeriod
}

// firstCallDelay returns how long a new holder waits before its first call. A former process of
// the same host is no exception: its calls may be executed late, and whether it had waited for the
// holder before it is not known.
func (l *Lease) firstCallDelay(previous record) time.Duration {
	switch {
	case previous.Holder == "":
		return 0
	case previous.Released:
		return max(l.settings.Distance-time.Duration(previous.LastCallAgoMs)*time.Millisecond, 0)
	}
	return l.settings.Distance + Validity
}

// Confirm renews the lease: it reads the record and reports whether this host holds the lease with
// the same fencing token. The read is linearizable, so a host that takes the lease afterwards waits for
// Validity after the read was sent at least. If the record is another one, this host stops holding
// the lease. After an error it keeps the lease, and calls are allowed while the last renewal is valid.
func (l *Lease) Confirm(ctx context.Context) bool {
	token := l.Token()
	if token == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := l.now()
	r, version, err := l.read(ctx)
	if err != nil {
		l.renewals.WithLabelValues("failed").Inc()
		l.mu.Lock()
		first := !l.renewalFailing
		l.renewalFailing = true
		l.mu.Unlock()
		if first { // the renewal is tried several times a second
			l.log.Warn("Failed to renew duties lease; trying again", "fencing_token", token, "err", err)
		}
		return false
	}
	if r.Holder != l.settings.Host || r.FencingToken != token || r.Released {
		l.renewals.WithLabelValues("lost").Inc()
		// Meanwhile this host may have released the lease and acquired it again.
		if l.Token() == token {
			l.stop("the lease is held by " + r.Holder)
		}
		return false
	}
	l.renewals.WithLabelValues("confirmed").Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.own.FencingToken != token {
		return false
	}
	l.renewedAt, l.version = max(l.renewedAt, sent), version
	if l.renewalFailing {
		l.renewalFailing = false
		l.log.Info("Renewed duties lease again", "fencing_token", token)
	}
	return true
}

// stop ends the duties without writing to the store.
func (l *Lease) stop(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return
	}
	l.held = false
	l.cancel()
	l.holding.Set(0)
	l.log.Info("Stopped holding duties lease", "fencing_token", l.own.FencingToken, "reason", reason)
}

// release ends the duties and marks the lease as released in the store, so that the next holder need
// not wait until it expires.
func (l *Lease) release(ctx context.Context, reason string) {
	l.stop(reason)
	l.mu.Lock()
	last, version := l.own, l.version
	last.Released = true
	if l.inFlight == 0 {
		last.LastCallAgoMs = max((l.now() - l.lastCall).Milliseconds(), 0)
	}
	l.mu.Unlock()
	defer l.fleet.Announce()
	value, err := json.Marshal(last)
	if err != nil {
		l.log.Error("Failed to encode duties lease", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := l.store.Put(ctx, leaseKey, value, version); err != nil {
		l.log.Warn("Failed to release duties lease; the next holder waits until it expires", "err", err)
	}
}

// beginCall reports whether a call with a fencing token may be sent now and for another allowance,
// and if so records that it is in flight until endCall.
func (l *Lease) beginCall(token uint64, allowance time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if token != l.own.FencingToken || !l.valid(now) || !l.valid(now+allowance) {
		return false
	}
	l.inFlight++
	return true
}

// endCall records the end of a call, whether the API answered it, and whether it may be executed later.
func (l *Lease) endCall(answered, unconfirmed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.lastCall = l.now()
	if unconfirmed {
		l.unconfirmedAt = l.lastCall
	}
	switch {
	case answered:
		l.failingSince = 0
	case l.failingSince == 0:
		l.failingSince = l.lastCall
	}
}

// refused makes Run release the lease with a fencing token that the API refused. Calls with it are
// no longer allowed.
func (l *Lease) refused(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.own.FencingToken != token {
		return
	}
	l.mustRelease = "the operator's API refused the fencing token"
}
