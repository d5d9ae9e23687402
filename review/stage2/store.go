//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageObjects is the number of objects and pageBytes the number of bytes after which a listing
// continues on another page.
const (
	pageObjects = 500
	pageBytes   = 1 << 20
	// usualAnswer is the time that an answer takes.
	usualAnswer = 4 * time.Millisecond
)

// object is one version of an object of the store. It is never changed.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status,omitempty"`
}

// change is an event of a watch.
type change struct {
	kind    string
	obj     *object
	deleted bool
	at      uint64
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	server  *http.Server
	// delay is the time that an answer takes, staleLag the age of what a stale read returns.
	delay, staleLag atomic.Int64
	// onRead and onWrite, if set, are called without the lock after each executed call of a host.
	onRead  func(kind, name string, stale bool)
	onWrite func(kind, name string, o *object)

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	changes  []change
	changed  chan struct{}
	history  []snapshot
}

// snapshot is the state of the store from a time on.
type snapshot struct {
	at       time.Time
	revision uint64
	kinds    map[string]map[string]*object
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
	s.delay.Store(int64(usualAnswer))
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object as the operator, a trainer or a server, without a condition.
func (s *store) put(kind, name string, specification any) {
	raw, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

func (s *store) get(kind, name string) *object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name]
}

// write replaces the specification of an object. The caller holds the lock.
func (s *store) write(kind, name string, specification json.RawMessage) *object {
	old := s.kinds[kind][name]
	if old != nil && bytes.Equal(old.Specification, specification) {
		return old
	}
	o := &object{Specification: specification}
	o.Metadata.Name, o.Metadata.Finalizers = name, []string{}
	s.revision++
	o.Metadata.Revision, o.Metadata.Created = s.revision, s.revision
	if old != nil {
		o.Metadata.Created, o.Status = old.Metadata.Created, old.Status
	}
	s.install(kind, name, o)
	return o
}

func (s *store) install(kind, name string, o *object) {
	s.remember()
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	s.kinds[kind][name] = o
	s.notify(change{kind: kind, obj: o, at: s.revision})
}

func (s *store) drop(kind, name string) {
	o := s.kinds[kind][name]
	if o == nil {
		return
	}
	s.remember()
	s.revision++
	delete(s.kinds[kind], name)
	s.notify(change{kind: kind, obj: o, deleted: true, at: s.revision})
}

func (s *store) notify(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remember keeps the state before a change for stale reads.
func (s *store) remember() {
	if s.staleLag.Load() == 0 {
		return
	}
	kinds := make(map[string]map[string]*object, len(s.kinds))
	for k, objects := range s.kinds {
		kinds[k] = maps.Clone(objects)
	}
	s.history = append(s.history, snapshot{time.Now(), s.revision, kinds})
}

// stateAt returns the state that a read sees. The caller holds the lock.
func (s *store) stateAt(stale bool) (map[string]map[string]*object, uint64) {
	lag := time.Duration(s.staleLag.Load())
	if !stale || lag == 0 {
		return s.kinds, s.revision
	}
	until := time.Now().Add(-lag)
	for _, h := range s.history {
		if h.at.After(until) {
			return h.kinds, h.revision
		}
	}
	return s.kinds, s.revision
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil || len(parts) == 0 {
		http.Error(w, "unreadable call", http.StatusBadRequest)
		return
	}
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	half := time.Duration(s.delay.Load()) / 2
	time.Sleep(half)
	query := r.URL.Query()
	stale := query.Get("stale_ok") == "1"
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
		return
	case r.Method == http.MethodGet:
		s.read(w, kind, name, query.Get("after"), stale, half)
	default:
		s.change(w, r, kind, name, len(parts) > 2, body, half)
	}
}

func (s *store) read(w http.ResponseWriter, kind, name, after string, stale bool, half time.Duration) {
	s.mu.Lock()
	kinds, revision := s.stateAt(stale)
	objects := maps.Clone(kinds[kind])
	s.mu.Unlock()
	if s.onRead != nil {
		s.onRead(kind, name, stale)
	}
	time.Sleep(half)
	if name != "" {
		if o := objects[name]; o != nil {
			reply(w, http.StatusOK, o)
		} else {
			reply(w, http.StatusNotFound, struct{}{})
		}
		return
	}
	page := struct {
		Items []*object `json:"items"`
		More  bool      `json:"more_pages"`
		AsOf  uint64    `json:"as_of"`
	}{Items: []*object{}, AsOf: revision}
	size := 0
	for _, n := range slices.Sorted(maps.Keys(objects)) {
		if n <= after {
			continue
		}
		if len(page.Items) >= pageObjects || size >= pageBytes {
			page.More = true
			break
		}
		size += len(objects[n].Specification)
		page.Items = append(page.Items, objects[n])
	}
	reply(w, http.StatusOK, page)
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool, body []byte, half time.Duration) {
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
		Status        json.RawMessage `json:"status"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = in.Metadata.Name
	}
	expect := in.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		expect, _ = strconv.ParseUint(v, 10, 64)
	}
	s.mu.Lock()
	old := s.kinds[kind][name]
	code, out := http.StatusOK, old
	switch {
	case r.Method == http.MethodPost && old != nil, expect != 0 && old != nil && old.Metadata.Revision != expect:
		code = http.StatusConflict
	case r.Method != http.MethodPost && old == nil:
		code = http.StatusNotFound
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
	case status:
		o := *old
		o.Status = in.Status
		s.revision++
		o.Metadata.Revision = s.revision
		s.install(kind, name, &o)
		out = &o
	default:
		out = s.write(kind, name, in.Specification)
	}
	s.mu.Unlock()
	if code == http.StatusOK && s.onWrite != nil && !status && r.Method != http.MethodDelete {
		s.onWrite(kind, name, out)
	}
	time.Sleep(half)
	if out == nil {
		reply(w, code, struct{}{})
		return
	}
	reply(w, code, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	type event struct {
		Object  *object `json:"object"`
		Deleted bool    `json:"deleted"`
	}
	out := struct {
		Events []event `json:"events"`
		AsOf   uint64  `json:"as_of"`
	}{Events: []event{}}
	for {
		s.mu.Lock()
		for _, c := range s.changes {
			if c.kind == kind && c.at > from {
				out.Events = append(out.Events, event{c.obj, c.deleted})
			}
		}
		out.AsOf = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	reply(w, http.StatusOK, out)
}

func reply(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
