package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// largeBody is the length of a large request body, below the max_body_bytes of 33,554,432 that the
	// configuration sets. largeSenders consumers send one each, in parts of largePart every largePause.
	largeBody    = 30 << 20
	largeSenders = 8
	largePart    = 64 << 10
	largePause   = 10 * time.Millisecond
	// usualBody is the length of a body in the comparison without trouble.
	usualBody = 600
	// keptConnections is the number of kept connections with short requests to the same host, and
	// allowedLost how many of them may end without an answer to a request that was passed on.
	keptConnections = 12
	allowedLost     = 3
)

// memoryOf returns the resident memory of a process in MiB, zero if it has ended.
func memoryOf(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// limitMemory kills a host's process once it uses more than its memory, as the platform does.
func limitMemory(rec *record, h *host, end <-chan struct{}) (killed bool) {
	most := 0
	defer func() { rec.add("platform: largest memory of", h.name+":", strconv.Itoa(most), "MiB") }()
	for {
		select {
		case <-end:
			return false
		case <-h.exited:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		m := memoryOf(h.cmd.Process.Pid)
		if most = max(most, m); m > hostMemoryMiB {
			rec.add("platform:", h.name, "uses", strconv.Itoa(m), "MiB of", strconv.Itoa(hostMemoryMiB), "and is killed")
			_ = h.cmd.Process.Kill()
			<-h.exited
			return true
		}
	}
}

// largeBodies lets eight consumers send a large body each to one of three hosts, while others use kept
// connections to it for short requests. It checks that the host stays within its memory, and that no more
// than three requests are passed on whose kept connections then end without an answer.
func largeBodies(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(3, rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure([]route{{name: "orders", path: ordersPath, kind: "unsafe", service: "order-desk", timeout: 10 * time.Second, attempts: 2}})
	for i := range 3 {
		s, err := startServer(fmt.Sprintf("i-%d", i+1), "order-desk", zoneOf(i), 20, 300*time.Millisecond, rec)
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
	h := f.hosts[1]
	end := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	killed := false
	running.Go(func() { killed = limitMemory(rec, h, end) })
	for range keptConnections {
		running.Go(func() {
			if id := orderUntilClosed(rec, h, end); id != "" {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, id)
			}
		})
	}
	time.Sleep(4 * time.Second)
	size := usualBody
	if trouble {
		size = largeBody
	}
	for range largeSenders {
		running.Go(func() { sendLarge(rec, h, size) })
	}
	time.Sleep(10 * time.Second)
	close(end)
	running.Wait()
	rec.add("requests that were passed on and whose kept connections ended without an answer:", strconv.Itoa(len(lost)))
	for _, id := range lost {
		rec.add("  ", id, "ran at", fmt.Sprint(rec.ranAt(id)))
	}
	return killed && len(lost) > allowedLost, nil
}

// sendLarge makes one consumer attempt with a body of the given length.
func sendLarge(rec *record, h *host, size int) {
	c, err := net.DialTimeout("tcp4", h.callers, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	id := newID("l")
	rec.add("consumer begins to send", strconv.Itoa(size), "bytes as", id)
	if _, err := fmt.Fprintf(c, "POST %snew HTTP/1.1\r\nHost: %s\r\nOleanderfall-Request-Id: %s\r\nOleanderfall-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n",
		ordersPath, routeHost, id, size); err != nil {
		return
	}
	part := make([]byte, largePart)
	for sent := 0; sent < size; sent += len(part) {
		part = part[:min(len(part), size-sent)]
		if _, err := c.Write(part); err != nil {
			rec.add("consumer can't send", id, "whole:", err.Error())
			return
		}
		time.Sleep(largePause)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		rec.add("consumer's connection ended without an answer to", id+":", err.Error())
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	rec.add("consumer gets", strconv.Itoa(resp.StatusCode), "for", id)
}

// orderUntilClosed sends one request after the other on a kept connection. It returns the id of a request
// that had begun to run when the connection ended without an answer.
func orderUntilClosed(rec *record, h *host, end <-chan struct{}) string {
	c, err := net.DialTimeout("tcp4", h.callers, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		select {
		case <-end:
			return ""
		default:
		}
		r := request{id: newID("o"), path: ordersPath + "new", body: "flour", budget: 10 * time.Second}
		a, keep := send(c, in, r)
		if a.err != nil {
			rec.add("consumer's connection ended without an answer to", r.id+":", a.err.Error())
			if len(rec.ranAt(r.id)) > 0 && !a.timedOut() {
				return r.id
			}
			return ""
		}
		rec.add("consumer gets", strconv.Itoa(a.status), "for", r.id)
		if !keep {
			return ""
		}
	}
}
