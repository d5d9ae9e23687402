package front

import (
	"context"
	"errors"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
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
