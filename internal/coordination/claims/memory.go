package claims

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

// Stats describes a core for metrics.
type Stats struct {
	Claims, Open, Waiting, Tail, Segments int
	Committed                             uint64
}

// Stats returns the present sizes.
func (c *Core) Stats() Stats {
	return Stats{
		Claims: c.table.Len(), Open: c.table.Open(), Waiting: c.waiting,
		Tail: len(c.folding.tail), Segments: len(c.folding.segments), Committed: c.committed,
	}
}

// Body returns the answer of a claim that ran while its entry is not folded.
func (c *Core) Body(claim journal.Claim, key journal.Key) ([]byte, bool) {
	if claim.Seq == c.next() {
		return find(c.staged.ops, claim, key)
	}
	entries := c.folding.tail
	if c.inflight != nil {
		entries = append(entries[:len(entries):len(entries)], c.entry)
	}
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Seq == claim.Seq {
			return find(entries[i].Ops, claim, key)
		}
	}
	return nil, false
}

func find(ops []journal.Op, claim journal.Claim, key journal.Key) ([]byte, bool) {
	for _, op := range ops {
		if op.Key == key && op.Attempt == claim.Attempt && op.State == journal.Ran {
			return op.Body, true
		}
	}
	return nil, false
}

// expireEvery is the interval between two looks for expired claims.
const expireEvery = time.Second

// Expire forgets claims past their lifetime, at most once a second.
func (c *Core) Expire(now time.Time) int {
	if now.Sub(c.expired) < expireEvery {
		return 0
	}
	c.expired = now
	return c.table.Expire(c.millis(now), c.opt.Lifetime)
}
