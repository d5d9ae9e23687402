package front

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// resultLog is the owner's in-memory copy of a batch's result log. It is safe for concurrent
// use.
type resultLog struct {
	total int
	// team is the team of the batch, empty for none.
	team string

	mu          sync.Mutex
	results     []batches.Result
	entries     int
	sampleIDs   map[string]bool
	confirmedAt time.Time
	changed     chan struct{}
	closed      bool
	sealed      bool
}

func newResultLog(total int, entries []batches.LogEntry) *resultLog {
	l := &resultLog{total: total, sampleIDs: map[string]bool{}, changed: make(chan struct{}), confirmedAt: time.Now()}
	for _, e := range entries {
		l.add(e)
	}
	return l
}

// add appends the next log entry and wakes waiting calls of page.
func (l *resultLog) add(e batches.LogEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries++
	l.sealed = l.sealed || e.Sealed
	for _, r := range e.Results {
		l.results = append(l.results, r)
		l.sampleIDs[r.ID] = true
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// close ends all waiting calls of page.
func (l *resultLog) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
}

// next returns the number of the next log entry and the position of its first result.
func (l *resultLog) next() (entry, first int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries, len(l.results)
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
	return l.confirmedAt
}

func (l *resultLog) setOwnershipConfirmed(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// page returns the results from position after on. If there are none, it waits up to the
// given time for one.
func (l *resultLog) page(ctx context.Context, after int, wait time.Duration) Page {
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

func (l *resultLog) pageFrom(after int) Page {
	page := Page{Total: l.total, Next: after}
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

// final reports whether no more results can be added, because the log is full or sealed.
func (l *resultLog) final() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sealed || len(l.results) >= l.total
}

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
