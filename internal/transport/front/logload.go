package front

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// logLoadTimeout bounds the load of a log from the store.
	logLoadTimeout = 10 * time.Second
	// maxLogLoads is the number of logs that a host loads at the same time.
	maxLogLoads = 4
	// staleEntryTimeout bounds a stale read of a log entry, which may be maxPartBytes long.
	staleEntryTimeout = 600 * time.Millisecond
	// slowReadTimeout bounds a stale read of a log entry or a part of a content after one has failed: the loads of a
	// host with a slow link take it from each other.
	slowReadTimeout = 3 * time.Second
	// pageFillTime is how long a read waits for a load to fill its page once it has a result.
	pageFillTime = 300 * time.Millisecond
)

// errLoadAbandoned is the error of a load that ended early because nobody waited for it.
var errLoadAbandoned = errors.New("nobody waits for the log")

// logLoad is a read of a batch's log from the store. What it has read stays in the cache of logs, also when
// its readers have left, so that the next reader continues from there. At the holder of the log it goes on
// without readers.
type logLoad struct {
	log     *resultLog
	readers atomic.Int64
	// done is closed at the end of the load. err is nil if the load has reached the end of the log.
	done chan struct{}
	err  error
}

// logHolder returns the host that reads a batch from the store for the others, if its owner does not have it in
// memory. Batches are spread over all hosts, because those of a few owners may be read at the same time.
func (s *Batches) logHolder(id string) string {
	return presence.Spread(id, append(s.peers.Candidates(), s.candidate()))
}

// loadLog adds a reader to the running load of a batch's log or starts one, which continues from the entries
// that are cached.
func (s *Batches) loadLog(m *batches.Manifest) *logLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.loads[m.ID]; ok {
		l.readers.Add(1)
		return l
	}
	l := &logLoad{log: s.endedLogs.get(m.ID), done: make(chan struct{})}
	l.readers.Add(1)
	if l.log == nil {
		l.log = newResultLog(m.Total, nil)
		l.log.team = m.Team
	}
	s.loads[m.ID] = l
	go s.runLoad(l, m)
	return l
}

func (s *Batches) runLoad(l *logLoad, m *batches.Manifest) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(s.base, logLoadTimeout)
	defer cancel()
	cached, _ := l.log.next()
	select {
	case s.loadSlots <- struct{}{}:
		holder := s.logHolder(m.ID) == s.settings.Host
		l.err = s.store.loadEntries(ctx, m, l.log, func() bool { return holder || l.readers.Load() > 0 })
		<-s.loadSlots
	case <-ctx.Done():
		l.err = ctx.Err()
	}
	entries, results := l.log.next()
	s.mu.Lock()
	delete(s.loads, m.ID)
	s.endedLogs.add(m.ID, l.log)
	s.mu.Unlock()
	close(l.done)
	s.log.Info("Loaded batch log", "batch", m.ID, "ended", m.Ended, "cached", cached, "entries", entries, "results", results,
		"took_ms", time.Since(began).Milliseconds(), "err", l.err)
}

// storedResults returns results from a batch's log in the store, as many as it has by the end of ctx. It
// returns an empty page only if the log has no result from position after on.
func (s *Batches) storedResults(ctx context.Context, m *batches.Manifest, after int) (Page, error) {
	for {
		page, err := s.loadedResults(ctx, m, after)
		if !errors.Is(err, errLoadAbandoned) {
			return page, err
		}
	}
}

// loadedResults is storedResults with one load. It returns errLoadAbandoned if it joined a load that ended early.
func (s *Batches) loadedResults(ctx context.Context, m *batches.Manifest, after int) (Page, error) {
	load := s.loadLog(m)
	defer load.readers.Add(-1)
	fill := time.NewTimer(pageFillTime)
	defer fill.Stop()
	for filling := true; ; {
		changed := load.log.changes()
		page := load.log.page(ctx, after, 0)
		if _, loaded := load.log.next(); len(page.Results) > 0 && (!filling || page.Next < loaded) {
			return page.Page, nil
		}
		select {
		case <-load.done:
			page := load.log.page(ctx, after, 0)
			switch {
			case len(page.Results) > 0 || load.err == nil:
				return page.Page, nil
			case errors.Is(load.err, errLoadAbandoned):
				return Page{}, load.err
			}
			return Page{}, codedError(resultcode.StorageOutage, load.err.Error())
		case <-changed:
		case <-fill.C:
			filling = false
		case <-ctx.Done():
			if len(page.Results) > 0 {
				return page.Page, nil
			}
			return Page{}, codedError(resultcode.StorageOutage, fmt.Sprintf("the log is being loaded: %v", ctx.Err()))
		}
	}
}

// changes returns a channel that is closed at the next change of the log.
func (l *resultLog) changes() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// loadEntries adds the entries that a log lacks until it is final, the store has no more, or the log is no longer
// wanted.
func (s *batchStore) loadEntries(ctx context.Context, m *batches.Manifest, log *resultLog, wanted func() bool) error {
	if n, _ := log.next(); n == 0 && !m.Ended {
		// If the listing fails, its entries may still be small enough to be read one by one.
		listCtx, cancel := context.WithTimeout(ctx, storeAttemptTimeout)
		entries, err := s.entries(listCtx, m.ID)
		cancel()
		if err != nil && !objectapi.Unresolved(err) {
			return err
		}
		for number, e := range entries {
			log.add(number, e)
		}
	}
	slow := false
	for !log.final() {
		if !wanted() {
			return errLoadAbandoned
		}
		n, _ := log.next()
		e, err := s.loadEntry(ctx, m, n, slow)
		switch {
		case errors.Is(err, objectapi.ErrNotFound):
			return nil
		case objectapi.Unresolved(err) && !slow && ctx.Err() == nil:
			slow = true
		case err != nil:
			return err
		default:
			log.add(n, e)
		}
	}
	return nil
}

// loadEntry reads the nth entry of a log. Entries never change, so a stale answer that has the entry is as
// good as any; only the end of a log needs another one. An open batch's last entries may be newer than stale
// answers. If reads are slow, a stale one has more time than the attempts of others, of which nothing is kept.
func (s *batchStore) loadEntry(ctx context.Context, m *batches.Manifest, n int, slow bool) (batches.LogEntry, error) {
	if m.Ended || slow {
		timeout := staleEntryTimeout
		if slow {
			timeout = slowReadTimeout
		}
		staleCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if e, err := s.entryFrom(staleCtx, s.stale, m.ID, n); err == nil {
			return e, nil
		}
	}
	return s.entry(ctx, m.ID, n)
}
