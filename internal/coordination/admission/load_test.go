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
	// loadStep is the resolution of a replay.
	loadStep = time.Millisecond
	// reportInterval is how often hosts tell each other what they run.
	reportInterval = 300 * time.Millisecond
	loadPatience   = 30 * time.Millisecond
	loadBudget     = 2 * time.Second
	loadObjective  = 150 * time.Millisecond
	loadFloor      = 0.34
)

// load replays requests at the gates of several hosts that share the slots of one
// service. Endpoints start requests in the order of their arrival.
type load struct {
	now      time.Time
	gates    []*Gate
	slots    int
	shared   bool
	service  time.Duration
	running  []*loadRequest
	queued   []*loadRequest
	comeback []*loadRequest
	// most is the greatest number of requests that queued at the endpoints.
	most    int
	results map[model.Priority]*loadResult
	waits   map[*Ticket]*loadRequest
}

type loadRequest struct {
	Ticket
	host int
	// first is the caller's first attempt, arrived its last one.
	first   time.Time
	arrived time.Time
	entered time.Time
	ends    time.Time
	returns time.Time
	retried bool
}

// loadResult counts what became of requests: answered within the objective at the first
// attempt, or within it at the second, or later, or refused twice.
type loadResult struct {
	inTime, second, late, refused int
	back                          []time.Duration
}

func (l *load) arrive(r *loadRequest) {
	r.Ticket = Ticket{Caller: "any", Priority: r.Priority, Deadline: r.first.Add(loadBudget), Patience: r.Patience, Repeat: r.retried}
	r.entered = l.now
	l.waits[&r.Ticket] = r
	r.Notify = func(d Decision) { l.decided(r, d) }
	l.decided(r, l.gates[r.host].Arrive(l.now, &r.Ticket))
}

func (l *load) decided(r *loadRequest, d Decision) {
	switch {
	case d.Verdict == Run:
		r.entered = l.now
		l.queued = append(l.queued, r)
		l.most = max(l.most, len(l.queued))
	case d.Verdict == Refuse && r.retried:
		l.results[r.Priority].refused++
	case d.Verdict == Refuse:
		r.retried, r.returns = true, l.now.Add(d.RetryAfter)
		l.comeback = append(l.comeback, r)
		l.results[r.Priority].back = append(l.results[r.Priority].back, d.RetryAfter)
	}
}

// step lets the time of one loadStep pass.
func (l *load) step() {
	l.now = l.now.Add(loadStep)
	var still []*loadRequest
	for _, r := range l.running {
		if l.now.Before(r.ends) {
			still = append(still, r)
			continue
		}
		switch result := l.results[r.Priority]; {
		case l.now.Sub(r.arrived) > loadObjective:
			result.late++
		case r.retried:
			result.second++
		default:
			result.inTime++
		}
		took := l.now.Sub(r.entered)
		l.gates[r.host].Leave(l.now, &r.Ticket, Sample{Kind: SampleAnswered, Latency: took, Took: took})
	}
	l.running = still
	for len(l.queued) > 0 && len(l.running) < l.slots {
		r := l.queued[0]
		l.queued = l.queued[1:]
		r.ends = l.now.Add(l.service)
		l.running = append(l.running, r)
	}
	for _, g := range l.gates {
		g.Advance(l.now)
		for _, t := range append([]*Ticket(nil), g.queue...) {
			if l.now.Sub(l.waits[t].arrived) > g.mostWait(t) {
				d, _ := g.Expire(l.now, t)
				t.Notify(d)
			}
		}
	}
	var later []*loadRequest
	for _, r := range l.comeback {
		if l.now.Before(r.returns) {
			later = append(later, r)
			continue
		}
		r.arrived = l.now // a new attempt of the caller
		l.arrive(r)
	}
	l.comeback = append(later, l.comeback[len(l.comeback):]...)
}

// report tells each host what the others run.
func (l *load) report() {
	at := make([]int, len(l.gates))
	for i, g := range l.gates {
		at[i] = g.Running()
	}
	for i, g := range l.gates {
		others := 0
		for j, n := range at {
			if i != j {
				others += n
			}
		}
		if !l.shared {
			g.Configure(max(l.slots-others, l.slots/len(l.gates)), loadFloor)
			continue
		}
		share := ShareOf(l.slots, at[i], others, len(l.gates))
		g.Configure(share.Ceiling, loadFloor)
		g.SetShare(share)
	}
}

