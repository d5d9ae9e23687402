package front

import (
	"context"
	"slices"
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
)

// Results returns the results of a batch from position after on. If there are none, it
// waits up to the given time for one. Its errors have a result code.
func (t TeamBatches) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	s := t.batches
	if page, err := s.localResults(ctx, t.team, id, after, wait); err == nil {
		return page, nil
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+storeWaitTimeout)
	defer cancel()
	m, page, err := s.askOwner(ctx, t.team, id, after, wait)
	if err != nil || page != nil {
		return valueOrEmpty(page), err
	}
	for {
		results, err := s.store.read(ctx, id, after, maxPageBytes)
		if err != nil {
			return Page{}, codedError(resultcode.StorageOutage, err.Error())
		}
		if len(results) > 0 || m.Ended || time.Since(began)+storePollInterval > wait {
			return Page{Total: m.Total, Results: results, Next: after + len(results)}, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, codedError(resultcode.StorageOutage, "the caller left")
		case <-time.After(storePollInterval):
		}
	}
}

func valueOrEmpty(p *Page) Page {
	if p == nil {
		return Page{}
	}
	return *p
}

// askOwner requests results from the batch's owner: first from the owner in the cached
// manifest and from the hosts that run the batches of the models now, which cache the logs of
// ended ones, then from the owner in the store. The page is nil if no owner answered.
func (s *Batches) askOwner(ctx context.Context, team, id string, after int, wait time.Duration) (storedManifest, *Page, error) {
	m, known := s.store.cached(id)
	asked := s.currentOwners()
	if known && !slices.Contains(asked, m.Owner) {
		asked = slices.Insert(asked, 0, m.Owner)
	}
	for _, owner := range asked {
		if owner == s.settings.Host {
			continue
		}
		if page, err := s.peerClient.Results(ctx, owner, team, id, after, wait); err == nil {
			if !known {
				m = storedManifest{Manifest: batches.Manifest{ID: id, Owner: owner}}
				s.store.cacheManifest(m)
			}
			return m, &page, nil
		}
	}
	// A stale manifest may name the owner as well, since owners change rarely.
	if m, err := s.store.staleManifest(ctx, id); err == nil && m.Owner != s.settings.Host && !slices.Contains(asked, m.Owner) {
		if page, err := s.peerClient.Results(ctx, m.Owner, team, id, after, wait); err == nil {
			return m, &page, nil
		}
		asked = append(asked, m.Owner)
	}
	m, err := s.readManifestFor(ctx, team, id)
	if err != nil || m.Owner == s.settings.Host || slices.Contains(asked, m.Owner) {
		return m, nil, err
	}
	page, err := s.peerClient.Results(ctx, m.Owner, team, id, after, wait)
	if err != nil {
		s.log.Debug("Batch owner did not answer", "batch", id, "owner", m.Owner, "err", err)
		return m, nil, nil
	}
	return m, &page, nil
}

// localResults returns results of a batch that this host runs or whose log it has cached, else
// errBatchNotActive. For a team that may not see the batch it is not active. A host that runs the batches of a model now also caches the logs of ended
// batches on demand.
func (s *Batches) localResults(ctx context.Context, team, id string, after int, wait time.Duration) (Page, error) {
	b := s.activeByID(id)
	if b == nil {
		page, err := s.cachedResults(team, id, after)
		if err == nil || !slices.Contains(s.currentOwners(), s.settings.Host) {
			return page, err
		}
		if err := s.loadEndedLog(ctx, id); err != nil {
			return Page{}, err
		}
		return s.cachedResults(team, id, after)
	}
	if !mayAccess(team, b.batch.Team) {
		return Page{}, errBatchNotActive
	}
	page := b.results.page(ctx, after, wait)
	if page.certain(time.Now(), maxOwnershipCheckAge) {
		return page.Page, nil
	}
	return s.confirmedPage(ctx, b, after)
}

// loadEndedLog caches the log of an ended batch from the store, unless it is cached. After a
// restart of the whole fleet, this takes one read of each entry instead of one for each host
// and reader. It returns errBatchNotActive if the batch has not ended.
func (s *Batches) loadEndedLog(ctx context.Context, id string) error {
	s.loadMu.Lock() // readers of the same batch arrive together; the first one loads it
	defer s.loadMu.Unlock()
	s.mu.Lock()
	cached := s.endedLogs.get(id) != nil
	s.mu.Unlock()
	if cached {
		return errBatchNotActive // cachedResults has found it too short
	}
	m, entries, err := s.endedBatch(ctx, id)
	if err != nil {
		return err
	}
	log := newResultLog(m.Total, entries)
	log.team = m.Team
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedLogs.add(id, log)
	return nil
}

// endedBatch reads the manifest and the log of an ended batch. It returns errBatchNotActive if
// the batch has not ended. Stale answers are enough if they show the end of the batch and the
// last entry of its log, since neither changes afterwards.
func (s *Batches) endedBatch(ctx context.Context, id string) (storedManifest, []batches.LogEntry, error) {
	m, err := s.store.staleManifest(ctx, id)
	if err == nil && m.Ended && !m.Removed {
		if entries, err := s.store.staleEntries(ctx, id); err == nil && newResultLog(m.Total, entries).final() {
			return m, entries, nil
		}
	} else if m, err = s.readManifest(ctx, id); err != nil {
		return m, nil, err
	}
	if !m.Ended {
		return m, nil, errBatchNotActive
	}
	entries, err := s.store.entries(ctx, id)
	return m, entries, err
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
