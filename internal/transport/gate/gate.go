// Package gate blocks requests until an admission gate has decided on them.
//
// Invariant: Enter returns Run or Refuse, and the caller follows each Run with one Leave.
package gate

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
)

// Gate is an admission.Gate that is safe for concurrent use.
type Gate struct {
	mu   sync.Mutex
	gate *admission.Gate
}

// New returns a gate for endpoints with the given total of slots. trainingFloor is the
// share of the slots reserved for training while it has work, from 0 to 1.
func New(slots int, trainingFloor float64) *Gate {
	return &Gate{gate: admission.NewGate(slots, trainingFloor)}
}

// Configure sets the total of slots and the training floor.
func (g *Gate) Configure(slots int, trainingFloor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Configure(slots, trainingFloor)
}

// SetShare sets this host's share of the slots, see admission.Gate.SetShare.
func (g *Gate) SetShare(s admission.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetShare(s)
}

// HasWaiting reports whether requests are waiting for a slot.
func (g *Gate) HasWaiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Waiting() > 0
}

// Waiting returns the number of requests that wait for a slot.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Waiting()
}

// Limit returns the current limit of running requests.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Limit()
}

// Running returns the number of running requests.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Running()
}

// Enter waits for a slot. The verdict of the decision is Run or Refuse. It is Refuse also if
// the decision's wait limit passes or ctx is done before a slot is free. Enter sets
// t.Notify.
func (g *Gate) Enter(ctx context.Context, t *admission.Request) admission.Decision {
	decided := make(chan admission.Decision, 1)
	t.Notify = func(d admission.Decision) { decided <- d }
	now := time.Now()
	g.mu.Lock()
	d := g.gate.Admit(now, t)
	g.mu.Unlock()
	if d.Verdict != admission.Wait {
		return d
	}
	timer := time.NewTimer(d.WaitLimit)
	defer timer.Stop()
	select {
	case d = <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	var removed bool
	if ctx.Err() != nil {
		// The caller disconnected or its deadline passed, so no retry delay is set.
		d, removed = admission.Decision{Verdict: admission.Refuse, Reason: admission.ReasonDeadline}, g.gate.Abandon(t)
	} else {
		d, removed = g.gate.Expire(time.Now(), t)
	}
	g.mu.Unlock()
	if !removed {
		return <-decided
	}
	return d
}

// Leave releases the slot of a request that ended and records its sample.
func (g *Gate) Leave(t *admission.Request, s admission.Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Finish(time.Now(), t, s)
}

// Observe records a sample of a request that is still running.
func (g *Gate) Observe(s admission.Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Observe(time.Now(), s)
}
