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
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	done := trace.begin("local")
	local, err := s.localResults(ctx, t.team, id, after, wait)
	if done(err); err == nil {
		return local, nil
	}
	left := max(wait-trace.elapsed(), 0)
	return hedged(ctx, left+hedgeDelay, func(ctx context.Context) (page Page, err error) {
		err = s.askHosts(ctx, trace, id, func(host string) error {
			page, err = s.peerClient.Results(ctx, host, t.team, id, after, left)
			return err
		})
		return page, err
	}, func(ctx context.Context) (Page, error) {
		return s.readStored(ctx, trace, t.team, id, after, wait)
	})
}

// hedged returns the result of primary. If that fails or takes longer than delay, it runs secondary, and returns
// the first result without an error, else the error of secondary.
func hedged[T any](ctx context.Context, delay time.Duration, primary, secondary func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		value T
		err   error
	}
	first := make(chan outcome, 1)
	go func() {
		v, err := primary(ctx)
		first <- outcome{v, err}
	}()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case o := <-first:
		if o.err == nil {
			return o.value, nil
		}
		return secondary(ctx)
	case <-timer.C:
	}
	second := make(chan outcome, 1)
	go func() {
		v, err := secondary(ctx)
		second <- outcome{v, err}
	}()
	select {
	case o := <-first:
		if o.err == nil {
			return o.value, nil
		}
		last := <-second
		return last.value, last.err
	case o := <-second:
		if o.err == nil || isCode(o.err, resultcode.NotFound) {
			return o.value, o.err
		}
		if last := <-first; last.err == nil {
			return last.value, nil
		}
		return o.value, o.err
	}
}

// askHosts calls ask with the hosts that may have a batch in memory, until it returns nil: the owner, the hosts that
// run batches now unless the batch has ended, and the one that reads it from the store for the others. It returns errBatchNotActive if no call has
// succeeded.
func (s *Batches) askHosts(ctx context.Context, trace *readTrace, id string, ask func(host string) error) error {
	asked := map[string]bool{s.settings.Host: true, "": true}
	askOnce := func(host string) bool {
		if asked[host] {
			return false
		}
		asked[host] = true
		done := trace.begin("host " + host)
		err := ask(host)
		done(err)
		return err == nil
	}
	m, known := s.store.cached(id)
	if askOnce(m.Owner) {
		return nil
	}
	if !known || !m.Ended {
		// Owners change rarely, so that a stale manifest usually names the right one.
		done := trace.begin("stale manifest")
		stale, err := s.store.staleManifest(ctx, id)
		if done(err); err == nil {
			m, known = stale, true
			if askOnce(m.Owner) {
				return nil
			}
		}
	}
	var hosts []string
	if !m.Ended {
		hosts = s.currentOwners()
	}
	for _, host := range append(hosts, s.logHolder(id)) {
		if askOnce(host) {
			if !known {
				s.store.cacheManifest(storedManifest{Manifest: batches.Manifest{ID: id, Owner: host}})
			}
			return nil
		}
	}
	return errBatchNotActive
}

// readStored returns results from the store. While an open batch has none, it reads its log again until the
// wait is over.
func (s *Batches) readStored(ctx context.Context, trace *readTrace, team, id string, after int, wait time.Duration) (Page, error) {
	done := trace.begin("manifest in the store")
	m, err := s.manifestForRead(ctx, team, id)
	if done(err); err != nil {
		return Page{}, err
	}
	for {
		done := trace.begin("log in the store")
		page, err := s.storedResults(ctx, &m.Manifest, after)
		done(err)
		if err != nil || len(page.Results) > 0 || m.Ended || trace.elapsed()+storePollInterval > wait {
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
// loads it. An empty page from a log that is not final may be outdated when it arrives, so in place of it the
// other host reads the store.
func (s *Batches) resultsForPeer(ctx context.Context, team, id string, after int, wait time.Duration) (Page, error) {
	page, err := s.localResults(ctx, team, id, after, wait)
	if !errors.Is(err, errBatchNotActive) || s.logHolder(id) != s.settings.Host {
		return page, err
	}
	m, err := s.store.staleManifest(ctx, id)
	if err != nil || !m.Ended || m.Removed || !mayAccess(team, m.Team) {
		return Page{}, errBatchNotActive
	}
	page, err = s.storedResults(ctx, &m.Manifest, after)
	if err != nil || len(page.Results) > 0 {
		return page, err
	}
	return s.cachedResults(team, id, after)
}

// Body returns the request body of a sample. Its errors have a result code.
func (t TeamBatches) Body(ctx context.Context, id, sample string) ([]byte, error) {
	trace := newReadTrace()
	body, err := t.body(ctx, trace, id, sample)
	if elapsed := trace.elapsed(); err != nil || ctx.Err() != nil || elapsed > slowReadThreshold {
		t.batches.log.Warn("Read of a sample's body failed or was slow", "batch", id, "sample", sample, "took_ms", elapsed.Milliseconds(),
			"caller_left", ctx.Err() != nil, "steps", trace.String(), "err", err)
	}
	return body, err
}

func (t TeamBatches) body(ctx context.Context, trace *readTrace, id, sample string) ([]byte, error) {
	s := t.batches
	if body, err := s.localBody(t.team, id, sample); err == nil {
		return body, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return hedged(ctx, hedgeDelay, func(ctx context.Context) (body []byte, err error) {
		err = s.askHosts(ctx, trace, id, func(host string) error {
			body, err = s.peerClient.Body(ctx, host, t.team, id, sample)
			return err
		})
		return body, err
	}, func(ctx context.Context) ([]byte, error) {
		return s.storedBody(ctx, trace, t.team, id, sample)
	})
}

// storedBody returns the request body of a sample from the batch's content in the store.
func (s *Batches) storedBody(ctx context.Context, trace *readTrace, team, id, sample string) ([]byte, error) {
	m, ok := s.store.cached(id)
	if !ok || m.Parts == 0 {
		done := trace.begin("manifest in the store")
		var err error
		m, err = s.readManifest(ctx, id)
		if done(err); err != nil {
			return nil, err
		}
	}
	if !mayAccess(team, m.Team) {
		return nil, errNoSuchBatch()
	}
	done := trace.begin("content in the store")
	b, err := s.loadContent(ctx, &m.Manifest)
	if done(err); err != nil {
		return nil, codedError(resultcode.StorageOutage, err.Error())
	}
	return bodyOf(b, sample)
}

// bodyForPeer is localBody for another host. If the batch has no owner and this host reads it from the store for
// the others, it does so.
func (s *Batches) bodyForPeer(ctx context.Context, team, id, sample string) ([]byte, error) {
	body, err := s.localBody(team, id, sample)
	if !errors.Is(err, errBatchNotActive) || s.logHolder(id) != s.settings.Host {
		return body, err
	}
	return s.storedBody(ctx, newReadTrace(), team, id, sample)
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
