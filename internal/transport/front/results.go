package front

import (
	"context"
	"errors"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// maxPageBytes bounds the results of one page.
	maxPageBytes = 900 << 10
	// storePollInterval is the time between reads of the store for a waiting caller while
	// the owner of the batch does not answer.
	storePollInterval = 500 * time.Millisecond
	// readTimeout bounds a read of results, in addition to the wait that the caller asks for. Callers leave 1.5 s
	// after the wait, and a page takes a while to reach them.
	readTimeout = 1100 * time.Millisecond
	// hedgeDelay is how long a read relies on other hosts, in addition to the wait, before it reads the store as well.
	hedgeDelay = 600 * time.Millisecond
)

// Results returns the results of a batch from position after on. If there are none, it
// waits up to the given time for one. Its errors have a result code.
func (t TeamBatches) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	trace := newReadTrace()
	page, err := t.results(ctx, trace, id, after, wait)
	if elapsed := trace.elapsed(); err != nil || ctx.Err() != nil || elapsed > wait+slowReadThreshold {
		t.batches.log.Warn("Read of results failed or was slow", "batch", id, "after", after, "results", len(page.Results),
			"took_ms", elapsed.Milliseconds(), "wait_ms", wait.Milliseconds(), "caller_left", ctx.Err() != nil, "steps", trace.String(), "err", err)
	}
	return page, err
}

