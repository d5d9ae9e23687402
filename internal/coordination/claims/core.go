package claims

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Options configures a Core. A zero duration or limit selects its default.
type Options struct {
	Epoch model.Epoch
	// Writer is a new random number for each ownership.
	Writer uint64
	// CommitInterval is the minimum time between the starts of two commits that contain claims.
	CommitInterval time.Duration
	// SettleDelay is the maximum time that settlements wait to share a commit with claims.
	SettleDelay time.Duration
	// Lifetime is how long a claim is kept after it is settled.
	Lifetime time.Duration
	// MaxWaiting limits the calls that wait for a commit. Above half of it new claims
	// are refused with the next commit; at the limit the reply is Undecided.
	MaxWaiting int
	// MaxEntryOps and MaxEntryBytes limit the operations and the bytes of one entry.
	MaxEntryOps   int
	MaxEntryBytes int
	// MaxClaims limits the claims in the table. At the limit new claims are refused.
	MaxClaims int
	// MaxEntryAnswerBytes limits the total size of the answers stored in one entry.
	MaxEntryAnswerBytes int
}

// WithDefaults returns o with zero durations and limits replaced by their defaults.
func (o Options) WithDefaults() Options {
	setDefault(&o.CommitInterval, 40*time.Millisecond)
	setDefault(&o.SettleDelay, 100*time.Millisecond)
	setDefault(&o.Lifetime, 10*time.Minute)
	setDefault(&o.MaxWaiting, 8192)
	setDefault(&o.MaxEntryOps, 4096)
	setDefault(&o.MaxEntryBytes, 512<<10)
	setDefault(&o.MaxClaims, 1<<20)
	setDefault(&o.MaxEntryAnswerBytes, 128<<10)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// CallID identifies a call to match its reply.
type CallID uint64

// Verdict is the result of a call.
type Verdict uint8

// The verdicts.
const (
	// Granted: the attempt's claim is durable; its holder dispatches the attempt once.
	Granted Verdict = iota + 1
	// InUse: another attempt holds the key and is running; its holder has the details.
	InUse
	// Answered: the request ran; the claim says where the answer is stored.
	Answered
	// OutcomeUnknown: the request was dispatched and its outcome is unknown.
	OutcomeUnknown
	// KeyReused: the key belongs to a request with other content; this content did not run.
	KeyReused
	// Refused: the request certainly did not run under this key; retry later.
	Refused
	// Undecided: this call is not granted the claim; nothing else is certain.
	Undecided
	// Settled: the settlement is durable.
	Settled
)

// Reply is the result of one call.
type Reply struct {
	Call    CallID
	Verdict Verdict
	// Claim and Holder are set for Granted, InUse, Answered and OutcomeUnknown.
	Claim  journal.Claim
	Holder journal.Holder
	// AnswerStored reports, for a settlement, that the journal stores the answer.
	AnswerStored bool
	// RetryAfter is how long to wait before a retry, 0 if unspecified.
	RetryAfter time.Duration
}

// Request asks for a claim on a key for one attempt. Digest is that of the content.
type Request struct {
	Call    CallID
	Key     journal.Key
	Attempt journal.Attempt
	Digest  uint64
	Holder  journal.Holder
}

// Settlement records the outcome of an attempt. State Free means that the attempt was
// not and will not be dispatched.
type Settlement struct {
	Call    CallID
	Key     journal.Key
	Attempt journal.Attempt
	State   journal.State
	Status  int
	Body    []byte
	// Held reports that the holder keeps the answer, so that the journal does not.
	Held bool
}

// waitPurpose says what a waiting call expects the next commit to confirm. If the key's claim
// has changed by then, the call gets another reply.
type waitPurpose uint8

const (
	// awaitGrant: the claim staged for the call's attempt.
	awaitGrant waitPurpose = iota
	// awaitRefusal: that the request was not run, so that it can be refused.
	awaitRefusal
	// awaitReuse: that the key belongs to a request with other content.
	awaitReuse
	// awaitSettlement: the recorded outcome.
	awaitSettlement
)

type waiter struct {
	request      Request
	purpose      waitPurpose
	answerStored bool
}

// batch is an entry being collected or committed, with the calls that wait for it.
type batch struct {
	ops         []journal.Op
	bytes       int
	answerBytes int
	waiters     []*waiter
	// hasClaims reports that a caller waits for a claim, which makes the commit urgent.
	hasClaims bool
	openedAt  time.Time
}

// Core holds the state of one shard under one epoch. It is not safe for concurrent
// use. When the ownership is lost, the Core and its table must be discarded.
type Core struct {
	opt    Options
	table  *journal.Table
	staged batch
	// inflight is the batch whose entry is being written, nil if there is none.
	inflight      *batch
	inflightEntry journal.Entry
	// committed is the sequence number of the last durable entry.
	committed       uint64
	lastCommitStart time.Time
	waiting         int
	// pendingGrants holds the waiter of each attempt that waits to be granted.
	pendingGrants map[journal.Attempt]*waiter
	compaction    compactionState
	// lastMillis is the latest timestamp issued; timestamps never decrease.
	lastMillis int64
	lastExpiry time.Time
}

// New returns the Core of a shard whose journal was read up to entry last. table is
// the result of all entries, tail holds the entries that are not yet compacted, and
// segments lists the complete segments in order. lastMillis is the latest timestamp
// in the journal.
func New(opt Options, table *journal.Table, tail []journal.Entry, segments []Segment, last uint64, lastMillis int64) *Core {
	return &Core{
		opt:           opt.WithDefaults(),
		table:         table,
		committed:     last,
		lastMillis:    lastMillis,
		pendingGrants: map[journal.Attempt]*waiter{},
		compaction:    compactionState{tail: tail, segments: segments},
	}
}

// SetTiming changes CommitInterval and Lifetime; zero values select the defaults.
func (c *Core) SetTiming(interval, lifetime time.Duration) {
	c.opt.CommitInterval, c.opt.Lifetime = interval, lifetime
	c.opt = c.opt.WithDefaults()
}

// stagedSeq is the sequence number that the staged batch will be committed under.
func (c *Core) stagedSeq() uint64 {
	if c.inflight != nil {
		return c.committed + 2
	}
	return c.committed + 1
}

func (c *Core) timestamp(now time.Time) int64 {
	c.lastMillis = max(c.lastMillis, now.UnixMilli())
	return c.lastMillis
}

// Claim processes a request for a claim. The reply is returned here or, if a commit
// has to confirm it, from Committed or OwnershipLost.
func (c *Core) Claim(now time.Time, r Request) []Reply {
	existing, ok := c.table.Get(r.Key)
	if !ok {
		return c.newClaim(now, r)
	}
	if existing.Attempt == r.Attempt {
		return c.retryClaim(now, r, existing)
	}
	if existing.Digest != r.Digest {
		if existing.State != journal.Running {
			return []Reply{{Call: r.Call, Verdict: KeyReused}}
		}
		return c.enqueue(now, waiter{request: r, purpose: awaitReuse})
	}
	return []Reply{c.replyFor(r.Call, existing)}
}

// Lookup answers a request from the table alone. It returns false if the answer would
// need a commit.
func (c *Core) Lookup(r Request) (Reply, bool) {
	existing, ok := c.table.Get(r.Key)
	switch {
	case !ok:
		return Reply{}, false
	case existing.Attempt == r.Attempt && existing.State == journal.Running:
		return Reply{Call: r.Call, Verdict: Granted, Claim: existing, Holder: c.table.Holder(existing)}, existing.Seq <= c.committed
	case existing.Digest == r.Digest:
		return c.replyFor(r.Call, existing), true
	case existing.State != journal.Running:
		return Reply{Call: r.Call, Verdict: KeyReused}, true
	}
	return Reply{}, false
}

func (c *Core) newClaim(now time.Time, r Request) []Reply {
	if c.waiting > c.opt.MaxWaiting/2 || c.table.Len() >= c.opt.MaxClaims || c.stagedFull() {
		return c.enqueue(now, waiter{request: r, purpose: awaitRefusal})
	}
	if replies := c.enqueue(now, waiter{request: r, purpose: awaitGrant}); replies != nil {
		return replies
	}
	h := r.Holder
	c.stage(now, journal.Op{State: journal.Running, Key: r.Key, Attempt: r.Attempt, Digest: r.Digest, Holder: &h})
	return nil
}

// retryClaim answers an attempt that asks again because a reply was lost.
func (c *Core) retryClaim(now time.Time, r Request, existing journal.Claim) []Reply {
	switch {
	case existing.State != journal.Running:
		return []Reply{c.replyFor(r.Call, existing)}
	case existing.Seq <= c.committed:
		return []Reply{{Call: r.Call, Verdict: Granted, Claim: existing, Holder: c.table.Holder(existing)}}
	case c.pendingGrants[r.Attempt] != nil:
		w := c.pendingGrants[r.Attempt]
		replaced := w.request.Call
		w.request.Call = r.Call
		return []Reply{{Call: replaced, Verdict: Undecided}}
	}
	return c.enqueue(now, waiter{request: r, purpose: awaitGrant})
}

// replyFor describes an existing claim to a call that is not granted.
func (c *Core) replyFor(call CallID, claim journal.Claim) Reply {
	r := Reply{Call: call, Claim: claim, Holder: c.table.Holder(claim)}
	switch claim.State {
	case journal.Ran:
		r.Verdict = Answered
	case journal.Unknown:
		r.Verdict = OutcomeUnknown
	default:
		r.Verdict = InUse
	}
	return r
}

// Settle records the outcome of an attempt. The reply follows from Committed once the
// outcome is durable, or is returned here if too much is waiting.
func (c *Core) Settle(now time.Time, s Settlement) []Reply {
	existing, ok := c.table.Get(s.Key)
	if !ok || existing.Attempt != s.Attempt || !settlementApplies(existing.State, s.State) {
		// Nothing to record. A commit proves that no newer owner changed the claim.
		return c.enqueue(now, waiter{request: Request{Call: s.Call}, purpose: awaitSettlement, answerStored: ok && existing.State == journal.Ran && !existing.Held})
	}
	if c.stagedFull() {
		return []Reply{{Call: s.Call, Verdict: Undecided, RetryAfter: c.opt.SettleDelay}}
	}
	op := journal.Op{State: s.State, Key: s.Key, Attempt: s.Attempt, Digest: existing.Digest, Status: s.Status, Held: s.Held}
	if s.State == journal.Ran && !s.Held {
		op.Held = len(s.Body) > journal.MaxInlineAnswerBytes || c.staged.answerBytes+len(s.Body) > c.opt.MaxEntryAnswerBytes
		if !op.Held {
			op.Body = s.Body
		}
	}
	if op.Held {
		h := c.table.Holder(existing)
		op.Holder = &h
	}
	w := waiter{request: Request{Call: s.Call}, purpose: awaitSettlement, answerStored: s.State == journal.Ran && !op.Held}
	if replies := c.enqueue(now, w); replies != nil {
		return replies
	}
	c.stage(now, op)
	return nil
}

// settlementApplies reports whether a settlement changes the state of a claim.
func settlementApplies(existing, settled journal.State) bool {
	if settled == journal.Free {
		return existing == journal.Running
	}
	return existing != journal.Ran && existing != settled
}

// enqueue adds a call to the staged batch, or replies Undecided if too many calls wait.
func (c *Core) enqueue(now time.Time, w waiter) []Reply {
	if c.waiting >= c.opt.MaxWaiting {
		return []Reply{{Call: w.request.Call, Verdict: Undecided, RetryAfter: c.retryAfter()}}
	}
	c.waiting++
	if c.staged.openedAt.IsZero() {
		c.staged.openedAt = now
	}
	c.staged.waiters = append(c.staged.waiters, &w)
	if w.purpose == awaitGrant {
		c.pendingGrants[w.request.Attempt] = &w
	}
	if w.purpose != awaitSettlement {
		c.staged.hasClaims = true
	}
	return nil
}

func (c *Core) stagedFull() bool {
	return len(c.staged.ops) >= c.opt.MaxEntryOps || c.staged.bytes >= c.opt.MaxEntryBytes
}

// opBytesEstimate is an upper bound on the encoded size of an operation without its answer.
const opBytesEstimate = 160

// stage adds an operation to the staged batch and immediately applies it to the table.
// This is safe because staged operations are either committed in order or discarded
// together with this Core.
func (c *Core) stage(now time.Time, op journal.Op) {
	c.staged.ops = append(c.staged.ops, op)
	c.staged.bytes += opBytesEstimate + len(op.Body)
	c.staged.answerBytes += len(op.Body)
	if c.staged.openedAt.IsZero() {
		c.staged.openedAt = now
	}
	op.Body, op.HasBody = nil, len(op.Body) > 0
	op.Seq = c.stagedSeq()
	if op.AtMillis == 0 {
		op.AtMillis = c.timestamp(now)
	}
	c.table.ApplyOp(op)
}

func (c *Core) retryAfter() time.Duration { return 4 * c.opt.CommitInterval }
