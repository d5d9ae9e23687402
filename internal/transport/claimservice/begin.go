package claimservice

import (
	"context"
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

const (
	// callTimeout limits one message; the claim request is retried after it.
	callTimeout = time.Second
	// replyTimeoutFraction is the part of a call's timeout after which a live owner always
	// replies, so that a slow platform is not mistaken for a dead owner.
	replyTimeoutFraction = 0.7
	// claimRetryDelay is the mean delay before a claim request is retried; it doubles up
	// to maxClaimRetryDelay.
	claimRetryDelay    = 25 * time.Millisecond
	maxClaimRetryDelay = 400 * time.Millisecond
	// noVerdictTimeout is how long a call without a verdict is retried, long enough to
	// hide a takeover or handover of its shard from the caller.
	noVerdictTimeout = 1500 * time.Millisecond
	// maxFollowWait limits one wait for the end of an attempt at its holder.
	maxFollowWait = time.Second
	// maxHolderFailures is the number of consecutive failed calls to a holder after which
	// the outcome of its attempt counts as unknown, or the answer it holds as lost.
	maxHolderFailures = 3
	// unknownRetryAfter is the retry delay sent to a caller whose claim is undecided.
	unknownRetryAfter = time.Second
)

// hashKey returns the journal key for k.
func hashKey(k Key) journal.Key {
	b := make([]byte, 0, 128)
	for _, part := range []string{string(k.Caller), string(k.Service), k.Idempotency} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(part)))
		b = append(b, part...)
	}
	sum := sha256.Sum256(b)
	return journal.Key(sum[:16])
}

func (d *Service) shardOf(k journal.Key) string {
	return shardID(int(xxhash.Sum64(k[:]) % uint64(d.shardCount.Load())))
}

// beginCall is the state of one Begin call.
type beginCall struct {
	duty    *Service
	key     Key
	digest  uint64
	attempt *attempt
	// requestSent reports that a message about the attempt may have left this process.
	requestSent bool
	// inUse reports that, by the owner's last reply, another attempt is running; holderLive
	// that its holder confirmed this.
	inUse, holderLive bool
	// goneAttempt is an attempt whose holder's incarnation was found to be over;
	// holderFailures counts consecutive failed calls to a holder.
	goneAttempt    journal.Attempt
	holderFailures int
}

// Begin implements Claims.
func (d *Service) Begin(ctx context.Context, key Key, digest uint64) (Ticket, error) {
	start := time.Now()
	t, err := d.begin(ctx, key, digest)
	result := "run"
	var coded *resultcode.Error
	switch {
	case errors.As(err, &coded):
		result = coded.Code.Info().Name
	case t.Verdict != VerdictRun:
		result = "not_first"
	default:
		d.metrics.beginSeconds.Observe(time.Since(start).Seconds())
	}
	d.metrics.begins.WithLabelValues(result).Inc()
	return t, err
}

func (d *Service) begin(ctx context.Context, key Key, digest uint64) (Ticket, error) {
	if !d.awaitShardCount(ctx) {
		return Ticket{}, claimUnknown("the claim layout is not known yet")
	}
	b := &beginCall{duty: d, key: key, digest: digest, attempt: &attempt{key: hashKey(key)}}
	_, _ = crand.Read(b.attempt.id[:])
	b.attempt.shard = d.shardOf(b.attempt.key)
	if !d.attempts.register(b.attempt) {
		return Ticket{}, claimUnknown("too many requests of this host wait for their end")
	}
	t, err := b.run(ctx)
	if err == nil && t.Verdict == VerdictRun {
		return t, nil
	}
	// The attempt was not granted, or the grant was not received; it is not dispatched.
	if b.requestSent {
		d.attempts.finish(b.attempt.id, journal.Free, 0, nil)
	} else {
		d.attempts.unregister(b.attempt)
	}
	return t, err
}

// awaitShardCount waits up to noVerdictTimeout until the number of shards is known: a
// caller may reach a process that has just started.
func (d *Service) awaitShardCount(ctx context.Context) bool {
	for since := time.Now(); d.shardCount.Load() == 0; {
		if time.Since(since) >= noVerdictTimeout || !sleep(ctx, claimRetryDelay) {
			return false
		}
	}
	return true
}

func claimUnknown(detail string) error {
	return retryLater(resultcode.ClaimUnknown, detail, unknownRetryAfter)
}

func retryLater(code resultcode.Code, detail string, after time.Duration) error {
	return &resultcode.Error{Code: code, Detail: detail, RetryAfterMillis: after.Milliseconds()}
}

