// Package viewstream sends the fleet view from a host's control program to its data-path
// programs by long polling, and their reports in the other direction.
//
// Invariant: a client never replaces its configuration by one of a lower generation, and
// keeps its last view while the control program cannot be reached.
package viewstream

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
)

const (
	// pollWait is how long a poll asks the control program to wait for a change.
	pollWait = 5 * time.Second
	// callMargin is added to pollWait for the timeout of a poll.
	callMargin    = 3 * time.Second
	retryDelay    = 200 * time.Millisecond
	reportTimeout = 2 * time.Second
)

// Client follows the fleet view of one control program. Run must be called once; the other
// methods may be called from any goroutine.
type Client struct {
	mesh           *quicmesh.Mesh
	controlAddress string
	log            *slog.Logger
	view           atomic.Pointer[model.FleetView]
	changed        chan struct{}
}

// NewClient returns a client of the control program at address (UDP host:port). Run starts
// following the view.
func NewClient(mesh *quicmesh.Mesh, address string, log *slog.Logger) *Client {
	return &Client{mesh: mesh, controlAddress: address, log: log, changed: make(chan struct{}, 1)}
}

// View returns the last view received, nil before the first. The view is immutable.
func (c *Client) View() *model.FleetView { return c.view.Load() }

var errNoView = errors.New("no fleet view yet")

// Ready returns nil once a view has been received.
func (c *Client) Ready() error {
	if c.View() == nil {
		return errNoView
	}
	return nil
}

// Changed returns a channel that receives after the view changed. Several changes may be
// merged into one signal. The channel supports one consumer.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Run polls for views until ctx ends. After an error it retries every retryDelay.
func (c *Client) Run(ctx context.Context) {
	incarnation := uint64(0)
	connected := false
	for ctx.Err() == nil {
		reply, err := c.poll(ctx, incarnation)
		if err != nil {
			if connected {
				c.log.Warn("Control program unreachable; keeping the last view", "err", err)
			}
			connected = false
			clock.Sleep(ctx, retryDelay)
			continue
		}
		connected = true
		incarnation = reply.ControlIncarnation
		c.accept(&reply.View)
	}
}

func (c *Client) poll(ctx context.Context, incarnation uint64) (wire.ViewReply, error) {
	request := wire.ViewRequest{ControlIncarnation: incarnation, WaitMillis: pollWait.Milliseconds()}
	if v := c.View(); v != nil {
		request.After = v.Sequence
		request.Generation = v.Generation
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+callMargin)
	defer cancel()
	var reply wire.ViewReply
	err := c.mesh.Call(ctx, c.controlAddress, wire.MethodView, request, &reply)
	return reply, err
}

// accept stores the next view. If it has no configuration or one of a lower generation,
// the current configuration is kept.
func (c *Client) accept(next *model.FleetView) {
	current := c.View()
	if current != nil && (next.Config == nil || next.Generation < current.Generation) {
		next.Config = current.Config
		next.Generation = current.Generation
	}
	c.view.Store(next)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Report sends a report once and waits up to reportTimeout for the reply. Retries are up to
// the caller.
func (c *Client) Report(ctx context.Context, r wire.Report) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply wire.ReportReply
	return c.mesh.Call(ctx, c.controlAddress, wire.MethodReport, r, &reply)
}
