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

// linkGraph returns the undirected graph of all hosts' links.
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

// eccentricity returns the largest hop count from a host to any other, or -1 if a host is
// unreachable.
func eccentricity(g map[model.HostID]map[model.HostID]bool, from model.HostID) int {
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

// The overlay must be connected, with at most MaxLinks links per host and at most 4 hops
// between hosts, for fleets from 2 to 390 hosts.
func TestPeers_ConnectedWithBoundedDegree(t *testing.T) {
	for _, n := range []int{2, 3, 8, 40, 128, 390} {
		live := fleetOf(n, 7)
		g := linkGraph(live)
		for id, links := range g {
			if len(links) > MaxLinks {
				t.Errorf("%d hosts: %s has %d links", n, id, len(links))
			}
		}
		if hops := eccentricity(g, live[0].Host); hops < 0 || hops > 4 {
			t.Errorf("%d hosts: eccentricity of the first host is %d", n, hops)
		}
	}
}

// Every host must be monitored by at least two others, and each pair of zones must have at
// least two links in each direction, so that the failure of one host leaves no
// host unmonitored and no zone disconnected.
func TestPeers_MonitorsAndZoneLinks(t *testing.T) {
	live := fleetOf(56, 7)
	monitors := map[model.HostID]int{}
	zone := map[model.HostID]model.ZoneID{}
	for _, r := range live {
		zone[r.Host] = r.Zone
	}
	links := map[[2]model.ZoneID]int{}
	for _, r := range live {
		for _, p := range Peers(r.Host, live) {
			monitors[p.Host]++
			links[[2]model.ZoneID{r.Zone, zone[p.Host]}]++
		}
	}
	for _, r := range live {
		if monitors[r.Host] < ringLinks {
			t.Errorf("%s is monitored by %d hosts", r.Host, monitors[r.Host])
		}
	}
	for _, a := range live[:7] {
		for _, b := range live[:7] {
			if a.Zone != b.Zone && links[[2]model.ZoneID{a.Zone, b.Zone}] < 2 {
				t.Errorf("%d links from zone %s to zone %s", links[[2]model.ZoneID{a.Zone, b.Zone}], a.Zone, b.Zone)
			}
		}
	}
}

// Removing one host must change only a few links in the fleet.
func TestPeers_HostRemoved(t *testing.T) {
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
	if limit := 2 * MaxLinks; changed > limit {
		t.Fatalf("%d links changed, limit %d", changed, limit)
	}
}
