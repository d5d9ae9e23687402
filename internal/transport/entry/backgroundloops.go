package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/routing"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/boundedqueue"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

const (
	reportInterval = time.Second
	pollInterval   = time.Second
	// pollSpacing multiplied by the number of a target's endpoints is the minimum time between
	// two rounds of polls. It bounds the poll rate of a target with many endpoints.
	pollSpacing = 15 * time.Millisecond
	pollTimeout = 500 * time.Millisecond
	// pollersPerTarget bounds the concurrent polls of one target.
	pollersPerTarget = 16
	reportRetryDelay = 200 * time.Millisecond
	// minReportedDemand, in requests per second, is the demand up to which a caller is not
	// reported.
	minReportedDemand = 0.01
	pollQueueCapacity = 4096
)

// ReportLoop reports drains, quarantined requests and demand to the control program,
// until ctx ends. It sends a report immediately after requestReport, and one every
// reportInterval because reports may be lost.
func (s *Server) ReportLoop(ctx context.Context) {
	wait := reportInterval
	for {
		select {
		case <-time.After(wait):
		case <-s.reportSignal:
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
			wait = reportRetryDelay
		}
	}
}

// report builds the report of this host. It also updates the gauges of running requests
// and limits.
func (s *Server) report(now time.Time) wire.Report {
	out := wire.Report{
		Host: s.opt.Host, Program: wire.EntryProgram, Stopping: s.stopping.Load(),
		NotReady: !s.listening.Load() || !s.hasView(),
	}
	for _, t := range s.allTargets() {
		t.mu.Lock()
		t.table.VisitDraining(func(id model.EndpointID, i model.Incarnation) {
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
		if r.Demand() > minReportedDemand {
			out.Demands = append(out.Demands, model.CallerDemand{Host: s.opt.Host, Caller: id, PerSecond: r.Demand()})
		}
	}
	s.rateMu.Unlock()
	return out
}

// endpointPoll is one poll of an endpoint.
type endpointPoll struct {
	target  *target
	id      model.EndpointID
	address string
}

// PollLoop polls the status of the endpoints in this host's subset until ctx ends. Each
// target has its own pollers, so that a dead target does not delay the polls of others.
func (s *Server) PollLoop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	queues := map[*target]*boundedqueue.Queue[endpointPoll]{}
	for {
		targets := s.allTargets()
		for _, t := range targets {
			if queues[t] == nil {
				queues[t] = s.startPollers(ctx, &running)
			}
			s.queuePolls(ctx, t, queues[t])
		}
		for t, queue := range queues {
			if !slices.Contains(targets, t) {
				queue.Close()
				delete(queues, t)
			}
		}
		if !clock.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// startPollers starts the pollers of one target and returns their queue.
func (s *Server) startPollers(ctx context.Context, running *sync.WaitGroup) *boundedqueue.Queue[endpointPoll] {
	queue := boundedqueue.New[endpointPoll](pollQueueCapacity, boundedqueue.Refuse)
	for range pollersPerTarget {
		running.Go(func() { s.runPoller(ctx, queue) })
	}
	return queue
}

// queuePolls queues a round of polls, unless it is not due yet or the last round is still
// queued.
func (s *Server) queuePolls(ctx context.Context, t *target, queue *boundedqueue.Queue[endpointPoll]) {
	now := time.Now()
	if queue.Len() > 0 || now.Before(t.nextPoll) {
		return
	}
	t.mu.Lock()
	t.resize(now)
	list := t.table.Endpoints()
	t.mu.Unlock()
	t.nextPoll = now.Add(time.Duration(len(list)) * pollSpacing)
	for _, e := range list {
		_ = queue.Push(ctx, endpointPoll{target: t, id: e.ID, address: e.Address})
	}
}

func (s *Server) runPoller(ctx context.Context, queue *boundedqueue.Queue[endpointPoll]) {
	for {
		p, err := queue.Pop(ctx)
		if err != nil {
			return
		}
		s.pollEndpoint(ctx, p)
	}
}

// pollEndpoint reads the status of an endpoint and, for an engine, its load and cache
// events.
func (s *Server) pollEndpoint(ctx context.Context, p endpointPoll) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, err := p.target.client.Status(ctx, p.address)
	if err != nil {
		return
	}
	s.recordIncarnation(p.target, p.id, status.Incarnation)
	if status.Draining && p.target.markDraining(p.id, status.Incarnation) {
		s.opt.Log.Info("Endpoint started draining", "endpoint", p.id, "target", p.target.name)
		s.requestReport()
	}
	if p.target.id.Deployment == "" {
		return
	}
	s.pollEngine(ctx, p, status.Adapters)
}

func (s *Server) pollEngine(ctx context.Context, p endpointPoll, adapters []string) {
	t := p.target
	if load, err := t.client.Load(ctx, p.address); err == nil {
		if adapters == nil {
			adapters = []string{}
		}
		t.mu.Lock()
		t.table.RecordLoad(time.Now(), p.id, routing.Load{
			Running:  load.Running,
			Queued:   load.Queued,
			Version:  load.Version,
			Adapters: adapters,
			Age:      time.Duration(load.AgeMillis) * time.Millisecond,
		})
		t.mu.Unlock()
	}
	t.mu.Lock()
	from := t.cacheEventCursors[p.id]
	t.mu.Unlock()
	events, err := t.client.CacheEvents(ctx, p.address, from)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cacheEventCursors[p.id] = events.Next
	for _, e := range events.Events {
		t.table.RecordCacheEvent(time.Now(), p.id, e.PrefixHash, e.Added)
	}
}
