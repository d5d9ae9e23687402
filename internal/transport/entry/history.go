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
	// maxRecords bounds the requests kept.
	maxRecords = 2048
	// maxEvents bounds the events kept per request. Later events are dropped.
	maxEvents = 16
)

// event is one event of a request.
type event struct {
	AfterMicros int64            `json:"after_us"`
	What        string           `json:"what"`
	Endpoint    model.EndpointID `json:"endpoint,omitempty"`
	Detail      string           `json:"detail,omitempty"`
}

// record holds the events of one request. It is safe for concurrent use.
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

// history keeps the records of the latest maxRecords requests.
type history struct {
	mu     sync.Mutex
	byID   map[string]*record
	recent [maxRecords]*record
	// next is the index in recent of the oldest record, which is overwritten next.
	next int
}

func newHistory() *history { return &history{byID: map[string]*record{}} }

func (h *history) insert(r *record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.recent[h.next]; old != nil {
		delete(h.byID, old.id)
	}
	h.recent[h.next] = r
	h.next = (h.next + 1) % maxRecords
	h.byID[r.id] = r
}

// explanation is the JSON body of the explain page.
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
		httpapi.WriteFailure(w, httpapi.NewFailure(resultcode.NotFound, "The request is not among the latest."), "")
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
