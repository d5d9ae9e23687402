package front

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// slowReadThreshold is the duration, beyond the wait that the caller asked for, from which a read
// of results is logged. Callers repeat a read that takes a second longer.
const slowReadThreshold = 500 * time.Millisecond

// readTrace records which sources a read of results tried, for the log line of a read that failed or
// was slow. It is safe for concurrent use.
type readTrace struct {
	began time.Time
	mu    sync.Mutex
	steps []string
}

func newReadTrace() *readTrace { return &readTrace{began: time.Now()} }

// begin starts a step. The returned function ends it with its outcome.
func (t *readTrace) begin(source string) func(err error) {
	began := time.Now()
	return func(err error) {
		outcome := "ok"
		if err != nil {
			outcome = err.Error()
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.steps = append(t.steps, fmt.Sprintf("%s: %s after %d ms", source, outcome, time.Since(began).Milliseconds()))
	}
}

func (t *readTrace) elapsed() time.Duration { return time.Since(t.began) }

func (t *readTrace) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.steps, "; ")
}
