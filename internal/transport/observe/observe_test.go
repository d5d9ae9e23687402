package observe

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// fleetView is of 2 regions with 7 zones.
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

func TestEachEndpointIsAskedByTwoHostsOfItsRegion(t *testing.T) {
	view := fleetView(390, 600)
	asked := map[model.EndpointID]int{}
	for _, m := range view.Members {
		hosts, _ := byRegion(view)
		mine := shares(m.Host, view.Config, hosts)
		if len(mine) > 16 {
			t.Errorf("%s asks %d endpoints", m.Host, len(mine))
		}
		for _, s := range mine {
			asked[s.endpoint]++
			if view.Config.Zones[m.Zone].Region != view.Config.Zones[view.Config.Endpoints[s.endpoint].Zone].Region {
				t.Errorf("%s in %s asks %s", m.Host, m.Zone, s.endpoint)
			}
		}
	}
	for id := range view.Config.Endpoints {
		if asked[id] != askers {
			t.Errorf("%s is asked by %d hosts", id, asked[id])
		}
	}
}

func TestARegionWithoutHostsIsAskedFromTheOther(t *testing.T) {
	view := fleetView(7, 7)
	for i := range view.Members {
		if view.Config.Zones[view.Members[i].Zone].Region == "r1" {
			view.Members[i].State = model.HostDead
		}
	}
	hosts, _ := byRegion(view)
	asked := 0
	for _, m := range view.Members {
		asked += len(shares(m.Host, view.Config, hosts))
	}
	if asked != askers*7 {
		t.Fatalf("%d askers for 7 endpoints", asked)
	}
}

func TestLoadsAreSpreadWhenTheyTellSomethingNew(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &spread{}
	spreads := func(after time.Duration, f items.LoadFact) bool {
		now = now.Add(after)
		return len(s.load(now, "e", f, 0)) == 1
	}
	base := items.LoadFact{Running: 8, Version: 1, Incarnation: 1}
	steps := []struct {
		rule  string
		after time.Duration
		fact  items.LoadFact
		want  bool
	}{
		{"first", 0, base, true},
		{"unchanged", busyInterval, base, false},
		{"small change", 0, items.LoadFact{Running: 9, Version: 1, Incarnation: 1}, false},
		{"large change", 0, items.LoadFact{Running: 20, Version: 1, Incarnation: 1}, true},
		{"large change again at once", time.Second, base, false},
		{"new version at once", 0, items.LoadFact{Running: 20, Version: 2, Incarnation: 1}, true},
		{"new incarnation at once", 0, items.LoadFact{Running: 20, Version: 2, Incarnation: 2}, true},
		{"unchanged for long", refreshInterval, items.LoadFact{Running: 20, Version: 2, Incarnation: 2}, true},
	}
	for _, step := range steps {
		if got := spreads(step.after, step.fact); got != step.want {
			t.Errorf("%s: spread %v", step.rule, got)
		}
	}
}

func TestAnEndpointIsUnreachedAfterRepeatedFailuresAndLeavingByItsOwnWord(t *testing.T) {
	now := time.Unix(1000, 0)
	tg := &target{id: "e"}
	if list := tg.results(now, observation{}, errors.New("refused")); len(list) != 0 {
		t.Fatalf("one failure spreads %+v", list)
	}
	if list := tg.results(now, observation{}, errors.New("refused")); len(list) != 1 || !list[0].Load.Unreached {
		t.Fatalf("repeated failures spread %+v", list)
	}
	list := tg.results(now, observation{status: engineapi.Status{Incarnation: 4, Leaving: true}}, nil)
	if len(list) != 2 || list[0].Load.Unreached || list[1].Drain == nil || list[1].Drain.Incarnation != 4 {
		t.Fatalf("a leaving endpoint spreads %+v", list)
	}
}

func TestTheSecondAskerStaysSilentWhileTheFirstSpreads(t *testing.T) {
	now := time.Unix(1000, 0)
	fact := items.LoadFact{Running: 8, Version: 1, Incarnation: 1}
	s := &spread{rank: 1}
	for range 10 {
		now = now.Add(refreshInterval)
		s.hear(now, items.Item{Kind: items.Load, Key: "e", Load: &fact, AgeMillis: 2000})
		if list := s.load(now, "e", fact, 0); len(list) != 0 {
			t.Fatalf("spread what is known: %+v", list)
		}
	}
	if list := s.load(now.Add(laterPart*refreshInterval), "e", fact, 0); len(list) != 1 {
		t.Fatal("silent though the first asker is")
	}
}
