package front

import (
	"context"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// takeoverInterval is the interval of the check for batches whose owner is not alive.
	takeoverInterval = 250 * time.Millisecond
	// takeoverStartDelay is how long a new process waits for its peers' heartbeats before it
	// takes over batches or the weights lease.
	takeoverStartDelay = 1500 * time.Millisecond
	// relistInterval is the interval at which all manifests are read, to find batches whose
	// owner died before any peer received a heartbeat that reports them.
	relistInterval = 8 * time.Second
	// removalMargin is added to the retention before a batch is removed, for reads that have begun
	// and for clocks that run fast.
	removalMargin = 20 * time.Second
	// manifestListingTask is the task name for the succession order of the hosts that list all
	// manifests.
	manifestListingTask = "batches"
	// lateHandoverTimeout bounds the handovers of batches that did not stop within the time
	// for draining.
	lateHandoverTimeout = 300 * time.Millisecond
	// takeoverListTimeout bounds the listing of the log of a batch that is taken over.
	takeoverListTimeout = 2 * storeAttemptTimeout
	// relistRetryDelay is the delay until the next listing after one that failed.
	relistRetryDelay = 500 * time.Millisecond
)

// UnfinishedIDs returns the ids of the unfinished batches that this host runs, sorted.
func (s *Batches) UnfinishedIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, b := range s.active {
		if !b.finished() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ReceiveHeartbeat caches the batches reported in a peer's heartbeat, so that they can be taken
// over when the peer is no longer alive.
func (s *Batches) ReceiveHeartbeat(h presence.Heartbeat) {
	for _, id := range h.Batches {
		if _, ok := s.store.cached(id); !ok {
			s.store.cacheManifest(storedManifest{Manifest: batches.Manifest{ID: id, Owner: h.Host}})
		}
	}
}

// Watch takes over batches whose owner is not alive, continues this host's own after a restart,
// and removes expired ones, until ctx ends.
func (s *Batches) Watch(ctx context.Context) {
	startTime := time.Now()
	lastListed := time.Time{}
	if s.settings.FirstStart {
		lastListed = startTime // no batch exists yet
	}
	ticker := time.NewTicker(takeoverInterval)
	defer ticker.Stop()
	for {
		if lastListed.IsZero() || time.Since(lastListed) > relistInterval && s.listsManifests() {
			if all, err := s.store.listManifests(ctx); err == nil {
				lastListed = time.Now()
				s.removeExpired(ctx, all)
				s.store.forgetOld(time.Now().Add(-s.settings.Retention-removalMargin), all)
			} else {
				s.log.Warn("Failed to list batches", "err", err)
				lastListed = time.Now().Add(relistRetryDelay - relistInterval)
			}
		}
		for _, m := range s.store.openManifests() {
			mine := m.Owner == s.settings.Host
			if mine && s.activeByID(m.ID) == nil || !mine && time.Since(startTime) > takeoverStartDelay && s.isSuccessor(m) {
				s.tryTakeOver(ctx, m.ID, "the owner is not alive")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// removeExpired deletes ended batches whose retention period is over by what this host knows of their
// age. Only the host that lists the manifests does so.
func (s *Batches) removeExpired(ctx context.Context, all []storedManifest) {
	for _, m := range all {
		if !m.Removed && (!m.Ended || s.store.ageOf(m) < s.settings.Retention+removalMargin) || !s.listsManifests() {
			continue
		}
		if err := s.store.remove(ctx, m); err != nil {
			s.log.Warn("Failed to remove expired batch completely", "batch", m.ID, "err", err)
			continue
		}
		s.log.Info("Removed expired batch", "batch", m.ID, "accepted", m.Accepted(), "age_ms", s.store.ageOf(m).Milliseconds())
	}
}

// listsManifests reports whether this host is the one that lists all manifests.
func (s *Batches) listsManifests() bool {
	if !s.peers.IsHub() {
		return false
	}
	// A manifest without an owner stands for the task: no peer has an empty name, so only the
	// ranking by ID decides.
	return s.isSuccessor(storedManifest{Manifest: batches.Manifest{ID: manifestListingTask}})
}

// isSuccessor reports whether a batch's owner is not alive and this host ranks first among the
// hosts that may take the batch over.
func (s *Batches) isSuccessor(m storedManifest) bool {
	if _, alive := s.peers.Get(m.Owner); alive || s.draining() {
		return false
	}
	return presence.Successor(m.ID, append(s.peers.Candidates(), s.candidate())) == s.settings.Host
}

// tryTakeOver takes over a batch unless this host already runs it, is taking it over or is
// stopping. It logs a failure.
func (s *Batches) tryTakeOver(ctx context.Context, id, reason string) {
	s.mu.Lock()
	if s.takingOver[id] || s.active[id] != nil || s.stopping {
		s.mu.Unlock()
		return
	}
	s.takingOver[id] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.takingOver, id)
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, 2*storeWaitTimeout)
	defer cancel()
	if err := s.takeOver(ctx, id, reason); err != nil {
		s.log.Warn("Failed to take over batch", "batch", id, "err", err)
	}
}

// takeOver makes this host the owner of an open batch with the next epoch, unless its owner is
// alive, and continues the batch from its log.
func (s *Batches) takeOver(ctx context.Context, id, reason string) error {
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
	b, err := s.loadContent(ctx, &m.Manifest)
	if err != nil {
		return err
	}
	entries, err := s.takenOverLog(ctx, &m.Manifest)
	if err != nil {
		return err
	}
	s.log.Info("Took over batch", "batch", id, "epoch", m.Epoch, "entries", len(entries), "reason", reason)
	s.start(m, b, nil, entries)
	return nil
}

// takenOverLog returns the entries of the log of a batch that this host takes over. If a listing, whose pages are
// large, takes too long, the log is loaded entry by entry, and a later takeover continues from what this one has read.
func (s *Batches) takenOverLog(ctx context.Context, m *batches.Manifest) ([]batches.LogEntry, error) {
	listCtx, cancel := context.WithTimeout(ctx, takeoverListTimeout)
	defer cancel()
	entries, err := s.store.entries(listCtx, m.ID)
	if err == nil || !objectapi.Unresolved(err) {
		return entries, err
	}
	load := s.loadLog(m)
	defer load.readers.Add(-1)
	select {
	case <-load.done:
		return load.log.merged(), load.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Drain stops all batches at this host, waits until they have stopped or ctx ends, and hands
// the unfinished ones over to other hosts. A batch that has not stopped by then may still append
// results; the next owner meets them in the log.
func (s *Batches) Drain(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	var stopped []*activeBatch
	for _, b := range s.active {
		stopped = append(stopped, b)
	}
	s.mu.Unlock()
	for _, b := range stopped {
		b.stop("the host is stopping")
	}
	allStopped := make(chan struct{})
	go func() {
		s.running.Wait()
		close(allStopped)
	}()
	select {
	case <-allStopped:
	case <-ctx.Done():
		s.log.Warn("Batches did not stop in time", "batches", len(stopped))
		ctx2, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateHandoverTimeout)
		defer cancel()
		ctx = ctx2
	}
	for _, b := range stopped {
		if b.incomplete() {
			s.handOver(ctx, b.manifest.ID)
		}
	}
}

// handOver makes the first-ranked live peer the owner of a batch, with the next epoch, and
// asks it to take the batch over.
func (s *Batches) handOver(ctx context.Context, id string) {
	m, err := s.store.manifest(ctx, id)
	if err != nil || m.Ended || m.Owner != s.settings.Host {
		if err != nil {
			s.log.Warn("Failed to hand over batch", "batch", id, "err", err)
		}
		return
	}
	next := m.Manifest
	next.Owner, next.Epoch = presence.Successor(id, s.peers.Candidates()), m.Epoch+1
	if next.Owner == "" {
		return // no live peer; this host continues the batch after its restart
	}
	if _, err := s.store.putManifest(ctx, next, m.version); err != nil {
		s.log.Warn("Failed to hand over batch", "batch", id, "err", err)
		return
	}
	err = s.peerClient.TakeOver(ctx, next.Owner, id)
	s.log.Info("Handed over batch", "batch", id, "owner", next.Owner, "epoch", next.Epoch, "err", err)
}
