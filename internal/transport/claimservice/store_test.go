package claimservice

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
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

// TestMain sets a fixed rapid seed unless one is given.
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

// commit writes the staged entry and performs the compaction and removal that are due.
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
		d.core.CompactionDone(f, d.store.writeSegment(ctx, f.Segment, f.Answers) == nil)
	}
	if s := d.core.NextRemoval(d.now); s != nil {
		d.core.RemovalDone(d.store.deleteSegment(ctx, s.Number) == nil)
	}
}

func journalKey(i int) (k journal.Key) {
	binary.BigEndian.PutUint32(k[:], uint32(i))
	return k
}

// A takeover must read the owner's state, through compaction, expiry, removal of segments and
// claims that stay unsettled for long.
func TestTakeover_ReadsOwnerState(t *testing.T) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	opt := claims.Options{Lifetime: 20 * time.Second, CommitInterval: time.Millisecond}
	d := newDriver(t, api, opt)
	random := rand.New(rand.NewPCG(1, 2))
	unsettled := map[int]bool{}
	const entries = 1500
	for i := range entries {
		k := journalKey(i)
		d.core.Claim(d.now, claims.Request{Key: k, Attempt: journal.Attempt(k), Digest: uint64(i)})
		unsettled[i] = true
		for other := range unsettled {
			if random.IntN(20) == 0 && other%50 != 0 {
				end := []journal.State{journal.Free, journal.Ran, journal.Unknown}[random.IntN(3)]
				d.core.Settle(d.now, claims.Settlement{Key: journalKey(other), Attempt: journal.Attempt(journalKey(other)), State: end, Body: []byte("answer")})
				delete(unsettled, other)
			}
		}
		d.commit()
		if i%100 == 99 {
			checkTakeover(t, d, api, i)
		}
	}
	if s := d.core.Stats(); s.Segments > 10 || s.Unsettled < entries/50 {
		t.Fatalf("%d segments and %d unsettled claims remain", s.Segments, s.Unsettled)
	}
}

// racingAPI calls before ahead of its first write.
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

// An owner commits two entries while its successor reads the journal. The successor must read
// them and fence after them, and the former owner's next commit must fail.
func TestTakeover_ReadsEntriesCommittedMeanwhile(t *testing.T) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	d := newDriver(t, api, claims.Options{Epoch: 1, Writer: 1, CommitInterval: time.Millisecond})
	claim := func(i int) {
		d.core.Claim(d.now, claims.Request{Key: journalKey(i), Attempt: journal.Attempt(journalKey(i)), Digest: 1})
		d.commit()
	}
	claim(1)
	racing := &racingAPI{API: api, before: func() { claim(2); claim(3) }}
	o := newOwner(shardassignment.Shard{ID: "claims/0", Epoch: 2}, racing, noTiming, newMetrics(nil), slog.New(slog.DiscardHandler), nil)
	if err := o.takeOver(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		if r, ok := o.core.Lookup(claims.Request{Key: journalKey(i), Digest: 1}); !ok || r.Verdict != claims.InUse {
			t.Errorf("the successor does not know claim %d", i)
		}
	}
	if o.store.readCount > 4 {
		t.Errorf("takeover used %d reads, want at most 4", o.store.readCount)
	}
	d.core.Claim(d.now, claims.Request{Key: journalKey(4), Attempt: journal.Attempt(journalKey(4))})
	d.now = d.now.Add(time.Second)
	if err := d.store.append(t.Context(), d.core.NextCommit(d.now)); !errors.Is(err, errOwnershipLost) {
		t.Errorf("the former owner's commit: %v", err)
	}
}

// A successor that finds an entry of a newer epoch stops its takeover.
func TestTakeover_StopsOnNewerEpoch(t *testing.T) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	newer := newOwner(shardassignment.Shard{ID: "claims/0", Epoch: 3}, api, noTiming, newMetrics(nil), slog.New(slog.DiscardHandler), nil)
	racing := &racingAPI{API: api, before: func() {
		if err := newer.takeOver(t.Context(), 3); err != nil {
			t.Error(err)
		}
	}}
	older := newOwner(shardassignment.Shard{ID: "claims/0", Epoch: 2}, racing, noTiming, newMetrics(nil), slog.New(slog.DiscardHandler), nil)
	if err := older.takeOver(t.Context(), 2); !errors.Is(err, errOwnershipLost) {
		t.Fatalf("takeover with an older epoch: %v", err)
	}
}

