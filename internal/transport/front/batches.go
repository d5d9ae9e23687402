package front

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// keptBytesMax bounds the listings that are kept after their batches, in bytes.
	keptBytesMax = 3 << 20
	// maxPageBytes bounds the results of one answer.
	maxPageBytes = 900 << 10
	// storePatience bounds how long a caller's call may wait for the store.
	storePatience = 2500 * time.Millisecond
	// storePoll is the pause between readings of the store for a waiting caller whose
	// batch's owner does not answer.
	storePoll = 500 * time.Millisecond
	// ownerCheckAge is how old an owner's proof of ownership may be when it says that a
	// position has no result yet; it is below the time in which all hosts must agree.
	ownerCheckAge = 700 * time.Millisecond
	// endTries is how often a batch's owner is told of its end.
	endTries = 2
	// takeoverTick is the pause between looks for batches whose owner is gone.
	takeoverTick = 250 * time.Millisecond
	// takeoverStart is how long a new process waits for its peers' heartbeats first.
	takeoverStart = 1500 * time.Millisecond
	// relistEvery is the pause between readings of all manifests, which find batches
	// whose owner died before a peer heard of them.
	relistEvery = 8 * time.Second
	// removeSlack is kept on top of the retention, since hosts' times of day differ.
	removeSlack = 20 * time.Second
	// listSubject ranks the hosts as listers of the manifests.
	listSubject = "batches"
	// relistRetry is that pause while the store does not answer.
	relistRetry = 500 * time.Millisecond
)

// Batches serves the batches of all hosts, and runs those that this host owns.
type Batches struct {
	settings Settings
	store    *batchStore
	outage   func() time.Duration
	peers    *Peers
	calls    *PeerCalls
	catalog  *Catalog
	runner   *runnerDeps
	groups   *recentGroups
	// announce tells the other hosts at once what this host runs.
	announce func()
	log      *slog.Logger

	mu     sync.Mutex
	active map[string]*activeBatch
	// kept are the listings of batches that this host has run, the oldest first in
	// keptOrder, so that most later readings need no call to the store.
	kept      map[string]*listing
	keptOrder []string
	keptBytes int
	adopting  map[string]bool
	stopping  bool
	base      context.Context
	running   sync.WaitGroup
}

// Submit accepts a batch once: a repeated submission of the same content succeeds
// again. The returned error says whether it is certain that nothing of it will run.
func (s *Batches) Submit(ctx context.Context, b *batches.Batch) error {
	content, digest, err := encodeBatch(b)
	if err != nil {
		return refusal(resultcode.Internal, err.Error())
	}
	if m, ok := s.store.cached(b.ID); ok && m.Digest != "" {
		return sameBatch(&m.Manifest, digest)
	}
	if s.draining() {
		return refusal(resultcode.Stopping, "this host is stopping")
	}
	if s.outage() > storePatience {
		return refusal(resultcode.StorageOutage, "the store does not answer")
	}
	// A caller that leaves does not undo what may already be written.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storePatience)
	defer cancel()
	parts, err := s.store.putContent(ctx, b.ID, digest, content)
	if err != nil {
		return refusal(resultcode.StorageOutage, err.Error())
	}
	m, err := s.store.putManifest(ctx, batches.Manifest{
		ID: b.ID, Digest: digest, Parts: parts, Total: len(b.Samples),
		AcceptedUnixMs: time.Now().UnixMilli(), Owner: s.settings.Host, Epoch: 1,
	}, 0)
	switch {
	case err == nil:
		s.log.Info("A batch is accepted.", "batch", b.ID, "step", b.Step, "model", b.Model,
			"min_version", b.MinVersion, "samples", len(b.Samples), "desired_groups", b.DesiredGroups)
		carried := s.groups.carried(b)
		s.tellGroups(s.base, b)
		s.start(m, b, carried, nil)
		s.announce()
		return nil
	case errors.Is(err, objectapi.ErrConflict):
		present, err := s.store.manifest(ctx, b.ID)
		if err != nil {
			return refusal(resultcode.StorageUnknown, err.Error())
		}
		return sameBatch(&present.Manifest, digest)
	case objectapi.Unresolved(err):
		s.log.Warn("It is unknown whether a batch was accepted.", "batch", b.ID, "err", err)
		return refusal(resultcode.StorageUnknown, err.Error())
	}
	return refusal(resultcode.StorageOutage, err.Error())
}

