package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// bodyFunc is a request body that calls a function when it is read.
type bodyFunc func() error

func (f bodyFunc) Read([]byte) (int, error) { return 0, f() }

// serve passes a request for a call of the service registry to the handler, without a
// connection.
func (b *testEnv) serve(call string, body io.Reader, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "/v1/services/registry/"+call, body)
	req.Header.Set(httpapi.CallerHeader, "lab")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	b.server.Handler().ServeHTTP(w, req)
	return w
}

// A request uses one configuration throughout. If the service is removed while the body is
// uploaded, a non-idempotent call still does not run without a claim.
func TestClaimedCall_ServiceRemovedDuringUpload(t *testing.T) {
	b := newTestEnv(t)
	p := b.plain(standin.PlainServiceOptions{})
	b.apply(nil)
	w := b.serve("issue", bodyFunc(func() error {
		changed := *b.config
		changed.Services = map[model.ServiceID]model.Service{}
		b.apply(func(v *model.FleetView) { v.Config = &changed })
		return io.EOF
	}), httpapi.IdempotencyKeyHeader, "k1")
	b.claims.mu.Lock()
	claimed := len(b.claims.held)
	b.claims.mu.Unlock()
	if len(p.Runs()) != claimed {
		t.Fatalf("%d runs under %d claims, status %d", len(p.Runs()), claimed, w.Code)
	}
}

// A request with an idempotency key that is refused before its claim is looked up has the
// outcome unknown, because an earlier request with the key may have run at another host.
func TestKeyedRefusal_UnknownBeforeClaimCheck(t *testing.T) {
	b := newTestEnv(t)
	b.plain(standin.PlainServiceOptions{})
	key := []string{httpapi.IdempotencyKeyHeader, "k1"}
	check := func(name string, w *httptest.ResponseRecorder) {
		t.Helper()
		if got := resultcode.Outcome(w.Header().Get(httpapi.OutcomeHeader)); got != resultcode.Unknown {
			t.Errorf("%s: outcome %q", name, got)
		}
	}
	check("no view", b.serve("issue", http.NoBody, key...))
	b.apply(nil)
	check("broken upload", b.serve("issue", bodyFunc(func() error { return io.ErrUnexpectedEOF }), key...))
	check("unknown caller", b.serve("issue", http.NoBody, append(key, httpapi.CallerHeader, "stranger")...))
	check("bad deadline", b.serve("issue", http.NoBody, append(key, httpapi.DeadlineHeader, "x")...))
	lagging := *b.config
	lagging.Services = map[model.ServiceID]model.Service{}
	b.apply(func(v *model.FleetView) { v.Config = &lagging })
	check("unknown service", b.serve("issue", http.NoBody, key...))
}
