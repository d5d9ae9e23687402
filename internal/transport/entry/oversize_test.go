package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/claimduty"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// TestOversizeAnswerIsNoFailureOfItsEndpoint: an answer that is too large to pass on
// is neither asked for again nor held against the endpoint.
func TestOversizeAnswerIsNoFailureOfItsEndpoint(t *testing.T) {
	const tooLarge, requests = 8<<20 + 1, 6
	b := newBed(t)
	var runs atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/v1/call/small" {
			return
		}
		_, _ = w.Write(make([]byte, tooLarge))
	}))
	t.Cleanup(endpoint.Close)
	b.endpoint("large", model.Endpoint{
		Kind: model.EndpointPlain, Service: "registry", Zone: "lj-a", Address: strings.TrimPrefix(endpoint.URL, "http://"),
	})
	b.apply(nil)
	for range requests {
		if r := b.call("lookup", "x"); r.code != resultcode.AnswerLost || r.outcome != resultcode.Ran {
			t.Errorf("idempotent: %v, %q", r.code, r.outcome)
		}
	}
	r := b.call("issue", "x", httpapi.IdempotencyKeyHeader, "k1")
	if r.code != resultcode.AnswerLost || r.outcome != resultcode.Ran {
		t.Errorf("claimed: %v, %q", r.code, r.outcome)
	}
	b.server.background.Wait()
	b.claims.mu.Lock()
	for key, c := range b.claims.held {
		if key != (claimduty.Key{Caller: "lab", Service: "registry", Idempotency: "k1"}) || c.outcome != resultcode.Ran {
			t.Errorf("claim %v settled as %q", key, c.outcome)
		}
	}
	b.claims.mu.Unlock()
	if r := b.call("small", "x"); r.code != resultcode.OK {
		t.Errorf("the endpoint was given up: %v", r.code)
	}
	if n := runs.Load(); n != requests+2 {
		t.Errorf("%d runs of %d requests", n, requests+2)
	}
}
