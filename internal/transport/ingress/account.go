package ingress

import (
	"context"
	"errors"
	"time"
)

// Account is the memory that the body of one request takes. The memory of a body without one is counted as it is read. An
// Account is not safe for concurrent use.
type Account struct {
	limiter *Limiter
	conn    *Conn
	held    [poolCount]int64
}

// Account returns an empty account for the request whose context is given.
func (l *Limiter) Account(ctx context.Context) *Account {
	c := connOf(ctx)
	if c == nil {
		c = &Conn{limiter: l} // no client waits
	}
	c.accounted.Store(true)
	return &Account{limiter: l, conn: c}
}

// Hold takes n bytes more. Small bodies compete with heads, large ones with each other. It returns false if there is no
// room, also after other clients that make no progress have lost theirs.
func (a *Account) Hold(n int64, large bool) bool {
	p, ok := a.conn.takeBody(n, large)
	if ok {
		a.held[p] += n
	}
	return ok
}

// takeBody takes memory for a body and returns its pool.
func (c *Conn) takeBody(n int64, large bool) (p pool, ok bool) {
	p, stall := heads, time.Duration(0)
	if large {
		p, stall = bodies, bodyStall
	}
	if ok = c.limiter.take(c, p, n, stall, causeBodyMemory); !ok {
		c.limiter.count(causeBodyMemory, c.listener)
	}
	return p, ok
}

// Release gives all bytes back. The end of the request does so too.
func (a *Account) Release() {
	for p, n := range a.held {
		a.limiter.give(a.conn, pool(p), n)
	}
	a.held = [poolCount]int64{}
}

// HoldAnswer takes n bytes for the answer to the request whose context is given, until the end of the request. It waits
// for room while other clients read theirs, and returns an error if the request ends before.
func HoldAnswer(ctx context.Context, n int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.limiter.holdAnswer(ctx, c, n)
}

func (l *Limiter) holdAnswer(ctx context.Context, c *Conn, n int64) error {
	for !l.take(c, answers, n, answerStall, causeAnswers) {
		if c.evicted.Load() {
			return ErrNoRoom
		}
		select {
		case <-ctx.Done():
			return errors.Join(ErrNoRoom, context.Cause(ctx))
		case <-time.After(answerPoll):
		}
	}
	return nil
}
