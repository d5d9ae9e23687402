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

// trace replays events at a gate and notes what each request was told.
type trace struct {
	now     time.Time
	gate    *Gate
	rate    Rate
	tickets map[string]*Ticket
	told    []string
}

func (tr *trace) note(id string, d Decision) {
	words := map[Verdict]string{Run: "runs", Wait: "waits", Refuse: "is refused"}
	reasons := map[Reason]string{ReasonLimit: ": limit", ReasonDeadline: ": deadline", ReasonCaller: ": caller"}
	line := id + " " + words[d.Verdict] + reasons[d.Reason]
	if d.Verdict == Refuse {
		line += fmt.Sprintf(", back in %v", d.RetryAfter.Round(time.Millisecond))
	}
	tr.told = append(tr.told, line)
}

func (tr *trace) arrive(d *datadriven.TestData, t *testing.T) {
	var id, caller, priority, left string
	limit := 0
	d.ScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "caller", &caller)
	d.MaybeScanArgs(t, "priority", &priority)
	d.MaybeScanArgs(t, "caller-limit", &limit)
	d.ScanArgs(t, "left", &left)
	length, _ := time.ParseDuration(left)
	k := &Ticket{
		Caller: model.CallerID(caller), CallerLimit: limit, Deadline: tr.now.Add(length),
		Priority: map[string]model.Priority{"training": 0, "batch": 1}[priority],
	}
	if priority == "" {
		k.Priority = model.PriorityLive
	}
	k.Notify = func(d Decision) { tr.note(id, d) }
	tr.tickets[id] = k
	tr.note(id, tr.gate.Arrive(tr.now, k))
}

func (tr *trace) step(t *testing.T, d *datadriven.TestData) string {
	var text string
	d.MaybeScanArgs(t, "after", &text)
	after, _ := time.ParseDuration(text)
	tr.now = tr.now.Add(after)
	tr.told = nil
	var id string
	d.MaybeScanArgs(t, "id", &id)
	switch d.Cmd {
	case "gate":
		var slots int
		var floor float64
		d.ScanArgs(t, "slots", &slots)
		d.MaybeScanArgs(t, "floor", &floor)
		tr.gate, tr.tickets = NewGate(slots, floor), map[string]*Ticket{}
	case "arrive":
		tr.arrive(d, t)
	case "leave":
		var took string
		d.ScanArgs(t, "took", &took)
		length, _ := time.ParseDuration(took)
		tr.gate.Leave(tr.now, tr.tickets[id], Sample{Kind: SampleAnswered, Latency: length, Took: length})
	case "advance":
		tr.gate.Advance(tr.now)
	case "answers":
		return tr.answers(t, d)
	case "load":
		return replay(t, d)
	case "rate":
		return tr.offered(t, d)
	}
	return strings.Join(append(tr.told, fmt.Sprintf("running %d, waiting %d, limit %d", tr.gate.Running(), tr.gate.Waiting(), tr.gate.Limit())), "\n")
}

// answers lets requests run one after another, busy of them at once.
func (tr *trace) answers(t *testing.T, d *datadriven.TestData) string {
	var count, busy int
	var took string
	d.ScanArgs(t, "count", &count)
	d.ScanArgs(t, "busy", &busy)
	d.ScanArgs(t, "took", &took)
	length, _ := time.ParseDuration(took)
	for range count {
		tr.now = tr.now.Add(10 * time.Millisecond)
		tr.gate.observe(tr.now, Sample{Kind: SampleAnswered, Latency: length}, busy)
	}
	return fmt.Sprintf("limit %d", tr.gate.Limit())
}

func (tr *trace) offered(t *testing.T, d *datadriven.TestData) string {
	var limit, offered float64
	d.ScanArgs(t, "limit", &limit)
	d.ScanArgs(t, "offered", &offered)
	tr.rate = Rate{}
	tr.rate.SetLimit(limit)
	admitted := 0
	for range int(10 * offered) {
		tr.now = tr.now.Add(time.Duration(float64(time.Second) / offered))
		if ok, _ := tr.rate.Arrive(tr.now); ok {
			admitted++
		}
	}
	_, retry := tr.rate.Arrive(tr.now)
	return fmt.Sprintf("admitted %.1f a second, demand %.0f, then back in %v", float64(admitted)/10, tr.rate.Demand(), retry.Round(time.Millisecond))
}

