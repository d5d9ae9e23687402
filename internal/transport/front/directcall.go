package front

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/backend"
)

// directCall is a request on the host's own links.
type directCall struct {
	path   *EndpointPath
	began  time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	// progressAt is the time of the last progress, maxSilence how long the call may be without
	// progress while the host is cut off, in nanoseconds; zero is unlimited.
	progressAt instant
	maxSilence atomic.Int64
	// unwatch keeps the call from being cancelled when the host becomes cut off; path.mu guards it.
	unwatch func() bool
}

// beginDirect returns a call on the host's own links. It is cancelled with errLinksLost when the host
// is cut off and the call has made no progress for maxSilence, unless that is zero. ok is false if
// the host is cut off already.
func (p *EndpointPath) beginDirect(ctx context.Context, maxSilence time.Duration) (c *directCall, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.monitor.CutOff() {
		return nil, false
	}
	c = &directCall{path: p, began: time.Now(), unwatch: func() bool { return true }}
	c.progressAt.set(c.began)
	c.maxSilence.Store(int64(maxSilence))
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	if maxSilence > 0 {
		c.watch()
	}
	p.monitor.Begin(c.began)
	p.scheduleSilenceCheck()
	return c, true
}

// watch has the call cancelled if the host becomes cut off. The caller holds the lock of the path.
func (c *directCall) watch() { c.unwatch = context.AfterFunc(c.path.lost, c.cancelWhenSilent) }

// cancelWhenSilent cancels the call once it has made no progress for maxSilence, unless the host has
// its links again before.
func (c *directCall) cancelWhenSilent() {
	for c.ctx.Err() == nil {
		left := c.silenceLeft(time.Now())
		if left <= 0 {
			c.cancel(errLinksLost)
			return
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(left):
		}
		if !c.path.CutOff() {
			c.path.mu.Lock()
			defer c.path.mu.Unlock()
			c.watch()
			return
		}
	}
}

// silenceLeft returns how much longer the call may be without progress.
func (c *directCall) silenceLeft(now time.Time) time.Duration {
	return time.Duration(c.maxSilence.Load()) - now.Sub(c.progressAt.time())
}

// progress records an answer or an event of the call.
func (c *directCall) progress() {
	now := time.Now()
	c.progressAt.set(now)
	c.path.mu.Lock()
	c.path.monitor.Progress(now)
	c.path.mu.Unlock()
}

// end ends the call and returns its error. The error also is backend.ErrPathLost if the host is cut
// off and the request failed for that reason or for an unknown one.
func (c *directCall) end(err error) error {
	c.path.mu.Lock()
	c.unwatch()
	c.path.monitor.End()
	c.path.mu.Unlock()
	defer c.cancel(nil)
	switch {
	case err == nil || !concernsPath(err):
		return err
	case errors.Is(context.Cause(c.ctx), errLinksLost):
		return errors.Join(backend.ErrPathLost, errLinksLost, err)
	case c.path.checkAfterFailure(c.ctx, c.began, err):
		return errors.Join(backend.ErrPathLost, err)
	}
	return err
}

// concernsPath reports whether an error may come from the loss of the links. Others are the
// endpoint's own answers, and errors of the caller.
func concernsPath(err error) bool {
	var connection *net.OpError
	return errors.Is(err, backend.ErrUnreachable) || errors.Is(err, backend.ErrIncompleteAnswer) || errors.As(err, &connection)
}
