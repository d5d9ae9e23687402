package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// serveTest serves a handler within limits until the test ends, and returns its address.
func serveTest(t *testing.T, limits Limits, heads HeadLimits, handler http.HandlerFunc) (*Limiter, string) {
	t.Helper()
	l := NewLimiter(limits.Or(DefaultLimits(0, 0)), prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
	listener, err := l.Listen(context.Background(), "tcp4", "127.0.0.1:0", "test", func() HeadLimits { return heads })
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	Prepare(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, listener.Addr().String()
}

func dialTest(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn, bufio.NewReader(conn)
}

// Guards against requests that are cut, joined or lost where one ends and the next begins, however they arrive.
func TestConn_RequestsOneAfterTheOther(t *testing.T) {
	_, address := serveTest(t, Limits{}, HeadLimits{}, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %d %x %v %s", r.Method, r.URL.Path, len(r.Header), body, err, r.Trailer.Get("T"))
	})
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		var sent bytes.Buffer
		var want []string
		for i := range 8 {
			body := make([]byte, []int{0, 1, 10, 5000, 70000}[random.IntN(5)])
			for j := range body {
				body[j] = "\r\n0:; a"[random.IntN(7)]
			}
			path, fields := fmt.Sprintf("/%d", i), strings.Repeat("F: \r\n", random.IntN(400))
			header := 0
			if fields != "" {
				header++
			}
			switch random.IntN(3) {
			case 0:
				fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, fields)
				want = append(want, fmt.Sprintf("GET %s %d  <nil> ", path, header))
			case 1:
				fmt.Fprintf(&sent, "POST %s HTTP/1.1\nHost: a\ncontent-length: %d\n%s\n%s", path, len(body), fields, body)
				want = append(want, fmt.Sprintf("POST %s %d %x <nil> ", path, header+1, body))
			default:
				fmt.Fprintf(&sent, "PUT %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n%s\r\n", path, fields)
				for rest := body; len(rest) > 0; {
					n := 1 + random.IntN(len(rest))
					fmt.Fprintf(&sent, "%X;x=y\r\n%s\r\n", n, rest[:n])
					rest = rest[n:]
				}
				sent.WriteString("0\r\nT: t\r\n\r\n")
				want = append(want, fmt.Sprintf("PUT %s %d %x <nil> t", path, header, body))
			}
		}
		conn, answers := dialTest(t, address)
		go func() {
			for sent.Len() > 0 {
				_, _ = conn.Write(sent.Next(1 + random.IntN([]int{5, 3000, 200000}[seed%3])))
				if seed%3 == 0 && sent.Len() > 2000 {
					_, _ = conn.Write(sent.Next(sent.Len() - 2000))
				}
			}
		}()
		for i, w := range want {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("seed %d, request %d: %v", seed, i, err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != w {
				t.Fatalf("seed %d, request %d: %.200q, error %v, want %.200q", seed, i, got, err, w)
			}
		}
		_ = conn.Close()
	}
}

// FuzzChunkEnd checks that the end of each body that net/http reads is found.
func FuzzChunkEnd(f *testing.F) {
	for _, body := range []string{"0\r\n\r\nGET", "5\r\nhello\r\n0\r\n\r\n", "a;b=c\r\n0123456789\r\n0\r\nT: x\r\n\r\nrest", "1\nx\n0\n\n", "x\r\n"} {
		f.Add([]byte(body), 3)
	}
	f.Fuzz(func(t *testing.T, raw []byte, step int) {
		source := bytes.NewReader(raw)
		buffered := bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"), source))
		r, err := http.ReadRequest(buffered)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		want := len(raw) - source.Len() - buffered.Buffered()
		var c chunkEnd
		got := 0
		for step = 1 + max(step, -step)%100; got < len(raw) && !c.ended; {
			got += c.advance(raw[got:min(len(raw), got+max(1, step))])
		}
		if !c.ended || got != want {
			t.Errorf("%q: end found %v after %d bytes, want %d", raw, c.ended, got, want)
		}
	})
}

// Guards against a refusal that the client does not get since it is still sending.
func TestConn_RefusalArrives(t *testing.T) {
	_, address := serveTest(t, Limits{}, HeadLimits{MaxBytes: 1000}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	for request, want := range map[string]int{
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 100000) + "\r\n\r\n":                           431,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000-1):          404,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 9000): 404,
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 900) + "\r\n\r\n":                              404,
	} {
		conn, answers := dialTest(t, address)
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%.60q: answer %v, error %v, want status %d", request, resp, err, want)
		}
	}
}

// Guards against heads and idle connections that outlast the limits of the listener.
func TestConn_HeadAndIdleTime(t *testing.T) {
	_, address := serveTest(t, Limits{}, HeadLimits{Timeout: 200 * time.Millisecond, IdleTimeout: 400 * time.Millisecond},
		func(http.ResponseWriter, *http.Request) {})
	slow, _ := dialTest(t, address)
	idle, answers := dialTest(t, address)
	began := time.Now()
	go func() {
		for range 100 {
			_, _ = slow.Write([]byte("G"))
			time.Sleep(20 * time.Millisecond)
		}
	}()
	if _, err := slow.Read(make([]byte, 1)); err == nil || time.Since(began) < 200*time.Millisecond {
		t.Errorf("slow head: error %v after %v", err, time.Since(began))
	}
	if _, err := io.WriteString(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatalf("connection idle for less than the limit: %v", err)
	}
	if _, err := http.ReadResponse(answers, nil); err != nil {
		t.Fatalf("connection idle for less than the limit: %v", err)
	}
	if _, err := answers.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: error %v", err)
	}
}

// Guards against a client that is disconnected although others have made no progress for longer.
func TestLimiter_LongestWithoutProgress(t *testing.T) {
	const connections = 20
	l, address := serveTest(t, Limits{Connections: connections}, HeadLimits{}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	working, workingAnswers := dialTest(t, address) // makes progress all the while
	var crowd []net.Conn
	for i := range 3 * connections {
		conn, _ := dialTest(t, address)
		crowd = append(crowd, conn)
		_, _ = io.WriteString(working, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
		resp, err := http.ReadResponse(workingAnswers, nil)
		if err != nil {
			t.Fatalf("beside %d idle connections: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close { // almost all connections are in use
			working, workingAnswers = dialTest(t, address)
		}
	}
	l.mu.Lock()
	open := len(l.conns)
	l.mu.Unlock()
	if open > connections {
		t.Errorf("%d connections open, limit %d", open, connections)
	}
	_ = crowd[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := crowd[0].Read(make([]byte, 1)); err == nil {
		t.Error("the first idle connection is still open")
	}
}
