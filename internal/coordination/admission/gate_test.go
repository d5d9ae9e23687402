package admission

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// traceRunner applies the commands of a trace to a gate and records each decision.
type traceRunner struct {
	now       time.Time
	gate      *Gate
	rate      Rate
	requests  map[string]*Request
	decisions []string
}

func (tr *traceRunner) record(id string, d Decision) {
	verdicts := map[Verdict]string{Run: "runs", Wait: "waits", Refuse: "is refused"}
	reasons := map[Reason]string{ReasonLimit: ": limit", ReasonDeadline: ": deadline", ReasonCaller: ": caller"}
	line := id + " " + verdicts[d.Verdict] + reasons[d.Reason]
	if d.Verdict == Refuse {
		line += fmt.Sprintf(", retry after %v", d.RetryAfter.Round(time.Millisecond))
	}
	tr.decisions = append(tr.decisions, line)
}

func (tr *traceRunner) arrive(d *datadriven.TestData, t *testing.T) {
	var id, caller, priority, left string
	limit := 0
	d.ScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "caller", &caller)
	d.MaybeScanArgs(t, "priority", &priority)
	d.MaybeScanArgs(t, "caller-limit", &limit)
	d.ScanArgs(t, "left", &left)
	length, _ := time.ParseDuration(left)
	req := &Request{
		Caller: model.CallerID(caller), CallerLimit: limit, Deadline: tr.now.Add(length),
		Priority: map[string]model.Priority{"training": 0, "batch": 1}[priority],
	}
	if priority == "" {
		req.Priority = model.PriorityLive
	}
	req.Notify = func(d Decision) { tr.record(id, d) }
	tr.requests[id] = req
	tr.record(id, tr.gate.Admit(tr.now, req))
}

func (tr *traceRunner) step(t *testing.T, d *datadriven.TestData) string {
	var text string
	d.MaybeScanArgs(t, "after", &text)
	after, _ := time.ParseDuration(text)
	tr.now = tr.now.Add(after)
	tr.decisions = nil
	var id string
	d.MaybeScanArgs(t, "id", &id)
	switch d.Cmd {
	case "gate":
		var slots int
		var floor float64
		d.ScanArgs(t, "slots", &slots)
		d.MaybeScanArgs(t, "floor", &floor)
		tr.gate, tr.requests = NewGate(slots, floor), map[string]*Request{}
	case "arrive":
		tr.arrive(d, t)
	case "finish":
		var took string
		d.ScanArgs(t, "took", &took)
		length, _ := time.ParseDuration(took)
		tr.gate.Finish(tr.now, tr.requests[id], Observation{Kind: ObservationAnswered, Latency: length, TotalTime: length})
	case "advance":
		tr.gate.StartWaiting(tr.now)
	case "answers":
		return tr.answers(t, d)
	case "load":
		return runLoad(t, d)
	case "rate":
		return tr.offerRate(t, d)
	}
	return strings.Join(append(tr.decisions, fmt.Sprintf("running %d, waiting %d, limit %d", tr.gate.Running(), tr.gate.Waiting(), tr.gate.Limit())), "\n")
}

// answers records count answers at intervals of 10 ms while busy requests run.
func (tr *traceRunner) answers(t *testing.T, d *datadriven.TestData) string {
	var count, busy int
	var took string
	d.ScanArgs(t, "count", &count)
	d.ScanArgs(t, "busy", &busy)
	d.ScanArgs(t, "took", &took)
	length, _ := time.ParseDuration(took)
	for range count {
		tr.now = tr.now.Add(10 * time.Millisecond)
		tr.gate.observe(tr.now, Observation{Kind: ObservationAnswered, Latency: length}, busy)
	}
	return fmt.Sprintf("limit %d", tr.gate.Limit())
}

func (tr *traceRunner) offerRate(t *testing.T, d *datadriven.TestData) string {
	var limit, offered float64
	d.ScanArgs(t, "limit", &limit)
	d.ScanArgs(t, "offered", &offered)
	tr.rate = Rate{}
	tr.rate.SetLimit(limit)
	admitted := 0
	for range int(10 * offered) {
		tr.now = tr.now.Add(time.Duration(float64(time.Second) / offered))
		if ok, _ := tr.rate.Allow(tr.now); ok {
			admitted++
		}
	}
	_, retryAfter := tr.rate.Allow(tr.now)
	return fmt.Sprintf("admitted %.1f a second, demand %.0f, then retry after %v", float64(admitted)/10, tr.rate.Demand(), retryAfter.Round(time.Millisecond))
}

