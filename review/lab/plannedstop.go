package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

const (
	// stopWork is the time that a server takes for a request, stopTimeout the route's timeout and
	// stopBudget the consumer's time budget.
	stopWork    = 4 * time.Second
	stopTimeout = 10 * time.Second
	stopBudget  = 10 * time.Second
	// excusedUntil is how long after a SIGTERM a request may be sent for which the rule excuses a
	// server that is still at work in the last sixth of the grace period.
	excusedUntil = 3 * time.Second
	// stopConsumers is the number of consumers, and stopInterval the pause between two requests of one.
	stopConsumers = 60
	stopInterval  = time.Second
)

// plannedStop stops one of three hosts with SIGTERM, while consumers send requests that take 4 s. Half of
// the consumers keep the directory's answer three times as long as its ttl_s. It checks the rule LOST
// around planned work for the requests that the stopped host had passed on to a server.
func plannedStop(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(3, rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure([]route{{name: "orders", path: ordersPath, kind: "unsafe", service: "order-desk", timeout: stopTimeout, attempts: 2}})
	for i := range 3 {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), "order-desk", zoneOf(i), 100, stopWork, rec)
		if err != nil {
			return false, err
		}
		s.register(f.store)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.waitReady(ordersPath+"probe", 30*time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var lost []string
	end := make(chan struct{})
	var running sync.WaitGroup
	for i := range stopConsumers {
		keep := addressTTL
		if i%2 == 1 {
			keep *= 3
		}
		res := &resolver{fleet: f, zone: zoneOf(i), keep: keep}
		running.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond) // so that the directory is asked at different times
			for {
				select {
				case <-end:
					return
				case <-time.After(stopInterval):
				}
				addresses := res.get()
				if len(addresses) == 0 {
					continue
				}
				h := f.hostAt(addresses[rand.IntN(len(addresses))])
				running.Go(func() {
					if l := orderAt(rec, h); l != "" {
						mu.Lock()
						defer mu.Unlock()
						lost = append(lost, l)
					}
				})
			}
		})
	}
	time.Sleep(8 * time.Second)
	if trouble {
		f.hosts[1].terminate()
	}
	time.Sleep(9 * time.Second)
	close(end)
	running.Wait()
	rec.add("lost after they were passed on:", strconv.Itoa(len(lost)))
	for _, l := range lost {
		rec.add("  ", l)
	}
	return len(lost) > 0, nil
}

// orderAt makes one consumer attempt on a new connection. It returns a text if the rule is broken.
func orderAt(rec *record, h *host) string {
	c, err := net.DialTimeout("tcp4", h.callers, time.Second)
	if err != nil {
		rec.add("consumer could not connect to", h.name)
		return ""
	}
	defer func() { _ = c.Close() }()
	r := request{id: newID("r"), path: ordersPath + "new", body: "crate", budget: stopBudget}
	rec.add("consumer sends", r.id, "to", h.name)
	sentAt := time.Now()
	a, _ := send(c, bufio.NewReader(c), r)
	if a.err == nil {
		rec.add("consumer gets", strconv.Itoa(a.status), "for", r.id, "from", h.name)
		return ""
	}
	rec.add("consumer's connection ended without an answer to", r.id, "from", h.name+":", a.err.Error())
	ran := rec.ranAt(r.id)
	stoppedAt, stopped := h.stoppedAt()
	if !stopped || sentAt.Sub(stoppedAt) < excusedUntil || len(ran) == 0 || a.timedOut() {
		return ""
	}
	return fmt.Sprintf("%s was sent %.2f s after the SIGTERM of %s, ran at %v, and its connection ended %.2f s after the SIGTERM without an answer",
		r.id, sentAt.Sub(stoppedAt).Seconds(), h.name, ran, time.Since(stoppedAt).Seconds())
}
