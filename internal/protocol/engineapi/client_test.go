package engineapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestRedirectsAreNotFollowed: another page's body is not the answer, and a call is
// dispatched once.
func TestRedirectsAreNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect} {
		var requests atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			if r.URL.Path != "/other" {
				w.Header().Set("Location", "/other")
				w.WriteHeader(status)
			}
		}))
		given := &http.Client{}
		answer, err := NewClient(given).Call(context.Background(), strings.TrimPrefix(server.URL, "http://"), CallRequest{Call: "issue", Body: []byte("x")})
		server.Close()
		if err != nil || answer.Status != status || requests.Load() != 1 {
			t.Errorf("%d: status %d, %d requests, %v", status, answer.Status, requests.Load(), err)
		}
		if given.CheckRedirect != nil {
			t.Error("the given client was changed")
		}
	}
}
