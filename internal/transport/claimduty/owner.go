package claimduty

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/transport/ring"
	"oleanderfall.example/oleanderfall/internal/transport/sharder"
)

const (
	// ownerRing bounds the calls on their way to an owner's goroutine; a call that
	// finds it full is answered Undecided.
	ownerRing = 4096
	// idleWake is the longest time between two looks at folding and expiry.
	idleWake = time.Second
	// outageKnown is how long the object API gives no answer before an owner stops
	// keeping new claims waiting for it.
	outageKnown = time.Second
)

// event is a call to the owner's goroutine: a request for a claim or a settlement.
type event struct {
	claim  *claims.Request
	settle *claims.Settlement
	reply  chan ownerReply
}

// ownerReply is the core's reply, with the answer where the journal's tail has it.
type ownerReply struct {
	claims.Reply
	body    []byte
	hasBody bool
}

// owner serves one shard under one epoch.
type owner struct {
	shard  sharder.Shard
	store  *store
	timing func() (interval, lifetime time.Duration)
	// outage is how long the object API has given no answer, nil when nobody knows.
	outage  func() time.Duration
	metrics *metrics
	log     *slog.Logger
	lost    func(sharder.Shard)
	events  *ring.Ring[event]
	// done ends when the owner serves no more.
	done chan struct{}

	// The rest belongs to the owner's goroutine.
	core    *claims.Core
	calls   map[claims.Call]pendingCall
	lastID  claims.Call
	working sync.WaitGroup
	commits chan commitResult
	folds   chan foldResult
	removed chan bool
	// foldRetry and removeRetry pace what failed.
	foldRetry, removeRetry retryPace
}

type pendingCall struct {
	reply chan ownerReply
	key   journal.Key
	began time.Time
}

type commitResult struct {
	err  error
	took time.Duration
}

type foldResult struct {
	fold *claims.Compaction
	err  error
}

// newOwner returns the owner of shard; writer is unique to this ownership.
func newOwner(shard sharder.Shard, api objectapi.API, timing func() (time.Duration, time.Duration), m *metrics, log *slog.Logger, lost func(sharder.Shard)) *owner {
	return &owner{
		shard: shard, store: &store{api: api, shard: shard.ID}, timing: timing, metrics: m, log: log, lost: lost,
		events:  ring.New[event](ownerRing, ring.Refuse),
		done:    make(chan struct{}),
		calls:   map[claims.Call]pendingCall{},
		commits: make(chan commitResult, 1),
		folds:   make(chan foldResult, 1),
		removed: make(chan bool, 1),
	}
}

// call hands a call to the owner and waits for its reply.
func (o *owner) call(ctx context.Context, e event) ownerReply {
	undecided := ownerReply{Reply: claims.Reply{Verdict: claims.Undecided}}
	e.reply = make(chan ownerReply, 1)
	if err := o.events.Push(ctx, e); err != nil {
		if ctx.Err() == nil {
			undecided.RetryAfter = unknownRetryAfter
		}
		return undecided
	}
	select {
	case r := <-e.reply:
		return r
	case <-o.done:
	case <-ctx.Done():
	}
	return undecided
}

// run serves the shard until ctx ends or a newer owner is met.
func (o *owner) run(ctx context.Context, writer uint64) {
	defer close(o.done)
	ctx, cancel := context.WithCancel(ctx)
	defer o.working.Wait()
	defer cancel()
	if err := o.takeOver(ctx, writer); err != nil {
		o.giveUp(err)
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-o.events.C():
			o.take(e)
			o.takeMore()
		case r := <-o.commits:
			if r.err != nil {
				o.giveUp(r.err)
				return
			}
			o.metrics.commitSeconds.Observe(r.took.Seconds())
			o.answer(o.core.Committed(time.Now()))
		case r := <-o.folds:
			o.core.CompactionDone(r.fold, r.err == nil)
			o.foldRetry.ended(time.Now(), r.err == nil)
			o.note("Segment not folded; tried again.", r.err)
		case ok := <-o.removed:
			o.core.RemovalDone(ok)
			o.removeRetry.ended(time.Now(), ok)
		case <-timer.C:
		case <-ctx.Done():
			o.giveUp(ctx.Err())
			return
		}
		o.advance(ctx)
		timer.Reset(o.sleep())
	}
}

