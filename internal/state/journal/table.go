package journal

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// SkewMargin is added to each lifetime, for hosts whose clocks differ.
	SkewMargin = 30 * time.Second
	// UnsettledLifetime is the least time that an unsettled claim is kept. It is
	// far above the time that any dispatch may take after its claim.
	UnsettledLifetime = 24 * time.Hour
)

// Claim is what the table holds of a key.
type Claim struct {
	Digest   uint64
	Attempt  Attempt
	Seq      uint64
	AtMillis int64
	Status   int32
	holder   uint32
	State    State
	// Held says that the answer is with the holder.
	Held bool
	// HasBody says that the journal keeps a body that is not empty.
	HasBody bool
}

type ending struct {
	key      Key
	atMillis int64
}

// Table is the claims of one shard. It is not safe for concurrent use.
type Table struct {
	claims  map[Key]Claim
	open    map[Key]struct{}
	endings []ending
	holders []Holder
	index   map[Holder]uint32
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{claims: map[Key]Claim{}, open: map[Key]struct{}{}, index: map[Holder]uint32{}}
}

// Apply takes in an entry.
func (t *Table) Apply(e Entry) {
	for _, op := range e.Ops {
		if op.AtMillis == 0 {
			op.AtMillis = e.AtMillis
		}
		op.Seq = e.Seq
		t.ApplyOp(op)
	}
}

// ApplyOp takes in one operation whose Seq and AtMillis are set. Each operation
// states all that it changes: what it followed may have been removed since.
func (t *Table) ApplyOp(op Op) {
	if op.State == Free {
		if t.claims[op.Key].Attempt == op.Attempt {
			delete(t.claims, op.Key)
			delete(t.open, op.Key)
		}
		return
	}
	t.claims[op.Key] = Claim{
		Digest: op.Digest, Attempt: op.Attempt, Seq: op.Seq, AtMillis: op.AtMillis,
		Status: int32(op.Status), holder: t.intern(op.Holder), State: op.State, Held: op.Held,
		HasBody: op.HasBody || len(op.Body) > 0,
	}
	if op.State == Running {
		t.open[op.Key] = struct{}{}
		return
	}
	delete(t.open, op.Key)
	t.endings = append(t.endings, ending{op.Key, op.AtMillis})
}

func (t *Table) intern(h *Holder) uint32 {
	if h == nil {
		h = &Holder{}
	}
	if i, ok := t.index[*h]; ok {
		return i
	}
	i := uint32(len(t.holders))
	t.holders = append(t.holders, *h)
	t.index[*h] = i
	return i
}

// Get returns the claim of a key.
func (t *Table) Get(k Key) (Claim, bool) {
	c, ok := t.claims[k]
	return c, ok
}

// Holder returns who holds a claim.
func (t *Table) Holder(c Claim) Holder { return t.holders[c.holder] }

// Len returns the number of claims, Open that of the unsettled ones.
func (t *Table) Len() int { return len(t.claims) }

// Open returns the number of unsettled claims.
func (t *Table) Open() int { return len(t.open) }

// Expire forgets the settled claims that ended more than lifetime before now, and
// unsettled ones after the longer UnsettledLifetime. It returns their number.
func (t *Table) Expire(nowMillis int64, lifetime time.Duration) int {
	forgotten := 0
	limit := nowMillis - (lifetime + SkewMargin).Milliseconds()
	n := 0
	for ; n < len(t.endings) && t.endings[n].atMillis < limit; n++ {
		e := t.endings[n]
		if c, ok := t.claims[e.key]; ok && c.State != Running && c.AtMillis == e.atMillis {
			delete(t.claims, e.key)
			forgotten++
		}
	}
	t.endings = t.endings[n:]
	return forgotten + t.expireOpen(nowMillis, lifetime)
}

func (t *Table) expireOpen(nowMillis int64, lifetime time.Duration) int {
	forgotten := 0
	limit := nowMillis - (max(lifetime, UnsettledLifetime) + SkewMargin).Milliseconds()
	for k := range t.open {
		if t.claims[k].AtMillis < limit {
			delete(t.claims, k)
			delete(t.open, k)
			forgotten++
		}
	}
	return forgotten
}

// Carry returns claims again that are unsettled and last recorded at or before
// entry last, so that the segments up to there can be deleted.
func (t *Table) Carry(last uint64) []Op {
	var ops []Op
	for k := range t.open {
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
