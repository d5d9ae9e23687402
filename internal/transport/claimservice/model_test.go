package claimservice

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
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

// writeFault is the fault injected into one write.
type writeFault int

const (
	writeOK writeFault = iota
	writeResponseLost
	writeFailed
	// writeAbandoned: not written, and the writer's context is cancelled.
	writeAbandoned
)

// faultyAPI applies a list of faults to successive writes.
type faultyAPI struct {
	objectapi.API
	faults  []writeFault
	abandon context.CancelFunc
}

func (f *faultyAPI) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	fault := writeOK
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	switch fault {
	case writeFailed:
		return 0, objectapi.ErrUnavailable
	case writeAbandoned:
		f.abandon()
		return 0, objectapi.ErrUnavailable
	}
	version, err := f.API.Put(ctx, key, value, expect)
	if err == nil && fault == writeResponseLost {
		return 0, objectapi.ErrUnavailable
	}
	return version, err
}

type attemptState int

const (
	attemptUndecided attemptState = iota
	attemptGranted
	attemptDispatched
	attemptEnded
)

// modelAttempt is one call of Begin at a simulated host.
type modelAttempt struct {
	id     journal.Attempt
	key    journal.Key
	digest uint64
	host   int
	state  attemptState
	// outcome is the state that the host settles once the attempt has ended.
	outcome journal.State
	// known reports that the host still tracks the attempt; crashed that the host's
	// incarnation ended.
	known, crashed bool
}

func (a *modelAttempt) live() bool { return a.known && !a.crashed && a.state != attemptEnded }

type modelOwner struct {
	core     *claims.Core
	store    *store
	inflight *journal.Entry
	fenced   bool
	calls    map[claims.CallID]*modelAttempt
}

// simulation runs several owners and hosts whose messages are delayed, lost and repeated.
type simulation struct {
	t        *rapid.T
	now      time.Time
	api      *standin.ObjectStore
	owners   []*modelOwner
	epoch    model.Epoch
	attempts []*modelAttempt
	byID     map[journal.Attempt]*modelAttempt
	messages []func()
	random   *rand.Rand
	calls    claims.CallID
	runs     map[journal.Key]*modelAttempt
	verdicts map[claims.Verdict]int
}

// randomInt draws uniformly; rapid's own draws favour small numbers and rarely reach deep
// states.
func (w *simulation) randomInt(n int) int { return w.random.IntN(n) }

func (w *simulation) send(f func()) { w.messages = append(w.messages, f) }

