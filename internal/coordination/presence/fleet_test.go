package presence

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	tickInterval = Interval / 3
	// messageDelay is the delivery time of a simulated datagram.
	messageDelay = 2 * time.Millisecond
)

// simHost is one host of a simulated fleet.
type simHost struct {
	table    *Table
	sequence uint64
	// frozen hosts neither send nor receive; stopped hosts are gone.
	frozen, stopped bool
	phase           int
	sent, received  int
}

type simMessage struct {
	at   time.Time
	from string
	to   string
	h    Heartbeat
}

// simFleet exchanges the heartbeats of a fleet in simulated time.
type simFleet struct {
	t      *testing.T
	now    time.Time
	ticks  int
	hosts  map[string]*simHost
	queue  []simMessage
	random *rand.Rand
	// lost reports whether a message between two hosts is lost.
	lost func(from, to string) bool
}

func hostName(i int) string { return fmt.Sprintf("host-%03d", i) }

// newSimFleet starts hosts in the given number of zones. Each knows the address of the first
// one only. Every eighth host has four times the capacity of the others.
func newSimFleet(t *testing.T, hosts, zones int) *simFleet {
	f := &simFleet{t: t, now: testStart, hosts: map[string]*simHost{}, random: rand.New(rand.NewPCG(1, uint64(hosts)))}
	f.lost = func(string, string) bool { return false }
	for i := range hosts {
		f.start(i, zones, 1)
	}
	return f
}

func (f *simFleet) start(i, zones int, incarnation int64) {
	capacity := float32(0.2)
	if i%8 == 0 {
		capacity = 0.8
	}
	f.hosts[hostName(i)] = &simHost{phase: f.random.IntN(3), table: NewTable(Member{
		Host: hostName(i), Zone: fmt.Sprint(i % zones), Incarnation: incarnation, PeerAddress: hostName(i), Ready: true,
		StoreReachable: true, Capacity: capacity,
	}, FullMeshHosts)}
}

func (f *simFleet) send(from string, to []string, h Heartbeat) {
	s := f.hosts[from]
	s.sequence++
	h.Member, h.Sequence = s.table.Self(), s.sequence
	for _, name := range to {
		if name == from {
			continue
		}
		s.sent++
		if !f.lost(from, name) {
			f.queue = append(f.queue, simMessage{at: f.now.Add(messageDelay), from: from, to: name, h: h})
		}
	}
}

func (f *simFleet) deliver() {
	for len(f.queue) > 0 {
		m := f.queue[0]
		f.queue = f.queue[1:]
		to := f.hosts[m.to]
		if to == nil || to.stopped || to.frozen {
			continue
		}
		to.received++
		now := m.at
		accepted, appeared := to.table.Receive(now, m.h)
		if accepted && (m.h.ReplyRequested || appeared && m.h.Kind != KindSummary) {
			reply := Heartbeat{ReplyRequested: appeared}
			to.table.FillDirect(now, &reply)
			f.send(m.to, []string{m.from}, reply)
		}
	}
}

func (f *simFleet) names() []string {
	var out []string
	for name := range f.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// run advances the fleet.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickInterval) {
		f.ticks++
		for _, name := range f.names() {
			if s := f.hosts[name]; !s.stopped && !s.frozen {
				f.tick(name, s)
			}
		}
		f.deliver()
	}
}

func (f *simFleet) tick(name string, s *simHost) {
	s.table.Tick(f.now)
	if from, ok := s.table.WantsRoster(f.now); ok {
		if peer := f.hosts[from]; !peer.stopped && !peer.frozen && !f.lost(name, from) && !f.lost(from, name) {
			s.table.MergeRoster(f.now, from, peer.table.Roster(f.now))
		}
	}
	if (f.ticks+s.phase)%3 != 0 {
		return
	}
	to := s.table.Sends(f.now)
	if s.table.Count(f.now) == 0 {
		to.Direct = append(to.Direct, hostName(0)) // the seed
	}
	var own, summary, direct Heartbeat
	s.table.FillBetweenHubs(f.now, &own)
	own.Kind = KindBetweenHubs
	f.send(name, to.Hubs, own)
	own.Kind, own.Primary = KindToHub, true
	f.send(name, to.Primary, own)
	own.Primary = false
	f.send(name, to.Secondary, own)
	s.table.FillSummary(f.now, &summary)
	summary.Kind = KindSummary
	f.send(name, to.Summaries, summary)
	s.table.FillDirect(f.now, &direct)
	f.send(name, to.Direct, direct)
}

// expect checks at every running host which hosts are alive.
func (f *simFleet) expect(when string, alive func(name string) bool) {
	f.t.Helper()
	wrong := 0
	for _, observer := range f.names() {
		s := f.hosts[observer]
		if s.stopped || s.frozen {
			continue
		}
		for _, name := range f.names() {
			if name != observer && s.table.Alive(f.now, name) != alive(name) {
				if wrong++; wrong <= 3 {
					f.t.Errorf("%s: %s sees %s alive: %v", when, observer, name, !alive(name))
				}
			}
		}
	}
	if wrong > 3 {
		f.t.Errorf("%s: %d wrong views in all", when, wrong)
	}
}

