package claimduty

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
	// pageObjects bounds one page read at a takeover.
	pageObjects  = 64
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// errLost: another owner wrote the entry that was this one's to write.
var errLost = errors.New("the shard has a newer owner")

// errMoved: the journal changed while it was read.
var errMoved = errors.New("the journal changed while it was read")

// store is one shard's journal in the object API. Its versions belong to the one
// goroutine that appends.
type store struct {
	api      objectapi.API
	shard    string
	versions [journal.Slots]uint64
	reads    int
	// backoff is the first pause before a write is sent again, 0 for firstBackoff.
	backoff time.Duration
}

func (s *store) firstBackoff() time.Duration {
	if s.backoff > 0 {
		return s.backoff
	}
	return firstBackoff
}

func (s *store) entryPrefix() string  { return s.shard + "/entry/" }
func (s *store) foldedPrefix() string { return s.shard + "/folded/" }
func (s *store) entryKey(seq uint64) string {
	return fmt.Sprintf("%s%03d", s.entryPrefix(), journal.Slot(seq))
}

func (s *store) foldedKey(number uint64, part int) string {
	return fmt.Sprintf("%s%020d.%04d", s.foldedPrefix(), number, part)
}

func (s *store) answerKey(number uint64, part int) string {
	return fmt.Sprintf("%s/answer/%020d.%04d", s.shard, number, part)
}

// loaded is a journal as read.
type loaded struct {
	table      *journal.Table
	tail       []journal.Entry
	segments   []claims.Segment
	last       uint64
	lastMillis int64
	maxEpoch   model.Epoch
}

// folded is the last entry that a segment holds.
func (l *loaded) folded() uint64 {
	if len(l.tail) > 0 {
		return l.tail[0].Seq - 1
	}
	return l.last
}

// load reads the journal: first the entries, then the segments, so that an entry
// overwritten in between is in a segment read later.
func (s *store) load(ctx context.Context) (*loaded, error) {
	entries, err := s.loadEntries(ctx)
	if err != nil {
		return nil, err
	}
	parts, err := s.loadParts(ctx)
	if err != nil {
		return nil, err
	}
	l := &loaded{table: journal.NewTable()}
	through := uint64(0)
	for _, whole := range parts {
		for _, p := range whole {
			for _, op := range p.Ops {
				l.table.ApplyOp(op)
			}
		}
		first := whole[0]
		l.segments = append(l.segments, claims.Segment{Number: first.Number, EndMillis: first.EndMillis})
		l.lastMillis = max(l.lastMillis, first.EndMillis)
		through = journal.SegmentLast(first.Number)
	}
	if err := l.addEntries(entries, through); err != nil {
		return nil, err
	}
	return l, nil
}

