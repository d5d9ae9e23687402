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

// fleet simulates engines and a rate-limited weight store with a fake clock.
type fleet struct {
	now              time.Time
	rng              *rand.Rand
	update           *RollingUpdate
	engines          map[model.EndpointID]*fakeEngine
	storeTimePerLoad time.Duration
	storeFreeAt      time.Time
	swapTime         time.Duration
	loadFailureRate  float64
	crashRate        float64
	events           fleetEvents
	seq              int
	maxLoading       int
	orders           int
	finalTarget      model.WeightVersion
	fault            string
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
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 5)), update: NewRollingUpdate(floor),
		engines: map[model.EndpointID]*fakeEngine{}, storeTimePerLoad: time.Duration(float64(time.Second) / loadsPerSecond), swapTime: 500 * time.Millisecond,
	}
	var list []Engine
	for i := range n {
		id := model.EndpointID(fmt.Sprintf("e%03d", i))
		f.engines[id] = &fakeEngine{version: 1}
		list = append(list, Engine{ID: id, Fencing: i%2 == 0})
	}
	f.update.SetEngines(list, floor)
	f.storeFreeAt = f.now
	return f
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, fleetEvent{at: f.now.Add(d), seq: f.seq, do: do})
}

// run simulates until all engines have the target version, limit has passed or a fault
// occurred. It reports the simulated time and whether all engines have the target.
func (f *fleet) run(limit time.Duration) (time.Duration, bool) {
	start := f.now
	f.schedule(0, f.tick)
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
		f.plan()
		if target, _ := f.update.Target(); target >= f.finalTarget && len(f.update.Lagging()) == 0 && f.fault == "" && f.onTarget() {
			return f.now.Sub(start), true
		}
		if f.now.Sub(start) > limit || f.fault != "" {
			return f.now.Sub(start), false
		}
	}
	return 0, false
}

func (f *fleet) onTarget() bool {
	target, _ := f.update.Target()
	for _, e := range f.engines {
		if e.version != target {
			return false
		}
	}
	return true
}

func (f *fleet) tick() {
	f.update.ConfirmOwnership(f.now)
	f.schedule(100*time.Millisecond, f.tick)
}

func (f *fleet) plan() {
	for _, a := range f.update.Plan(f.now) {
		e := f.engines[a.Engine]
		f.schedule(2*time.Millisecond, func() { f.serve(a, e) })
	}
	loading := 0
	for _, e := range f.engines {
		if e.loading {
			loading++
		}
	}
	f.maxLoading = max(f.maxLoading, loading)
}

func (f *fleet) serve(a Action, e *fakeEngine) {
	if e.dead {
		f.update.Failed(f.now, a.Engine, true)
		return
	}
	if a.Kind == ActionRead {
		f.update.Reported(f.now, a.Engine, e.version, e.loading)
		return
	}
	f.orders++
	if !e.loading && e.version != a.Version {
		f.load(e, a.Version)
	}
	f.update.Accepted(f.now, a.Engine)
}

// load simulates a load: it waits for the store, then swaps the weights. The load fails, and the
// engine keeps its version, with probability loadFailureRate.
func (f *fleet) load(e *fakeEngine, v model.WeightVersion) {
	if v < e.version {
		f.fault = "an engine was ordered to load an older version"
	}
	e.loading = true
	if f.storeFreeAt.Before(f.now) {
		f.storeFreeAt = f.now
	}
	f.storeFreeAt = f.storeFreeAt.Add(f.storeTimePerLoad)
	failed := f.rng.Float64() < f.loadFailureRate
	f.schedule(f.storeFreeAt.Sub(f.now)+f.swapTime, func() {
		e.loading = false
		if !failed {
			e.version = v
		}
		if f.rng.Float64() < f.crashRate {
			e.dead = true
			f.schedule(3*time.Second, func() { e.dead = false })
		}
	})
}

// An update that orders too few loads leaves the weight store idle. It may take at most 15%
// longer than the store needs for 600 engines, with at most MaxUnavailable engines loading.
func TestRollingUpdate_600EnginesWithinStoreBound(t *testing.T) {
	const engines, perSecond, floor = 600, 25.0, 0.5
	f := newFleet(1, engines, floor, perSecond)
	f.loadFailureRate = 0.05
	f.update.SetTarget(f.now, 2)
	took, done := f.run(10 * time.Minute)
	bound := time.Duration(float64(engines)/perSecond/(1-f.loadFailureRate)*float64(time.Second)) + f.swapTime
	t.Logf("took %v, %.3f of the store's bound %v; %d orders; %d of %d loading at most", took, float64(took)/float64(bound), bound, f.orders, f.maxLoading, engines)
	if !done || float64(took) > 1.15*float64(bound) {
		t.Errorf("took %v, the store's bound is %v", took, bound)
	}
	if f.maxLoading > f.update.MaxUnavailable() {
		t.Errorf("%d engines were loading concurrently", f.maxLoading)
	}
}

