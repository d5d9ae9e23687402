package standin

import (
	"context"
	"strings"
	"sync"
	"time"
)

// Faults says how a part misbehaves. The zero value is a healthy part.
type Faults struct {
	// DelayMillis is added to each call.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Refuse answers every call with the part's "too many requests".
	Refuse bool `json:"refuse,omitempty"`
	// Outage answers every call with status 503 and takes no effect.
	Outage bool `json:"outage,omitempty"`
	// Pause holds every call until it is lifted or the caller leaves.
	Pause bool `json:"pause,omitempty"`
	// LoseAnswers: that many writes take effect and their answer is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseKeyPrefix restricts LoseAnswers to keys with this prefix.
	LoseKeyPrefix string `json:"lose_key_prefix,omitempty"`
	// DropWatches ends the running watches once.
	DropWatches bool `json:"drop_watches,omitempty"`
	// CrashOnKey crashes an endpoint when it starts a request whose id, call, body
	// or prompt contains this text.
	CrashOnKey string `json:"crash_on_key,omitempty"`
	// FailSwaps: that many orders to load weights leave the old version in place.
	FailSwaps int `json:"fail_swaps,omitempty"`
	// HideVersion leaves the version out of reports and chunks.
	HideVersion bool `json:"hide_version,omitempty"`
	// ReportLagMillis makes load reports and cache events that old.
	ReportLagMillis int `json:"report_lag_ms,omitempty"`
	// CutAtByte ends each answer after that many bytes, without its end mark.
	CutAtByte int `json:"cut_at_byte,omitempty"`
	// Slow multiplies the time each piece of work takes; 0 and 1 mean normal.
	Slow float64 `json:"slow,omitempty"`
	// Leaving makes an endpoint say that it wants no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Crash closes the endpoint's connections and starts a new incarnation, once.
	Crash bool `json:"crash,omitempty"`
	// Down keeps the endpoint from accepting connections.
	Down bool `json:"down,omitempty"`
}

// faultSet holds the faults of one part.
type faultSet struct {
	mu      sync.Mutex
	now     Faults
	changed chan struct{}
}

func newFaultSet() *faultSet { return &faultSet{changed: make(chan struct{})} }

func (s *faultSet) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultSet) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// loseAnswer uses up one lost answer for a write of key.
func (s *faultSet) loseAnswer(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.LoseAnswers == 0 || !strings.HasPrefix(key, s.now.LoseKeyPrefix) {
		return false
	}
	s.now.LoseAnswers--
	return true
}

// failSwap uses up one failed swap.
func (s *faultSet) failSwap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now.FailSwaps == 0 {
		return false
	}
	s.now.FailSwaps--
	return true
}

// hold sleeps for the delay and waits while the part is paused.
func (s *faultSet) hold(ctx context.Context) error {
	for {
		s.mu.Lock()
		f, changed := s.now, s.changed
		s.mu.Unlock()
		if !f.Pause {
			return sleep(ctx, time.Duration(f.DelayMillis)*time.Millisecond)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
