package boundedqueue

import (
	"context"
	"errors"
	"testing"
)

// On a full queue, Push refuses the item, drops the oldest one or blocks until its context
// ends, depending on the policy.
func TestPush_FullQueueFollowsPolicy(t *testing.T) {
	ctx := context.Background()
	refuse := New[int](1, Refuse)
	if err := refuse.Push(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if err := refuse.Push(ctx, 2); !errors.Is(err, ErrFull) {
		t.Fatalf("push on a full queue: %v", err)
	}
	oldest := New[int](1, DropOldest)
	for i := 1; i <= 3; i++ {
		if err := oldest.Push(ctx, i); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := oldest.TryPop(); got != 3 || oldest.Dropped() != 2 {
		t.Fatalf("kept %d after %d drops, want 3 after 2", got, oldest.Dropped())
	}
	block := New[int](1, Block)
	if err := block.Push(ctx, 1); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(ctx)
	cancel()
	if err := block.Push(ended, 2); !errors.Is(err, context.Canceled) {
		t.Fatalf("blocked push: %v", err)
	}
}

// Pop returns the items left in a closed queue before it returns ErrClosed.
func TestPop_DrainsClosedQueue(t *testing.T) {
	ctx := context.Background()
	q := New[int](2, Refuse)
	if err := q.Push(ctx, 7); err != nil {
		t.Fatal(err)
	}
	q.Close()
	if got, err := q.Pop(ctx); err != nil || got != 7 {
		t.Fatalf("pop: %d, %v", got, err)
	}
	if _, err := q.Pop(ctx); !errors.Is(err, ErrClosed) {
		t.Fatalf("pop of an empty closed queue: %v", err)
	}
}
