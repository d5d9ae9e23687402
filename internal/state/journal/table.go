package journal

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// ClockSkewMargin is added to each lifetime because the clocks of hosts may differ.
	ClockSkewMargin = 30 * time.Second
	// UnsettledLifetime is the minimum time for which an unsettled claim is kept. It is
	// much longer than a dispatch can take after its claim.
	UnsettledLifetime = 24 * time.Hour
)

// Claim is the table's record of a key. Seq is the number of the entry that last recorded it.
// AtMillis is when its state was recorded first, in Unix milliseconds; it stays the same when
// the claim is carried over.
type Claim struct {
	Digest   uint64
	Attempt  Attempt
	Seq      uint64
	AtMillis int64
	Status   int32
	holder   uint32
	State    State
	// Held reports that the answer is stored by the holder.
	Held bool
	// HasBody reports that the journal stores a non-empty answer body.
	HasBody bool
}

// settlement records when a claim was settled, for its expiry.
type settlement struct {
	key      Key
	atMillis int64
}

// Table contains the claims of one shard. It is not safe for concurrent use.
type Table struct {
	claims      map[Key]Claim
	unsettled   map[Key]struct{}
	settlements []settlement
	holders     []Holder
	holderIndex map[Holder]uint32
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{claims: map[Key]Claim{}, unsettled: map[Key]struct{}{}, holderIndex: map[Holder]uint32{}}
}

// Apply applies the operations of an entry.
func (t *Table) Apply(e Entry) {
	for _, op := range e.Ops {
		if op.AtMillis == 0 {
			op.AtMillis = e.AtMillis
		}
		op.Seq = e.Seq
		t.ApplyOp(op)
	}
}

// ApplyOp applies one operation whose Seq and AtMillis are set. Each operation contains the
// complete claim, because earlier operations on the key may have been removed.
func (t *Table) ApplyOp(op Op) {
	if op.State == Free {
		if t.claims[op.Key].Attempt == op.Attempt {
			delete(t.claims, op.Key)
			delete(t.unsettled, op.Key)
		}
		return
	}
	t.claims[op.Key] = Claim{
		Digest: op.Digest, Attempt: op.Attempt, Seq: op.Seq, AtMillis: op.AtMillis,
		Status: int32(op.Status), holder: t.internHolder(op.Holder), State: op.State, Held: op.Held,
		HasBody: op.HasBody || len(op.Body) > 0,
	}
	if op.State == Running {
		t.unsettled[op.Key] = struct{}{}
		return
	}
	delete(t.unsettled, op.Key)
	t.settlements = append(t.settlements, settlement{op.Key, op.AtMillis})
}

// internHolder returns the index of h in t.holders.
func (t *Table) internHolder(h *Holder) uint32 {
	if h == nil {
		h = &Holder{}
	}
	if i, ok := t.holderIndex[*h]; ok {
		return i
	}
	i := uint32(len(t.holders))
	t.holders = append(t.holders, *h)
	t.holderIndex[*h] = i
	return i
}

// Get returns the claim of a key.
func (t *Table) Get(k Key) (Claim, bool) {
	c, ok := t.claims[k]
	return c, ok
}

// Holder returns the holder of a claim.
func (t *Table) Holder(c Claim) Holder { return t.holders[c.holder] }

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// UnsettledCount returns the number of unsettled claims.
func (t *Table) UnsettledCount() int { return len(t.unsettled) }

// Expire removes claims that were settled more than lifetime ago, and unsettled claims after
// the longer of lifetime and UnsettledLifetime. ClockSkewMargin is added in both cases. It
// returns the number of removed claims.
func (t *Table) Expire(nowMillis int64, lifetime time.Duration) int {
	removed := 0
	limit := nowMillis - (lifetime + ClockSkewMargin).Milliseconds()
	n := 0
	for ; n < len(t.settlements) && t.settlements[n].atMillis < limit; n++ {
		e := t.settlements[n]
		if c, ok := t.claims[e.key]; ok && c.State != Running && c.AtMillis == e.atMillis {
			delete(t.claims, e.key)
			removed++
		}
	}
	t.settlements = t.settlements[n:]
	return removed + t.expireUnsettled(nowMillis, lifetime)
}

func (t *Table) expireUnsettled(nowMillis int64, lifetime time.Duration) int {
	removed := 0
	limit := nowMillis - (max(lifetime, UnsettledLifetime) + ClockSkewMargin).Milliseconds()
	for k := range t.unsettled {
		if t.claims[k].AtMillis < limit {
			delete(t.claims, k)
			delete(t.unsettled, k)
			removed++
		}
	}
	return removed
}

// CarryOver returns operations that record again the unsettled claims whose last record is in an
// entry up to last. Once they are written, the segments up to that entry can be deleted.
func (t *Table) CarryOver(last uint64) []Op {
	var ops []Op
	for k := range t.unsettled {
		c := t.claims[k]
		if c.Seq > last {
			continue
		}
		h := t.holders[c.holder]
		ops = append(ops, Op{
			State: Running, Key: k, Attempt: c.Attempt, Digest: c.Digest, Holder: &h, AtMillis: c.AtMillis,
		})
	}
	slices.SortFunc(ops, func(a, b Op) int {
		return cmp.Or(cmp.Compare(a.AtMillis, b.AtMillis), bytes.Compare(a.Key[:], b.Key[:]))
	})
	return ops
}