// A target that is raised during an update is reached as fast as without that update: loads of
// the older version that are still queued must not delay it beyond 15% of the store's bound.
func TestRollingUpdate_NewerTarget(t *testing.T) {
	const engines, perSecond, floor = 600, 25.0, 0.5
	f := newFleet(2, engines, floor, perSecond)
	f.loadFailureRate = 0.05
	f.finalTarget = 3
	f.update.SetTarget(f.now, 2)
	const after = 8 * time.Second
	f.schedule(after, func() { f.update.SetTarget(f.now, 3) })
	took, done := f.run(10 * time.Minute)
	took -= after
	bound := time.Duration(float64(engines)/perSecond/(1-f.loadFailureRate)*float64(time.Second)) + f.swapTime
	t.Logf("took %v after the newer version, %.3f of the store's bound %v; %d of %d loading at most", took, float64(took)/float64(bound), bound, f.maxLoading, engines)
	if !done || float64(took) > 1.15*float64(bound) {
		t.Errorf("took %v, the store's bound is %v", took, bound)
	}
	if f.maxLoading > f.update.MaxUnavailable() {
		t.Errorf("%d engines were loading concurrently", f.maxLoading)
	}
}

// Under failing loads and crashing engines, every engine reaches the highest target, no engine is
// ordered to load an older version, and no more than MaxUnavailable load at the same time.
func TestRollingUpdate_Faults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "engines")
		floor := rapid.SampledFrom([]float64{0, 0.5, 0.9, 1}).Draw(rt, "floor")
		f := newFleet(rapid.Uint64Range(0, 1<<20).Draw(rt, "seed"), n, floor, rapid.SampledFrom([]float64{2, 20, 200}).Draw(rt, "rate"))
		f.loadFailureRate = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(rt, "failing")
		f.crashRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "dead")
		f.update.SetTarget(f.now, 2)
		f.finalTarget = 4
		f.schedule(time.Duration(rapid.IntRange(0, 10).Draw(rt, "supersede"))*time.Second, func() { f.update.SetTarget(f.now, 4) })
		f.schedule(20*time.Second, func() { f.update.SetTarget(f.now, 3) })
		if _, done := f.run(time.Hour); !done {
			rt.Fatalf("update not complete: lagging %v, fault %q", f.update.Lagging(), f.fault)
		}
		if f.maxLoading > f.update.MaxUnavailable() {
			rt.Fatalf("%d engines loading concurrently, want at most %d", f.maxLoading, f.update.MaxUnavailable())
		}
	})
}

// An engine that ignores fencing tokens cannot refuse the order of a former owner. It is ordered
// only within confirmationLifetime after the ownership was confirmed.
func TestPlan_UnfencedEngine(t *testing.T) {
	u := NewRollingUpdate(0)
	u.SetEngines([]Engine{{ID: "fenced", Fencing: true}, {ID: "open"}}, 0)
	now := time.Unix(50, 0)
	u.Reported(now, "fenced", 1, false)
	u.Reported(now, "open", 1, false)
	u.SetTarget(now, 2)
	if got := u.Plan(now); len(got) != 1 || got[0].Engine != "fenced" {
		t.Fatalf("planned %v without a confirmation", got)
	}
	u.ConfirmOwnership(now)
	if got := u.Plan(now.Add(confirmationLifetime)); len(got) != 0 {
		t.Fatalf("planned %v with an expired confirmation", got)
	}
	if got := u.Plan(now.Add(confirmationLifetime / 2)); len(got) != 1 || got[0].Engine != "open" {
		t.Fatalf("planned %v with a recent confirmation", got)
	}
}

// A report to another host that differs from the last status read and is newer triggers a new
// read. An older report is ignored.
func TestGossipReceived_NewerVersion(t *testing.T) {
	u := NewRollingUpdate(0)
	u.SetEngines([]Engine{{ID: "e", Fencing: true}}, 0)
	now := time.Unix(50, 0)
	u.SetTarget(now, 2)
	u.Reported(now, "e", 2, false)
	u.GossipReceived(now.Add(-time.Second), "e", 1)
	if got := u.Plan(now); len(got) != 0 {
		t.Fatalf("planned %v after a report older than the last read", got)
	}
	u.GossipReceived(now.Add(time.Second), "e", 1)
	if got := u.Plan(now.Add(time.Second)); len(got) != 1 || got[0].Kind != ActionRead {
		t.Fatalf("planned %v after a report newer than the last read", got)
	}
}