func (f *simFleet) hubs() []string {
	var out []string
	for _, name := range f.names() {
		if s := f.hosts[name]; !s.stopped && s.table.IsHub() {
			out = append(out, name)
		}
	}
	return out
}

func everyHost(string) bool { return true }

// detection is the time within which every host of a large fleet must have noticed a death:
// the silence timeout, the relay between hubs and the next summary.
const detection = silenceTimeout + 2*Interval + tickInterval

// Hosts that know a single seed must find all others, and elect two hubs in each zone, from
// the hosts of large capacity.
func TestFleet_StartsFromOneSeed(t *testing.T) {
	f := newSimFleet(t, 195, 3)
	f.run(3 * time.Second)
	f.expect("after the start", everyHost)
	hubs := f.hubs()
	if len(hubs) < 6 || len(hubs) > 12 {
		t.Errorf("hubs: %v", hubs)
	}
	for _, name := range hubs {
		if f.hosts[name].table.Self().Capacity < 0.5 {
			t.Errorf("hub %s has a small capacity", name)
		}
	}
}

// A killed host must be gone everywhere after the silence timeout and the time of the relay,
// and no other host may be taken for dead. This holds for a hub as well: its hosts have a
// second one.
func TestFleet_DeathNoticedByAll(t *testing.T) {
	f := newSimFleet(t, 120, 3)
	f.run(4 * time.Second)
	for _, victim := range []string{f.hubs()[0], hostName(77)} {
		f.hosts[victim].stopped = true
		f.run(detection)
		f.expect("after the death of "+victim, func(name string) bool { return !f.hosts[name].stopped })
	}
}

// All hubs are killed at the same moment. The remaining hosts must elect new ones, and no host
// may regard the living as gone for longer than the election takes.
func TestFleet_AllHubsLost(t *testing.T) {
	f := newSimFleet(t, 120, 3)
	f.run(4 * time.Second)
	for _, name := range f.hubs() {
		f.hosts[name].stopped = true
	}
	f.run(hubTimeout + hubAvoidance + detection)
	f.expect("after the loss of all hubs", func(name string) bool { return !f.hosts[name].stopped })
}

// A hub that wakes from a freeze has heard nobody for seconds. It must not report the fleet as
// gone to its hosts, and must be alive everywhere soon.
func TestFleet_FrozenHubWakes(t *testing.T) {
	f := newSimFleet(t, 120, 3)
	f.run(4 * time.Second)
	hub := f.hubs()[0]
	f.hosts[hub].frozen = true
	f.run(4 * time.Second)
	f.expect("during the freeze", func(name string) bool { return name != hub })
	f.hosts[hub].frozen = false
	for range 10 {
		f.run(tickInterval)
		for _, observer := range f.names() {
			if n := f.hosts[observer].table.Count(f.now); n < 117 {
				t.Fatalf("%s sees %d hosts after the hub %s woke", observer, n, hub)
			}
		}
	}
	f.run(detection)
	f.expect("after the freeze", everyHost)
}

// A fleet that was cut into two halves must find together again, although neither half has
// heard the other for longer than any timeout.
func TestFleet_HalvesRejoin(t *testing.T) {
	f := newSimFleet(t, 90, 3)
	f.run(4 * time.Second)
	half := func(name string) bool { return f.hosts[name].table.Self().Host[7]%2 == 0 }
	f.lost = func(from, to string) bool { return half(from) != half(to) }
	f.run(15 * time.Second)
	for _, observer := range []string{hostName(10), hostName(11)} {
		for _, name := range []string{hostName(20), hostName(21)} {
			if got, want := f.hosts[observer].table.Alive(f.now, name), half(observer) == half(name); got != want {
				t.Errorf("during the cut %s sees %s alive: %v", observer, name, got)
			}
		}
	}
	f.lost = func(string, string) bool { return false }
	f.run(4 * time.Second)
	f.expect("after the cut", everyHost)
}

// Lossy links must not make hosts flap.
func TestFleet_LossyLinks(t *testing.T) {
	f := newSimFleet(t, 90, 3)
	f.run(4 * time.Second)
	f.lost = func(string, string) bool { return f.random.Float64() < 0.1 }
	for range 20 {
		f.run(time.Second)
		f.expect("with a tenth of the messages lost", everyHost)
	}
}

