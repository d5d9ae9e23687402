package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/prompts"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// simEngine is an engine that reads prompts one after the other.
type simEngine struct {
	endpoint catalog.Endpoint
	perToken time.Duration
	interval time.Duration
	// readUntil is when the prompts sent so far are read.
	readUntil time.Time
}

// simEvent is a change of the simulation at a time.
type simEvent struct {
	at  time.Time
	run func(now time.Time)
}

// promptSim replays requests of callers to several hosts at uneven engines.
type promptSim struct {
	tables  []*Table
	engines map[string]*simEngine
	events  []simEvent
	random  *rand.Rand
	// withPrompts is whether hosts know the prompts of their requests.
	withPrompts bool
	// short and long are the times to the first event.
	short, long []time.Duration
	longFrom    int
	// onPick, if set, is called with the engine of each request.
	onPick func(id string)
}

func newPromptSim(hosts, engines int, withPrompts bool, seed uint64) *promptSim {
	s := &promptSim{engines: map[string]*simEngine{}, random: rand.New(rand.NewPCG(seed, 1)), withPrompts: withPrompts, longFrom: 10_000}
	for range hosts {
		s.tables = append(s.tables, NewTable("a"))
	}
	for i := range engines {
		// From 220 to 598 tokens a millisecond, and answers as uneven.
		speed := 220 + 378*float64(i)/float64(engines-1)
		e := &simEngine{
			endpoint: catalog.Endpoint{ID: "e" + strconv.Itoa(i), Service: "s", Zone: "a", Slots: 96, Versions: map[string]int{"m": 1}},
			perToken: time.Duration(float64(time.Millisecond) / speed), interval: time.Duration(30 * 400 / speed * float64(time.Millisecond)),
		}
		s.engines[e.endpoint.ID] = e
		for _, table := range s.tables {
			table.Put(e.endpoint)
		}
	}
	return s
}

func (s *promptSim) at(at time.Time, run func(now time.Time)) {
	i, _ := slices.BinarySearchFunc(s.events, at, func(e simEvent, at time.Time) int { return cmp.Or(e.at.Compare(at), -1) })
	s.events = slices.Insert(s.events, i, simEvent{at, run})
}

// run replays requests that arrive at random with the given mean interval for a duration.
func (s *promptSim) run(interval, duration time.Duration, next func() (prompt, events int)) {
	end := testStart.Add(duration)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		tokens, events := next()
		s.send(now, s.tables[s.random.IntN(len(s.tables))], prompts.Prompt{Tokens: tokens}, events)
		if now = now.Add(time.Duration(s.random.ExpFloat64() * float64(interval))); now.Before(end) {
			s.at(now, arrive)
		}
	}
	s.at(testStart, arrive)
	var heartbeat func(now time.Time)
	beats := 0
	heartbeat = func(now time.Time) {
		beats++
		for i, from := range s.tables {
			if beats%3 != 0 && !from.LongQueued(now, onlyOwn) {
				continue
			}
			for j, to := range s.tables {
				if i != j {
					to.SetPeerLoads(strconv.Itoa(i), from.LocalLoads())
					to.SetPeerQueues(now, strconv.Itoa(i), from.SumQueues(now, onlyOwn))
				}
			}
		}
		if now.Before(end) {
			s.at(now.Add(100*time.Millisecond), heartbeat)
		}
	}
	s.at(testStart, heartbeat)
	s.replay()
}

// replay runs the events in the order of their times.
func (s *promptSim) replay() {
	for len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		e.run(e.at)
	}
}

// send places a request of a host. Its engine reads the prompt after those that were sent before.
func (s *promptSim) send(now time.Time, table *Table, p prompts.Prompt, events int) {
	q := Query{Service: "s", Model: "m"}
	if s.withPrompts {
		q.Prompt = p
	}
	endpoint, _ := table.Pick(now, q, s.random.Uint64())
	table.Begin(now, endpoint)
	reading := table.BeginReading(now, endpoint, q.Prompt)
	if s.onPick != nil {
		s.onPick(endpoint.ID)
	}
	e := s.engines[endpoint.ID]
	if e.readUntil.Before(now) {
		e.readUntil = now
	}
	e.readUntil = e.readUntil.Add(time.Duration(p.Tokens) * e.perToken)
	s.at(e.readUntil.Add(e.interval), func(first time.Time) {
		if took := first.Sub(now); p.Tokens > s.longFrom {
			s.long = append(s.long, took)
		} else {
			s.short = append(s.short, took)
		}
		table.PromptRead(first, reading)
	})
	s.at(e.readUntil.Add(time.Duration(events)*e.interval), func(end time.Time) {
		table.RecordServiceTime(end, endpoint.ID, e.interval)
		table.End(end, endpoint, OK)
	})
}

