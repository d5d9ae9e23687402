package weights

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// fleet is a set of engines and a rate-limited weight store under a fake clock.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	wave     *Wave
	engines  map[model.EndpointID]*fakeEngine
	perLoad  time.Duration
	storeAt  time.Time
	swap     time.Duration
	failing  float64
	dead     float64
	events   fleetEvents
	seq      int
	worst    int
	orders   int
	superior model.WeightVersion
	fault    string
}

type fakeEngine struct {
	version model.WeightVersion
	loading bool
	dead    bool
}

type fleetEvent struct {
	at  time.Time
	seq int
	do  func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int { return len(q) }
func (q fleetEvents) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q fleetEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newFleet(seed uint64, n int, floor float64, loadsPerSecond float64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 5)), wave: NewWave(floor),
		engines: map[model.EndpointID]*fakeEngine{}, perLoad: time.Duration(float64(time.Second) / loadsPerSecond), swap: 500 * time.Millisecond,
	}
	var list []Engine
	for i := range n {
		id := model.EndpointID(fmt.Sprintf("e%03d", i))
		f.engines[id] = &fakeEngine{version: 1}
		list = append(list, Engine{ID: id, Fencing: i%2 == 0})
	}
	f.wave.SetEngines(list, floor)
	f.storeAt = f.now
	return f
}

func (f *fleet) at(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, fleetEvent{at: f.now.Add(d), seq: f.seq, do: do})
}

// run plays until all engines have the target or the time is up.
func (f *fleet) run(limit time.Duration) (time.Duration, bool) {
	begin := f.now
	f.at(0, f.tick)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
		f.plan()
		if target, _ := f.wave.Target(); target >= f.superior && len(f.wave.Lagging()) == 0 && f.fault == "" && f.onTarget() {
			return f.now.Sub(begin), true
		}
		if f.now.Sub(begin) > limit || f.fault != "" {
			return f.now.Sub(begin), false
		}
	}
	return 0, false
}

func (f *fleet) onTarget() bool {
	target, _ := f.wave.Target()
	for _, e := range f.engines {
		if e.version != target {
			return false
		}
	}
	return true
}

func (f *fleet) tick() {
	f.wave.Confirm(f.now)
	f.at(100*time.Millisecond, f.tick)
}

func (f *fleet) plan() {
	for _, a := range f.wave.Plan(f.now) {
		e := f.engines[a.Engine]
		f.at(2*time.Millisecond, func() { f.serve(a, e) })
	}
	loading := 0
	for _, e := range f.engines {
		if e.loading {
			loading++
		}
	}
	f.worst = max(f.worst, loading)
}

func (f *fleet) serve(a Action, e *fakeEngine) {
	if e.dead {
		f.wave.Failed(f.now, a.Engine, true)
		return
	}
	if a.Kind == ActionRead {
		f.wave.Reported(f.now, a.Engine, e.version, e.loading)
		return
	}
	f.orders++
	if !e.loading && e.version != a.Version {
		f.load(e, a.Version)
	}
	f.wave.Ordered(f.now, a.Engine)
}

// load queues at the store, swaps, and may keep the old version.
func (f *fleet) load(e *fakeEngine, v model.WeightVersion) {
	if v < e.version {
		f.fault = "an engine was ordered back"
	}
	e.loading = true
	if f.storeAt.Before(f.now) {
		f.storeAt = f.now
	}
	f.storeAt = f.storeAt.Add(f.perLoad)
	failed := f.rng.Float64() < f.failing
	f.at(f.storeAt.Sub(f.now)+f.swap, func() {
		e.loading = false
		if !failed {
			e.version = v
		}
		if f.rng.Float64() < f.dead {
			e.dead = true
			f.at(3*time.Second, func() { e.dead = false })
		}
	})
}

