package claimservice

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// listPageSize limits the objects of one list call.
	listPageSize = 64
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// errOwnershipLost: another owner wrote the entry that this owner was about to write.
var errOwnershipLost = errors.New("claim shard has a newer owner")

var errJournalChanged = errors.New("claim journal changed while being read")

// store accesses one shard's journal in the object API. Its versions are used only by the
// goroutine that appends.
type store struct {
	api       objectapi.API
	shard     string
	versions  [journal.Slots]uint64
	readCount int
	// retryDelay is the first delay before append retries a write; 0 selects firstBackoff.
	retryDelay time.Duration
}

// appendBackoff returns the first delay before append retries a write.
func (s *store) appendBackoff() time.Duration {
	if s.retryDelay > 0 {
		return s.retryDelay
	}
	return firstBackoff
}

func (s *store) entryPrefix() string { return s.shard + "/entry/" }

// segmentPrefix is the key prefix of compacted entries, which are stored as "folded".
func (s *store) segmentPrefix() string { return s.shard + "/folded/" }

func (s *store) entryKey(seq uint64) string {
	return fmt.Sprintf("%s%03d", s.entryPrefix(), journal.Slot(seq))
}

func (s *store) segmentKey(number uint64, part int) string {
	return fmt.Sprintf("%s%020d.%04d", s.segmentPrefix(), number, part)
}

func (s *store) answerKey(number uint64, part int) string {
	return fmt.Sprintf("%s/answer/%020d.%04d", s.shard, number, part)
}

// loadedJournal is the content of a journal as read.
type loadedJournal struct {
	table      *journal.Table
	tail       []journal.Entry
	segments   []claims.Segment
	lastSeq    uint64
	lastMillis int64
	maxEpoch   model.Epoch
}

// lastCompacted is the sequence number of the last entry in a segment.
func (l *loadedJournal) lastCompacted() uint64 {
	if len(l.tail) > 0 {
		return l.tail[0].Seq - 1
	}
	return l.lastSeq
}

// load reads the journal: first the entries, then the segments, so that an entry
// overwritten in between is found in a segment read later.
func (s *store) load(ctx context.Context) (*loadedJournal, error) {
	entries, err := s.loadEntries(ctx)
	if err != nil {
		return nil, err
	}
	segmentParts, err := s.loadSegments(ctx)
	if err != nil {
		return nil, err
	}
	l := &loadedJournal{table: journal.NewTable()}
	through := uint64(0)
	for _, parts := range segmentParts {
		for _, p := range parts {
			for _, op := range p.Ops {
				l.table.ApplyOp(op)
			}
		}
		first := parts[0]
		l.segments = append(l.segments, claims.Segment{Number: first.Number, EndMillis: first.EndMillis})
		l.lastMillis = max(l.lastMillis, first.EndMillis)
		through = journal.SegmentLast(first.Number)
	}
	if err := l.addEntries(entries, through); err != nil {
		return nil, err
	}
	return l, nil
}

// addEntries applies the entries that follow those in the segments; through is the sequence
// number of the last entry in a segment, 0 if there are no segments.
func (l *loadedJournal) addEntries(entries []journal.Entry, through uint64) error {
	if len(entries) == 0 {
		if through > 0 {
			return errJournalChanged
		}
		return nil
	}
	for i, e := range entries {
		if i > 0 && e.Seq != entries[i-1].Seq+1 {
			return errJournalChanged
		}
		l.maxEpoch = max(l.maxEpoch, e.Epoch)
		l.lastMillis = max(l.lastMillis, e.AtMillis)
	}
	first := entries[0].Seq
	l.lastSeq = entries[len(entries)-1].Seq
	if through+1 < first {
		// All later segments expired. Entries up to the first segment boundary were in one.
		through = (first + journal.SegmentEntries - 2) / journal.SegmentEntries * journal.SegmentEntries
	}
	if through > l.lastSeq {
		return errJournalChanged
	}
	for _, e := range entries {
		if e.Seq > through {
			l.table.Apply(e)
			l.tail = append(l.tail, e)
		}
	}
	return nil
}

func (s *store) loadEntries(ctx context.Context) ([]journal.Entry, error) {
	objects, err := s.listAll(ctx, s.entryPrefix())
	if err != nil {
		return nil, err
	}
	s.versions = [journal.Slots]uint64{}
	entries := make([]journal.Entry, 0, len(objects))
	for _, o := range objects {
		var e journal.Entry
		if err := wire.Decode(o.Value, &e); err != nil {
			return nil, err
		}
		s.versions[journal.Slot(e.Seq)] = o.Version
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Seq < entries[j].Seq })
	return entries, nil
}

// loadSegments returns the parts of each complete segment, in order.
func (s *store) loadSegments(ctx context.Context) ([][]journal.Part, error) {
	objects, err := s.listAll(ctx, s.segmentPrefix())
	if err != nil {
		return nil, err
	}
	var complete [][]journal.Part
	var current []journal.Part
	for _, o := range objects {
		var p journal.Part
		if err := wire.Decode(o.Value, &p); err != nil {
			return nil, err
		}
		if p.Part == 0 {
			current = nil
		}
		current = append(current, p)
		if len(current) == p.Parts && p.Part == p.Parts-1 {
			complete = append(complete, current)
		}
	}
	return complete, nil
}

