package observe

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// fleetView returns a view with 7 zones in 2 regions and the given numbers of hosts and
// endpoints.
func fleetView(hosts, endpoints int) *model.FleetView {
	config := &model.Config{Zones: map[model.ZoneID]model.Zone{}, Endpoints: map[model.EndpointID]model.Endpoint{}}
	zone := func(i int) model.ZoneID { return model.ZoneID(fmt.Sprintf("z%d", i%7)) }
	for z := range 7 {
		config.Zones[zone(z)] = model.Zone{Region: model.RegionID(fmt.Sprintf("r%d", z/4))}
	}
	view := &model.FleetView{Sequence: 1, Generation: 1, Config: config}
	for i := range hosts {
		view.Members = append(view.Members, model.Member{Host: model.HostID(fmt.Sprintf("host-%d", i)), Zone: zone(i), State: model.HostAlive})
	}
	for i := range endpoints {
		config.Endpoints[model.EndpointID(fmt.Sprintf("engine-%d", i))] = model.Endpoint{Zone: zone(i)}
	}
	return view
}

// At the target size each endpoint must be polled by exactly two hosts of its own region,
// and rendezvous hashing must give no host more than 16 endpoints.
func TestAssignments_TwoHostsOfRegionPerEndpoint(t *testing.T) {
	view := fleetView(390, 600)
	pollers := map[model.EndpointID]int{}
	for _, m := range view.Members {
		hosts, _ := hostsByRegion(view)
		assigned := assignments(m.Host, view.Config, hosts)
		if len(assigned) > 16 {
			t.Errorf("%s polls %d endpoints", m.Host, len(assigned))
		}
		for _, a := range assigned {
			pollers[a.endpoint]++
			if view.Config.Zones[m.Zone].Region != view.Config.Zones[view.Config.Endpoints[a.endpoint].Zone].Region {
				t.Errorf("%s in %s polls %s of another region", m.Host, m.Zone, a.endpoint)
			}
		}
	}
	for id := range view.Config.Endpoints {
		if pollers[id] != pollersPerEndpoint {
			t.Errorf("%s is polled by %d hosts", id, pollers[id])
		}
	}
}

// If all hosts of a region are dead, hosts of another region must poll its endpoints, else
// nobody would notice that they fail.
func TestAssignments_RegionWithoutHosts(t *testing.T) {
	view := fleetView(7, 7)
	for i := range view.Members {
		if view.Config.Zones[view.Members[i].Zone].Region == "r1" {
			view.Members[i].State = model.HostDead
		}
	}
	hosts, _ := hostsByRegion(view)
	pollers := 0
	for _, m := range view.Members {
		pollers += len(assignments(m.Host, view.Config, hosts))
	}
	if pollers != pollersPerEndpoint*7 {
		t.Fatalf("%d pollers for 7 endpoints", pollers)
	}
}

// A load is gossiped if it is new, changed enough or due for a refresh. Reporting every poll
// would flood the gossip; a new version or incarnation must not wait.
func TestLoadFilter_ReportsOnlyChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &loadFilter{}
	reports := func(after time.Duration, f items.LoadFact) bool {
		now = now.Add(after)
		return len(s.report(now, "e", f, 0)) == 1
	}
	base := items.LoadFact{Running: 8, Version: 1, Incarnation: 1}
	steps := []struct {
		name  string
		after time.Duration
		fact  items.LoadFact
		want  bool
	}{
		{"first", 0, base, true},
		{"unchanged", minLoadInterval, base, false},
		{"small change", 0, items.LoadFact{Running: 9, Version: 1, Incarnation: 1}, false},
		{"large change", 0, items.LoadFact{Running: 20, Version: 1, Incarnation: 1}, true},
		{"large change again after a second", time.Second, base, false},
		{"new version without delay", 0, items.LoadFact{Running: 20, Version: 2, Incarnation: 1}, true},
		{"new incarnation without delay", 0, items.LoadFact{Running: 20, Version: 2, Incarnation: 2}, true},
		{"unchanged for long", refreshInterval, items.LoadFact{Running: 20, Version: 2, Incarnation: 2}, true},
	}
	for _, step := range steps {
		if got := reports(step.after, step.fact); got != step.want {
			t.Errorf("%s: reported %v", step.name, got)
		}
	}
}

// One failed poll may be chance and must not report an endpoint unreachable; two in a row
// must. An endpoint is reported as leaving only if its own status says so.
func TestTarget_ReportsUnreachableAndLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	polled := &target{id: "e"}
	if list := polled.reportItems(now, observation{}, errors.New("refused")); len(list) != 0 {
		t.Fatalf("one failure reports %+v", list)
	}
	if list := polled.reportItems(now, observation{}, errors.New("refused")); len(list) != 1 || !list[0].Load.Unreachable {
		t.Fatalf("repeated failures report %+v", list)
	}
	list := polled.reportItems(now, observation{status: engineapi.Status{Incarnation: 4, Draining: true}}, nil)
	if len(list) != 2 || list[0].Load.Unreachable || list[1].Drain == nil || list[1].Drain.Incarnation != 4 {
		t.Fatalf("a leaving endpoint reports %+v", list)
	}
}

// The wall clock steps back after the first poll of an endpoint was planned: the endpoint must not go without polls
// until it has caught up.
func TestFirstPoll_DoesNotStepWithWallClock(t *testing.T) {
	now := time.Now()
	for rank := range pollersPerEndpoint {
		at := firstPoll(now, assignment{endpoint: "e", rank: rank})
		if wait := at.Sub(now); wait < 0 || wait >= pollInterval {
			t.Errorf("rank %d: first poll after %v", rank, wait)
		}
		if !strings.Contains(at.String(), " m=") {
			t.Errorf("rank %d: the time of the first poll has no monotonic reading: %v", rank, at)
		}
	}
}

// The wall clock of the other poller is ahead, or that of this one steps back: what this one reports must replace
// the former report, or all hosts ignore it until the clock has caught up.
func TestLoadFilter_ReplacesReportOfClockAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &loadFilter{}
	known := items.Item{Kind: items.Load, Key: "e", Version: 1060, Load: &items.LoadFact{Version: 1, Incarnation: 1}}
	f.receive(now, known)
	last := known.Version
	for version, step := range []time.Duration{0, 0, -30 * time.Second} {
		now = now.Add(step)
		list := f.report(now, "e", items.LoadFact{Version: model.WeightVersion(version + 2), Incarnation: 1}, 0)
		if len(list) != 1 || list[0].Version <= last {
			t.Fatalf("report %d: %+v, want a version above %d", version, list, last)
		}
		last = list[0].Version
	}
}

// The second poller must not repeat loads that the first one reports, else every load would
// be gossiped twice. It must report them once the first poller stops.
func TestLoadFilter_SecondPollerDefersToFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	fact := items.LoadFact{Running: 8, Version: 1, Incarnation: 1}
	s := &loadFilter{rank: 1}
	for range 10 {
		now = now.Add(refreshInterval)
		s.receive(now, items.Item{Kind: items.Load, Key: "e", Load: &fact, AgeMillis: 2000})
		if list := s.report(now, "e", fact, 0); len(list) != 0 {
			t.Fatalf("second poller repeats a known load: %+v", list)
		}
	}
	if list := s.report(now.Add(secondaryDelayFactor*refreshInterval), "e", fact, 0); len(list) != 1 {
		t.Fatal("second poller does not report although the first has stopped")
	}
}