// run requests the claim until there is a verdict or ctx ends. It continues while another
// attempt is running. Without a verdict it fails after noVerdictTimeout, or at once when
// the owner reports an outage or overload.
func (b *beginCall) run(ctx context.Context) (Ticket, error) {
	since, wait := time.Now(), claimRetryDelay
	for {
		b.inUse, b.holderLive = false, false
		reply, err := b.requestClaim(ctx)
		if err == nil {
			ticket, done, err := b.decide(ctx, reply)
			if done {
				return ticket, err
			}
		}
		switch {
		case b.holderLive:
			since, wait = time.Now(), claimRetryDelay
		case err == nil && reply.Outage:
			return Ticket{}, claimUnknown("the object API does not answer")
		case err == nil && reply.Verdict == claims.Undecided && reply.RetryAfterMillis > 0:
			after := time.Duration(reply.RetryAfterMillis) * time.Millisecond
			return Ticket{}, retryLater(resultcode.ClaimUnknown, "the owner of the claim shard is overloaded", after)
		case time.Since(since) >= noVerdictTimeout:
			return Ticket{}, claimUnknown("no owner of the claim shard decided in time")
		}
		if !sleep(ctx, wait/2+rand.N(wait)) {
			if b.inUse {
				return Ticket{}, retryLater(resultcode.InProgress, "a request with this key is still running", unknownRetryAfter)
			}
			return Ticket{}, claimUnknown("no owner of the claim shard answered in time")
		}
		wait = min(2*wait, maxClaimRetryDelay)
	}
}

var errNoOwner = errors.New("claim shard has no known owner")

func (b *beginCall) requestClaim(ctx context.Context) (claimReply, error) {
	request := claimRequest{
		Shard: b.attempt.shard, Key: b.attempt.key, Attempt: b.attempt.id, Digest: b.digest, Holder: b.duty.holder(),
	}
	var reply claimReply
	err := b.duty.callOwner(ctx, b.attempt.shard, callTimeout, func(ctx context.Context, o *owner, address string) error {
		b.requestSent = true
		if o != nil {
			reply = o.serveClaim(ctx, request)
			return nil
		}
		return b.duty.opt.Mesh.Call(ctx, address, wire.MethodClaim, request, &reply)
	})
	return reply, err
}