func (o *owner) note(sentence string, err error) {
	if err != nil {
		o.log.Debug(sentence, "shard", o.shard.ID, "err", err)
	}
}

func (o *owner) sleep() time.Duration {
	if due, ok := o.core.Due(); ok {
		return max(0, min(time.Until(due), idleWake))
	}
	return idleWake
}

// giveUp answers the waiting calls and, when a newer owner was met, says so.
func (o *owner) giveUp(err error) {
	if o.core != nil {
		o.answer(o.core.OwnershipLost())
	}
	if errors.Is(err, errLost) {
		o.metrics.lost.Inc()
		o.log.Info("Newer owner met.", "shard", o.shard.ID, "epoch", o.shard.Epoch)
		o.lost(o.shard)
	}
}

// takeOver reads the journal and fences older owners by an entry of its epoch.
func (o *owner) takeOver(ctx context.Context, writer uint64) error {
	began := time.Now()
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		l, err := o.store.load(ctx)
		if err == nil && l.maxEpoch > o.shard.Epoch {
			return errLost
		}
		if err == nil {
			err = o.fence(ctx, l, writer)
		}
		if errors.Is(err, errLost) {
			return err
		}
		if err == nil {
			o.metrics.takeoverSeconds.Observe(time.Since(began).Seconds())
			o.log.Info("Journal read.", "shard", o.shard.ID, "epoch", o.shard.Epoch, "claims", l.table.Len(),
				"reads", o.store.reads, "took", time.Since(began))
			return nil
		}
		o.note("Journal not read; tried again.", err)
		if !pause(ctx, backoff) {
			return ctx.Err()
		}
	}
}

// fence writes the entry that stops older owners. One that still commits gets in
// before it now and then; its entry is read and the next number tried.
func (o *owner) fence(ctx context.Context, l *loaded, writer uint64) error {
	for {
		if err := o.makeRoom(ctx, l); err != nil {
			return err
		}
		fence := journal.Entry{
			Seq: l.last + 1, Epoch: o.shard.Epoch, Writer: writer, AtMillis: max(l.lastMillis, time.Now().UnixMilli()),
		}
		err := o.store.append(ctx, &fence)
		if err == nil {
			l.add(fence)
			break
		}
		if !errors.Is(err, errLost) {
			return err
		}
		if err := o.store.follow(ctx, l); err != nil {
			return err
		}
		if l.maxEpoch > o.shard.Epoch {
			return errLost
		}
	}
	interval, lifetime := o.timing()
	opt := claims.Options{Epoch: o.shard.Epoch, Writer: writer, CommitInterval: interval, Lifetime: lifetime}
	o.core = claims.New(opt, l.table, l.tail, l.segments, l.last, l.lastMillis)
	return nil
}

// makeRoom folds until the next entry's slot holds nothing that is not folded.
func (o *owner) makeRoom(ctx context.Context, l *loaded) error {
	for l.last+1 > l.folded()+journal.Slots {
		segment, answers := journal.Compact(l.tail[:journal.SegmentEntries])
		if err := o.store.fold(ctx, segment, answers); err != nil {
			return err
		}
		l.tail = l.tail[journal.SegmentEntries:]
		l.segments = append(l.segments, claims.Segment{Number: segment[0].Number, EndMillis: segment[0].EndMillis})
	}
	return nil
}

func (o *owner) takeMore() {
	for {
		e, ok := o.events.TryPop()
		if !ok {
			return
		}
		o.take(e)
	}
}

func (o *owner) take(e event) {
	now := time.Now()
	o.lastID++
	pending := pendingCall{reply: e.reply, began: now}
	if e.claim != nil {
		e.claim.Call = o.lastID
		pending.key = e.claim.Key
		o.calls[o.lastID] = pending
		if o.inOutage() {
			o.recall(now, *e.claim)
			return
		}
		o.answer(o.core.Claim(now, *e.claim))
		return
	}
	e.settle.Call = o.lastID
	o.calls[o.lastID] = pending
	o.answer(o.core.Settle(now, *e.settle))
}

func (o *owner) inOutage() bool { return o.outage != nil && o.outage() >= outageKnown }

