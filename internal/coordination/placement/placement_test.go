package placement

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

var begin = time.Unix(1000, 0)

// TestTraces replays load patterns against the choices that answer them.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{table: NewTable("a"), now: begin}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.step(t, d) })
	})
}

type script struct {
	table *Table
	now   time.Time
}

func (s *script) step(t *testing.T, d *datadriven.TestData) string {
	var id string
	d.MaybeScanArgs(t, "id", &id)
	ms := 0
	d.MaybeScanArgs(t, "ms", &ms)
	span := time.Duration(ms) * time.Millisecond
	switch d.Cmd {
	case "endpoint":
		s.put(t, d, id)
	case "remove":
		s.table.Remove(id)
	case "advance":
		s.now = s.now.Add(span)
	case "measured":
		s.table.Measured(s.now, id, span)
	case "found-slow":
		s.table.FoundSlow(s.now, Key(id))
	case "doubt":
		s.table.Doubt(s.now, Key(id))
	case "eject":
		s.table.Eject(s.now, id)
	case "loading":
		var model string
		d.ScanArgs(t, "model", &model)
		s.table.SetLoading(s.now, LoadKey(id, model), s.now.Add(span))
	case "end":
		ends := map[string]Failure{"ok": OK, "refused": Refused, "broke": Broke, "cancelled": Cancelled}
		var how string
		d.ScanArgs(t, "how", &how)
		s.table.End(s.now, id, ends[how])
	case "peer":
		n := 0
		d.ScanArgs(t, "n", &n)
		s.table.SetPeer("h2", map[uint32]uint16{Key(id): uint16(n)})
	case "pick":
		return s.pick(t, d)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func (s *script) put(t *testing.T, d *datadriven.TestData, id string) {
	e := catalog.Endpoint{ID: id, Service: "s", Address: id + ":1", Zone: "a", Slots: 2, Versions: map[string]int{}}
	version := 1
	d.MaybeScanArgs(t, "zone", &e.Zone)
	d.MaybeScanArgs(t, "slots", &e.Slots)
	d.MaybeScanArgs(t, "version", &version)
	e.Versions["m"] = version
	e.Draining = d.HasArg("draining")
	s.table.Put(e)
}

// pick chooses n times and counts each choice as sent.
func (s *script) pick(t *testing.T, d *datadriven.TestData) string {
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
			s.table.Begin(s.now, e.ID)
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

func TestLoadsTravelBetweenHostsByKey(t *testing.T) {
	table := NewTable("a")
	table.Put(catalog.Endpoint{ID: "e1", Service: "s", Slots: 4})
	table.Begin(begin, "e1")
	if got := table.Own(); len(got) != 1 || got[Key("e1")] != 1 {
		t.Fatalf("own loads are %v", got)
	}
	table.SetPeer("h2", map[uint32]uint16{Key("e1"): 2})
	if got := table.Running("e1"); got != 3 {
		t.Fatalf("%d run, not 3", got)
	}
	table.SetPeer("h2", nil)
	if got := table.Running("e1"); got != 1 {
		t.Fatalf("%d run after the peer is gone, not 1", got)
	}
}

func TestNewIncarnationStartsWithACleanRecord(t *testing.T) {
	table := NewTable("a")
	table.Put(catalog.Endpoint{ID: "e1", Service: "s", Slots: 1, Incarnation: 1})
	table.Begin(begin, "e1")
	table.Eject(begin, "e1")
	table.Put(catalog.Endpoint{ID: "e1", Service: "s", Slots: 1, Incarnation: 2})
	if _, ok := table.Pick(begin, Query{Service: "s", FreeSlot: true}, 0); !ok {
		t.Fatal("the new incarnation is not used")
	}
}

// BenchmarkPick measures one choice among 600 endpoints.
func BenchmarkPick(b *testing.B) {
	table := NewTable("a")
	for i := range 600 {
		table.Put(catalog.Endpoint{ID: "e" + strconv.Itoa(i), Service: "s", Slots: 8, Versions: map[string]int{"m": 3}})
		table.Measured(begin, "e"+strconv.Itoa(i), time.Duration(30+i%9)*time.Millisecond)
	}
	q := Query{Service: "s", Model: "m", MinVersion: 2, FreeSlot: true}
	for b.Loop() {
		if _, ok := table.Pick(begin, q, 1); !ok {
			b.Fatal("nothing picked")
		}
	}
}
