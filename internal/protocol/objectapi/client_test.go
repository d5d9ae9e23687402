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

// fakeClock advances by the requested duration on each Sleep and returns immediately.
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

// hookedAPI calls after, if set, when the next Put has been executed and returns its results
// in place of those of the Put.
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

// If the answer of a Put is lost, the client must find out with a single read that the write
// took effect. Resending it would fail with a conflict although the write was successful.
func TestPut_ResolvesLostAnswerWithOneRead(t *testing.T) {
	store := newStore()
	c := newClient(store, 1)
	first := mustPut(t, c, "k", "a", 0)
	store.SetFaults(standin.Faults{LoseAnswers: 1})
	before := store.Calls()
	second := mustPut(t, c, "k", "b", first)
	after := store.Calls()
	if after.Writes-before.Writes != 1 || after.Reads-before.Reads != 1 {
		t.Fatalf("want one write and one read, calls before %+v, after %+v", before, after)
	}
	if o, err := c.Get(t.Context(), "k"); err != nil || string(o.Value) != "b" || o.Version != second {
		t.Fatalf("object %+v: %v", o, err)
	}
}

// Another writer replaces the version whose answer was lost. The write history stored with
// the object must still show that the first write took effect.
func TestPut_ResolvesLostAnswerAfterOverwrite(t *testing.T) {
	store := newStore()
	other := newClient(store, 2)
	hooked := &hookedAPI{API: store}
	c := newClient(hooked, 1)
	first := mustPut(t, c, "k", "a", 0)
	lostVersion := uint64(0)
	hooked.after = func(version uint64, _ error) (uint64, error) {
		lostVersion = version
		o, err := other.Get(t.Context(), "k")
		if err != nil {
			t.Error(err)
		}
		mustPut(t, other, "k", "c", o.Version)
		return 0, objectapi.ErrUnavailable
	}
	if version := mustPut(t, c, "k", "b", first); version != lostVersion {
		t.Fatalf("version %d, want %d", version, lostVersion)
	}
}

// A request is lost before it reaches the platform, and another writer replaces the expected
// version. The Put must return a conflict.
func TestPut_ConflictAfterLostRequest(t *testing.T) {
	store := newStore()
	other := newClient(store, 2)
	first := mustPut(t, other, "k", "a", 0)
	lossy := &lostRequestAPI{API: store, beforeLoss: func() { mustPut(t, other, "k", "c", first) }}
	c := newClient(lossy, 1)
	if _, err := c.Get(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(t.Context(), "k", []byte("b"), first); !errors.Is(err, objectapi.ErrConflict) {
		t.Fatalf("put after another writer's write: error %v, want a conflict", err)
	}
}

// lostRequestAPI drops its first Put before it reaches the platform.
type lostRequestAPI struct {
	objectapi.API
	beforeLoss func()
	lost       bool
}

func (l *lostRequestAPI) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if l.lost {
		return l.API.Put(ctx, key, value, expect)
	}
	l.lost = true
	if l.beforeLoss != nil {
		l.beforeLoss()
	}
	return 0, objectapi.ErrUnavailable
}

// A request that did not reach the platform must be resent without a conflict.
func TestPut_ResendsLostRequest(t *testing.T) {
	store := newStore()
	c := newClient(&lostRequestAPI{API: store}, 1)
	mustPut(t, c, "k", "a", 0)
	if calls := store.Calls(); calls.Writes != 1 || calls.Conflicts != 0 {
		t.Fatalf("want one write without a conflict, got calls %+v", calls)
	}
}

// A Delete whose answer was lost succeeds if the version no longer exists.
func TestDelete_ResolvesLostAnswer(t *testing.T) {
	store := newStore()
	c := newClient(store, 1)
	version := mustPut(t, c, "k", "a", 0)
	store.SetFaults(standin.Faults{LoseAnswers: 1})
	if err := c.Delete(t.Context(), "k", version); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, objectapi.ErrNotFound) {
		t.Fatalf("get after the delete: error %v, want ErrNotFound", err)
	}
}

// Consecutive calls without an answer start an outage, during which each call is attempted
// once. The first answer, even an error such as ErrNotFound, ends it. Observers are notified
// of both.
func TestOutage_EndsWithFirstAnswer(t *testing.T) {
	store := newStore()
	c := newClient(store, 1)
	var notified []bool
	c.OnOutage(func(down bool) { notified = append(notified, down) })
	store.SetFaults(standin.Faults{Outage: true})
	if _, err := c.Put(t.Context(), "k", []byte("a"), 0); !errors.Is(err, objectapi.ErrUnavailable) {
		t.Fatalf("put during an outage: error %v, want ErrUnavailable", err)
	}
	if c.OutageFor() == 0 {
		t.Fatal("no outage reported after unanswered calls")
	}
	before := store.Calls().Reads
	_, _ = c.Get(t.Context(), "k")
	if n := store.Calls().Reads - before; n != 1 {
		t.Fatalf("got %d attempts of one call during an outage, want 1", n)
	}
	store.SetFaults(standin.Faults{})
	if _, err := c.Get(t.Context(), "k"); !errors.Is(err, objectapi.ErrNotFound) || c.OutageFor() != 0 {
		t.Fatalf("after the outage: get returned %v, outage duration %v", err, c.OutageFor())
	}
	if len(notified) != 2 || !notified[0] || notified[1] {
		t.Fatalf("observers were notified with %v, want [true false]", notified)
	}
}

// A throttled write certainly had no effect, so Unresolved must return false for its error.
func TestUnresolved_ThrottledPut(t *testing.T) {
	store := newStore()
	store.SetFaults(standin.Faults{Refuse: true})
	c := newClient(store, 1)
	_, err := c.Put(t.Context(), "k", []byte("a"), 0)
	if !errors.Is(err, objectapi.ErrThrottled) || objectapi.Unresolved(err) {
		t.Fatalf("put while the platform throttles calls: %v", err)
	}
}
