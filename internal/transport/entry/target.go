package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/retries"
	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/gate"
)

const (
	dialTimeout               = 500 * time.Millisecond
	maxIdleConnectionsPerHost = 128
	idleConnectionTimeout     = 30 * time.Second
	// maxWaitingForClaim bounds the requests of one service that wait for a claim at a time.
	maxWaitingForClaim = 512
)

// target is the bulkhead of one service or deployment. It has its own connections,
// concurrency limit, retry budget and routing table, and shares none of them with other
// targets.
type target struct {
	id         endpoints.Target
	name       string
	client     *engineapi.Client
	transport  *httpanswer.Transport
	claimSlots chan struct{}
	// nextPoll is the earliest time of the next round of polls. Only PollLoop uses it.
	nextPoll time.Time

	mu                sync.Mutex
	table             *routing.Table
	gate              *gate.Gate
	budget            *retries.Budget
	rng               *rand.PCG
	cacheEventCursors map[model.EndpointID]uint64
	// trainingFloor is the share of slots reserved for training.
	trainingFloor float64
}

func newTarget(now time.Time, id endpoints.Target, zone model.ZoneID, seed uint64) *target {
	transport := httpanswer.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	})
	return &target{
		id:                id,
		name:              id.String(),
		client:            engineapi.NewClient(&http.Client{Transport: transport}),
		transport:         transport,
		claimSlots:        make(chan struct{}, maxWaitingForClaim),
		table:             routing.NewTable(now, zone),
		budget:            retries.NewBudget(),
		rng:               rand.NewPCG(seed, seed^0x9e3779b97f4a7c15),
		cacheEventCursors: map[model.EndpointID]uint64{},
	}
}

// configure sets the endpoints and the training floor from a configuration.
func (t *target) configure(now time.Time, list []endpoints.Endpoint, trainingFloor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Update(list)
	t.trainingFloor = trainingFloor
	if t.gate == nil {
		_, slots := t.table.Usable(now)
		t.gate = gate.New(slots, trainingFloor)
	}
}

// apply updates the routing table with the drains and load reports of a view.
func (t *target) apply(now time.Time, v *model.FleetView) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.SetDrains(v.Drains)
	for _, l := range v.Loads {
		t.table.RecordLoad(now, l.Endpoint, routing.Load{Running: l.Running, Queued: l.Queued, Version: l.Version, Age: l.Age})
	}
	t.resize(now)
}

// resize sets the gate's capacity to the slots of the usable endpoints. t.mu must be held.
func (t *target) resize(now time.Time) {
	_, slots := t.table.Usable(now)
	t.gate.Configure(slots, t.trainingFloor)
}

// beginAttempt picks an endpoint and counts the attempt as in flight there. It returns
// false if no endpoint can take the request.
func (t *target) beginAttempt(c routing.Constraints) (routing.Choice, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	choice, ok := t.table.Pick(now, t.rng, c)
	if !ok && len(c.Exclude) > 0 {
		// Without another endpoint, one that already failed this request is tried again.
		c.Exclude = nil
		choice, ok = t.table.Pick(now, t.rng, c)
	}
	if ok {
		t.table.Begin(now, choice)
	}
	return choice, ok
}

// endAttempt records the result of an attempt and reports whether the endpoint was
// ejected because of it.
func (t *target) endAttempt(c routing.Choice, started time.Time, r routing.Result, serviceTime time.Duration, i model.Incarnation) (ejected bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if i != 0 {
		t.table.ObserveIncarnation(now, c.ID, i)
	}
	if r == routing.ResultAnswered {
		t.budget.Deposit()
	}
	return t.table.End(now, c, started, r, serviceTime)
}

func (t *target) decideRetry(a retries.Request) (retries.Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.ServiceTime = t.table.ServiceTime()
	return retries.Decide(t.budget, a, t.rng.Uint64())
}

func (t *target) allowHedge(a retries.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.ServiceTime = t.table.ServiceTime()
	return retries.Hedge(t.budget, a)
}

const (
	// hedgeFactor is the multiple of the service time after which an attempt is hedged.
	hedgeFactor   = 4
	minHedgeDelay = 10 * time.Millisecond
)

// hedgeDelay returns the time after which an attempt counts as slow and is hedged.
func (t *target) hedgeDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minHedgeDelay, hedgeFactor*t.table.ServiceTime())
}

func (t *target) markDraining(id model.EndpointID, i model.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Drain(id, i)
}

// classifyFailure returns the result of a failed attempt for the endpoint's health, and
// whether the request may have run.
func classifyFailure(ctx context.Context, err error) (routing.Result, retries.Failure) {
	switch {
	case errors.Is(err, engineapi.ErrAnswerTooLarge):
		return routing.ResultAnswered, retries.FailureUnknown
	case errors.Is(err, engineapi.ErrDraining), errors.Is(err, engineapi.ErrBusy):
		return routing.ResultRefused, retries.FailureNotRun
	case errors.Is(err, engineapi.ErrNotSent) && ctx.Err() != nil:
		return routing.ResultCancelled, retries.FailureNotRun
	case errors.Is(err, errVersionTooOld):
		return routing.ResultRefused, retries.FailureUnknown
	case errors.Is(err, engineapi.ErrNotSent):
		return routing.ResultFailed, retries.FailureNotRun
	case errors.Is(context.Cause(ctx), errHedgeAnswered):
		return routing.ResultHedgeAnswered, retries.FailureUnknown
	case errors.Is(err, errCallerGone), errors.Is(ctx.Err(), context.Canceled):
		return routing.ResultCancelled, retries.FailureUnknown
	}
	return routing.ResultFailed, retries.FailureUnknown
}
