package objectapi

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

// burstSeconds of a budget may be spent at once.
const burstSeconds = 0.5

// budget holds back one kind of call.
type budget struct {
	mu      sync.Mutex
	clock   Clock
	decide  *objcall.Budget
	limiter *rate.Limiter
}

func newBudget(perSecond float64, clock Clock) *budget {
	return &budget{
		clock:   clock,
		decide:  objcall.NewBudget(perSecond, clock.Now()),
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond)),
	}
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }

// wait blocks until a call may be sent. It fails at once with ErrThrottled when
// that would be after ctx's deadline; nothing was sent then.
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
	b.adapt(func() bool { return b.decide.Throttled(now) })
}

func (b *budget) answered(now time.Time) {
	b.adapt(func() bool { return b.decide.Answered(now) })
}

func (b *budget) setCeiling(perSecond float64) {
	b.adapt(func() bool { b.decide.SetCeiling(perSecond); return true })
}

func (b *budget) adapt(change func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !change() {
		return
	}
	now := b.clock.Now()
	b.limiter.SetLimitAt(now, rate.Limit(b.decide.Rate()))
	b.limiter.SetBurstAt(now, burst(b.decide.Rate()))
}

func (b *budget) rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decide.Rate()
}

// outageState is the outage that all duties of the process see.
type outageState struct {
	mu        sync.Mutex
	decide    objcall.Outage
	observers []func(down bool)
}

func (s *outageState) failed(now time.Time) {
	s.mu.Lock()
	began := s.decide.Failed(now)
	observers := s.observers
	s.mu.Unlock()
	if began {
		tell(observers, true)
	}
}

func (s *outageState) answered() {
	s.mu.Lock()
	ended := s.decide.Answered()
	observers := s.observers
	s.mu.Unlock()
	if ended {
		tell(observers, false)
	}
}

func (s *outageState) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decide.Active()
}

func tell(observers []func(bool), down bool) {
	for _, f := range observers {
		f(down)
	}
}

// OutageFor is how long the object API has given no answer, 0 when it answers.
func (c *Client) OutageFor() time.Duration {
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	return c.outage.decide.Elapsed(c.clock.Now())
}

// OnOutage registers f, which is told when an outage begins (true) and ends
// (false). It must not block nor call the Client.
func (c *Client) OnOutage(f func(down bool)) {
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	c.outage.observers = append(c.outage.observers[:len(c.outage.observers):len(c.outage.observers)], f)
}

// maxKnownHistories bounds the cache of histories.
const maxKnownHistories = 2048

// historyCache remembers the histories of versions seen, so that a write that
// replaces one of them needs no read.
type historyCache struct {
	mu      sync.Mutex
	entries map[string]knownHistory
}

type knownHistory struct {
	version uint64
	history objcall.History
}

func newHistoryCache() *historyCache { return &historyCache{entries: map[string]knownHistory{}} }

func (h *historyCache) put(key string, version uint64, history objcall.History) {
	h.mu.Lock()
	defer h.mu.Unlock()
	present, held := h.entries[key]
	if held && present.version > version {
		return
	}
	if !held && len(h.entries) >= maxKnownHistories {
		for other := range h.entries {
			delete(h.entries, other)
			break
		}
	}
	h.entries[key] = knownHistory{version: version, history: history}
}

func (h *historyCache) get(key string, version uint64) (objcall.History, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.entries[key]
	return e.history, ok && e.version == version
}

func (h *historyCache) drop(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entries, key)
}