// addEntries applies the entries after those that the segments hold.
func (l *loaded) addEntries(entries []journal.Entry, through uint64) error {
	if len(entries) == 0 {
		if through > 0 {
			return errMoved
		}
		return nil
	}
	for i, e := range entries {
		if i > 0 && e.Seq != entries[i-1].Seq+1 {
			return errMoved
		}
		l.maxEpoch = max(l.maxEpoch, e.Epoch)
		l.lastMillis = max(l.lastMillis, e.AtMillis)
	}
	first := entries[0].Seq
	l.last = entries[len(entries)-1].Seq
	if through+1 < first {
		// All later segments expired. Entries before the first boundary were in one.
		through = (first + journal.SegmentEntries - 2) / journal.SegmentEntries * journal.SegmentEntries
	}
	if through > l.last {
		return errMoved
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

// loadParts returns the whole segments in order.
func (s *store) loadParts(ctx context.Context) ([][]journal.Part, error) {
	objects, err := s.listAll(ctx, s.foldedPrefix())
	if err != nil {
		return nil, err
	}
	var whole [][]journal.Part
	var open []journal.Part
	for _, o := range objects {
		var p journal.Part
		if err := wire.Decode(o.Value, &p); err != nil {
			return nil, err
		}
		if p.Part == 0 {
			open = nil
		}
		open = append(open, p)
		if len(open) == p.Parts && p.Part == p.Parts-1 {
			whole = append(whole, open)
		}
	}
	return whole, nil
}

func (s *store) listAll(ctx context.Context, prefix string) ([]objectapi.Object, error) {
	var all []objectapi.Object
	after := ""
	for {
		page, err := s.api.List(ctx, prefix, after, pageObjects)
		s.reads++
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

// append writes an entry until it is durable, errLost, or ctx ends.
func (s *store) append(ctx context.Context, e *journal.Entry) error {
	value, err := wire.Encode(e)
	if err != nil {
		return err
	}
	key, slot := s.entryKey(e.Seq), journal.Slot(e.Seq)
	for backoff := s.firstBackoff(); ; backoff = min(2*backoff, maxBackoff) {
		version, err := s.api.Put(ctx, key, value, s.versions[slot])
		if errors.Is(err, objectapi.ErrConflict) {
			version, err = s.own(ctx, key, e)
		}
		if err == nil {
			s.versions[slot] = version
			return nil
		}
		if errors.Is(err, errLost) || errors.Is(err, objectapi.ErrTooLarge) {
			return err
		}
		if !pause(ctx, backoff) {
			return ctx.Err()
		}
	}
}

// own returns the version of an entry that turns out to be written already.
func (s *store) own(ctx context.Context, key string, e *journal.Entry) (uint64, error) {
	o, err := s.api.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return 0, errLost
	}
	if err != nil {
		return 0, err
	}
	var present journal.Entry
	if err := wire.Decode(o.Value, &present); err != nil {
		return 0, err
	}
	if present.Seq != e.Seq || present.Writer != e.Writer || present.Epoch != e.Epoch {
		return 0, errLost
	}
	return o.Version, nil
}

// follow reads the entry after the last one read, which another owner wrote since.
func (s *store) follow(ctx context.Context, l *loaded) error {
	o, err := s.api.Get(ctx, s.entryKey(l.last+1))
	s.reads++
	if err != nil {
		return err
	}
	var e journal.Entry
	if err := wire.Decode(o.Value, &e); err != nil {
		return err
	}
	if e.Seq != l.last+1 {
		return errMoved
	}
	s.versions[journal.Slot(e.Seq)] = o.Version
	l.add(e)
	return nil
}

// add takes in the next entry.
func (l *loaded) add(e journal.Entry) {
	l.table.Apply(e)
	l.tail = append(l.tail, e)
	l.last = e.Seq
	l.lastMillis = max(l.lastMillis, e.AtMillis)
	l.maxEpoch = max(l.maxEpoch, e.Epoch)
}

// fold writes a segment: the answers first, so that a whole segment has them.
func (s *store) fold(ctx context.Context, segment, answers []journal.Part) error {
	for _, p := range answers {
		if err := s.create(ctx, s.answerKey(p.Number, p.Part), p); err != nil {
			return err
		}
	}
	for _, p := range segment {
		if err := s.create(ctx, s.foldedKey(p.Number, p.Part), p); err != nil {
			return err
		}
	}
	return nil
}

// create writes a part. A part that exists was made from the same entries.
func (s *store) create(ctx context.Context, key string, p journal.Part) error {
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

// remove deletes an expired segment, its answers first.
func (s *store) remove(ctx context.Context, number uint64) error {
	for _, prefix := range []string{fmt.Sprintf("%s/answer/%020d.", s.shard, number), fmt.Sprintf("%s%020d.", s.foldedPrefix(), number)} {
		page, err := s.api.List(ctx, prefix, "", pageObjects)
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

// answer reads the answer of a claim whose entry was folded.
func (s *store) answer(ctx context.Context, c journal.Claim) ([]byte, error) {
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

// pause waits for d and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
