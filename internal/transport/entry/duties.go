package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/ring"
)

const (
	reportInterval = time.Second
	pollInterval   = time.Second
	// pollSpacing bounds the polls a second of a large target.
	pollSpacing = 15 * time.Millisecond
	pollTimeout = 500 * time.Millisecond
	// pollers bounds the polls of one target at once.
	pollers      = 16
	program      = "oleander-entry"
	retryReport  = 200 * time.Millisecond
	minDemand    = 0.01
	pollCapacity = 4096
)

// ReportLoop tells the control program of drains, quarantine and demand: at once
// when there is news, and again at an interval, since a report may be lost.
func (s *Server) ReportLoop(ctx context.Context) {
	wait := reportInterval
	for {
		select {
		case <-time.After(wait):
		case <-s.news:
		case <-ctx.Done():
			return
		}
		wait = reportInterval
		if s.opt.Report == nil {
			continue
		}
		err := s.opt.Report(ctx, s.report(time.Now()))
		s.connected.Store(err == nil)
		if err != nil {
			wait = retryReport
		}
	}
}

// report collects what this host saw.
func (s *Server) report(now time.Time) wire.Report {
	out := wire.Report{Host: s.opt.Host, Program: program, Stopping: s.stopping.Load()}
	for _, t := range s.allTargets() {
		t.mu.Lock()
		t.table.Draining(func(id model.EndpointID, i model.Incarnation) {
			out.Drains = append(out.Drains, model.DrainEvidence{Endpoint: id, Incarnation: i, Source: model.DrainFromEndpoint})
		})
		s.metrics.running.WithLabelValues(t.name).Set(float64(t.gate.Running()))
		s.metrics.limit.WithLabelValues(t.name).Set(float64(t.gate.Limit()))
		t.mu.Unlock()
	}
	s.quarantineMu.Lock()
	out.Quarantine = s.quarantine.Report(now)
	s.quarantineMu.Unlock()
	s.rateMu.Lock()
	for id, r := range s.rates {
		r.UpdateDemand(now)
		if r.Demand() > minDemand {
			out.Demands = append(out.Demands, model.CallerDemand{Host: s.opt.Host, Caller: id, PerSecond: r.Demand()})
		}
	}
	s.rateMu.Unlock()
	return out
}

// poll is one endpoint to ask.
type poll struct {
	target  *target
	id      model.EndpointID
	address string
}

// PollLoop asks the endpoints of this host's subset how they are. Each target has
// pollers of its own, so that one dead target does not hold up the others.
func (s *Server) PollLoop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	polling := map[*target]*ring.Ring[poll]{}
	for {
		targets := s.allTargets()
		for _, t := range targets {
			if polling[t] == nil {
				polling[t] = s.startPollers(ctx, &running)
			}
			s.offerPolls(ctx, t, polling[t])
		}
		for t, r := range polling {
			if !slices.Contains(targets, t) {
				r.Close()
				delete(polling, t)
			}
		}
		if !clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

func (s *Server) startPollers(ctx context.Context, running *sync.WaitGroup) *ring.Ring[poll] {
	r := ring.New[poll](pollCapacity, ring.Refuse)
	for range pollers {
		running.Go(func() { s.pollFrom(ctx, r) })
	}
	return r
}

// offerPolls queues a round of polls unless the last one is still under way.
func (s *Server) offerPolls(ctx context.Context, t *target, r *ring.Ring[poll]) {
	now := time.Now()
	if r.Len() > 0 || now.Before(t.nextPoll) {
		return
	}
	t.mu.Lock()
	t.resize(now)
	list := t.table.Endpoints()
	t.mu.Unlock()
	t.nextPoll = now.Add(time.Duration(len(list)) * pollSpacing)
	for _, e := range list {
		_ = r.Push(ctx, poll{target: t, id: e.ID, address: e.Address})
	}
}

func (s *Server) pollFrom(ctx context.Context, r *ring.Ring[poll]) {
	for {
		p, err := r.Pop(ctx)
		if err != nil {
			return
		}
		s.pollOne(ctx, p)
	}
}

// pollOne reads what an endpoint says of itself: condition, load, cache events.
func (s *Server) pollOne(ctx context.Context, p poll) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, err := p.target.client.Status(ctx, p.address)
	if err != nil {
		return
	}
	s.observe(p.target, p.id, status.Incarnation)
	if status.Leaving && p.target.drain(p.id, status.Incarnation) {
		s.opt.Log.Info("Endpoint is leaving.", "endpoint", p.id, "target", p.target.name)
		s.wake()
	}
	if p.target.id.Deployment == "" {
		return
	}
	s.pollEngine(ctx, p, status.Adapters)
}

func (s *Server) pollEngine(ctx context.Context, p poll, adapters []string) {
	t := p.target
	if load, err := t.client.Load(ctx, p.address); err == nil {
		if adapters == nil {
			adapters = []string{}
		}
		t.mu.Lock()
		t.table.Report(time.Now(), p.id, routing.Load{
			Running:  load.Running,
			Queued:   load.Queued,
			Version:  load.Version,
			Adapters: adapters,
			Age:      time.Duration(load.AgeMillis) * time.Millisecond,
		})
		t.mu.Unlock()
	}
	t.mu.Lock()
	from := t.cursor[p.id]
	t.mu.Unlock()
	events, err := t.client.CacheEvents(ctx, p.address, from)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cursor[p.id] = events.Next
	for _, e := range events.Events {
		t.table.CacheEvent(time.Now(), p.id, e.PrefixHash, e.Added)
	}
}
