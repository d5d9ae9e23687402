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

// stepsToReachAll disseminates one drain in a fleet whose hosts send urgent updates every
// step of 50 ms, with lossPercent of the messages lost. It returns the number of steps
// until every host has the drain and fails the test after limit steps.
func stepsToReachAll(t *testing.T, hosts, lossPercent, limit int) int {
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
	now := testStart
	has := map[model.HostID]bool{live[0].Host: true}
	queues[live[0].Host].AddItem(now, drainItem("e1", 1), "")
	for steps := 1; steps <= limit; steps++ {
		now = now.Add(step)
		var arrived [][2]model.HostID
		for _, r := range live {
			for _, to := range live {
				if !links[r.Host][to.Host] || queues[r.Host].TakeUrgent(now, to.Host).Empty() || random.IntN(100) < lossPercent {
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
	t.Fatalf("drain reached %d of %d hosts after %d steps", len(has), hosts, limit)
	return 0
}

// A drain must reach all 390 hosts within 2 s. A drain has 3 s in total to take effect; the
// rest is for detecting the cause and for the delivery to the data-path programs. Hosts
// forward urgent updates within 50 ms of receiving them.
func TestQueue_Drain390Hosts(t *testing.T) {
	const limit = 40
	for _, loss := range []int{0, 10, 30} {
		t.Logf("%d %% message loss: %d steps of 50 ms", loss, stepsToReachAll(t, 390, loss, limit))
	}
}

// Hints are sent to hintFanout hosts only. They must still reach at least 80 % of 100 hosts
// within 10 s.
func TestQueue_Hints100Hosts(t *testing.T) {
	const hosts = 100
	random := rand.New(rand.NewPCG(2, 2))
	queues := make([]*Queue, hosts)
	has := make([]bool, hosts)
	for i := range queues {
		queues[i] = NewQueue()
	}
	has[0] = true
	queues[0].AddItem(testStart, loadItem("e1"), "")
	id := func(i int) model.HostID { return model.HostID(fmt.Sprint(i)) }
	for second := range 10 {
		now := testStart.Add(time.Duration(second) * time.Second)
		for from := range hosts {
			for range 14 {
				to := random.IntN(hosts)
				for _, i := range queues[from].TakeForHeartbeat(now, id(to)).Items {
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
		t.Fatalf("hint reached %d of %d hosts", reached, hosts)
	}
}
