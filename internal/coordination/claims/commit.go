package claims

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

// NextCommit returns the entry to write now, nil if none is due. The caller must not modify
// the entry. The caller retries the write until it succeeds and then calls Committed, or calls
// OwnershipLost once the ownership is lost.
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
	c.lastCommitStart = now
	c.inflightEntry = journal.Entry{
		Seq:      c.committed + 1,
		Epoch:    c.opt.Epoch,
		Writer:   c.opt.Writer,
		AtMillis: c.timestamp(now),
		Ops:      taken.ops,
	}
	return &c.inflightEntry
}

// Due returns when the staged batch is due for commit; false if nothing can be committed.
func (c *Core) Due() (time.Time, bool) {
	if c.staged.openedAt.IsZero() || c.inflight != nil || c.blocked() {
		return time.Time{}, false
	}
	if c.staged.hasClaims {
		return c.lastCommitStart.Add(c.opt.CommitInterval), true
	}
	return c.staged.openedAt.Add(c.opt.SettleDelay), true
}

// blocked reports whether the next entry's slot still holds an entry that is not compacted.
func (c *Core) blocked() bool {
	return c.committed+1 > c.compaction.lastCompacted(c.committed)+journal.Slots
}

// Committed records that the entry last returned by NextCommit is durable and returns
// the replies to the calls that waited for it.
func (c *Core) Committed(time.Time) []Reply {
	done := c.inflight
	c.inflight = nil
	c.committed = c.inflightEntry.Seq
	c.compaction.tail = append(c.compaction.tail, c.inflightEntry)
	c.waiting -= len(done.waiters)
	replies := make([]Reply, 0, len(done.waiters))
	for _, w := range done.waiters {
		if c.pendingGrants[w.request.Attempt] == w {
			delete(c.pendingGrants, w.request.Attempt)
		}
		replies = append(replies, c.afterCommit(*w))
	}
	return replies
}

// afterCommit returns the reply to a call whose batch is durable.
func (c *Core) afterCommit(w waiter) Reply {
	call := w.request.Call
	if w.purpose == awaitSettlement {
		return Reply{Call: call, Verdict: Settled, AnswerStored: w.answerStored}
	}
	existing, ok := c.table.Get(w.request.Key)
	switch {
	case !ok && w.purpose == awaitRefusal:
		return Reply{Call: call, Verdict: Refused, RetryAfter: c.retryAfter()}
	case !ok:
		// The claim, or that of the competing attempt, was released in the meantime.
		return Reply{Call: call, Verdict: Undecided}
	case existing.Attempt == w.request.Attempt && existing.State == journal.Running:
		if existing.Seq > c.committed {
			return Reply{Call: call, Verdict: Undecided}
		}
		return Reply{Call: call, Verdict: Granted, Claim: existing, Holder: c.table.Holder(existing)}
	case existing.Digest != w.request.Digest:
		return Reply{Call: call, Verdict: KeyReused}
	}
	return c.replyFor(call, existing)
}

// OwnershipLost replies Undecided to all waiting calls, since this owner can no longer confirm
// anything for them.
func (c *Core) OwnershipLost() []Reply {
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
