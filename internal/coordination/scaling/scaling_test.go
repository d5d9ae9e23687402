package scaling

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// TestReplays plays the loads that the package comment names against a simulated platform and
// compares the orders. Every order of every replay is also checked against the package's invariants.
func TestReplays(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &simulation{t: t, plan: NewPlan(), api: "ok", targets: map[Place]int{}, unavailable: map[Place]bool{},
			limits: catalog.Scaling{Min: 1, Max: 16, BootTime: 4 * time.Second, SpotPrice: 0.4, ZonePrices: map[string]float64{"a": 0.009, "b": 0.0092, "c": 0.0095}}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.step(t, d) })
	})
}

// simulation is an operator's platform that executes the orders of a plan.
type simulation struct {
	t         *testing.T
	plan      *Plan
	limits    catalog.Scaling
	now       time.Duration
	demand    Demand
	endpoints []simulatedEndpoint
	targets   map[Place]int
	// api is ok, down, silent (orders are not executed) or lost (they are executed without an
	// answer).
	api         string
	unavailable map[Place]bool
	instances   uint32
	late        []Order
}

type simulatedEndpoint struct {
	Endpoint
	serves, ends time.Duration
}

func parsePlace(s string) Place {
	zone, spot := strings.CutSuffix(s, "/spot")
	return Place{Zone: zone, Spot: spot}
}

func (at Place) String() string {
	if at.Spot {
		return at.Zone + "/spot"
	}
	return at.Zone
}

func (s *simulation) step(t *testing.T, d *datadriven.TestData) string {
	var place string
	n := 0
	d.MaybeScanArgs(t, "place", &place)
	d.MaybeScanArgs(t, "n", &n)
	at := parsePlace(place)
	switch d.Cmd {
	case "have": // sets the endpoints that serve in a place
		s.execute(Order{Place: at, Count: n})
		for i := range s.endpoints {
			s.endpoints[i].serves = s.now
		}
	case "limits":
		d.ScanArgs(t, "max", &s.limits.Max)
	case "demand":
		s.demand = Demand{}
		d.MaybeScanArgs(t, "running", &s.demand.Running)
		d.MaybeScanArgs(t, "waiting", &s.demand.Waiting)
		d.MaybeScanArgs(t, "due", &s.demand.Due)
	case "api":
		d.ScanArgs(t, "answer", &s.api)
	case "execute-late": // executes the calls of api answer=silent
		for _, o := range s.late {
			s.execute(o)
		}
		s.late = nil
	case "unavailable":
		s.unavailable[at] = n > 0
	case "reclaim": // the endpoints of a place leave and end after n seconds
		s.targets[at] = 0
		for i := range s.endpoints {
			if e := &s.endpoints[i]; e.Place == at {
				e.Leaving, e.ends = true, s.now+time.Duration(n)*time.Second
			}
		}
	case "lose": // the endpoints of a zone stop answering
		for i := range s.endpoints {
			s.endpoints[i].Unreachable = s.endpoints[i].Zone == at.Zone
		}
	case "new-holder":
		s.plan = NewPlan()
	case "run": // runs for n seconds
		var out strings.Builder
		for range n {
			s.now += time.Second
			s.tick(&out)
		}
		return out.String() + s.summary()
	}
	return ""
}

// execute sets the number of endpoints in a place, as the platform does.
func (s *simulation) execute(o Order) {
	s.targets[o.Place] = o.Count
	have := 0
	for i := range s.endpoints {
		e := &s.endpoints[i]
		if e.Place != o.Place || e.Leaving || e.ends > 0 {
			continue
		}
		if have++; have > o.Count {
			e.Leaving, e.ends = true, s.now+2*time.Second
		}
	}
	for ; have < o.Count; have++ {
		s.instances++
		s.endpoints = append(s.endpoints, simulatedEndpoint{Endpoint: Endpoint{Place: o.Place, Instance: s.instances, Slots: 6}, serves: s.now + s.limits.BootTime})
	}
}

