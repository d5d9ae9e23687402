package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
)

func engineRoutes(e *Engine) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/generate", e.serveGenerate).Methods(http.MethodPost)
	r.HandleFunc("/v1/cancel/{id}", e.serveCancel).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", e.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{id}", e.serveExportKV).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{id}", e.serveImportKV).Methods(http.MethodPost)
	return r
}

const maxRequestBytes = 4 << 20

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req engineapi.GenerateRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.refuse(w, e.queueFull()) {
		return
	}
	run, ok := e.begin(r.Context(), Run{RequestID: req.RequestID, Body: req.Prompt})
	if !ok {
		return
	}
	g := &generation{
		req:       req,
		run:       run,
		length:    AnswerLength(req.Prompt, req.Seed, e.opt.MedianTokens, req.MaxTokens),
		nextIndex: req.Offset,
		wake:      make(chan struct{}, 1),
	}
	if !e.enqueue(g) {
		return
	}
	defer e.abandon(g)
	e.stream(e.wrapWriter(w), r, g)
}

// stream sends the chunks of g as JSON lines until the answer is complete or the client
// disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	control := http.NewResponseController(w)
	_ = control.Flush()
	lines := json.NewEncoder(w)
	for {
		select {
		case <-g.wake:
		case <-r.Context().Done():
			return
		}
		chunks, done, aborted := e.takeChunks(g)
		for _, c := range chunks {
			if lines.Encode(c) != nil {
				return
			}
		}
		_ = control.Flush()
		if done {
			return
		}
		if aborted {
			// Abort the connection, so that the client sees a truncated stream.
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) serveCancel(_ http.ResponseWriter, r *http.Request) { e.cancel(mux.Vars(r)["id"]) }

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.faults.wait(r.Context()) != nil {
		return
	}
	err := e.applyOrder(o)
	switch {
	case errors.Is(err, engineapi.ErrStaleFence):
		w.Header().Set(engineapi.RefusalHeader, "stale-fence")
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		w.Header().Set(engineapi.RefusalHeader, "busy")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	if e.faults.wait(r.Context()) != nil {
		return
	}
	f := e.faults.get()
	e.mu.Lock()
	st := engineapi.Status{
		Incarnation: e.currentIncarnation(),
		Version:     e.version,
		Role:        e.role,
		Draining:    f.Draining,
		Loading:     e.loading,
	}
	for a := range e.adapters {
		st.Adapters = append(st.Adapters, a)
	}
	e.mu.Unlock()
	sort.Strings(st.Adapters)
	if f.HideVersion {
		st.Version = 0
	}
	writeJSON(w, st)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if e.faults.wait(r.Context()) != nil {
		return
	}
	writeJSON(w, e.laggingLoad(time.Now()))
}

// laggingLoad returns the newest load report that is at least as old as the fault
// ReportLagMillis requires, or if there is none, a report without requests and with age 0.
// The incarnation and version are always current.
func (e *Engine) laggingLoad(now time.Time) engineapi.Load {
	lag := int64(e.faults.get().ReportLagMillis)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engineapi.Load{Slots: e.opt.Slots, AgeMillis: now.UnixMilli()}
	for _, l := range e.loadReports {
		if l.AgeMillis <= now.UnixMilli()-lag {
			out = l
		}
	}
	out.AgeMillis = now.UnixMilli() - out.AgeMillis
	out.Incarnation = e.currentIncarnation()
	out.Version = e.version
	return out
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	out := e.cache.eventsFrom(from)
	e.mu.Unlock()
	writeJSON(w, out)
}

// serveExportKV returns the prompt of a running request in place of its KV cache.
func (e *Engine) serveExportKV(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.running {
		if g.req.RequestID == id {
			_, _ = w.Write([]byte(g.req.Prompt))
			return
		}
	}
	http.NotFound(w, r)
}

// serveImportKV adds the prefix of the prompt in the body to the cache. The prompt stands
// in for a KV cache; a resumed request then needs no prefill.
func (e *Engine) serveImportKV(w http.ResponseWriter, r *http.Request) {
	kv, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.use(prefixHash(string(kv)))
}
