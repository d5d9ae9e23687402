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

// Clock is the time that a Client goes by.
type Clock interface {
	Now() time.Time
	// Sleep waits for d or until ctx ends, and then returns ctx's error.
	Sleep(ctx context.Context, d time.Duration) error
}

// ClientOptions configures a Client. Zero values take the defaults below.
type ClientOptions struct {
	// ReadsPerSecond and WritesPerSecond are the ceilings of this process's budgets.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// AttemptTimeout bounds one sending, CallTimeout a whole call with its retries.
	AttemptTimeout time.Duration
	CallTimeout    time.Duration
	// WatchLifetime bounds a watch without events: Follow opens it anew from the last
	// revision seen, so that a dead connection cannot hide changes for longer.
	WatchLifetime time.Duration
	// Seed makes the writer id and the jitter; two processes never share one.
	Seed  uint64
	Clock Clock
	// Registerer takes the client's metrics, nil for none.
	Registerer prometheus.Registerer
}

const (
	defaultReadsPerSecond  = 100
	defaultWritesPerSecond = 50
	defaultAttemptTimeout  = 3 * time.Second
	defaultCallTimeout     = 12 * time.Second
	defaultWatchLifetime   = 2 * time.Minute
	maxAttempts            = 6
	firstBackoff           = 40 * time.Millisecond
	maxBackoff             = 2 * time.Second
	// slowCall is how long a call must have lasted to count as a failure when it was
	// the caller's own deadline that ended it.
	slowCall = 500 * time.Millisecond
)

// Client is the API as every program uses it: with budgets, deadlines, retries and
// an outage state, and with lost answers of writes resolved. Put and Delete return
// ErrUnavailable only when it stays open whether the write took effect.
//
// A creation (expect 0) that is sent again after a lost answer can take effect a
// second time only when another writer removed the key between the two sendings.
type Client struct {
	api     API
	opt     ClientOptions
	clock   Clock
	writer  uint64
	counter atomic.Uint64
	random  *lockedRand
	reads   *budget
	writes  *budget
	known   *historyCache
	metrics *clientMetrics
	outage  outageState
}

var _ API = (*Client)(nil)

// NewClient wraps api.
func NewClient(api API, opt ClientOptions) *Client {
	opt = withDefaults(opt)
	random := &lockedRand{r: rand.New(rand.NewPCG(opt.Seed, opt.Seed^0x9e3779b97f4a7c15))}
	c := &Client{
		api:    api,
		opt:    opt,
		clock:  opt.Clock,
		writer: random.uint64() | 1,
		random: random,
		reads:  newBudget(opt.ReadsPerSecond, opt.Clock),
		writes: newBudget(opt.WritesPerSecond, opt.Clock),
		known:  newHistoryCache(),
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

// SetCeilings changes the ceilings of the budgets, in calls a second.
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
		c.open(&page.Objects[i])
	}
	return page, nil
}

// Watch implements API. It is tried once; Follow resumes.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) (Watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	opening := time.AfterFunc(c.opt.AttemptTimeout, cancel)
	var w Watcher
	err := c.attempt(ctx, "watch", c.reads, 0, func(ctx context.Context) (err error) {
		w, err = c.api.Watch(ctx, prefix, from)
		return err
	})
	if err != nil {
		cancel()
		return nil, err
	}
	if !opening.Stop() {
		w.Close()
		return nil, unavailable(context.DeadlineExceeded)
	}
	return &openedWatcher{Watcher: w, client: c, cancel: cancel}, nil
}

// open replaces an object's stored value by its payload and remembers its history.
func (c *Client) open(o *Object) objcall.History {
	payload, history := unseal(o.Value)
	o.Value = payload
	c.known.put(o.Key, o.Version, history)
	return history
}

func (c *Client) getOnce(ctx context.Context, key string) (Object, objcall.History, error) {
	o, err := c.api.Get(ctx, key)
	if err != nil {
		return Object{}, objcall.History{}, err
	}
	history := c.open(&o)
	return o, history, nil
}

type openedWatcher struct {
	Watcher
	client *Client
	cancel context.CancelFunc
}

// Close implements Watcher.
func (w *openedWatcher) Close() {
	w.Watcher.Close()
	w.cancel()
}

// Next implements Watcher.
func (w *openedWatcher) Next(ctx context.Context) (Event, error) {
	e, err := w.Watcher.Next(ctx)
	if err == nil && !e.Deleted && e.Key != "" {
		w.client.open(&e.Object)
	}
	return e, err
}

// retry repeats a read until it is answered, the attempts are used up or ctx ends.
func (c *Client) retry(ctx context.Context, kind string, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.opt.CallTimeout)
	defer cancel()
	for n := 0; ; n++ {
		err := c.attempt(ctx, kind, c.reads, c.opt.AttemptTimeout, read)
		if err == nil || !again(err) || !c.backoff(ctx, n) {
			return err
		}
	}
}

// again reports whether the same call may fare better later.
func again(err error) bool {
	return Unresolved(err) || errors.Is(err, ErrThrottled) || errors.Is(err, ErrRefused)
}

// attempt sends one call within its budget and records how it went. A timeout of
// 0 leaves the deadline to ctx.
func (c *Client) attempt(ctx context.Context, kind string, b *budget, timeout time.Duration, call func(context.Context) error) error {
	if err := b.wait(ctx); err != nil {
		c.metrics.count(kind, err)
		return err
	}
	began := c.clock.Now()
	bounded, cancel := ctx, context.CancelFunc(func() {})
	if timeout > 0 {
		bounded, cancel = context.WithTimeout(ctx, timeout)
	}
	defer cancel()
	err := call(bounded)
	now := c.clock.Now()
	c.metrics.count(kind, err)
	c.metrics.seconds.Observe(now.Sub(began).Seconds())
	switch {
	case errors.Is(err, ErrThrottled):
		b.throttled(now)
		c.outage.answered()
	case errors.Is(err, ErrRefused):
		c.outage.failed(now)
	case !Unresolved(err):
		b.answered(now)
		c.outage.answered()
	case ctx.Err() == nil || now.Sub(began) >= slowCall:
		c.outage.failed(now)
	}
	return err
}

// backoff waits before attempt n+1 and reports whether it may be made. In an
// outage each call is tried once, so that its caller can turn to what it holds.
func (c *Client) backoff(ctx context.Context, n int) bool {
	if n+1 >= maxAttempts || c.outage.active() {
		return false
	}
	return c.clock.Sleep(ctx, c.delay(n)) == nil
}

// delay is a full-jitter exponential backoff.
func (c *Client) delay(n int) time.Duration {
	bound := min(firstBackoff<<min(n, 16), maxBackoff)
	return time.Duration(c.random.float64() * float64(bound))
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
