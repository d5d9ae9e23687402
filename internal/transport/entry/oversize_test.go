package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/claimservice"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// An answer that exceeds the size limit is neither retried nor counted as a failure of the
// endpoint.
func TestOversizeAnswer_NotEndpointFailure(t *testing.T) {
	const tooLarge, requests = 8<<20 + 1, 6
	b := newTestEnv(t)
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
		if key != (claimservice.Key{Caller: "lab", Service: "registry", Idempotency: "k1"}) || c.outcome != resultcode.Ran {
			t.Errorf("claim %v settled as %q", key, c.outcome)
		}
	}
	b.claims.mu.Unlock()
	if r := b.call("small", "x"); r.code != resultcode.OK {
		t.Errorf("request after oversize answers got %v", r.code)
	}
	hedges := b.countHedges(t, requests+2)
	if n := runs.Load(); n > requests+2+hedges {
		t.Errorf("%d runs for %d requests with %d hedges", n, requests+2, hedges)
	}
}

// countHedges checks that the history has the given number of requests, each sent once
// apart from hedges, and returns the number of hedges. A hedge runs in parallel to a slow
// attempt and does not follow one that ended.
func (b *testEnv) countHedges(t *testing.T, requests int) int64 {
	t.Helper()
	h := b.server.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.byID) != requests {
		t.Errorf("unexpected number of requests in the history: %d", len(h.byID))
	}
	var hedges int64
	for _, r := range h.byID {
		r.mu.Lock()
		var sent, hedged int64
		for _, e := range r.events {
			switch e.What {
			case "sent":
				sent++
			case "hedged":
				hedged++
			}
		}
		if sent < 1 || sent > 1+hedged {
			t.Errorf("request %s: sent %d times with %d hedges", r.id, sent, hedged)
		}
		hedges += hedged
		r.mu.Unlock()
	}
	return hedges
}
