package front

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/batchowners"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// takeoverStartDelay is how long a new process waits for its peers' heartbeats before it
	// takes over the weights lease.
	takeoverStartDelay = 1500 * time.Millisecond
	// maxTakeovers bounds the takeovers and handovers that a host runs at the same time, so that a slow one does not
	// delay the others.
	maxTakeovers = 8
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
	// takeoverCallAttempts is the number of attempts to notify the next owner of a batch.
	takeoverCallAttempts = 2
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

// ReceiveHeartbeat records the batches that a peer runs according to its heartbeat, so that they can be taken
// over when the peer is no longer alive.
func (s *Batches) ReceiveHeartbeat(h presence.Heartbeat) {
	s.store.withOwners(func(t *batchowners.Tracker) { t.Claimed(time.Now(), h.Host, h.Batches) })
	for _, id := range h.Batches {
		if _, ok := s.store.cached(id); !ok {
			s.store.cacheManifest(storedManifest{Manifest: batches.Manifest{ID: id, Owner: h.Host}})
		}
	}
}

// HostLost makes the host that lists the manifests do so soon.
func (s *Batches) HostLost() {
	s.store.withOwners(func(t *batchowners.Tracker) { t.HostLost(time.Now()) })
}

// ownersView returns what this host knows of the fleet now.
func (s *Batches) ownersView() batchowners.View {
	s.mu.Lock()
	running := make(map[string]bool, len(s.active))
	for id := range s.active {
		running[id] = true
	}
	s.mu.Unlock()
	candidates := sync.OnceValue(func() []presence.Candidate { return append(s.peers.Candidates(), s.candidate()) })
	return batchowners.View{
		Now: time.Now(), Member: s.peers.Get, Running: func(id string) bool { return running[id] },
		Successor: func(id string) string { return presence.Successor(id, candidates()) },
		Settled:   s.settled(),
	}
}

