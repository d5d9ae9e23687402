package claimduty

import (
	"context"
	"encoding/binary"
	"errors"
	"flag"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/transport/sharder"
)

// TestMain fixes the seed of rapid where none is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

// driver runs a core against a store without goroutines.
type driver struct {
	t     *testing.T
	core  *claims.Core
	table *journal.Table
	store *store
	now   time.Time
}

func newDriver(t *testing.T, api *standin.ObjectStore, opt claims.Options) *driver {
	table := journal.NewTable()
	return &driver{
		t: t, table: table, store: &store{api: api, shard: "claims/0"}, now: time.Unix(1_700_000_000, 0),
		core: claims.New(opt, table, nil, nil, 0, 0),
	}
}

// commit writes the staged entry and does the folding and removing that is due.
func (d *driver) commit() {
	d.now = d.now.Add(200 * time.Millisecond)
	ctx := context.Background()
	d.core.Expire(d.now)
	if e := d.core.NextCommit(d.now); e != nil {
		if err := d.store.append(ctx, e); err != nil {
			d.t.Fatal(err)
		}
		d.core.Committed(d.now)
	}
	if f := d.core.NextCompaction(); f != nil {
		d.core.CompactionDone(f, d.store.fold(ctx, f.Segment, f.Answers) == nil)
	}
	if s := d.core.NextRemoval(d.now); s != nil {
		d.core.RemovalDone(d.store.remove(ctx, s.Number) == nil)
	}
}

func numbered(i int) (k journal.Key) {
	binary.BigEndian.PutUint32(k[:], uint32(i))
	return k
}

// What a takeover reads equals what the owner remembers, through folding, expiry,
// removal of segments and claims that stay unsettled for long.
func TestTakeoverReadsWhatTheOwnerRemembers(t *testing.T) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	opt := claims.Options{Lifetime: 20 * time.Second, CommitInterval: time.Millisecond}
	d := newDriver(t, api, opt)
	random := rand.New(rand.NewPCG(1, 2))
	open := map[int]bool{}
	const entries = 1500
	for i := range entries {
		k := numbered(i)
		d.core.Claim(d.now, claims.Request{Key: k, Attempt: journal.Attempt(k), Digest: uint64(i)})
		open[i] = true
		for other := range open {
			if random.IntN(20) == 0 && other%50 != 0 {
				end := []journal.State{journal.Free, journal.Ran, journal.Unknown}[random.IntN(3)]
				d.core.Settle(d.now, claims.Settlement{Key: numbered(other), Attempt: journal.Attempt(numbered(other)), State: end, Body: []byte("answer")})
				delete(open, other)
			}
		}
		d.commit()
		if i%100 == 99 {
			compareWithTakeover(t, d, api, i)
		}
	}
	if s := d.core.Stats(); s.Segments > 10 || s.Unsettled < entries/50 {
		t.Fatalf("%d segments and %d unsettled claims remain", s.Segments, s.Unsettled)
	}
}

// racingAPI runs something before its first write.
type racingAPI struct {
	objectapi.API
	before func()
}

func (r *racingAPI) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if before := r.before; before != nil {
		r.before = nil
		before()
	}
	return r.API.Put(ctx, key, value, expect)
}

// An owner that commits while its successor reads is fenced at the next number, and
// the successor knows what it committed.
func TestTakeoverFromABusyOwnerFollowsItsLastEntries(t *testing.T) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	d := newDriver(t, api, claims.Options{Epoch: 1, Writer: 1, CommitInterval: time.Millisecond})
	claim := func(i int) {
		d.core.Claim(d.now, claims.Request{Key: numbered(i), Attempt: journal.Attempt(numbered(i)), Digest: 1})
		d.commit()
	}
	claim(1)
	racing := &racingAPI{API: api, before: func() { claim(2); claim(3) }}
	o := newOwner(sharder.Shard{ID: "claims/0", Epoch: 2}, racing, noTiming, newMetrics(nil), slog.New(slog.DiscardHandler), nil)
	if err := o.takeOver(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		if r, ok := o.core.Lookup(claims.Request{Key: numbered(i), Digest: 1}); !ok || r.Verdict != claims.InUse {
			t.Errorf("the successor does not know claim %d", i)
		}
	}
	if o.store.reads > 4 {
		t.Errorf("%d reads", o.store.reads)
	}
	d.core.Claim(d.now, claims.Request{Key: numbered(4), Attempt: journal.Attempt(numbered(4))})
	d.now = d.now.Add(time.Second)
	if err := d.store.append(t.Context(), d.core.NextCommit(d.now)); !errors.Is(err, errLost) {
		t.Errorf("the former owner's commit: %v", err)
	}
}

