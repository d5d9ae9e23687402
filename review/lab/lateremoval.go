package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// outageFor is how long the store gives no answer. After stabilityWindow without disturbance it is
	// stable and the hosts are in touch; removalAfter follows at once.
	outageFor       = 4500 * time.Millisecond
	stabilityWindow = 3 * time.Second
	removalAfter    = stabilityWindow + 20*time.Millisecond
	// drainTime is drain_ms. A server that leaves serves for drainTime after its entry was removed and for
	// servesOn more, and then exits.
	drainTime = 2 * time.Second
	servesOn  = 800 * time.Millisecond
	// outages is the number of outages, in each of which another server leaves, and calmFor the time
	// before each.
	outages = 8
	calmFor = 1500 * time.Millisecond
)

// lateRemoval lets the store give no answer for some seconds. Once it is stable again, a server leaves: its
// entry is removed, another server has taken its place before. It checks that no request reaches the
// server later than drain_ms after that.
func lateRemoval(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(2, rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure([]route{{name: "orders", path: ordersPath, kind: "unsafe", service: "order-desk", timeout: 2 * time.Second, attempts: 2}})
	var servers []*server
	add := func() error {
		n := len(servers)
		s, err := startServer(fmt.Sprintf("i-%d", n+1), "order-desk", zoneOf(n), 20, 60*time.Millisecond, rec)
		if err == nil {
			s.register(f.store)
			servers = append(servers, s)
		}
		return err
	}
	for range 3 {
		if err := add(); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.waitReady(ordersPath+"probe", 30*time.Second); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var consumers sync.WaitGroup
	for i := range 8 {
		consumers.Go(func() { orderSteadily(rec, f.hosts[i%len(f.hosts)], end) })
	}
	time.Sleep(3 * time.Second)
	late := 0
	for n := range outages {
		if err := add(); err != nil {
			return false, err
		}
		time.Sleep(calmFor)
		if trouble {
			rec.add("store gives no answer")
			f.store.silence(true)
		}
		time.Sleep(outageFor)
		f.store.silence(false)
		rec.add("store answers")
		time.Sleep(removalAfter)
		late += leaveAndCount(rec, f.store, servers[n])
	}
	close(end)
	consumers.Wait()
	rec.add("requests that reached servers later than", drainTime.String(), "after their removal:", strconv.Itoa(late))
	return late > 0, nil
}

// leaveAndCount removes a server's entry, lets the server exit some time later, and returns the number of
// requests that it began to run later than drainTime after the removal.
func leaveAndCount(rec *record, st *store, s *server) int {
	s.leave(st)
	removedAt := time.Now()
	rec.add("server", s.id, "leaves, its entry is removed")
	time.Sleep(drainTime + servesOn)
	s.exit()
	rec.add("server", s.id, "exits")
	late := rec.ranAfter(s.id, removedAt.Add(drainTime))
	for id, at := range late {
		rec.add("  ", id, "reached", s.id, at.Sub(removedAt).Round(time.Millisecond).String(), "after its removal")
	}
	return len(late)
}

// orderSteadily sends about ten requests a second on a kept connection until end is closed.
func orderSteadily(rec *record, h *host, end <-chan struct{}) {
	c, err := net.DialTimeout("tcp4", h.callers, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		select {
		case <-end:
			return
		case <-time.After(80 * time.Millisecond):
		}
		r := request{id: newID("o"), path: ordersPath + "new", body: "crate", budget: 2 * time.Second}
		a, keep := send(c, in, r)
		if a.status != http.StatusOK {
			rec.add("consumer gets", strconv.Itoa(a.status), "for", r.id)
		}
		if !keep {
			return
		}
	}
}
