package claimservice

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/transport/boundedqueue"
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

const (
	// ownerQueueSize limits the calls queued for an owner's goroutine; a call that finds
	// the queue full is answered with Undecided.
	ownerQueueSize = 4096
	// maintenanceInterval is the longest time between two checks for compaction and expiry.
	maintenanceInterval = time.Second
	// outageThreshold is how long the object API must not answer before an owner stops
	// queueing new claims and answers them immediately.
	outageThreshold = time.Second
)

// ownerRequest is a call to the owner's goroutine: a claim or a settlement.
type ownerRequest struct {
	claim  *claims.Request
	settle *claims.Settlement
	reply  chan ownerReply
}

// ownerReply is the core's reply, with the answer if its journal entry is not yet
// compacted.
type ownerReply struct {
	claims.Reply
	body    []byte
	hasBody bool
}

// owner serves one shard under one epoch.
type owner struct {
	shard  shardassignment.Shard
	store  *store
	timing func() (interval, lifetime time.Duration)
	// outage returns how long the object API has not answered; nil if this is not tracked.
	outage          func() time.Duration
	metrics         *metrics
	log             *slog.Logger
	onOwnershipLost func(shardassignment.Shard)
	requests        *boundedqueue.Queue[ownerRequest]
	// done is closed when the owner stops serving.
	done chan struct{}

	// The fields below are used only by the owner's goroutine.
	core         *claims.Core
	pendingCalls map[claims.CallID]pendingCall
	lastCall     claims.CallID
	workers      sync.WaitGroup
	commits      chan commitResult
	compactions  chan compactionResult
	removals     chan bool
	// compactionRetry and removalRetry delay the retry of failed background work.
	compactionRetry, removalRetry retryBackoff
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

type compactionResult struct {
	compaction *claims.Compaction
	err        error
}

// newOwner returns the owner of shard. It calls lost when it finds a newer owner.
func newOwner(shard shardassignment.Shard, api objectapi.API, timing func() (time.Duration, time.Duration), m *metrics, log *slog.Logger, lost func(shardassignment.Shard)) *owner {
	return &owner{
		shard: shard, store: &store{api: api, shard: shard.ID}, timing: timing, metrics: m, log: log, onOwnershipLost: lost,
		requests:     boundedqueue.New[ownerRequest](ownerQueueSize, boundedqueue.Refuse),
		done:         make(chan struct{}),
		pendingCalls: map[claims.CallID]pendingCall{},
		commits:      make(chan commitResult, 1),
		compactions:  make(chan compactionResult, 1),
		removals:     make(chan bool, 1),
	}
}

// call queues a call for the owner's goroutine and waits for its reply.
func (o *owner) call(ctx context.Context, e ownerRequest) ownerReply {
	undecided := ownerReply{Reply: claims.Reply{Verdict: claims.Undecided}}
	e.reply = make(chan ownerReply, 1)
	if err := o.requests.Push(ctx, e); err != nil {
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

// run serves the shard until ctx ends or a newer owner is found. writer identifies the
// entries of this ownership in the journal and must be unique to it.
func (o *owner) run(ctx context.Context, writer uint64) {
	defer close(o.done)
	ctx, cancel := context.WithCancel(ctx)
	defer o.workers.Wait()
	defer cancel()
	if err := o.takeOver(ctx, writer); err != nil {
		o.stop(err)
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-o.requests.C():
			o.handle(e)
			o.handleQueued()
		case r := <-o.commits:
			if r.err != nil {
				o.stop(r.err)
				return
			}
			o.metrics.commitSeconds.Observe(r.took.Seconds())
			o.sendReplies(o.core.Committed(time.Now()))
		case r := <-o.compactions:
			o.core.CompactionDone(r.compaction, r.err == nil)
			o.compactionRetry.finished(time.Now(), r.err == nil)
			o.logRetry("Segment compaction failed; retrying", r.err)
		case ok := <-o.removals:
			o.core.RemovalDone(ok)
			o.removalRetry.finished(time.Now(), ok)
		case <-timer.C:
		case <-ctx.Done():
			o.stop(ctx.Err())
			return
		}
		o.startWork(ctx)
		timer.Reset(o.nextWake())
	}
}

// logRetry logs an error, if there is one, after which the work is retried.
func (o *owner) logRetry(msg string, err error) {
	if err != nil {
		o.log.Debug(msg, "shard", o.shard.ID, "err", err)
	}
}

func (o *owner) nextWake() time.Duration {
	if due, ok := o.core.Due(); ok {
		return max(0, min(time.Until(due), maintenanceInterval))
	}
	return maintenanceInterval
}

// stop replies to the waiting calls and, if err is errOwnershipLost, reports the newer owner.
func (o *owner) stop(err error) {
	if o.core != nil {
		o.sendReplies(o.core.OwnershipLost())
	}
	if errors.Is(err, errOwnershipLost) {
		o.metrics.ownershipLost.Inc()
		o.log.Info("Shard has a newer owner", "shard", o.shard.ID, "epoch", o.shard.Epoch)
		o.onOwnershipLost(o.shard)
	}
}

// takeOver reads the journal and fences older owners with an entry of its own epoch.
func (o *owner) takeOver(ctx context.Context, writer uint64) error {
	began := time.Now()
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		l, err := o.store.load(ctx)
		if err == nil && l.maxEpoch > o.shard.Epoch {
			return errOwnershipLost
		}
		if err == nil {
			err = o.fence(ctx, l, writer)
		}
		if errors.Is(err, errOwnershipLost) {
			return err
		}
		if err == nil {
			o.metrics.takeoverSeconds.Observe(time.Since(began).Seconds())
			o.log.Info("Journal loaded and fenced", "shard", o.shard.ID, "epoch", o.shard.Epoch, "claims", l.table.Len(),
				"reads", o.store.readCount, "took", time.Since(began))
			return nil
		}
		o.logRetry("Loading or fencing the journal failed; retrying", err)
		if !sleep(ctx, backoff) {
			return ctx.Err()
		}
	}
}

// fence writes the entry that stops older owners. An older owner that is still committing
// may write an entry first; that entry is read and the next sequence number tried.
func (o *owner) fence(ctx context.Context, l *loadedJournal, writer uint64) error {
	for {
		if err := o.freeNextSlot(ctx, l); err != nil {
			return err
		}
		fence := journal.Entry{
			Seq: l.lastSeq + 1, Epoch: o.shard.Epoch, Writer: writer, AtMillis: max(l.lastMillis, time.Now().UnixMilli()),
		}
		err := o.store.append(ctx, &fence)
		if err == nil {
			l.appendEntry(fence)
			break
		}
		if !errors.Is(err, errOwnershipLost) {
			return err
		}
		if err := o.store.readNext(ctx, l); err != nil {
			return err
		}
		if l.maxEpoch > o.shard.Epoch {
			return errOwnershipLost
		}
	}
	interval, lifetime := o.timing()
	opt := claims.Options{Epoch: o.shard.Epoch, Writer: writer, CommitInterval: interval, Lifetime: lifetime}
	o.core = claims.New(opt, l.table, l.tail, l.segments, l.lastSeq, l.lastMillis)
	return nil
}

// freeNextSlot compacts entries until the next entry's slot holds no entry that is not yet
// compacted.
func (o *owner) freeNextSlot(ctx context.Context, l *loadedJournal) error {
	for l.lastSeq+1 > l.lastCompacted()+journal.Slots {
		segment, answers := journal.Compact(l.tail[:journal.SegmentEntries])
		if err := o.store.writeSegment(ctx, segment, answers); err != nil {
			return err
		}
		l.tail = l.tail[journal.SegmentEntries:]
		l.segments = append(l.segments, claims.Segment{Number: segment[0].Number, EndMillis: segment[0].EndMillis})
	}
	return nil
}

func (o *owner) handleQueued() {
	for {
		e, ok := o.requests.TryPop()
		if !ok {
			return
		}
		o.handle(e)
	}
}

func (o *owner) handle(e ownerRequest) {
	now := time.Now()
	o.lastCall++
	pending := pendingCall{reply: e.reply, began: now}
	if e.claim != nil {
		e.claim.Call = o.lastCall
		pending.key = e.claim.Key
		o.pendingCalls[o.lastCall] = pending
		if o.inOutage() {
			o.answerFromMemory(now, *e.claim)
			return
		}
		o.sendReplies(o.core.Claim(now, *e.claim))
		return
	}
	e.settle.Call = o.lastCall
	o.pendingCalls[o.lastCall] = pending
	o.sendReplies(o.core.Settle(now, *e.settle))
}

func (o *owner) inOutage() bool { return o.outage != nil && o.outage() >= outageThreshold }

// answerFromMemory answers a claim during an outage; a new claim is immediately undecided.
// A commit is kept in flight, for an empty settlement, to detect the end of the outage.
func (o *owner) answerFromMemory(now time.Time, r claims.Request) {
	reply, ok := o.core.Lookup(r)
	if !ok {
		reply = claims.Reply{Call: r.Call, Verdict: claims.Undecided}
	}
	o.sendReplies([]claims.Reply{reply})
	if o.core.Stats().Waiting == 0 {
		o.lastCall++
		o.sendReplies(o.core.Settle(now, claims.Settlement{Call: o.lastCall}))
	}
}

func (o *owner) sendReplies(replies []claims.Reply) {
	for _, r := range replies {
		pending, ok := o.pendingCalls[r.Call]
		if !ok {
			continue
		}
		delete(o.pendingCalls, r.Call)
		full := ownerReply{Reply: r}
		if r.Verdict == claims.Answered && !r.Claim.Held {
			full.body, full.hasBody = o.core.Body(r.Claim, pending.key)
		}
		o.metrics.verdicts.WithLabelValues(verdictName(r.Verdict)).Inc()
		pending.reply <- full
	}
}

// startWork starts the commit, compaction and removal that the core has ready.
func (o *owner) startWork(ctx context.Context) {
	now := time.Now()
	o.core.SetTiming(o.timing())
	o.core.Expire(now)
	o.metrics.observe(o.shard.ID, o.core.Stats())
	if entry := o.core.NextCommit(now); entry != nil {
		o.metrics.commitOps.Observe(float64(len(entry.Ops)))
		o.runAsync(func() {
			began := time.Now()
			err := o.store.append(ctx, entry)
			o.commits <- commitResult{err, time.Since(began)}
		})
	}
	if o.compactionRetry.due(now) {
		if compaction := o.core.NextCompaction(); compaction != nil {
			o.runAsync(func() {
				o.compactions <- compactionResult{compaction, o.store.writeSegment(ctx, compaction.Segment, compaction.Answers)}
			})
		}
	}
	if o.removalRetry.due(now) {
		if segment := o.core.NextRemoval(now); segment != nil {
			o.runAsync(func() { o.removals <- o.store.deleteSegment(ctx, segment.Number) == nil })
		}
	}
}

func (o *owner) runAsync(job func()) {
	o.workers.Add(1)
	go func() {
		defer o.workers.Done()
		job()
	}()
}

// replyTimeout returns the time within which the owner replies to a call with this timeout.
func replyTimeout(timeout time.Duration) time.Duration {
	return time.Duration(float64(timeout) * replyTimeoutFraction)
}

// serveClaim handles MethodClaim at the owner.
func (o *owner) serveClaim(ctx context.Context, r claimRequest) claimReply {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout(callTimeout))
	defer cancel()
	got := o.call(ctx, ownerRequest{claim: &claims.Request{Key: r.Key, Attempt: r.Attempt, Digest: r.Digest, Holder: r.Holder}})
	reply := claimReply{
		Verdict: got.Verdict, Epoch: o.shard.Epoch, Attempt: got.Claim.Attempt, Holder: got.Holder,
		Status: int(got.Claim.Status), Body: got.body, Held: got.Claim.Held,
		RetryAfterMillis: got.RetryAfter.Milliseconds(), Outage: o.inOutage(),
	}
	if got.Verdict == claims.Answered && !got.Claim.Held && !got.hasBody {
		o.addCompactedAnswer(ctx, got.Claim, &reply)
	}
	return reply
}

