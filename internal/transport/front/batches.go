package front

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// storePatience bounds how long a caller's call may wait for the store.
	storePatience = 2500 * time.Millisecond
	// endTries is how often a batch's owner is told of its end.
	endTries = 2
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
