package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
)

// PlainServiceOptions configures a PlainService. Zero values take the defaults in parentheses.
type PlainServiceOptions struct {
	Name string
	// ServiceTime is the duration of one call (5 ms).
	ServiceTime time.Duration
	// Concurrency is the maximum number of concurrent calls; more calls wait (16).
	Concurrency int
}

// PlainService simulates a plain service. Its answer is "answer to CALL BODY" (see PlainAnswer),
// so that a test can check that a caller received the answer to its own request.
type PlainService struct {
	*server
	opt   PlainServiceOptions
	slots chan struct{}
}

// NewPlainService starts a plain service on address (host:port; port 0 picks one).
func NewPlainService(address string, opt PlainServiceOptions) (*PlainService, error) {
	setDefault(&opt.ServiceTime, 5*time.Millisecond)
	setDefault(&opt.Concurrency, 16)
	p := &PlainService{server: newServer(opt.Name), opt: opt, slots: make(chan struct{}, opt.Concurrency)}
	r := mux.NewRouter()
	r.HandleFunc("/v1/call/{call}", p.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", p.serveStatus).Methods(http.MethodGet)
	p.server.handler = r
	return p, p.server.listen(address)
}

// PlainAnswer returns the answer of a PlainService to a call with this body.
func PlainAnswer(call, body string) string { return fmt.Sprintf("answer to %s %s", call, body) }

func (p *PlainService) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	if p.refuse(w, false) {
		return
	}
	select {
	case p.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-p.slots }()
	call := mux.Vars(r)["call"]
	run, ok := p.begin(r.Context(), Run{RequestID: r.Header.Get(engineapi.RequestIDHeader), Call: call, Body: string(body)})
	if !ok {
		return
	}
	// A call that has started runs to completion even if its caller disconnects.
	time.Sleep(p.serviceTime())
	p.finish(run)
	_, _ = io.WriteString(p.wrapWriter(w), PlainAnswer(call, string(body)))
}

// serviceTime returns the duration of one call with the fault Slow applied.
func (p *PlainService) serviceTime() time.Duration {
	if slow := p.faults.get().Slow; slow > 1 {
		return time.Duration(float64(p.opt.ServiceTime) * slow)
	}
	return p.opt.ServiceTime
}

func (p *PlainService) serveStatus(w http.ResponseWriter, r *http.Request) {
	if p.faults.wait(r.Context()) != nil {
		return
	}
	writeJSON(w, engineapi.Status{Incarnation: p.currentIncarnation(), Draining: p.faults.get().Draining})
}
