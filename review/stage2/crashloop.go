//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// loopServers is the number of servers of the streaming service. loopCount of them, which is a share of 0.22, crash
	// every loopGap and are down for loopDown.
	loopServers = 9
	loopCount   = 2
	loopCrashes = 26
	loopDown    = 2500 * time.Millisecond
	loopGap     = 2600 * time.Millisecond
	// loopClients is the number of clients that hold a stream at each host, loopEvents the length of a stream.
	loopClients = 30
	loopEvents  = 75
	// stepItems and stepEvents are the size of the step that is submitted after that, stepTime the time that its trainer
	// allows. A trainer names a version every stepInterval.
	stepItems    = 48
	stepEvents   = 20
	stepTime     = 12 * time.Second
	stepInterval = 4 * time.Second
	// idleTime is the time for which no item may be at no server while servers are under half full.
	idleTime = 5 * time.Second
)

// crashLoopCase: servers of a streaming service crash again and again while clients hold streams at them. After that,
// a trainer goes on with a step at another service, whose servers are sound and have room.
func crashLoopCase(w *world, trouble bool) (verdict, error) {
	w.store.put("config", "main", baseConfig(1))
	w.addHosts(3)
	for i := range loopServers {
		s := &server{id: fmt.Sprintf("c-%d", i+1), service: "chat", zone: w.hosts[i%3].zone, slots: 8, gap: eventGap, events: eventsInPath}
		if err := w.addServer(s); err != nil {
			return verdict{}, err
		}
	}
	chat := w.servers
	var engines []*server
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "models", zone: w.hosts[i].zone, slots: 4, gap: eventGap,
			models: map[string]int{modelA: 1}, events: eventsInPath}
		engines = append(engines, s)
		if err := w.addServer(s); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startHosts(); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	client := newClient()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all sync.WaitGroup
	for i, h := range w.hosts {
		for j := range loopClients {
			all.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					w.openStream(ctx, client, h, fmt.Sprintf("s-%d-%d-%d", i, j, n), loopEvents, 12*time.Second)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	for range loopCrashes {
		if trouble {
			for _, k := range rand.Perm(loopServers)[:loopCount] {
				if !chat[k].isDown() {
					chat[k].crashFor(loopDown)
				}
			}
		}
		time.Sleep(loopGap)
	}
	stop()
	all.Wait()
	w.log.addf("the servers crash no more")
	time.Sleep(stability + time.Second)
	w.nameVersion(modelA, 2)
	time.Sleep(stepInterval)
	w.nameVersion(modelA, 3)
	const id = "b1"
	submitted := time.Now()
	status := 0
	for i := 0; status != http.StatusAccepted && i < 4; i++ {
		status, _ = w.call(client, w.hosts[i%3], http.MethodPost, "/roll/"+id, id, newBatch(id, 2, stepItems, 600, stepEvents))
	}
	if status != http.StatusAccepted {
		return verdict{}, fmt.Errorf("%w: submission answered %d", errCannotRun, status)
	}
	busiest, listed := 0, 0
	for n := 0; time.Since(submitted) < stepTime; n++ {
		time.Sleep(100 * time.Millisecond)
		if time.Since(submitted) > stepTime-idleTime {
			busiest = max(busiest, running(engines))
		}
		if n%5 == 0 && listed < stepItems {
			listed = w.readResults(client, w.hosts[rand.IntN(3)], id, listed)
		}
	}
	began, waiting := begun(engines, id), 0
	for i := range stepItems {
		if _, ok := began[itemID(id, i)]; !ok {
			waiting++
		}
	}
	loads := 0
	for _, s := range engines {
		for _, o := range s.orderLog() {
			if o.Status == http.StatusAccepted {
				loads++
			}
		}
	}
	slots := len(engines) * engines[0].slots
	text := fmt.Sprintf("at the end of the step's time %d of %d items were listed, %d had never been at a server; in the last %d ms at most %d of %d slots were taken; the servers got %d loads of two named versions",
		listed, stepItems, waiting, idleTime.Milliseconds(), busiest, slots, loads)
	return verdict{waiting > 0 && len(began) > 0 && 2*busiest < slots, text}, nil
}

// running returns the number of requests that servers run.
func running(servers []*server) (n int) {
	for _, s := range servers {
		n += len(s.slot)
	}
	return n
}

// begun returns when the last run of each item of a batch began.
func begun(servers []*server, id string) map[string]time.Time {
	out := map[string]time.Time{}
	for _, s := range servers {
		for _, a := range s.runs() {
			if strings.HasPrefix(a.ID, id) && a.At.After(out[a.ID]) {
				out[a.ID] = a.At
			}
		}
	}
	return out
}

// readResults reads the results of a batch from a position on and returns the next position.
func (w *world) readResults(c *http.Client, h *host, id string, after int) int {
	status, raw := w.call(c, h, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", id, after), "", nil)
	page := struct {
		Next int `json:"next"`
	}{after}
	if status != http.StatusOK || json.Unmarshal(raw, &page) != nil {
		return after
	}
	return page.Next
}
