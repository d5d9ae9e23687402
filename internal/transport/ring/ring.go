// Package ring joins two duties by a bounded queue.
//
// Invariant: a ring never holds more than its capacity, and what happens to an
// item offered to a full ring is fixed where the ring is made.
package ring

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// Rule says what a full ring does with one more item.
type Rule int

// The rules.
const (
	// Refuse: Push returns ErrFull and the item stays with the sender.
	Refuse Rule = iota
	// DropOldest: the oldest item is discarded to make room.
	DropOldest
	// Block: Push waits for room or for its context.
	Block
)

// ErrFull is returned by Push on a full ring under Refuse.
var ErrFull = errors.New("ring full")

// ErrClosed is returned once the ring is closed.
var ErrClosed = errors.New("ring closed")

// Ring is a bounded queue of T. All methods may be called from any goroutine.
type Ring[T any] struct {
	rule    Rule
	items   chan T
	closed  chan struct{}
	once    sync.Once
	dropped atomic.Uint64
}

// New returns a ring for capacity items.
func New[T any](capacity int, rule Rule) *Ring[T] {
	return &Ring[T]{rule: rule, items: make(chan T, capacity), closed: make(chan struct{})}
}

// Push offers an item under the ring's rule.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case <-r.closed:
		return ErrClosed
	default:
	}
	select {
	case r.items <- item:
		return nil
	default:
	}
	switch r.rule {
	case Block:
		return r.wait(ctx, item)
	case DropOldest:
		return r.replace(item)
	}
	r.dropped.Add(1)
	return ErrFull
}

func (r *Ring[T]) wait(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Ring[T]) replace(item T) error {
	for {
		select {
		case r.items <- item:
			return nil
		default:
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Pop waits for the next item. After Close it still returns the items left, then
// ErrClosed.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	select {
	case item := <-r.items:
		return item, nil
	default:
	}
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-r.closed:
		select {
		case item := <-r.items:
			return item, nil
		default:
			return zero, ErrClosed
		}
	}
}

// TryPop returns the next item if there is one.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// C exposes the items for a select in the one duty that consumes them.
func (r *Ring[T]) C() <-chan T { return r.items }

// Close refuses further items.
func (r *Ring[T]) Close() { r.once.Do(func() { close(r.closed) }) }

// Len returns the number of items held.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items refused or discarded so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