func TestSixHundredEnginesGetAVersionWithinTheStoreBound(t *testing.T) {
	const engines, perSecond, floor = 600, 25.0, 0.5
	f := newFleet(1, engines, floor, perSecond)
	f.failing = 0.05
	f.wave.SetTarget(f.now, 2)
	took, done := f.run(10 * time.Minute)
	bound := time.Duration(float64(engines)/perSecond/(1-f.failing)*float64(time.Second)) + f.swap
	t.Logf("took %v, %.3f of the store's bound %v; %d orders; %d of %d loading at most", took, float64(took)/float64(bound), bound, f.orders, f.worst, engines)
	if !done || float64(took) > 1.15*float64(bound) {
		t.Errorf("took %v, the store's bound is %v", took, bound)
	}
	if f.worst > f.wave.Cap() {
		t.Errorf("%d engines were loading at once", f.worst)
	}
}

func TestANewerVersionSupersedesAWaveInFlight(t *testing.T) {
	const engines, perSecond, floor = 600, 25.0, 0.5
	f := newFleet(2, engines, floor, perSecond)
	f.failing = 0.05
	f.superior = 3
	f.wave.SetTarget(f.now, 2)
	const after = 8 * time.Second
	f.at(after, func() { f.wave.SetTarget(f.now, 3) })
	took, done := f.run(10 * time.Minute)
	took -= after
	bound := time.Duration(float64(engines)/perSecond/(1-f.failing)*float64(time.Second)) + f.swap
	t.Logf("took %v after the newer version, %.3f of the store's bound %v; %d of %d loading at most", took, float64(took)/float64(bound), bound, f.worst, engines)
	if !done || float64(took) > 1.15*float64(bound) {
		t.Errorf("took %v, the store's bound is %v", took, bound)
	}
	if f.worst > f.wave.Cap() {
		t.Errorf("%d engines were loading at once", f.worst)
	}
}

func TestTheFloorHoldsAndEveryEngineArrivesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "engines")
		floor := rapid.SampledFrom([]float64{0, 0.5, 0.9, 1}).Draw(rt, "floor")
		f := newFleet(rapid.Uint64Range(0, 1<<20).Draw(rt, "seed"), n, floor, rapid.SampledFrom([]float64{2, 20, 200}).Draw(rt, "rate"))
		f.failing = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(rt, "failing")
		f.dead = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "dead")
		f.wave.SetTarget(f.now, 2)
		f.superior = 4
		f.at(time.Duration(rapid.IntRange(0, 10).Draw(rt, "supersede"))*time.Second, func() { f.wave.SetTarget(f.now, 4) })
		f.at(20*time.Second, func() { f.wave.SetTarget(f.now, 3) })
		if _, done := f.run(time.Hour); !done {
			rt.Fatalf("not done: lagging %v, fault %q", f.wave.Lagging(), f.fault)
		}
		if f.worst > f.wave.Cap() {
			rt.Fatalf("%d engines loading at once, the cap is %d", f.worst, f.wave.Cap())
		}
	})
}

func TestAnEngineThatIgnoresEpochsIsOrderedOnlyAfterAFreshConfirmation(t *testing.T) {
	w := NewWave(0)
	w.SetEngines([]Engine{{ID: "fenced", Fencing: true}, {ID: "open"}}, 0)
	now := time.Unix(50, 0)
	w.Reported(now, "fenced", 1, false)
	w.Reported(now, "open", 1, false)
	w.SetTarget(now, 2)
	if got := w.Plan(now); len(got) != 1 || got[0].Engine != "fenced" {
		t.Fatalf("planned %v without a confirmation", got)
	}
	w.Confirm(now)
	if got := w.Plan(now.Add(freshFor)); len(got) != 0 {
		t.Fatalf("planned %v on an old confirmation", got)
	}
	if got := w.Plan(now.Add(freshFor / 2)); len(got) != 1 || got[0].Engine != "open" {
		t.Fatalf("planned %v after a confirmation", got)
	}
}

func TestAReportNewerThanTheLastReadHasTheEngineReadAgain(t *testing.T) {
	w := NewWave(0)
	w.SetEngines([]Engine{{ID: "e", Fencing: true}}, 0)
	now := time.Unix(50, 0)
	w.SetTarget(now, 2)
	w.Reported(now, "e", 2, false)
	w.Heard(now.Add(-time.Second), "e", 1)
	if got := w.Plan(now); len(got) != 0 {
		t.Fatalf("planned %v on a report older than the read", got)
	}
	w.Heard(now.Add(time.Second), "e", 1)
	if got := w.Plan(now.Add(time.Second)); len(got) != 1 || got[0].Kind != ActionRead {
		t.Fatalf("planned %v on a newer report", got)
	}
}

