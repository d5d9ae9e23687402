//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the platform's protocol.
const (
	hID       = "Oleanderfall-Request-Id"
	hDeadline = "Oleanderfall-Deadline-Ms"
	hInstance = "Oleanderfall-Expected-Instance"
	hNotRun   = "Oleanderfall-Not-Run"
	hStamp    = "Oleanderfall-Response-Stamp"
	hVersions = "Oleanderfall-Weight-Versions"
	hLastID   = "Last-Event-Id"
	hWait     = "Oleanderfall-Wait-Ms"
)

const (
	heartbeat = 1200 * time.Millisecond
	loadTime  = 900 * time.Millisecond
	// queueLength is the number of requests that wait at a server for a slot.
	queueLength = 24
)

// order is a load order that a server received.
type order struct {
	At     time.Time
	Server string
	Holder string
	Token  uint64
	Model  string
	Target int
	Status int
}

// arrival is a request that a server began to run.
type arrival struct {
	At     time.Time
	Server string
	ID     string
}

// server is a stand-in of a model server, or of a plain server if it has no models. It is sound: it
// ends a request when its connection closes, and answers each as PROTOCOL.md says.
type server struct {
	id, service, zone, address string
	slots                      int
	// events is the number of events of a request, gap the time between two; work is the time of a
	// plain request.
	events func(r *http.Request) int
	gap    time.Duration
	work   time.Duration
	// hang, if it returns true, leaves a request without an answer until its connection closes.
	hang func(r *http.Request) bool
	// crash, if it returns true for a request that began to run, makes the server crash.
	crash func(r *http.Request, body string) bool
	log   *record

	st    *store
	born  int64
	slot  chan struct{}
	close func()
	http  *http.Server

	mu       sync.Mutex
	models   map[string]int
	loading  string
	orders   int64
	waiting  int
	sequence int64
	// down is set while the server has crashed.
	down     bool
	received []order
	ran      []arrival
}

func startServer(ip string, st *store, s *server) error {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	s.st, s.address, s.born = st, l.Addr().String(), time.Now().UnixMilli()
	s.slot = make(chan struct{}, s.slots)
	s.serve(l)
	stop := make(chan struct{})
	s.close = func() {
		close(stop)
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.http.Close()
	}
	s.register()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				if !s.isDown() {
					s.register()
				}
			}
		}
	}()
	return nil
}

func (s *server) serve(l net.Listener) {
	h := &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	s.mu.Lock()
	s.http = h
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
}

func (s *server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// crashFor ends the server and all its connections, and starts it again after a time.
func (s *server) crashFor(d time.Duration) {
	s.log.addf("crash of %s", s.id)
	s.mu.Lock()
	s.down = true
	_ = s.http.Close()
	s.mu.Unlock()
	time.AfterFunc(d, func() {
		l, err := net.Listen("tcp4", s.address)
		if err != nil {
			s.log.addf("%s does not start again: %v", s.id, err)
			return
		}
		s.mu.Lock()
		s.down, s.born, s.orders = false, time.Now().UnixMilli(), 0
		s.mu.Unlock()
		s.serve(l)
		s.register()
		s.log.addf("%s is back", s.id)
	})
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *server) modelList() []model {
	out := []model{}
	for n, v := range s.models {
		out = append(out, model{n, v, []string{}})
	}
	return out
}

// register writes the entry of the server.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1.0", "slots": s.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.models != nil {
		entry["stage"], entry["models"] = "both", s.modelList()
	}
	s.mu.Unlock()
	s.st.put("servers", s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Keep-Alive", "timeout=10")
	if want := r.Header.Get(hInstance); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/order":
		s.serveOrder(w, body)
	case "/v1/report":
		s.serveReport(w)
	case "/health":
		w.Header().Set("Oleanderfall-Instance-Id", s.id)
	default:
		s.serveRequest(w, r, body)
	}
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "both", "models": s.modelList(), "busy": s.loading != "", "sequence": s.orders, "born": s.born,
		"waiting_count": s.waiting, "running_count": len(s.slot), "kv_cache_used": 0, "kv_cache_total": 68000, "handles": 0,
	})
}

