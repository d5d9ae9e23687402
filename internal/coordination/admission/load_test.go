package admission

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// simStep is the time step of a simulation.
	simStep = time.Millisecond
	// reportInterval is how often hosts report their running requests to each other.
	reportInterval    = 300 * time.Millisecond
	simLiveMaxWait    = 30 * time.Millisecond
	simDeadlineBudget = 2 * time.Second
	simObjective      = 150 * time.Millisecond
	simTrainingFloor  = 0.34
)

// simulation models the gates of several hosts that share the slots of one service. The
// endpoints start requests in order of arrival.
type simulation struct {
	now         time.Time
	gates       []*Gate
	slots       int
	useShares   bool
	serviceTime time.Duration
	running     []*simRequest
	queued      []*simRequest
	retrying    []*simRequest
	// maxQueued is the largest number of requests queued at the endpoints.
	maxQueued int
	results   map[model.Priority]*simResult
	requests  map[*Request]*simRequest
}

type simRequest struct {
	Request
	host int
	// firstArrival is the time of the caller's first attempt, arrived that of its last one.
	firstArrival time.Time
	arrived      time.Time
	// entered is when the last attempt was admitted by the gate, or when it arrived there
	// while it waits. ends is when the endpoint completes it.
	entered time.Time
	ends    time.Time
	retryAt time.Time
	retried bool
}

// simResult counts requests by outcome: answered within the objective at the first
// attempt, answered within it at the second attempt, answered later, or refused twice.
type simResult struct {
	onTime, onRetry, late, refused int
	retryAfters                    []time.Duration
}

func (l *simulation) arrive(r *simRequest) {
	r.Request = Request{Caller: "any", Priority: r.Priority, Deadline: r.firstArrival.Add(simDeadlineBudget), WaitLimit: r.WaitLimit, Retry: r.retried}
	r.entered = l.now
	l.requests[&r.Request] = r
	r.Notify = func(d Decision) { l.handleDecision(r, d) }
	l.handleDecision(r, l.gates[r.host].Admit(l.now, &r.Request))
}

func (l *simulation) handleDecision(r *simRequest, d Decision) {
	switch {
	case d.Verdict == Run:
		r.entered = l.now
		l.queued = append(l.queued, r)
		l.maxQueued = max(l.maxQueued, len(l.queued))
	case d.Verdict == Refuse && r.retried:
		l.results[r.Priority].refused++
	case d.Verdict == Refuse:
		r.retried, r.retryAt = true, l.now.Add(d.RetryAfter)
		l.retrying = append(l.retrying, r)
		l.results[r.Priority].retryAfters = append(l.results[r.Priority].retryAfters, d.RetryAfter)
	}
}

// step advances the time by one simStep.
func (l *simulation) step() {
	l.now = l.now.Add(simStep)
	var stillRunning []*simRequest
	for _, r := range l.running {
		if l.now.Before(r.ends) {
			stillRunning = append(stillRunning, r)
			continue
		}
		switch result := l.results[r.Priority]; {
		case l.now.Sub(r.arrived) > simObjective:
			result.late++
		case r.retried:
			result.onRetry++
		default:
			result.onTime++
		}
		took := l.now.Sub(r.entered)
		l.gates[r.host].Finish(l.now, &r.Request, Observation{Kind: ObservationAnswered, Latency: took, TotalTime: took})
	}
	l.running = stillRunning
	for len(l.queued) > 0 && len(l.running) < l.slots {
		r := l.queued[0]
		l.queued = l.queued[1:]
		r.ends = l.now.Add(l.serviceTime)
		l.running = append(l.running, r)
	}
	for _, g := range l.gates {
		g.StartWaiting(l.now)
		for _, req := range append([]*Request(nil), g.queue...) {
			if l.now.Sub(l.requests[req].arrived) > g.maxWait(req) {
				d, _ := g.Expire(l.now, req)
				req.Notify(d)
			}
		}
	}
	var stillRetrying []*simRequest
	for _, r := range l.retrying {
		if l.now.Before(r.retryAt) {
			stillRetrying = append(stillRetrying, r)
			continue
		}
		r.arrived = l.now // start of the caller's second attempt
		l.arrive(r)
	}
	l.retrying = append(stillRetrying, l.retrying[len(l.retrying):]...)
}

// report passes the running requests of the other hosts to each gate.
func (l *simulation) report() {
	running := make([]int, len(l.gates))
	for i, g := range l.gates {
		running[i] = g.Running()
	}
	for i, g := range l.gates {
		others := 0
		for j, n := range running {
			if i != j {
				others += n
			}
		}
		if !l.useShares {
			g.Configure(max(l.slots-others, l.slots/len(l.gates)), simTrainingFloor)
			continue
		}
		share := ComputeShare(l.slots, running[i], others, len(l.gates))
		g.Configure(share.UpperBound, simTrainingFloor)
		g.SetShare(share)
	}
}

