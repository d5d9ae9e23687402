package front

import (
	"context"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// keptBytesMax bounds the listings that are kept after their batches, in bytes.
	keptBytesMax = 3 << 20
	// maxPageBytes bounds the results of one answer.
	maxPageBytes = 900 << 10
	// storePoll is the pause between readings of the store for a waiting caller whose
	// batch's owner does not answer.
	storePoll = 500 * time.Millisecond
	// ownerCheckAge is how old an owner's proof of ownership may be when it says that a
	// position has no result yet; it is below the time in which all hosts must agree.
	ownerCheckAge = 700 * time.Millisecond
)

// Results returns results from position after on. With wait it may take that long for
// one to exist.
func (s *Batches) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	if s.owned(id) != nil {
		if page, err := s.ownResults(ctx, id, after, wait); err == nil {
			return page, nil
		}
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+storePatience)
	defer cancel()
	m, page, err := s.askOwner(ctx, id, after, wait)
	if err != nil || page != nil {
		return orEmpty(page), err
	}
	for {
		results, err := s.store.read(ctx, id, after, maxPageBytes)
		if err != nil {
			return Page{}, refusal(resultcode.StorageOutage, err.Error())
		}
		if len(results) > 0 || m.Ended || time.Since(began)+storePoll > wait {
			return Page{Total: m.Total, Results: results, Next: after + len(results)}, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, refusal(resultcode.StorageOutage, "the caller left")
		case <-time.After(storePoll):
		}
	}
}

func orEmpty(p *Page) Page {
	if p == nil {
		return Page{}
	}
	return *p
}

// askOwner asks the batch's owner for results, first the one that this host knows and
// then the one that the store names. No page means that no owner answered.
func (s *Batches) askOwner(ctx context.Context, id string, after int, wait time.Duration) (storedManifest, *Page, error) {
	m, known := s.store.cached(id)
	asked := ""
	if known && m.Owner != s.settings.Host {
		asked = m.Owner
		if page, err := s.calls.Results(ctx, asked, id, after, wait); err == nil {
			return m, &page, nil
		}
	}
	m, err := s.fresh(ctx, id)
	if err != nil || m.Owner == s.settings.Host || m.Owner == asked {
		return m, nil, err
	}
	page, err := s.calls.Results(ctx, m.Owner, id, after, wait)
	if err != nil {
		s.log.Debug("A batch's owner does not answer.", "batch", id, "owner", m.Owner, "err", err)
		return m, nil, nil
	}
	return m, &page, nil
}

// ownResults answers for a batch that this host owns.
func (s *Batches) ownResults(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	b := s.owned(id)
	if b == nil {
		return s.keptResults(id, after)
	}
	page := b.results.page(ctx, after, wait)
	if len(page.Results) > 0 || b.results.final() || time.Since(b.results.proved()) < ownerCheckAge {
		return page, nil
	}
	return s.provenPage(ctx, b, after)
}

// provenPage answers with results that come while the ownership is being proved, or that
// there are none once it is.
func (s *Batches) provenPage(ctx context.Context, b *activeBatch, after int) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	proved := make(chan error, 1)
	go func() {
		proved <- s.prove(ctx, b)
		cancel()
	}()
	if page := b.results.page(ctx, after, storePatience); len(page.Results) > 0 {
		return page, nil
	}
	if err := <-proved; err != nil {
		return Page{}, err
	}
	return b.results.page(ctx, after, 0), nil
}

// prove makes sure that this host still owns the batch, and stops it otherwise.
func (s *Batches) prove(ctx context.Context, b *activeBatch) error {
	began := time.Now()
	m, err := s.store.manifest(ctx, b.manifest.ID)
	switch {
	case err != nil:
		return err
	case m.Owner != s.settings.Host:
		s.stop(m.ID, "another host owns the batch")
		return errNotHere
	case m.Ended:
		s.stopEnded(m.ID)
	}
	b.results.setProved(began)
	return nil
}

// Body returns a sample's body.
func (s *Batches) Body(ctx context.Context, id, sample string) ([]byte, error) {
	if body, err := s.ownBody(id, sample); err == nil {
		return body, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	m, ok := s.store.cached(id)
	if ok && m.Owner != s.settings.Host && !m.Ended {
		if body, err := s.calls.Body(ctx, m.Owner, id, sample); err == nil {
			return body, nil
		}
	}
	if !ok || m.Parts == 0 {
		var err error
		if m, err = s.fresh(ctx, id); err != nil {
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
		return nil, errNotHere
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

// keep holds a listing after its batch; the oldest ones make room.
func (s *Batches) keep(id string, l *listing) {
	if _, ok := s.kept[id]; ok {
		return
	}
	s.kept[id] = l
	s.keptOrder = append(s.keptOrder, id)
	s.keptBytes += l.size()
	for s.keptBytes > keptBytesMax && len(s.keptOrder) > 0 {
		oldest := s.keptOrder[0]
		s.keptOrder = s.keptOrder[1:]
		s.keptBytes -= s.kept[oldest].size()
		delete(s.kept, oldest)
	}
}

// keptResults answers from a listing that was kept. Unless it is final it may lack what
// another host listed later, so then it never says that there is nothing at a position.
func (s *Batches) keptResults(id string, after int) (Page, error) {
	s.mu.Lock()
	l := s.kept[id]
	s.mu.Unlock()
	if l == nil {
		return Page{}, errNotHere
	}
	final := l.final()
	if page := l.page(context.Background(), after, 0); len(page.Results) > 0 || final {
		return page, nil
	}
	return Page{}, errNotHere
}