func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &trace{now: epoch}
		datadriven.RunTest(t, path, tr.step)
	})
}

// TestGateKeepsItsRules: whatever comes, no start over the limit, one final decision
// a request, and training under its floor is never passed over.
func TestGateKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		g := NewGate(rapid.IntRange(1, 12).Draw(t, "slots"), rapid.Float64Range(0, 0.5).Draw(t, "floor"))
		var running []*Ticket
		waiting := map[*Ticket]bool{}
		decide := func(k *Ticket, d Decision) {
			switch {
			case d.Verdict == Wait:
				waiting[k] = true
			case d.Verdict == Run && g.Running() > g.Limit():
				t.Fatalf("%d run over the limit %d", g.Running(), g.Limit())
			case d.Verdict == Run:
				running = append(running, k)
			case d.RetryAfter <= 0:
				t.Fatalf("refused without saying when to come back: %+v", d)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if len(running) == 0 || rapid.Bool().Draw(t, "arrive") {
				k := &Ticket{
					Caller:   model.CallerID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller"))),
					Priority: model.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * time.Millisecond),
				}
				k.Notify = func(d Decision) {
					if !waiting[k] || d.Verdict == Wait {
						t.Fatalf("told %+v though it does not wait", d)
					}
					delete(waiting, k)
					decide(k, d)
				}
				decide(k, g.Arrive(now, k))
			} else {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				k := running[i]
				running = append(running[:i], running[i+1:]...)
				took := time.Duration(rapid.IntRange(1, 200).Draw(t, "took")) * time.Millisecond
				g.Leave(now, k, Sample{Kind: SampleAnswered, Latency: took, Took: took})
			}
			if g.Running() != len(running) || g.Waiting() != len(waiting) {
				t.Fatalf("gate says %d run and %d wait, of %d and %d", g.Running(), g.Waiting(), len(running), len(waiting))
			}
		}
	})
}

// TestSharesSumToTheRate: hosts that see the same demands never admit more than the
// caller's rate together.
func TestSharesSumToTheRate(t *testing.T) {
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
			t.Fatalf("shares of %v come to %v of %v", demands, shares, total)
		}
	})
}

// TestEvictingOwnRequestKeepsTheCallersState: a caller whose only request is put out
// by its own more urgent one goes on with a state that no other caller gets.
func TestEvictingOwnRequestKeepsTheCallersState(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGate(1, 0)
	arrive := func(caller model.CallerID, p model.Priority) *Ticket {
		k := &Ticket{Caller: caller, Priority: p, Deadline: now.Add(time.Minute), Notify: func(Decision) {}}
		g.Arrive(now, k)
		return k
	}
	for i := range 1 + queuePerSlot*g.Limit() - 1 {
		arrive(model.CallerID(fmt.Sprintf("c%d", i)), model.PriorityLive)
	}
	arrive("own", model.PriorityTraining)
	urgent := arrive("own", model.PriorityLive)
	other := arrive("other", model.PriorityTraining)
	if urgent.place == 0 || g.callers["own"] != urgent.state || urgent.state == other.state {
		t.Fatalf("place %d, own state %p, held %p, other's %p", urgent.place, urgent.state, g.callers["own"], other.state)
	}
}

// TestWaitNamesThePatience: a request that waits is given up on while it has time
// left to go elsewhere, also when nothing ends meanwhile.
func TestWaitNamesThePatience(t *testing.T) {
	now := time.Unix(0, 0)
	g := NewGate(1, 0)
	for i, left := range []time.Duration{time.Minute, time.Minute, 400 * time.Millisecond} {
		d := g.Arrive(now, &Ticket{Caller: "lab", Deadline: now.Add(left), Notify: func(Decision) {}})
		if i > 0 && (d.Verdict != Wait || d.Patience != min(MaxWait, left/2)) {
			t.Errorf("%v left: %+v", left, d)
		}
	}
}
