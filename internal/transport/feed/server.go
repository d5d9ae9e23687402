package feed

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
)

const maxFeedWait = 30 * time.Second

// Hub holds the present view of a control program for those who wait for the next.
// Its methods may be called from any goroutine.
type Hub struct {
	incarnation uint64
	mu          sync.Mutex
	view        *model.FleetView
	changed     chan struct{}
}

// NewHub returns a hub of one control incarnation, without a view.
func NewHub(incarnation uint64) *Hub {
	return &Hub{incarnation: incarnation, changed: make(chan struct{})}
}

// Publish numbers the view, installs it and wakes those who wait. The hub owns the
// view from then on.
func (h *Hub) Publish(v *model.FleetView) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.Sequence = 1
	if h.view != nil {
		v.Sequence = h.view.Sequence + 1
	}
	h.view = v
	close(h.changed)
	h.changed = make(chan struct{})
}

// View returns the present view, nil before the first.
func (h *Hub) View() *model.FleetView {
	v, _ := h.present()
	return v
}

func (h *Hub) present() (*model.FleetView, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.changed
}

// Changed returns a channel that is closed when the next view is published.
func (h *Hub) Changed() <-chan struct{} {
	_, changed := h.present()
	return changed
}

// Register makes the mesh answer feeds from the hub and hand reports to report.
func (h *Hub) Register(mesh *quicmesh.Mesh, report func(wire.Report) error) {
	mesh.Handle(wire.MethodFeed, func(ctx context.Context, _ string, b []byte) (any, error) {
		var r wire.FeedRequest
		if err := wire.Decode(b, &r); err != nil {
			return nil, err
		}
		return h.answer(ctx, r), nil
	})
	mesh.Handle(wire.MethodReport, func(_ context.Context, _ string, b []byte) (any, error) {
		var r wire.Report
		if err := wire.Decode(b, &r); err != nil {
			return nil, err
		}
		return wire.ReportReply{}, report(r)
	})
}

// answer waits until the view differs from what the caller holds.
func (h *Hub) answer(ctx context.Context, r wire.FeedRequest) wire.FeedReply {
	wait := min(time.Duration(r.WaitMillis)*time.Millisecond, maxFeedWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		view, changed := h.present()
		if view != nil && (r.ControlIncarnation != h.incarnation || r.After != view.Sequence) {
			return h.reply(view, r)
		}
		select {
		case <-changed:
		case <-timer.C:
			return h.reply(view, r)
		case <-ctx.Done():
			return h.reply(view, r)
		}
	}
}

func (h *Hub) reply(view *model.FleetView, r wire.FeedRequest) wire.FeedReply {
	out := wire.FeedReply{ControlIncarnation: h.incarnation}
	if view == nil {
		return out
	}
	out.View = *view
	if r.Generation == view.Generation {
		out.View.Config = nil
	}
	return out
}
