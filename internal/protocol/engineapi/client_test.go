package engineapi

import (
	"context"
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
