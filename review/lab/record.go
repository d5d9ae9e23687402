package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
	// runs has the servers that began to run a request, by request id.
	runs  map[string][]string
	runAt map[string]time.Time
}

func newRecord() *record {
	return &record{began: time.Now(), runs: map[string][]string{}, runAt: map[string]time.Time{}}
}

func (r *record) add(words ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %s", time.Since(r.began).Seconds(), strings.Join(words, " ")))
}

// ran records that a server began to run a request.
func (r *record) ran(server, id string) {
	r.add("server", server, "runs", id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
	r.runAt[id] = time.Now()
}

// ranAt returns the servers that began to run a request.
func (r *record) ranAt(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// ranAfter returns the requests that a server began to run after a time.
func (r *record) ranAfter(server string, after time.Time) map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]time.Time{}
	for id, servers := range r.runs {
		if at := r.runAt[id]; at.After(after) && servers[len(servers)-1] == server {
			out[id] = at
		}
	}
	return out
}
