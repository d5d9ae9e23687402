package objectapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
)

// httpHandler serves an API with the HTTP interface that HTTPClient uses:
//
//	GET    /v1/objects/KEY                      value, version in X-Object-Version
//	PUT    /v1/objects/KEY   X-Expect-Version   conditional write, 412 on conflict
//	DELETE /v1/objects/KEY   X-Expect-Version   conditional delete
//	GET    /v1/list?prefix=&after=&limit=       Page as JSON
//	GET    /v1/watch?prefix=&from=              Event lines, 410 when compacted
type httpHandler struct{ api API }

// NewHandler returns a handler that forwards each call to api once.
func NewHandler(api API) http.Handler {
	s := &httpHandler{api: api}
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/objects/{key:.+}", s.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{key:.+}", s.servePut).Methods(http.MethodPut)
	r.HandleFunc("/v1/objects/{key:.+}", s.serveDelete).Methods(http.MethodDelete)
	r.HandleFunc("/v1/list", s.serveList).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.serveWatch).Methods(http.MethodGet)
	return r
}

func (s *httpHandler) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.api.Get(r.Context(), mux.Vars(r)["key"])
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(o.Version, 10))
	_, _ = w.Write(o.Value)
}

func (s *httpHandler) servePut(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.Header.Get(ExpectHeader), 10, 64)
	if err != nil {
		http.Error(w, "missing "+ExpectHeader, http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, "short body", http.StatusBadRequest)
		return
	}
	version, err := s.api.Put(r.Context(), mux.Vars(r)["key"], value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(version, 10))
}

func (s *httpHandler) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.Header.Get(ExpectHeader), 10, 64)
	if err != nil {
		http.Error(w, "missing "+ExpectHeader, http.StatusBadRequest)
		return
	}
	if err := s.api.Delete(r.Context(), mux.Vars(r)["key"], expect); err != nil {
		writeError(w, err)
	}
}

func (s *httpHandler) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	page, err := s.api.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, page)
}

func (s *httpHandler) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	watcher, err := s.api.Watch(r.Context(), r.URL.Query().Get("prefix"), from)
	if err != nil {
		writeError(w, err)
		return
	}
	defer watcher.Close()
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	lines := json.NewEncoder(w)
	for {
		e, err := watcher.Next(r.Context())
		if err != nil || lines.Encode(e) != nil {
			return
		}
		_ = flusher.Flush()
	}
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, ErrThrottled):
		status = http.StatusTooManyRequests
	case errors.Is(err, ErrRefused):
		status = http.StatusLocked
	case errors.Is(err, ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
