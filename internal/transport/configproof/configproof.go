// Package configproof obtains proofs that a host's configuration is recent, and passes them on to
// other hosts; package freshness decides what they are worth.
//
// The host that reads the store for all hosts makes a proof with each linearizable read of the
// configuration. Other hosts ask for one when a request with a key needs it: a hub first, then
// further peers, at last the store. Hubs ask the reader. A host without such requests asks nobody.
//
// Invariant: Check returns nil only if, at a time after it was called, the configuration in force
// contained every configuration that the store had confirmed more than the bound before.
package configproof

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/freshness"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

const (
	// boundMargin is the part of the bound, as a divisor, by which requests are refused earlier. Ages
	// are measured by the clocks of several hosts, whose rates differ by up to 0.1 %.
	boundMargin = 100
	// peerRefreshWait is how long a hub that is asked for a proof waits for a newer one of its own.
	// The reader answers within a few milliseconds.
	peerRefreshWait = 150 * time.Millisecond
	// minRetryAfter is the minimum retry delay of refused requests. A random part of up to the same
	// length is added to spread the retries.
	minRetryAfter = 130 * time.Millisecond
)

// Answer is the answer to a peer's question for a proof. The zero value is the answer of a host that
// has none.
type Answer struct {
	// AgeMs is the age of the proof in milliseconds when the answer was written, rounded up.
	AgeMs int64 `cbor:"1,keyasint,omitempty"`
	// Generation is the one that the read of the configuration returned.
	Generation uint64 `cbor:"2,keyasint,omitempty"`
}

// Options are the dependencies of a Prover.
type Options struct {
	// Bound is the time after the confirmation of a configuration from which no request may be
	// admitted with a key that it removed.
	Bound time.Duration
	// Now returns the boot time.
	Now func() time.Duration
	// InForce returns the generation of the configuration in force, zero if there is none, and
	// whether requests need keys.
	InForce func() (generation uint64, withKeys bool)
	// Hub reports whether this host is a hub, and Hosts returns the number of hosts.
	Hub   func() bool
	Hosts func() int
	// Peers returns the live peers in the order in which they are to be asked.
	Peers func() []string
	// Ask asks a peer for a proof and returns its encoded answer. If refresh is set, the peer is to
	// get a newer proof first. The error is ErrUnsupported if the peer's build has no proofs.
	Ask func(ctx context.Context, host string, refresh bool) ([]byte, error)
	// FetchConfig fetches the configuration from a peer and puts it in force.
	FetchConfig func(ctx context.Context, host string)
	// Read makes a linearizable read of the configuration, which it puts in force and reports to
	// ObserveRead.
	Read func(ctx context.Context) error
	Log  *slog.Logger
}

// Prover holds the proofs of a host. Its methods are safe for concurrent use. Those of a nil Prover,
// which a deployment without a bound has, admit everything and ask nobody.
type Prover struct {
	opt Options
	// bound is Options.Bound less the margin.
	bound   time.Duration
	metrics *metrics

	mu      sync.Mutex
	tracker freshness.Tracker
	// changed is closed when a proof or a configuration arrives.
	changed chan struct{}
	// refreshing is closed at the end of the refresh that runs now. It is nil if none does.
	refreshing chan struct{}
	// failures counts the refreshes in a row that brought no recent proof. The next refresh starts at
	// retryAt at the earliest.
	failures int
	retryAt  time.Duration
	// answered is set if a peer has answered since the start of the last refresh, and unanswered counts
	// the refreshes in a row that no peer answered. lastSource is the peer that last brought a proof.
	answered   bool
	unanswered int
	lastSource string
	// hasRead is set after this host's first own read of the store for a refresh, and readAt is the
	// time of the last one.
	hasRead bool
	readAt  time.Duration
	// unsupported holds the peers whose build has no proofs, with the time until which they are not
	// asked again.
	unsupported map[string]time.Duration
	// refusingSince is the time of the first refusal after the last admission; it counts only while
	// refusing is set.
	refusing      bool
	refusingSince time.Duration
}

// ObserveRead records a linearizable read of the configuration that was sent at a boot time.
func (p *Prover) ObserveRead(sentAt time.Duration, generation uint64) {
	if p == nil {
		return
	}
	p.observe(sentAt, 0, generation)
}

// Reading reports whether the host that reads the store for all hosts is to make proofs.
func (p *Prover) Reading() bool {
	if p == nil {
		return false
	}
	_, withKeys := p.opt.InForce()
	return withKeys
}

// ConfigChanged wakes the requests that wait for the configuration of a known proof.
func (p *Prover) ConfigChanged() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}

