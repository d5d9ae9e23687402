package standin

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
)

// OperatorAPIMode is how an OperatorAPI answers.
type OperatorAPIMode int

// The modes.
const (
	OperatorAPIUp OperatorAPIMode = iota
	// OperatorAPIDown takes no call.
	OperatorAPIDown
	// OperatorAPISilent executes calls without an answer: one half at once, the other after
	// lateExecution.
	OperatorAPISilent
	// OperatorAPIRefusing answers that a higher fencing token was seen.
	OperatorAPIRefusing
)

// lateExecution is the delay with which a silent API executes calls.
const lateExecution = 3 * time.Second

// AcceptedUsage is the first report of a window that an OperatorAPI accepted.
type AcceptedUsage struct {
	Counts map[string]int64
	At     time.Time
}

// OperatorAPI is a stand-in for the operator's API, without a network. It checks the rules for calls:
// fencing tokens never fall, no two holders use the same one or call within a distance, and no window
// has two different reports. It implements operatorapi.Client.
type OperatorAPI struct {
	distance time.Duration

	mu         sync.Mutex
	mode       OperatorAPIMode
	calls      int
	last       operatorapi.Credentials
	lastAt     time.Time
	usage      map[int64]AcceptedUsage
	violations []string
}

var _ operatorapi.Client = (*OperatorAPI)(nil)

// NewOperatorAPI returns an API that answers. distance is the least time between calls of two holders.
func NewOperatorAPI(distance time.Duration) *OperatorAPI {
	return &OperatorAPI{distance: distance, usage: map[int64]AcceptedUsage{}}
}

// SetMode changes how the API answers.
func (a *OperatorAPI) SetMode(m OperatorAPIMode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mode = m
}

// Calls returns the number of calls that reached the API.
func (a *OperatorAPI) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

// Holder returns the holder of the last call.
func (a *OperatorAPI) Holder() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last.Holder
}

// Usage returns the accepted reports by window.
func (a *OperatorAPI) Usage() map[int64]AcceptedUsage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.usage)
}

// Violations describes the rules that calls broke.
func (a *OperatorAPI) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}

// ReportUsage implements operatorapi.Client.
func (a *OperatorAPI) ReportUsage(ctx context.Context, c operatorapi.Credentials, u operatorapi.Usage) error {
	return a.call(ctx, c, func() {
		first, known := a.usage[u.Window]
		if !known {
			a.usage[u.Window] = AcceptedUsage{maps.Clone(u.Counts), time.Now()}
		} else if !maps.Equal(first.Counts, u.Counts) {
			a.violate("window %d: two reports, %v and %v", u.Window, first.Counts, u.Counts)
		}
	})
}

// SetEndpointCount implements operatorapi.Client. Orders have no effect.
func (a *OperatorAPI) SetEndpointCount(ctx context.Context, c operatorapi.Credentials, _ operatorapi.EndpointCount) error {
	return a.call(ctx, c, func() {})
}

// call checks the credentials of a call and executes it. execute runs with the lock held.
func (a *OperatorAPI) call(ctx context.Context, c operatorapi.Credentials, execute func()) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mode == OperatorAPIDown {
		return operatorapi.ErrUnavailable
	}
	a.calls++
	switch {
	case c.Token < a.last.Token, c.Token == a.last.Token && c.Holder != a.last.Holder:
		a.violate("call by %+v after %+v", c, a.last)
	case a.last.Holder != "" && c.Holder != a.last.Holder && time.Since(a.lastAt) < a.distance:
		a.violate("call by %+v %v after %+v", c, time.Since(a.lastAt), a.last)
	}
	a.last, a.lastAt = c, time.Now()
	switch {
	case a.mode == OperatorAPIRefusing:
		return operatorapi.ErrSuperseded
	case a.mode == OperatorAPIUp:
		execute()
		return nil
	case rand.IntN(2) == 0:
		execute()
	default:
		time.AfterFunc(lateExecution, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			execute()
		})
	}
	a.mu.Unlock()
	<-ctx.Done()
	a.mu.Lock()
	return operatorapi.ErrUnconfirmed
}

// violate records a broken rule. The caller holds the lock.
func (a *OperatorAPI) violate(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}
