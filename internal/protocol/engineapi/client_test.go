package engineapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Following a redirect would send a call twice and return the redirect target's body as
// the endpoint's answer. The client must return the redirect itself and send one request.
func TestCall_DoesNotFollowRedirects(t *testing.T) {
	for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect} {
		var requests atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			if r.URL.Path != "/other" {
				w.Header().Set("Location", "/other")
				w.WriteHeader(status)
			}
		}))
		httpClient := &http.Client{}
		answer, err := NewClient(httpClient).Call(context.Background(), strings.TrimPrefix(server.URL, "http://"), CallRequest{Call: "issue", Body: []byte("x")})
		server.Close()
		if err != nil || answer.Status != status || requests.Load() != 1 {
			t.Errorf("%d: status %d, %d requests, %v", status, answer.Status, requests.Load(), err)
		}
		if httpClient.CheckRedirect != nil {
			t.Error("the HTTP client passed to NewClient was changed")
		}
	}
}

// An answer that is cut at any byte must not be returned with an empty or a short body, nor the call be said not to have been sent. A
// part of a body that ends with its connection can't be told from the whole.
func TestCall_CutAnswerIsAnError(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nX-Incarnation: 12\r\n", "the answer"
	for framing, whole := range map[string]string{
		"length":     head + "Content-Length: 10\r\n\r\n" + body,
		"chunks":     head + "Transfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n",
		"connection": head + "\r\n" + body,
	} {
		for at := 0; at <= len(whole); at++ {
			var requests atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(conn, whole[:at])
				_ = conn.Close()
			}))
			answer, err := NewClient(&http.Client{}).Call(context.Background(), strings.TrimPrefix(server.URL, "http://"), CallRequest{Call: "issue", Body: []byte("x")})
			server.Close()
			_, sent, _ := strings.Cut(whole[:at], "\r\n\r\n")
			mayPass := at == len(whole) || framing == "connection" && sent != ""
			if err == nil && !mayPass || err != nil && at == len(whole) || errors.Is(err, ErrNotSent) || requests.Load() != 1 {
				t.Errorf("%s, cut after %d of %d bytes: %q, %v, %d requests", framing, at, len(whole), answer.Body, err, requests.Load())
			}
		}
	}
}
