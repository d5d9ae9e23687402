package claims

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

// Segment describes a whole segment in the store.
type Segment struct {
	Number    uint64
	EndMillis int64
}

// folding is the part of a core's state about segments.
type folding struct {
	// tail holds the durable entries that no segment holds yet.
	tail     []journal.Entry
	segments []Segment
	// busy says that a fold or a removal is under way.
	busy bool
	// carriedBy is the entry that carries the oldest segment's unsettled claims, 0
	// before they are staged.
	carriedBy uint64
}

// folded is the last entry that a segment holds.
func (f *folding) folded(committed uint64) uint64 {
	if len(f.tail) > 0 {
		return f.tail[0].Seq - 1
	}
	return committed
}

// Fold is the work of writing one segment.
type Fold struct {
	Segment, Answers []journal.Part
}

// NextFold returns a segment to write once its entries are durable.
func (c *Core) NextFold() *Fold {
	f := &c.folding
	if f.busy || len(f.tail) < journal.SegmentEntries {
		return nil
	}
	f.busy = true
	segment, answers := journal.Compact(f.tail[:journal.SegmentEntries])
	return &Fold{Segment: segment, Answers: answers}
}

// Folded takes in whether the segment was written.
func (c *Core) Folded(fold *Fold, ok bool) {
	f := &c.folding
	f.busy = false
	if !ok {
		return
	}
	first := fold.Segment[0]
	f.tail = append([]journal.Entry(nil), f.tail[journal.SegmentEntries:]...)
	f.segments = append(f.segments, Segment{Number: first.Number, EndMillis: first.EndMillis})
}

// NextRemoval returns the oldest segment once all that it holds is expired or
// carried into a later, durable entry.
func (c *Core) NextRemoval(now time.Time) *Segment {
	f := &c.folding
	if f.busy || len(f.segments) == 0 {
		return nil
	}
	oldest := f.segments[0]
	limit := c.millis(now) - (c.opt.Lifetime + journal.SkewMargin).Milliseconds()
	if oldest.EndMillis >= limit {
		return nil
	}
	if f.carriedBy == 0 {
		f.carriedBy = c.carry(now, oldest)
	}
	if f.carriedBy > c.committed {
		return nil
	}
	f.busy = true
	return &oldest
}

// carryOps bounds the claims carried in one entry.
const carryOps = 1024

// carry stages what is unsettled in the oldest segment. It returns the entry that
// must be durable before the segment goes, 0 while more is to be carried.
func (c *Core) carry(now time.Time, oldest Segment) uint64 {
	if c.full() {
		return 0
	}
	ops := c.table.Carry(journal.SegmentLast(oldest.Number))
	for _, op := range ops[:min(len(ops), carryOps)] {
		c.stage(now, op)
	}
	switch {
	case len(ops) > carryOps:
		return 0
	case len(c.staged.ops) > 0:
		return c.next()
	}
	return c.next() - 1
}

// Removed takes in whether the segment was removed.
func (c *Core) Removed(ok bool) {
	f := &c.folding
	f.busy = false
	if ok {
		f.segments = f.segments[1:]
		f.carriedBy = 0
	}
}
