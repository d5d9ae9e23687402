package httpanswer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// writerFirst is a connection on which the reader learns of a reset only after the writer, once it has read a
// number of bytes: the kernel reports a reset once, to either of them.
type writerFirst struct {
	net.Conn
	bytes  int
	read   int
	failed chan struct{}
	once   sync.Once
}

func (c *writerFirst) Read(b []byte) (int, error) {
	if c.read >= c.bytes {
		select {
		case <-c.failed:
		case <-time.After(testTimeout):
		}
	}
	n, err := c.Conn.Read(b)
	c.read += n
	return n, err
}

func (c *writerFirst) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		time.Sleep(50 * time.Millisecond) // the reader goes on before net/http hears of the error
	}
	return n, err
}

// serveRaw starts a server that calls serve with each connection after the head of its first request.
func serveRaw(t *testing.T, serve func(conn *net.TCPConn, in *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					if line == "\r\n" {
						break
					}
				}
				if tcp, ok := conn.(*net.TCPConn); ok {
					serve(tcp, in)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// post sends a body over a transport and returns what it got and the error at its end.
func post(t *testing.T, transport http.RoundTripper, address string, body []byte) (status int, got string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = int64(len(body))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// Guards against a part of an answer without a length that counts as the whole one, because the writer of the
// request got the kernel's report of the reset, and the reader saw an end like any other.
func TestTransport_ResetDuringUpload(t *testing.T) {
	const head, part = "HTTP/1.1 200 OK\r\n\r\n", "half of an answer"
	upload := make([]byte, 8<<20)
	for name, end := range map[string]func(conn *net.TCPConn){
		"reset":                    func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"closed with unread bytes": func(*net.TCPConn) {},
	} {
		address := serveRaw(t, func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, head+part)
			time.Sleep(50 * time.Millisecond) // the upload fills the buffers
			end(conn)
		})
		transport := NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &writerFirst{Conn: conn, bytes: len(head) + len(part), failed: make(chan struct{})}, err
		}})
		for round := range 10 {
			if status, got, err := post(t, transport, address, upload); err == nil {
				t.Errorf("%s, round %d: %q with status %d counts as whole", name, round, got, status)
			}
		}
	}
}

// An answer whose server ends the connection regularly is whole, also while the request is being written.
func TestTransport_RegularEnd(t *testing.T) {
	for name, serve := range map[string]func(conn *net.TCPConn, in *bufio.Reader){
		"never reads the upload": func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = conn.CloseWrite()
			time.Sleep(300 * time.Millisecond)
		},
		"reads the upload": func(conn *net.TCPConn, in *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, in, 8<<20)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		},
	} {
		transport := NewTransport(&http.Transport{DisableKeepAlives: true})
		if status, got, err := post(t, transport, serveRaw(t, serve), make([]byte, 8<<20)); err != nil || status != http.StatusOK || got != "whole" {
			t.Errorf("%s: status %d, %q, %v", name, status, got, err)
		}
	}
}

// Guards against bytes that are no answer and that reach a caller as one.
func TestTransport_NoAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   string // empty if it is no answer
	}{
		"length":                 {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"chunks and trailer":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: b\r\n\r\n", "ok"},
		"provisional":            {"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"blank in the name":      {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\nok and more", ""},
		"blank in another name":  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nOdd Name: x\r\n\r\nok", ""},
		"name in a provisional":  {"HTTP/1.1 103 Early Hints\r\nX : y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"name in a trailer":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n", ""},
		"control in a trailer":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01: b\r\n\r\n", ""},
		"endless trailer":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + strings.Repeat("X-A: b\r\n", 10_000), ""},
		"status 000":             {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"switched":               {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nok", ""},
		"only provisional heads": {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10_000), ""},
		"old chunks":             {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
	} {
		for _, step := range []int{len(c.answer), 1} { // in one piece, or byte by byte
			if step == 1 && len(c.answer) > 1000 {
				continue
			}
			address := serveRaw(t, func(conn *net.TCPConn, in *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, in, 4)
				_ = conn.SetNoDelay(true)
				for at := 0; at < len(c.answer); at += step {
					if _, err := io.WriteString(conn, c.answer[at:at+step]); err != nil {
						return
					}
				}
			})
			status, got, err := post(t, NewTransport(&http.Transport{}), address, []byte("body"))
			if c.want == "" && err == nil || c.want != "" && (err != nil || got != c.want || status != http.StatusOK) {
				t.Errorf("%s, %d bytes at a time: status %d, %q, %v", name, step, status, got, err)
			}
		}
	}
}

// Requests one after another on a kept connection, some with a body that is answered early, get their own answers, and what
// comes after an answer belongs to none.
func TestTransport_KeptConnections(t *testing.T) {
	const uploads = 256 << 10
	var extra atomic.Bool
	address := serveRaw(t, func(conn *net.TCPConn, in *bufio.Reader) {
		for n := 0; ; n++ {
			answer := fmt.Sprintf("answer %d", n)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(answer))
			_, _ = io.WriteString(conn, head+answer[:2])
			_, _ = io.CopyN(io.Discard, in, uploads) // reads on after the beginning of the answer
			if extra.Load() {
				answer += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Y: z\r\n\r\nno"
			}
			_, _ = io.WriteString(conn, answer[2:])
			for line := ""; line != "\r\n"; {
				var err error
				if line, err = in.ReadString('\n'); err != nil {
					return
				}
			}
		}
	})
	for _, withExtra := range []bool{false, true} {
		extra.Store(withExtra)
		transport := NewTransport(&http.Transport{MaxConnsPerHost: 1})
		for n := range 5 {
			status, got, err := post(t, transport, address, make([]byte, uploads))
			if !withExtra && (err != nil || status != http.StatusOK || got != fmt.Sprintf("answer %d", n)) || withExtra && err == nil && !strings.HasPrefix(got, "answer") {
				t.Errorf("extra bytes %v, request %d: status %d, %q, %v", withExtra, n, status, got, err)
			}
		}
		transport.CloseIdleConnections()
	}
}
