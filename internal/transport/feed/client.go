// Package feed carries the fleet view from a host's control program to its
// data-path programs, and their reports back.
//
// Invariant: a client never replaces its configuration by one of a lower
// generation, and keeps its last view while the control program is gone.
package feed

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
	feedWait   = 5 * time.Second
	callSlack  = 3 * time.Second
	retryDelay = 200 * time.Millisecond
	reportTime = 2 * time.Second
)

// Client follows the view of one control program.
type Client struct {
	mesh    *quicmesh.Mesh
	control string
	log     *slog.Logger
	view    atomic.Pointer[model.FleetView]
	changed chan struct{}
}

// NewClient returns a client of the control program at address (UDP host:port).
func NewClient(mesh *quicmesh.Mesh, address string, log *slog.Logger) *Client {
	return &Client{mesh: mesh, control: address, log: log, changed: make(chan struct{}, 1)}
}

// View returns the last view, nil before the first. The view is immutable.
func (c *Client) View() *model.FleetView { return c.view.Load() }

// errNoView: the control program has sent no view yet.
var errNoView = errors.New("no fleet view yet")

// Ready returns nil once there is a view.
func (c *Client) Ready() error {
	if c.View() == nil {
		return errNoView
	}
	return nil
}

// Changed receives after the view changed; several changes may make one signal.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Run follows the view until ctx ends.
func (c *Client) Run(ctx context.Context) {
	incarnation := uint64(0)
	connected := false
	for ctx.Err() == nil {
		reply, err := c.poll(ctx, incarnation)
		if err != nil {
			if connected {
				c.log.Warn("Control program lost; the last view stays in use.", "err", err)
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

func (c *Client) poll(ctx context.Context, incarnation uint64) (wire.FeedReply, error) {
	request := wire.FeedRequest{ControlIncarnation: incarnation, WaitMillis: feedWait.Milliseconds()}
	if v := c.View(); v != nil {
		request.After = v.Sequence
		request.Generation = v.Generation
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+callSlack)
	defer cancel()
	var reply wire.FeedReply
	err := c.mesh.Call(ctx, c.control, wire.MethodFeed, request, &reply)
	return reply, err
}

// accept installs a view, keeping a newer configuration that it already has.
func (c *Client) accept(next *model.FleetView) {
	held := c.View()
	if held != nil && (next.Config == nil || next.Generation < held.Generation) {
		next.Config = held.Config
		next.Generation = held.Generation
	}
	c.view.Store(next)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Report sends a report; the caller repeats it when it matters.
func (c *Client) Report(ctx context.Context, r wire.Report) error {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	var reply wire.ReportReply
	return c.mesh.Call(ctx, c.control, wire.MethodReport, r, &reply)
}
