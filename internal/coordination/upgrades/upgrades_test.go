package upgrades

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

var startTime = time.Unix(1000, 0)

// fleet returns one endpoint per version of model m.
func fleet(versions ...int) []catalog.Endpoint {
	var out []catalog.Endpoint
	for i, v := range versions {
		out = append(out, catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Versions: map[string]int{"m": v}, Incarnation: 1})
	}
	return out
}

func formatOrders(orders []LoadOrder) string {
	out := ""
	for _, o := range orders {
		out += fmt.Sprintf("%s:%d ", o.Endpoint.ID, o.Version)
	}
	return out
}

func idle(string) EngineState { return EngineState{} }

// More than maxLoadingShare of the endpoints loading at the same time would slow down every load:
// two of nine may load, and another starts only when one of them has finished.
func TestNext_ConcurrentLoadsLimited(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 2)
	f := fleet(1, 1, 1, 1, 1, 1, 1, 1, 1)
	orders := p.Next(startTime, f, nil, idle)
	if got := formatOrders(orders); got != "e0:2 e1:2 " {
		t.Fatalf("ordered %s", got)
	}
	for _, o := range orders {
		p.Accepted(startTime, o)
	}
	if got := formatOrders(p.Next(startTime, f, nil, idle)); got != "" {
		t.Fatalf("ordered %s while two endpoints are loading", got)
	}
	f[0].Versions["m"] = 2
	if got := formatOrders(p.Next(startTime.Add(time.Second), f, nil, idle)); got != "e2:2 " {
		t.Fatalf("ordered %s after one endpoint had loaded", got)
	}
}

// The loads of one model must not wait until those of another model are complete: the model
// that fewer endpoints can serve comes first, and then the models alternate.
func TestNext_LeastServedModelFirst(t *testing.T) {
	p := NewPlan()
	p.SetTarget("a", 5)
	p.SetTarget("b", 3)
	var f []catalog.Endpoint
	for i := range 10 {
		f = append(f, catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Versions: map[string]int{"a": 4, "b": 1}, Incarnation: 1})
	}
	orderedModels := func(now time.Time) string {
		out := ""
		for _, o := range p.Next(now, f, nil, idle) {
			out += o.Model
			p.Accepted(now, o)
			for i := range f {
				if f[i].ID == o.Endpoint.ID {
					f[i].Versions[o.Model] = o.Version
				}
			}
		}
		return out
	}
	// Ten endpoints can serve the newest step of a, and none that of b.
	var order string
	for i := range 8 {
		order += orderedModels(startTime.Add(time.Duration(i) * initialLoadTime))
	}
	if order != "bbbbbabaabaabaab" {
		t.Fatalf("ordered %s", order)
	}
}

// Three trainers share a fleet; one submits a fraction of the work of the others. With equal
// shares of the loads its engines are always up to date, while steps of the others wait for
// engines with their version. Loads must follow the submitted work, but leave the small
// trainer its least share.
func TestNext_LoadsFollowSubmittedWork(t *testing.T) {
	p := NewPlan()
	var d Demand
	versions := map[string]int{}
	for _, model := range []string{"small", "large", "larger"} {
		p.SetTarget(model, 9)
		versions[model] = 1
	}
	for step := range 5 {
		at := startTime.Add(time.Duration(step) * 4 * time.Second)
		d.Add(at, "small", 100)
		d.Add(at, "large", 2700)
		d.Add(at, "larger", 3200)
	}
	var f []catalog.Endpoint
	for i := range 40 {
		f = append(f, catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Versions: maps.Clone(versions), Incarnation: 1})
	}
	counts := map[string]int{}
	now := startTime.Add(20 * time.Second)
	for range 5 {
		for _, o := range p.Next(now, f, d.Recent(now), idle) {
			counts[o.Model]++
			i := slices.IndexFunc(f, func(e catalog.Endpoint) bool { return e.ID == o.Endpoint.ID })
			f[i].Versions[o.Model] = o.Version
		}
	}
	if counts["small"] < 4 || counts["small"] > 8 || counts["larger"] < 17 || counts["larger"] < counts["large"] {
		t.Errorf("40 loads went to %v, want about 5, 16 and 19", counts)
	}
}