// runLoad runs a command such as "load hosts=8 slots=24 service=25ms live=1500 training=30 for=4s".
func runLoad(t *testing.T, d *datadriven.TestData) string {
	var hosts, slots int
	var service, duration string
	var live, training float64
	d.ScanArgs(t, "hosts", &hosts)
	d.ScanArgs(t, "slots", &slots)
	d.ScanArgs(t, "service", &service)
	d.ScanArgs(t, "for", &duration)
	d.ScanArgs(t, "live", &live)
	d.MaybeScanArgs(t, "training", &training)
	busy := hosts
	d.MaybeScanArgs(t, "busy", &busy)
	requestTime, _ := time.ParseDuration(service)
	length, _ := time.ParseDuration(duration)
	l := &simulation{now: testStart, useShares: !d.HasArg("unshared"), slots: slots, serviceTime: requestTime, requests: map[*Request]*simRequest{}, results: map[model.Priority]*simResult{
		model.PriorityLive: {}, model.PriorityTraining: {}}}
	for range hosts {
		g := NewGate(slots, simTrainingFloor)
		l.gates = append(l.gates, g)
	}
	var offered [2]float64
	next, reported := 0, testStart
	offer := func(i int, perSecond float64, p model.Priority, waitLimit time.Duration) {
		for offered[i] += perSecond * simStep.Seconds(); offered[i] >= 1; offered[i]-- {
			next++
			r := &simRequest{host: next % busy, firstArrival: l.now, arrived: l.now}
			r.Priority, r.WaitLimit = p, waitLimit
			l.arrive(r)
		}
	}
	for l.now.Sub(testStart) < length+simDeadlineBudget {
		if l.now.Sub(testStart) < length {
			offer(0, live, model.PriorityLive, simLiveMaxWait)
			offer(1, training, model.PriorityTraining, 0)
		}
		l.step()
		if l.now.Sub(reported) >= reportInterval {
			reported = l.now
			l.report()
		}
	}
	out := fmt.Sprintf("at most %d queued at the endpoints", l.maxQueued)
	for _, p := range []model.Priority{model.PriorityLive, model.PriorityTraining} {
		r := l.results[p]
		if r.onTime+r.onRetry+r.late+r.refused == 0 {
			continue
		}
		sort.Slice(r.retryAfters, func(i, j int) bool { return r.retryAfters[i] < r.retryAfters[j] })
		spread := ""
		if n := len(r.retryAfters); n > 0 {
			spread = fmt.Sprintf(", %d retry delays of %v to %v", n, r.retryAfters[n/10].Round(time.Millisecond), r.retryAfters[n*9/10].Round(time.Millisecond))
		}
		out += fmt.Sprintf("\n%s: %d on time, %d on time at the second attempt, %d late, %d refused twice%s",
			map[model.Priority]string{model.PriorityLive: "live", model.PriorityTraining: "training"}[p], r.onTime, r.onRetry, r.late, r.refused, spread)
	}
	return out
}

// High latency lowers the limit only when the slots are in use. With free slots it is
// caused by slow endpoints, not by too many requests.
func TestLimit_SlowEndpointsWithFreeSlots(t *testing.T) {
	for _, hasFreeSlots := range []bool{true, false} {
		g, now := NewGate(16, 0), testStart
		g.SetShare(Share{EvenShare: 4, HasFreeSlots: hasFreeSlots})
		before := g.Limit()
		for i := range 40 {
			now = now.Add(20 * time.Millisecond)
			latency := 25 * time.Millisecond
			if i >= 10 {
				latency = 300 * time.Millisecond
			}
			g.Observe(now, Observation{Kind: ObservationAnswered, Latency: latency})
		}
		if lowered := g.Limit() < before; lowered == hasFreeSlots {
			t.Errorf("with free slots = %v the limit changed from %d to %d", hasFreeSlots, before, g.Limit())
		}
	}
}

// Long requests follow short ones on the same service. Each class has its own baseline, so
// the latency of the long requests must not lower the limit.
func TestLimit_BaselinePerClass(t *testing.T) {
	g, now := NewGate(16, 0), testStart
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		s := Observation{Kind: ObservationAnswered, Class: "short", Latency: 20 * time.Millisecond}
		if i/50%2 == 1 {
			s.Class, s.Latency = "long", 90*time.Millisecond
		}
		g.Observe(now, s)
	}
	if g.Limit() != 16 {
		t.Errorf("limit = %d, want 16", g.Limit())
	}
}

// A limit that refusals reduced to a fraction, such as 1.7, grows again while the gate is full: of
// such a limit only the integer part can be in use.
func TestLimit_RecoversFromEveryFraction(t *testing.T) {
	const slots = 24
	for hundredths := 100; hundredths <= slots*100; hundredths++ {
		g := NewGate(slots, 0)
		g.limit = float64(hundredths) / 100
		reduced, now := g.limit, testStart
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			g.observe(now, Observation{Kind: ObservationAnswered, Latency: 30 * time.Millisecond}, g.Limit())
		}
		if g.Limit() != slots {
			t.Fatalf("a full gate has a limit of %.2f after 10 s of good answers, from %.2f", g.limit, reduced)
		}
	}
}

// One endpoint of a service refuses requests while the others answer and have free slots. Its
// refusals took the limit of a host that scored batches from 22 to 1. Refusals of several endpoints
// are overload, and so are those of the only one that is in use.
func TestLimit_OneEndpointRefuses(t *testing.T) {
	for _, c := range []struct {
		name                string
		endpoints, refusing int
		lowered             bool
	}{{"one of four", 4, 1, false}, {"one of two", 2, 1, false}, {"all of four", 4, 4, true}, {"two of four", 4, 2, true},
		{"the only one", 1, 1, true}} {
		g, now := NewGate(24, 0), testStart
		g.SetShare(Share{EvenShare: 1, OthersIdle: true, HasFreeSlots: true})
		for i := range 400 {
			now = now.Add(5 * time.Millisecond)
			n := i % c.endpoints
			o := Observation{Kind: ObservationAnswered, Latency: 30 * time.Millisecond, Endpoint: fmt.Sprint(n)}
			if n < c.refusing && i/c.endpoints%2 == 0 {
				o.Kind = ObservationRefused
			}
			g.Observe(now, o)
		}
		if lowered := g.Limit() < 24; lowered != c.lowered {
			t.Errorf("%s refuses: the limit is %d of 24", c.name, g.Limit())
		}
	}
}
