package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"
)

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

// batch is a batch submission and what its trainer knows of it.
type batch struct {
	Step    int    `json:"step"`
	Model   string `json:"model"`
	Min     int    `json:"min_version"`
	Desired int    `json:"desired_count"`
	Items   []item `json:"items"`

	id        string
	submitted time.Time
	// results are the ids of the listed items.
	results []string
}

func newBatch(id, prefix string, items int) *batch {
	b := &batch{Model: "model-1", Min: 1, Desired: items, id: id}
	for i := range items {
		b.Items = append(b.Items, item{ID: fmt.Sprintf("%s%02d", id, i), Path: fmt.Sprintf("%sitem/%d", prefix, i), Body: []byte("prompt"), Tokens: 616,
			Headers: map[string]string{"Oleanderfall-Model": "model-1", "Oleanderfall-Token-Counts": "416,200", "Oleanderfall-Length-Hint": "200"}, Group: fmt.Sprintf("g%s%d", id, i)})
	}
	return b
}

// read reads the results of a batch that were not read before, and waits a second for one.
func (b *batch) read(address string) error {
	status, raw, err := call(address, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", b.id, len(b.results)), "", 2500*time.Millisecond,
		map[string]string{"Oleanderfall-Wait-Ms": "1000"}, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	var p struct {
		Results []struct {
			ID    string `json:"id"`
			State string `json:"state"`
		} `json:"results"`
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return err
	}
	for _, r := range p.Results {
		b.results = append(b.results, r.ID)
	}
	return nil
}

var ownerField = regexp.MustCompile(`"owner":"([^"]+)"`)

// owner returns the host that the stored manifest of a batch names. Only the script uses it, to choose whom it disturbs.
func (s *store) owner(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects["batches/"+id]
	if o == nil {
		return ""
	}
	var text string
	if json.Unmarshal(o.Specification, &text) != nil {
		return ""
	}
	raw, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(text, "b64:"))
	if err != nil {
		return ""
	}
	if m := ownerField.FindSubmatch(raw); m != nil {
		return string(m[1])
	}
	return ""
}

// runLog is what the servers saw of the items.
type runLog struct {
	mu sync.Mutex
	// atServer counts the runs of an item that go on, left is when the last one ended, begun and finished say what became of it.
	atServer        map[string]int
	left            map[string]time.Time
	begun, finished map[string]bool
}

func newRunLog() *runLog {
	return &runLog{atServer: map[string]int{}, left: map[string]time.Time{}, begun: map[string]bool{}, finished: map[string]bool{}}
}

func (l *runLog) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.atServer[id]++
	l.begun[id] = true
}

func (l *runLog) end(id string, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.atServer[id]--
	l.left[id] = time.Now()
	l.finished[id] = l.finished[id] || finished
}

// idle returns since when an item that no server has finished has been at no server; ok is false for others.
func (l *runLog) idle(id string) (since time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left[id], l.begun[id] && !l.finished[id] && l.atServer[id] == 0
}

func (l *runLog) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, m := range l.atServer {
		n += m
	}
	return n
}
