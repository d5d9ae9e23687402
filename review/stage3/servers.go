package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// server is a stand-in for a server of a service.
type server struct {
	id, service, address string
	// work is how long a request takes, body what it is answered.
	work time.Duration
	body []byte
	// model is set at a model server. Its items have pieces events, one each gap; log has their runs.
	model  string
	pieces int
	gap    time.Duration
	log    *runLog
}

// addServer starts a server and enters it in the store.
func (f *fleet) addServer(s *server) error {
	n := 100 + len(f.servers)
	l, err := net.Listen("tcp4", net.JoinHostPort(f.ip(n), "0"))
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	entry := map[string]any{"service": s.service, "address": s.address, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()}
	if s.model != "" {
		entry["stage"] = "both"
		entry["models"] = []map[string]any{{"name": s.model, "version": 1}}
	}
	f.store.write("servers", s.id, entry)
	return nil
}

func stamp(s *server, id string) string { return s.service + "." + s.id + "." + id }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("Oleanderfall-Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Oleanderfall-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Oleanderfall-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Oleanderfall-Request-Id")
	w.Header().Set("Oleanderfall-Request-Id", id)
	if id == "" {
		w.Header().Set("Oleanderfall-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Oleanderfall-Response-Stamp", stamp(s, id))
	if s.model != "" {
		s.log.begin(id)
		s.log.end(id, s.stream(w, r, id))
		return
	}
	time.Sleep(s.work)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	_, _ = w.Write(s.body)
}

// stream sends the events of an item after the last one that the request names. It reports whether all were sent.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Oleanderfall-Weight-Versions", "1")
	for n := after + 1; n <= s.pieces; n++ {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(s.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return false
		}
		w.(http.Flusher).Flush()
	}
	return true
}
