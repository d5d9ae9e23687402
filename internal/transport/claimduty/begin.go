package claimduty

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
	"oleanderfall.example/oleanderfall/internal/transport/sharder"
)

const (
	// callTimeout bounds one message; a claim is asked for again after it.
	callTimeout = time.Second
	// answerShare is the part of a call's timeout after which a living owner answers
	// in any case, so that a slow platform is not taken for a dead owner.
	answerShare = 0.7
	// retryPause is the mean pause before a claim is asked for again; it doubles up
	// to retryPauseMax.
	retryPause    = 25 * time.Millisecond
	retryPauseMax = 400 * time.Millisecond
	// ownerGrace is how long a call without a verdict is asked for again, so that a
	// takeover or handover of its shard goes unnoticed.
	ownerGrace = 1500 * time.Millisecond
	// followWait bounds one wait for an attempt's end at its holder.
	followWait = time.Second
	// followTries is how often a holder may fail to answer before its attempt counts
	// as unknown.
	followTries = 3
	// unknownRetryAfter is when a caller of undecided outcome may ask again.
	unknownRetryAfter = time.Second
)

// hashKey returns the key's name in the journal.
func hashKey(k Key) journal.Key {
	b := make([]byte, 0, 128)
	for _, part := range []string{string(k.Caller), string(k.Service), k.Idempotency} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(part)))
		b = append(b, part...)
	}
	sum := sha256.Sum256(b)
	return journal.Key(sum[:16])
}

func (d *Duty) shardOf(k journal.Key) string {
	return shardID(int(xxhash.Sum64(k[:]) % uint64(d.shardCount.Load())))
}

// begin is one Begin call.
type begin struct {
	duty    *Duty
	key     Key
	digest  uint64
	attempt *attempt
	// asked says that a message about the attempt may have left this process.
	asked bool
	// inUse says that the last answer was that another attempt runs, live that its
	// holder said so too.
	inUse, live bool
	// goneOnce is an attempt whose holder was found gone; failures counts its
	// holder's missing answers.
	goneOnce journal.Attempt
	failures int
}

// Begin implements Claims.
func (d *Duty) Begin(ctx context.Context, key Key, digest uint64) (Ticket, error) {
	began := time.Now()
	t, err := d.begin(ctx, key, digest)
	result := "run"
	var coded *resultcode.Error
	switch {
	case errors.As(err, &coded):
		result = coded.Code.Info().Name
	case t.Verdict != VerdictRun:
		result = "not_first"
	default:
		d.metrics.beginSeconds.Observe(time.Since(began).Seconds())
	}
	d.metrics.begins.WithLabelValues(result).Inc()
	return t, err
}

func (d *Duty) begin(ctx context.Context, key Key, digest uint64) (Ticket, error) {
	if !d.layoutKnown(ctx) {
		return Ticket{}, claimUnknown("the claim layout is not known yet")
	}
	b := &begin{duty: d, key: key, digest: digest, attempt: &attempt{key: hashKey(key)}}
	_, _ = crand.Read(b.attempt.id[:])
	b.attempt.shard = d.shardOf(b.attempt.key)
	if !d.attempts.begin(b.attempt) {
		return Ticket{}, claimUnknown("too many requests of this host wait for their end")
	}
	t, err := b.run(ctx)
	if err == nil && t.Verdict == VerdictRun {
		return t, nil
	}
	// The attempt was not granted, or the grant did not arrive; it is dead here.
	if b.asked {
		d.attempts.finish(b.attempt.id, journal.Free, 0, nil)
	} else {
		d.attempts.forget(b.attempt)
	}
	return t, err
}

// layoutKnown waits, at most ownerGrace, until the number of shards is known: a caller
// may reach a process that has just started.
func (d *Duty) layoutKnown(ctx context.Context) bool {
	for since := time.Now(); d.shardCount.Load() == 0; {
		if time.Since(since) >= ownerGrace || !pause(ctx, retryPause) {
			return false
		}
	}
	return true
}

