package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which a server writes its entry to the store.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in for a server of a plain service. It answers 421 to a request for another
// instance, 503 with Oleanderfall-Not-Run beyond its slots, echoes Oleanderfall-Request-Id, and drops
// a request whose connection closes.
type server struct {
	id, service, zone string
	slots             int
	rec               *record
	// work is how long a request takes.
	work time.Duration
	// copies, if not nil, reports whether a second copy of an answer follows, late: when the next request
	// on the connection has arrived, before its answer.
	copies func() bool

	listener net.Listener
	address  string
	bornMs   int64

	mu      sync.Mutex
	running int
	// left is set once the server's entry was removed.
	left  bool
	conns map[net.Conn]bool
}

func startServer(id, service, zone string, slots int, work time.Duration, rec *record) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, slots: slots, work: work, rec: rec, listener: l,
		address: l.Addr().String(), conns: map[net.Conn]bool{}, bornMs: time.Now().UnixMilli()}
	go s.accept()
	return s, nil
}

// register writes the server's entry to the store from now on.
func (s *server) register(st *store) {
	write := func(sequence int) {
		st.put("servers", s.id, map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1",
			"slots": s.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": s.bornMs})
	}
	write(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(heartbeat)
			s.mu.Lock()
			left := s.left
			if !left {
				write(n)
			}
			s.mu.Unlock()
			if left {
				return
			}
		}
	}()
}

// exit closes the listener and all connections.
func (s *server) exit() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// leave removes the server's entry. It goes on serving.
func (s *server) leave(st *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	st.remove("servers", s.id)
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve serves one connection.
func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var again []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if again != nil {
			id := r.Header.Get("Oleanderfall-Request-Id")
			s.rec.add("server", s.id, "sends its last answer again, at the place of the answer to", id)
			late, conn := again, c
			again = nil
			go func() {
				time.Sleep(lateCopyDelay)
				_, _ = conn.Write(late)
			}()
		}
		sent, keep := s.answer(c, in, r, body)
		if !keep {
			return
		}
		if s.copies != nil && s.copies() {
			again = sent
		}
	}
}

// lateCopyDelay is the time from the arrival of a request to the second copy of the answer before it.
const lateCopyDelay = 5 * time.Millisecond

// answer answers one request. It returns the answer, and whether the connection stays open.
func (s *server) answer(c net.Conn, in *bufio.Reader, r *http.Request, body []byte) (sent []byte, keep bool) {
	id := r.Header.Get("Oleanderfall-Request-Id")
	if want := r.Header.Get("Oleanderfall-Expected-Instance"); want != "" && want != s.id {
		return s.write(c, s.format(id, 421, "Oleanderfall-Not-Run: 1\r\n", ""))
	}
	if r.URL.Path == "/health" {
		return s.write(c, s.format(id, 200, "", "ok"))
	}
	if !s.take() {
		s.rec.add("server", s.id, "refuses, not run:", id)
		return s.write(c, s.format(id, 503, "Oleanderfall-Not-Run: 1\r\n", "full"))
	}
	s.rec.ran(s.id, id)
	gone, finished := make(chan struct{}), make(chan struct{})
	go func() {
		// The next request on the connection comes only after the answer.
		if _, err := in.Peek(1); err != nil {
			close(gone)
		}
		close(finished)
	}()
	timer := time.NewTimer(s.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
		s.free()
		s.rec.add("server", s.id, "connection closed while at work on", id)
		return nil, false
	}
	s.free()
	s.rec.add("server", s.id, "answers", id)
	if sent, keep = s.write(c, s.format(id, 200, "Oleanderfall-Response-Stamp: "+stamp(s.id, id)+"\r\n", "done "+id)); keep {
		<-finished
	}
	return sent, keep
}

// take takes a slot, if one is free.
func (s *server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func stamp(server, id string) string { return "st." + server + "." + id }

func (s *server) format(id string, status int, headers, body string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		b.WriteString("Oleanderfall-Request-Id: " + id + "\r\n")
	}
	b.WriteString(headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\nKeep-Alive: timeout=10\r\n\r\n" + body)
	return []byte(b.String())
}

func (s *server) write(c net.Conn, answer []byte) ([]byte, bool) {
	_, err := c.Write(answer)
	return answer, err == nil
}
