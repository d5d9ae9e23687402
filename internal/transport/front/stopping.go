package front

import (
	"context"
	"errors"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/hoststop"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// maxAddressCacheTime is how long the slowest callers use a cached answer of the directory:
	// three times AddressTTL.
	maxAddressCacheTime = 3 * AddressTTL
	// drainPollInterval is the time between checks for completion while the host drains.
	drainPollInterval = 50 * time.Millisecond
	// flushTimeout bounds the last usage report.
	flushTimeout = 300 * time.Millisecond
)

// errHostStopped cancels the requests that still run when a stopping host abandons them.
var errHostStopped = errors.New("the host stopped before the request ended")

// hostStop is the state of a host's planned stop, and what the decisions during the stop are based on.
// It is safe for concurrent use.
type hostStop struct {
	// serving is cancelled with errHostStopped when the host abandons the requests that still run.
	serving context.Context
	abandon context.CancelCauseFunc
	// schedule is nil until the stop begins.
	schedule atomic.Pointer[hoststop.Schedule]

	mu      sync.Mutex
	lengths hoststop.Lengths
}

func newHostStop() *hostStop {
	s := &hostStop{}
	s.serving, s.abandon = context.WithCancelCause(context.Background())
	return s
}

// begin begins the stop of a host.
func (s *hostStop) begin(now time.Time, grace time.Duration) hoststop.Schedule {
	schedule := hoststop.NewSchedule(now, grace)
	s.schedule.Store(&schedule)
	time.AfterFunc(time.Until(schedule.Abandon), func() { s.abandon(errHostStopped) })
	return schedule
}

// requestBegan records that a request of a route, which arrived at a time, is sent. The caller must call the returned
// function at its end.
func (s *hostStop) requestBegan(route string, arrived time.Time) (ended func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.lengths.Begin(route, arrived)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lengths.End(r)
	}
}

// record records how long a request of a route took.
func (s *hostStop) record(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lengths.Record(route, took)
}

// mayFinish reports whether a request of a route that is sent now may end before this host does. A
// repeatable request of unknown length is expected to meet the route's objective. The answers of streaming
// routes are passed on before their end.
func (s *hostStop) mayFinish(now time.Time, route *catalog.Route, deadline time.Time, repeatable bool) bool {
	schedule := s.schedule.Load()
	if schedule == nil {
		return true
	}
	s.mu.Lock()
	length, known := s.lengths.Expected(now, route.Name, repeatable)
	s.mu.Unlock()
	if !known && repeatable {
		length, known = route.Objective, true
	}
	return schedule.MayFinish(now, hoststop.Request{Deadline: deadline, Length: length, Known: known, Streamed: route.Kind == catalog.KindStreaming})
}

// errCannotFinish refuses a request that this host cannot finish before it exits.
func errCannotFinish() error {
	return codedError(resultcode.Stopping, "this host is stopping and would end before the request")
}

// AbandonedByStop returns an error if the context of a caller's request was cancelled since this host abandons what
// still runs before it exits. It is the error of a request that has not been sent to an endpoint.
func AbandonedByStop(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errHostStopped) {
		return errCannotFinish()
	}
	return nil
}

// checkStop returns an error if this host is stopping and cannot finish the request, which is about
// to be sent. Requests of this host's batches end with the batch.
func (c *call) checkStop() error {
	if c.in.Scoring || c.f.stop.mayFinish(time.Now(), c.route, c.deadline, idempotent(c.route)) {
		return nil
	}
	if c.mayHaveRun {
		return codedError(resultcode.EndpointFailed, c.lastError())
	}
	return errCannotFinish()
}

// mayRelay reports whether this host takes a peer's request to an endpoint although it is stopping.
func (n *Node) mayRelay(r *relayedRequest) bool {
	if r.Kind != relayedDo && r.Kind != relayedStream {
		return false // other peers do these as well
	}
	target, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return false
	}
	host, _, _ := strings.Cut(r.Host, ":")
	route, err := n.Forwarder.Route(host, target.EscapedPath())
	if err != nil {
		return false
	}
	now := time.Now()
	return n.stop.mayFinish(now, route, now.Add(time.Duration(r.RemainingMs)*time.Millisecond), r.Repeatable)
}

// Stop drains the host. It removes the host from the directory immediately, keeps serving
// callers that have cached its address, hands its batches over, and returns before the end
// of the grace period. Requests that would outlast the host are refused when they arrive. A second call
// waits until the first has returned.
func (n *Node) Stop(context.Context) error {
	n.stopOnce.Do(n.stopWithinGrace)
	return nil
}

func (n *Node) stopWithinGrace() {
	began := time.Now()
	schedule := n.stop.begin(began, n.Settings.GracePeriod)
	n.log.Info("Host stopping", "in_flight", n.inflight.Load(), "batches", len(n.Batches.UnfinishedIDs()))
	n.draining.Store(true)
	n.membership.Announce()
	waitUntil(schedule.HandOver, func() bool {
		return len(n.Batches.UnfinishedIDs()) == 0 && time.Since(began) > maxAddressCacheTime
	})
	handoverCtx, cancel := context.WithDeadline(context.Background(), schedule.Close)
	defer cancel()
	n.Batches.Drain(handoverCtx)
	waitUntil(schedule.Close, func() bool {
		return n.inflight.Load() == 0 && time.Since(began) > maxAddressCacheTime
	})
	inflight := n.inflight.Load()
	n.closeListeners()
	waitUntil(schedule.Exit, func() bool { return n.inflight.Load() == 0 })
	n.shutDownServers(schedule.Exit)
	n.duties.flush()
	n.close()
	n.log.Info("Host stopped", "in_flight", inflight, "took_ms", time.Since(began).Milliseconds())
}

// closeListeners refuses new connections. Requests on open ones are still answered: a server that is being shut
// down would read them and close the connection without an answer.
func (n *Node) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close() // the process is shutting down, so errors do not matter
	}
}

// shutDownServers closes idle connections and waits for requests that arrived after the last check
// for requests in flight, until a time.
func (n *Node) shutDownServers(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range n.servers {
		all.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				n.log.Warn("Connections still open after shutdown", "err", err)
			}
		})
	}
	all.Wait()
}

// waitUntil waits until done returns true, until a deadline at most.
func waitUntil(deadline time.Time, done func() bool) {
	for time.Now().Before(deadline) && !done() {
		time.Sleep(drainPollInterval)
	}
}
