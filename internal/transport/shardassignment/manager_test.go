package shardassignment

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

var fastTiming = shards.Timing{
	SettleTime: 20 * time.Millisecond, RankDelay: 100 * time.Millisecond, Jitter: 10 * time.Millisecond,
	MissingTimeout: 100 * time.Millisecond, UnreachableTimeout: 100 * time.Millisecond, MinHold: time.Hour, StablePeriod: time.Hour,
	Cooldown: time.Minute,
}

// fleet is a fleet view shared by the managers of a test.
type fleet struct {
	mu   sync.Mutex
	view *model.FleetView
}

func (f *fleet) get() *model.FleetView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fleet) set(dead ...model.HostID) {
	v := &model.FleetView{Config: &model.Config{}}
	for _, host := range []model.HostID{"a", "b", "c"} {
		m := model.Member{Host: host, State: model.HostAlive}
		for _, d := range dead {
			if d == host {
				m.State = model.HostDead
			}
		}
		v.Members = append(v.Members, m)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
}

type instance struct {
	*Manager
	stop func()
}

func startManager(t *testing.T, f *fleet, store *standin.ObjectStore, host model.HostID) *instance {
	t.Helper()
	s := New(Options{
		API:  objectapi.NewClient(store, objectapi.ClientOptions{Seed: uint64(host[0]), AttemptTimeout: time.Second}),
		Host: host, Incarnation: model.Incarnation(time.Now().UnixNano()), Address: "addr-" + string(host),
		View:       f.get,
		Shards:     func(*model.FleetView) []string { return []string{"claims/0", "claims/1", "claims/2"} },
		Candidates: func(v *model.FleetView) []model.Member { return v.Members },
		Acquired:   func(ctx context.Context, _ Shard) { <-ctx.Done() },
		Log:        slog.New(slog.DiscardHandler),
		Timing:     fastTiming,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	i := &instance{Manager: s, stop: func() { cancel(); <-done }}
	t.Cleanup(i.stop)
	return i
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting: %s", what)
}

// eachShardOwnedOnce reports whether every instance knows an owner of every shard and
// exactly one instance owns each shard.
func eachShardOwnedOnce(instances ...*instance) bool {
	for shard := range 3 {
		id := fmt.Sprintf("claims/%d", shard)
		owners := 0
		for _, i := range instances {
			o, ok := i.Lookup(id)
			if !ok {
				return false
			}
			if o.Self {
				owners++
			}
		}
		if owners != 1 {
			return false
		}
	}
	return true
}

// knowsOwners reports whether an instance knows the epochs under which the owners own the
// shards.
func knowsOwners(i *instance, owners ...*instance) bool {
	matching := 0
	for shard := range 3 {
		id := fmt.Sprintf("claims/%d", shard)
		known, ok := i.Lookup(id)
		for _, owner := range owners {
			if o, found := owner.Lookup(id); ok && found && o.Self && o.Epoch == known.Epoch {
				matching++
			}
		}
	}
	return matching == 3
}

// Shards move to the other hosts after a planned stop (released) and after a crash (owner
// dead in the fleet view).
func TestShards_MoveFromStoppedHosts(t *testing.T) {
	defer goleak.VerifyNone(t)
	store, f := standin.NewObjectStore(standin.ObjectStoreOptions{}), &fleet{}
	f.set()
	a, b, c := startManager(t, f, store, "a"), startManager(t, f, store, "b"), startManager(t, f, store, "c")
	eventually(t, "each shard has one owner", func() bool { return eachShardOwnedOnce(a, b, c) })
	if err := a.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "released shards are owned by the others", func() bool {
		b.ReportStale("")
		c.ReportStale("")
		return eachShardOwnedOnce(b, c)
	})
	// An owner whose record is first read after the view reports it dead counts as alive for
	// MinHold. Therefore c must have read the records of b before b dies.
	eventually(t, "the last host knows what the others own", func() bool {
		c.ReportStale("")
		return knowsOwners(c, b, c)
	})
	b.stop()
	f.set("b")
	eventually(t, "shards of the dead host are owned by the last host", func() bool { return eachShardOwnedOnce(c) })
	a.stop()
	c.stop()
}

// Lost answers to ownership writes must not prevent the acquisition of shards, and an object
// API outage must not end an ownership.
func TestOwnership_LostAnswersAndOutage(t *testing.T) {
	store, f := standin.NewObjectStore(standin.ObjectStoreOptions{}), &fleet{}
	store.SetFaults(standin.Faults{LoseAnswers: 2, LoseKeyPrefix: keyPrefix})
	f.set()
	a := startManager(t, f, store, "a")
	f.set("b", "c")
	eventually(t, "shards are owned although answers were lost", func() bool { return eachShardOwnedOnce(a) })
	store.SetFaults(standin.Faults{Outage: true})
	a.ReportStale("")
	for range 5 {
		a.round(t.Context())
	}
	if !eachShardOwnedOnce(a) {
		t.Fatal("the outage ended an ownership")
	}
}

// Two hosts with different fleet views consider each other dead. The owner that learns of
// a newer epoch gives up its shard.
func TestOwnership_EndsOnNewerEpoch(t *testing.T) {
	store, f := standin.NewObjectStore(standin.ObjectStoreOptions{}), &fleet{}
	f.set("b", "c")
	a := startManager(t, f, store, "a")
	eventually(t, "a owns all shards", func() bool { return eachShardOwnedOnce(a) })
	f2 := &fleet{}
	f2.set("a", "c")
	b := startManager(t, f2, store, "b")
	eventually(t, "b owns all shards", func() bool { return eachShardOwnedOnce(b) })
	a.ReportLost(Shard{ID: "claims/0", Epoch: 1})
	eventually(t, "a knows that b owns claims/0", func() bool {
		a.ReportStale("")
		o, ok := a.Lookup("claims/0")
		return ok && o.Host == "b" && !o.Self
	})
}

// This host acquires a new epoch while its previous ownership is still ending. The new
// epoch is served as soon as the previous one has ended, without waiting for the next
// regular read of the records.
func TestOwnership_NextEpochWhilePreviousEnds(t *testing.T) {
	store, f := standin.NewObjectStore(standin.ObjectStoreOptions{}), &fleet{}
	f.set("b", "c")
	unblock := make(chan struct{})
	s := New(Options{
		API: store, Host: "a", Incarnation: 1, View: f.get,
		Shards:     func(*model.FleetView) []string { return []string{"claims/0"} },
		Candidates: func(v *model.FleetView) []model.Member { return v.Members },
		Acquired:   func(ctx context.Context, _ Shard) { <-ctx.Done(); <-unblock },
		Log:        slog.New(slog.DiscardHandler), Timing: fastTiming,
	})
	defer s.stopAll()
	owns := func(epoch model.Epoch, self bool) func() bool {
		return func() bool {
			s.round(t.Context())
			o, ok := s.Lookup("claims/0")
			return ok && o.Epoch == epoch && o.Self == self
		}
	}
	eventually(t, "the first epoch is owned", owns(1, true))
	nextRecord, err := json.Marshal(shards.Record{Epoch: 2, Host: "a", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), keyPrefix+"claims/0", nextRecord, s.table.Version("claims/0")); err != nil {
		t.Fatal(err)
	}
	s.ReportStale("claims/0")
	eventually(t, "the second epoch is known", owns(2, false))
	close(unblock)
	eventually(t, "the previous ownership ended", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.ownerships["claims/0"] == nil
	})
	s.mu.Lock()
	s.listedAt = time.Now().Add(-maxListGap)
	s.mu.Unlock()
	if !owns(2, true)() {
		t.Fatal("the second epoch is not served")
	}
}
