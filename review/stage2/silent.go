//go:build review

package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamTimeout is the timeout_ms of the streaming route in silentCase, streamObjective its target_latency_ms.
	// Clients leave a stream without an event after four times the latter.
	streamTimeout   = 2 * time.Second
	streamObjective = time.Second
	// answerSlack is the time after the timeout within which the answer must have come.
	answerSlack = 500 * time.Millisecond
	// silentServers is the number of servers, one of which leaves silentShare of its requests without an answer for
	// silentTime.
	silentServers = 7
	silentShare   = 0.4
	silentTime    = 5 * time.Second
	silentStreams = 300
)

// silentCase: one of the servers leaves part of its requests without an answer, with its health good. Requests that are
// unanswered at the timeout of their route must be answered soon after.
func silentCase(w *world, trouble bool) (verdict, error) {
	config := baseConfig(1)
	for _, r := range config["routes"].([]map[string]any) {
		if r["name"] == "stream" {
			r["timeout_ms"], r["target_latency_ms"] = streamTimeout.Milliseconds(), streamObjective.Milliseconds()
		}
	}
	w.store.put("config", "main", config)
	w.addHosts(3)
	var until atomic.Int64
	for i := range silentServers {
		s := &server{id: fmt.Sprintf("c-%d", i+1), service: "chat", zone: w.hosts[i%3].zone, slots: 8, gap: eventGap, events: eventsInPath}
		if i == 0 && trouble {
			s.hang = func(r *http.Request) bool {
				return time.Now().UnixNano() < until.Load() && hashShare(r.Header.Get(hID)) < silentShare
			}
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
	var all sync.WaitGroup
	var mu sync.Mutex
	unanswered, late := 0, 0
	// Clients allow 12 s, and leave after four times the objective without an event.
	until.Store(time.Now().Add(silentTime).UnixNano())
	for i := range silentStreams {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 4*streamObjective)
			defer cancel()
			r := w.openStream(ctx, client, w.hosts[i%3], fmt.Sprintf("s-%d", i), usualEvents, 12*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if r.status == 0 && r.took > streamTimeout {
				unanswered++
				if r.took > streamTimeout+answerSlack {
					late++
				}
			}
		})
		time.Sleep(silentTime / silentStreams)
	}
	all.Wait()
	text := fmt.Sprintf("%d of %d streams were unanswered at their route's timeout_ms of %d, %d of them half a second later", unanswered, silentStreams, streamTimeout.Milliseconds(), late)
	return verdict{unanswered > 0 && 2*late > unanswered, text}, nil
}

// hashShare maps a text to a number from 0 to 1.
func hashShare(text string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return float64(h.Sum32()%1000) / 1000
}