func (s *simulation) tick(out *strings.Builder) {
	in := Input{Now: s.now, Demand: s.demand}
	serving := map[Place]int{}
	for _, e := range s.endpoints {
		if s.now >= e.serves && (e.ends == 0 || s.now < e.ends) {
			in.Endpoints = append(in.Endpoints, e.Endpoint)
			if !e.Leaving {
				serving[e.Place]++
			}
		}
	}
	for _, o := range s.plan.Next(in, &s.limits) {
		if o.Count == serving[o.Place] {
			s.t.Errorf("%v: order for %v restates the %d endpoints that serve", s.now, o.Place, o.Count)
		}
		s.plan.Sent(s.now, o, &s.limits)
		answer := s.answer(o)
		s.plan.Answered(s.now, o, answer)
		fmt.Fprintf(out, "%v %v %d->%d %s\n", s.now, o.Place, o.Former, o.Count, [...]string{"confirmed", "refused", "not taken", "unanswered"}[answer])
	}
	zones := map[string]int{}
	for at, n := range s.targets {
		if zones[at.Zone] += n; zones[at.Zone] > s.limits.Max {
			s.t.Errorf("%v: zone %s is to have %d endpoints, want at most %d", s.now, at.Zone, zones[at.Zone], s.limits.Max)
		}
	}
}

func (s *simulation) answer(o Order) Answer {
	switch {
	case s.api == "down":
		return NotTaken
	case s.api == "silent":
		s.late = append(s.late, o)
		return Unanswered
	case s.unavailable[o.Place]:
		return Refused
	}
	s.execute(o)
	if s.api == "lost" {
		return Unanswered
	}
	return Confirmed
}

func (s *simulation) summary() string {
	serving, total := map[Place]int{}, 0
	for _, e := range s.endpoints {
		if s.now >= e.serves && !e.Leaving {
			serving[e.Place]++
			total++
		}
	}
	out := fmt.Sprintf("at %v %d serve of %d wanted:", s.now, total, s.plan.Wanted())
	for _, zone := range []string{"a", "b", "c"} {
		out += fmt.Sprintf(" %s %d+%d", zone, serving[Place{Zone: zone}], serving[Place{Zone: zone, Spot: true}])
	}
	return out + "\n"
}

// Callers lose their objectives if the places that remain after the loss of a zone, or of all spot
// endpoints, have too few endpoints. Checked for any demand that the limits allow to be served, from
// any endpoints, after orders for more and for fewer.
func TestNext_CallersServedAfterLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := &catalog.Scaling{Min: 1, Max: rapid.IntRange(4, 20).Draw(t, "max"), BootTime: 4 * time.Second, SpotPrice: 0.3,
			ZonePrices: map[string]float64{"a": 1, "b": 1.5, "c": 0.7}}
		// Two of the three zones may have 2 * Max endpoints, of which up to Max are spot endpoints.
		needed := rapid.IntRange(0, limits.Max).Draw(t, "needed")
		p, in, instance := NewPlan(), Input{}, uint32(0)
		counts := map[Place]int{}
		for _, zone := range []string{"a", "b", "c"} {
			counts[Place{Zone: zone}] = rapid.IntRange(0, limits.Max/2).Draw(t, zone)
			counts[Place{Zone: zone, Spot: true}] = rapid.IntRange(0, limits.Max/2).Draw(t, zone+" spot")
		}
		instances := map[Place][]uint32{}
		for second := range 120 {
			in.Now = time.Duration(second) * time.Second
			in.Demand = Demand{Running: needed * 4, Due: rapid.IntRange(0, 40).Draw(t, "due")}
			in.Endpoints = nil
			for at, n := range counts {
				for len(instances[at]) < n {
					instance++
					instances[at] = append(instances[at], instance)
				}
				for i, id := range instances[at] {
					in.Endpoints = append(in.Endpoints, Endpoint{Place: at, Instance: id, Slots: 4, Leaving: i >= n})
				}
				instances[at] = instances[at][:n]
			}
			for _, o := range p.Next(in, limits) {
				p.Sent(in.Now, o, limits)
				p.Answered(in.Now, o, Confirmed)
				counts[o.Place] = o.Count
			}
			if second == 0 {
				continue // while there are batches, the second reading confirms the first
			}
			total, onDemand, zones := 0, 0, map[string]int{}
			for at, n := range counts {
				total += n
				zones[at.Zone] += n
				if !at.Spot {
					onDemand += n
				}
			}
			for zone, n := range zones {
				if total-n < needed || onDemand < needed || n > limits.Max || n < limits.Min {
					t.Fatalf("%v: %v: without zone %s %d endpoints and %d on demand, callers need %d", in.Now, counts, zone, total-n, onDemand, needed)
				}
			}
		}
	})
}