// Work counts for demandWindow, and not for ever: a trainer that has ended leaves its share.
func TestDemand_Expires(t *testing.T) {
	var d Demand
	d.Add(startTime, "a", 10)
	d.Add(startTime.Add(demandWindow/2), "b", 20)
	if got := d.Recent(startTime.Add(demandWindow)); got[ModelKey("a")] != 10 || got[ModelKey("b")] != 20 {
		t.Errorf("work within the window: %v", got)
	}
	if got := d.Recent(startTime.Add(demandWindow + time.Millisecond)); got[ModelKey("a")] != 0 || got[ModelKey("b")] != 20 {
		t.Errorf("work after the window of the first: %v", got)
	}
}

// The endpoint with the oldest version comes first, because it can serve no step. Among equal
// versions the one with the most running requests comes first, because it could not start
// samples anyway.
func TestNext_OldestThenFullestFirst(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 4)
	running := map[string]int{"e0": 1, "e2": 8, "e3": 2}
	got := formatOrders(p.Next(startTime, fleet(3, 4, 3, 3, 2), nil, func(id string) EngineState { return EngineState{Running: running[id]} }))
	if got != "e4:4 " {
		t.Fatalf("ordered %s, want the endpoint that is two versions behind", got)
	}
	got = formatOrders(p.Next(startTime, fleet(3, 4, 3, 3, 4), nil, func(id string) EngineState { return EngineState{Running: running[id]} }))
	if got != "e2:4 " {
		t.Fatalf("ordered %s, want the endpoint with the most running requests", got)
	}
}

// Slow engines keep their requests longest and are often behind, so they would come first. A load
// there adds little capacity and holds one of the few concurrent loads: sound engines come
// first, whatever their version and number of requests.
func TestNext_ImpairedEnginesLast(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 4)
	f := fleet(1, 3, 2, 3, 3)
	state := func(id string) EngineState { return EngineState{Running: 1, Impaired: id == "e0" || id == "e2"} }
	var order string
	for range f {
		for _, o := range p.Next(startTime, f, nil, state) {
			order += o.Endpoint.ID + " "
			i := slices.IndexFunc(f, func(e catalog.Endpoint) bool { return e.ID == o.Endpoint.ID })
			f[i].Versions["m"] = o.Version
		}
	}
	if order != "e1 e3 e4 e0 e2 " {
		t.Fatalf("ordered %s, want the sound engines before the impaired e0 and e2", order)
	}
}

// An older target is ignored, and an endpoint at or above the target gets no order.
func TestNext_NoDowngrade(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 3)
	if p.SetTarget("m", 2) {
		t.Fatal("SetTarget accepted an older version")
	}
	if got := formatOrders(p.Next(startTime, fleet(3, 4), nil, idle)); got != "" {
		t.Fatalf("ordered %s", got)
	}
}

// An order with an unknown outcome is planned again after retryDelay, and not before.
func TestOutcomeUnknown_RetriedAfterDelay(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 2)
	f := fleet(1)
	p.OutcomeUnknown(startTime, p.Next(startTime, f, nil, idle)[0])
	if got := formatOrders(p.Next(startTime.Add(100*time.Millisecond), f, nil, idle)); got != "" {
		t.Fatalf("ordered %s before retryDelay", got)
	}
	if got := formatOrders(p.Next(startTime.Add(retryDelay), f, nil, idle)); got != "e0:2 " {
		t.Fatalf("ordered %q after retryDelay", got)
	}
}

// A restart loses an accepted order, so the new incarnation is ordered without waiting for
// minAcceptedTimeout.
func TestNext_RestartedEndpoint(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 2)
	f := fleet(1)
	p.Accepted(startTime, p.Next(startTime, f, nil, idle)[0])
	f[0].Incarnation = 2
	if got := formatOrders(p.Next(startTime.Add(time.Second), f, nil, idle)); got != "e0:2 " {
		t.Fatalf("ordered %q", got)
	}
}

// An accepted order that the catalog never shows as complete is sent again after
// minAcceptedTimeout.
func TestAccepted_RetriedAfterTimeout(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 2)
	f := fleet(1)
	p.Accepted(startTime, p.Next(startTime, f, nil, idle)[0])
	if got := formatOrders(p.Next(startTime.Add(minAcceptedTimeout-time.Millisecond), f, nil, idle)); got != "" {
		t.Fatalf("ordered %s before minAcceptedTimeout", got)
	}
	if got := formatOrders(p.Next(startTime.Add(minAcceptedTimeout), f, nil, idle)); got != "e0:2 " {
		t.Fatalf("ordered %q", got)
	}
}