func TestAnEngineThatHidesItsVersionIsReadAgainOnlyAfterAPause(t *testing.T) {
	w := NewWave(0)
	w.SetEngines([]Engine{{ID: "e", Fencing: true}}, 0)
	now := time.Unix(50, 0)
	w.SetTarget(now, 2)
	w.Reported(now, "e", 0, false)
	if got := w.Plan(now); len(got) != 0 {
		t.Fatalf("planned %v at once", got)
	}
	if got := w.Plan(now.Add(unreachDelay)); len(got) != 1 || got[0].Kind != ActionRead {
		t.Fatalf("planned %v after the pause", got)
	}
}

// readAll reports every engine that the wave asks for, with version 1.
func readAll(w *Wave, now time.Time, loading map[model.EndpointID]bool) (orders []Action) {
	for range 10 {
		for _, a := range w.Plan(now) {
			if a.Kind == ActionOrder {
				orders = append(orders, a)
				continue
			}
			w.Reported(now, a.Engine, 1, loading[a.Engine])
		}
	}
	return orders
}

func tenEngines(floor float64) (*Wave, time.Time) {
	w, now := NewWave(floor), time.Unix(1000, 0)
	var list []Engine
	for i := range 10 {
		list = append(list, Engine{ID: model.EndpointID(fmt.Sprintf("e%d", i)), Fencing: true})
	}
	w.SetEngines(list, floor)
	w.SetTarget(now, 2)
	return w, now
}

func TestASuccessorCountsTheSwapsOfTheHolderBefore(t *testing.T) {
	w, now := tenEngines(0.7)
	loading := map[model.EndpointID]bool{"e7": true, "e8": true, "e9": true}
	if orders := readAll(w, now, loading); len(orders) != 0 {
		t.Fatalf("%d orders while three of three engines are swapping", len(orders))
	}
}

func TestNothingIsOrderedBeforeEveryEngineWasRead(t *testing.T) {
	w, now := tenEngines(0.7)
	reads := w.Plan(now)
	for _, a := range reads[:9] {
		w.Reported(now, a.Engine, 1, false)
		for _, next := range w.Plan(now) {
			if next.Kind == ActionOrder {
				t.Fatalf("%s was ordered while an engine is unread", next.Engine)
			}
		}
	}
	w.Failed(now, reads[9].Engine, true)
	if orders := w.Plan(now); len(orders) != 2 {
		t.Fatalf("%d orders with one engine unreachable, want 2", len(orders))
	}
}

func TestLeavingEnginesCountAgainstTheFloor(t *testing.T) {
	w, now := tenEngines(0.7)
	w.SetLeaving(func(id model.EndpointID) bool { return id == "e0" || id == "e1" })
	if orders := readAll(w, now, nil); len(orders) != 1 {
		t.Fatalf("%d orders beside two leaving engines, want 1", len(orders))
	}
}

func TestAnUnsentOrderMayBeGivenAgain(t *testing.T) {
	w, now := NewWave(0), time.Unix(1000, 0)
	w.SetEngines([]Engine{{ID: "e"}}, 0)
	w.SetTarget(now, 2)
	w.Plan(now)
	w.Reported(now, "e", 1, false)
	w.Confirm(now)
	orders := w.Plan(now)
	if len(orders) != 1 || !orders[0].Before.Equal(now.Add(freshFor)) {
		t.Fatalf("orders %+v", orders)
	}
	w.NotSent("e")
	late := now.Add(freshFor)
	if got := w.Plan(late); len(got) != 0 {
		t.Fatalf("ordered without a fresh ownership: %+v", got)
	}
	w.Confirm(late)
	if got := w.Plan(late); len(got) != 1 {
		t.Fatalf("not ordered again: %+v", got)
	}
}
