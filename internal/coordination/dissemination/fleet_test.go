package dissemination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/membership"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// spreadSteps spreads one drain over a fleet whose hosts flush every step, with a part
// of the messages lost, and returns the steps until every host has it.
func spreadSteps(t *testing.T, hosts, lossPercent, limit int) int {
	const step = 50 * time.Millisecond
	random := rand.New(rand.NewPCG(1, uint64(hosts)))
	var live []members.Record
	for i := range hosts {
		live = append(live, members.Record{Host: model.HostID(fmt.Sprintf("host-%d", i)), Zone: model.ZoneID(fmt.Sprint(i % 7))})
	}
	links, queues := map[model.HostID]map[model.HostID]bool{}, map[model.HostID]*Queue{}
	for _, r := range live {
		links[r.Host], queues[r.Host] = map[model.HostID]bool{}, NewQueue()
	}
	for _, r := range live {
		for _, p := range membership.Peers(r.Host, live) {
			links[r.Host][p.Host], links[p.Host][r.Host] = true, true
		}
	}
	now := start
	has := map[model.HostID]bool{live[0].Host: true}
	queues[live[0].Host].AddItem(now, drainItem("e1", 1), "")
	for steps := 1; steps <= limit; steps++ {
		now = now.Add(step)
		var arrived [][2]model.HostID
		for _, r := range live {
			for _, to := range live {
				if !links[r.Host][to.Host] || queues[r.Host].Urgent(now, to.Host).Empty() || random.IntN(100) < lossPercent {
					continue
				}
				arrived = append(arrived, [2]model.HostID{r.Host, to.Host})
			}
		}
		for _, a := range arrived {
			if !has[a[1]] {
				has[a[1]] = true
				queues[a[1]].AddItem(now, drainItem("e1", 1), a[0])
			}
		}
		if len(has) == hosts {
			return steps
		}
	}
	t.Fatalf("%d of %d hosts after %d steps", len(has), hosts, limit)
	return 0
}

// A host hands news on within 50 ms of its arrival; the rest of the 3 s a drain has is
// for the evidence and the way to the data-path programs.
func TestADrainCrosses390HostsInLessThanTwoSecondsOfSteps(t *testing.T) {
	const limit = 40
	for _, loss := range []int{0, 10, 30} {
		t.Logf("%d %% lost: %d steps of 50 ms", loss, spreadSteps(t, 390, loss, limit))
	}
}

func TestHintsReachMostHostsWithinTheBudget(t *testing.T) {
	const hosts = 100
	random := rand.New(rand.NewPCG(2, 2))
	queues := make([]*Queue, hosts)
	has := make([]bool, hosts)
	for i := range queues {
		queues[i] = NewQueue()
	}
	has[0] = true
	queues[0].AddItem(start, loadItem("e1"), "")
	id := func(i int) model.HostID { return model.HostID(fmt.Sprint(i)) }
	for second := range 10 {
		now := start.Add(time.Duration(second) * time.Second)
		for from := range hosts {
			for range 14 {
				to := random.IntN(hosts)
				for _, i := range queues[from].Heartbeat(now, id(to)).Items {
					if !has[to] {
						has[to] = true
						queues[to].AddItem(now, items.Item{Kind: i.Kind, Key: i.Key, Version: i.Version, Load: i.Load}, id(from))
					}
				}
			}
		}
	}
	reached := 0
	for _, h := range has {
		if h {
			reached++
		}
	}
	if reached < hosts*8/10 {
		t.Fatalf("%d of %d hosts reached", reached, hosts)
	}
}
