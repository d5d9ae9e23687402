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
	// replyTimeoutFraction is the part of a call's timeout within which a live owner always
	// replies, so that a slow object API is not mistaken for a dead owner.
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

func (s *Service) shardOf(k journal.Key) string {
	return shardID(int(xxhash.Sum64(k[:]) % uint64(s.shardCount.Load())))
}

// beginCall is the state of one Begin call.
type beginCall struct {
	service *Service
	key     Key
	digest  uint64
	attempt *attempt
	// requestSent reports that a message about the attempt may have left this process.
	requestSent bool
	// inUse reports that, by the owner's last reply, another attempt is running; holderLive
	// that its holder confirmed this.
	inUse, holderLive bool
	// restartedAttempt is an attempt whose holder was found restarted since;
	// holderFailures counts consecutive failed calls to a holder.
	restartedAttempt journal.Attempt
	holderFailures   int
}

// Begin implements Claims.
func (s *Service) Begin(ctx context.Context, key Key, digest uint64) (Claim, error) {
	start := time.Now()
	claim, err := s.begin(ctx, key, digest)
	result := "run"
	var coded *resultcode.Error
	switch {
	case errors.As(err, &coded):
		result = coded.Code.Info().Name
	case claim.Verdict != VerdictRun:
		result = "not_first"
	default:
		s.metrics.beginSeconds.Observe(time.Since(start).Seconds())
	}
	s.metrics.begins.WithLabelValues(result).Inc()
	return claim, err
}

func (s *Service) begin(ctx context.Context, key Key, digest uint64) (Claim, error) {
	if !s.awaitShardCount(ctx) {
		return Claim{}, claimUnknown("the claim layout is not known yet")
	}
	b := &beginCall{service: s, key: key, digest: digest, attempt: &attempt{key: hashKey(key)}}
	_, _ = crand.Read(b.attempt.id[:])
	b.attempt.shard = s.shardOf(b.attempt.key)
	if !s.attempts.register(b.attempt) {
		return Claim{}, claimUnknown("too many requests of this host wait for their end")
	}
	claim, err := b.run(ctx)
	if err == nil && claim.Verdict == VerdictRun {
		return claim, nil
	}
	// The attempt was not granted, or the grant was not received; it is not dispatched.
	if b.requestSent {
		s.attempts.end(b.attempt.id, journal.Free, 0, nil)
	} else {
		s.attempts.unregister(b.attempt)
	}
	return claim, err
}

