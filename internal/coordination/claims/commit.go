package claims

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

// NextCommit returns the entry to write now, nil when none is due. The caller
// writes it until Committed or until the ownership is lost.
func (c *Core) NextCommit(now time.Time) *journal.Entry {
	if c.inflight != nil || c.blocked() {
		return nil
	}
	due, ok := c.Due()
	if !ok || now.Before(due) {
		return nil
	}
	taken := c.staged
	c.staged = batch{}
	c.inflight = &taken
	c.lastBegan = now
	c.entry = journal.Entry{
		Seq:      c.committed + 1,
		Epoch:    c.opt.Epoch,
		Writer:   c.opt.Writer,
		AtMillis: c.millis(now),
		Ops:      taken.ops,
	}
	return &c.entry
}

// Due returns when the staged batch is to be committed, if there is one.
func (c *Core) Due() (time.Time, bool) {
	if c.staged.since.IsZero() || c.inflight != nil || c.blocked() {
		return time.Time{}, false
	}
	if c.staged.claims {
		return c.lastBegan.Add(c.opt.Interval), true
	}
	return c.staged.since.Add(c.opt.SettleDelay), true
}

// blocked reports whether the next entry's slot still holds an unfolded entry.
func (c *Core) blocked() bool {
	return c.committed+1 > c.folding.folded(c.committed)+journal.Slots
}

// Committed takes in that the entry last returned by NextCommit is durable.
func (c *Core) Committed(time.Time) []Reply {
	done := c.inflight
	c.inflight = nil
	c.committed = c.entry.Seq
	c.folding.tail = append(c.folding.tail, c.entry)
	c.waiting -= len(done.waiters)
	replies := make([]Reply, 0, len(done.waiters))
	for _, w := range done.waiters {
		if c.granting[w.request.Attempt] == w {
			delete(c.granting, w.request.Attempt)
		}
		replies = append(replies, c.afterCommit(*w))
	}
	return replies
}

// afterCommit answers a call with what the commit made certain.
func (c *Core) afterCommit(w waiter) Reply {
	call := w.request.Call
	if w.purpose == toSettle {
		return Reply{Call: call, Verdict: Settled, Kept: w.kept}
	}
	present, ok := c.table.Get(w.request.Key)
	switch {
	case !ok && w.purpose == toRefuse:
		return Reply{Call: call, Verdict: Refused, RetryAfter: c.retryAfter()}
	case !ok:
		// The claim was withdrawn, or its rival freed the key, in between.
		return Reply{Call: call, Verdict: Undecided}
	case present.Attempt == w.request.Attempt && present.State == journal.Running:
		if present.Seq > c.committed {
			return Reply{Call: call, Verdict: Undecided}
		}
		return Reply{Call: call, Verdict: Granted, Claim: present, Holder: c.table.Holder(present)}
	case present.Digest != w.request.Digest:
		return Reply{Call: call, Verdict: Reused}
	}
	return c.describe(call, present)
}

// Lost answers all waiting calls: nothing is certain for them here any more.
func (c *Core) Lost() []Reply {
	var replies []Reply
	batches := []*batch{&c.staged}
	if c.inflight != nil {
		batches = append(batches, c.inflight)
	}
	for _, b := range batches {
		for _, w := range b.waiters {
			replies = append(replies, Reply{Call: w.request.Call, Verdict: Undecided})
		}
		b.waiters = nil
	}
	c.waiting = 0
	return replies
}
