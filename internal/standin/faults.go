package standin

import (
	"context"
	"strings"
	"sync"
	"time"
)

// Faults lists the faults injected into a part. The zero value means no faults. Each part
// ignores the faults that do not apply to it.
type Faults struct {
	// DelayMillis delays each call, except an engine's cancel, KV cache and cache event calls.
	DelayMillis int `json:"delay_ms,omitempty"`
	// Refuse makes the part refuse every call as it does when it is overloaded. An endpoint
	// refuses only generate, service and score calls.
	Refuse bool `json:"refuse,omitempty"`
	// Outage makes every call fail with status 503 and without effect. In an
	// endpoint it acts like Refuse.
	Outage bool `json:"outage,omitempty"`
	// Pause blocks every call that DelayMillis would delay, until the fault is removed or the
	// caller disconnects. An engine also stops generating tokens.
	Pause bool `json:"pause,omitempty"`
	// LoseAnswers is the number of writes that take effect but whose answer is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseKeyPrefix restricts LoseAnswers to keys with this prefix.
	LoseKeyPrefix string `json:"lose_key_prefix,omitempty"`
	// DropWatches ends all running watches, once.
	DropWatches bool `json:"drop_watches,omitempty"`
	// CrashOnKey crashes an endpoint when it starts a request whose id, call, body or
	// prompt contains this text.
	CrashOnKey string `json:"crash_on_key,omitempty"`
	// FailSwaps is the number of weight swaps that leave the old version in place.
	FailSwaps int `json:"fail_swaps,omitempty"`
	// HideVersion omits the weight version from status answers and chunks.
	HideVersion bool `json:"hide_version,omitempty"`
	// ReportLagMillis is the minimum age of the load reports that an engine returns.
	ReportLagMillis int `json:"report_lag_ms,omitempty"`
	// CutAtByte aborts the connection after this number of bytes of each token stream and of
	// each answer to a call of a plain service. A stream then lacks its last chunk.
	CutAtByte int `json:"cut_at_byte,omitempty"`
	// Slow multiplies the token interval or the service time; values up to 1 mean
	// normal speed.
	Slow float64 `json:"slow,omitempty"`
	// Draining makes an endpoint report that it is draining and refuse new requests.
	Draining bool `json:"leaving,omitempty"`
	// Crash closes the endpoint's listener and connections and starts a new incarnation,
	// once.
	Crash bool `json:"crash,omitempty"`
	// Down closes the endpoint's listener and connections until the fault is removed.
	Down bool `json:"down,omitempty"`
}

// faultSet holds the current faults of one part.
type faultSet struct {
	mu      sync.Mutex
	current Faults
	changed chan struct{} // closed and replaced by set
}

func newFaultSet() *faultSet { return &faultSet{changed: make(chan struct{})} }

func (s *faultSet) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultSet) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// loseAnswer reports whether the answer to a write of key is lost, and if so decrements
// LoseAnswers.
func (s *faultSet) loseAnswer(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.LoseAnswers == 0 || !strings.HasPrefix(key, s.current.LoseKeyPrefix) {
		return false
	}
	s.current.LoseAnswers--
	return true
}

// failSwap reports whether a weight swap fails, and if so decrements FailSwaps.
func (s *faultSet) failSwap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.FailSwaps == 0 {
		return false
	}
	s.current.FailSwaps--
	return true
}

// wait blocks while the part is paused and then for the delay. It returns ctx's error if
// ctx ends first.
func (s *faultSet) wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		f, changed := s.current, s.changed
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

// sleep waits for d or until ctx ends, and then returns ctx's error.
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