func sameBatch(m *batches.Manifest, digest string) error {
	if m.Digest != digest {
		return refusal(resultcode.StepConflict, "the batch was submitted with other content")
	}
	return nil
}

func (s *Batches) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Batches) owned(id string) *activeBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[id]
}

// Owned returns the ids of the batches that this host runs.
func (s *Batches) Owned() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, b := range s.active {
		if !b.finished() {
			out = append(out, id)
		}
	}
	return out
}

// fresh reads the manifest.
func (s *Batches) fresh(ctx context.Context, id string) (storedManifest, error) {
	if !batches.ValidID(id) {
		return storedManifest{}, refusal(resultcode.NotFound, "no batch can have this id")
	}
	m, err := s.store.manifest(ctx, id)
	if errors.Is(err, objectapi.ErrNotFound) {
		return m, refusal(resultcode.NotFound, "no such batch")
	}
	if err != nil {
		return m, refusal(resultcode.StorageOutage, err.Error())
	}
	return m, nil
}

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
	if err := s.prove(ctx, b); err != nil {
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

// End records that the trainer wants no more results, and stops the batch.
func (s *Batches) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storePatience)
	defer cancel()
	for {
		m, err := s.fresh(ctx, id)
		if err != nil {
			return err
		}
		if m.Ended {
			s.stopEnded(id)
			return nil
		}
		next := m.Manifest
		next.Ended = true
		stored, err := s.store.putManifest(ctx, next, m.version)
		if errors.Is(err, objectapi.ErrConflict) {
			continue
		}
		if err != nil {
			return refusal(resultcode.StorageUnknown, err.Error())
		}
		s.log.Info("A batch is ended.", "batch", id, "owner", stored.Owner)
		s.tellEnd(ctx, stored.Owner, id)
		return nil
	}
}

func (s *Batches) tellEnd(ctx context.Context, owner, id string) {
	if owner == s.settings.Host {
		s.stopEnded(id)
		return
	}
	var err error
	for range endTries {
		if err = s.calls.End(ctx, owner, id); err == nil {
			return
		}
	}
	if err != nil {
		// The owner finds out when it next proves its ownership.
		s.log.Warn("A batch's owner could not be told of its end.", "batch", id, "owner", owner, "err", err)
	}
}

// stop ends the work on a batch at this host.
func (s *Batches) stop(id, why string) {
	s.mu.Lock()
	b := s.active[id]
	s.mu.Unlock()
	if b != nil {
		b.halt(why)
	}
}

// stopEnded ends the work on a batch that the trainer has ended.
func (s *Batches) stopEnded(id string) {
	if b := s.owned(id); b != nil {
		b.ended.Store(true)
		b.halt("ended by the trainer")
	}
}

// start runs a batch at this host. entries are the log's present entries, nil for a
// batch that was accepted just now.
func (s *Batches) start(m storedManifest, b *batches.Batch, carried map[string]bool, entries []batches.LogEntry) {
	s.mu.Lock()
	if _, ok := s.active[m.ID]; ok || s.stopping {
		s.mu.Unlock()
		return
	}
	active := newActiveBatch(m, b, carried, entries, s)
	s.active[m.ID] = active
	s.running.Add(1)
	base := s.base
	s.mu.Unlock()
	go func() {
		defer s.running.Done()
		active.runUntilDone(base)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.active, m.ID)
		s.keep(m.ID, active.results)
	}()
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

// Heard notes the batches that a peer runs, so that they can be taken over.
func (s *Batches) Heard(h presence.Heartbeat) {
	for _, id := range h.Batches {
		if _, ok := s.store.cached(id); !ok {
			s.store.remember(storedManifest{Manifest: batches.Manifest{ID: id, Owner: h.Host}})
		}
	}
}