// A restarted host must be known by its new incarnation, and a change of its record, such as
// a planned stop, must reach every host within two intervals.
func TestFleet_ChangedRecord(t *testing.T) {
	f := newSimFleet(t, 90, 3)
	f.run(4 * time.Second)
	f.start(50, 3, 2)
	f.run(2 * time.Second)
	m := f.hosts[hostName(50)].table.Self()
	m.Draining = true
	f.hosts[hostName(50)].table.SetSelf(m)
	f.run(3 * Interval)
	for _, observer := range f.names() {
		if observer == hostName(50) {
			continue
		}
		got, ok := f.hosts[observer].table.Get(f.now, hostName(50))
		if !ok || got.Incarnation != 2 || !got.Draining {
			t.Errorf("%s knows %+v, alive %v", observer, got, ok)
		}
	}
}

// The messages that hosts send must not grow with the fleet: from 30 to 300 hosts by less than
// 1.6 times on average. A hub sends no more than one message an interval to each host of its zone
// and to each hub.
func TestFleet_MessagesBounded(t *testing.T) {
	measure := func(hosts int) (mean, busiest float64) {
		f := newSimFleet(t, hosts, 6)
		f.run(4 * time.Second)
		for _, s := range f.hosts {
			s.sent, s.received = 0, 0
		}
		const seconds = 3
		f.run(seconds * time.Second)
		for _, s := range f.hosts {
			mean += float64(s.sent) / seconds / float64(hosts)
			busiest = max(busiest, float64(s.sent)/seconds)
		}
		return mean, busiest
	}
	small, _ := measure(30)
	large, busiest := measure(300)
	t.Logf("messages a second: %.1f a host at 30 hosts, %.1f at 300, %.0f at the busiest hub", small, large, busiest)
	if large > 1.6*small {
		t.Errorf("%.1f messages a second at 300 hosts, %.1f at 30", large, small)
	}
	// One message an interval to each of the 50 hosts of its zone and to each of the hubs, of
	// which each zone of 50 hosts has three.
	const zones, zoneHosts, zoneHubs = 6, 50, 3
	if limit := (zoneHosts + zones*zoneHubs) / Interval.Seconds(); busiest > limit {
		t.Errorf("the busiest hub sends %.0f messages a second, more than %.0f", busiest, limit)
	}
}

// In a small fleet all hosts exchange heartbeats with each other, also one that drains: it still
// runs batches. In a large fleet a draining host is no hub, since it is about to leave.
func TestHubs_DrainingHost(t *testing.T) {
	for _, c := range []struct {
		hosts int
		hub   bool
	}{{8, true}, {60, false}} {
		f := newSimFleet(t, c.hosts, 2)
		f.run(3 * time.Second)
		hub := f.hubs()[0]
		m := f.hosts[hub].table.Self()
		m.Draining = true
		f.hosts[hub].table.SetSelf(m)
		f.run(2 * time.Second)
		for _, name := range f.names() {
			if got := f.hosts[name].table.hubs[hub]; got != c.hub {
				t.Errorf("%d hosts: %s regards the draining host as a hub: %v", c.hosts, name, got)
			}
		}
		f.expect("while a host drains", everyHost)
	}
}

// A hub with many hosts must relay each of them within two heartbeats, and its heartbeats must
// leave room for the loads in a datagram of 1,400 bytes.
func TestFillBetweenHubs_ManyHosts(t *testing.T) {
	table := NewTable(Member{Host: "hub"}, FullMeshHosts)
	const hosts = 72
	for i := range hosts {
		h := heartbeat(hostName(i), 1<<60, 1)
		h.Kind = KindToHub
		table.Receive(testStart, h)
	}
	relayed := map[uint64]bool{}
	for range 2 {
		h := Heartbeat{Member: table.Self()}
		table.FillBetweenHubs(testStart.Add(changeRetention), &h)
		for _, r := range h.Relayed {
			relayed[r.Key] = true
		}
		b, err := cbor.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		const loadBytes = 55 * 8 // of 55 endpoints
		if len(b)+loadBytes > 1400 {
			t.Errorf("%d bytes without loads", len(b))
		}
	}
	if len(relayed) != hosts {
		t.Errorf("%d of %d hosts relayed in two heartbeats", len(relayed), hosts)
	}
}

// Hosts of a build that sends heartbeats to every host must receive them from every host, or
// they would take the others for dead during a rolling replacement.
func TestSends_HostsOfEarlierBuilds(t *testing.T) {
	f := newSimFleet(t, 60, 3)
	f.run(4 * time.Second)
	old := Heartbeat{Member: Member{Host: "old", Zone: "0", Incarnation: 1, PeerAddress: "old:1", Ready: true}}
	for range 4 {
		old.Sequence++
		for _, name := range f.names() {
			f.hosts[name].table.Receive(f.now, old)
		}
		f.run(Interval)
	}
	for _, name := range f.names() {
		table := f.hosts[name].table
		if !slices.Contains(table.Sends(f.now).Direct, "old:1") {
			t.Fatalf("%s sends no heartbeat to the host of the earlier build", name)
		}
		if table.hubs["old"] {
			t.Errorf("%s regards the host of the earlier build as a hub", name)
		}
	}
}
