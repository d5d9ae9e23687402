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
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/gate"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnections = 128
	idleTimeout     = 30 * time.Second
	// maxClaiming bounds the requests of one service that wait for a claim.
	maxClaiming = 512
)

// target is the bulkhead of one service or deployment: its own connections, limit,
// retry budget and view of the endpoints. Nothing in it is shared with another.
type target struct {
	id        endpoints.Target
	name      string
	client    *engineapi.Client
	transport *http.Transport
	claiming  chan struct{}
	// nextPoll is when the poll duty asks the endpoints again; only it uses this.
	nextPoll time.Time

	mu     sync.Mutex
	table  *routing.Table
	gate   *gate.Gate
	budget *retries.Budget
	rng    *rand.PCG
	cursor map[model.EndpointID]uint64
	// trainingFloor is the share of slots kept for training.
	trainingFloor float64
}

func newTarget(now time.Time, id endpoints.Target, zone model.ZoneID, seed uint64) *target {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &target{
		id:        id,
		name:      id.String(),
		client:    engineapi.NewClient(&http.Client{Transport: transport}),
		transport: transport,
		claiming:  make(chan struct{}, maxClaiming),
		table:     routing.NewTable(now, zone),
		budget:    retries.NewBudget(),
		rng:       rand.NewPCG(seed, seed^0x9e3779b97f4a7c15),
		cursor:    map[model.EndpointID]uint64{},
	}
}

// configure takes over the endpoints of a configuration.
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

// apply takes over what a view says of the endpoints.
func (t *target) apply(now time.Time, v *model.FleetView) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.SetDrains(v.Drains)
	for _, l := range v.Loads {
		t.table.Report(now, l.Endpoint, routing.Load{Running: l.Running, Queued: l.Queued, Version: l.Version, Age: l.Age})
	}
	t.resize(now)
}

// resize fits the gate to the endpoints that may get work; mu is held.
func (t *target) resize(now time.Time) {
	_, slots := t.table.Usable(now)
	t.gate.Configure(slots, t.trainingFloor)
}

// begin picks an endpoint and notes the attempt.
func (t *target) begin(c routing.Constraints) (routing.Choice, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	choice, ok := t.table.Pick(now, t.rng, c)
	if !ok && len(c.Exclude) > 0 {
		// An endpoint that failed this request before is better than none.
		c.Exclude = nil
		choice, ok = t.table.Pick(now, t.rng, c)
	}
	if ok {
		t.table.Begin(now, choice)
	}
	return choice, ok
}

func (t *target) end(c routing.Choice, started time.Time, r routing.Result, service time.Duration, i model.Incarnation) (ejected bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if i != 0 {
		t.table.Observe(now, c.ID, i)
	}
	if r == routing.ResultAnswered {
		t.budget.Deposit()
	}
	return t.table.End(now, c, started, r, service)
}

func (t *target) decide(a retries.Attempt) (retries.Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.ServiceTime = t.table.ServiceTime()
	return retries.Decide(t.budget, a, t.rng.Uint64())
}

func (t *target) hedge(a retries.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.ServiceTime = t.table.ServiceTime()
	return retries.Hedge(t.budget, a)
}

const (
	hedgeFactor = 4
	minHedge    = 10 * time.Millisecond
)

// hedgeAfter is the age at which an attempt takes long.
func (t *target) hedgeAfter() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minHedge, hedgeFactor*t.table.ServiceTime())
}

func (t *target) drain(id model.EndpointID, i model.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Drain(id, i)
}

// failureOf says what a failed attempt tells of its endpoint and of the request.
func failureOf(ctx context.Context, err error) (routing.Result, retries.Failure) {
	switch {
	case errors.Is(err, engineapi.ErrAnswerTooLarge):
		return routing.ResultAnswered, retries.FailureUnknown
	case errors.Is(err, engineapi.ErrLeaving), errors.Is(err, engineapi.ErrBusy):
		return routing.ResultRefused, retries.FailureNotRun
	case errors.Is(err, engineapi.ErrNotSent) && ctx.Err() != nil:
		return routing.ResultCancelled, retries.FailureNotRun
	case errors.Is(err, errVersion):
		return routing.ResultRefused, retries.FailureUnknown
	case errors.Is(err, engineapi.ErrNotSent):
		return routing.ResultFailed, retries.FailureNotRun
	case errors.Is(context.Cause(ctx), errOvertaken):
		return routing.ResultOvertaken, retries.FailureUnknown
	case errors.Is(err, errReceiver), errors.Is(ctx.Err(), context.Canceled):
		return routing.ResultCancelled, retries.FailureUnknown
	}
	return routing.ResultFailed, retries.FailureUnknown
}