// Watch takes over batches whose owner is gone, until ctx ends.
func (s *Batches) Watch(ctx context.Context) {
	began := time.Now()
	listed := time.Time{}
	ticker := time.NewTicker(takeoverTick)
	defer ticker.Stop()
	for {
		if listed.IsZero() || time.Since(listed) > relistEvery && s.lists() {
			if all, err := s.store.listManifests(ctx); err == nil {
				listed = time.Now()
				s.removeOld(ctx, all)
			} else {
				s.log.Warn("The batches cannot be listed.", "err", err)
				listed = time.Now().Add(relistRetry - relistEvery)
			}
		}
		for _, m := range s.store.openManifests() {
			mine := m.Owner == s.settings.Host
			if mine && s.owned(m.ID) == nil || !mine && time.Since(began) > takeoverStart && s.successor(m) {
				s.adopt(ctx, m.ID, "its owner is gone")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// removeOld deletes ended batches that nobody can ask for any more. One host does it.
func (s *Batches) removeOld(ctx context.Context, all []storedManifest) {
	for _, m := range all {
		if !m.Ended || time.Since(m.Accepted()) < s.settings.Retention+removeSlack || !s.lists() {
			continue
		}
		if err := s.store.remove(ctx, m); err != nil {
			s.log.Warn("An old batch could not be removed whole.", "batch", m.ID, "err", err)
			continue
		}
		s.log.Info("An old batch is removed.", "batch", m.ID, "accepted", m.Accepted())
	}
}

// lists reports whether this host lists the manifests for all.
func (s *Batches) lists() bool {
	return s.successor(storedManifest{Manifest: batches.Manifest{ID: listSubject}})
}

// successor reports whether this host takes over a batch from an owner that is gone.
func (s *Batches) successor(m storedManifest) bool {
	if _, alive := s.peers.Get(m.Owner); alive || s.draining() {
		return false
	}
	candidates := []presence.Heartbeat{{Host: s.settings.Host, Ready: true, StoreReachable: s.runner.storeReachable()}}
	for _, p := range s.peers.Alive() {
		candidates = append(candidates, p.Heartbeat)
	}
	return presence.Successor(m.ID, candidates) == s.settings.Host
}

// adopt takes a batch over and continues it from its log.
func (s *Batches) adopt(ctx context.Context, id, why string) {
	s.mu.Lock()
	if s.adopting[id] || s.active[id] != nil || s.stopping {
		s.mu.Unlock()
		return
	}
	s.adopting[id] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.adopting, id)
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, 2*storePatience)
	defer cancel()
	if err := s.takeOver(ctx, id, why); err != nil {
		s.log.Warn("A batch could not be taken over.", "batch", id, "err", err)
	}
}

func (s *Batches) takeOver(ctx context.Context, id, why string) error {
	m, err := s.store.manifest(ctx, id)
	if err != nil {
		return err
	}
	if m.Ended {
		return nil
	}
	if m.Owner != s.settings.Host {
		if _, alive := s.peers.Get(m.Owner); alive {
			return nil
		}
		next := m.Manifest
		next.Owner, next.Epoch = s.settings.Host, m.Epoch+1
		if m, err = s.store.putManifest(ctx, next, m.version); err != nil {
			return err
		}
	}
	b, err := s.store.content(ctx, &m.Manifest)
	if err != nil {
		return err
	}
	entries := []batches.LogEntry{} // not nil: the batch was run before
	for n := 0; ; n++ {
		e, err := s.store.entry(ctx, id, n)
		if errors.Is(err, objectapi.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	s.log.Info("A batch is taken over.", "batch", id, "epoch", m.Epoch, "entries", len(entries), "reason", why)
	s.start(m, b, nil, entries)
	return nil
}

// Drain hands the batches over to other hosts until ctx ends.
func (s *Batches) Drain(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	var left []*activeBatch
	for _, b := range s.active {
		left = append(left, b)
	}
	s.mu.Unlock()
	for _, b := range left {
		b.halt("the host is stopping")
	}
	s.running.Wait()
	for _, b := range left {
		if b.incomplete() {
			s.handOver(ctx, b.manifest.ID)
		}
	}
}

// handOver names another host as the owner.
func (s *Batches) handOver(ctx context.Context, id string) {
	m, err := s.store.manifest(ctx, id)
	if err != nil || m.Ended || m.Owner != s.settings.Host {
		if err != nil {
			s.log.Warn("A batch could not be handed over.", "batch", id, "err", err)
		}
		return
	}
	var candidates []presence.Heartbeat
	for _, p := range s.peers.Alive() {
		candidates = append(candidates, p.Heartbeat)
	}
	next := m.Manifest
	next.Owner, next.Epoch = presence.Successor(id, candidates), m.Epoch+1
	if next.Owner == "" {
		return // nobody is there; this host continues after its restart
	}
	if _, err := s.store.putManifest(ctx, next, m.version); err != nil {
		s.log.Warn("A batch could not be handed over.", "batch", id, "err", err)
		return
	}
	err = s.calls.Adopt(ctx, next.Owner, id)
	s.log.Info("A batch is handed over.", "batch", id, "owner", next.Owner, "epoch", next.Epoch, "err", err)
}