func checkTakeover(t *testing.T, d *driver, api *standin.ObjectStore, upTo int) {
	t.Helper()
	d.now = d.now.Add(time.Second)
	d.commit()
	successor := &store{api: api, shard: "claims/0"}
	l, err := successor.load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	takenOver := claims.New(claims.Options{}, l.table, l.tail, l.segments, l.lastSeq, l.lastMillis)
	for i := range upTo + 1 {
		want, ok := d.table.Get(journalKey(i))
		got, found := l.table.Get(journalKey(i))
		if ok && (!found || got.State != want.State || got.Attempt != want.Attempt || got.Digest != want.Digest) {
			t.Fatalf("entry %d, key %d: owner has %+v, takeover read %+v (%v)", upTo, i, want, got, found)
		}
		if !ok && found && got.State == journal.Running {
			t.Fatalf("entry %d, key %d: takeover read a settled claim as running", upTo, i)
		}
		if ok && want.State == journal.Ran {
			checkAnswer(t, takenOver, successor, want, journalKey(i))
		}
	}
}

func checkAnswer(t *testing.T, core *claims.Core, s *store, c journal.Claim, k journal.Key) {
	t.Helper()
	body, ok := core.Body(c, k)
	if !ok {
		var err error
		if body, err = s.readAnswer(context.Background(), c); err != nil {
			t.Fatal(err)
		}
	}
	if string(body) != "answer" {
		t.Fatalf("answer of key %x is %q", k, body)
	}
}

// A compacted answer whose object was deleted is reported lost; returning an empty answer would
// be wrong. An answer that was empty is still answered.
func TestReadAnswer_DeletedAnswerIsLost(t *testing.T) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	d := newDriver(t, api, claims.Options{Epoch: 1, Writer: 1, CommitInterval: time.Millisecond})
	for i, body := range []string{"answer", ""} {
		k := journalKey(i)
		d.core.Claim(d.now, claims.Request{Key: k, Attempt: journal.Attempt(k), Digest: 1})
		d.commit()
		d.core.Settle(d.now, claims.Settlement{Key: k, Attempt: journal.Attempt(k), State: journal.Ran, Status: 200, Body: []byte(body)})
	}
	for i := range 2 * journal.SegmentEntries {
		d.core.Claim(d.now, claims.Request{Key: journalKey(10 + i), Attempt: journal.Attempt(journalKey(10 + i))})
		d.commit()
	}
	answers, err := api.List(t.Context(), "claims/0/answer/", "", 100)
	if err != nil || len(answers.Objects) == 0 {
		t.Fatalf("no compacted answers: %v", err)
	}
	for _, o := range answers.Objects {
		if err := api.Delete(t.Context(), o.Key, o.Version); err != nil {
			t.Fatal(err)
		}
	}
	o := newOwner(shardassignment.Shard{ID: "claims/0", Epoch: 2}, api, noTiming, newMetrics(nil), slog.New(slog.DiscardHandler), nil)
	if err := o.takeOver(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	for i, want := range []Verdict{VerdictAnswerLost, VerdictAnswered} {
		r, _ := o.core.Lookup(claims.Request{Key: journalKey(i), Digest: 1})
		reply := claimReply{Verdict: r.Verdict, Status: int(r.Claim.Status)}
		o.addCompactedAnswer(t.Context(), r.Claim, &reply)
		b := &beginCall{attempt: &attempt{}}
		claim, done, err := b.decide(t.Context(), reply)
		if !done || err != nil || claim.Verdict != want {
			t.Errorf("key %d: verdict %v, want %v (%v)", i, claim.Verdict, want, err)
		}
	}
}
