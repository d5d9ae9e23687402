package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/coordination/permits"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

var testStart = time.Unix(1000, 0)

// TestTraces replays the traces in testdata and compares the endpoints selected.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &traceRunner{table: NewTable("a"), now: testStart}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.step(t, d) })
	})
}

// traceRunner applies the commands of a trace to a table.
type traceRunner struct {
	table *Table
	now   time.Time
}

func (s *traceRunner) step(t *testing.T, d *datadriven.TestData) string {
	var id string
	d.MaybeScanArgs(t, "id", &id)
	ms := 0
	d.MaybeScanArgs(t, "ms", &ms)
	duration := time.Duration(ms) * time.Millisecond
	switch d.Cmd {
	case "endpoint":
		s.put(t, d, id)
	case "remove":
		s.table.Remove(id)
	case "advance":
		s.now = s.now.Add(duration)
	case "measured":
		s.table.RecordServiceTime(s.now, id, duration)
	case "reported-slow":
		s.table.MarkReportedSlow(s.now, EndpointKey(id))
	case "reported-unreachable":
		s.table.MarkReportedUnreachable(s.now, EndpointKey(id))
	case "leaving":
		s.table.MarkLeaving(s.table.entries[id].endpoint)
	case "reported-leaving":
		s.table.MarkReportedLeaving([]uint32{InstanceKey(&s.table.entries[id].endpoint)})
	case "should-move":
		return fmt.Sprintln(s.table.ShouldMove(s.now, id, Query{Service: "s", Model: "m", MinVersion: 1, FreeSlot: true}))
	case "impaired":
		return fmt.Sprintln(s.table.IsImpaired(s.now, id))
	case "all-draining":
		return fmt.Sprintln(s.table.AllDraining("s"))
	case "eject":
		s.table.Eject(s.now, id)
	case "loading":
		var model string
		d.ScanArgs(t, "model", &model)
		s.table.SetLoading(s.now, WeightsKey(id, model), s.now.Add(duration))
	case "end":
		outcomes := map[string]Outcome{"ok": OK, "refused": Refused, "broken": Broken, "cancelled": Cancelled}
		var how string
		d.ScanArgs(t, "how", &how)
		s.table.End(s.now, s.table.entries[id].endpoint, outcomes[how])
	case "peer":
		n := 0
		d.ScanArgs(t, "n", &n)
		s.table.SetPeerLoads("h2", map[uint32]uint16{EndpointKey(id): uint16(n)})
	case "limit":
		return fmt.Sprintln(s.table.RecordLimit(s.now, s.table.entries[id].endpoint, perSecond(t, d)))
	case "unlimited":
		return fmt.Sprintln(s.table.RecordUnlimited(s.now, s.table.entries[id].endpoint, s.now.Add(-duration)))
	case "reported-limit":
		e := s.table.entries[id]
		return fmt.Sprintln(s.table.MergeLimit(s.now, permits.LimitReport{Instance: e.instanceKey, PerSecond: float32(perSecond(t, d)), AgeMs: uint32(ms)}))
	case "wanted":
		return s.wanted()
	case "permits":
		n := 0
		d.MaybeScanArgs(t, "n", &n)
		s.table.AddPermits(s.now, s.table.entries[id].endpoint, permits.Grant{Count: n, RetryAfter: duration})
	case "permit-wait":
		return fmt.Sprintln(s.table.PermitWait(s.now, Query{Service: "s"}))
	case "pick":
		return s.pick(t, d)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func perSecond(t *testing.T, d *datadriven.TestData) float64 {
	var arg string
	d.ScanArgs(t, "per-second", &arg)
	v, err := strconv.ParseFloat(arg, 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// wanted takes the requests for permits that are due.
func (s *traceRunner) wanted() string {
	var out []string
	for _, w := range s.table.TakePermitsWanted(s.now) {
		out = append(out, fmt.Sprintf("%s count=%d unpermitted=%d", w.Endpoint.ID, w.Count, w.Unpermitted))
	}
	slices.Sort(out)
	return strings.Join(append(out, ""), "\n")
}

func (s *traceRunner) put(t *testing.T, d *datadriven.TestData, id string) {
	e := catalog.Endpoint{ID: id, Service: "s", Address: id + ":1", Zone: "a", Slots: 2, Versions: map[string]int{}}
	version := 1
	d.MaybeScanArgs(t, "zone", &e.Zone)
	d.MaybeScanArgs(t, "slots", &e.Slots)
	d.MaybeScanArgs(t, "version", &version)
	e.Versions["m"] = version
	d.MaybeScanArgs(t, "incarnation", &e.Incarnation)
	e.Draining = d.HasArg("draining")
	s.table.Put(e)
}

// pick calls Pick n times, begins a request at each endpoint selected, and returns the
// number of requests per endpoint in the order of first selection.
func (s *traceRunner) pick(t *testing.T, d *datadriven.TestData) string {
	q := Query{Service: "s"}
	n := 1
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "model", &q.Model)
	d.MaybeScanArgs(t, "min", &q.MinVersion)
	d.MaybeScanArgs(t, "prefer", &q.Prefer)
	q.FreeSlot = d.HasArg("free")
	counts, order := map[string]int{}, []string{}
	for i := range n {
		e, ok := s.table.Pick(s.now, q, uint64(i)*0x9e3779b97f4a7c15)
		name := "none"
		if ok {
			name = e.ID
			s.table.Begin(s.now, e)
		}
		if counts[name] == 0 {
			order = append(order, name)
		}
		counts[name]++
	}
	var out strings.Builder
	for _, name := range order {
		fmt.Fprintf(&out, "%s %d\n", name, counts[name])
	}
	return out.String()
}

// Peers report loads by EndpointKey. A later report must replace the earlier one, and nil
// must remove it; loads that add up or stay would keep an idle endpoint unused.
func TestPeerLoads_ReplacedByKey(t *testing.T) {
	table := NewTable("a")
	table.Put(catalog.Endpoint{ID: "e1", Service: "s", Slots: 4})
	table.Begin(testStart, catalog.Endpoint{ID: "e1", Service: "s", Slots: 4})
	if got := table.LocalLoads(); len(got) != 1 || got[EndpointKey("e1")] != 1 {
		t.Fatalf("local loads = %v, want 1 request at e1", got)
	}
	table.SetPeerLoads("h2", map[uint32]uint16{EndpointKey("e1"): 2})
	if got := table.InFlight("e1"); got != 3 {
		t.Fatalf("requests in flight = %d, want 3", got)
	}
	table.SetPeerLoads("h2", nil)
	if got := table.InFlight("e1"); got != 1 {
		t.Fatalf("requests in flight = %d after the peer was removed, want 1", got)
	}
}

// An endpoint restarts after it was ejected with its slot in use. The new incarnation
// must be selectable immediately, without the ejection and the load of the old one.
func TestNewIncarnation_ResetsHistory(t *testing.T) {
	table := NewTable("a")
	table.Put(catalog.Endpoint{ID: "e1", Service: "s", Slots: 1, Incarnation: 1})
	table.Begin(testStart, catalog.Endpoint{ID: "e1", Service: "s", Slots: 1, Incarnation: 1})
	table.Eject(testStart, "e1")
	table.Put(catalog.Endpoint{ID: "e1", Service: "s", Slots: 1, Incarnation: 2})
	if _, ok := table.Pick(testStart, Query{Service: "s", FreeSlot: true}, 0); !ok {
		t.Fatal("new incarnation not selected")
	}
}

// Requests that were sent to an endpoint before it restarted end afterwards. Their ends must
// not be counted for the new incarnation: two of them would eject it, and each would hide a
// request that it runs.
func TestEnd_OfEarlierIncarnation(t *testing.T) {
	table := NewTable("a")
	before := catalog.Endpoint{ID: "e1", Service: "s", Slots: 4, Incarnation: 1}
	after := catalog.Endpoint{ID: "e1", Service: "s", Slots: 4, Incarnation: 2}
	table.Put(before)
	table.Begin(testStart, before)
	table.Begin(testStart, before)
	table.Put(after)
	table.Begin(testStart, after)
	table.End(testStart, before, Broken)
	table.End(testStart, before, Broken)
	if got := table.InFlight("e1"); got != 1 {
		t.Errorf("requests in flight at the new incarnation = %d, want 1", got)
	}
	if _, ok := table.Pick(testStart, Query{Service: "s", FreeSlot: true}, 0); !ok {
		t.Error("the new incarnation is ejected for the failures of the old one")
	}
}

// Two endpoint IDs may have the same 32-bit key. Removing one must not make the other miss the
// loads and reports of peers.
func TestEndpointKey_Collision(t *testing.T) {
	const first, second = "costarring", "liquid"
	if EndpointKey(first) != EndpointKey(second) {
		t.Fatal("the IDs of this test have different keys")
	}
	table := NewTable("a")
	table.Put(catalog.Endpoint{ID: first, Service: "s", Slots: 4})
	table.Put(catalog.Endpoint{ID: second, Service: "s", Slots: 4})
	table.Remove(second)
	table.SetPeerLoads("h2", map[uint32]uint16{EndpointKey(first): 3})
	if got := table.InFlight(first); got != 3 {
		t.Errorf("requests in flight = %d, want the 3 that the peer reported", got)
	}
	table.MarkReportedUnreachable(testStart, EndpointKey(first))
	if unreachable, _ := table.Reported(testStart); len(unreachable) != 1 {
		t.Errorf("endpoints reported unreachable: %v, want one", unreachable)
	}
}

// A burst must be placed at the endpoints to which idle connections exist, as long as these are
// not much busier: each new connection costs the endpoint a slot for a moment. An idle
// connection counts for one request, and only until the endpoint closes it.
func TestPick_IdleConnectionsFirst(t *testing.T) {
	table := NewTable("a")
	var endpoints []catalog.Endpoint
	for i := range 4 {
		e := catalog.Endpoint{ID: "e" + strconv.Itoa(i), Service: "s", Zone: "a", Slots: 8}
		endpoints = append(endpoints, e)
		table.Put(e)
	}
	for range 2 {
		table.Begin(testStart, endpoints[2])
		table.Begin(testStart, endpoints[2])
		table.End(testStart, endpoints[2], OK)
		table.End(testStart, endpoints[2], OK)
	}
	pick := func(now time.Time, random uint64) string {
		e, ok := table.Pick(now, Query{Service: "s", FreeSlot: true}, random)
		if !ok {
			t.Fatal("no endpoint selected")
		}
		table.Begin(now, e)
		return e.ID
	}
	for i := range 2 {
		if got := pick(testStart.Add(time.Second), uint64(i)*12345); got != "e2" {
			t.Errorf("request %d goes to %s, want e2 with an idle connection", i, got)
		}
	}
	if got := pick(testStart.Add(time.Second), 777); got == "e2" {
		t.Error("a third request goes to e2, whose two connections are in use")
	}
	if table.entries["e2"].hasIdleConnection(testStart.Add(idleConnTTL)) {
		t.Error("a connection counts as idle after the endpoint closed it")
	}
}

// BenchmarkPick measures one Pick among 600 endpoints.
func BenchmarkPick(b *testing.B) {
	table := NewTable("a")
	for i := range 600 {
		table.Put(catalog.Endpoint{ID: "e" + strconv.Itoa(i), Service: "s", Slots: 8, Versions: map[string]int{"m": 3}})
		table.RecordServiceTime(testStart, "e"+strconv.Itoa(i), time.Duration(30+i%9)*time.Millisecond)
	}
	q := Query{Service: "s", Model: "m", MinVersion: 2, FreeSlot: true}
	for b.Loop() {
		if _, ok := table.Pick(testStart, q, 1); !ok {
			b.Fatal("no endpoint selected")
		}
	}
}