func (t TeamBatches) results(ctx context.Context, trace *readTrace, id string, after int, wait time.Duration) (Page, error) {
	s := t.batches
	done := trace.begin("local")
	local, err := s.localResults(ctx, t.team, id, after, wait)
	if done(err); err == nil {
		return local, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	answers := make(chan readAnswer, 2)
	start := func(read func(context.Context, *readTrace, string, string, int, time.Duration) (Page, error)) {
		go func() {
			page, err := read(ctx, trace, t.team, id, after, wait)
			answers <- readAnswer{page, err}
		}()
	}
	start(s.askHosts)
	hedge := time.NewTimer(wait + hedgeDelay)
	defer hedge.Stop()
	select {
	case a := <-answers:
		if a.err == nil {
			return a.page, nil
		}
		return s.readStored(ctx, trace, t.team, id, after, wait)
	case <-hedge.C:
	}
	start(s.readStored)
	first := <-answers
	if first.err == nil || isCode(first.err, resultcode.NotFound) {
		return first.page, first.err
	}
	second := <-answers
	return second.page, second.err
}

// readAnswer is the outcome of one way to read results.
type readAnswer struct {
	page Page
	err  error
}

// askHosts requests results from the hosts that have them in memory: the owner, the holder of the log if the
// batch has ended, and, while nothing is known of the batch, the hosts that run batches now. It returns
// errBatchNotActive if none has answered.
func (s *Batches) askHosts(ctx context.Context, trace *readTrace, team, id string, after int, wait time.Duration) (Page, error) {
	asked := map[string]bool{s.settings.Host: true, "": true}
	ask := func(host string) (Page, bool) {
		if asked[host] {
			return Page{}, false
		}
		asked[host] = true
		done := trace.begin("host " + host)
		page, err := s.peerClient.Results(ctx, host, team, id, after, wait)
		done(err)
		return page, err == nil
	}
	m, known := s.store.cached(id)
	if page, ok := ask(m.Owner); ok {
		return page, nil
	}
	if !known || !m.Ended {
		// Owners change rarely, so that a stale manifest usually names the right one.
		done := trace.begin("stale manifest")
		stale, err := s.store.staleManifest(ctx, id)
		if done(err); err == nil {
			m, known = stale, true
			if page, ok := ask(m.Owner); ok {
				return page, nil
			}
		}
	}
	hosts := []string{s.logHolder(id)}
	if !m.Ended {
		hosts = s.currentOwners()
	}
	for _, host := range hosts {
		if page, ok := ask(host); ok {
			if !known {
				s.store.cacheManifest(storedManifest{Manifest: batches.Manifest{ID: id, Owner: host}})
			}
			return page, nil
		}
	}
	return Page{}, errBatchNotActive
}

// readStored returns results from the store. While an open batch has none, it reads its log again until the
// wait is over.
func (s *Batches) readStored(ctx context.Context, trace *readTrace, team, id string, after int, wait time.Duration) (Page, error) {
	began := time.Now()
	done := trace.begin("manifest in the store")
	m, err := s.manifestForRead(ctx, team, id)
	if done(err); err != nil {
		return Page{}, err
	}
	for {
		done := trace.begin("log in the store")
		page, err := s.storedResults(ctx, &m.Manifest, after)
		done(err)
		if err != nil || len(page.Results) > 0 || m.Ended || time.Since(began)+storePollInterval > wait {
			return page, err
		}
		select {
		case <-ctx.Done():
			return Page{}, codedError(resultcode.StorageOutage, "the caller left")
		case <-time.After(storePollInterval):
		}
	}
}

// manifestForRead returns the manifest of a batch that the team may access. A stale manifest is enough if it
// shows the end of the batch, which is final.
func (s *Batches) manifestForRead(ctx context.Context, team, id string) (storedManifest, error) {
	if batches.ValidID(id) {
		if m, err := s.store.staleManifest(ctx, id); err == nil && m.Ended && !m.Removed && mayAccess(team, m.Team) {
			return m, nil
		}
	}
	return s.readManifestFor(ctx, team, id)
}

// localResults returns results of a batch that this host runs or whose log it has cached, else
// errBatchNotActive. For a team that may not see the batch it is not active.
func (s *Batches) localResults(ctx context.Context, team, id string, after int, wait time.Duration) (Page, error) {
	b := s.activeByID(id)
	if b == nil {
		return s.cachedResults(team, id, after)
	}
	if !mayAccess(team, b.batch.Team) {
		return Page{}, errBatchNotActive
	}
	received := time.Now()
	page := b.results.page(ctx, after, wait)
	if !page.certain(time.Now(), maxOwnershipCheckAge) {
		var err error
		if page, err = s.confirmedPage(ctx, b, after); err != nil {
			return Page{}, err
		}
	}
	return page.answer(received), nil
}

// resultsForPeer is localResults for another host. If this host holds the log of the batch, which has ended, it
// loads it.
func (s *Batches) resultsForPeer(ctx context.Context, team, id string, after int, wait time.Duration) (Page, error) {
	page, err := s.localResults(ctx, team, id, after, wait)
	if !errors.Is(err, errBatchNotActive) || s.logHolder(id) != s.settings.Host {
		return page, err
	}
	m, err := s.store.staleManifest(ctx, id)
	if err != nil || !m.Ended || m.Removed || !mayAccess(team, m.Team) {
		return Page{}, errBatchNotActive
	}
	return s.storedResults(ctx, &m.Manifest, after)
}

// Body returns the request body of a sample. Its errors have a result code.
func (t TeamBatches) Body(ctx context.Context, id, sample string) ([]byte, error) {
	s := t.batches
	if body, err := s.localBody(t.team, id, sample); err == nil {
		return body, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	m, ok := s.store.cached(id)
	asked := s.currentOwners()
	if ok {
		asked = []string{m.Owner}
	}
	for _, owner := range asked {
		if owner == s.settings.Host || m.Ended {
			continue
		}
		if body, err := s.peerClient.Body(ctx, owner, t.team, id, sample); err == nil {
			return body, nil
		}
	}
	if !ok || m.Parts == 0 {
		var err error
		if m, err = s.readManifest(ctx, id); err != nil {
			return nil, err
		}
	}
	if !mayAccess(t.team, m.Team) {
		return nil, errNoSuchBatch()
	}
	b, err := s.store.content(ctx, &m.Manifest)
	if err != nil {
		return nil, codedError(resultcode.StorageOutage, err.Error())
	}
	return bodyOf(b, sample)
}

func (s *Batches) localBody(team, id, sample string) ([]byte, error) {
	b := s.activeByID(id)
	if b == nil || !mayAccess(team, b.batch.Team) {
		return nil, errBatchNotActive
	}
	return bodyOf(b.batch, sample)
}

func bodyOf(b *batches.Batch, sample string) ([]byte, error) {
	for i := range b.Samples {
		if b.Samples[i].ID == sample {
			return b.Samples[i].Body, nil
		}
	}
	return nil, codedError(resultcode.NotFound, "the batch has no such sample")
}

// cachedResults returns results from a cached log. A log that is not final may lack results
// that another host added later, so in place of an empty page from such a log it returns
// errBatchNotActive.
func (s *Batches) cachedResults(team, id string, after int) (Page, error) {
	s.mu.Lock()
	l := s.endedLogs.get(id)
	s.mu.Unlock()
	if l == nil || !mayAccess(team, l.team) {
		return Page{}, errBatchNotActive
	}
	if page := l.page(context.Background(), after, 0); len(page.Results) > 0 || page.final {
		return page.Page, nil
	}
	return Page{}, errBatchNotActive
}
