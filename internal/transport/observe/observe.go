// Package observe polls endpoints for their status and load and gossips the changes. Each
// endpoint is polled by only a few hosts of its region, selected by rendezvous hashing.
//
// Invariant: a report contains only what the endpoint itself answered, or that it did not
// answer.
package observe

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// pollInterval is the time between two polls of an endpoint by one host. The hosts that
	// poll the same endpoint take turns.
	pollInterval = 2 * time.Second
	pollTimeout  = time.Second
	// maxPolls limits the polls in flight.
	maxPolls = 32
	// unreachableAfterFailures is the number of consecutive failed polls after which an
	// endpoint is reported unreachable.
	unreachableAfterFailures = 2
	// maxTickInterval and minTickInterval limit the time between two checks for due polls.
	maxTickInterval = time.Second
	minTickInterval = 50 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	Host   model.HostID
	Client *engineapi.Client
	// View returns the current fleet view, nil if there is none yet.
	View func() *model.FleetView
	// KnownLoad returns the latest load item that any host gossiped for an endpoint, with its
	// current age.
	KnownLoad func(model.EndpointID) (items.Item, bool)
	// PublishItems gossips items to the other hosts.
	PublishItems func(context.Context, ...items.Item) error
}

// Service polls the endpoints assigned to this host.
type Service struct {
	opt      Options
	mu       sync.Mutex
	targets  map[model.EndpointID]*target
	running  sync.WaitGroup
	slots    chan struct{}
	assigner assigner
}

// target is one endpoint that this host polls.
type target struct {
	id       model.EndpointID
	endpoint model.Endpoint
	next     time.Time
	polling  bool
	failures int
	filter   loadFilter
}

// New returns a Service without targets; Run assigns them from the view.
func New(opt Options) *Service {
	return &Service{opt: opt, targets: map[model.EndpointID]*target{}, slots: make(chan struct{}, maxPolls)}
}

// Run polls until ctx ends, then waits for the polls in flight.
func (s *Service) Run(ctx context.Context) {
	defer s.running.Wait()
	timer := time.NewTimer(minTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(s.tick(ctx, time.Now()))
		case <-ctx.Done():
			return
		}
	}
}

// tick updates the targets, starts the polls that are due and returns the time until the
// next tick.
func (s *Service) tick(ctx context.Context, now time.Time) time.Duration {
	view := s.opt.View()
	if view == nil || view.Config == nil {
		return maxTickInterval
	}
	if assigned, changed := s.assigner.refresh(now, s.opt.Host, view); changed {
		s.assign(now, view.Config, assigned)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := maxTickInterval
	for _, t := range s.targets {
		if !now.Before(t.next) && !t.polling {
			s.startPoll(ctx, now, t)
		}
		wait = min(wait, t.next.Sub(now))
	}
	return max(wait, minTickInterval)
}

// startPoll polls a target in the background. If maxPolls are in flight, the poll stays
// due.
func (s *Service) startPoll(ctx context.Context, now time.Time, t *target) {
	select {
	case s.slots <- struct{}{}:
	default:
		return
	}
	t.next = t.next.Add(pollInterval)
	if t.next.Before(now) {
		t.next = now.Add(pollInterval)
	}
	t.polling = true
	s.running.Add(1)
	go s.poll(ctx, t, *t)
}

// assign replaces the targets with those assigned, keeping the state of existing ones.
func (s *Service) assign(now time.Time, config *model.Config, assigned []assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[model.EndpointID]*target, len(assigned))
	for _, a := range assigned {
		t := s.targets[a.endpoint]
		if t == nil {
			t = &target{id: a.endpoint, next: firstPoll(now, a)}
		}
		t.endpoint = config.Endpoints[a.endpoint]
		t.filter.rank = a.rank
		next[a.endpoint] = t
	}
	s.targets = next
}

// Targets returns the number of endpoints that this host polls.
func (s *Service) Targets() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targets)
}

// poll polls a target and gossips the result. It reads the endpoint from a copy of the
// target, because assign may change the target concurrently.
func (s *Service) poll(ctx context.Context, t *target, snapshot target) {
	defer s.running.Done()
	defer func() { <-s.slots }()
	observed, err := s.query(ctx, snapshot)
	known, ok := s.opt.KnownLoad(snapshot.id)
	s.mu.Lock()
	t.polling = false
	if ok {
		t.filter.receive(time.Now(), known)
	}
	list := t.reportItems(time.Now(), observed, err)
	s.mu.Unlock()
	_ = s.opt.PublishItems(ctx, list...)
}

// observation is an endpoint's answer to one poll.
type observation struct {
	status engineapi.Status
	load   engineapi.Load
}

func (s *Service) query(ctx context.Context, t target) (observation, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var o observation
	var err error
	o.status, err = s.opt.Client.Status(ctx, t.endpoint.Address)
	if err != nil || t.endpoint.Kind != model.EndpointEngine {
		return o, err
	}
	o.load, err = s.opt.Client.Load(ctx, t.endpoint.Address)
	return o, err
}

// reportItems returns the items to gossip after a poll.
func (t *target) reportItems(now time.Time, o observation, err error) []items.Item {
	if err != nil {
		t.failures++
		if t.failures < unreachableAfterFailures {
			return nil
		}
		return t.filter.report(now, t.id, items.LoadFact{Unreachable: true, Incarnation: t.filter.last.Incarnation}, 0)
	}
	t.failures = 0
	fact := items.LoadFact{
		Running:     o.load.Running,
		Queued:      o.load.Queued,
		Version:     o.status.Version,
		Incarnation: o.status.Incarnation,
	}
	list := t.filter.report(now, t.id, fact, time.Duration(o.load.AgeMillis)*time.Millisecond)
	if o.status.Draining {
		e := drains.EvidenceItem(drains.Target{Endpoint: t.id}, o.status.Incarnation, model.DrainFromEndpoint)
		list = append(list, e)
	}
	return list
}