// A successor that finds an entry of a newer epoch gives up.
func TestTakeoverOfAnOlderEpochGivesUp(t *testing.T) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	newer := newOwner(sharder.Shard{ID: "claims/0", Epoch: 3}, api, noTiming, newMetrics(nil), slog.New(slog.DiscardHandler), nil)
	racing := &racingAPI{API: api, before: func() {
		if err := newer.takeOver(t.Context(), 3); err != nil {
			t.Error(err)
		}
	}}
	older := newOwner(sharder.Shard{ID: "claims/0", Epoch: 2}, racing, noTiming, newMetrics(nil), slog.New(slog.DiscardHandler), nil)
	if err := older.takeOver(t.Context(), 2); !errors.Is(err, errLost) {
		t.Fatalf("the older epoch's takeover: %v", err)
	}
}

func compareWithTakeover(t *testing.T, d *driver, api *standin.ObjectStore, upTo int) {
	t.Helper()
	d.now = d.now.Add(time.Second)
	d.commit()
	successor := &store{api: api, shard: "claims/0"}
	l, err := successor.load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	theirs := claims.New(claims.Options{}, l.table, l.tail, l.segments, l.last, l.lastMillis)
	for i := range upTo + 1 {
		mine, ok := d.table.Get(numbered(i))
		got, found := l.table.Get(numbered(i))
		if ok && (!found || got.State != mine.State || got.Attempt != mine.Attempt || got.Digest != mine.Digest) {
			t.Fatalf("entry %d, key %d: owner has %+v, takeover read %+v (%v)", upTo, i, mine, got, found)
		}
		if !ok && found && got.State == journal.Running {
			t.Fatalf("entry %d, key %d: takeover holds a claim that was settled", upTo, i)
		}
		if ok && mine.State == journal.Ran {
			checkAnswer(t, theirs, successor, mine, numbered(i))
		}
	}
}

func checkAnswer(t *testing.T, core *claims.Core, s *store, c journal.Claim, k journal.Key) {
	t.Helper()
	body, ok := core.Body(c, k)
	if !ok {
		var err error
		if body, err = s.answer(context.Background(), c); err != nil {
			t.Fatal(err)
		}
	}
	if string(body) != "answer" {
		t.Fatalf("the answer of key %x reads %q", k, body)
	}
}

// An answer whose object is gone is lost; a resend is not told of an empty answer.
func TestFoldedAnswerThatIsGoneIsLostNotEmpty(t *testing.T) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	d := newDriver(t, api, claims.Options{Epoch: 1, Writer: 1, CommitInterval: time.Millisecond})
	for i, body := range []string{"answer", ""} {
		k := numbered(i)
		d.core.Claim(d.now, claims.Request{Key: k, Attempt: journal.Attempt(k), Digest: 1})
		d.commit()
		d.core.Settle(d.now, claims.Settlement{Key: k, Attempt: journal.Attempt(k), State: journal.Ran, Status: 200, Body: []byte(body)})
	}
	for i := range 2 * journal.SegmentEntries {
		d.core.Claim(d.now, claims.Request{Key: numbered(10 + i), Attempt: journal.Attempt(numbered(10 + i))})
		d.commit()
	}
	gone, err := api.List(t.Context(), "claims/0/answer/", "", 100)
	if err != nil || len(gone.Objects) == 0 {
		t.Fatalf("no folded answers: %v", err)
	}
	for _, o := range gone.Objects {
		if err := api.Delete(t.Context(), o.Key, o.Version); err != nil {
			t.Fatal(err)
		}
	}
	o := newOwner(sharder.Shard{ID: "claims/0", Epoch: 2}, api, noTiming, newMetrics(nil), slog.New(slog.DiscardHandler), nil)
	if err := o.takeOver(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	for i, want := range []Verdict{VerdictAnswerLost, VerdictAnswered} {
		r, _ := o.core.Lookup(claims.Request{Key: numbered(i), Digest: 1})
		reply := claimReply{Verdict: r.Verdict, Status: int(r.Claim.Status)}
		o.readAnswer(t.Context(), r.Claim, &reply)
		b := &begin{attempt: &attempt{}}
		ticket, done, err := b.decide(t.Context(), reply)
		if !done || err != nil || ticket.Verdict != want {
			t.Errorf("key %d: verdict %v, want %v (%v)", i, ticket.Verdict, want, err)
		}
	}
}