// TestTraces replays the traces in testdata and compares the decisions.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &traceRunner{now: testStart}
		datadriven.RunTest(t, path, tr.step)
	})
}

// For any sequence of arrivals and ends, no request starts over the limit, each waiting
// request receives one final decision, each refusal carries a retry delay, and the gate's
// counts match the decisions.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		g := NewGate(rapid.IntRange(1, 12).Draw(t, "slots"), rapid.Float64Range(0, 0.5).Draw(t, "floor"))
		var running []*Request
		waiting := map[*Request]bool{}
		decide := func(k *Request, d Decision) {
			switch {
			case d.Verdict == Wait:
				waiting[k] = true
			case d.Verdict == Run && g.Running() > g.Limit():
				t.Fatalf("running = %d, exceeds the limit of %d", g.Running(), g.Limit())
			case d.Verdict == Run:
				running = append(running, k)
			case d.RetryAfter <= 0:
				t.Fatalf("refusal without a retry delay: %+v", d)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if len(running) == 0 || rapid.Bool().Draw(t, "arrive") {
				k := &Request{
					Caller:   model.CallerID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller"))),
					Priority: model.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * time.Millisecond),
				}
				k.Notify = func(d Decision) {
					if !waiting[k] || d.Verdict == Wait {
						t.Fatalf("final decision %+v on a request that does not wait, or not final", d)
					}
					delete(waiting, k)
					decide(k, d)
				}
				decide(k, g.Admit(now, k))
			} else {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				k := running[i]
				running = append(running[:i], running[i+1:]...)
				took := time.Duration(rapid.IntRange(1, 200).Draw(t, "took")) * time.Millisecond
				g.Finish(now, k, Observation{Kind: ObservationAnswered, Latency: took, TotalTime: took})
			}
			if g.Running() != len(running) || g.Waiting() != len(waiting) {
				t.Fatalf("gate counts %d running and %d waiting, want %d and %d", g.Running(), g.Waiting(), len(running), len(waiting))
			}
		}
	})
}

// Hosts that use the same demands must not together admit more than the caller's total
// rate.
func TestRateShare_SumWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "demands")
		total, sum, shares := rapid.Float64Range(1, 10000).Draw(t, "total"), 0.0, 0.0
		sort.Float64s(demands)
		for _, d := range demands {
			sum += d
		}
		for _, d := range demands {
			shares += RateShare(total, d, sum, len(demands), true)
		}
		if shares > total*1.0001 {
			t.Fatalf("shares for demands %v sum to %v, want at most %v", demands, shares, total)
		}
	})
}

// A caller's only waiting request is evicted by a request of higher priority from the same
// caller, which frees the caller's state. The new request must not keep that freed state,
// which the next caller would receive as well.
func TestEviction_OwnWaitingRequest(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGate(1, 0)
	arrive := func(caller model.CallerID, p model.Priority) *Request {
		k := &Request{Caller: caller, Priority: p, Deadline: now.Add(time.Minute), Notify: func(Decision) {}}
		g.Admit(now, k)
		return k
	}
	for i := range 1 + maxQueuePerSlot*g.Limit() - 1 {
		arrive(model.CallerID(fmt.Sprintf("c%d", i)), model.PriorityLive)
	}
	arrive("own", model.PriorityTraining)
	urgent := arrive("own", model.PriorityLive)
	other := arrive("other", model.PriorityTraining)
	if urgent.queueIndex == 0 || g.callers["own"] != urgent.state || urgent.state == other.state {
		t.Fatalf("queue index = %d, want not 0; caller state %p, want that in the gate %p and not the other caller's %p", urgent.queueIndex, urgent.state, g.callers["own"], other.state)
	}
}

// The wait of a queued request is bounded by MaxWait and by half of the time to its
// deadline. Otherwise it could be refused too late for another attempt if no running
// request ends.
func TestWaitLimit(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGate(1, 0)
	for i, left := range []time.Duration{time.Minute, time.Minute, 400 * time.Millisecond} {
		d := g.Admit(now, &Request{Caller: "lab", Deadline: now.Add(left), Notify: func(Decision) {}})
		if i > 0 && (d.Verdict != Wait || d.WaitLimit != min(MaxWait, left/2)) {
			t.Errorf("decision with %v to the deadline: %+v, want Wait with a limit of MaxWait or half of that time", left, d)
		}
	}
}
