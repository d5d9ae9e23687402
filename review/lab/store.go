package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// metadata is an object's metadata.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Value    json.RawMessage `json:"specification"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. It is sound: it keeps what it has
// acknowledged and answers each call.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	// silent is set while the store gives no answer.
	silent bool
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object's specification as the operator, a trainer or a server does.
func (s *store) put(kind, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		o = object{Metadata: metadata{Name: name, Finalizers: []string{}}}
	}
	o.Value = raw
	s.write(kind, o, !ok)
}

// write stores an object with the next revision. The caller holds the lock.
func (s *store) write(kind string, o object, created bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if created {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.notify(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.notify(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// silence makes the store give no answer, or serve calls again.
func (s *store) silence(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

// ServeHTTP serves the calls under /v1/objects/.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done() // a call without an answer has no effect, and its connection returns nothing
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(rest, "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name == "" && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, q.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerJSON(w, http.StatusOK, o)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		o, ok := s.objects[kind][name]
		switch {
		case !ok:
			w.WriteHeader(http.StatusNotFound)
		case q.Has("revision") && q.Get("revision") != strconv.FormatUint(o.Metadata.Revision, 10):
			answerJSON(w, http.StatusConflict, o)
		default:
			s.removeLocked(kind, name)
			w.WriteHeader(http.StatusOK)
		}
	default:
		s.change(w, r.Method, kind, name, len(parts) > 2, body)
	}
}

func (s *store) change(w http.ResponseWriter, method, kind, name string, status bool, body []byte) {
	var in object
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	switch {
	case method == http.MethodPost && ok:
		answerJSON(w, http.StatusConflict, o)
		return
	case method == http.MethodPost:
		in.Metadata.Name = name
		answerJSON(w, http.StatusOK, s.write(kind, object{Metadata: metadata{Name: name, Finalizers: in.Metadata.Finalizers}, Value: in.Value}, true))
		return
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		answerJSON(w, http.StatusConflict, o)
		return
	}
	before := o
	if status {
		o.Status = in.Status
	} else {
		o.Value, o.Metadata.Finalizers = in.Value, in.Metadata.Finalizers
	}
	if !bytes.Equal(before.Value, o.Value) || !bytes.Equal(before.Status, o.Status) {
		o = s.write(kind, o, false)
	}
	answerJSON(w, http.StatusOK, o)
}

// maxPage is the number of objects in a page.
const maxPage = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items []object `json:"items"`
		More  bool     `json:"more_pages"`
		AsOf  uint64   `json:"as_of"`
	}{Items: []object{}, AsOf: s.revision}
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	size := 0
	for _, n := range names {
		o := s.objects[kind][n]
		if size += len(o.Value); len(page.Items) == maxPage || size > 1<<20 && len(page.Items) > 0 {
			page.More = true
			break
		}
		page.Items = append(page.Items, o)
	}
	answerJSON(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := struct {
			Events []event `json:"events"`
			AsOf   uint64  `json:"as_of"`
		}{Events: []event{}, AsOf: s.revision}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				out.Events = append(out.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		done := len(out.Events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timer.C:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		if done {
			answerJSON(w, http.StatusOK, out)
			return
		}
	}
}
