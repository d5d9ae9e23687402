package standin

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Span is a range of tokens [From, To) made under one weight version.
type Span struct {
	From    int                 `json:"from"`
	To      int                 `json:"to"`
	Version model.WeightVersion `json:"version"`
}

// Run is one entry of an endpoint's log: a request it started to execute.
type Run struct {
	Endpoint    string            `json:"endpoint"`
	Incarnation model.Incarnation `json:"incarnation"`
	RequestID   string            `json:"request_id"`
	// Call is the plain service's call, empty for engines.
	Call string `json:"call,omitempty"`
	// Body is the request's body or prompt, cut to 256 bytes.
	Body  string    `json:"body,omitempty"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
	// Spans are the tokens made here, with their true versions.
	Spans []Span `json:"spans,omitempty"`
	// Finished says that the whole answer was made (not that anybody got it).
	Finished bool `json:"finished"`
}

const (
	maxLoggedBody = 256
	restartDelay  = 300 * time.Millisecond
)

// server is what engines and plain services share: a listener that can crash and
// come back as a new incarnation, faults and the log.
type server struct {
	name        string
	faults      *faultSet
	mu          sync.Mutex
	incarnation model.Incarnation
	runs        []*Run
	address     string
	handler     http.Handler
	http        *http.Server
	onCrash     func()
	down        bool
}

func newServer(name string) *server {
	return &server{name: name, faults: newFaultSet(), incarnation: 1}
}

// Name returns the endpoint's name.
func (s *server) Name() string { return s.name }

// Address returns host:port once the server listens.
func (s *server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// SetFaults replaces the faults; Crash and Down act at once.
func (s *server) SetFaults(f Faults) {
	crash := f.Crash
	f.Crash = false
	s.faults.set(f)
	if f.Down {
		s.stop()
		return
	}
	if crash {
		s.crash()
		return
	}
	if s.isDown() {
		_ = s.listen(s.Address())
	}
}

func (s *server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Runs returns a copy of the log.
func (s *server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		c := *r
		c.Spans = append([]Span(nil), r.Spans...)
		out = append(out, c)
	}
	return out
}

func (s *server) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.mu.Lock()
	s.address = l.Addr().String()
	s.http = srv
	s.down = false
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return nil
}

// stop closes the listener and every connection, and begins a new incarnation.
func (s *server) stop() {
	s.mu.Lock()
	srv := s.http
	s.down = true
	s.incarnation++
	onCrash := s.onCrash
	s.mu.Unlock()
	if onCrash != nil {
		onCrash()
	}
	if srv != nil {
		_ = srv.Close()
	}
}

// crash stops the server and brings it back after a moment.
func (s *server) crash() {
	s.stop()
	time.AfterFunc(restartDelay, func() {
		if s.isDown() && !s.faults.get().Down {
			_ = s.listen(s.Address())
		}
	})
}

// Close ends the server for good.
func (s *server) Close() {
	s.faults.set(Faults{Down: true})
	s.stop()
}

// begin logs a request and applies the faults that act at its start. ok is false
// when the endpoint crashed on it.
func (s *server) begin(ctx context.Context, r Run) (run *Run, ok bool) {
	if len(r.Body) > maxLoggedBody {
		r.Body = r.Body[:maxLoggedBody]
	}
	s.mu.Lock()
	r.Endpoint = s.name
	r.Incarnation = s.incarnation
	r.Start = time.Now()
	run = &r
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	f := s.faults.get()
	if f.CrashOnKey != "" && strings.Contains(r.RequestID+" "+r.Call+" "+r.Body, f.CrashOnKey) {
		s.crash()
		return run, false
	}
	return run, s.faults.hold(ctx) == nil
}

func (s *server) finish(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.End = time.Now()
	run.Finished = true
}

// refuse answers for an endpoint that takes no new work; true when it did.
func (s *server) refuse(w http.ResponseWriter, busy bool) bool {
	f := s.faults.get()
	w.Header().Set(engineapi.IncarnationHeader, strconv.FormatUint(uint64(s.currentIncarnation()), 10))
	reason := ""
	switch {
	case f.Leaving:
		reason = "leaving"
	case f.Refuse, f.Outage, busy:
		reason = "busy"
	}
	if reason == "" {
		return false
	}
	w.Header().Set(engineapi.RefusalHeader, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
	return true
}

func (s *server) currentIncarnation() model.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// cutWriter ends the connection after a number of bytes.
type cutWriter struct {
	http.ResponseWriter
	left int
}

// Write implements io.Writer.
func (w *cutWriter) Write(b []byte) (int, error) {
	if len(b) < w.left {
		w.left -= len(b)
		return w.ResponseWriter.Write(b)
	}
	_, _ = w.ResponseWriter.Write(b[:w.left])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// Unwrap lets http.ResponseController reach the real writer.
func (w *cutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (s *server) writer(w http.ResponseWriter) http.ResponseWriter {
	if cut := s.faults.get().CutAtByte; cut > 0 {
		return &cutWriter{ResponseWriter: w, left: cut}
	}
	return w
}
