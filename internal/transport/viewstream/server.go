package viewstream

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
)

// maxPollWait limits how long a poll may wait for a change.
const maxPollWait = 30 * time.Second

// Hub holds the current view of a control program and serves it to clients. Its methods
// may be called from any goroutine.
type Hub struct {
	incarnation uint64
	mu          sync.Mutex
	view        *model.FleetView
	changed     chan struct{}
}

// NewHub returns a hub without a view, for a control program with the given incarnation.
func NewHub(incarnation uint64) *Hub {
	return &Hub{incarnation: incarnation, changed: make(chan struct{})}
}

// Publish sets the view's sequence number, makes it the current view and wakes the
// waiting clients. The caller must not modify the view afterwards.
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

// View returns the current view, nil before the first.
func (h *Hub) View() *model.FleetView {
	v, _ := h.current()
	return v
}

func (h *Hub) current() (*model.FleetView, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view, h.changed
}

// Changed returns a channel that is closed when the next view is published.
func (h *Hub) Changed() <-chan struct{} {
	_, changed := h.current()
	return changed
}

// Register registers the hub's handlers on the mesh, which must not have been started yet:
// the reply to a poll is the view, and reports are passed to report. An error of
// report is returned to the client.
func (h *Hub) Register(mesh *quicmesh.Mesh, report func(wire.Report) error) {
	mesh.Handle(wire.MethodView, func(ctx context.Context, _ string, b []byte) (any, error) {
		var r wire.ViewRequest
		if err := wire.Decode(b, &r); err != nil {
			return nil, err
		}
		return h.waitForView(ctx, r), nil
	})
	mesh.Handle(wire.MethodReport, func(_ context.Context, _ string, b []byte) (any, error) {
		var r wire.Report
		if err := wire.Decode(b, &r); err != nil {
			return nil, err
		}
		return wire.ReportReply{}, report(r)
	})
}

// waitForView returns the reply once the view differs from the one that the client has, at
// the latest after the requested wait or when ctx ends. For a client of an earlier control
// incarnation it returns as soon as there is a view.
func (h *Hub) waitForView(ctx context.Context, r wire.ViewRequest) wire.ViewReply {
	wait := min(time.Duration(r.WaitMillis)*time.Millisecond, maxPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		view, changed := h.current()
		if view != nil && (r.ControlIncarnation != h.incarnation || r.After != view.Sequence) {
			return h.newReply(view, r)
		}
		select {
		case <-changed:
		case <-timer.C:
			return h.newReply(view, r)
		case <-ctx.Done():
			return h.newReply(view, r)
		}
	}
}

// newReply returns a reply with the view, without its configuration if the client
// has the same generation.
func (h *Hub) newReply(view *model.FleetView, r wire.ViewRequest) wire.ViewReply {
	out := wire.ViewReply{ControlIncarnation: h.incarnation}
	if view == nil {
		return out
	}
	out.View = *view
	if r.Generation == view.Generation {
		out.View.Config = nil
	}
	return out
}
