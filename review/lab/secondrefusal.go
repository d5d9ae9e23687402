package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// copyShare is the share of the server's answers of which it sends a second copy, copyFor how long
	// that lasts, copyPause the time to the next occurrence, and copyTimes the number of occurrences.
	copyShare = 0.03
	copyFor   = 5 * time.Second
	copyPause = time.Second
	copyTimes = 16
	// orderSlots and orderWork are those of the server. With orderConsumers it is full at times, as the
	// hosts know each other's load only with a delay.
	orderSlots     = 2
	orderWork      = 60 * time.Millisecond
	orderConsumers = 6
	orderMaxPause  = 150 * time.Millisecond
)

// secondRefusal lets the server of a service send some of its answers a second time, where the next answer on
// the connection is expected. It checks that no unsafe request runs twice, and that none that was
// refused has run.
func secondRefusal(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(3, rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure([]route{{name: "orders", path: ordersPath, kind: "unsafe", service: "order-desk", timeout: 2 * time.Second, attempts: 4}})
	var faulty atomic.Bool
	s, err := startServer("i-1", "order-desk", zoneOf(0), orderSlots, orderWork, rec)
	if err != nil {
		return false, err
	}
	s.copies = func() bool { return faulty.Load() && rand.Float64() < copyShare }
	s.register(f.store)
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.waitReady(ordersPath+"probe", 30*time.Second); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var mu sync.Mutex
	status := map[string]int{}
	var consumers sync.WaitGroup
	for i := range orderConsumers {
		consumers.Go(func() { orderAgain(rec, f.hosts[i%len(f.hosts)], end, &mu, status) })
	}
	for range copyTimes {
		faulty.Store(trouble)
		time.Sleep(copyFor)
		faulty.Store(false)
		time.Sleep(copyPause)
	}
	close(end)
	consumers.Wait()
	time.Sleep(time.Second) // a request that runs later would run by now
	var wrong []string
	counts := map[int]int{}
	for id, st := range status {
		counts[st]++
		ran := rec.ranAt(id)
		if len(ran) > 1 {
			wrong = append(wrong, fmt.Sprintf("TWICE: %s ran at %v", id, ran))
		}
		if len(ran) > 0 && (st == http.StatusServiceUnavailable || st == http.StatusTooManyRequests) {
			wrong = append(wrong, fmt.Sprintf("REFUSED: %s was answered %d and ran at %v", id, st, ran))
		}
	}
	rec.add("answers by status:", fmt.Sprint(counts))
	rec.add("requests for which a rule was broken:", strconv.Itoa(len(wrong)))
	for _, w := range wrong {
		rec.add("  ", w)
	}
	return len(wrong) > 0, nil
}

// orderAgain makes one consumer attempt after the other on a kept connection until end is closed.
func orderAgain(rec *record, h *host, end <-chan struct{}, mu *sync.Mutex, status map[string]int) {
	var c net.Conn
	var in *bufio.Reader
	for {
		select {
		case <-end:
			return
		case <-time.After(rand.N(orderMaxPause)):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", h.callers, time.Second); err != nil {
				rec.add("consumer could not connect to", h.name)
				return
			}
			in = bufio.NewReader(c)
		}
		r := request{id: newID("o"), path: ordersPath + "new", body: "crate", budget: 2 * time.Second}
		a, keep := send(c, in, r)
		rec.add("consumer gets", strconv.Itoa(a.status), "for", r.id, "from", h.name)
		mu.Lock()
		status[r.id] = a.status
		mu.Unlock()
		if !keep {
			_ = c.Close()
			c = nil
		}
	}
}