// Watch takes over batches whose owner is not alive or that other hosts have assigned to this one, and continues this
// host's own after a restart, until ctx ends.
func (s *Batches) Watch(ctx context.Context) {
	ticker := time.NewTicker(batchowners.CheckInterval)
	defer ticker.Stop()
	for settled := false; ; {
		view := s.ownersView()
		if view.Settled && !settled {
			settled = true
			s.HostLost() // what this host has listed before was not acted on
		}
		var due []batchowners.Takeover
		s.store.withOwners(func(t *batchowners.Tracker) { due = t.Due(view) })
		for _, d := range due {
			reason := "the owner is not alive"
			switch {
			case d.Assigned:
				reason = "assigned by another host"
			case d.Owner == s.settings.Host:
				reason = "owned by this host"
			}
			go s.tryTakeOver(ctx, d.ID, reason, "known_owner", d.Owner)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// WatchManifests lists all manifests at the start of this host and then whenever it is its turn, until ctx ends. It
// notifies the responsible hosts of batches that their owners do not run, and removes expired batches.
func (s *Batches) WatchManifests(ctx context.Context) {
	if s.settings.FirstStart {
		s.store.withOwners(func(t *batchowners.Tracker) { t.SkipFirstListing(time.Now()) })
	}
	ticker := time.NewTicker(batchowners.CheckInterval)
	defer ticker.Stop()
	for {
		now, due, byAnyHost := time.Now(), false, false
		s.store.withOwners(func(t *batchowners.Tracker) { due, byAnyHost = t.ListDue(now) })
		if due && (byAnyHost || s.listsManifests()) {
			all, err := s.store.listManifests(ctx)
			s.store.withOwners(func(t *batchowners.Tracker) { t.Listed(time.Now(), now, err == nil) })
			if err != nil {
				s.log.Warn("Failed to list batches", "err", err)
			} else {
				s.receiveListing(ctx, all)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// receiveListing acts on a listing of all manifests.
func (s *Batches) receiveListing(ctx context.Context, all []storedManifest) {
	if s.listsManifests() {
		s.notifyResponsible(ctx, all)
	}
	s.store.forgetOld(time.Now().Add(-s.settings.Retention-removalMargin), all)
	// A removal takes many calls, and the next listing must not wait for it.
	if s.removing.CompareAndSwap(false, true) {
		go func() {
			defer s.removing.Store(false)
			s.removeExpired(ctx, all)
		}()
	}
}

// notifyResponsible notifies the other hosts that are responsible for listed batches which nobody is known to run.
func (s *Batches) notifyResponsible(ctx context.Context, all []storedManifest) {
	var listed []batchowners.Manifest
	for i := range all {
		if s.store.ageOf(all[i]) < s.settings.Retention { // an older one is not readable, and may be complete
			listed = append(listed, all[i].forTracker())
		}
	}
	view := s.ownersView()
	byHost := map[string][]batchowners.Assignment{}
	s.store.withOwners(func(t *batchowners.Tracker) {
		for _, a := range t.Assignments(view, listed) {
			byHost[a.Host] = append(byHost[a.Host], a)
		}
	})
	for host, assignments := range byHost {
		go s.notifyAssigned(ctx, host, assignments)
	}
}

// notifyAssigned notifies a host of batches for which it is responsible.
func (s *Batches) notifyAssigned(ctx context.Context, host string, assignments []batchowners.Assignment) {
	var err error
	for _, a := range assignments {
		if err == nil { // else the host does not answer
			err = s.peerClient.TakeOver(ctx, host, a.ID)
		}
		level := slog.LevelDebug // the owner may have finished the batch
		if a.OwnerGone {
			level = slog.LevelInfo
		}
		s.log.Log(ctx, level, "Open batch is not run by its owner", "batch", a.ID, "owner", a.Owner, "owner_gone", a.OwnerGone,
			"claim_age_ms", a.ClaimAge.Milliseconds(), "notified", host, "err", err)
		if err != nil {
			s.store.withOwners(func(t *batchowners.Tracker) { t.NotifyFailed(a) })
		}
	}
}

// assign takes over a batch for which another host found this one responsible. If that fails, or if this host is not
// settled, Watch does so later.
func (s *Batches) assign(ctx context.Context, id string) {
	if s.activeByID(id) != nil {
		return
	}
	s.store.withOwners(func(t *batchowners.Tracker) { t.Assign(id) })
	if s.settled() {
		go s.tryTakeOver(ctx, id, "assigned by another host")
	}
}

// settled reports whether this host has run for long enough to know which hosts are alive.
func (s *Batches) settled() bool { return time.Since(s.startedAt) > batchowners.SettleTime }

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
	if !s.peers.IsHub() || s.draining() {
		return false
	}
	return presence.Successor(manifestListingTask, append(s.peers.Candidates(), s.candidate())) == s.settings.Host
}

// tryTakeOver takes over a batch unless this host already runs it, is taking it over or is
// stopping. It logs the outcome with further attributes.
func (s *Batches) tryTakeOver(ctx context.Context, id, reason string, attributes ...any) {
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
	select {
	case s.takeoverSlots <- struct{}{}:
		defer func() { <-s.takeoverSlots }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeWaitTimeout)
	defer cancel()
	log := s.log.With("batch", id, "reason", reason).With(attributes...)
	if err := s.takeOver(ctx, log, id); err != nil {
		log.Warn("Failed to take over batch", "err", err)
	}
}

// takeOver makes this host the owner of an open batch with the next epoch, unless its owner may run
// it, and continues the batch from its log. Callers wait until this host is settled, unless it is the owner already.
func (s *Batches) takeOver(ctx context.Context, log *slog.Logger, id string) error {
	m, err := s.store.manifest(ctx, id)
	if errors.Is(err, objectapi.ErrNotFound) {
		s.store.withOwners(func(t *batchowners.Tracker) { t.Forget(id) })
		return err
	}
	if err != nil {
		return err
	}
	if m.Ended || m.Removed {
		s.store.withOwners(func(t *batchowners.Tracker) { t.Ended(id) })
		return nil
	}
	if m.Owner != s.settings.Host {
		view, gone := s.ownersView(), false
		view.Settled = true // the callers have waited
		s.store.withOwners(func(t *batchowners.Tracker) {
			if gone = t.Gone(view, m.Owner, id); !gone {
				t.Unassign(id)
			}
		})
		if !gone {
			log.Info("Did not take over batch: its owner may run it", "owner", m.Owner, "epoch", m.Epoch)
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
	log.Info("Took over batch", "epoch", m.Epoch, "entries", len(entries))
	s.start(m, b, nil, entries)
	s.announce()
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
	var handovers sync.WaitGroup
	slots := make(chan struct{}, maxTakeovers)
	for _, b := range stopped {
		if !b.incomplete() {
			continue
		}
		slots <- struct{}{}
		handovers.Go(func() {
			defer func() { <-slots }()
			s.handOver(ctx, b.manifest.ID)
		})
	}
	handovers.Wait()
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
	for range takeoverCallAttempts {
		if err = s.peerClient.TakeOver(ctx, next.Owner, id); err == nil {
			break
		}
	}
	s.log.Info("Handed over batch", "batch", id, "owner", next.Owner, "epoch", next.Epoch, "err", err)
}
