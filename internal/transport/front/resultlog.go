package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// minEntryBytes is the lowest bound of the results of a log entry. A single result may be longer.
const minEntryBytes = maxPartBytes / 16

// resultLog is the owner's in-memory copy of a batch's result log. It is safe for concurrent
// use.
//
// The log in the store may be longer: an append takes effect before its answer arrives, and other
// processes that have run the batch may append too. All that the store had at endConfirmed is in
// the copy, so a position that the copy lacks had no result at that time.
type resultLog struct {
	total int
	// team is the team of the batch, empty for none.
	team string

	mu        sync.Mutex
	results   []batches.Result
	entries   int
	sampleIDs map[string]bool
	// ownerConfirmed is when the manifest last named this host as the owner. Appends do not count: they
	// succeed for a batch that the trainer has ended, too.
	ownerConfirmed time.Time
	endConfirmed   time.Time
	// shared is true if another process has run the batch, which may still append entries.
	shared bool
	// appendBegan is when the first append of the next entry began that may have taken effect, zero
	// if there is none. appendLost is true once the outcome of one remained unknown.
	appendBegan time.Time
	appendLost  bool
	// maxEntryBytes bounds the results of an entry. It is halved when the outcome of an append remains unknown, since
	// each attempt to send an entry over a slow link begins anew, and grows again with those that are answered.
	maxEntryBytes int
	// endRead is the last read of the log's end.
	endRead *logEndRead
	changed chan struct{}
	closed  bool
	sealed  bool
}

// newResultLog returns the copy of a log with the given entries; nil means that the batch has not run
// before.
func newResultLog(total int, entries []batches.LogEntry) *resultLog {
	l := &resultLog{total: total, maxEntryBytes: maxPartBytes, sampleIDs: map[string]bool{}, changed: make(chan struct{}), shared: entries != nil}
	for n, e := range entries {
		l.add(n, e)
	}
	return l
}

// add adds an entry of the log in the store, unless the copy has it, and wakes waiting calls of page. It
// reports whether it added the entry.
func (l *resultLog) add(number int, e batches.LogEntry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number != l.entries {
		return false
	}
	l.entries++
	l.appendBegan, l.appendLost = time.Time{}, false
	l.sealed = l.sealed || e.Sealed
	for _, r := range e.Results {
		l.results = append(l.results, r)
		l.sampleIDs[r.ID] = true
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return true
}

// close ends all waiting calls of page.
func (l *resultLog) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
}

// next returns the number of the first entry that the copy lacks and the position of its first result.
func (l *resultLog) next() (entry, first int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries, len(l.results)
}

// beginAppend returns the number of the next entry, and the entry with the results of a queue that the
// log lacks, as many as fit, and the rest of them. The entry is nil if there is nothing to append. The
// caller must append it, and then call endAppend or add.
func (l *resultLog) beginAppend(now time.Time, queue []batches.Result) (number int, e *batches.LogEntry, rest []batches.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue = slices.DeleteFunc(queue, func(r batches.Result) bool { return l.sampleIDs[r.ID] })
	if len(queue) == 0 || l.isFinal() {
		return 0, nil, nil
	}
	n, size := 0, 0
	for n < len(queue) && (n == 0 || size+queue[n].Size() <= l.maxEntryBytes) {
		size += queue[n].Size()
		n++
	}
	if l.appendBegan.IsZero() {
		l.appendBegan = now
	}
	return l.entries, &batches.LogEntry{First: len(l.results), Results: queue[:n:n]}, queue[n:]
}

// beginSeal is beginAppend for the entry that seals the log. The entry is nil if the log is final.
func (l *resultLog) beginSeal(now time.Time) (number int, e *batches.LogEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFinal() {
		return 0, nil
	}
	if l.appendBegan.IsZero() {
		l.appendBegan = now
	}
	return l.entries, &batches.LogEntry{First: len(l.results), Sealed: true}
}

// endAppend records that an append of an entry has failed. The entry may exist nevertheless if the
// outcome of the append or of an earlier one is unknown, or if it is a conflict.
func (l *resultLog) endAppend(number int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if objectapi.Unresolved(err) {
		l.maxEntryBytes = max(l.maxEntryBytes/2, minEntryBytes)
	}
	switch {
	case number != l.entries: // the copy has the entry
	case objectapi.Unresolved(err) || errors.Is(err, objectapi.ErrConflict):
		l.appendLost = true
	case !l.appendLost:
		l.appendBegan = time.Time{}
	}
}