// callOwner runs call for the shard's owner, local or remote, and reports the result to
// the sharder. The owner argument of call is nil if the owner is remote.
func (d *Service) callOwner(ctx context.Context, shard string, timeout time.Duration, call func(context.Context, *owner, string) error) error {
	holder, ok := d.sharder.Lookup(shard)
	if !ok {
		d.sharder.ReportStale(shard)
		return errNoOwner
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(caller, timeout)
	defer cancel()
	defer context.AfterFunc(holder.Valid, cancel)()
	if o, err := d.owner(shard); err == nil && holder.Self {
		return call(ctx, o, "")
	}
	if holder.Host == d.opt.Host {
		d.sharder.ReportStale(shard)
		return errNoOwner
	}
	err := call(ctx, nil, holder.Address)
	// A cancelled or timed-out caller proves nothing about the holder.
	if caller.Err() == nil {
		d.reportOwner(shard, holder, err)
	}
	return err
}

func (d *Service) reportOwner(shard string, holder shardassignment.Owner, err error) {
	var coded *resultcode.Error
	switch {
	case err == nil:
		d.sharder.ReportCallSucceeded(shard)
	case holder.Valid.Err() != nil:
		// A newer owner is known; the next retry goes to it.
	case errors.As(err, &coded) && coded.Code != resultcode.NotOwner:
		d.sharder.ReportCallSucceeded(shard)
	default:
		// A holder that keeps denying ownership of its shard is reported like a dead one.
		d.sharder.ReportCallFailed(shard, holder.Epoch)
	}
}

func (d *Service) holder() journal.Holder {
	return journal.Holder{Host: d.opt.Host, Address: d.opt.Address, Incarnation: d.opt.Incarnation}
}

func (b *beginCall) ticket(v Verdict, epoch model.Epoch) Ticket {
	return Ticket{
		Key: b.key, Verdict: v, Shard: b.attempt.shard, Epoch: epoch, Attempt: hex.EncodeToString(b.attempt.id[:]),
	}
}

// decide converts an owner's reply to a ticket; done is false if the claim request must
// be retried.
func (b *beginCall) decide(ctx context.Context, r claimReply) (Ticket, bool, error) {
	b.inUse = r.Verdict == claims.InUse
	switch r.Verdict {
	case claims.Granted:
		return b.ticket(VerdictRun, r.Epoch), true, nil
	case claims.Answered:
		return b.answeredTicket(ctx, r)
	case claims.OutcomeUnknown:
		return b.ticket(VerdictUnknown, r.Epoch), true, nil
	case claims.Reused:
		return Ticket{}, true, resultcode.New(resultcode.KeyReused, "the key was used for other content")
	case claims.Refused:
		return Ticket{}, true, &resultcode.Error{
			Code: resultcode.ClaimUnavailable, Detail: "the claim shard is overloaded", RetryAfterMillis: r.RetryAfterMillis,
		}
	case claims.InUse:
		return b.followHolder(ctx, r)
	}
	return Ticket{}, false, nil
}

// answeredTicket returns the ticket of a request that ran, with its answer if stored.
func (b *beginCall) answeredTicket(ctx context.Context, r claimReply) (Ticket, bool, error) {
	t := b.ticket(VerdictAnswered, r.Epoch)
	if !r.Held {
		if r.AnswerUnreadable {
			return Ticket{}, false, nil
		}
		if r.AnswerLost {
			t.Verdict = VerdictAnswerLost
			return t, true, nil
		}
		t.Answer = Answer{Status: r.Status, Body: r.Body}
		return t, true, nil
	}
	reply, err := b.fetchAnswer(ctx, r)
	switch {
	case err == nil && reply.Found:
		t.Answer = Answer{Status: reply.Status, Body: reply.Body}
		return t, true, nil
	case err == nil || b.holderFailed(r):
		t.Verdict = VerdictAnswerLost
		return t, true, nil
	}
	return Ticket{}, false, nil
}

func (b *beginCall) fetchAnswer(ctx context.Context, r claimReply) (reply answerReply, err error) {
	if r.Holder == b.duty.holder() {
		h, ok := b.duty.attempts.answer(r.Attempt)
		return answerReply{Found: ok, Status: h.status, Body: h.body}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := answerRequest{Attempt: r.Attempt, Incarnation: r.Holder.Incarnation}
	err = b.duty.opt.Mesh.Call(ctx, r.Holder.Address, wire.MethodAnswer, request, &reply)
	return reply, err
}

// holderFailed counts a failed call to a holder and reports whether the holder counts as
// dead.
func (b *beginCall) holderFailed(r claimReply) bool {
	b.holderFailures++
	return b.holderFailures >= maxHolderFailures || b.duty.hostDead(r.Holder.Host)
}

func (d *Service) hostDead(host model.HostID) bool {
	v := d.opt.View()
	if v == nil {
		return false
	}
	for _, m := range v.Members {
		if m.Host == host {
			return m.State == model.HostDead
		}
	}
	return false
}

// followHolder asks the holder of the other attempt for that attempt's state.
func (b *beginCall) followHolder(ctx context.Context, r claimReply) (Ticket, bool, error) {
	reply, err := b.askHolder(ctx, r)
	if err != nil {
		if ctx.Err() == nil && b.holderFailed(r) {
			return b.ticket(VerdictUnknown, r.Epoch), true, nil
		}
		return Ticket{}, false, nil
	}
	b.holderFailures = 0
	switch reply.State {
	case followLive:
		b.holderLive = true
	case followRestarted:
		// The outcome may have become durable since the owner replied: request the claim
		// once more.
		if b.goneAttempt == r.Attempt {
			return b.ticket(VerdictUnknown, r.Epoch), true, nil
		}
		b.goneAttempt = r.Attempt
	case followNotHeld:
		b.releaseClaim(ctx, r)
	case followEnded:
		return b.endedTicket(r, reply)
	}
	return Ticket{}, false, nil
}

func (b *beginCall) endedTicket(r claimReply, reply followReply) (Ticket, bool, error) {
	t := b.ticket(VerdictUnknown, r.Epoch)
	switch reply.End {
	case journal.Ran:
		t.Verdict = VerdictAnswerLost
		if reply.Found {
			t.Verdict = VerdictAnswered
			t.Answer = Answer{Status: reply.Status, Body: reply.Body}
		}
		return t, true, nil
	case journal.Unknown:
		return t, true, nil
	}
	// Not run: the key becomes free as soon as the settlement is durable.
	return Ticket{}, false, nil
}

func (b *beginCall) askHolder(ctx context.Context, r claimReply) (reply followReply, err error) {
	wait := maxFollowWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)*3/4)
	}
	request := followRequest{Attempt: r.Attempt, Incarnation: r.Holder.Incarnation, WaitMillis: wait.Milliseconds()}
	if r.Holder.Host == b.duty.opt.Host {
		return b.duty.follow(ctx, request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	err = b.duty.opt.Mesh.Call(ctx, r.Holder.Address, wire.MethodFollow, request, &reply)
	return reply, err
}

// releaseClaim frees a claim whose holder, in the same incarnation, does not have the
// attempt. A holder removes no attempt before its outcome is durable, so this one was
// never granted there. The owner's commit fails if the claim is not as it replied.
func (b *beginCall) releaseClaim(ctx context.Context, r claimReply) {
	item := settlement{Key: b.attempt.key, Attempt: r.Attempt, State: journal.Free}
	_, _ = b.duty.sendSettlements(ctx, b.attempt.shard, []settlement{item})
}
