package objectapi

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

// burstSeconds is the burst size of a budget, in seconds of calls at its rate.
const burstSeconds = 0.5

// budget limits the rate of reads or of writes. The limit adapts to throttling by the
// platform.
type budget struct {
	mu      sync.Mutex
	clock   Clock
	policy  *objcall.Budget
	limiter *rate.Limiter
}

func newBudget(perSecond float64, clock Clock) *budget {
	return &budget{
		clock:   clock,
		policy:  objcall.NewBudget(perSecond, clock.Now()),
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond)),
	}
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }

// wait blocks until a call may be sent. It fails immediately with ErrThrottled if that would
// be after ctx's deadline. After an error the call must not be sent.
func (b *budget) wait(ctx context.Context) error {
	now := b.clock.Now()
	reservation := b.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if deadline, ok := ctx.Deadline(); ok && delay > time.Until(deadline) {
		reservation.CancelAt(now)
		return Error.Wrap(fmt.Errorf("%w: over this host's budget", ErrThrottled))
	}
	if delay == 0 && ctx.Err() == nil {
		return nil
	}
	if err := b.clock.Sleep(ctx, delay); err != nil {
		reservation.CancelAt(b.clock.Now())
		return Error.Wrap(fmt.Errorf("%w: %w before the call was sent", ErrThrottled, err))
	}
	return nil
}

func (b *budget) throttled(now time.Time) {
	b.updateRate(func() bool { return b.policy.Throttled(now) })
}

func (b *budget) answered(now time.Time) {
	b.updateRate(func() bool { return b.policy.Answered(now) })
}

func (b *budget) setCeiling(perSecond float64) {
	b.updateRate(func() bool { b.policy.SetCeiling(perSecond); return true })
}

func (b *budget) updateRate(change func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !change() {
		return
	}
	now := b.clock.Now()
	b.limiter.SetLimitAt(now, rate.Limit(b.policy.Rate()))
	b.limiter.SetBurstAt(now, burst(b.policy.Rate()))
}

func (b *budget) rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Rate()
}

// outageState tracks outages of the object API as seen by one Client.
type outageState struct {
	mu        sync.Mutex
	detector  objcall.Outage
	observers []func(down bool)
}

func (s *outageState) failed(now time.Time) {
	s.mu.Lock()
	began := s.detector.Failed(now)
	observers := s.observers
	s.mu.Unlock()
	if began {
		notifyObservers(observers, true)
	}
}

func (s *outageState) answered() {
	s.mu.Lock()
	ended := s.detector.Answered()
	observers := s.observers
	s.mu.Unlock()
	if ended {
		notifyObservers(observers, false)
	}
}

func (s *outageState) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Active()
}

func notifyObservers(observers []func(bool), down bool) {
	for _, f := range observers {
		f(down)
	}
}

// OutageFor returns the duration of the current outage of the object API, 0 if there is none.
func (c *Client) OutageFor() time.Duration {
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	return c.outage.detector.Elapsed(c.clock.Now())
}

// OnOutage registers f, which is called with true when an outage begins and with false when
// it ends. f runs in the goroutine of the call that detected the change, so it must neither
// block nor call the Client.
func (c *Client) OnOutage(f func(down bool)) {
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	c.outage.observers = append(c.outage.observers[:len(c.outage.observers):len(c.outage.observers)], f)
}

// maxCachedHistories bounds the number of entries in a historyCache.
const maxCachedHistories = 2048

// historyCache holds the write histories of versions that were read or written, so that a
// write that replaces one of them needs no read. When it is full, an arbitrary entry is
// evicted.
type historyCache struct {
	mu      sync.Mutex
	entries map[string]cachedHistory
}

type cachedHistory struct {
	version uint64
	history objcall.History
}

func newHistoryCache() *historyCache { return &historyCache{entries: map[string]cachedHistory{}} }

func (h *historyCache) put(key string, version uint64, history objcall.History) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, cached := h.entries[key]
	if cached && current.version > version {
		return
	}
	if !cached && len(h.entries) >= maxCachedHistories {
		for other := range h.entries {
			delete(h.entries, other)
			break
		}
	}
	h.entries[key] = cachedHistory{version: version, history: history}
}

func (h *historyCache) get(key string, version uint64) (objcall.History, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.entries[key]
	return e.history, ok && e.version == version
}

func (h *historyCache) remove(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entries, key)
}