// An engine that does not report its version must not be polled in a tight loop.
func TestPlan_UnknownVersionReadAfterDelay(t *testing.T) {
	u := NewRollingUpdate(0)
	u.SetEngines([]Engine{{ID: "e", Fencing: true}}, 0)
	now := time.Unix(50, 0)
	u.SetTarget(now, 2)
	u.Reported(now, "e", 0, false)
	if got := u.Plan(now); len(got) != 0 {
		t.Fatalf("planned %v without a delay", got)
	}
	if got := u.Plan(now.Add(unreachableDelay)); len(got) != 1 || got[0].Kind != ActionRead {
		t.Fatalf("planned %v after unreachableDelay", got)
	}
}

// readAll answers every planned status read with version 1 and returns the planned orders.
func readAll(u *RollingUpdate, now time.Time, loading map[model.EndpointID]bool) (orders []Action) {
	for range 10 {
		for _, a := range u.Plan(now) {
			if a.Kind == ActionOrder {
				orders = append(orders, a)
				continue
			}
			u.Reported(now, a.Engine, 1, loading[a.Engine])
		}
	}
	return orders
}

// tenEngines returns an update of ten engines with target version 2, and its time.
func tenEngines(floor float64) (*RollingUpdate, time.Time) {
	u, now := NewRollingUpdate(floor), time.Unix(1000, 0)
	var list []Engine
	for i := range 10 {
		list = append(list, Engine{ID: model.EndpointID(fmt.Sprintf("e%d", i)), Fencing: true})
	}
	u.SetEngines(list, floor)
	u.SetTarget(now, 2)
	return u, now
}

// Swaps that the previous owner started count against the floor: otherwise a new owner would take
// too many engines out of service.
func TestPlan_SwapsOfFormerOwner(t *testing.T) {
	u, now := tenEngines(0.7)
	loading := map[model.EndpointID]bool{"e7": true, "e8": true, "e9": true}
	if orders := readAll(u, now, loading); len(orders) != 0 {
		t.Fatalf("%d orders while three of at most three engines are swapping", len(orders))
	}
}

// An engine whose status is unknown may be swapping. No order is planned before every engine was
// read or found unreachable, and an unreachable engine counts against the floor.
func TestPlan_NoOrdersBeforeAllEnginesRead(t *testing.T) {
	u, now := tenEngines(0.7)
	reads := u.Plan(now)
	for _, a := range reads[:9] {
		u.Reported(now, a.Engine, 1, false)
		for _, next := range u.Plan(now) {
			if next.Kind == ActionOrder {
				t.Fatalf("%s was ordered before every engine was read", next.Engine)
			}
		}
	}
	u.Failed(now, reads[9].Engine, true)
	if orders := u.Plan(now); len(orders) != 2 {
		t.Fatalf("%d orders with one engine unreachable, want 2", len(orders))
	}
}

// Draining engines are out of service, so fewer others may swap at the same time.
func TestPlan_DrainingEngines(t *testing.T) {
	u, now := tenEngines(0.7)
	u.SetDraining(func(id model.EndpointID) bool { return id == "e0" || id == "e1" })
	if orders := readAll(u, now, nil); len(orders) != 1 {
		t.Fatalf("%d orders with two engines draining, want 1", len(orders))
	}
}

// An order that was not sent in time is planned again after the next confirmation.
func TestNotSent_OrderRepeated(t *testing.T) {
	u, now := NewRollingUpdate(0), time.Unix(1000, 0)
	u.SetEngines([]Engine{{ID: "e"}}, 0)
	u.SetTarget(now, 2)
	u.Plan(now)
	u.Reported(now, "e", 1, false)
	u.ConfirmOwnership(now)
	orders := u.Plan(now)
	if len(orders) != 1 || !orders[0].Deadline.Equal(now.Add(confirmationLifetime)) {
		t.Fatalf("planned %+v, want one order that expires with the confirmation", orders)
	}
	u.NotSent("e")
	late := now.Add(confirmationLifetime)
	if got := u.Plan(late); len(got) != 0 {
		t.Fatalf("planned %+v with an expired confirmation", got)
	}
	u.ConfirmOwnership(late)
	if got := u.Plan(late); len(got) != 1 {
		t.Fatalf("planned %+v after a new confirmation, want one order", got)
	}
}
