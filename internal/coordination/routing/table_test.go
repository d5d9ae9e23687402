package routing

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// traceRunner applies the commands of a trace to a table. Its picks use one seeded random
// source.
type traceRunner struct {
	now   time.Time
	table *Table
	rng   *rand.PCG
	held  map[string][]Choice
}

func (p *traceRunner) step(t *testing.T, d *datadriven.TestData) string {
	var id, text string
	var count, incarnation, version, running int
	var prefix uint64
	var exclude []string
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "after", &text)
	d.MaybeScanArgs(t, "count", &count)
	d.MaybeScanArgs(t, "incarnation", &incarnation)
	d.MaybeScanArgs(t, "version", &version)
	d.MaybeScanArgs(t, "running", &running)
	d.MaybeScanArgs(t, "prefix", &prefix)
	d.MaybeScanArgs(t, "exclude", &exclude)
	after, _ := time.ParseDuration(text)
	p.now = p.now.Add(after)
	endpoint := model.EndpointID(id)
	switch d.Cmd {
	case "table":
		p.table, p.rng, p.held = NewTable(p.now, "z0"), rand.NewPCG(1, 2), map[string][]Choice{}
		p.table.Update(parseEndpoints(d.Input))
	case "observe":
		p.table.ObserveIncarnation(p.now, endpoint, model.Incarnation(incarnation))
	case "drain":
		return fmt.Sprint("changed: ", p.table.Drain(endpoint, model.Incarnation(incarnation)))
	case "view":
		p.table.SetDrains([]model.DrainEvidence{{Endpoint: endpoint, Incarnation: model.Incarnation(incarnation)}})
	case "report":
		p.table.RecordLoad(p.now, endpoint, Load{Running: running, Version: model.WeightVersion(version)})
	case "cached":
		p.table.RecordCacheEvent(p.now, endpoint, prefix, true)
	case "answered", "failed", "hedge-answered":
		return p.endRequests(t, d, endpoint, max(1, count))
	case "begin":
		p.beginRequests(endpoint, count)
	case "pick":
		c := Constraints{MinVersion: model.WeightVersion(version), PrefixHash: prefix}
		for _, e := range exclude {
			c.Exclude = append(c.Exclude, model.EndpointID(e))
		}
		return p.pickShares(c)
	}
	return ""
}

func parseEndpoints(text string) []endpoints.Endpoint {
	var out []endpoints.Endpoint
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		out = append(out, endpoints.Endpoint{ID: model.EndpointID(f[0]), Zone: model.ZoneID(f[1]), Slots: 8})
	}
	return out
}

// beginRequests records count requests at an endpoint without a pick.
func (p *traceRunner) beginRequests(id model.EndpointID, count int) {
	for range count {
		p.table.Begin(p.now, Choice{ID: id, entry: p.table.byID[id]})
	}
}

func (p *traceRunner) endRequests(t *testing.T, d *datadriven.TestData, id model.EndpointID, count int) string {
	var took string
	d.MaybeScanArgs(t, "took", &took)
	service, _ := time.ParseDuration(took)
	result := map[string]Result{"answered": ResultAnswered, "failed": ResultFailed, "hedge-answered": ResultHedgeAnswered}[d.Cmd]
	ejected := false
	for range count {
		p.beginRequests(id, 1)
		ejected = p.table.End(p.now, Choice{ID: id, entry: p.table.byID[id]}, p.now, result, service) || ejected
	}
	return fmt.Sprint("ejected: ", ejected)
}

// pickShares picks 1000 times and returns each endpoint's share, rounded to 10%.
func (p *traceRunner) pickShares(c Constraints) string {
	got := map[model.EndpointID]int{}
	for range 1000 {
		choice, ok := p.table.Pick(p.now, p.rng, c)
		if !ok {
			return "none"
		}
		got[choice.ID]++
	}
	var out []string
	for id, n := range got {
		out = append(out, fmt.Sprintf("%s %d%%", id, (n+50)/100*10))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// TestTraces replays the traces in testdata and compares the endpoints picked.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p := &traceRunner{now: testStart}
		datadriven.RunTest(t, path, p.step)
	})
}

// After any sequence of events, a picked endpoint is neither excluded, draining nor
// ejected, and the count of requests in flight equals Begin calls minus End calls.
func TestTable_PickAndInFlightInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		list := fleet(rapid.IntRange(1, 12).Draw(t, "endpoints"))
		table := NewTable(now, "z0")
		table.Update(list)
		rng := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)
		inflight := map[model.EndpointID]int{}
		type request struct {
			choice  Choice
			started time.Time
		}
		var running []request
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			id := list[rapid.IntRange(0, len(list)-1).Draw(t, "endpoint")].ID
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				table.Drain(id, model.Incarnation(rapid.IntRange(0, 3).Draw(t, "incarnation")))
			case 1:
				table.ObserveIncarnation(now, id, model.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation")))
			case 2, 3:
				c := Constraints{Exclude: []model.EndpointID{id}}
				choice, ok := table.Pick(now, rng, c)
				if !ok {
					continue
				}
				e := table.byID[choice.ID]
				if choice.ID == id || e.draining() || !e.health.Available(now.Sub(table.zeroTime)) {
					t.Fatalf("Pick returned %s, which is not eligible; excluded %s, entry %+v", choice.ID, id, e)
				}
				table.Begin(now, choice)
				inflight[choice.ID]++
				running = append(running, request{choice, now})
			default:
				if len(running) == 0 {
					continue
				}
				r := running[0]
				running = running[1:]
				table.End(now, r.choice, r.started, Result(rapid.IntRange(0, 4).Draw(t, "result")), time.Millisecond)
				inflight[r.choice.ID]--
			}
			for _, e := range table.entries {
				if e.inflight != inflight[e.ID] || e.inflight == 0 && e.startSum != 0 {
					t.Fatalf("%s: %d requests in flight, want %d; start sum %v", e.ID, e.inflight, inflight[e.ID], e.startSum)
				}
			}
		}
	})
}
