package front

import (
	"context"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// maxKeptBytes bounds the total size of the listings that are kept after their batches.
	maxKeptBytes = 3 << 20
	// maxPageBytes bounds the results of one page.
	maxPageBytes = 900 << 10
	// storePollInterval is the time between reads of the store for a waiting caller while
	// the owner of the batch does not answer.
	storePollInterval = 500 * time.Millisecond
	// maxOwnershipCheckAge is the maximum age of the last ownership check when an owner answers
	// that a position has no result yet. It is shorter than the time within which all hosts
	// must agree.
	maxOwnershipCheckAge = 700 * time.Millisecond
)

// Results returns the results of a batch from position after on. If there are none, it
// waits up to the given time for one. Errors are coded.
func (s *Batches) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	if s.owned(id) != nil {
		if page, err := s.ownResults(ctx, id, after, wait); err == nil {
			return page, nil
		}
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+storeWaitTimeout)
	defer cancel()
	m, page, err := s.askOwner(ctx, id, after, wait)
	if err != nil || page != nil {
		return valueOrEmpty(page), err
	}
	for {
		results, err := s.store.read(ctx, id, after, maxPageBytes)
		if err != nil {
			return Page{}, refusal(resultcode.StorageOutage, err.Error())
		}
		if len(results) > 0 || m.Ended || time.Since(began)+storePollInterval > wait {
			return Page{Total: m.Total, Results: results, Next: after + len(results)}, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, refusal(resultcode.StorageOutage, "the caller left")
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
// manifest, then from the owner in the store. The page is nil if no owner answered.
func (s *Batches) askOwner(ctx context.Context, id string, after int, wait time.Duration) (storedManifest, *Page, error) {
	m, known := s.store.cached(id)
	asked := ""
	if known && m.Owner != s.settings.Host {
		asked = m.Owner
		if page, err := s.calls.Results(ctx, asked, id, after, wait); err == nil {
			return m, &page, nil
		}
	}
	m, err := s.readManifest(ctx, id)
	if err != nil || m.Owner == s.settings.Host || m.Owner == asked {
		return m, nil, err
	}
	page, err := s.calls.Results(ctx, m.Owner, id, after, wait)
	if err != nil {
		s.log.Debug("Batch owner did not answer", "batch", id, "owner", m.Owner, "err", err)
		return m, nil, nil
	}
	return m, &page, nil
}

// ownResults returns results of a batch that this host owns or has kept, else errBatchNotActive.
func (s *Batches) ownResults(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	b := s.owned(id)
	if b == nil {
		return s.keptResults(id, after)
	}
	page := b.results.page(ctx, after, wait)
	if len(page.Results) > 0 || b.results.final() || time.Since(b.results.ownershipConfirmedAt()) < maxOwnershipCheckAge {
		return page, nil
	}
	return s.confirmedPage(ctx, b, after)
}

// confirmedPage checks the ownership of the batch. It returns the results that arrive
// meanwhile, or an empty page once the ownership is confirmed.
func (s *Batches) confirmedPage(ctx context.Context, b *activeBatch, after int) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	confirmed := make(chan error, 1)
	go func() {
		confirmed <- s.confirmOwnership(ctx, b)
		cancel()
	}()
	if page := b.results.page(ctx, after, storeWaitTimeout); len(page.Results) > 0 {
		return page, nil
	}
	if err := <-confirmed; err != nil {
		return Page{}, err
	}
	return b.results.page(ctx, after, 0), nil
}

// confirmOwnership reads the manifest to confirm that this host still owns the batch. It stops the
// batch if another host owns it or if it has ended.
func (s *Batches) confirmOwnership(ctx context.Context, b *activeBatch) error {
	began := time.Now()
	m, err := s.store.manifest(ctx, b.manifest.ID)
	switch {
	case err != nil:
		return err
	case m.Owner != s.settings.Host:
		s.stop(m.ID, "another host owns the batch")
		return errBatchNotActive
	case m.Ended:
		s.stopEnded(m.ID)
	}
	b.results.setOwnershipConfirmed(began)
	return nil
}

// Body returns the request body of a sample.
func (s *Batches) Body(ctx context.Context, id, sample string) ([]byte, error) {
	if body, err := s.ownBody(id, sample); err == nil {
		return body, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	m, ok := s.store.cached(id)
	if ok && m.Owner != s.settings.Host && !m.Ended {
		if body, err := s.calls.Body(ctx, m.Owner, id, sample); err == nil {
			return body, nil
		}
	}
	if !ok || m.Parts == 0 {
		var err error
		if m, err = s.readManifest(ctx, id); err != nil {
			return nil, err
		}
	}
	b, err := s.store.content(ctx, &m.Manifest)
	if err != nil {
		return nil, refusal(resultcode.StorageOutage, err.Error())
	}
	return bodyOf(b, sample)
}

func (s *Batches) ownBody(id, sample string) ([]byte, error) {
	b := s.owned(id)
	if b == nil {
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
	return nil, refusal(resultcode.NotFound, "the batch has no such sample")
}

// keep retains a listing after its batch is done and evicts the oldest ones beyond
// maxKeptBytes. The caller holds the lock.
func (s *Batches) keep(id string, l *listing) {
	if _, ok := s.cachedListings[id]; ok {
		return
	}
	s.cachedListings[id] = l
	s.cachedOrder = append(s.cachedOrder, id)
	s.cachedBytes += l.size()
	for s.cachedBytes > maxKeptBytes && len(s.cachedOrder) > 0 {
		oldest := s.cachedOrder[0]
		s.cachedOrder = s.cachedOrder[1:]
		s.cachedBytes -= s.cachedListings[oldest].size()
		delete(s.cachedListings, oldest)
	}
}

// keptResults returns results from a kept listing. A listing that is not final may lack
// results that another host added later, so it never returns an empty page.
func (s *Batches) keptResults(id string, after int) (Page, error) {
	s.mu.Lock()
	l := s.cachedListings[id]
	s.mu.Unlock()
	if l == nil {
		return Page{}, errBatchNotActive
	}
	final := l.final()
	if page := l.page(context.Background(), after, 0); len(page.Results) > 0 || final {
		return page, nil
	}
	return Page{}, errBatchNotActive
}
