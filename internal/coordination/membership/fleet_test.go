package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// testFleet runs machines over a perfect network with cuts, in steps of a fifth of a
// heartbeat. News is passed on to the links at once.
type testFleet struct {
	t        *testing.T
	now      time.Time
	machines map[model.HostID]*Machine
	order    []members.Record
	down     map[model.HostID]bool
	cut      func(a, b model.HostID) bool
	loss     float64
	random   *rand.Rand
	// everDead notes the hosts that some running host took for dead.
	everDead map[model.HostID]bool
	// suspicions counts the suspicions raised or heard by any host.
	suspicions int
}

const testHeartbeat = time.Second

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{
		t: t, now: time.Unix(1000, 0), machines: map[model.HostID]*Machine{}, down: map[model.HostID]bool{},
		cut: func(model.HostID, model.HostID) bool { return false }, random: rand.New(rand.NewPCG(1, uint64(n))),
		everDead: map[model.HostID]bool{},
	}
	f.order = fleetOf(n, 4)
	for _, r := range f.order {
		f.start(r)
	}
	return f
}

func (f *testFleet) start(r members.Record) {
	m := New(Options{Self: r, Heartbeat: testHeartbeat, Random: f.random.Uint64}, f.now)
	m.SetSeeds([]string{f.order[0].Control, f.order[1].Control})
	f.machines[r.Host] = m
	delete(f.down, r.Host)
}

func (f *testFleet) reaches(a, b model.HostID) bool {
	return !f.down[a] && !f.down[b] && !f.cut(a, b) && f.random.Float64() >= f.loss
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(testHeartbeat / 5)
		for _, r := range f.order {
			if !f.down[r.Host] {
				f.act(r.Host, f.machines[r.Host].Tick(f.now))
				f.antiEntropy(r.Host)
			}
		}
	}
}

// antiEntropy exchanges tables with a random link every 5 heartbeats in the mean.
func (f *testFleet) antiEntropy(id model.HostID) {
	const stepsBetween = 25
	links := f.machines[id].Links()
	if len(links) > 0 && f.random.IntN(stepsBetween) == 0 {
		f.exchange(id, links[f.random.IntN(len(links))].Host)
	}
}

func (f *testFleet) act(from model.HostID, out Output) {
	m := f.machines[from]
	for _, r := range out.News {
		if r.State == members.Suspect {
			f.suspicions++
		}
		if r.State == members.Dead {
			f.everDead[r.Host] = true
		}
		for _, l := range m.Links() {
			if f.reaches(from, l.Host) {
				f.act(l.Host, f.machines[l.Host].Learn(f.now, []members.Record{r}))
			}
		}
	}
	for _, s := range out.Sends {
		if !f.reaches(from, s.To) {
			continue
		}
		to := f.machines[s.To]
		f.act(s.To, to.Receive(f.now, m.Sender(), s.Message))
		f.act(s.To, to.Learn(f.now, s.Tell))
	}
	if out.Contact != "" {
		f.exchange(from, model.HostID(out.Contact[:len(out.Contact)-2]))
	}
}

func (f *testFleet) exchange(a, b model.HostID) {
	if !f.reaches(a, b) {
		return
	}
	ma, mb := f.machines[a], f.machines[b]
	fromA, fromB := ma.Records(), mb.Records()
	f.act(b, mb.Greet(f.now, ma.Sender()))
	f.act(a, ma.Greet(f.now, mb.Sender()))
	f.act(a, ma.Learn(f.now, fromB))
	f.act(b, mb.Learn(f.now, fromA))
}

// expect fails unless every running host sees exactly the wanted hosts alive.
func (f *testFleet) expect(when string, alive func(model.HostID) bool) {
	f.t.Helper()
	for _, r := range f.order {
		if f.down[r.Host] {
			continue
		}
		for _, other := range f.order {
			got, known := f.machines[r.Host].Table().Get(other.Host)
			isAlive := known && got.State == members.Alive
			if isAlive != alive(other.Host) {
				f.t.Fatalf("%s: %s sees %s as %+v (known %v)", when, r.Host, other.Host, got, known)
			}
		}
	}
}

func all(model.HostID) bool { return true }

func TestHostsJoinThroughSeedsAndFindEachOther(t *testing.T) {
	f := newTestFleet(t, 40)
	f.run(40 * testHeartbeat)
	f.expect("after the start", all)
	if len(f.everDead) > 0 {
		t.Fatalf("taken for dead: %v", f.everDead)
	}
}

func TestAZoneLostAtOnceIsNoticedAndNobodyElseIs(t *testing.T) {
	f := newTestFleet(t, 40)
	f.run(40 * testHeartbeat)
	lost := func(id model.HostID) bool {
		r, _ := f.machines[id].Table().Get(id)
		return r.Zone == "z2"
	}
	for _, r := range f.order {
		f.down[r.Host] = lost(r.Host)
	}
	f.run(20 * testHeartbeat)
	f.expect("after the loss", func(id model.HostID) bool { return !lost(id) })
	for id := range f.everDead {
		if !lost(id) {
			t.Fatalf("%s was taken for dead", id)
		}
	}
}

