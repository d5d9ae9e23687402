package membership

import (
	"fmt"
	"testing"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

func fleetOf(n, zones int) []members.Record {
	out := make([]members.Record, n)
	for i := range out {
		id := fmt.Sprintf("host-%03d", i)
		out[i] = members.Record{Host: model.HostID(id), Zone: model.ZoneID(fmt.Sprintf("z%d", i%zones)), Control: id + ":1", Incarnation: 1}
	}
	return out
}

// linkGraph returns each host's links in both directions.
func linkGraph(live []members.Record) map[model.HostID]map[model.HostID]bool {
	g := map[model.HostID]map[model.HostID]bool{}
	for _, r := range live {
		g[r.Host] = map[model.HostID]bool{}
	}
	for _, r := range live {
		for _, p := range Peers(r.Host, live) {
			g[r.Host][p.Host] = true
			g[p.Host][r.Host] = true
		}
	}
	return g
}

// longestPath returns the most hops from a host to any other, -1 when one is not reached.
func longestPath(g map[model.HostID]map[model.HostID]bool, from model.HostID) int {
	hops := map[model.HostID]int{from: 0}
	longest := 0
	for queue := []model.HostID{from}; len(queue) > 0; queue = queue[1:] {
		for next := range g[queue[0]] {
			if _, seen := hops[next]; !seen {
				hops[next] = hops[queue[0]] + 1
				longest = max(longest, hops[next])
				queue = append(queue, next)
			}
		}
	}
	if len(hops) != len(g) {
		return -1
	}
	return longest
}

func TestOverlayIsConnectedWithBoundedDegreeAndFewHops(t *testing.T) {
	for _, n := range []int{2, 3, 8, 40, 128, 390} {
		live := fleetOf(n, 7)
		g := linkGraph(live)
		for id, links := range g {
			if len(links) > MaxPeers {
				t.Errorf("%d hosts: %s has %d links", n, id, len(links))
			}
		}
		if hops := longestPath(g, live[0].Host); hops < 0 || hops > 4 {
			t.Errorf("%d hosts: longest path %d", n, hops)
		}
	}
}

func TestEveryHostIsWatchedByTwoOthersAndZonesAreLinkedTwice(t *testing.T) {
	live := fleetOf(56, 7)
	watchers := map[model.HostID]int{}
	zone := map[model.HostID]model.ZoneID{}
	for _, r := range live {
		zone[r.Host] = r.Zone
	}
	links := map[[2]model.ZoneID]int{}
	for _, r := range live {
		for _, p := range Peers(r.Host, live) {
			watchers[p.Host]++
			links[[2]model.ZoneID{r.Zone, zone[p.Host]}]++
		}
	}
	for _, r := range live {
		if watchers[r.Host] < ringLinks {
			t.Errorf("%s is watched by %d", r.Host, watchers[r.Host])
		}
	}
	for _, a := range live[:7] {
		for _, b := range live[:7] {
			if a.Zone != b.Zone && links[[2]model.ZoneID{a.Zone, b.Zone}] < 2 {
				t.Errorf("%d links from %s to %s", links[[2]model.ZoneID{a.Zone, b.Zone}], a.Zone, b.Zone)
			}
		}
	}
}

func TestOneHostLessChangesFewLinks(t *testing.T) {
	live := fleetOf(128, 7)
	changed := 0
	for _, r := range live[1:] {
		before := map[model.HostID]bool{}
		for _, p := range Peers(r.Host, live) {
			before[p.Host] = true
		}
		for _, p := range Peers(r.Host, live[1:]) {
			if !before[p.Host] {
				changed++
			}
		}
	}
	if limit := 2 * MaxPeers; changed > limit {
		t.Fatalf("%d links changed, limit %d", changed, limit)
	}
}
