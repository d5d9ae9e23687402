package front

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// startLarge starts hosts in two zones that use hubs, as a large fleet does, and waits until
// they know each other.
func (w *testCluster) startLarge(count int) []*testNode {
	w.t.Helper()
	var out []*testNode
	for i := range count {
		s := w.settings(fmt.Sprintf("h%02d", i))
		s.FullMeshHosts, s.Zone = 1, string(rune('a'+i%2))
		s.Seeds = s.Seeds[:min(1, len(s.Seeds))]
		if len(out) > 0 {
			s.Seeds = []string{out[0].Settings.PeerAddress}
		}
		out = append(out, w.startWith(s))
	}
	w.waitUntil("all hosts know each other and the configuration", func() bool {
		for _, n := range out {
			if n.peers.Count() != count-1 || !n.Ready() || len(n.feed.State(0).Endpoints) != 4 {
				return false
			}
		}
		return true
	})
	// Hosts elect hubs at their next tick.
	w.waitUntil("two hubs are elected in each zone", func() bool {
		hubs, _ := roles(out)
		return len(hubs) == 4
	})
	return out
}

func roles(nodes []*testNode) (hubs, others []*testNode) {
	for _, n := range nodes {
		if n.peers.IsHub() {
			hubs = append(hubs, n)
		} else {
			others = append(others, n)
		}
	}
	return hubs, others
}

// In a large fleet most hosts exchange heartbeats with two hubs only. They must still know the
// configuration, the loads of all hosts and every change, and serve a batch from submission to
// its results.
func TestLargeFleet_ServesThroughHubs(t *testing.T) {
	w := newTestCluster(t)
	nodes := w.startLarge(10)
	_, others := roles(nodes)
	w.configure(2)
	w.waitUntil("all hosts have the second configuration", func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return n.Catalog.Generation() != 2 })
	})
	endpoint := catalog.Endpoint{}
	others[0].Forwarder.fleet.WithTable(func(table *placement.Table) { endpoint, _ = table.Get("p0") })
	others[0].Forwarder.fleet.WithTable(func(table *placement.Table) {
		for range 3 {
			table.Begin(time.Now(), endpoint)
		}
	})
	w.waitUntil("every host counts the three requests at p0 once", func() bool {
		for _, n := range nodes {
			load := 0
			n.Forwarder.fleet.WithTable(func(table *placement.Table) { load = table.InFlight("p0") })
			if load != 3 {
				return false
			}
		}
		return true
	})
	id := submit(t, others[1], 6, 8)
	if owner, _ := w.owner(id); !owner.peers.IsHub() {
		t.Errorf("the batch is run by %s, which is no hub", owner.Settings.Host)
	}
	w.checkResults(batch(id, 6, 8), w.readAll(others[2], id))
}

// The hub that runs the batches is killed. Its hosts use another hub, the batch continues
// elsewhere, and the address answers no longer name it.
func TestLargeFleet_HubKilled(t *testing.T) {
	w := newTestCluster(t)
	nodes := w.startLarge(10)
	_, others := roles(nodes)
	w.engines.mu.Lock()
	w.engines.eventInterval *= 10
	w.engines.mu.Unlock()
	id := submit(t, others[0], 8, 40)
	owner, _ := w.owner(id)
	w.waitUntil("samples run", func() bool { return w.engines.generating.Load() > 0 })
	w.kill(owner)
	w.checkResults(batch(id, 8, 40), w.readAll(others[3], id))
	w.waitUntil("no host names the killed one", func() bool {
		for _, n := range others {
			if slices.Contains(n.Addresses("a"), owner.Settings.CallerAddress) {
				return false
			}
		}
		return true
	})
}
