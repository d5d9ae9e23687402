package claims

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

// Stats holds the sizes of a Core for metrics. Unsettled counts the unsettled claims,
// Waiting the calls that wait for a commit, and Tail the entries that are not yet compacted.
type Stats struct {
	Claims, Unsettled, Waiting, Tail, Segments int
	Committed                                  uint64
}

// Stats returns the current sizes.
func (c *Core) Stats() Stats {
	return Stats{
		Claims: c.table.Len(), Unsettled: c.table.UnsettledCount(), Waiting: c.waiting,
		Tail: len(c.compaction.tail), Segments: len(c.compaction.segments), Committed: c.committed,
	}
}

// Body returns the answer of a claim that ran. It returns false once the claim's entry
// is compacted.
func (c *Core) Body(claim journal.Claim, key journal.Key) ([]byte, bool) {
	if claim.Seq == c.stagedSeq() {
		return findAnswer(c.staged.ops, claim, key)
	}
	entries := c.compaction.tail
	if c.inflight != nil {
		entries = append(entries[:len(entries):len(entries)], c.inflightEntry)
	}
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Seq == claim.Seq {
			return findAnswer(entries[i].Ops, claim, key)
		}
	}
	return nil, false
}

func findAnswer(ops []journal.Op, claim journal.Claim, key journal.Key) ([]byte, bool) {
	for _, op := range ops {
		if op.Key == key && op.Attempt == claim.Attempt && op.State == journal.Ran {
			return op.Body, true
		}
	}
	return nil, false
}

// expiryInterval is the interval between two scans for expired claims.
const expiryInterval = time.Second

// Expire removes claims past their lifetime and returns their number. It scans at most
// once a second.
func (c *Core) Expire(now time.Time) int {
	if now.Sub(c.lastExpiry) < expiryInterval {
		return 0
	}
	c.lastExpiry = now
	return c.table.Expire(c.timestamp(now), c.opt.Lifetime)
}
