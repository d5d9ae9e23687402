package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// testFleet simulates machines in steps of a fifth of a heartbeat. The network delivers
// immediately and in order, except for partitions and random loss. Updates are
// forwarded to all links immediately.
type testFleet struct {
	t           *testing.T
	now         time.Time
	machines    map[model.HostID]*Machine
	order       []members.Record
	down        map[model.HostID]bool
	partitioned func(a, b model.HostID) bool
	loss        float64
	random      *rand.Rand
	// declaredDead holds the hosts that any running host recorded as dead.
	declaredDead map[model.HostID]bool
	// suspicions counts the suspicions raised or received by any host.
	suspicions int
}

const testHeartbeat = time.Second

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{
		t: t, now: time.Unix(1000, 0), machines: map[model.HostID]*Machine{}, down: map[model.HostID]bool{},
		partitioned: func(model.HostID, model.HostID) bool { return false }, random: rand.New(rand.NewPCG(1, uint64(n))),
		declaredDead: map[model.HostID]bool{},
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

func (f *testFleet) delivers(a, b model.HostID) bool {
	return !f.down[a] && !f.down[b] && !f.partitioned(a, b) && f.random.Float64() >= f.loss
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(testHeartbeat / 5)
		for _, r := range f.order {
			if !f.down[r.Host] {
				f.apply(r.Host, f.machines[r.Host].Tick(f.now))
				f.antiEntropy(r.Host)
			}
		}
	}
}

// antiEntropy exchanges tables with a random link, every 5 heartbeats on average.
func (f *testFleet) antiEntropy(id model.HostID) {
	const stepsBetween = 25
	links := f.machines[id].Links()
	if len(links) > 0 && f.random.IntN(stepsBetween) == 0 {
		f.exchange(id, links[f.random.IntN(len(links))].Host)
	}
}

func (f *testFleet) apply(from model.HostID, out Output) {
	m := f.machines[from]
	for _, r := range out.Updates {
		if r.State == members.Suspect {
			f.suspicions++
		}
		if r.State == members.Dead {
			f.declaredDead[r.Host] = true
		}
		for _, l := range m.Links() {
			if f.delivers(from, l.Host) {
				f.apply(l.Host, f.machines[l.Host].MergeRecords(f.now, []members.Record{r}))
			}
		}
	}
	for _, s := range out.Sends {
		if !f.delivers(from, s.To) {
			continue
		}
		to := f.machines[s.To]
		f.apply(s.To, to.Receive(f.now, m.Sender(), s.Message))
		f.apply(s.To, to.MergeRecords(f.now, s.Payload))
	}
	if out.Contact != "" {
		f.exchange(from, model.HostID(out.Contact[:len(out.Contact)-2]))
	}
}

func (f *testFleet) exchange(a, b model.HostID) {
	if !f.delivers(a, b) {
		return
	}
	ma, mb := f.machines[a], f.machines[b]
	fromA, fromB := ma.Records(), mb.Records()
	f.apply(b, mb.ReceiveExchange(f.now, ma.Sender()))
	f.apply(a, ma.ReceiveExchange(f.now, mb.Sender()))
	f.apply(a, ma.MergeRecords(f.now, fromB))
	f.apply(b, mb.MergeRecords(f.now, fromA))
}

// expect fails the test unless every running host sees exactly the hosts selected by
// alive as alive.
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

func everyHost(model.HostID) bool { return true }

// Hosts that know only two seed addresses must all discover each other, and starting up
// must not get any host declared dead.
func TestMembership_JoinThroughSeeds(t *testing.T) {
	f := newTestFleet(t, 40)
	f.run(40 * testHeartbeat)
	f.expect("after the start", everyHost)
	if len(f.declaredDead) > 0 {
		t.Fatalf("declared dead: %v", f.declaredDead)
	}
}

