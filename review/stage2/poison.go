//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonHosts = 8
	// crashTime is the time for which a crashed server is down.
	crashTime = 2 * time.Second
	// poisonInterval is the time after which the request comes again.
	poisonInterval = 3200 * time.Millisecond
	// maxRetries is the number of retries that may reach servers from stability after the third crash on.
	maxRetries = 3
)

// poisonCase: a request that may run only once crashes each server that begins to run it, and comes again at another
// host each time. From stability after the third crash on, at most maxRetries of its retries may reach servers.
func poisonCase(w *world, trouble bool) (verdict, error) {
	config := baseConfig(1)
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{"name": "issue", "host": hostName, "path_prefix": "/issue/",
		"kind": "unsafe", "service": "desk", "timeout_ms": 2000, "target_latency_ms": 150, "priority": 1, "max_attempts": 3})
	w.store.put("config", "main", config)
	w.addHosts(poisonHosts)
	var mu sync.Mutex
	var reached, crashes []time.Time
	for i := range 4 {
		s := &server{id: fmt.Sprintf("d-%d", i+1), service: "desk", zone: w.hosts[i].zone, slots: 6, work: 25 * time.Millisecond}
		s.crash = func(r *http.Request, body string) bool {
			if !strings.Contains(body, "poison") {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			reached = append(reached, time.Now())
			if trouble {
				crashes = append(crashes, time.Now())
			}
			return trouble
		}
		if err := w.addServer(s); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startHosts(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	client := newClient()
	for i, h := range w.hosts {
		id := fmt.Sprintf("p-%d", i)
		req, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/issue/7", strings.NewReader("poison"))
		if err != nil {
			return verdict{}, err
		}
		req.Host = hostName
		req.Header.Set(hID, id)
		req.Header.Set(hDeadline, "2000")
		w.log.addf("send %s to %s", id, h.name)
		resp, err := client.Do(req)
		if err != nil {
			w.log.addf("%s: no answer: %v", id, err)
		} else {
			_ = resp.Body.Close()
			w.log.addf("%s: status %d", id, resp.StatusCode)
		}
		time.Sleep(poisonInterval)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range reached {
		if len(crashes) >= 3 && at.After(crashes[2].Add(stability)) {
			late++
		}
	}
	text := fmt.Sprintf("the request reached servers %d times and crashed %d; %d times later than %d ms after the third crash",
		len(reached), len(crashes), late, stability.Milliseconds())
	return verdict{late > maxRetries, text}, nil
}