// addCompactedAnswer adds the answer of a claim whose entry was compacted. A segment
// without answers has no answer object.
func (o *owner) addCompactedAnswer(ctx context.Context, claim journal.Claim, reply *claimReply) {
	body, err := o.store.readAnswer(ctx, claim)
	missing := errors.Is(err, objectapi.ErrNotFound) || err == nil && len(body) == 0
	reply.Body = body
	reply.AnswerLost = missing && claim.HasBody
	reply.AnswerUnreadable = !missing && err != nil
}

// serveSettle handles MethodSettle at the owner.
func (o *owner) serveSettle(ctx context.Context, r settleRequest) settleReply {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout(SettleTimeout))
	defer cancel()
	reply := settleReply{Results: make([]settleResult, len(r.Items))}
	var waiting sync.WaitGroup
	for i, item := range r.Items {
		s := &claims.Settlement{
			Key: item.Key, Attempt: item.Attempt, State: item.State, Status: item.Status, Body: item.Body, Held: item.Held,
		}
		waiting.Go(func() {
			got := o.call(ctx, ownerRequest{settle: s})
			reply.Results[i] = settleResult{Durable: got.Verdict == claims.Settled, AnswerInJournal: got.AnswerStored}
		})
	}
	waiting.Wait()
	return reply
}