func claimUnknown(why string) error { return comeBack(resultcode.ClaimUnknown, why, unknownRetryAfter) }

func comeBack(code resultcode.Code, why string, after time.Duration) error {
	return &resultcode.Error{Code: code, Detail: why, RetryAfterMillis: after.Milliseconds()}
}

// run asks until there is a verdict or ctx ends. It goes on asking while another
// attempt runs; without a verdict it gives up after ownerGrace, and at once when the
// owner says that none is to be had.
func (b *begin) run(ctx context.Context) (Ticket, error) {
	since, wait := time.Now(), retryPause
	for {
		b.inUse, b.live = false, false
		reply, err := b.ask(ctx)
		if err == nil {
			ticket, done, err := b.decide(ctx, reply)
			if done {
				return ticket, err
			}
		}
		switch {
		case b.live:
			since, wait = time.Now(), retryPause
		case err == nil && reply.Outage:
			return Ticket{}, claimUnknown("the object API does not answer")
		case err == nil && reply.Verdict == claims.Undecided && reply.RetryAfterMillis > 0:
			after := time.Duration(reply.RetryAfterMillis) * time.Millisecond
			return Ticket{}, comeBack(resultcode.ClaimUnknown, "the owner of the claim shard is overloaded", after)
		case time.Since(since) >= ownerGrace:
			return Ticket{}, claimUnknown("no owner of the claim shard decided in time")
		}
		if !pause(ctx, wait/2+rand.N(wait)) {
			if b.inUse {
				return Ticket{}, comeBack(resultcode.InProgress, "a request with this key is still running", unknownRetryAfter)
			}
			return Ticket{}, claimUnknown("no owner of the claim shard answered in time")
		}
		wait = min(2*wait, retryPauseMax)
	}
}

// errNoOwner: nobody is known to hold the shard.
var errNoOwner = errors.New("shard without owner")

func (b *begin) ask(ctx context.Context) (claimReply, error) {
	request := claimRequest{
		Shard: b.attempt.shard, Key: b.attempt.key, Attempt: b.attempt.id, Digest: b.digest, Holder: b.duty.holder(),
	}
	var reply claimReply
	err := b.duty.atOwner(ctx, b.attempt.shard, callTimeout, func(ctx context.Context, o *owner, address string) error {
		b.asked = true
		if o != nil {
			reply = o.serveClaim(ctx, request)
			return nil
		}
		return b.duty.opt.Mesh.Call(ctx, address, wire.MethodClaim, request, &reply)
	})
	return reply, err
}

// atOwner runs call against the shard's owner, here or elsewhere, and tells the
// sharder what it learned.
func (d *Duty) atOwner(ctx context.Context, shard string, timeout time.Duration, call func(context.Context, *owner, string) error) error {
	holder, ok := d.sharder.Lookup(shard)
	if !ok {
		d.sharder.Stale(shard)
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
		d.sharder.Stale(shard)
		return errNoOwner
	}
	err := call(ctx, nil, holder.Address)
	// A caller that left says nothing about the holder.
	if caller.Err() == nil {
		d.learn(shard, holder, err)
	}
	return err
}

func (d *Duty) learn(shard string, holder sharder.Owner, err error) {
	var coded *resultcode.Error
	switch {
	case err == nil:
		d.sharder.Reached(shard)
	case holder.Valid.Err() != nil:
		// A newer owner is known; the next try goes there.
	case errors.As(err, &coded) && coded.Code != resultcode.NotOwner:
		d.sharder.Reached(shard)
	default:
		// A holder that denies its shard for long is as good as gone.
		d.sharder.Failed(shard, holder.Epoch)
	}
}

func (d *Duty) holder() journal.Holder {
	return journal.Holder{Host: d.opt.Host, Address: d.opt.Address, Incarnation: d.opt.Incarnation}
}

func (b *begin) ticket(v Verdict, epoch model.Epoch) Ticket {
	return Ticket{
		Key: b.key, Verdict: v, Shard: b.attempt.shard, Epoch: epoch, Attempt: hex.EncodeToString(b.attempt.id[:]),
	}
}