func (p *Prover) observe(sentAt, age time.Duration, generation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Observe(sentAt, age, generation)
	p.notify()
}

func (p *Prover) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Check returns nil if a request with a key may be admitted. The caller must have read the request
// whole before, and must look up its key in the configuration in force after. If no fresh proof is
// known, Check waits for one until wait has passed or no host has one. Its errors have a result code
// whose outcome is NotRun.
func (p *Prover) Check(ctx context.Context, wait time.Duration) error {
	if p == nil {
		return nil
	}
	var timeout <-chan time.Time
	for {
		generation, withKeys := p.opt.InForce()
		if generation == 0 {
			return &resultcode.Error{Code: resultcode.StorageOutage, Detail: "no configuration is known yet", RetryAfterMillis: p.retryAfter().Milliseconds()}
		}
		if !withKeys {
			return nil
		}
		fresh, changed, refreshed := p.check()
		if fresh {
			return nil
		}
		if refreshed == nil || wait <= 0 {
			return p.refuse()
		}
		if timeout == nil {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-refreshed:
			wait = 0 // decides now, without another refresh to wait for
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return p.refuse()
		}
	}
}

// check reports whether there is a fresh proof. It starts a refresh if one is due, and otherwise
// returns the channels that are closed at the next change and at the end of the refresh; the latter is
// nil if none runs.
func (p *Prover) check() (fresh bool, changed, refreshed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Read under the lock: a configuration that comes into force after it closes the returned changed.
	generation, _ := p.opt.InForce()
	now := p.opt.Now()
	if p.tracker.Due(now, p.bound) || p.tracker.Generation() > generation {
		p.startRefresh(now)
	}
	fresh = p.tracker.Fresh(now, generation, p.bound)
	if fresh && p.refusing {
		p.refusing = false
		p.opt.Log.Info("Configuration is proven again; requests with keys are admitted", "generation", generation,
			"refused_for_ms", (now - p.refusingSince).Milliseconds())
	}
	return fresh, p.changed, p.refreshing
}

// refuse counts a refusal and returns its error. Only the first one in a row is logged.
func (p *Prover) refuse() error {
	p.metrics.refusals.Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.opt.Now(); !p.refusing {
		p.refusing, p.refusingSince = true, now
		generation, _ := p.opt.InForce()
		age := int64(-1)
		if a, _, ok := p.tracker.Newest(now, generation); ok {
			age = a.Milliseconds()
		}
		p.opt.Log.Warn("No recent proof of the configuration; requests with keys are refused", "generation", generation,
			"proven", p.tracker.Generation(), "age_ms", age, "failed_refreshes", p.failures)
	}
	after := max(p.retryAt-p.opt.Now(), 0) + p.retryAfter()
	return &resultcode.Error{Code: resultcode.ConfigurationStale, Detail: "the configuration may be outdated", RetryAfterMillis: after.Milliseconds()}
}

func (p *Prover) retryAfter() time.Duration { return minRetryAfter + rand.N(minRetryAfter) }

// age returns the age of the newest proof that holds for the configuration in force.
func (p *Prover) age() (age time.Duration, ok bool) {
	generation, _ := p.opt.InForce()
	p.mu.Lock()
	defer p.mu.Unlock()
	age, _, ok = p.tracker.Newest(p.opt.Now(), generation)
	return age, ok
}

// ServeHTTP answers a peer's question for a proof. The answer names the newest proof for the
// configuration in force here, so that the peer can fetch that configuration from this host. With the
// query parameter refresh, this host first replaces a proof that is no longer young.
func (p *Prover) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("refresh") {
		p.awaitYoung(r.Context())
	}
	raw, err := cbor.Marshal(p.answer())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // the peer notices errors of the connection
}

// answer computes the age at the time of the call, which is after the question was received.
func (p *Prover) answer() Answer {
	generation, _ := p.opt.InForce()
	p.mu.Lock()
	defer p.mu.Unlock()
	age, proven, ok := p.tracker.Newest(p.opt.Now(), generation)
	if !ok {
		return Answer{}
	}
	return Answer{AgeMs: int64((age + time.Millisecond - 1) / time.Millisecond), Generation: proven}
}

// awaitYoung waits until a refresh that replaces an old proof has ended, at most peerRefreshWait.
func (p *Prover) awaitYoung(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerRefreshWait)
	defer cancel()
	p.mu.Lock()
	if !p.young(p.opt.Now()) {
		p.startRefresh(p.opt.Now())
	}
	refreshed := p.refreshing
	p.mu.Unlock()
	if refreshed == nil {
		return
	}
	select {
	case <-refreshed:
	case <-ctx.Done():
	}
}
