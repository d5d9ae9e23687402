package viewstream

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// A control program that has just restarted may send a view of a lower generation or
// without a configuration. If it replaced the client's configuration, the data path would
// fall back to old settings or lose all endpoints.
func TestClient_KeepsHigherGeneration(t *testing.T) {
	c := NewClient(nil, "", slog.Default())
	newer, older := &model.Config{}, &model.Config{}
	c.accept(&model.FleetView{Generation: 7, Config: newer})
	c.accept(&model.FleetView{Generation: 5, Config: older})
	if v := c.View(); v.Generation != 7 || v.Config != newer {
		t.Fatalf("generation %d in force after an older view", v.Generation)
	}
	c.accept(&model.FleetView{Generation: 0})
	if v := c.View(); v.Generation != 7 || v.Config != newer {
		t.Fatalf("generation %d in force after a view without configuration", v.Generation)
	}
}

// The first request is answered immediately. A request of a client that has the current view
// waits for the next one, and gets no configuration if the generation is unchanged.
func TestHub_AnswersWhenViewDiffers(t *testing.T) {
	h := NewHub(9)
	h.Publish(&model.FleetView{Generation: 3, Config: &model.Config{}})
	first := h.waitForView(t.Context(), wire.ViewRequest{WaitMillis: 60_000})
	if first.ControlIncarnation != 9 || first.View.Sequence != 1 || first.View.Config == nil {
		t.Fatalf("first answer: %+v", first)
	}
	answers := make(chan wire.ViewReply, 1)
	go func() {
		answers <- h.waitForView(t.Context(), wire.ViewRequest{ControlIncarnation: 9, After: 1, Generation: 3, WaitMillis: 60_000})
	}()
	select {
	case <-answers:
		t.Fatal("answered without a change")
	case <-time.After(20 * time.Millisecond):
	}
	h.Publish(&model.FleetView{Generation: 3, Config: &model.Config{}})
	if second := <-answers; second.View.Sequence != 2 || second.View.Config != nil {
		t.Fatalf("second answer: %+v", second)
	}
}

// Sequence numbers start again with each control incarnation. A client of an earlier one
// must be answered immediately even if it has the same sequence number.
func TestHub_AnswersClientOfEarlierIncarnation(t *testing.T) {
	h := NewHub(9)
	h.Publish(&model.FleetView{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r := h.waitForView(ctx, wire.ViewRequest{ControlIncarnation: 8, After: 1, WaitMillis: 60_000}); r.View.Sequence != 1 {
		t.Fatalf("answer: %+v", r)
	}
}
