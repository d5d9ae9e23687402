package claimduty

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/sharder"
)

// writeFault is what becomes of one write in the model.
type writeFault int

const (
	writeOK writeFault = iota
	writeLost
	writeFailed
	// writeStuck: not written, and the writer gives up for now.
	writeStuck
)

// faultyAPI applies a list of faults to the writes in turn.
type faultyAPI struct {
	objectapi.API
	faults []writeFault
	stuck  context.CancelFunc
}

func (f *faultyAPI) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	fault := writeOK
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	switch fault {
	case writeFailed:
		return 0, objectapi.ErrUnavailable
	case writeStuck:
		f.stuck()
		return 0, objectapi.ErrUnavailable
	}
	version, err := f.API.Put(ctx, key, value, expect)
	if err == nil && fault == writeLost {
		return 0, objectapi.ErrUnavailable
	}
	return version, err
}

type attemptState int

const (
	undecided attemptState = iota
	granted
	dispatched
	ended
)

// modelAttempt is one sending at a host of the model.
type modelAttempt struct {
	id     journal.Attempt
	key    journal.Key
	digest uint64
	host   int
	state  attemptState
	// end is what the host settles once the attempt has ended.
	end journal.State
	// known says that the host still has the attempt; crashed that the host's life
	// ended.
	known, crashed bool
}

func (a *modelAttempt) live() bool { return a.known && !a.crashed && a.state != ended }

type modelOwner struct {
	core     *claims.Core
	store    *store
	inflight *journal.Entry
	dead     bool
	calls    map[claims.Call]*modelAttempt
}

// world is several owners and hosts whose messages are delayed, lost and repeated.
type world struct {
	t        *rapid.T
	now      time.Time
	api      *standin.ObjectStore
	owners   []*modelOwner
	epoch    model.Epoch
	attempts []*modelAttempt
	byID     map[journal.Attempt]*modelAttempt
	mail     []func()
	random   *rand.Rand
	calls    claims.Call
	runs     map[journal.Key]*modelAttempt
	verdicts map[claims.Verdict]int
}

// pick draws evenly; rapid's own draws favour small numbers and rarely get far.
func (w *world) pick(n int) int { return w.random.IntN(n) }

func (w *world) post(f func()) { w.mail = append(w.mail, f) }

