package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// configBound is config_apply_ms of the settings.
	configBound = 2 * time.Second
	// staleAge is how old the answers to stale reads of the configuration are.
	staleAge = 3 * time.Second
	// darkFor is how long a host is without power.
	darkFor = 3500 * time.Millisecond
)

// configuration: a route moves to another service; the host that reads the store for the others loses power.
func configuration(t *trial) (int, error) {
	f, err := newFleet(t.root, 4, 0, false)
	if err != nil {
		return failed, err
	}
	defer f.close()
	for _, service := range []string{"old", "new"} {
		for i := range 2 {
			s := &server{id: fmt.Sprintf("i-%s%d", service, i), service: service, work: 5 * time.Millisecond, body: []byte(service)}
			if err := f.addServer(s); err != nil {
				return failed, err
			}
		}
	}
	target, version := "old", 1
	write := func() time.Time {
		return f.configure(version, []map[string]any{{"name": "r-1", "host": routeHost, "path_prefix": "/moved/", "kind": "safe", "timeout_ms": 2000,
			"target_latency_ms": 400, "priority": 2, "service": target, "max_attempts": 2}},
			[]map[string]any{{"name": "old", "health_path": "/health", "connection_limit": 110}, {"name": "new", "health_path": "/health", "connection_limit": 110}})
	}
	write()
	f.store.lag["config"] = staleAge
	reads := make(chan storeCall, 1024)
	f.store.seen = func(c storeCall) {
		if c.kind == "config" && c.method == http.MethodGet {
			t.record.add("%s reads config/main, stale %v", c.host, c.stale)
			select {
			case reads <- c:
			default:
			}
		}
	}
	if err := f.startAll(); err != nil {
		return failed, err
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	var confirmed time.Time // of the version in force
	from := ""              // the service that it left
	var late, moved, all atomic.Int64
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i, h := range f.hosts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(20 * time.Millisecond):
				}
				mu.Lock()
				since, left := confirmed, from
				mu.Unlock()
				sent := time.Now()
				touch := h.inTouch(sent)
				id := fmt.Sprintf("%02x%014x", i, n)
				status, body, err := call(h.front, http.MethodPost, fmt.Sprintf("/moved/%d", n), id, 2*time.Second, nil, nil)
				if err != nil || status != http.StatusOK {
					t.record.add("%s at %s: status %d, %v", id, h.name, status, err)
					continue
				}
				all.Add(1)
				touch = touch && h.inTouch(time.Now())
				if left == "" || string(body) != left {
					moved.Add(1)
					continue
				}
				if after := sent.Sub(since); touch && after > configBound {
					late.Add(1)
					t.record.add("%s sent to %s, which is in touch, %d ms after the confirmation, was run by the old service %q", id, h.name, after.Milliseconds(), left)
				}
			}
		}()
	}
	for round := range 5 {
		reader := ""
		for len(reads) > 0 {
			<-reads
		}
		for c := range reads {
			if !c.stale {
				reader = c.host
				break
			}
		}
		time.Sleep(20 * time.Millisecond) // the read has been answered
		mu.Lock()
		from = target
		if target = "new"; from == "new" {
			target = "old"
		}
		version += 3
		confirmed = write()
		t.record.say("round %d: version %d moves the route from %q to %q; %s has just read the configuration", round, version, from, target, reader)
		mu.Unlock()
		if t.trouble {
			for n := 0; n < 2; {
				if c := <-reads; c.host == reader && c.stale {
					n++
				}
			}
			time.Sleep(330 * time.Millisecond) // a heartbeat has told the others of this read
			for _, h := range f.hosts {
				if h.name != reader {
					continue
				}
				h.signal(syscall.SIGKILL)
				h.wait()
				t.record.say("%s loses power %d ms after the confirmation", h.name, time.Since(confirmed).Milliseconds())
				time.Sleep(darkFor)
				if err := f.start(h); err != nil {
					return failed, err
				}
				t.record.say("%s is back", h.name)
			}
		}
		time.Sleep(6 * time.Second)
	}
	close(end)
	clients.Wait()
	t.record.say("%d requests answered, %d of them as the newest version says; run by the old service later than %d ms, at machines in touch: %d",
		all.Load(), moved.Load(), configBound.Milliseconds(), late.Load())
	if moved.Load() == 0 || strings.TrimSpace(target) == "" {
		return failed, fmt.Errorf("no request was run by the new service")
	}
	if late.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
