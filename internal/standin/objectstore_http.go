package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

// Handler serves the store over HTTP:
//
//	GET    /v1/objects/KEY                      value, version in X-Object-Version
//	PUT    /v1/objects/KEY   X-Expect-Version   conditional write, 412 on conflict
//	DELETE /v1/objects/KEY   X-Expect-Version   conditional delete
//	GET    /v1/list?prefix=&after=&limit=       objectapi.Page as JSON
//	GET    /v1/watch?prefix=&from=              objectapi.Event lines, 410 when compacted
func (s *ObjectStore) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/objects/{key:.+}", s.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{key:.+}", s.servePut).Methods(http.MethodPut)
	r.HandleFunc("/v1/objects/{key:.+}", s.serveDelete).Methods(http.MethodDelete)
	r.HandleFunc("/v1/list", s.serveList).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.serveWatch).Methods(http.MethodGet)
	return r
}

func (s *ObjectStore) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := s.Get(r.Context(), mux.Vars(r)["key"])
	if err != nil {
		storeError(w, err)
		return
	}
	w.Header().Set(objectapi.VersionHeader, strconv.FormatUint(o.Version, 10))
	_, _ = w.Write(o.Value)
}

func (s *ObjectStore) servePut(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.Header.Get(objectapi.ExpectHeader), 10, 64)
	if err != nil {
		http.Error(w, "missing "+objectapi.ExpectHeader, http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objectapi.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "short body", http.StatusBadRequest)
		return
	}
	version, err := s.Put(r.Context(), mux.Vars(r)["key"], value, expect)
	if err != nil {
		storeError(w, err)
		return
	}
	w.Header().Set(objectapi.VersionHeader, strconv.FormatUint(version, 10))
}

func (s *ObjectStore) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.Header.Get(objectapi.ExpectHeader), 10, 64)
	if err != nil {
		http.Error(w, "missing "+objectapi.ExpectHeader, http.StatusBadRequest)
		return
	}
	if err := s.Delete(r.Context(), mux.Vars(r)["key"], expect); err != nil {
		storeError(w, err)
	}
}

func (s *ObjectStore) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	page, err := s.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		storeError(w, err)
		return
	}
	writeJSON(w, page)
}

func (s *ObjectStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	watcher, err := s.Watch(r.Context(), r.URL.Query().Get("prefix"), from)
	if err != nil {
		storeError(w, err)
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

func storeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, objectapi.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, objectapi.ErrThrottled):
		status = http.StatusTooManyRequests
	case errors.Is(err, objectapi.ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, objectapi.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
