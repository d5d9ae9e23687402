package objectapi

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

// Clock is a Client's source of time.
type Clock interface {
	Now() time.Time
	// Sleep waits for d. If ctx ends first, it returns ctx's error.
	Sleep(ctx context.Context, d time.Duration) error
}

// ClientOptions configures a Client. The zero values of the rates, the durations and Clock
// are replaced with defaults.
type ClientOptions struct {
	// ReadsPerSecond and WritesPerSecond are the maximum call rates of this process.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// AttemptTimeout limits one attempt, CallTimeout a call including its retries.
	AttemptTimeout time.Duration
	CallTimeout    time.Duration
	// WatchLifetime is the time without events, up to 25 % more or less, after which Follow
	// reopens a watch from the last revision received. It limits how long a dead connection
	// can delay changes.
	WatchLifetime time.Duration
	// Seed determines the jitter and the writer ID, which distinguishes this process's
	// writes from others. It must differ between processes.
	Seed  uint64
	Clock Clock
	// Registerer registers the client's metrics; nil disables registration.
	Registerer prometheus.Registerer
}

const (
	defaultReadsPerSecond  = 100
	defaultWritesPerSecond = 50
	defaultAttemptTimeout  = 3 * time.Second
	defaultCallTimeout     = 12 * time.Second
	defaultWatchLifetime   = 2 * time.Minute
	maxAttempts            = 6
	initialBackoff         = 40 * time.Millisecond
	maxBackoff             = 2 * time.Second
	// slowCallThreshold is the minimum duration for which a call that ended with its context
	// counts as failed in outage detection. A shorter call says nothing about the object API.
	slowCallThreshold = 500 * time.Millisecond
)

// Client implements API on top of another API. It adds rate budgets, deadlines, retries and
// outage detection, and determines whether a write whose answer was lost took effect. Put and
// Delete return ErrUnavailable only if that stays unknown. A Client is safe for concurrent use.
//
// A creation (expect 0) that is resent after a lost answer can take effect a second time only
// if another writer removed the key between the two attempts.
type Client struct {
	api           API
	opt           ClientOptions
	clock         Clock
	writerID      uint64
	writeSequence atomic.Uint64
	rng           *lockedRand
	reads         *budget
	writes        *budget
	histories     *historyCache
	metrics       *clientMetrics
	outage        outageState
}

var _ API = (*Client)(nil)

// NewClient returns a Client that sends its calls to api.
func NewClient(api API, opt ClientOptions) *Client {
	opt = withDefaults(opt)
	random := &lockedRand{r: rand.New(rand.NewPCG(opt.Seed, opt.Seed^0x9e3779b97f4a7c15))}
	c := &Client{
		api:       api,
		opt:       opt,
		clock:     opt.Clock,
		writerID:  random.uint64() | 1, // Not 0, the writer of a value without an envelope.
		rng:       random,
		reads:     newBudget(opt.ReadsPerSecond, opt.Clock),
		writes:    newBudget(opt.WritesPerSecond, opt.Clock),
		histories: newHistoryCache(),
	}
	c.metrics = newClientMetrics(opt.Registerer, c)
	return c
}

func withDefaults(opt ClientOptions) ClientOptions {
	if opt.ReadsPerSecond == 0 {
		opt.ReadsPerSecond = defaultReadsPerSecond
	}
	if opt.WritesPerSecond == 0 {
		opt.WritesPerSecond = defaultWritesPerSecond
	}
	if opt.AttemptTimeout == 0 {
		opt.AttemptTimeout = defaultAttemptTimeout
	}
	if opt.CallTimeout == 0 {
		opt.CallTimeout = defaultCallTimeout
	}
	if opt.WatchLifetime == 0 {
		opt.WatchLifetime = defaultWatchLifetime
	}
	if opt.Clock == nil {
		opt.Clock = systemClock{}
	}
	return opt
}

// SetCeilings changes the maximum call rates, in calls per second.
func (c *Client) SetCeilings(readsPerSecond, writesPerSecond float64) {
	c.reads.setCeiling(readsPerSecond)
	c.writes.setCeiling(writesPerSecond)
}

// Get implements API.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.retry(ctx, "get", func(ctx context.Context) (err error) {
		o, _, err = c.getOnce(ctx, key)
		return err
	})
	return o, err
}

// List implements API.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	var page Page
	err := c.retry(ctx, "list", func(ctx context.Context) (err error) {
		page, err = c.api.List(ctx, prefix, after, limit)
		return err
	})
	if err != nil {
		return Page{}, err
	}
	for i := range page.Objects {
		c.unwrapObject(&page.Objects[i])
	}
	return page, nil
}