func onlyOwn(string) bool { return false }

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

// mixed returns the prompts of a load of which an eighth is long.
func (s *promptSim) mixed() (prompt, events int) {
	if s.random.IntN(8) == 0 {
		return 20_000 + s.random.IntN(40_000), 40
	}
	return s.alike()
}

// alike returns prompts as the newest deployments have them.
func (s *promptSim) alike() (prompt, events int) { return 276 + s.random.IntN(741), 40 }

// Long prompts must not delay the short ones that hosts send to the same engines, nor each other, as
// long as there are engines with little to read. Hosts know each other's prompts from heartbeats only,
// which come each 300 ms and, with long prompts queued, each 100 ms. The engines can read 2.6 times
// what the requests bring.
func TestPrompts_FirstEvents(t *testing.T) {
	const target = 400 * time.Millisecond // the operators' target for the first event of both kinds
	for _, hosts := range []int{1, 8, 60} {
		late := func(withPrompts bool) (short, long time.Duration) {
			s := newPromptSim(hosts, 12, withPrompts, 1)
			s.run(3*time.Millisecond, 30*time.Second, s.mixed)
			for _, q := range []float64{0.5, 0.95, 0.99} {
				t.Logf("%d hosts, prompts known %v, quantile %v: short %v, long %v", hosts, withPrompts, q,
					quantile(s.short, q).Round(time.Millisecond), quantile(s.long, q).Round(time.Millisecond))
			}
			return quantile(s.short, 0.99), quantile(s.long, 0.99)
		}
		if short, long := late(false); short <= target || long <= target {
			t.Errorf("%d hosts: without knowledge of the prompts, first events come after %v and %v: the load shows nothing", hosts, short, long)
		}
		if short, long := late(true); short > target || long > target {
			t.Errorf("%d hosts: first events of short prompts come after %v, of long ones after %v, want at most %v", hosts, short, long, target)
		}
	}
}

// The target for the first events must not depend on the order in which prompts happen to arrive.
func TestPrompts_FirstEventsOfManySeeds(t *testing.T) {
	const target = 400 * time.Millisecond // the operators' target for the first event of both kinds
	for seed := range uint64(8) {
		s := newPromptSim(60, 12, true, seed+1)
		s.run(3*time.Millisecond, 30*time.Second, s.mixed)
		if short, long := quantile(s.short, 0.99), quantile(s.long, 0.99); short > target || long > target {
			t.Errorf("seed %d: first events of short prompts come after %v, of long ones after %v, want at most %v", seed+1, short, long, target)
		}
	}
}

// Where all prompts are alike, requests must go to the same engines as without knowledge of the
// prompts: the load covers the time that reading takes.
func TestPrompts_AlikeChangeNothing(t *testing.T) {
	for _, hosts := range []int{1, 4} {
		var picks [2][]string
		for i, withPrompts := range []bool{false, true} {
			s := newPromptSim(hosts, 12, withPrompts, 2)
			s.onPick = func(id string) { picks[i] = append(picks[i], id) }
			s.run(2*time.Millisecond, 20*time.Second, s.alike)
		}
		if !slices.Equal(picks[0], picks[1]) {
			t.Errorf("%d hosts: requests with alike prompts go to other engines than without their lengths", hosts)
		}
	}
}

// queuedTable returns a table with a long prompt unread at e0 and nothing at e1, which is slower. The
// rate at which engines read is known.
func queuedTable() (*Table, []catalog.Endpoint, *Reading) {
	table := NewTable("a")
	var endpoints []catalog.Endpoint
	for i := range 2 {
		e := catalog.Endpoint{ID: "e" + strconv.Itoa(i), Service: "s", Zone: "a", Slots: 8, Versions: map[string]int{"m": 1}}
		endpoints = append(endpoints, e)
		table.Put(e)
		table.RecordServiceTime(testStart, e.ID, time.Duration(30+10*i)*time.Millisecond)
	}
	for i := range 20 {
		tokens := 500 + 2000*(i%2)
		r := table.BeginReading(testStart, endpoints[0], prompts.Prompt{Tokens: tokens})
		table.PromptRead(testStart.Add(time.Duration(30+tokens/250)*time.Millisecond), r)
	}
	return table, endpoints, table.BeginReading(testStart, endpoints[0], prompts.Prompt{Tokens: 40_000})
}