// takeOver adds an owner of the next epoch; the older ones do not know.
func (w *world) takeOver() {
	w.epoch++
	api := &faultyAPI{API: w.api}
	o := newOwner(sharder.Shard{ID: "claims/0", Epoch: w.epoch}, api, noTiming, newMetrics(nil), nil, nil)
	o.store.backoff = time.Nanosecond
	l, err := o.store.load(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	before := l.last
	if err := o.fence(context.Background(), l, uint64(w.epoch)); err != nil {
		w.t.Fatal(err)
	}
	opt := claims.Options{Epoch: w.epoch, Writer: uint64(w.epoch), CommitInterval: time.Millisecond, SettleDelay: time.Millisecond, MaxWaiting: 4}
	last, _ := o.store.load(context.Background())
	core := claims.New(opt, last.table, last.tail, last.segments, last.last, last.lastMillis)
	if last.last != before+1 || last.maxEpoch != w.epoch {
		w.t.Fatalf("the fence is not in the journal")
	}
	w.owners = append(w.owners, &modelOwner{core: core, store: o.store, calls: map[claims.Call]*modelAttempt{}})
}

func noTiming() (time.Duration, time.Duration) { return 0, 0 }

// receive handles an owner's replies: it checks each as it is made, and posts it.
func (w *world) receive(o *modelOwner, replies []claims.Reply) {
	for _, r := range replies {
		a := o.calls[r.Call]
		delete(o.calls, r.Call)
		if a == nil {
			continue
		}
		w.verdicts[r.Verdict]++
		w.check(a, r)
		w.post(func() { w.hear(a, r) })
	}
}

// check holds the refusals against what ran or may still run.
func (w *world) check(a *modelAttempt, r claims.Reply) {
	ran := w.runs[a.key]
	switch r.Verdict {
	case claims.Refused:
		if ran != nil {
			w.t.Fatalf("refused as not run, but it ran")
		}
		for _, other := range w.attempts {
			if other.key == a.key && other.state == granted && other.live() {
				w.t.Fatalf("refused as not run while another sending is granted")
			}
		}
	case claims.Reused:
		if ran != nil && ran.digest == a.digest {
			w.t.Fatalf("content said to be new to the key ran under it")
		}
	}
}

// hear is a reply's arrival at the attempt's host.
func (w *world) hear(a *modelAttempt, r claims.Reply) {
	switch {
	case r.Verdict == claims.Settled && a.state == ended:
		a.known = false
	case r.Verdict == claims.Granted && a.live() && a.state == undecided:
		a.state = granted
	case r.Verdict == claims.InUse:
		holder := w.byID[r.Claim.Attempt]
		if !holder.known && !holder.crashed {
			w.settle(holder, journal.Free, nil)
		}
	}
}

func (w *world) ask(a *modelAttempt) {
	o := w.owners[w.pick(len(w.owners))]
	w.post(func() {
		if o.dead {
			return
		}
		w.calls++
		o.calls[w.calls] = a
		w.receive(o, o.core.Claim(w.now, claims.Request{Call: w.calls, Key: a.key, Attempt: a.id, Digest: a.digest}))
	})
}

func (w *world) settle(a *modelAttempt, end journal.State, waiting *modelAttempt) {
	o := w.owners[w.pick(len(w.owners))]
	w.post(func() {
		if o.dead {
			return
		}
		w.calls++
		if waiting != nil {
			o.calls[w.calls] = waiting
		}
		w.receive(o, o.core.Settle(w.now, claims.Settlement{Call: w.calls, Key: a.key, Attempt: a.id, State: end}))
	})
}

// commit lets an owner write its next entry, under faults.
func (w *world) commit(o *modelOwner) {
	if o.inflight == nil {
		o.inflight = o.core.NextCommit(w.now)
	}
	if o.inflight == nil || o.dead {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	api := o.store.api.(*faultyAPI)
	api.stuck = cancel
	api.faults = nil
	for range w.pick(3) {
		api.faults = append(api.faults, writeFault(w.pick(4)))
	}
	err := o.store.append(ctx, o.inflight)
	switch {
	case err == nil:
		o.inflight = nil
		w.receive(o, o.core.Committed(w.now))
	case errors.Is(err, errLost):
		o.dead = true
		w.receive(o, o.core.OwnershipLost())
	}
}

func (w *world) fold(o *modelOwner) {
	if o.dead {
		return
	}
	o.store.api.(*faultyAPI).faults = nil
	if f := o.core.NextCompaction(); f != nil {
		o.core.CompactionDone(f, o.store.fold(context.Background(), f.Segment, f.Answers) == nil)
	}
}

// act lets a host do something with one of its attempts.
func (w *world) act(a *modelAttempt) {
	if a.crashed || !a.known {
		return
	}
	switch what := w.pick(4); {
	case a.state == ended:
		w.settle(a, a.end, a)
	case a.state == undecided && what < 3:
		w.ask(a)
	case a.state == granted && what < 3:
		if first := w.runs[a.key]; first != nil {
			w.t.Fatalf("the key ran twice: %x and %x", first.id, a.id)
		}
		w.runs[a.key] = a
		a.state = dispatched
	case a.state == dispatched:
		a.state, a.end = ended, journal.Ran
		if what == 1 {
			a.end = journal.Unknown
		}
	case what == 3:
		a.state, a.end = ended, journal.Free
	}
}

func (w *world) newAttempt() {
	a := &modelAttempt{key: journal.Key{byte(w.pick(3))}, digest: uint64(w.pick(2)), host: w.pick(3), known: true}
	binary.BigEndian.PutUint64(a.id[:], uint64(len(w.attempts)+1))
	w.attempts = append(w.attempts, a)
	w.byID[a.id] = a
	w.ask(a)
}

func (w *world) crash(host int) {
	for _, a := range w.attempts {
		if a.host == host {
			a.crashed = true
		}
	}
}

func (w *world) deliver() {
	if len(w.mail) == 0 {
		return
	}
	i := w.pick(len(w.mail))
	f := w.mail[i]
	if w.pick(8) < 7 {
		w.mail = append(w.mail[:i:i], w.mail[i+1:]...)
	}
	if w.pick(8) < 7 {
		f()
	}
}

func (w *world) step() {
	w.now = w.now.Add(2 * time.Millisecond)
	o := w.owners[w.pick(len(w.owners))]
	switch n := w.pick(80); {
	case n < 28:
		w.deliver()
	case n < 44:
		w.commit(o)
	case n < 64 && len(w.attempts) > 0:
		w.act(w.attempts[w.pick(len(w.attempts))])
	case n < 74:
		w.newAttempt()
	case n < 77:
		w.fold(o)
	case n == 77:
		w.crash(w.pick(3))
	case n == 78:
		w.takeOver()
	}
}

// worldsPerCheck is the number of worlds that one check of rapid runs.
const worldsPerCheck = 3

// newWorld returns a world whose owner has some empty entries behind it, so that
// folding and the reuse of slots occur.
func newWorld(r *rapid.T, random *rand.Rand, verdicts map[claims.Verdict]int) *world {
	w := &world{
		t: r, random: random, now: time.Unix(1_700_000_000, 0), api: standin.NewObjectStore(standin.ObjectStoreOptions{}),
		byID: map[journal.Attempt]*modelAttempt{}, runs: map[journal.Key]*modelAttempt{}, verdicts: verdicts,
	}
	w.takeOver()
	first := w.owners[0]
	for range w.pick(250) {
		w.now = w.now.Add(2 * time.Millisecond)
		first.core.Settle(w.now, claims.Settlement{})
		w.now = w.now.Add(2 * time.Millisecond)
		if err := first.store.append(context.Background(), first.core.NextCommit(w.now)); err != nil {
			r.Fatal(err)
		}
		first.core.Committed(w.now)
		w.fold(first)
	}
	return w
}

// Owners that overlap, writes whose answers are lost, crashes and messages that are
// lost, late or repeated: a key runs at most once, and no refusal is false.
func TestKeyRunsAtMostOnceInTheModel(t *testing.T) {
	verdicts := map[claims.Verdict]int{}
	dispatches := 0
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		for i := range uint64(worldsPerCheck) {
			w := newWorld(r, rand.New(rand.NewPCG(seed, i)), verdicts)
			for range 400 {
				w.step()
			}
			dispatches += len(w.runs)
		}
	})
	for v := claims.Granted; v <= claims.Settled; v++ {
		if verdicts[v] == 0 {
			t.Errorf("the model never met the verdict %s", verdictName(v))
		}
	}
	t.Logf("%d dispatches, replies by verdict %v", dispatches, verdicts)
}