// While a holder cannot confirm its lease or is frozen, it does not see the demand. Fewer endpoints ordered
// after the first reading that follows would be missing in the next wave.
func TestNext_NoFewerAfterGap(t *testing.T) {
	limits := &catalog.Scaling{Max: 16, BootTime: 4 * time.Second, ZonePrices: map[string]float64{"a": 1, "b": 1}}
	in := Input{}
	for i := range uint32(20) {
		in.Endpoints = append(in.Endpoints, Endpoint{Place: Place{Zone: []string{"a", "b"}[i%2]}, Instance: i, Slots: 4})
	}
	p := NewPlan()
	for ; in.Now < time.Minute; in.Now += time.Second {
		in.Demand = Demand{Due: 80}
		if orders := p.Next(in, limits); len(orders) > 0 {
			t.Fatalf("at %v: orders %+v although the demand fits", in.Now, orders)
		}
	}
	in.Now += time.Minute
	in.Demand = Demand{}
	resumed, fewer := in.Now, false
	for ; in.Now < resumed+2*holdPeriod; in.Now += time.Second {
		orders := p.Next(in, limits)
		if fewer = fewer || len(orders) > 0; fewer && in.Now < resumed+holdPeriod {
			t.Fatalf("%v after the gap: orders %+v, want none for %v", in.Now-resumed, orders, holdPeriod)
		}
	}
	if !fewer {
		t.Error("no order for fewer endpoints after the demand was lower for long enough")
	}
}

// Whatever the API answers, and whether it executes a call without an answer or not, no zone may have more
// endpoints than its limit, and no order may restate what serves. simulation.tick checks both.
func TestNext_RandomAnswers(t *testing.T) {
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := &simulation{t: t, plan: NewPlan(), api: "ok", targets: map[Place]int{}, unavailable: map[Place]bool{},
			limits: catalog.Scaling{Min: 1, Max: 5, BootTime: 4 * time.Second, SpotPrice: 0.4, ZonePrices: map[string]float64{"a": 0.009, "b": 0.0092, "c": 0.0095}}}
		var out strings.Builder
		for range 200 {
			s.now += time.Second
			if r.IntN(15) == 0 {
				s.api = []string{"ok", "ok", "down", "silent", "lost"}[r.IntN(5)]
			}
			if r.IntN(40) == 0 {
				s.demand = Demand{Running: r.IntN(20), Due: r.IntN(100) * r.IntN(2)}
			}
			if r.IntN(20) == 0 {
				s.unavailable[Place{Zone: []string{"a", "b", "c"}[r.IntN(3)], Spot: r.IntN(2) == 0}] = r.IntN(2) == 0
			}
			if s.tick(&out); t.Failed() {
				t.Fatalf("seed %d:\n%s", seed, out.String())
			}
		}
	}
}

// Too few slots let samples end late, and a slot for each sample pays for idle endpoints.
func TestSlotsInTime(t *testing.T) {
	seconds := func(n int, s float64) (out []time.Duration) {
		for range n {
			out = append(out, time.Duration(s*float64(time.Second)))
		}
		return out
	}
	// Samples of 7 s need a slot each; those of 1 s are done one after the other.
	if got := SlotsInTime(append(seconds(10, 7), seconds(40, 1)...), 7500*time.Millisecond); got < 10+6 || got > 10+20 {
		t.Errorf("%d slots for 10 long and 40 short samples", got)
	}
	if got := SlotsInTime(seconds(5, 0), 7500*time.Millisecond); got != 5 {
		t.Errorf("%d slots for 5 samples of unknown length", got)
	}
	if got := SlotsInTime(seconds(3, 0.1), -time.Second); got != 1 {
		t.Errorf("%d slots for 3 short samples that are late", got)
	}
}
