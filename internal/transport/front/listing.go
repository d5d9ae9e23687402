package front

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// listing is what a batch's log holds, as its owner knows it.
type listing struct {
	total int

	mu       sync.Mutex
	results  []batches.Result
	entries  int
	listed   map[string]bool
	provedAt time.Time
	grown    chan struct{}
	closed   bool
	sealed   bool
}

func newListing(total int, entries []batches.LogEntry) *listing {
	l := &listing{total: total, listed: map[string]bool{}, grown: make(chan struct{}), provedAt: time.Now()}
	for _, e := range entries {
		l.add(e)
	}
	return l
}

// add takes the log's next entry.
func (l *listing) add(e batches.LogEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries++
	l.sealed = l.sealed || e.Sealed
	for _, r := range e.Results {
		l.results = append(l.results, r)
		l.listed[r.ID] = true
	}
	close(l.grown)
	l.grown = make(chan struct{})
}

// close ends all waits.
func (l *listing) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.grown)
	l.grown = make(chan struct{})
}

// next returns the number of the next entry and its first position.
func (l *listing) next() (entry, first int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries, len(l.results)
}

// has reports whether a sample's result is listed.
func (l *listing) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed[id]
}

// ids returns the samples whose results are listed.
func (l *listing) ids() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]bool, len(l.listed))
	for id := range l.listed {
		out[id] = true
	}
	return out
}

func (l *listing) proved() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.provedAt
}

func (l *listing) setProved(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.provedAt) {
		l.provedAt = at
	}
}

// page returns results from position after on, and waits for one if there is none.
func (l *listing) page(ctx context.Context, after int, wait time.Duration) Page {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		page, grown := l.pageNow(after), l.grown
		done := l.closed || len(l.results) >= l.total
		l.mu.Unlock()
		if len(page.Results) > 0 || done || wait <= 0 {
			return page
		}
		select {
		case <-grown:
		case <-timer.C:
			return page
		case <-ctx.Done():
			return page
		}
	}
}

func (l *listing) pageNow(after int) Page {
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

// full reports whether every sample's result is listed.
func (l *listing) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results) >= l.total
}

// final reports whether nothing can be listed any more.
func (l *listing) final() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sealed || len(l.results) >= l.total
}

// size approximates the memory that the results take, in bytes.
func (l *listing) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.results {
		n += l.results[i].Size()
	}
	return n
}