func TestHalvesCutForAnHourMeetAgainWithoutFurtherDeaths(t *testing.T) {
	f := newTestFleet(t, 16)
	f.run(30 * testHeartbeat)
	west := func(id model.HostID) bool { return id < "host-008" }
	f.cut = func(a, b model.HostID) bool { return west(a) != west(b) }
	f.run(ForgetAfter - time.Minute)
	for _, r := range f.order {
		if got, _ := f.machines["host-000"].Table().Get(r.Host); (got.State == members.Alive) != west(r.Host) {
			t.Fatalf("during the cut host-000 sees %+v", got)
		}
	}
	f.cut = func(model.HostID, model.HostID) bool { return false }
	clear(f.everDead)
	f.run(60 * testHeartbeat)
	f.expect("after the cut", all)
	if len(f.everDead) > 0 {
		t.Fatalf("taken for dead after the cut: %v", f.everDead)
	}
}

func TestHalvesThatForgotEachOtherMeetThroughSeeds(t *testing.T) {
	f := newTestFleet(t, 8)
	f.run(30 * testHeartbeat)
	west := func(id model.HostID) bool { return id < "host-004" }
	f.cut = func(a, b model.HostID) bool { return west(a) != west(b) }
	f.run(ForgetAfter + 10*time.Minute)
	if _, known := f.machines["host-000"].Table().Get("host-006"); known {
		t.Fatal("a dead host was not forgotten")
	}
	f.cut = func(model.HostID, model.HostID) bool { return false }
	f.run(60 * testHeartbeat)
	f.expect("after the cut", all)
}

func TestLostDatagramsCauseNoDeath(t *testing.T) {
	f := newTestFleet(t, 24)
	f.run(30 * testHeartbeat)
	f.loss = 0.2
	f.run(5 * time.Minute)
	f.loss = 0
	f.run(20 * testHeartbeat)
	f.expect("after the losses", all)
	if len(f.everDead) > 0 {
		t.Fatalf("taken for dead: %v", f.everDead)
	}
}

func TestPausedHostSuspectsNobodyAndReturns(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	f.down["host-005"] = true
	f.run(20 * testHeartbeat)
	f.expect("during the pause", func(id model.HostID) bool { return id != "host-005" })
	f.down["host-005"] = false
	clear(f.everDead)
	f.run(30 * testHeartbeat)
	f.expect("after the pause", all)
	if len(f.everDead) > 0 {
		t.Fatalf("taken for dead after the pause: %v", f.everDead)
	}
}

func TestRestartedHostReplacesItsFormerLife(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	r := f.order[7]
	f.down[r.Host] = true
	f.run(20 * testHeartbeat)
	r.Incarnation = 2
	f.start(r)
	f.run(30 * testHeartbeat)
	f.expect("after the restart", all)
	if got, _ := f.machines["host-003"].Table().Get(r.Host); got.Incarnation != 2 {
		t.Fatalf("incarnation %d after the restart", got.Incarnation)
	}
}

func TestPlannedLeaveIsNoticedWithoutSuspicion(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	f.act("host-004", f.machines["host-004"].SetLeaving(true))
	if got, _ := f.machines["host-009"].Table().Get("host-004"); !got.Leaving || got.State != members.Alive {
		t.Fatalf("leaving host is seen as %+v", got)
	}
	f.act("host-004", f.machines["host-004"].Depart())
	f.down["host-004"] = true
	f.expect("right after the leave", func(id model.HostID) bool { return id != "host-004" })
}

func TestContactRateOfAFleetDoesNotGrowWithIt(t *testing.T) {
	rate := func(n int) float64 {
		r := rand.New(rand.NewPCG(3, uint64(n)))
		live := fleetOf(n, 4)
		m := New(Options{Self: live[0], Heartbeat: testHeartbeat, Random: r.Uint64}, time.Unix(0, 0))
		m.SetSeeds([]string{"gone:1"})
		m.Learn(time.Unix(0, 0), live)
		contacts := 0
		for s := range 3600 {
			for _, id := range live {
				m.alive(time.Unix(int64(s), 0), id.Host)
			}
			if out := m.Tick(time.Unix(int64(s), 0)); out.Contact != "" {
				contacts++
			}
		}
		return float64(contacts*n) / 3600
	}
	small, large := rate(32), rate(384)
	if large > 3*small {
		t.Fatalf("%s", fmt.Sprintf("%.1f contacts a second of 384 hosts, %.1f of 32", large, small))
	}
}

func TestOneBrokenLinkRaisesNoSuspicion(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	a := f.machines["host-000"]
	b := a.Links()[0].Host
	f.cut = func(x, y model.HostID) bool { return x == "host-000" && y == b || x == b && y == "host-000" }
	f.run(60 * testHeartbeat)
	f.expect("while one link is broken", all)
	if f.suspicions > 0 {
		t.Fatalf("%d suspicions", f.suspicions)
	}
}

func TestPauseOfTheWatcherDuringAProbeRaisesNoSuspicion(t *testing.T) {
	live := fleetOf(3, 1)
	start := time.Unix(1000, 0)
	m := New(Options{Self: live[0], Heartbeat: testHeartbeat, Random: rand.New(rand.NewPCG(5, 5)).Uint64}, start)
	m.Learn(start, live)
	for s := range 9 {
		m.Tick(start.Add(time.Duration(s) * testHeartbeat / 2))
	}
	if m.peers[live[1].Host].probeUntil.IsZero() {
		t.Fatal("the silent peer is not probed yet")
	}
	m.Tick(start.Add(time.Hour))
	for _, r := range m.Records() {
		if r.State != members.Alive {
			t.Fatalf("%+v right after a pause of this process", r)
		}
	}
}
