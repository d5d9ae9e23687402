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

// Span is a range of tokens [From, To) that were generated with one weight version.
type Span struct {
	From    int                 `json:"from"`
	To      int                 `json:"to"`
	Version model.WeightVersion `json:"version"`
}

// Run is one entry of an endpoint's log: a request that the endpoint accepted. A plain service
// logs a request when it starts to execute it, an engine before it queues it.
type Run struct {
	Endpoint    string            `json:"endpoint"`
	Incarnation model.Incarnation `json:"incarnation"`
	RequestID   string            `json:"request_id"`
	// Call is the call of a plain service, empty for other endpoints.
	Call string `json:"call,omitempty"`
	// Body is the request's body or prompt, truncated to 256 bytes.
	Body  string    `json:"body,omitempty"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
	// Spans are the tokens that this endpoint generated, with the versions in use.
	Spans []Span `json:"spans,omitempty"`
	// Finished reports that the answer was completed, not that the caller received it.
	Finished bool `json:"finished"`
}

const (
	maxLoggedBodyBytes = 256
	restartDelay       = 300 * time.Millisecond
)

// server implements what engines, plain services and scorers have in common: the faults, the
// log and a listener that can crash and start again as a new incarnation.
type server struct {
	name        string
	faults      *faultSet
	mu          sync.Mutex
	incarnation model.Incarnation
	runs        []*Run
	address     string
	handler     http.Handler
	httpServer  *http.Server
	listener    net.Listener
	// onStop, if set, discards the endpoint's state. Each stop calls it: that of a crash, of the
	// fault Down and of Close.
	onStop func()
	// stopped is set by stop and cleared by listen.
	stopped bool
}

func newServer(name string) *server {
	return &server{name: name, faults: newFaultSet(), incarnation: 1}
}

// Name returns the endpoint's name.
func (s *server) Name() string { return s.name }

// Address returns the listen address (host:port), which stays the same after a crash.
func (s *server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// SetFaults replaces the faults. Crash and Down act immediately. Without them, an endpoint
// that is not listening starts to listen again.
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
	if s.isStopped() {
		_ = s.listen(s.Address())
	}
}

func (s *server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
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
	s.httpServer, s.listener = srv, l
	s.stopped = false
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return nil
}

// stop increments the incarnation, calls onStop, and closes the listener and all connections.
func (s *server) stop() {
	s.mu.Lock()
	srv, l := s.httpServer, s.listener
	s.stopped = true
	s.incarnation++
	onStop := s.onStop
	s.mu.Unlock()
	if onStop != nil {
		onStop()
	}
	if srv != nil {
		_ = l.Close() // the server does not know it yet if Serve has not run
		_ = srv.Close()
	}
}

// crash stops the server and starts it again after restartDelay.
func (s *server) crash() {
	s.stop()
	time.AfterFunc(restartDelay, func() {
		if s.isStopped() && !s.faults.get().Down {
			_ = s.listen(s.Address())
		}
	})
}

// Close stops the endpoint permanently.
func (s *server) Close() {
	s.faults.set(Faults{Down: true})
	s.stop()
}

// begin adds a request to the run log and applies the faults that act at its start. ok is
// false when the request must not continue, because the endpoint crashed or ctx ended.
func (s *server) begin(ctx context.Context, r Run) (run *Run, ok bool) {
	if len(r.Body) > maxLoggedBodyBytes {
		r.Body = r.Body[:maxLoggedBodyBytes]
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
	return run, s.faults.wait(ctx) == nil
}

func (s *server) finish(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.End = time.Now()
	run.Finished = true
}

// refuse answers the request with a refusal and returns true if the endpoint is leaving,
// busy or has a fault that refuses requests. It always sets the incarnation header.
func (s *server) refuse(w http.ResponseWriter, busy bool) bool {
	f := s.faults.get()
	w.Header().Set(engineapi.IncarnationHeader, strconv.FormatUint(uint64(s.currentIncarnation()), 10))
	reason := ""
	switch {
	case f.Draining:
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

// cutWriter aborts the connection after a number of bytes (see Faults.CutAtByte).
type cutWriter struct {
	http.ResponseWriter
	remaining int
}

// Write implements io.Writer.
func (w *cutWriter) Write(b []byte) (int, error) {
	if len(b) < w.remaining {
		w.remaining -= len(b)
		return w.ResponseWriter.Write(b)
	}
	_, _ = w.ResponseWriter.Write(b[:w.remaining])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *cutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// wrapWriter applies the fault CutAtByte to w.
func (s *server) wrapWriter(w http.ResponseWriter) http.ResponseWriter {
	if cut := s.faults.get().CutAtByte; cut > 0 {
		return &cutWriter{ResponseWriter: w, remaining: cut}
	}
	return w
}