// has reports whether the log contains a sample's result.
func (l *resultLog) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sampleIDs[id]
}

// ids returns the IDs of the samples whose results are in the log.
func (l *resultLog) ids() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]bool, len(l.sampleIDs))
	for id := range l.sampleIDs {
		out[id] = true
	}
	return out
}

// ownershipConfirmedAt returns when the owner last confirmed in the store that it still owns
// the batch.
func (l *resultLog) ownershipConfirmedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownerConfirmed
}

// setOwnershipConfirmed records that this host owned the batch at a time, and that no other had owned it
// since this one began to run it. Unless another process has run the batch before, all entries of that
// time are then this host's own.
func (l *resultLog) setOwnershipConfirmed(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.ownerConfirmed) {
		l.ownerConfirmed = at
	}
	switch {
	case l.shared:
	case !l.appendBegan.IsZero() && l.appendBegan.Before(at):
		l.confirmEnd(l.appendBegan)
	default:
		l.confirmEnd(at)
	}
}

// setAppended records that an append that began at a time has taken effect: before that, the copy was
// complete.
func (l *resultLog) setAppended(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxEntryBytes = min(l.maxEntryBytes+minEntryBytes, maxPartBytes)
	l.confirmEnd(began)
}

// setShared records that another process has run the batch.
func (l *resultLog) setShared() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shared = true
}

// setEndConfirmed records that the copy lacked no entry at a time.
func (l *resultLog) setEndConfirmed(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmEnd(at)
}

func (l *resultLog) confirmEnd(at time.Time) {
	if at.After(l.endConfirmed) {
		l.endConfirmed = at
	}
}

// ownedAlone reports whether the ownership of the batch shows that the copy is complete: no other process
// may have appended an entry, and no append of this one has been without an answer for long.
func (l *resultLog) ownedAlone(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.shared && !l.appendLost && (l.appendBegan.IsZero() || now.Sub(l.appendBegan) <= sharedReadAge)
}

// logPage is a page of a log with what was known about the rest of the log at the same time.
type logPage struct {
	Page
	// final is true if no more results can be added to the log.
	final bool
	// asOf is a time at which the copy lacked no entry.
	asOf time.Time
}

// certain reports whether the page may be answered: it has results, or there were none for it at most
// maxAge ago.
func (p *logPage) certain(now time.Time, maxAge time.Duration) bool {
	return len(p.Results) > 0 || p.final || now.Sub(p.asOf) <= maxAge
}

// answer returns the page as the answer to a call that this host received at a time.
func (p *logPage) answer(received time.Time) Page {
	out := p.Page
	if len(p.Results) == 0 && !p.final {
		out.ValidMs = max(p.asOf.Add(emptyPageLifetime).Sub(received).Milliseconds(), 1)
	}
	return out
}

// page returns the results from position after on. If there are none, it waits up to the
// given time for one.
func (l *resultLog) page(ctx context.Context, after int, wait time.Duration) logPage {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		page, changed := l.pageFrom(after), l.changed
		done := l.closed || len(l.results) >= l.total
		l.mu.Unlock()
		if len(page.Results) > 0 || done || wait <= 0 {
			return page
		}
		select {
		case <-changed:
		case <-timer.C:
			return page
		case <-ctx.Done():
			return page
		}
	}
}

func (l *resultLog) pageFrom(after int) logPage {
	page := logPage{Page: Page{Total: l.total, Next: after}, final: l.isFinal(), asOf: l.endConfirmed}
	size := 0
	for i := after; i < len(l.results); i++ {
		size += l.results[i].Size()
		if size > maxPageBytes && i > after {
			break
		}
		page.Results = append(page.Results, l.results[i])
		page.Next = i + 1
	}
	return page
}

// full reports whether the log contains the result of every sample.
func (l *resultLog) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results) >= l.total
}

// merged returns the entries of the log, with all results in the first one. The result is not nil.
func (l *resultLog) merged() []batches.LogEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]batches.LogEntry, l.entries)
	if len(out) > 0 {
		out[0] = batches.LogEntry{Results: slices.Clone(l.results), Sealed: l.sealed}
	}
	return out
}

// final reports whether no more results can be added, because the log is full or sealed.
func (l *resultLog) final() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isFinal()
}

func (l *resultLog) isFinal() bool { return l.sealed || len(l.results) >= l.total }

// size returns the approximate memory use of the results in bytes.
func (l *resultLog) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.results {
		n += l.results[i].Size()
	}
	return n
}
