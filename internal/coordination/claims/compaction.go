package claims

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

// Segment describes a complete segment in the store.
type Segment struct {
	Number    uint64
	EndMillis int64
}

// compactionState tracks the entries to compact and the stored segments.
type compactionState struct {
	// tail holds the durable entries that are not yet in a segment.
	tail     []journal.Entry
	segments []Segment
	// busy reports that a segment is being written or removed.
	busy bool
	// carryOverSeq is the sequence number of the last entry that records the oldest
	// segment's unsettled claims again, 0 until all of them are staged.
	carryOverSeq uint64
}

// lastCompacted returns the sequence number of the last entry that is in a segment.
func (s *compactionState) lastCompacted(committed uint64) uint64 {
	if len(s.tail) > 0 {
		return s.tail[0].Seq - 1
	}
	return committed
}

// Compaction is the content of a segment to write: the net operations of its entries and,
// separately, their answers.
type Compaction struct {
	Segment, Answers []journal.Part
}

// NextCompaction returns a segment to write, or nil if too few entries are durable or a
// segment is being written or removed.
func (c *Core) NextCompaction() *Compaction {
	s := &c.compaction
	if s.busy || len(s.tail) < journal.SegmentEntries {
		return nil
	}
	s.busy = true
	segment, answers := journal.Compact(s.tail[:journal.SegmentEntries])
	return &Compaction{Segment: segment, Answers: answers}
}

// CompactionDone records the end of a segment write; ok reports whether it succeeded.
func (c *Core) CompactionDone(compacted *Compaction, ok bool) {
	s := &c.compaction
	s.busy = false
	if !ok {
		return
	}
	first := compacted.Segment[0]
	s.tail = append([]journal.Entry(nil), s.tail[journal.SegmentEntries:]...)
	s.segments = append(s.segments, Segment{Number: first.Number, EndMillis: first.EndMillis})
}

// NextRemoval returns the oldest segment once each of its claims is expired or
// recorded again in a later, durable entry. Otherwise it returns nil.
func (c *Core) NextRemoval(now time.Time) *Segment {
	s := &c.compaction
	if s.busy || len(s.segments) == 0 {
		return nil
	}
	oldest := s.segments[0]
	limit := c.timestamp(now) - (c.opt.Lifetime + journal.ClockSkewMargin).Milliseconds()
	if oldest.EndMillis >= limit {
		return nil
	}
	if s.carryOverSeq == 0 {
		s.carryOverSeq = c.stageCarryOver(now, oldest)
	}
	if s.carryOverSeq > c.committed {
		return nil
	}
	s.busy = true
	return &oldest
}

// maxCarriedOps limits the claims that are recorded again in one entry.
const maxCarriedOps = 1024

// stageCarryOver stages the unsettled claims of the oldest segment again. It returns
// the sequence number of the entry that must be durable before the segment is removed,
// 0 while more claims remain to be staged.
func (c *Core) stageCarryOver(now time.Time, oldest Segment) uint64 {
	if c.stagedFull() {
		return 0
	}
	ops := c.table.CarryOver(journal.SegmentLast(oldest.Number))
	for _, op := range ops[:min(len(ops), maxCarriedOps)] {
		c.stage(now, op)
	}
	switch {
	case len(ops) > maxCarriedOps:
		return 0
	case len(c.staged.ops) > 0:
		return c.stagedSeq()
	}
	return c.stagedSeq() - 1
}

// RemovalDone records the end of a segment removal; ok reports whether it succeeded.
func (c *Core) RemovalDone(ok bool) {
	s := &c.compaction
	s.busy = false
	if ok {
		s.segments = s.segments[1:]
		s.carryOverSeq = 0
	}
}
