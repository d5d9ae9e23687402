// Package boundedqueue provides a bounded queue that passes items between goroutines.
//
// Invariant: a queue never holds more items than its capacity. What happens to an item
// that is pushed to a full queue is set when the queue is created.
package boundedqueue

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// OverflowPolicy determines what Push does on a full queue.
type OverflowPolicy int

// The overflow policies.
const (
	// Refuse makes Push return ErrFull. The item is not queued.
	Refuse OverflowPolicy = iota
	// DropOldest makes Push discard the oldest item.
	DropOldest
	// Block makes Push wait until there is room, the queue is closed or its context ends.
	Block
)

// ErrFull is returned by Push on a full queue with the policy Refuse.
var ErrFull = errors.New("ring full")

// ErrClosed is returned by Push after Close, and by Pop once a closed queue is empty.
var ErrClosed = errors.New("ring closed")

// Queue is a bounded FIFO queue. Its methods may be called from any goroutine.
type Queue[T any] struct {
	policy  OverflowPolicy
	items   chan T
	closed  chan struct{}
	once    sync.Once
	dropped atomic.Uint64
}

// New returns an empty queue for up to capacity items. capacity must be at least 1, because
// Push with DropOldest does not return if nothing can be discarded.
func New[T any](capacity int, policy OverflowPolicy) *Queue[T] {
	return &Queue[T]{policy: policy, items: make(chan T, capacity), closed: make(chan struct{})}
}

// Push adds an item. On a full queue it follows the queue's overflow policy. It returns
// ErrClosed, ErrFull (with Refuse) or the error of ctx (with Block).
func (q *Queue[T]) Push(ctx context.Context, item T) error {
	select {
	case <-q.closed:
		return ErrClosed
	default:
	}
	select {
	case q.items <- item:
		return nil
	default:
	}
	switch q.policy {
	case Block:
		return q.pushWait(ctx, item)
	case DropOldest:
		return q.replaceOldest(item)
	}
	q.dropped.Add(1)
	return ErrFull
}

func (q *Queue[T]) pushWait(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-q.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *Queue[T]) replaceOldest(item T) error {
	for {
		select {
		case q.items <- item:
			return nil
		default:
		}
		select {
		case <-q.items:
			q.dropped.Add(1)
		default:
		}
	}
}

// Pop waits for the next item. After Close it returns the remaining items, then ErrClosed.
func (q *Queue[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	select {
	case item := <-q.items:
		return item, nil
	default:
	}
	select {
	case item := <-q.items:
		return item, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-q.closed:
		select {
		case item := <-q.items:
			return item, nil
		default:
			return zero, ErrClosed
		}
	}
}

// TryPop returns the next item without waiting, and false if the queue is empty, whether
// closed or not.
func (q *Queue[T]) TryPop() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// C returns the channel of the items, for a consumer that waits on several channels. It is
// not closed by Close.
func (q *Queue[T]) C() <-chan T { return q.items }

// Close makes further calls of Push return ErrClosed. The items in the queue can still be
// taken out.
func (q *Queue[T]) Close() { q.once.Do(func() { close(q.closed) }) }

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Dropped returns the number of items refused with ErrFull or discarded so far.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