// recall answers a claim from memory in an outage; a new one is undecided at once.
// A commit is kept in flight, which notices the end of the outage.
func (o *owner) recall(now time.Time, r claims.Request) {
	reply, ok := o.core.Lookup(r)
	if !ok {
		reply = claims.Reply{Call: r.Call, Verdict: claims.Undecided}
	}
	o.answer([]claims.Reply{reply})
	if o.core.Stats().Waiting == 0 {
		o.lastID++
		o.answer(o.core.Settle(now, claims.Settlement{Call: o.lastID}))
	}
}

func (o *owner) answer(replies []claims.Reply) {
	for _, r := range replies {
		pending, ok := o.calls[r.Call]
		if !ok {
			continue
		}
		delete(o.calls, r.Call)
		full := ownerReply{Reply: r}
		if r.Verdict == claims.Answered && !r.Claim.Held {
			full.body, full.hasBody = o.core.Body(r.Claim, pending.key)
		}
		o.metrics.verdicts.WithLabelValues(verdictName(r.Verdict)).Inc()
		pending.reply <- full
	}
}

// advance starts the work that the core has ready.
func (o *owner) advance(ctx context.Context) {
	now := time.Now()
	o.core.SetTiming(o.timing())
	o.core.Expire(now)
	o.metrics.observe(o.shard.ID, o.core.Stats())
	if entry := o.core.NextCommit(now); entry != nil {
		o.metrics.entryOps.Observe(float64(len(entry.Ops)))
		o.work(func() {
			began := time.Now()
			err := o.store.append(ctx, entry)
			o.commits <- commitResult{err, time.Since(began)}
		})
	}
	if o.foldRetry.due(now) {
		if fold := o.core.NextCompaction(); fold != nil {
			o.work(func() { o.folds <- foldResult{fold, o.store.fold(ctx, fold.Segment, fold.Answers)} })
		}
	}
	if o.removeRetry.due(now) {
		if segment := o.core.NextRemoval(now); segment != nil {
			o.work(func() { o.removed <- o.store.remove(ctx, segment.Number) == nil })
		}
	}
}

func (o *owner) work(job func()) {
	o.working.Add(1)
	go func() {
		defer o.working.Done()
		job()
	}()
}

func share(timeout time.Duration) time.Duration {
	return time.Duration(float64(timeout) * answerShare)
}

// serveClaim answers MethodClaim at the owner.
func (o *owner) serveClaim(ctx context.Context, r claimRequest) claimReply {
	ctx, cancel := context.WithTimeout(ctx, share(callTimeout))
	defer cancel()
	got := o.call(ctx, event{claim: &claims.Request{Key: r.Key, Attempt: r.Attempt, Digest: r.Digest, Holder: r.Holder}})
	reply := claimReply{
		Verdict: got.Verdict, Epoch: o.shard.Epoch, Attempt: got.Claim.Attempt, Holder: got.Holder,
		Status: int(got.Claim.Status), Body: got.body, Held: got.Claim.Held,
		RetryAfterMillis: got.RetryAfter.Milliseconds(), Outage: o.inOutage(),
	}
	if got.Verdict == claims.Answered && !got.Claim.Held && !got.hasBody {
		o.readAnswer(ctx, got.Claim, &reply)
	}
	return reply
}

// readAnswer completes a reply with the answer of a claim whose entry was folded. A
// segment without answers has no object for them.
func (o *owner) readAnswer(ctx context.Context, claim journal.Claim, reply *claimReply) {
	body, err := o.store.answer(ctx, claim)
	missing := errors.Is(err, objectapi.ErrNotFound) || err == nil && len(body) == 0
	reply.Body = body
	reply.AnswerLost = missing && claim.HasBody
	reply.AnswerMissing = !missing && err != nil
}

// serveSettle answers MethodSettle at the owner.
func (o *owner) serveSettle(ctx context.Context, r settleRequest) settleReply {
	ctx, cancel := context.WithTimeout(ctx, share(SettleTimeout))
	defer cancel()
	reply := settleReply{Results: make([]settled, len(r.Items))}
	var waiting sync.WaitGroup
	for i, item := range r.Items {
		s := &claims.Settlement{
			Key: item.Key, Attempt: item.Attempt, State: item.State, Status: item.Status, Body: item.Body, Held: item.Held,
		}
		waiting.Go(func() {
			got := o.call(ctx, event{settle: s})
			reply.Results[i] = settled{Durable: got.Verdict == claims.Settled, Kept: got.AnswerStored}
		})
	}
	waiting.Wait()
	return reply
}
