package front

import (
	"context"
	"fmt"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/admission"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/retries"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/gate"
)

const (
	// scoringFloor is the share of a full service that scoring gets while it has work:
	// one slot of three, so that neither trainers nor callers keep the others out.
	scoringFloor = 0.34
	// resizeEvery is how long a gate's size is used; peers report their loads less often.
	resizeEvery = 50 * time.Millisecond
	// repeatShare is the share of the longest budget below which a caller is taken to
	// have tried before: refused callers come back after a sixth of theirs or more.
	repeatShare = 0.95
	// budgetMemory is how long the longest budget of a route is remembered.
	budgetMemory = 30 * time.Second
	// scoringCaller groups the scoring requests of this host's batches.
	scoringCaller = model.CallerID("scoring")
)

// Gates admits requests, through a gate for each service.
type Gates struct {
	fleet *Fleet
	// hosts is the number of hosts that share the endpoints.
	hosts func() int

	mu    sync.Mutex
	gates map[string]*serviceGate
	// budgets are the longest waits that callers of each route named lately.
	budgets map[string]longestBudget
}

// longestBudget is the longest time that a route's caller said it would wait.
type longestBudget struct {
	budget time.Duration
	at     time.Time
}

type serviceGate struct {
	*gate.Gate
	sized time.Time
}

// NewGates returns the gates of a host in a fleet that so many hosts share.
func NewGates(fleet *Fleet, hosts func() int) *Gates {
	return &Gates{fleet: fleet, hosts: hosts, gates: map[string]*serviceGate{}, budgets: map[string]longestBudget{}}
}

// of returns the gate of a service, fitted to its endpoints: this host may use what the
// others leave, and its even share at any rate.
func (g *Gates) of(now time.Time, service string) *gate.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.gates[service]
	if s != nil && now.Sub(s.sized) < resizeEvery {
		return s.Gate
	}
	var slots, own, peers int
	g.fleet.With(func(t *placement.Table) { slots, own, peers = t.SlotUsage(now, service) })
	share := admission.ComputeShare(slots, own, peers, g.hosts())
	if s == nil {
		s = &serviceGate{Gate: gate.New(share.Ceiling, scoringFloor)}
		g.gates[service] = s
	}
	s.sized = now
	s.Configure(share.Ceiling, scoringFloor)
	s.SetShare(share)
	return s.Gate
}

// repeats reports whether a caller seems to have tried before: it names less time than
// others of its route do, as the time of its earlier attempts is gone.
func (g *Gates) repeats(now time.Time, route string, budget time.Duration) bool {
	if budget <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := g.budgets[route]
	if budget >= longest.budget || now.Sub(longest.at) > budgetMemory {
		g.budgets[route] = longestBudget{budget: budget, at: now}
		return false
	}
	return budget < time.Duration(repeatShare*float64(longest.budget))
}

// priority maps a route's rank, whose least is the most urgent, to a gate's priority,
// whose least is training.
func priority(rank int) model.Priority {
	return model.PriorityTraining + 1 + model.Priority(lowestUrgency-min(max(rank, 0), lowestUrgency))
}

// admit waits for a slot of the request's service. A caller's request waits as long as
// leaves time for another attempt, should it be refused; scoring has no caller that waits.
func (c *call) admit(ctx context.Context) (*admission.Ticket, error) {
	k := &admission.Ticket{
		Priority: priority(c.route.Priority), Deadline: c.deadline,
		WaitLimit: time.Duration(refuseAfter * float64(c.route.Objective)),
		Retry:     c.f.gates.repeats(c.began, c.route.Name, c.in.Budget),
	}
	if c.in.Scoring {
		k.Caller, k.Priority, k.WaitLimit = scoringCaller, model.PriorityTraining, scoreTimeout
	}
	d := c.gate.Enter(ctx, k)
	if d.Verdict == admission.Run {
		return k, nil
	}
	code, reason := resultcode.Overloaded, "no slot is free"
	if d.Reason == admission.ReasonDeadline {
		code, reason = resultcode.DeadlineTooShort, "the answer would come after the deadline"
	}
	detail := fmt.Sprintf("%s: %d of %d run, %d wait", reason, d.Running, d.Limit, d.Waiting)
	return nil, &resultcode.Error{Code: code, Detail: detail, RetryAfterMillis: max(1, d.RetryAfter.Milliseconds())}
}

// admitted runs a request within a slot of its service.
func (c *call) admitted(ctx context.Context, run func() (admission.Sample, error)) error {
	c.gate = c.f.gates.of(c.began, c.service)
	k, err := c.admit(ctx)
	if err != nil {
		return err
	}
	sample, err := run()
	c.gate.Leave(k, sample)
	return err
}

// mayRepeat reports whether a request may be sent again after an endpoint without room
// refused it: repeats of a whole burst would fill the endpoints with refusals.
func (c *call) mayRepeat() bool {
	c.gate.Observe(admission.Sample{Kind: admission.SampleRefused})
	return c.f.budget(c.service, (*retries.Budget).Withdraw)
}

// idempotent reports whether a route's requests may run more than once.
func idempotent(r *catalog.Route) bool { return r.Kind == catalog.KindSafe }