// awaitShardCount waits up to noVerdictTimeout until the number of shards is known: a
// caller may reach a process that has just started.
func (s *Service) awaitShardCount(ctx context.Context) bool {
	for since := time.Now(); s.shardCount.Load() == 0; {
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
// attempt is running. Without a verdict it fails after noVerdictTimeout, or immediately when
// the owner reports an outage or overload.
func (b *beginCall) run(ctx context.Context) (Claim, error) {
	since, wait := time.Now(), claimRetryDelay
	for {
		b.inUse, b.holderLive = false, false
		reply, err := b.requestClaim(ctx)
		if err == nil {
			claim, done, err := b.decide(ctx, reply)
			if done {
				return claim, err
			}
		}
		switch {
		case b.holderLive:
			since, wait = time.Now(), claimRetryDelay
		case err == nil && reply.Outage:
			return Claim{}, claimUnknown("the object API does not answer")
		case err == nil && reply.Verdict == claims.Undecided && reply.RetryAfterMillis > 0:
			after := time.Duration(reply.RetryAfterMillis) * time.Millisecond
			return Claim{}, retryLater(resultcode.ClaimUnknown, "the owner of the claim shard is overloaded", after)
		case time.Since(since) >= noVerdictTimeout:
			return Claim{}, claimUnknown("no owner of the claim shard decided in time")
		}
		if !sleep(ctx, wait/2+rand.N(wait)) {
			if b.inUse {
				return Claim{}, retryLater(resultcode.InProgress, "a request with this key is still running", unknownRetryAfter)
			}
			return Claim{}, claimUnknown("no owner of the claim shard answered in time")
		}
		wait = min(2*wait, maxClaimRetryDelay)
	}
}

var errNoOwner = errors.New("claim shard has no known owner")

func (b *beginCall) requestClaim(ctx context.Context) (claimReply, error) {
	request := claimRequest{
		Shard: b.attempt.shard, Key: b.attempt.key, Attempt: b.attempt.id, Digest: b.digest, Holder: b.service.holder(),
	}
	var reply claimReply
	err := b.service.callOwner(ctx, b.attempt.shard, callTimeout, func(ctx context.Context, o *owner, address string) error {
		b.requestSent = true
		if o != nil {
			reply = o.serveClaim(ctx, request)
			return nil
		}
		return b.service.opt.Mesh.Call(ctx, address, wire.MethodClaim, request, &reply)
	})
	return reply, err
}

// callOwner runs call for the shard's owner, local or remote, and reports the result to
// the shard manager. The owner argument of call is nil if the owner is remote.
func (s *Service) callOwner(ctx context.Context, shard string, timeout time.Duration, call func(context.Context, *owner, string) error) error {
	found, ok := s.shardManager.Lookup(shard)
	if !ok {
		s.shardManager.ReportStale(shard)
		return errNoOwner
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(caller, timeout)
	defer cancel()
	defer context.AfterFunc(found.EpochContext, cancel)()
	if o, err := s.owner(shard); err == nil && found.Self {
		return call(ctx, o, "")
	}
	if found.Host == s.opt.Host {
		s.shardManager.ReportStale(shard)
		return errNoOwner
	}
	err := call(ctx, nil, found.Address)
	// A failure because the caller cancelled or timed out says nothing about the owner.
	if caller.Err() == nil {
		s.reportCallResult(shard, found, err)
	}
	return err
}

// reportCallResult reports the result of a call to a shard's owner to the shard manager.
func (s *Service) reportCallResult(shard string, called shardassignment.Owner, err error) {
	var coded *resultcode.Error
	switch {
	case err == nil:
		s.shardManager.ReportCallSucceeded(shard)
	case called.EpochContext.Err() != nil:
		// A newer owner is known; the next retry goes to it.
	case errors.As(err, &coded) && coded.Code != resultcode.NotOwner:
		s.shardManager.ReportCallSucceeded(shard)
	default:
		// An owner that keeps answering NotOwner is reported like a dead one.
		s.shardManager.ReportCallFailed(shard, called.Epoch)
	}
}

// holder returns this host as the holder of its attempts.
func (s *Service) holder() journal.Holder {
	return journal.Holder{Host: s.opt.Host, Address: s.opt.Address, Incarnation: s.opt.Incarnation}
}

func (b *beginCall) newClaim(v Verdict, epoch model.Epoch) Claim {
	return Claim{
		Key: b.key, Verdict: v, Shard: b.attempt.shard, Epoch: epoch, Attempt: hex.EncodeToString(b.attempt.id[:]),
	}
}

// decide converts an owner's reply to the result of Begin; done is false if the claim
// request must be retried.
func (b *beginCall) decide(ctx context.Context, r claimReply) (Claim, bool, error) {
	b.inUse = r.Verdict == claims.InUse
	switch r.Verdict {
	case claims.Granted:
		return b.newClaim(VerdictRun, r.Epoch), true, nil
	case claims.Answered:
		return b.answeredClaim(ctx, r)
	case claims.OutcomeUnknown:
		return b.newClaim(VerdictUnknown, r.Epoch), true, nil
	case claims.KeyReused:
		return Claim{}, true, resultcode.New(resultcode.KeyReused, "the key was used for other content")
	case claims.Refused:
		return Claim{}, true, &resultcode.Error{
			Code: resultcode.ClaimUnavailable, Detail: "the claim shard is overloaded", RetryAfterMillis: r.RetryAfterMillis,
		}
	case claims.InUse:
		return b.followHolder(ctx, r)
	}
	return Claim{}, false, nil
}

// answeredClaim returns the claim of a request that ran, with its answer if stored.
func (b *beginCall) answeredClaim(ctx context.Context, r claimReply) (Claim, bool, error) {
	c := b.newClaim(VerdictAnswered, r.Epoch)
	if !r.Held {
		if r.AnswerUnreadable {
			return Claim{}, false, nil
		}
		if r.AnswerLost {
			c.Verdict = VerdictAnswerLost
			return c, true, nil
		}
		c.Answer = Answer{Status: r.Status, Body: r.Body}
		return c, true, nil
	}
	reply, err := b.fetchAnswer(ctx, r)
	switch {
	case err == nil && reply.Found:
		c.Answer = Answer{Status: reply.Status, Body: reply.Body}
		return c, true, nil
	case err == nil || b.holderFailed(r):
		c.Verdict = VerdictAnswerLost
		return c, true, nil
	}
	return Claim{}, false, nil
}

func (b *beginCall) fetchAnswer(ctx context.Context, r claimReply) (reply answerReply, err error) {
	if r.Holder == b.service.holder() {
		h, ok := b.service.attempts.answer(r.Attempt)
		return answerReply{Found: ok, Status: h.status, Body: h.body}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := answerRequest{Attempt: r.Attempt, Incarnation: r.Holder.Incarnation}
	err = b.service.opt.Mesh.Call(ctx, r.Holder.Address, wire.MethodAnswer, request, &reply)
	return reply, err
}

// holderFailed counts a failed call to a holder and reports whether the holder counts as
// dead.
func (b *beginCall) holderFailed(r claimReply) bool {
	b.holderFailures++
	return b.holderFailures >= maxHolderFailures || b.service.hostDead(r.Holder.Host)
}

func (s *Service) hostDead(host model.HostID) bool {
	v := s.opt.View()
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
func (b *beginCall) followHolder(ctx context.Context, r claimReply) (Claim, bool, error) {
	reply, err := b.askHolder(ctx, r)
	if err != nil {
		if ctx.Err() == nil && b.holderFailed(r) {
			return b.newClaim(VerdictUnknown, r.Epoch), true, nil
		}
		return Claim{}, false, nil
	}
	b.holderFailures = 0
	switch reply.State {
	case followLive:
		b.holderLive = true
	case followRestarted:
		// The outcome may have become durable since the owner replied: request the claim
		// once more.
		if b.restartedAttempt == r.Attempt {
			return b.newClaim(VerdictUnknown, r.Epoch), true, nil
		}
		b.restartedAttempt = r.Attempt
	case followNotHeld:
		b.releaseClaim(ctx, r)
	case followEnded:
		return b.endedClaim(r, reply)
	}
	return Claim{}, false, nil
}

// endedClaim returns the claim of a request whose other attempt ended.
func (b *beginCall) endedClaim(r claimReply, reply followReply) (Claim, bool, error) {
	c := b.newClaim(VerdictUnknown, r.Epoch)
	switch reply.End {
	case journal.Ran:
		c.Verdict = VerdictAnswerLost
		if reply.Found {
			c.Verdict = VerdictAnswered
			c.Answer = Answer{Status: reply.Status, Body: reply.Body}
		}
		return c, true, nil
	case journal.Unknown:
		return c, true, nil
	}
	// Not run: the key becomes free as soon as the settlement is durable.
	return Claim{}, false, nil
}

func (b *beginCall) askHolder(ctx context.Context, r claimReply) (reply followReply, err error) {
	wait := maxFollowWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)*3/4)
	}
	request := followRequest{Attempt: r.Attempt, Incarnation: r.Holder.Incarnation, WaitMillis: wait.Milliseconds()}
	if r.Holder.Host == b.service.opt.Host {
		return b.service.follow(ctx, request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	err = b.service.opt.Mesh.Call(ctx, r.Holder.Address, wire.MethodFollow, request, &reply)
	return reply, err
}

// releaseClaim frees a claim whose holder, still in the same incarnation, does not have the
// attempt. A holder removes no attempt before its outcome is durable, so this one was
// never granted there. The owner's commit fails if the claim is not as it replied.
func (b *beginCall) releaseClaim(ctx context.Context, r claimReply) {
	item := settlement{Key: b.attempt.key, Attempt: r.Attempt, State: journal.Free}
	_, _ = b.service.sendSettlements(ctx, b.attempt.shard, []settlement{item})
}