func (s *server) serveOrder(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int    `json:"version"`
		Holder    string `json:"holder"`
		Token     uint64 `json:"fencing_token"`
		Expect    *int64 `json:"expect"`
	}
	err := json.Unmarshal(body, &o)
	s.mu.Lock()
	current, known := s.models[o.Model]
	status := http.StatusAccepted
	switch {
	case err != nil || !known || o.Holder == "" || o.Token == 0:
		status = http.StatusBadRequest
	case s.loading != "" || o.Expect != nil && *o.Expect != s.orders:
		status = http.StatusConflict
	case current == o.Version:
		status = http.StatusOK
	default:
		s.orders++
		s.loading = o.Model
		time.AfterFunc(loadTime, func() {
			s.mu.Lock()
			s.models[o.Model], s.loading = o.Version, ""
			s.mu.Unlock()
			s.register()
		})
	}
	got := order{time.Now(), s.id, o.Holder, o.Token, o.Model, o.Version, status}
	s.received = append(s.received, got)
	s.mu.Unlock()
	s.log.addf("order at %s from %s with number %d: %s version %d, answered %d", s.id, o.Holder, o.Token, o.Model, o.Version, status)
	w.WriteHeader(status)
}

func (s *server) refuse(w http.ResponseWriter, id string) {
	w.Header().Set(hID, id)
	w.Header().Set(hNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(hID)
	if id == "" {
		w.Header().Set(hNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	full := s.waiting >= queueLength || s.loading != ""
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		s.refuse(w, id)
		return
	}
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(hDeadline)); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	budget := time.NewTimer(left)
	defer budget.Stop()
	begun := false
	select {
	case s.slot <- struct{}{}:
		begun = true
	case <-budget.C:
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.waiting--
	if begun {
		s.ran = append(s.ran, arrival{time.Now(), s.id, id})
	}
	s.mu.Unlock()
	if !begun {
		s.refuse(w, id)
		return
	}
	defer func() { <-s.slot }()
	s.log.addf("run at %s: %s after %q", s.id, id, r.Header.Get(hLastID))
	if s.crash != nil && s.crash(r, string(body)) {
		s.crashFor(crashTime)
		panic(http.ErrAbortHandler)
	}
	if s.hang != nil && s.hang(r) {
		s.log.addf("hang at %s: %s gets no answer", s.id, id)
		<-r.Context().Done()
		return
	}
	w.Header().Set(hID, id)
	w.Header().Set(hStamp, stamp(s.service, id))
	if s.models == nil && s.events == nil {
		select {
		case <-time.After(s.work):
			answer := "ok " + id
			w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
			_, _ = io.WriteString(w, answer)
		case <-budget.C:
			w.WriteHeader(http.StatusGatewayTimeout)
		case <-r.Context().Done():
		}
		return
	}
	s.stream(w, r, id, budget.C)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, budget <-chan time.Time) {
	version := 1
	s.mu.Lock()
	if v, ok := s.models[r.Header.Get("Oleanderfall-Model")]; ok {
		version = v
	}
	s.mu.Unlock()
	w.Header().Set(hVersions, strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(hLastID))
	total := s.events(r)
	for n := first + 1; n <= total; n++ {
		select {
		case <-time.After(s.gap):
		case <-budget:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			s.log.addf("connection of %s closed at %s after event %d of %d", id, s.id, n-1, total)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// stamp is the digest of an answer.
func stamp(service, id string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, service+"\x00"+id)
	return strconv.FormatUint(h.Sum64(), 16)
}

func (s *server) orderLog() []order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]order(nil), s.received...)
}

func (s *server) runs() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.ran...)
}
