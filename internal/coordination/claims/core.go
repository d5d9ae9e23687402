package claims

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Options sizes a core.
type Options struct {
	Epoch model.Epoch
	// Writer is drawn anew for each ownership.
	Writer uint64
	// Interval is the least time between two commits that carry claims.
	Interval time.Duration
	// SettleDelay is how long settlements wait for a commit with claims.
	SettleDelay time.Duration
	// Lifetime is how long a claim is remembered after its end.
	Lifetime time.Duration
	// MaxWaiting bounds the calls that wait for a commit. Above half of it new
	// claims are refused with the next commit, above it they are not answered.
	MaxWaiting int
	// MaxOps and MaxBytes bound one entry.
	MaxOps   int
	MaxBytes int
	// MaxClaims bounds the claims remembered.
	MaxClaims int
	// MaxInlineBytes bounds the answers kept in one entry.
	MaxInlineBytes int
}

// WithDefaults fills what is zero.
func (o Options) WithDefaults() Options {
	setDefault(&o.Interval, 40*time.Millisecond)
	setDefault(&o.SettleDelay, 100*time.Millisecond)
	setDefault(&o.Lifetime, 10*time.Minute)
	setDefault(&o.MaxWaiting, 8192)
	setDefault(&o.MaxOps, 4096)
	setDefault(&o.MaxBytes, 512<<10)
	setDefault(&o.MaxClaims, 1<<20)
	setDefault(&o.MaxInlineBytes, 128<<10)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Call identifies a call that waits for a reply.
type Call uint64

// Verdict is the core's answer to a call.
type Verdict uint8

// The verdicts.
const (
	// Granted: the attempt's claim is durable; its holder dispatches it once.
	Granted Verdict = iota + 1
	// InUse: another attempt holds the key; ask its holder.
	InUse
	// Answered: the request ran; the claim says where its answer is.
	Answered
	// NotKnown: the request was dispatched and its end is not known.
	NotKnown
	// Reused: the key is held for other content; this content did not run.
	Reused
	// Refused: certainly not run under this key; come again later.
	Refused
	// Undecided: nothing is certain but that this attempt was not granted.
	Undecided
	// Settled: the settlement is durable.
	Settled
)

// Reply answers a call.
type Reply struct {
	Call    Call
	Verdict Verdict
	// Claim and Holder are those of InUse, Answered and NotKnown.
	Claim  journal.Claim
	Holder journal.Holder
	// Kept says of a settlement that the journal keeps its answer.
	Kept bool
	// RetryAfter is when to come again.
	RetryAfter time.Duration
}

// Request asks for a claim.
type Request struct {
	Call    Call
	Key     journal.Key
	Attempt journal.Attempt
	Digest  uint64
	Holder  journal.Holder
}

// Settlement records the end of an attempt. State Free says that it was not and
// will not be dispatched.
type Settlement struct {
	Call    Call
	Key     journal.Key
	Attempt journal.Attempt
	State   journal.State
	Status  int
	Body    []byte
	// Held says that the holder keeps the answer.
	Held bool
}

// purpose is what a waiting call hopes to be told.
type purpose uint8

const (
	toGrant purpose = iota
	toRefuse
	toReuse
	toSettle
)

type waiter struct {
	request Request
	purpose purpose
	kept    bool
}

// batch is an entry being gathered or committed, with the calls that wait for it.
type batch struct {
	ops     []journal.Op
	bytes   int
	inline  int
	waiters []*waiter
	// claims says that a waiter is a caller's, who should not wait long.
	claims bool
	since  time.Time
}

// Core decides for one shard under one epoch. It is not safe for concurrent use.
// A core whose ownership is lost is thrown away with its table.
type Core struct {
	opt    Options
	table  *journal.Table
	staged batch
	// inflight is the entry that a commit is trying to write, nil for none.
	inflight *batch
	entry    journal.Entry
	// committed is the number of the last durable entry.
	committed uint64
	lastBegan time.Time
	waiting   int
	// granting holds the waiter of each attempt that waits for its grant.
	granting map[journal.Attempt]*waiter
	folding  folding
	// lastMillis is the latest time stamped; stamps never fall.
	lastMillis int64
	expired    time.Time
}

// New returns the core of a shard whose journal was read up to entry last. tail
// holds the entries not yet folded, segments the whole segments in order.
func New(opt Options, table *journal.Table, tail []journal.Entry, segments []Segment, last uint64, lastMillis int64) *Core {
	return &Core{
		opt:        opt.WithDefaults(),
		table:      table,
		committed:  last,
		lastMillis: lastMillis,
		granting:   map[journal.Attempt]*waiter{},
		folding:    folding{tail: tail, segments: segments},
	}
}

// SetTiming takes in changed settings.
func (c *Core) SetTiming(interval, lifetime time.Duration) {
	c.opt.Interval, c.opt.Lifetime = interval, lifetime
	c.opt = c.opt.WithDefaults()
}

// next is the number that the staged batch will have.
func (c *Core) next() uint64 {
	if c.inflight != nil {
		return c.committed + 2
	}
	return c.committed + 1
}

func (c *Core) millis(now time.Time) int64 {
	c.lastMillis = max(c.lastMillis, now.UnixMilli())
	return c.lastMillis
}

// Claim takes a request for a claim. The reply comes now or with a commit.
func (c *Core) Claim(now time.Time, r Request) []Reply {
	present, ok := c.table.Get(r.Key)
	if !ok {
		return c.newClaim(now, r)
	}
	if present.Attempt == r.Attempt {
		return c.again(now, r, present)
	}
	if present.Digest != r.Digest {
		if present.State != journal.Running {
			return []Reply{{Call: r.Call, Verdict: Reused}}
		}
		return c.wait(now, waiter{request: r, purpose: toReuse})
	}
	return []Reply{c.describe(r.Call, present)}
}

// Recall answers a request from what is known without a commit; false when only a
// commit could tell.
func (c *Core) Recall(r Request) (Reply, bool) {
	present, ok := c.table.Get(r.Key)
	switch {
	case !ok:
		return Reply{}, false
	case present.Attempt == r.Attempt && present.State == journal.Running:
		return Reply{Call: r.Call, Verdict: Granted, Claim: present, Holder: c.table.Holder(present)}, present.Seq <= c.committed
	case present.Digest == r.Digest:
		return c.describe(r.Call, present), true
	case present.State != journal.Running:
		return Reply{Call: r.Call, Verdict: Reused}, true
	}
	return Reply{}, false
}

func (c *Core) newClaim(now time.Time, r Request) []Reply {
	if c.waiting > c.opt.MaxWaiting/2 || c.table.Len() >= c.opt.MaxClaims || c.full() {
		return c.wait(now, waiter{request: r, purpose: toRefuse})
	}
	if replies := c.wait(now, waiter{request: r, purpose: toGrant}); replies != nil {
		return replies
	}
	h := r.Holder
	c.stage(now, journal.Op{State: journal.Running, Key: r.Key, Attempt: r.Attempt, Digest: r.Digest, Holder: &h})
	return nil
}

// again answers an attempt that asks a second time because a reply was lost.
func (c *Core) again(now time.Time, r Request, present journal.Claim) []Reply {
	switch {
	case present.State != journal.Running:
		return []Reply{c.describe(r.Call, present)}
	case present.Seq <= c.committed:
		return []Reply{{Call: r.Call, Verdict: Granted, Claim: present, Holder: c.table.Holder(present)}}
	case c.granting[r.Attempt] != nil:
		w := c.granting[r.Attempt]
		replaced := w.request.Call
		w.request.Call = r.Call
		return []Reply{{Call: replaced, Verdict: Undecided}}
	}
	return c.wait(now, waiter{request: r, purpose: toGrant})
}

// describe answers from a claim that another attempt made.
func (c *Core) describe(call Call, claim journal.Claim) Reply {
	r := Reply{Call: call, Claim: claim, Holder: c.table.Holder(claim)}
	switch claim.State {
	case journal.Ran:
		r.Verdict = Answered
	case journal.Unknown:
		r.Verdict = NotKnown
	default:
		r.Verdict = InUse
	}
	return r
}

// Settle takes the end of an attempt. The reply comes when it is durable.
func (c *Core) Settle(now time.Time, s Settlement) []Reply {
	present, ok := c.table.Get(s.Key)
	if !ok || present.Attempt != s.Attempt || !changes(present.State, s.State) {
		// A commit proves that this owner knows all there is to know of the claim.
		return c.wait(now, waiter{request: Request{Call: s.Call}, purpose: toSettle, kept: ok && present.State == journal.Ran && !present.Held})
	}
	if c.full() {
		return []Reply{{Call: s.Call, Verdict: Undecided, RetryAfter: c.opt.SettleDelay}}
	}
	op := journal.Op{State: s.State, Key: s.Key, Attempt: s.Attempt, Digest: present.Digest, Status: s.Status, Held: s.Held}
	if s.State == journal.Ran && !s.Held {
		op.Held = len(s.Body) > journal.MaxInlineAnswer || c.staged.inline+len(s.Body) > c.opt.MaxInlineBytes
		if !op.Held {
			op.Body = s.Body
		}
	}
	if op.Held {
		h := c.table.Holder(present)
		op.Holder = &h
	}
	w := waiter{request: Request{Call: s.Call}, purpose: toSettle, kept: s.State == journal.Ran && !op.Held}
	if replies := c.wait(now, w); replies != nil {
		return replies
	}
	c.stage(now, op)
	return nil
}

// changes reports whether a settlement changes a claim of its attempt.
func changes(present, settled journal.State) bool {
	if settled == journal.Free {
		return present == journal.Running
	}
	return present != journal.Ran && present != settled
}

// wait adds a call to the staged batch, or answers Undecided when too many wait.
func (c *Core) wait(now time.Time, w waiter) []Reply {
	if c.waiting >= c.opt.MaxWaiting {
		return []Reply{{Call: w.request.Call, Verdict: Undecided, RetryAfter: c.retryAfter()}}
	}
	c.waiting++
	if c.staged.since.IsZero() {
		c.staged.since = now
	}
	c.staged.waiters = append(c.staged.waiters, &w)
	if w.purpose == toGrant {
		c.granting[w.request.Attempt] = &w
	}
	if w.purpose != toSettle {
		c.staged.claims = true
	}
	return nil
}

func (c *Core) full() bool {
	return len(c.staged.ops) >= c.opt.MaxOps || c.staged.bytes >= c.opt.MaxBytes
}

// opBytes is an upper estimate of an operation without its answer.
const opBytes = 160

// stage adds an operation to the staged batch and to the table: what is staged is
// either committed in order or lost together with this core.
func (c *Core) stage(now time.Time, op journal.Op) {
	c.staged.ops = append(c.staged.ops, op)
	c.staged.bytes += opBytes + len(op.Body)
	c.staged.inline += len(op.Body)
	if c.staged.since.IsZero() {
		c.staged.since = now
	}
	op.Body, op.HasBody = nil, len(op.Body) > 0
	op.Seq = c.next()
	if op.AtMillis == 0 {
		op.AtMillis = c.millis(now)
	}
	c.table.ApplyOp(op)
}

func (c *Core) retryAfter() time.Duration { return 4 * c.opt.Interval }