// takeOver adds an owner of the next epoch; older owners are not notified.
func (w *simulation) takeOver() {
	w.epoch++
	api := &faultyAPI{API: w.api}
	o := newOwner(shardassignment.Shard{ID: "claims/0", Epoch: w.epoch}, api, noTiming, newMetrics(nil), nil, nil)
	o.store.retryDelay = time.Nanosecond
	l, err := o.store.load(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	before := l.lastSeq
	if err := o.fence(context.Background(), l, uint64(w.epoch)); err != nil {
		w.t.Fatal(err)
	}
	opt := claims.Options{Epoch: w.epoch, Writer: uint64(w.epoch), CommitInterval: time.Millisecond, SettleDelay: time.Millisecond, MaxWaiting: 4}
	fenced, _ := o.store.load(context.Background())
	core := claims.New(opt, fenced.table, fenced.tail, fenced.segments, fenced.lastSeq, fenced.lastMillis)
	if fenced.lastSeq != before+1 || fenced.maxEpoch != w.epoch {
		w.t.Fatalf("the fencing entry is not in the journal")
	}
	w.owners = append(w.owners, &modelOwner{core: core, store: o.store, calls: map[claims.CallID]*modelAttempt{}})
}

func noTiming() (time.Duration, time.Duration) { return 0, 0 }

// handleReplies checks each reply of an owner when it is made and sends it to the attempt's
// host.
func (w *simulation) handleReplies(o *modelOwner, replies []claims.Reply) {
	for _, r := range replies {
		a := o.calls[r.Call]
		delete(o.calls, r.Call)
		if a == nil {
			continue
		}
		w.verdicts[r.Verdict]++
		w.checkReply(a, r)
		w.send(func() { w.deliverReply(a, r) })
	}
}

// checkReply verifies that a refusal is consistent with what ran or may still run.
func (w *simulation) checkReply(a *modelAttempt, r claims.Reply) {
	ran := w.runs[a.key]
	switch r.Verdict {
	case claims.Refused:
		if ran != nil {
			w.t.Fatalf("refused as not run, but it ran")
		}
		for _, other := range w.attempts {
			if other.key == a.key && other.state == attemptGranted && other.live() {
				w.t.Fatalf("refused as not run while another attempt is granted")
			}
		}
	case claims.KeyReused:
		if ran != nil && ran.digest == a.digest {
			w.t.Fatalf("rejected as other content, but this content ran under the key")
		}
	}
}

// deliverReply processes a reply at the attempt's host.
func (w *simulation) deliverReply(a *modelAttempt, r claims.Reply) {
	switch {
	case r.Verdict == claims.Settled && a.state == attemptEnded:
		a.known = false
	case r.Verdict == claims.Granted && a.live() && a.state == attemptUndecided:
		a.state = attemptGranted
	case r.Verdict == claims.InUse:
		holder := w.byID[r.Claim.Attempt]
		if !holder.known && !holder.crashed {
			w.settle(holder, journal.Free, nil)
		}
	}
}

func (w *simulation) requestClaim(a *modelAttempt) {
	o := w.owners[w.randomInt(len(w.owners))]
	w.send(func() {
		if o.fenced {
			return
		}
		w.calls++
		o.calls[w.calls] = a
		w.handleReplies(o, o.core.Claim(w.now, claims.Request{Call: w.calls, Key: a.key, Attempt: a.id, Digest: a.digest}))
	})
}

func (w *simulation) settle(a *modelAttempt, outcome journal.State, waiting *modelAttempt) {
	o := w.owners[w.randomInt(len(w.owners))]
	w.send(func() {
		if o.fenced {
			return
		}
		w.calls++
		if waiting != nil {
			o.calls[w.calls] = waiting
		}
		w.handleReplies(o, o.core.Settle(w.now, claims.Settlement{Call: w.calls, Key: a.key, Attempt: a.id, State: outcome}))
	})
}

// commit writes an owner's next entry with injected faults.
func (w *simulation) commit(o *modelOwner) {
	if o.inflight == nil {
		o.inflight = o.core.NextCommit(w.now)
	}
	if o.inflight == nil || o.fenced {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	api := o.store.api.(*faultyAPI)
	api.abandon = cancel
	api.faults = nil
	for range w.randomInt(3) {
		api.faults = append(api.faults, writeFault(w.randomInt(4)))
	}
	err := o.store.append(ctx, o.inflight)
	switch {
	case err == nil:
		o.inflight = nil
		w.handleReplies(o, o.core.Committed(w.now))
	case errors.Is(err, errOwnershipLost):
		o.fenced = true
		w.handleReplies(o, o.core.OwnershipLost())
	}
}

func (w *simulation) compact(o *modelOwner) {
	if o.fenced {
		return
	}
	o.store.api.(*faultyAPI).faults = nil
	if f := o.core.NextCompaction(); f != nil {
		o.core.CompactionDone(f, o.store.writeSegment(context.Background(), f.Segment, f.Answers) == nil)
	}
}

// stepAttempt performs one random step of an attempt at its host.
func (w *simulation) stepAttempt(a *modelAttempt) {
	if a.crashed || !a.known {
		return
	}
	switch choice := w.randomInt(4); {
	case a.state == attemptEnded:
		w.settle(a, a.outcome, a)
	case a.state == attemptUndecided && choice < 3:
		w.requestClaim(a)
	case a.state == attemptGranted && choice < 3:
		if first := w.runs[a.key]; first != nil {
			w.t.Fatalf("the key ran twice: %x and %x", first.id, a.id)
		}
		w.runs[a.key] = a
		a.state = attemptDispatched
	case a.state == attemptDispatched:
		a.state, a.outcome = attemptEnded, journal.Ran
		if choice == 1 {
			a.outcome = journal.Unknown
		}
	case choice == 3:
		a.state, a.outcome = attemptEnded, journal.Free
	}
}

func (w *simulation) newAttempt() {
	a := &modelAttempt{key: journal.Key{byte(w.randomInt(3))}, digest: uint64(w.randomInt(2)), host: w.randomInt(3), known: true}
	binary.BigEndian.PutUint64(a.id[:], uint64(len(w.attempts)+1))
	w.attempts = append(w.attempts, a)
	w.byID[a.id] = a
	w.requestClaim(a)
}

func (w *simulation) crash(host int) {
	for _, a := range w.attempts {
		if a.host == host {
			a.crashed = true
		}
	}
}

func (w *simulation) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.randomInt(len(w.messages))
	f := w.messages[i]
	if w.randomInt(8) < 7 {
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	}
	if w.randomInt(8) < 7 {
		f()
	}
}

func (w *simulation) step() {
	w.now = w.now.Add(2 * time.Millisecond)
	o := w.owners[w.randomInt(len(w.owners))]
	switch n := w.randomInt(80); {
	case n < 28:
		w.deliver()
	case n < 44:
		w.commit(o)
	case n < 64 && len(w.attempts) > 0:
		w.stepAttempt(w.attempts[w.randomInt(len(w.attempts))])
	case n < 74:
		w.newAttempt()
	case n < 77:
		w.compact(o)
	case n == 77:
		w.crash(w.randomInt(3))
	case n == 78:
		w.takeOver()
	}
}

// simulationsPerCheck is the number of simulations per rapid check.
const simulationsPerCheck = 3

// newSimulation returns a simulation whose owner has already written some empty entries, so
// that compaction and slot reuse occur.
func newSimulation(r *rapid.T, random *rand.Rand, verdicts map[claims.Verdict]int) *simulation {
	w := &simulation{
		t: r, random: random, now: time.Unix(1_700_000_000, 0), api: standin.NewObjectStore(standin.ObjectStoreOptions{}),
		byID: map[journal.Attempt]*modelAttempt{}, runs: map[journal.Key]*modelAttempt{}, verdicts: verdicts,
	}
	w.takeOver()
	first := w.owners[0]
	for range w.randomInt(250) {
		w.now = w.now.Add(2 * time.Millisecond)
		first.core.Settle(w.now, claims.Settlement{})
		w.now = w.now.Add(2 * time.Millisecond)
		if err := first.store.append(context.Background(), first.core.NextCommit(w.now)); err != nil {
			r.Fatal(err)
		}
		first.core.Committed(w.now)
		w.compact(first)
	}
	return w
}

// With overlapping owners, writes whose responses are lost, crashes, and messages that are lost,
// delayed or repeated, a key runs at most once and no refusal is false.
func TestModel_KeyRunsAtMostOnce(t *testing.T) {
	verdicts := map[claims.Verdict]int{}
	dispatches := 0
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		for i := range uint64(simulationsPerCheck) {
			w := newSimulation(r, rand.New(rand.NewPCG(seed, i)), verdicts)
			for range 400 {
				w.step()
			}
			dispatches += len(w.runs)
		}
	})
	for v := claims.Granted; v <= claims.Settled; v++ {
		if verdicts[v] == 0 {
			t.Errorf("no simulation produced the verdict %s", verdictName(v))
		}
	}
	t.Logf("%d dispatches, replies by verdict %v", dispatches, verdicts)
}
