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
	// scoringFloor is the share of a full service's slots reserved for scoring while scoring
	// has work: one slot of three, so that neither trainers nor callers starve the other.
	scoringFloor = 0.34
	// resizeInterval is the minimum time between updates of a gate's size. Peers report
	// their loads less often than that.
	resizeInterval = 50 * time.Millisecond
	// retryBudgetShare is the share of the route's longest budget below which a request
	// counts as a retry: refused callers retry after a sixth of their budget or later.
	retryBudgetShare = 0.95
	// budgetRetention is how long the longest budget of a route is kept.
	budgetRetention = 30 * time.Second
	// scoringCaller is the caller ID of the scoring requests of this host's batches.
	scoringCaller = model.CallerID("scoring")
)

// Gates holds the admission gate of each service.
type Gates struct {
	fleet *Fleet
	// hosts returns the number of hosts that share the endpoints.
	hosts func() int

	mu    sync.Mutex
	gates map[string]*serviceGate
	// longestBudgets holds the longest budget that callers of each route set within
	// budgetRetention.
	longestBudgets map[string]longestBudget
}

// longestBudget is the longest time that a caller of a route is willing to wait, and when
// it was seen.
type longestBudget struct {
	budget time.Duration
	at     time.Time
}

type serviceGate struct {
	*gate.Gate
	resizedAt time.Time
}

// NewGates returns the gates for the services of a fleet. hosts returns the number of
// hosts that share it.
func NewGates(fleet *Fleet, hosts func() int) *Gates {
	return &Gates{fleet: fleet, hosts: hosts, gates: map[string]*serviceGate{}, longestBudgets: map[string]longestBudget{}}
}

// forService returns the gate of a service and updates its size at most every
// resizeInterval. This host may use the endpoint slots that the other hosts leave free, and
// at least an equal share.
func (g *Gates) forService(now time.Time, service string) *gate.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.gates[service]
	if s != nil && now.Sub(s.resizedAt) < resizeInterval {
		return s.Gate
	}
	var slots, local, remote int
	g.fleet.WithTable(func(t *placement.Table) { slots, local, remote = t.SlotUsage(now, service) })
	share := admission.ComputeShare(slots, local, remote, g.hosts())
	if s == nil {
		s = &serviceGate{Gate: gate.New(share.UpperBound, scoringFloor)}
		g.gates[service] = s
	}
	s.resizedAt = now
	s.Configure(share.UpperBound, scoringFloor)
	s.SetShare(share)
	return s.Gate
}

// isRetry reports whether a request is probably a retry: its budget is shorter than that
// of other requests of its route, because earlier attempts used up part of it.
func (g *Gates) isRetry(now time.Time, route string, budget time.Duration) bool {
	if budget <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := g.longestBudgets[route]
	if budget >= longest.budget || now.Sub(longest.at) > budgetRetention {
		g.longestBudgets[route] = longestBudget{budget: budget, at: now}
		return false
	}
	return budget < time.Duration(retryBudgetShare*float64(longest.budget))
}

// gatePriority converts a route's urgency, where lower values are more urgent, to a
// priority of the gate, where higher values are more urgent and training is the lowest.
func gatePriority(urgency int) model.Priority {
	return model.PriorityTraining + 1 + model.Priority(lowestUrgency-min(max(urgency, 0), lowestUrgency))
}

// admit waits for a slot of the request's service. The wait of a caller's request is short
// enough to leave time for a retry after a refusal. Scoring requests have no waiting caller
// and use their own limit. They have the gate's training priority, for which scoringFloor
// reserves slots.
func (c *call) admit(ctx context.Context) (*admission.Request, error) {
	request := &admission.Request{
		Priority: gatePriority(c.route.Urgency), Deadline: c.deadline,
		WaitLimit: time.Duration(maxSlotWaitShare * float64(c.route.Objective)),
		Retry:     c.f.gates.isRetry(c.began, c.route.Name, c.in.Budget),
	}
	if c.in.Scoring {
		request.Caller, request.Priority, request.WaitLimit = scoringCaller, model.PriorityTraining, c.in.Budget
	}
	d := c.gate.Enter(ctx, request)
	if d.Verdict == admission.Run {
		return request, nil
	}
	code, reason := resultcode.Overloaded, "no slot is free"
	if d.Reason == admission.ReasonDeadline {
		code, reason = resultcode.DeadlineTooShort, "the answer would come after the deadline"
	}
	detail := fmt.Sprintf("%s: %d of %d run, %d wait", reason, d.Running, d.Limit, d.Waiting)
	return nil, &resultcode.Error{Code: code, Detail: detail, RetryAfterMillis: max(1, d.RetryAfter.Milliseconds())}
}

// runInSlot calls run while it holds a slot of the request's service.
func (c *call) runInSlot(ctx context.Context, run func() (admission.Observation, error)) error {
	if err := c.checkStop(); err != nil {
		return err
	}
	c.gate = c.f.gates.forService(c.began, c.service)
	request, err := c.admit(ctx)
	if err != nil {
		return err
	}
	if !c.in.Scoring {
		defer c.f.stop.requestBegan(c.route.Name, c.began)()
	}
	sample, err := run()
	c.gate.Leave(request, sample)
	return err
}

// mayRetry records that an endpoint refused the request, and reports whether the retry budget allows
// another attempt. Without the budget, the retries of a burst would flood the endpoints.
func (c *call) mayRetry(endpoint string) bool {
	c.gate.Observe(admission.Observation{Kind: admission.ObservationRefused, Endpoint: endpoint})
	return c.f.withRetryBudget(c.service, (*retries.Budget).Withdraw)
}

// idempotent reports whether the requests of a route may run more than once.
func idempotent(r *catalog.Route) bool { return r.Kind == catalog.KindSafe }