// When all hosts of a zone fail at the same time, the others must detect exactly these failures.
// Hosts that lose their monitors and probe relays with the zone must not be declared dead.
func TestMembership_ZoneLoss(t *testing.T) {
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
	for id := range f.declaredDead {
		if !lost(id) {
			t.Fatalf("%s was declared dead", id)
		}
	}
}

// After a partition shorter than DeadRetention heals, the sides must find each other
// through the recorded addresses. Death records of the other side must be refuted before
// any host acts on them.
func TestMembership_Partition(t *testing.T) {
	f := newTestFleet(t, 16)
	f.run(30 * testHeartbeat)
	west := func(id model.HostID) bool { return id < "host-008" }
	f.partitioned = func(a, b model.HostID) bool { return west(a) != west(b) }
	f.run(DeadRetention - time.Minute)
	for _, r := range f.order {
		if got, _ := f.machines["host-000"].Table().Get(r.Host); (got.State == members.Alive) != west(r.Host) {
			t.Fatalf("during the partition host-000 sees %+v", got)
		}
	}
	f.partitioned = func(model.HostID, model.HostID) bool { return false }
	clear(f.declaredDead)
	f.run(60 * testHeartbeat)
	f.expect("after the partition", everyHost)
	if len(f.declaredDead) > 0 {
		t.Fatalf("declared dead after the partition: %v", f.declaredDead)
	}
}

// After a partition longer than DeadRetention the sides have removed each other's records
// and must find each other through the seeds.
func TestMembership_PartitionBeyondDeadRetention(t *testing.T) {
	f := newTestFleet(t, 8)
	f.run(30 * testHeartbeat)
	west := func(id model.HostID) bool { return id < "host-004" }
	f.partitioned = func(a, b model.HostID) bool { return west(a) != west(b) }
	f.run(DeadRetention + 10*time.Minute)
	if _, known := f.machines["host-000"].Table().Get("host-006"); known {
		t.Fatal("dead host was not removed after its retention period")
	}
	f.partitioned = func(model.HostID, model.HostID) bool { return false }
	f.run(60 * testHeartbeat)
	f.expect("after the partition", everyHost)
}

// 20 % datagram loss must not get a host declared dead: indirect probes and refutations
// have to compensate for lost pings.
func TestMembership_DatagramLoss(t *testing.T) {
	f := newTestFleet(t, 24)
	f.run(30 * testHeartbeat)
	f.loss = 0.2
	f.run(5 * time.Minute)
	f.loss = 0
	f.run(20 * testHeartbeat)
	f.expect("after the losses", everyHost)
	if len(f.declaredDead) > 0 {
		t.Fatalf("declared dead: %v", f.declaredDead)
	}
}

// A host that was paused long enough to be declared dead must rejoin. It must not declare
// the others dead because it received nothing during the pause.
func TestMembership_PausedHost(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	f.down["host-005"] = true
	f.run(20 * testHeartbeat)
	f.expect("during the pause", func(id model.HostID) bool { return id != "host-005" })
	f.down["host-005"] = false
	clear(f.declaredDead)
	f.run(30 * testHeartbeat)
	f.expect("after the pause", everyHost)
	if len(f.declaredDead) > 0 {
		t.Fatalf("declared dead after the pause: %v", f.declaredDead)
	}
}

// A restarted host must replace the death record of its previous incarnation.
func TestMembership_HostRestart(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	r := f.order[7]
	f.down[r.Host] = true
	f.run(20 * testHeartbeat)
	r.Incarnation = 2
	f.start(r)
	f.run(30 * testHeartbeat)
	f.expect("after the restart", everyHost)
	if got, _ := f.machines["host-003"].Table().Get(r.Host); got.Incarnation != 2 {
		t.Fatalf("incarnation %d after the restart", got.Incarnation)
	}
}