// decide turns an owner's verdict into a ticket; done is false when it must ask again.
func (b *begin) decide(ctx context.Context, r claimReply) (Ticket, bool, error) {
	b.inUse = r.Verdict == claims.InUse
	switch r.Verdict {
	case claims.Granted:
		return b.ticket(VerdictRun, r.Epoch), true, nil
	case claims.Answered:
		return b.answered(ctx, r)
	case claims.OutcomeUnknown:
		return b.ticket(VerdictUnknown, r.Epoch), true, nil
	case claims.Reused:
		return Ticket{}, true, resultcode.New(resultcode.KeyReused, "the key was used for other content")
	case claims.Refused:
		return Ticket{}, true, &resultcode.Error{
			Code: resultcode.ClaimUnavailable, Detail: "the claim shard is overloaded", RetryAfterMillis: r.RetryAfterMillis,
		}
	case claims.InUse:
		return b.follow(ctx, r)
	}
	return Ticket{}, false, nil
}

// answered fetches the answer of a request that ran.
func (b *begin) answered(ctx context.Context, r claimReply) (Ticket, bool, error) {
	t := b.ticket(VerdictAnswered, r.Epoch)
	if !r.Held {
		if r.AnswerMissing {
			return Ticket{}, false, nil
		}
		if r.AnswerLost {
			t.Verdict = VerdictAnswerLost
			return t, true, nil
		}
		t.Answer = Answer{Status: r.Status, Body: r.Body}
		return t, true, nil
	}
	reply, err := b.fetch(ctx, r)
	switch {
	case err == nil && reply.Found:
		t.Answer = Answer{Status: reply.Status, Body: reply.Body}
		return t, true, nil
	case err == nil || b.failed(r):
		t.Verdict = VerdictAnswerLost
		return t, true, nil
	}
	return Ticket{}, false, nil
}

func (b *begin) fetch(ctx context.Context, r claimReply) (reply answerReply, err error) {
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

// failed counts a holder that did not answer and reports whether it counts as gone.
func (b *begin) failed(r claimReply) bool {
	b.failures++
	return b.failures >= followTries || b.duty.dead(r.Holder.Host)
}

func (d *Duty) dead(host model.HostID) bool {
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

// follow asks the holder of the other attempt how that one stands.
func (b *begin) follow(ctx context.Context, r claimReply) (Ticket, bool, error) {
	reply, err := b.askHolder(ctx, r)
	if err != nil {
		if ctx.Err() == nil && b.failed(r) {
			return b.ticket(VerdictUnknown, r.Epoch), true, nil
		}
		return Ticket{}, false, nil
	}
	b.failures = 0
	switch reply.State {
	case followLive:
		b.live = true
	case followGone:
		// Its end may have become durable since the owner answered: ask once more.
		if b.goneOnce == r.Attempt {
			return b.ticket(VerdictUnknown, r.Epoch), true, nil
		}
		b.goneOnce = r.Attempt
	case followDisowned:
		b.release(ctx, r)
	case followEnded:
		return b.ended(r, reply)
	}
	return Ticket{}, false, nil
}

func (b *begin) ended(r claimReply, reply followReply) (Ticket, bool, error) {
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
	// Not run: the key is free as soon as its settlement is durable.
	return Ticket{}, false, nil
}

func (b *begin) askHolder(ctx context.Context, r claimReply) (reply followReply, err error) {
	wait := followWait
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

// release frees a claim whose holder, in the same life, does not have the attempt:
// it forgets none before its end is durable, so this one was never granted there.
// The owner's commit fails if the claim is not as it said.
func (b *begin) release(ctx context.Context, r claimReply) {
	item := settlement{Key: b.attempt.key, Attempt: r.Attempt, State: journal.Free}
	_, _ = b.duty.sendEnds(ctx, b.attempt.shard, []settlement{item})
}