func (s *store) listAll(ctx context.Context, prefix string) ([]objectapi.Object, error) {
	var all []objectapi.Object
	after := ""
	for {
		page, err := s.api.List(ctx, prefix, after, listPageSize)
		s.readCount++
		if err != nil {
			return nil, err
		}
		all = append(all, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return all, nil
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
}

// append retries the write of an entry until it is durable, ownership is lost, the entry
// is too large or ctx ends.
func (s *store) append(ctx context.Context, e *journal.Entry) error {
	value, err := wire.Encode(e)
	if err != nil {
		return err
	}
	key, slot := s.entryKey(e.Seq), journal.Slot(e.Seq)
	for backoff := s.appendBackoff(); ; backoff = min(2*backoff, maxBackoff) {
		version, err := s.api.Put(ctx, key, value, s.versions[slot])
		if errors.Is(err, objectapi.ErrConflict) {
			version, err = s.confirmWritten(ctx, key, e)
		}
		if err == nil {
			s.versions[slot] = version
			return nil
		}
		if errors.Is(err, errOwnershipLost) || errors.Is(err, objectapi.ErrTooLarge) {
			return err
		}
		if !sleep(ctx, backoff) {
			return ctx.Err()
		}
	}
}

// confirmWritten returns the version of entry e if a conflict was caused by an earlier
// write of the same entry whose response was lost; otherwise errOwnershipLost.
func (s *store) confirmWritten(ctx context.Context, key string, e *journal.Entry) (uint64, error) {
	o, err := s.api.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return 0, errOwnershipLost
	}
	if err != nil {
		return 0, err
	}
	var existing journal.Entry
	if err := wire.Decode(o.Value, &existing); err != nil {
		return 0, err
	}
	if existing.Seq != e.Seq || existing.Writer != e.Writer || existing.Epoch != e.Epoch {
		return 0, errOwnershipLost
	}
	return o.Version, nil
}

// readNext reads the entry after the last one read, which another owner has written since.
func (s *store) readNext(ctx context.Context, l *loadedJournal) error {
	o, err := s.api.Get(ctx, s.entryKey(l.lastSeq+1))
	s.readCount++
	if err != nil {
		return err
	}
	var e journal.Entry
	if err := wire.Decode(o.Value, &e); err != nil {
		return err
	}
	if e.Seq != l.lastSeq+1 {
		return errJournalChanged
	}
	s.versions[journal.Slot(e.Seq)] = o.Version
	l.appendEntry(e)
	return nil
}

// appendEntry applies the next entry.
func (l *loadedJournal) appendEntry(e journal.Entry) {
	l.table.Apply(e)
	l.tail = append(l.tail, e)
	l.lastSeq = e.Seq
	l.lastMillis = max(l.lastMillis, e.AtMillis)
	l.maxEpoch = max(l.maxEpoch, e.Epoch)
}

// writeSegment writes a segment, its answers first, so that the answers of a complete
// segment always exist.
func (s *store) writeSegment(ctx context.Context, segment, answers []journal.Part) error {
	for _, p := range answers {
		if err := s.createPart(ctx, s.answerKey(p.Number, p.Part), p); err != nil {
			return err
		}
	}
	for _, p := range segment {
		if err := s.createPart(ctx, s.segmentKey(p.Number, p.Part), p); err != nil {
			return err
		}
	}
	return nil
}

// createPart writes a part. An existing part was made from the same entries.
func (s *store) createPart(ctx context.Context, key string, p journal.Part) error {
	value, err := wire.Encode(p)
	if err != nil {
		return err
	}
	_, err = s.api.Put(ctx, key, value, 0)
	if errors.Is(err, objectapi.ErrConflict) {
		return nil
	}
	return err
}

// deleteSegment deletes an expired segment, its answers first.
func (s *store) deleteSegment(ctx context.Context, number uint64) error {
	for _, prefix := range []string{fmt.Sprintf("%s/answer/%020d.", s.shard, number), fmt.Sprintf("%s%020d.", s.segmentPrefix(), number)} {
		page, err := s.api.List(ctx, prefix, "", listPageSize)
		if err != nil {
			return err
		}
		for i := len(page.Objects) - 1; i >= 0; i-- {
			o := page.Objects[i]
			if err := s.api.Delete(ctx, o.Key, o.Version); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
				return err
			}
		}
	}
	return nil
}

// readAnswer reads the answer of a claim whose entry was compacted, nil if the segment does
// not have it.
func (s *store) readAnswer(ctx context.Context, c journal.Claim) ([]byte, error) {
	number := journal.SegmentOf(c.Seq)
	for part := 0; ; part++ {
		o, err := s.api.Get(ctx, s.answerKey(number, part))
		if err != nil {
			return nil, err
		}
		var p journal.Part
		if err := wire.Decode(o.Value, &p); err != nil {
			return nil, err
		}
		for _, op := range p.Ops {
			if op.Attempt == c.Attempt {
				return op.Body, nil
			}
		}
		if part+1 >= p.Parts {
			return nil, nil
		}
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
