package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's object store, as PROTOCOL.md describes it. It listens at one address for each
// host, so that it knows which host calls.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]*object
	// versions has all states of each object, for stale reads.
	versions map[string][]state
	events   []event
	changed  chan struct{}
	// lag is how old the answers to stale reads of a kind are.
	lag map[string]time.Duration
	// seen is called with each call before it is carried out.
	seen func(storeCall)
}

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type state struct {
	at     time.Time
	object *object // nil once it was deleted
}

type event struct {
	kind     string
	revision uint64
	Object   *object `json:"object"`
	Deleted  bool    `json:"deleted"`
}

type storeCall struct {
	host, method, kind, name string
	stale, watch             bool
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]*object{}, versions: map[string][]state{}, changed: make(chan struct{}),
		lag: map[string]time.Duration{}, seen: func(storeCall) {}}
}

// listen serves the calls of a host at a free port of ip and returns the address.
func (s *store) listen(ip, host string) (string, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(host, w, r) }))
	}()
	return l.Addr().String(), nil
}

// record changes an object; s.mu is held.
func (s *store) record(kind, name string, o *object, deleted bool) {
	s.revision++
	key := kind + "/" + name
	o.Metadata.Revision = s.revision
	kept := *o
	if deleted {
		delete(s.objects, key)
		s.versions[key] = append(s.versions[key], state{time.Now(), nil})
	} else {
		s.objects[key] = &kept
		s.versions[key] = append(s.versions[key], state{time.Now(), &kept})
	}
	s.events = append(s.events, event{kind, s.revision, &kept, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes an object for the operator, a trainer or a server, and returns when that was confirmed.
func (s *store) write(kind, name string, specification any) time.Time {
	raw, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := &object{Specification: raw}
	if old := s.objects[kind+"/"+name]; old != nil {
		o.Metadata, o.Status = old.Metadata, old.Status
	} else {
		o.Metadata.Name, o.Metadata.Created, o.Metadata.Finalizers = name, s.revision+1, []string{}
	}
	s.record(kind, name, o, false)
	return time.Now()
}

const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
	latency      = 4 * time.Millisecond
)

func answer(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) serve(host string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err != nil {
		return
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	c := storeCall{host: host, method: r.Method, kind: path[0], stale: r.URL.Query().Has("stale_ok"), watch: r.URL.Query().Has("watch")}
	if len(path) > 1 {
		c.name = path[1]
	}
	time.Sleep(latency)
	s.seen(c)
	switch {
	case r.Method == http.MethodGet && c.watch:
		s.watch(w, r, c)
	case r.Method == http.MethodGet && c.name == "":
		s.list(w, r, c)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.read(c)
		s.mu.Unlock()
		if o == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.change(w, r, c, path, body)
	}
}

// read returns an object, or its state when it is read stale; s.mu is held.
func (s *store) read(c storeCall) *object {
	key := c.kind + "/" + c.name
	lag := s.lag[c.kind]
	if !c.stale || lag == 0 {
		return s.objects[key]
	}
	var o *object
	for _, v := range s.versions[key] {
		if time.Since(v.at) >= lag {
			o = v.object
		}
	}
	return o
}

func (s *store) list(w http.ResponseWriter, r *http.Request, c storeCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for key := range s.objects {
		if kind, name, _ := strings.Cut(key, "/"); kind == c.kind && name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := struct {
		Items []*object `json:"items"`
		More  bool      `json:"more_pages"`
		AsOf  uint64    `json:"as_of"`
	}{Items: []*object{}, AsOf: s.revision}
	size := 0
	for _, name := range names {
		o := s.objects[c.kind+"/"+name]
		if size += len(o.Specification) + 200; len(page.Items) > 0 && size > maxPageBytes || len(page.Items) == maxPageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, o)
	}
	answer(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, c storeCall) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := struct {
			Events []event `json:"events"`
			AsOf   uint64  `json:"as_of"`
		}{Events: []event{}, AsOf: s.revision}
		for _, e := range s.events {
			if e.kind == c.kind && e.revision > from {
				found.Events = append(found.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(found.Events) > 0 {
			answer(w, http.StatusOK, found)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, c storeCall, path []string, body []byte) {
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	if r.Method == http.MethodDelete {
		sent.Metadata.Revision, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	if r.Method == http.MethodPost {
		c.name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[c.kind+"/"+c.name]
	switch {
	case r.Method == http.MethodPost && old != nil:
		answer(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && old == nil:
		answer(w, http.StatusNotFound, struct{}{})
		return
	case sent.Metadata.Revision != 0 && old != nil && sent.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
		return
	case len(sent.Specification) > maxPageBytes:
		answer(w, http.StatusRequestEntityTooLarge, struct{}{})
		return
	}
	next := object{}
	switch {
	case r.Method == http.MethodPost:
		next.Metadata.Name, next.Metadata.Created, next.Metadata.Finalizers = c.name, s.revision+1, []string{}
		next.Specification = sent.Specification
	case r.Method == http.MethodDelete:
		next = *old
	case len(path) > 2 && path[2] == "status":
		next = *old
		next.Status = sent.Status
	default:
		next = *old
		next.Specification = sent.Specification
		if string(old.Specification) == string(sent.Specification) {
			answer(w, http.StatusOK, old) // changes nothing
			return
		}
	}
	s.record(c.kind, c.name, &next, r.Method == http.MethodDelete)
	answer(w, http.StatusOK, next)
}
