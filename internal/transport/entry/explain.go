package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

const (
	// maxRecords bounds the requests remembered.
	maxRecords = 2048
	// maxEvents bounds the events remembered of one request.
	maxEvents = 16
)

// event is one thing that happened to a request.
type event struct {
	AfterMicros int64            `json:"after_us"`
	What        string           `json:"what"`
	Endpoint    model.EndpointID `json:"endpoint,omitempty"`
	Detail      string           `json:"detail,omitempty"`
}

// record is what happened to one request.
type record struct {
	mu     sync.Mutex
	id     string
	target string
	caller model.CallerID
	start  time.Time
	events []event
}

func (r *record) add(what string, endpoint model.EndpointID, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < maxEvents {
		r.events = append(r.events, event{AfterMicros: time.Since(r.start).Microseconds(), What: what, Endpoint: endpoint, Detail: detail})
	}
}

// history remembers the latest requests.
type history struct {
	mu    sync.Mutex
	byID  map[string]*record
	order [maxRecords]*record
	next  int
}

func newHistory() *history { return &history{byID: map[string]*record{}} }

func (h *history) begin(r *record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.order[h.next]; old != nil {
		delete(h.byID, old.id)
	}
	h.order[h.next] = r
	h.next = (h.next + 1) % maxRecords
	h.byID[r.id] = r
}

// explanation is the answer of the explain page.
type explanation struct {
	RequestID string         `json:"request_id"`
	Target    string         `json:"target"`
	Caller    model.CallerID `json:"caller"`
	Events    []event        `json:"events"`
}

func (h *history) serve(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	found := h.byID[mux.Vars(r)["id"]]
	h.mu.Unlock()
	if found == nil {
		httpapi.WriteFailure(w, httpapi.Fail(resultcode.NotFound, "The request is not among the latest."), "")
		return
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	httpapi.WriteJSON(w, http.StatusOK, explanation{
		RequestID: found.id,
		Target:    found.target,
		Caller:    found.caller,
		Events:    found.events,
	})
}