func pickID(t *testing.T, table *Table, p prompts.Prompt) string {
	e, ok := table.Pick(testStart, Query{Service: "s", Model: "m", FreeSlot: true, Prompt: p}, 0)
	if !ok {
		t.Fatal("no endpoint selected")
	}
	return e.ID
}

// A queue must count while the prompt is unread, however its request ends, and for the requests only
// whose prompts are known; and a table of which every engine has a queue must still find a place.
// A queue that stays behind would keep an engine idle.
func TestPrompts_Queue(t *testing.T) {
	short := prompts.Prompt{Tokens: 500}
	for _, end := range []func(*Table, *Reading){
		func(table *Table, r *Reading) { table.PromptRead(testStart.Add(200*time.Millisecond), r) },
		func(table *Table, r *Reading) { table.EndReading(r) },
		func(table *Table, r *Reading) { table.EndReading(r); table.PromptRead(testStart, r) },
	} {
		table, endpoints, reading := queuedTable()
		if got := pickID(t, table, short); got != "e1" {
			t.Errorf("a short prompt goes to %s, behind a long one", got)
		}
		if got := pickID(t, table, prompts.Prompt{}); got != "e0" {
			t.Errorf("a request without a prompt goes to %s, want e0 as without the queue", got)
		}
		other := table.BeginReading(testStart, endpoints[1], prompts.Prompt{Tokens: 40_000})
		for _, p := range []prompts.Prompt{short, {Tokens: 40_000}} {
			pickID(t, table, p)
		}
		table.EndReading(other)
		end(table, reading)
		if got := pickID(t, table, short); got != "e0" || table.UnreadTokens() != 0 {
			t.Errorf("a short prompt goes to %s after the queue of %d tokens was read", got, table.UnreadTokens())
		}
	}
}

// A peer's queue must count until the engine has read it or the peer reports another one, and not for
// a new incarnation. Queues that add up or stay would keep an engine idle.
func TestPrompts_PeerQueues(t *testing.T) {
	table, endpoints, reading := queuedTable()
	reported := table.SumQueues(testStart, onlyOwn)
	table.EndReading(reading)
	for _, host := range []string{"h2", "h2", "h3"} {
		table.SetPeerQueues(testStart, host, reported)
	}
	short := Query{Service: "s", Model: "m", Prompt: prompts.Prompt{Tokens: 500}}
	if e, _ := table.Pick(testStart, short, 0); e.ID != "e1" {
		t.Errorf("a short prompt goes to %s, behind the long one of a peer", e.ID)
	}
	if e, _ := table.Pick(testStart.Add(time.Second), short, 0); e.ID != "e0" {
		t.Errorf("a short prompt goes to %s after the queue was read", e.ID)
	}
	all := func(string) bool { return true }
	if got := table.SumQueues(testStart, all)[EndpointKey("e0")].Tokens; got != 80_000 {
		t.Errorf("unread tokens of the two peers = %d, want 80000", got)
	}
	table.SetPeerQueues(testStart, "h3", nil)
	restarted := endpoints[0]
	restarted.Incarnation++
	table.Put(restarted)
	table.SetPeerQueues(testStart, "h2", nil)
	if got := table.SumQueues(testStart, all); len(got) != 0 {
		t.Errorf("unread prompts after the peers' were removed: %v", got)
	}
}

// A leading part that an engine has read must count as read there, and no longer once the engine has
// other weights, is restarted, or the request that brought the part failed.
func TestPrompts_Cached(t *testing.T) {
	prompt := prompts.Prompt{Tokens: 40_000, Prefixes: []prompts.Prefix{{Key: 1, Tokens: 1000}, {Key: 2, Tokens: 39_000}}}
	for name, change := range map[string]func(*Table, catalog.Endpoint) (unread int){
		"read": func(*Table, catalog.Endpoint) int { return 1000 },
		"weights": func(table *Table, e catalog.Endpoint) int {
			e.Versions = map[string]int{"m": 2}
			table.Put(e)
			return 40_000
		},
		"own words": func(table *Table, e catalog.Endpoint) int { table.RecordVersion(e.ID, "m", 0); return 40_000 },
		"restart":   func(table *Table, e catalog.Endpoint) int { e.Incarnation++; table.Put(e); return 40_000 },
	} {
		table, endpoints, _ := queuedTable()
		table.EndReading(table.BeginReading(testStart, endpoints[1], prompt))
		r := table.BeginReading(testStart, endpoints[1], prompt)
		if r.Unread != 40_000 {
			t.Errorf("%s: %d tokens unread after a failed request, want 40000", name, r.Unread)
		}
		table.PromptRead(testStart.Add(time.Second), r)
		want := change(table, endpoints[1])
		e, _ := table.Get("e1")
		if got := table.BeginReading(testStart, e, prompt).Unread; got != want {
			t.Errorf("%s: %d tokens unread, want %d", name, got, want)
		}
	}
}

