package httpanswer

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// Guards against heads that net/http reads although they are none.
func TestCheckHead(t *testing.T) {
	for head, want := range map[string]int{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n":                               200,
		"HTTP/1.1 200 OK\nContent-Length:2\n\n":                                      200,
		"HTTP/1.0 503 \r\n\r\n":                                                      503,
		"HTTP/1.1 204\r\n\r\n":                                                       204,
		"HTTP/1.1 103 Early Hints\r\nLink: <a>; rel=b\r\n\r\n":                       103,
		"HTTP/1.1 599 \xe4\r\nX: \xff\tq \r\nX:\r\n\r\n":                             599,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n":                      200,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n":          200,
		"HTTP/1.1 000 OK\r\n\r\n":                                                    0,
		"HTTP/1.1 099 OK\r\n\r\n":                                                    0,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                                   0,
		"HTTP/1.1 600 OK\r\n\r\n":                                                    0,
		"HTTP/1.1 +20 OK\r\n\r\n":                                                    0,
		"HTTP/1.1 2000\r\n\r\n":                                                      0,
		"HTTP/2.0 200 OK\r\n\r\n":                                                    0,
		"http/1.1 200 OK\r\n\r\n":                                                    0,
		"HTTP/1.1  200 OK\r\n\r\n":                                                   0,
		"HTTP/1.1 200 O\x00K\r\n\r\n":                                                0,
		"\r\n\r\n":                                                                   0,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n":                              0,
		"HTTP/1.1 200 OK\r\nOdd Name: x\r\n\r\n":                                     0,
		"HTTP/1.1 200 OK\r\nOdd\tName: x\r\n\r\n":                                    0,
		"HTTP/1.1 200 OK\r\nOdd\x01: x\r\n\r\n":                                      0,
		"HTTP/1.1 200 OK\r\nOdd\x7f: x\r\n\r\n":                                      0,
		"HTTP/1.1 200 OK\r\nOd\xe4: x\r\n\r\n":                                       0,
		"HTTP/1.1 200 OK\r\n: x\r\n\r\n":                                             0,
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\n":                                        0,
		"HTTP/1.1 200 OK\r\nX: a\r\n folded\r\n\r\n":                                 0,
		"HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n":                                         0,
		"HTTP/1.1 200 OK\r\nX: a\r\r\n\r\n":                                          0,
		"HTTP/1.1 200 OK\r\nX: a\x00\r\n\r\n":                                        0,
		"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n":                              0,
		"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\n":                            0,
		"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n":                                 0,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n":          0,
		"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999\r\n\r\n":             0,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                0,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n": 0,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                      0,
	} {
		if n := HeadLength([]byte(head), 0); n != len(head) && head != "\r\n\r\n" {
			t.Errorf("%q: head of %d bytes", head, n)
		}
		if got, err := checkHead([]byte(head)); got != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %d, %v, want %d", head, got, err, want)
		}
	}
}

// FuzzCheckHead checks that net/http reads each head that passes, with the same status, length and names.
func FuzzCheckHead(f *testing.F) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n\r\n", "HTTP/1.0 404\nA:\n\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n := HeadLength(b, 0)
		if n == 0 {
			return
		}
		status, err := checkHead(b[:n])
		if err != nil {
			return
		}
		r := bufio.NewReader(bytes.NewReader(b[:n]))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%q passes, net/http: %v", b[:n], err)
		}
		if resp.StatusCode != status || r.Buffered() > 0 {
			t.Fatalf("%q: status %d, net/http %d and %d bytes left", b[:n], status, resp.StatusCode, r.Buffered())
		}
		for name := range resp.Header {
			if name == "" || strings.IndexFunc(name, notInToken) >= 0 {
				t.Fatalf("%q passes with the field %q", b[:n], name)
			}
		}
	})
}

// Guards against a head of a peer that passes on what its endpoint sent.
func TestCheckHead_OfAPeer(t *testing.T) {
	sound := http.Header{"X-A": {"b", "c\td"}}
	if err := CheckHead(200, sound); err != nil {
		t.Error(err)
	}
	for status, fields := range map[int]http.Header{0: sound, 99: sound, 101: sound, 600: sound, 200: {"Odd Name": {"x"}}, 201: {"X": {"a\x01"}}} {
		if err := CheckHead(status, fields); err == nil {
			t.Errorf("status %d with %q is an answer", status, fields)
		}
	}
}