// Watch implements API. It makes a single attempt; use Follow for a watch that resumes.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) (Watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	// The context must outlive the attempt, so a timer limits the opening instead of a deadline.
	openTimer := time.AfterFunc(c.opt.AttemptTimeout, cancel)
	var w Watcher
	err := c.attempt(ctx, "watch", c.reads, 0, func(ctx context.Context) (err error) {
		w, err = c.api.Watch(ctx, prefix, from)
		return err
	})
	if err != nil {
		cancel()
		return nil, err
	}
	if !openTimer.Stop() {
		w.Close()
		return nil, unavailable(context.DeadlineExceeded)
	}
	return &payloadWatcher{Watcher: w, client: c, cancel: cancel}, nil
}

// unwrapObject replaces an object's stored value with its payload and caches its history.
func (c *Client) unwrapObject(o *Object) objcall.History {
	payload, history := decodeEnvelope(o.Value)
	o.Value = payload
	c.histories.put(o.Key, o.Version, history)
	return history
}

func (c *Client) getOnce(ctx context.Context, key string) (Object, objcall.History, error) {
	o, err := c.api.Get(ctx, key)
	if err != nil {
		return Object{}, objcall.History{}, err
	}
	history := c.unwrapObject(&o)
	return o, history, nil
}

// payloadWatcher delivers the events of another Watcher with their stored values replaced
// with the payloads.
type payloadWatcher struct {
	Watcher
	client *Client
	cancel context.CancelFunc
}

// Close implements Watcher.
func (w *payloadWatcher) Close() {
	w.Watcher.Close()
	w.cancel()
}

// Next implements Watcher.
func (w *payloadWatcher) Next(ctx context.Context) (Event, error) {
	e, err := w.Watcher.Next(ctx)
	if err == nil && !e.Deleted && e.Key != "" {
		w.client.unwrapObject(&e.Object)
	}
	return e, err
}

// retry repeats a read until it succeeds, its error is not retryable, the attempts are
// exhausted or ctx ends.
func (c *Client) retry(ctx context.Context, kind string, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.opt.CallTimeout)
	defer cancel()
	for n := 0; ; n++ {
		err := c.attempt(ctx, kind, c.reads, c.opt.AttemptTimeout, read)
		if err == nil || !retryable(err) || !c.backoff(ctx, n) {
			return err
		}
	}
}

// retryable reports whether a later attempt of the same call may succeed.
func retryable(err error) bool {
	return Unresolved(err) || errors.Is(err, ErrThrottled) || errors.Is(err, ErrRefused)
}

// attempt makes one call within its budget and records the result in the metrics, the budget
// and the outage state. With a timeout of 0 only ctx limits the duration of the call.
func (c *Client) attempt(ctx context.Context, kind string, b *budget, timeout time.Duration, call func(context.Context) error) error {
	if err := b.wait(ctx); err != nil {
		c.metrics.count(kind, err)
		return err
	}
	start := c.clock.Now()
	attemptCtx, cancel := ctx, context.CancelFunc(func() {})
	if timeout > 0 {
		attemptCtx, cancel = context.WithTimeout(ctx, timeout)
	}
	defer cancel()
	err := call(attemptCtx)
	now := c.clock.Now()
	c.metrics.count(kind, err)
	c.metrics.duration.Observe(now.Sub(start).Seconds())
	switch {
	case errors.Is(err, ErrThrottled):
		b.throttled(now)
		c.outage.answered()
	case errors.Is(err, ErrRefused):
		c.outage.failed(now)
	case !Unresolved(err):
		b.answered(now)
		c.outage.answered()
	case ctx.Err() == nil || now.Sub(start) >= slowCallThreshold:
		c.outage.failed(now)
	}
	return err
}

// backoff waits before attempt n+1, counted from 0, and reports whether that attempt may be
// made. During an outage each call is attempted only once, so that the code that made it can
// fall back to local data without delay.
func (c *Client) backoff(ctx context.Context, n int) bool {
	if n+1 >= maxAttempts || c.outage.active() {
		return false
	}
	return c.clock.Sleep(ctx, c.backoffDelay(n)) == nil
}

// backoffDelay returns the delay after attempt n, counted from 0: exponential backoff with
// full jitter. The exponent is limited to prevent overflow.
func (c *Client) backoffDelay(n int) time.Duration {
	limit := min(initialBackoff<<min(n, 16), maxBackoff)
	return time.Duration(c.rng.float64() * float64(limit))
}

type systemClock struct{}

// Now implements Clock.
func (systemClock) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (systemClock) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) uint64() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Uint64()
}

func (l *lockedRand) float64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}