// replay runs "load hosts=8 slots=24 service=25ms live=1500 training=30 for=4s".
func replay(t *testing.T, d *datadriven.TestData) string {
	var hosts, slots int
	var service, lasts string
	var live, training float64
	d.ScanArgs(t, "hosts", &hosts)
	d.ScanArgs(t, "slots", &slots)
	d.ScanArgs(t, "service", &service)
	d.ScanArgs(t, "for", &lasts)
	d.ScanArgs(t, "live", &live)
	d.MaybeScanArgs(t, "training", &training)
	busy := hosts
	d.MaybeScanArgs(t, "busy", &busy)
	work, _ := time.ParseDuration(service)
	length, _ := time.ParseDuration(lasts)
	l := &load{now: epoch, shared: !d.HasArg("unshared"), slots: slots, service: work, waits: map[*Ticket]*loadRequest{}, results: map[model.Priority]*loadResult{
		model.PriorityLive: {}, model.PriorityTraining: {}}}
	for range hosts {
		g := NewGate(slots, loadFloor)
		l.gates = append(l.gates, g)
	}
	var offered [2]float64
	next, reported := 0, epoch
	offer := func(i int, perSecond float64, p model.Priority, patience time.Duration) {
		for offered[i] += perSecond * loadStep.Seconds(); offered[i] >= 1; offered[i]-- {
			next++
			r := &loadRequest{host: next % busy, first: l.now, arrived: l.now}
			r.Priority, r.Patience = p, patience
			l.arrive(r)
		}
	}
	for l.now.Sub(epoch) < length+loadBudget {
		if l.now.Sub(epoch) < length {
			offer(0, live, model.PriorityLive, loadPatience)
			offer(1, training, model.PriorityTraining, 0)
		}
		l.step()
		if l.now.Sub(reported) >= reportInterval {
			reported = l.now
			l.report()
		}
	}
	out := fmt.Sprintf("at most %d wait at the endpoints", l.most)
	for _, p := range []model.Priority{model.PriorityLive, model.PriorityTraining} {
		r := l.results[p]
		if r.inTime+r.second+r.late+r.refused == 0 {
			continue
		}
		sort.Slice(r.back, func(i, j int) bool { return r.back[i] < r.back[j] })
		spread := ""
		if n := len(r.back); n > 0 {
			spread = fmt.Sprintf(", %d told to come back in %v to %v", n, r.back[n/10].Round(time.Millisecond), r.back[n*9/10].Round(time.Millisecond))
		}
		out += fmt.Sprintf("\n%s: %d in time, %d at the second attempt, %d late, %d refused for good%s",
			map[model.Priority]string{model.PriorityLive: "live", model.PriorityTraining: "training"}[p], r.inTime, r.second, r.late, r.refused, spread)
	}
	return out
}

// TestSlowEndpointsWithFreeSlotsDoNotLowerTheLimit: late answers mean too many requests
// only when the slots are taken.
func TestSlowEndpointsWithFreeSlotsDoNotLowerTheLimit(t *testing.T) {
	for _, hasRoom := range []bool{true, false} {
		g, now := NewGate(16, 0), epoch
		g.SetShare(Share{Slots: 4, HasRoom: hasRoom})
		before := g.Limit()
		for i := range 40 {
			now = now.Add(20 * time.Millisecond)
			latency := 25 * time.Millisecond
			if i >= 10 {
				latency = 300 * time.Millisecond
			}
			g.Observe(now, Sample{Kind: SampleAnswered, Latency: latency})
		}
		if lowered := g.Limit() < before; lowered == hasRoom {
			t.Errorf("endpoints have room: %v, the limit went from %d to %d", hasRoom, before, g.Limit())
		}
	}
}

// TestLongWorkBesideShortIsNotTakenForLateness: each class has its own usual latency.
func TestLongWorkBesideShortIsNotTakenForLateness(t *testing.T) {
	g, now := NewGate(16, 0), epoch
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		s := Sample{Kind: SampleAnswered, Class: "short", Latency: 20 * time.Millisecond}
		if i/50%2 == 1 {
			s.Class, s.Latency = "long", 90*time.Millisecond
		}
		g.Observe(now, s)
	}
	if g.Limit() != 16 {
		t.Errorf("the limit fell to %d", g.Limit())
	}
}