// Two hosts that know no reading rate of their own must not raise each other's with every heartbeat:
// after some seconds each short queue at a slow engine would cost as much as an hour of reading.
func TestPrompts_ReportedRateStays(t *testing.T) {
	var tables []*Table
	slow := catalog.Endpoint{ID: "e0", Service: "s", Zone: "a", Slots: 8}
	for range 2 {
		table := NewTable("a")
		table.Put(slow)
		for _, id := range []string{"e1", "e2"} {
			table.Put(catalog.Endpoint{ID: id, Service: "s", Zone: "a", Slots: 8})
			table.RecordServiceTime(testStart, id, 30*time.Millisecond)
		}
		table.RecordServiceTime(testStart, "e0", 120*time.Millisecond)
		table.Pick(testStart, Query{Service: "s"}, 0) // computes the baseline
		table.BeginReading(testStart, slow, prompts.Prompt{Tokens: 100_000})
		tables = append(tables, table)
	}
	reported := map[uint32]prompts.Queue{EndpointKey("e0"): {Tokens: 100_000, Requests: 1, NanosPerToken: 16_000}}
	for range 10 {
		for _, table := range tables {
			table.SetPeerQueues(testStart, "h2", reported)
			reported = table.SumQueues(testStart, onlyOwn)
		}
	}
	if got := reported[EndpointKey("e0")].NanosPerToken; got != 16_000 {
		t.Errorf("a token takes %d ns after ten exchanges, want the 16000 of the first report", got)
	}
	// 16 µs at an engine that takes four times the usual time for an event.
	other := tables[0].entries["e1"]
	if got, _ := tables[0].perToken(other, 30*time.Millisecond); got != 4*time.Microsecond {
		t.Errorf("a token takes %v at a usual engine, want 4µs", got)
	}
}

// The report of a peer that died must fade although other peers go on reporting the same engine.
func TestPrompts_OldReportFades(t *testing.T) {
	table, _, reading := queuedTable()
	reported := table.SumQueues(testStart, onlyOwn)
	table.EndReading(reading)
	table.SetPeerQueues(testStart, "dead", reported)
	e := table.entries["e0"]
	fresh := map[uint32]prompts.Queue{EndpointKey("e0"): {Tokens: 2000, Requests: 1}}
	now := testStart
	for range 10 { // 40,000 tokens take 160 ms
		now = now.Add(100 * time.Millisecond)
		table.SetPeerQueues(now, "h2", fresh)
	}
	perToken, _ := table.perToken(e, 30*time.Millisecond)
	if got := e.unread(now, perToken).tokens; got != 2000 {
		t.Errorf("%d tokens unread a second after the last report of 40000, want the 2000 of the other peer", got)
	}
	if got := table.SumQueues(now, func(string) bool { return true })[e.key].Tokens; got > 2000 {
		t.Errorf("%d tokens are reported to other hosts, want 2000 at most", got)
	}
	table.SetPeerQueues(now, "h2", nil)
	table.SetPeerQueues(now, "dead", nil)
	if q := e.prompts.peers; q != (queue{}) {
		t.Errorf("%+v remains after both peers are gone", q)
	}
}

// Services to which no request with a prompt was sent must have no metrics of prompts.
func TestPrompts_PlainServices(t *testing.T) {
	table := NewTable("a")
	e := catalog.Endpoint{ID: "e0", Service: "plain", Zone: "a", Slots: 8}
	table.Put(e)
	table.Begin(testStart, e)
	table.End(testStart, e, OK)
	table.Remove("e0")
	if got := table.PromptServices(); len(got) != 0 {
		t.Errorf("services with prompts: %v", got)
	}
}
