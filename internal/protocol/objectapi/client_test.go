package objectapi_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
)

// fakeClock moves on by itself whenever somebody sleeps.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1_800_000_000, 0)} }

func (f *fakeClock) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeClock) Sleep(ctx context.Context, d time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	return ctx.Err()
}

func newStore() *standin.ObjectStore {
	return standin.NewObjectStore(standin.ObjectStoreOptions{})
}

func newClient(api objectapi.API, seed uint64) *objectapi.Client {
	return objectapi.NewClient(api, objectapi.ClientOptions{Seed: seed, Clock: newFakeClock(), AttemptTimeout: 200 * time.Millisecond})
}

// hookedAPI runs after once a Put has been handed on, before its answer returns.
type hookedAPI struct {
	objectapi.API
	after func(version uint64, err error) (uint64, error)
}

func (h *hookedAPI) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	version, err := h.API.Put(ctx, key, value, expect)
	if h.after == nil {
		return version, err
	}
	after := h.after
	h.after = nil
	return after(version, err)
}

func mustPut(t *testing.T, c objectapi.API, key, value string, expect uint64) uint64 {
	t.Helper()
	version, err := c.Put(t.Context(), key, []byte(value), expect)
	if err != nil {
		t.Fatalf("put %s %q: %v", key, value, err)
	}
	return version
}

func TestALostAnswerOfAPutIsResolvedByOneRead(t *testing.T) {
	store := newStore()
	c := newClient(store, 1)
	first := mustPut(t, c, "k", "a", 0)
	store.SetFaults(standin.Faults{LoseAnswers: 1})
	before := store.Calls()
	second := mustPut(t, c, "k", "b", first)
	after := store.Calls()
	if after.Writes-before.Writes != 1 || after.Reads-before.Reads != 1 {
		t.Fatalf("calls before %+v, after %+v", before, after)
	}
	if o, err := c.Get(t.Context(), "k"); err != nil || string(o.Value) != "b" || o.Version != second {
		t.Fatalf("object %+v: %v", o, err)
	}
}

func TestALostAnswerIsResolvedAlthoughAnotherWriterCameNext(t *testing.T) {
	store := newStore()
	other := newClient(store, 2)
	hooked := &hookedAPI{API: store}
	c := newClient(hooked, 1)
	first := mustPut(t, c, "k", "a", 0)
	made := uint64(0)
	hooked.after = func(version uint64, _ error) (uint64, error) {
		made = version
		o, err := other.Get(t.Context(), "k")
		if err != nil {
			t.Error(err)
		}
		mustPut(t, other, "k", "c", o.Version)
		return 0, objectapi.ErrUnavailable
	}
	if version := mustPut(t, c, "k", "b", first); version != made {
		t.Fatalf("version %d, want %d", version, made)
	}
}

func TestALostRequestThatAnotherWriterOvertookIsAConflict(t *testing.T) {
	store := newStore()
	other := newClient(store, 2)
	first := mustPut(t, other, "k", "a", 0)
	lossy := &lostRequestAPI{API: store, before: func() { mustPut(t, other, "k", "c", first) }}
	c := newClient(lossy, 1)
	if _, err := c.Get(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(t.Context(), "k", []byte("b"), first); !errors.Is(err, objectapi.ErrConflict) {
		t.Fatalf("overtaken put: %v", err)
	}
}

// lostRequestAPI loses its first Put on the way to the platform.
type lostRequestAPI struct {
	objectapi.API
	before func()
	lost   bool
}

func (l *lostRequestAPI) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if l.lost {
		return l.API.Put(ctx, key, value, expect)
	}
	l.lost = true
	if l.before != nil {
		l.before()
	}
	return 0, objectapi.ErrUnavailable
}

func TestALostRequestIsSentAgain(t *testing.T) {
	store := newStore()
	c := newClient(&lostRequestAPI{API: store}, 1)
	mustPut(t, c, "k", "a", 0)
	if calls := store.Calls(); calls.Writes != 1 || calls.Conflicts != 0 {
		t.Fatalf("calls %+v", calls)
	}
}

func TestALostAnswerOfADeleteIsResolved(t *testing.T) {
	store := newStore()
	c := newClient(store, 1)
	version := mustPut(t, c, "k", "a", 0)
	store.SetFaults(standin.Faults{LoseAnswers: 1})
	if err := c.Delete(t.Context(), "k", version); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, objectapi.ErrNotFound) {
		t.Fatalf("after the delete: %v", err)
	}
}

func TestAnOutageIsSeenAndEndsWithTheFirstAnswer(t *testing.T) {
	store := newStore()
	c := newClient(store, 1)
	var seen []bool
	c.OnOutage(func(down bool) { seen = append(seen, down) })
	store.SetFaults(standin.Faults{Outage: true})
	if _, err := c.Put(t.Context(), "k", []byte("a"), 0); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Fatalf("put in an outage: %v", err)
	}
	if c.OutageFor() == 0 {
		t.Fatal("the outage was not seen")
	}
	before := store.Calls().Reads
	_, _ = c.Get(t.Context(), "k")
	if n := store.Calls().Reads - before; n != 1 {
		t.Fatalf("%d sendings of one call in an outage", n)
	}
	store.SetFaults(standin.Faults{})
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, objectapi.ErrNotFound) || c.OutageFor() != 0 {
		t.Fatalf("after the outage: %v, %v", err, c.OutageFor())
	}
	if len(seen) != 2 || !seen[0] || seen[1] {
		t.Fatalf("observed %v", seen)
	}
}

func TestARefusedWriteSaysForCertainThatNothingWasWritten(t *testing.T) {
	store := newStore()
	store.SetFaults(standin.Faults{Refuse: true})
	c := newClient(store, 1)
	_, err := c.Put(t.Context(), "k", []byte("a"), 0)
	if !errors.Is(err, objectapi.ErrThrottled) || objectapi.Unresolved(err) {
		t.Fatalf("refused put: %v", err)
	}
}