// A host that announces a planned stop must immediately be seen as leaving, and immediately as
// dead when it departs, without a suspicion timeout.
func TestMembership_PlannedLeave(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	f.apply("host-004", f.machines["host-004"].SetLeaving(true))
	if got, _ := f.machines["host-009"].Table().Get("host-004"); !got.Leaving || got.State != members.Alive {
		t.Fatalf("leaving host is recorded as %+v", got)
	}
	f.apply("host-004", f.machines["host-004"].Depart())
	f.down["host-004"] = true
	f.expect("right after the leave", func(id model.HostID) bool { return id != "host-004" })
}

// Whether a host's entry program serves callers must be known to all hosts at once, and a
// restart of the host starts without the readiness of its earlier incarnation.
func TestMembership_EntryReadiness(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	f.apply("host-004", f.machines["host-004"].SetEntryReady(false))
	if got, _ := f.machines["host-009"].Table().Get("host-004"); !got.EntryNotReady || got.State != members.Alive {
		t.Fatalf("host whose entry program is not ready is recorded as %+v", got)
	}
	if out := f.machines["host-004"].SetEntryReady(false); len(out.Updates) != 0 {
		t.Errorf("unchanged readiness announced again: %+v", out)
	}
	f.apply("host-004", f.machines["host-004"].SetEntryReady(true))
	if got, _ := f.machines["host-009"].Table().Get("host-004"); got.EntryNotReady {
		t.Errorf("ready host is recorded as %+v", got)
	}
}

// The fleet-wide rate of contact attempts to an address that is no longer in use must
// not grow in proportion to the number of hosts.
func TestMembership_ContactRateBounded(t *testing.T) {
	rate := func(n int) float64 {
		r := rand.New(rand.NewPCG(3, uint64(n)))
		live := fleetOf(n, 4)
		m := New(Options{Self: live[0], Heartbeat: testHeartbeat, Random: r.Uint64}, time.Unix(0, 0))
		m.SetSeeds([]string{"gone:1"})
		m.MergeRecords(time.Unix(0, 0), live)
		contacts := 0
		for s := range 3600 {
			for _, id := range live {
				m.markAlive(time.Unix(int64(s), 0), id.Host)
			}
			if out := m.Tick(time.Unix(int64(s), 0)); out.Contact != "" {
				contacts++
			}
		}
		return float64(contacts*n) / 3600
	}
	small, large := rate(32), rate(384)
	if large > 3*small {
		t.Fatalf("%s", fmt.Sprintf("%.1f contacts per second with 384 hosts, %.1f with 32", large, small))
	}
}

// If only the link between two hosts is broken, indirect probes through other hosts must
// prevent a suspicion.
func TestMembership_BrokenLink(t *testing.T) {
	f := newTestFleet(t, 12)
	f.run(30 * testHeartbeat)
	a := f.machines["host-000"]
	b := a.Links()[0].Host
	f.partitioned = func(x, y model.HostID) bool { return x == "host-000" && y == b || x == b && y == "host-000" }
	f.run(60 * testHeartbeat)
	f.expect("while one link is broken", everyHost)
	if f.suspicions > 0 {
		t.Fatalf("%d suspicions, want none", f.suspicions)
	}
}

// If the monitoring host is paused while an indirect probe is in flight, the probe deadline
// has passed when it resumes. It must not suspect the peer, since it could not receive the
// replies during the pause.
func TestMembership_PauseDuringProbe(t *testing.T) {
	live := fleetOf(3, 1)
	start := time.Unix(1000, 0)
	m := New(Options{Self: live[0], Heartbeat: testHeartbeat, Random: rand.New(rand.NewPCG(5, 5)).Uint64}, start)
	m.MergeRecords(start, live)
	for s := range 9 {
		m.Tick(start.Add(time.Duration(s) * testHeartbeat / 2))
	}
	if m.peers[live[1].Host].probeDeadline.IsZero() {
		t.Fatal("no probe of the silent peer is in flight")
	}
	m.Tick(start.Add(time.Hour))
	for _, r := range m.Records() {
		if r.State != members.Alive {
			t.Fatalf("record %+v after a pause of this process, want alive", r)
		}
	}
}