// Loads that take three times as long as assumed must not be ordered again while they run, and
// their engines must be left out until they end; loads that take a third must not keep engines
// out. The first load is all that may be judged wrongly.
func TestLoads_FollowObservedDurations(t *testing.T) {
	for _, took := range []time.Duration{initialLoadTime / 3, initialLoadTime, 3 * initialLoadTime} {
		p := NewPlan()
		f := fleet(1, 1)
		now := startTime
		for version := 2; version < 5; version++ {
			p.SetTarget("m", version)
			for i := range f {
				o := LoadOrder{Endpoint: f[i], Model: "m", Version: version}
				p.Accepted(now, o)
				loading := func(at time.Duration) bool { return len(p.Loads(now.Add(at))) > 0 }
				if version > 2 && (!loading(took-time.Millisecond) || loading(took+time.Millisecond)) {
					t.Errorf("version %d: a load of %v counts as in progress before its end: %v, after it: %v", version, took,
						loading(took-time.Millisecond), loading(took+time.Millisecond))
				}
				if orders := p.Next(now.Add(took/2), f[i:i+1], nil, idle); len(orders) > 0 {
					t.Errorf("version %d: ordered again during a load of %v", version, took)
				}
				now = now.Add(took)
				f[i].Versions = map[string]int{"m": version}
				p.Next(now, f[i:i+1], nil, idle)
			}
		}
		if got := p.acceptedTimeout(); got < 3*took {
			t.Errorf("an order counts as lost after %v where a load takes %v", got, took)
		}
	}
}

// A few loads whose end the catalog showed late, as after an outage of the store, or too early
// must not change what is expected of the others: a lost order would hold one of the few
// concurrent loads for half a minute, or engines would be used while they load.
func TestLoads_OddDurationsIgnored(t *testing.T) {
	p := NewPlan()
	for range observedLoads - 4 {
		p.observe(time.Second)
	}
	for range 3 {
		p.observe(8 * time.Second)
	}
	p.observe(50 * time.Millisecond)
	if got := p.acceptedTimeout(); got != minAcceptedTimeout {
		t.Errorf("an order counts as lost after %v, want %v", got, minAcceptedTimeout)
	}
	if got := p.loadTime(); got != time.Second {
		t.Errorf("a load takes %v, want 1s", got)
	}
}

// An engine that has the version already loads nothing: it must not be left out, and the moment
// in which the catalog shows the version must not count as a load that took no time.
func TestAlreadyApplied_NoLoad(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 2)
	f := fleet(1, 1)
	p.AlreadyApplied(startTime, LoadOrder{Endpoint: f[0], Model: "m", Version: 2})
	if loads := p.Loads(startTime); len(loads) > 0 {
		t.Errorf("loads in progress: %v, want none", loads)
	}
	if got := formatOrders(p.Next(startTime, f[:1], nil, idle)); got != "" {
		t.Errorf("ordered %s again", got)
	}
	f[0].Versions["m"] = 2
	p.Next(startTime.Add(time.Millisecond), f, nil, idle)
	if got := p.loadTime(); got != initialLoadTime {
		t.Errorf("a load takes %v, want the assumed %v", got, initialLoadTime)
	}
}

// An endpoint that accepts orders but never loads takes turns with the others and does not
// block them.
func TestNext_FailingEndpoint(t *testing.T) {
	p := NewPlan()
	p.SetTarget("m", 2)
	f := fleet(1, 1)
	now := startTime
	var order string
	for range 4 {
		orders := p.Next(now, f, nil, idle)
		order += formatOrders(orders)
		p.Accepted(now, orders[0])
		now = now.Add(minAcceptedTimeout)
	}
	if order != "e0:2 e1:2 e0:2 e1:2 " {
		t.Fatalf("ordered %s", order)
	}
}

// BenchmarkNext measures Next with 600 endpoints, of which 300 are outdated.
func BenchmarkNext(b *testing.B) {
	p := NewPlan()
	p.SetTarget("m", 2)
	versions := make([]int, 600)
	for i := range versions {
		versions[i] = 1 + i%2
	}
	f := fleet(versions...)
	for b.Loop() {
		p.Next(startTime, f, nil, idle)
	}
}
