package sharder

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

var quick = shards.Timing{
	SettleTime: 20 * time.Millisecond, RankDelay: 100 * time.Millisecond, Jitter: 10 * time.Millisecond,
	MissingTimeout: 100 * time.Millisecond, UnreachableTimeout: 100 * time.Millisecond, MinHold: time.Hour, StablePeriod: time.Hour,
	Cooldown: time.Minute,
}

// fleet is a view shared by the sharders of a test.
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
	*Sharder
	stop func()
}

func startSharder(t *testing.T, f *fleet, store *standin.ObjectStore, host model.HostID) *instance {
	t.Helper()
	s := New(Options{
		API:  objectapi.NewClient(store, objectapi.ClientOptions{Seed: uint64(host[0]), AttemptTimeout: time.Second}),
		Host: host, Incarnation: model.Incarnation(time.Now().UnixNano()), Address: "addr-" + string(host),
		View:       f.get,
		Shards:     func(*model.FleetView) []string { return []string{"claims/0", "claims/1", "claims/2"} },
		Candidates: func(v *model.FleetView) []model.Member { return v.Members },
		Acquired:   func(ctx context.Context, _ Shard) { <-ctx.Done() },
		Log:        slog.New(slog.DiscardHandler),
		Timing:     quick,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	i := &instance{Sharder: s, stop: func() { cancel(); <-done }}
	t.Cleanup(i.stop)
	return i
}

// eventually waits for a condition that events bring about.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("did not come about: %s", what)
}

// spread reports whether the instances agree on living holders of all shards, each
// held by its holder.
func spread(instances ...*instance) bool {
	for shard := range 3 {
		id := fmt.Sprintf("claims/%d", shard)
		selves := 0
		for _, i := range instances {
			o, ok := i.Lookup(id)
			if !ok {
				return false
			}
			if o.Self {
				selves++
			}
		}
		if selves != 1 {
			return false
		}
	}
	return true
}

// knowsOwners reports whether an instance knows the epochs that the holders hold.
func knowsOwners(i *instance, holders ...*instance) bool {
	known := 0
	for shard := range 3 {
		id := fmt.Sprintf("claims/%d", shard)
		told, ok := i.Lookup(id)
		for _, h := range holders {
			if o, held := h.Lookup(id); ok && held && o.Self && o.Epoch == told.Epoch {
				known++
			}
		}
	}
	return known == 3
}

func TestShardsOfAStoppedHostMoveToTheOthers(t *testing.T) {
	defer goleak.VerifyNone(t)
	store, f := standin.NewObjectStore(standin.ObjectStoreOptions{}), &fleet{}
	f.set()
	a, b, c := startSharder(t, f, store, "a"), startSharder(t, f, store, "b"), startSharder(t, f, store, "c")
	eventually(t, "each shard has one holder", func() bool { return spread(a, b, c) })
	if err := a.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "released shards are held by the others", func() bool {
		b.Stale("")
		c.Stale("")
		return spread(b, c)
	})
	// A host that takes a shard while the view loses it counts as alive for MinHold:
	// here it is dead with shards that the last host has seen it hold.
	eventually(t, "the last host knows what the others hold", func() bool {
		c.Stale("")
		return knowsOwners(c, b, c)
	})
	b.stop()
	f.set("b")
	eventually(t, "shards of the dead host are held by the last", func() bool { return spread(c) })
	a.stop()
	c.stop()
}

func TestHolderKeepsItsShardsThroughAnOutageAndTakesWithALostAnswer(t *testing.T) {
	store, f := standin.NewObjectStore(standin.ObjectStoreOptions{}), &fleet{}
	store.SetFaults(standin.Faults{LoseAnswers: 2, LoseKeyPrefix: keyPrefix})
	f.set()
	a := startSharder(t, f, store, "a")
	f.set("b", "c")
	eventually(t, "shards are held though answers were lost", func() bool { return spread(a) })
	store.SetFaults(standin.Faults{Outage: true})
	a.Stale("")
	for range 5 {
		a.round(t.Context())
	}
	if !spread(a) {
		t.Fatal("the outage ended an ownership")
	}
}

func TestHolderThatMeetsANewerEpochStops(t *testing.T) {
	store, f := standin.NewObjectStore(standin.ObjectStoreOptions{}), &fleet{}
	f.set("b", "c")
	a := startSharder(t, f, store, "a")
	eventually(t, "a holds all", func() bool { return spread(a) })
	f2 := &fleet{}
	f2.set("a", "c")
	b := startSharder(t, f2, store, "b")
	eventually(t, "b holds all", func() bool { return spread(b) })
	a.Lost(Shard{ID: "claims/0", Epoch: 1})
	eventually(t, "a knows that b holds all", func() bool {
		a.Stale("")
		o, ok := a.Lookup("claims/0")
		return ok && o.Host == "b" && !o.Self
	})
}

// An epoch that this host takes while its former ownership is still ending is served
// once that one has ended, without waiting for the next regular read of the records.
func TestEpochTakenWhileTheFormerEndsIsServedNext(t *testing.T) {
	store, f := standin.NewObjectStore(standin.ObjectStoreOptions{}), &fleet{}
	f.set("b", "c")
	let := make(chan struct{})
	s := New(Options{
		API: store, Host: "a", Incarnation: 1, View: f.get,
		Shards:     func(*model.FleetView) []string { return []string{"claims/0"} },
		Candidates: func(v *model.FleetView) []model.Member { return v.Members },
		Acquired:   func(ctx context.Context, _ Shard) { <-ctx.Done(); <-let },
		Log:        slog.New(slog.DiscardHandler), Timing: quick,
	})
	defer s.endAll()
	holds := func(epoch model.Epoch, self bool) func() bool {
		return func() bool {
			s.round(t.Context())
			o, ok := s.Lookup("claims/0")
			return ok && o.Epoch == epoch && o.Self == self
		}
	}
	eventually(t, "the first epoch is held", holds(1, true))
	taken, err := json.Marshal(shards.Record{Epoch: 2, Host: "a", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), keyPrefix+"claims/0", taken, s.table.Version("claims/0")); err != nil {
		t.Fatal(err)
	}
	s.Stale("claims/0")
	eventually(t, "the second epoch is known", holds(2, false))
	close(let)
	eventually(t, "the former ownership ended", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.held["claims/0"] == nil
	})
	s.mu.Lock()
	s.listed = time.Now().Add(-listGapMax)
	s.mu.Unlock()
	if !holds(2, true)() {
		t.Fatal("the second epoch is not served")
	}
}
