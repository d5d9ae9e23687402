// Package scaling orders endpoints from the operator's API while this host holds the lease for the
// operator's duties. Package coordination/scaling decides the orders.
//
// Invariant: an order is sent only while the lease is held, with the lease's fencing token. At most
// one order for a place is in progress. A plan is used under one fencing token only: what another
// holder ordered in between is not known.
package scaling

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/coordination/scaling"
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/duties"
)

const (
	// planInterval is the interval at which the demand is gathered and orders are decided.
	planInterval = time.Second
	// orderTimeout bounds an order. An order without an answer is repeated after 2 s.
	orderTimeout = 2 * time.Second
	// rateShare is the rate of orders relative to the limit on calls to the operator's API, and
	// burstShare the number of orders that may be sent at once. Together they leave a quarter of the
	// calls of any second to the reports of usage.
	rateShare  = 0.5
	burstShare = 0.25
	// refusedPause is how long no orders are sent after the API refused one because of its limit on
	// calls or because it is down.
	refusedPause = time.Second
)

// Lease is the lease for the operator's duties.
type Lease interface {
	// Holding returns the fencing token, and whether calls may be sent at the boot time now.
	Holding(now time.Duration) (token uint64, ok bool)
}

// Source provides what a host knows about a service.
type Source interface {
	// Services returns the services of the configuration in force.
	Services() []catalog.Service
	// Gather reads the demand of all services from the hosts that know it.
	Gather(ctx context.Context) Demands
	// Input returns the demand and the endpoints of a service. ok is false if the endpoints are not
	// known yet.
	Input(service string, d Demands) (in scaling.Input, ok bool)
}

// Options configure a Scaler.
type Options struct {
	// Host is the name of this host, which identifies the holder of the lease.
	Host string
	// CallsPerSecond is the limit on calls to the operator's API, shared by all duties; zero is no limit.
	CallsPerSecond float64
	Lease          Lease
	API            operatorapi.Client
	Source         Source
	// SinceBoot returns the time since boot.
	SinceBoot func() time.Duration
	Log       *slog.Logger
	Registry  prometheus.Registerer
}

// Scaler orders endpoints. Its methods are safe for concurrent use.
type Scaler struct {
	opt     Options
	limiter *rate.Limiter
	metrics *metrics

	mu    sync.Mutex
	token uint64
	// plans has the plan of each service under the fencing token.
	plans       map[string]*scaling.Plan
	pausedUntil time.Duration
	orders      sync.WaitGroup
}

// New returns a scaler and registers its metrics. The caller must call Run.
func New(opt Options) *Scaler {
	limit := rate.Inf
	if opt.CallsPerSecond > 0 {
		limit = rate.Limit(rateShare * opt.CallsPerSecond)
	}
	limiter := rate.NewLimiter(limit, max(1, int(burstShare*opt.CallsPerSecond)))
	return &Scaler{opt: opt, limiter: limiter, metrics: newMetrics(opt.Registry), plans: map[string]*scaling.Plan{}}
}

// Run decides and sends orders while the lease is held, until ctx ends.
func (s *Scaler) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	defer s.orders.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(ctx)
		}
	}
}

// tick sends the orders that are due.
func (s *Scaler) tick(ctx context.Context) {
	now := s.opt.SinceBoot()
	token, holding := s.opt.Lease.Holding(now)
	if !holding {
		s.metrics.reset()
		return
	}
	services := s.opt.Source.Services()
	if !s.start(token, services) {
		return
	}
	demands := s.opt.Source.Gather(ctx)
	for i := range services {
		if services[i].Scaling == nil {
			continue
		}
		if in, ok := s.opt.Source.Input(services[i].Name, demands); ok {
			s.plan(ctx, token, &services[i], in)
		}
	}
}

// start makes the plans those of the fencing token and removes those of services that are no longer
// scaled. It returns false if no service is scaled.
func (s *Scaler) start(token uint64, services []catalog.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	former := s.plans
	if token != s.token {
		s.opt.Log.Info("Started to order endpoints", "fencing_token", token)
		s.token, former = token, nil
	}
	s.plans = map[string]*scaling.Plan{}
	for i := range services {
		if services[i].Scaling == nil {
			continue
		}
		name := services[i].Name
		if s.plans[name] = former[name]; s.plans[name] == nil {
			s.plans[name] = scaling.NewPlan()
		}
	}
	return len(s.plans) > 0
}

// plan sends the orders of a service that are due.
func (s *Scaler) plan(ctx context.Context, token uint64, service *catalog.Service, in scaling.Input) {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := s.plans[service.Name]
	orders := plan.Next(in, service.Scaling)
	s.metrics.planned(service.Name, plan.Wanted(), in.Demand)
	for _, o := range orders {
		now := s.opt.SinceBoot()
		if held, ok := s.opt.Lease.Holding(now); !ok || held != token || now < s.pausedUntil || !s.limiter.Allow() {
			return // what is due is decided again with the next plan
		}
		plan.Sent(now, o, service.Scaling)
		s.orders.Go(func() { s.send(ctx, token, service.Name, plan, o) })
	}
}

// send sends an order and records its answer.
func (s *Scaler) send(ctx context.Context, token uint64, service string, plan *scaling.Plan, o scaling.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.opt.API.SetEndpointCount(ctx, operatorapi.Credentials{Holder: s.opt.Host, Token: token},
		operatorapi.EndpointCount{Service: service, Zone: o.Zone, Count: o.Count, Spot: o.Spot})
	answer, pause := classify(err)
	now := s.opt.SinceBoot()
	s.mu.Lock()
	plan.Answered(now, o, answer)
	if pause {
		s.pausedUntil = now + refusedPause
	}
	s.mu.Unlock()
	s.metrics.answered(service, answer)
	s.opt.Log.Info("Ordered endpoints", "service", service, "zone", o.Zone, "spot", o.Spot, "count", o.Count, "former", o.Former,
		"repeat", o.Repeat, "fencing_token", token, "answer", answerNames[answer], "err", err)
}

// classify returns what an order's error says about the order, and whether the API should be left
// alone for a while. operatorapi.ErrSuperseded means a place without endpoints unless the lease turns
// out to be lost, see duties.Calls.
func classify(err error) (answer scaling.Answer, pause bool) {
	switch {
	case err == nil:
		return scaling.Confirmed, false
	case errors.Is(err, duties.ErrNotHolding):
		return scaling.NotTaken, true
	case errors.Is(err, operatorapi.ErrSuperseded):
		return scaling.Refused, false
	case errors.Is(err, operatorapi.ErrTooMany), errors.Is(err, operatorapi.ErrUnavailable):
		return scaling.NotTaken, true
	case errors.Is(err, operatorapi.ErrUnconfirmed):
		return scaling.Unanswered, false
	}
	// The API refused the order for a reason of its own, such as a zone that it does not know. It would
	// refuse a repeat too.
	return scaling.Refused, false
}
