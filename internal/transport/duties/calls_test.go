package duties

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
)

// fakeAPI answers all calls with err and records the tokens.
type fakeAPI struct {
	err    error
	tokens []uint64
}

func (a *fakeAPI) ReportUsage(_ context.Context, c operatorapi.Credentials, _ operatorapi.Usage) error {
	a.tokens = append(a.tokens, c.Token)
	return a.err
}

func (a *fakeAPI) SetEndpointCount(_ context.Context, c operatorapi.Credentials, _ operatorapi.EndpointCount) error {
	a.tokens = append(a.tokens, c.Token)
	return a.err
}

// holdingHost returns a host of a simulated fleet that holds the lease.
func holdingHost(t *testing.T) *simHost {
	w := newWorld(t, 2, 1)
	w.run(5 * time.Second)
	return w.find(w.holder())
}

// No call may be sent with the token of another holder, beyond the validity of the lease, or after a
// report was refused for its token. A refusal of an order for endpoints is no loss of the lease while
// the store confirms it.
func TestCalls_OnlyWhileHolding(t *testing.T) {
	ctx := context.Background()
	h := holdingHost(t)
	api := &fakeAPI{}
	calls := NewCalls(h.lease, api, 0, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	creds, ok := h.lease.Credentials(h.now)
	if !ok || creds.Holder != h.name {
		t.Fatalf("credentials %+v, valid %v", creds, ok)
	}
	other := creds
	other.Token--
	if err := calls.ReportUsage(ctx, other, operatorapi.Usage{}); !errors.Is(err, ErrNotHolding) {
		t.Errorf("call with another token: %v", err)
	}
	h.now += Validity // the host was frozen; the store then confirms the lease
	if err := calls.ReportUsage(ctx, creds, operatorapi.Usage{}); err != nil {
		t.Errorf("call after a renewal: %v", err)
	}
	h.now += Validity
	h.storeLost = true
	if err := calls.ReportUsage(ctx, creds, operatorapi.Usage{}); !errors.Is(err, ErrNotHolding) {
		t.Errorf("call without a renewal: %v", err)
	}
	h.storeLost = false
	api.err = operatorapi.ErrSuperseded
	if err := calls.SetEndpointCount(ctx, creds, operatorapi.EndpointCount{}); !errors.Is(err, operatorapi.ErrSuperseded) || errors.Is(err, ErrNotHolding) {
		t.Errorf("order where none are available: %v", err)
	}
	if err := calls.ReportUsage(ctx, creds, operatorapi.Usage{}); !errors.Is(err, operatorapi.ErrSuperseded) {
		t.Errorf("report with a low token: %v", err)
	}
	if err := calls.ReportUsage(ctx, creds, operatorapi.Usage{}); !errors.Is(err, ErrNotHolding) {
		t.Errorf("report after a refusal: %v", err)
	}
	if len(api.tokens) != 3 {
		t.Errorf("the API got %d calls, want 3", len(api.tokens))
	}
}

// The limit holds for all duties together: the API refuses calls beyond it.
func TestCalls_Limit(t *testing.T) {
	h := holdingHost(t)
	api := &fakeAPI{}
	const perSecond = 20
	calls := NewCalls(h.lease, api, perSecond, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	creds, _ := h.lease.Credentials(h.now)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for ctx.Err() == nil {
		_ = calls.ReportUsage(ctx, creds, operatorapi.Usage{})
		_ = calls.SetEndpointCount(ctx, creds, operatorapi.EndpointCount{})
	}
	if n := len(api.tokens); n > perSecond || n < perSecond/2 {
		t.Errorf("%d calls in a second, limit %d", n, perSecond)
	}
}
