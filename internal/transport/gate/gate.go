// Package gate holds requests until an admission gate has decided on them.
//
// Invariant: Enter returns Run or Refuse, and each Run is followed by one Leave.
package gate

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
)

// Gate is an admission gate for concurrent use.
type Gate struct {
	mu   sync.Mutex
	gate *admission.Gate
}

// New returns a gate for endpoints with so many slots together; trainingFloor is the
// share of them that training gets while it has work.
func New(slots int, trainingFloor float64) *Gate {
	return &Gate{gate: admission.NewGate(slots, trainingFloor)}
}

// Configure takes over a changed capacity and training floor.
func (g *Gate) Configure(slots int, trainingFloor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Configure(slots, trainingFloor)
}

// SetShare takes over this host's share of the slots, see admission.Gate.SetShare.
func (g *Gate) SetShare(s admission.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetShare(s)
}

// Busy reports whether requests wait.
func (g *Gate) Busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Waiting() > 0
}

// Limit is the number of requests that may run at once now.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Limit()
}

// Running is the number of requests that run.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Running()
}

// Enter waits for a slot. The decision is Run or Refuse.
func (g *Gate) Enter(ctx context.Context, k *admission.Ticket) admission.Decision {
	decided := make(chan admission.Decision, 1)
	k.Notify = func(d admission.Decision) { decided <- d }
	now := time.Now()
	g.mu.Lock()
	d := g.gate.Admit(now, k)
	g.mu.Unlock()
	if d.Verdict != admission.Wait {
		return d
	}
	patience := time.NewTimer(d.WaitLimit)
	defer patience.Stop()
	select {
	case d = <-decided:
		return d
	case <-patience.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	var gone bool
	if ctx.Err() != nil {
		// The caller left, or its deadline passed: nobody is told to come back.
		d, gone = admission.Decision{Verdict: admission.Refuse, Reason: admission.ReasonDeadline}, g.gate.Abandon(k)
	} else {
		d, gone = g.gate.Expire(time.Now(), k)
	}
	g.mu.Unlock()
	if !gone {
		return <-decided
	}
	return d
}

// Leave gives the slot back.
func (g *Gate) Leave(k *admission.Ticket, s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Finish(time.Now(), k, s)
}

// Observe takes what a request that goes on tells of overload.
func (g *Gate) Observe(s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Observe(time.Now(), s)
}
