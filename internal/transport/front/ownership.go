package front

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

const (
	// ownershipCheckInterval is the interval at which a host checks in the store that it still
	// owns the batches that it runs, and that their trainers have not ended them.
	ownershipCheckInterval = 2200 * time.Millisecond
	// checksPerExactOne is the number of these checks of which one allows no stale answers. A
	// new owner and an end are visible in stale answers too, only later.
	checksPerExactOne = 4
	// maxOwnershipCheckAge is the maximum age of the last confirmation of the log's end when an owner
	// answers that a position has no result yet. It is shorter than the time within which all hosts
	// must agree.
	maxOwnershipCheckAge = 700 * time.Millisecond
	// sharedReadAge is how long before a caller asks for a confirmation the read may have begun
	// that it shares with others. The confirmation must not be too old once the read has ended.
	sharedReadAge = maxOwnershipCheckAge / 2
	// openRetryDelay is the pause after a failed read of the manifest of a batch that is about to start.
	openRetryDelay = 100 * time.Millisecond
)

// ownershipRead is a read of the manifests of the batches that this host runs.
type ownershipRead struct {
	began time.Time
	// batches are those whose manifests are read.
	batches map[string]*activeBatch
	// done is closed once the read has ended.
	done chan struct{}
	// err is the error of the read. outcomes has, for each batch, nil if this host still owns it,
	// errBatchNotActive if another host does, or objectapi.ErrNotFound if it has no manifest.
	err      error
	outcomes map[string]error
}

// WatchOwnership stops the batches at this host that another host has taken over or whose trainer
// has ended them, until ctx ends. Usually this host is told of both; see NotifyEnd and handOver.
func (s *Batches) WatchOwnership(ctx context.Context) {
	ticker := time.NewTicker(ownershipCheckInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.ownershipCheckDue() {
			continue
		}
		if n%checksPerExactOne != 0 {
			err := s.checkStaleManifests(ctx)
			if err == nil {
				continue
			}
			s.log.Debug("Failed to list stale manifests", "err", err)
		}
		s.mu.Lock()
		r := s.startOwnershipRead()
		s.mu.Unlock()
		<-r.done
		if r.err != nil && ctx.Err() == nil {
			s.log.Warn("Failed to check batch ownership", "err", r.err)
		}
	}
}

// ownershipCheckDue reports whether the ownership of any batch was not confirmed recently.
func (s *Batches) ownershipCheckDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.active {
		if time.Since(b.results.ownershipConfirmedAt()) > ownershipCheckInterval/2 {
			return true
		}
	}
	return false
}

// checkStaleManifests stops batches by manifests that may be outdated: an end and a higher epoch
// are final, whereas a manifest without them confirms nothing.
func (s *Batches) checkStaleManifests(ctx context.Context) error {
	s.mu.Lock()
	active := maps.Clone(s.active)
	s.mu.Unlock()
	manifests, err := s.store.staleManifests(ctx, slices.Collect(maps.Keys(active)))
	if err != nil {
		return err
	}
	for id, b := range active {
		m, ok := manifests[id]
		switch {
		case !ok:
		case m.Epoch > b.manifest.Epoch && m.Owner != s.settings.Host:
			b.stop("another host owns the batch")
		case m.Ended:
			s.stopEnded(id)
		}
	}
	return nil
}

// joinOwnershipRead returns a read that includes the given batch: the last one if it began within
// sharedReadAge, else a new one.
func (s *Batches) joinOwnershipRead(b *activeBatch) *ownershipRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.ownershipRead; r != nil && time.Since(r.began) <= sharedReadAge && r.batches[b.manifest.ID] == b {
		return r
	}
	return s.startOwnershipRead()
}

// startOwnershipRead starts a read of the manifests of all batches that this host runs. The caller
// holds the lock.
func (s *Batches) startOwnershipRead() *ownershipRead {
	r := &ownershipRead{began: time.Now(), batches: maps.Clone(s.active), done: make(chan struct{}), outcomes: map[string]error{}}
	s.ownershipRead = r
	go func() {
		defer close(r.done)
		ctx, cancel := context.WithTimeout(s.base, storeWaitTimeout)
		defer cancel()
		r.err = s.runOwnershipRead(ctx, r)
	}()
	return r
}

// runOwnershipRead confirms the ownership of the batches of a read. It stops those that another
// host owns and those that have ended.
func (s *Batches) runOwnershipRead(ctx context.Context, r *ownershipRead) error {
	manifests, err := s.store.manifests(ctx, slices.Collect(maps.Keys(r.batches)))
	if err != nil {
		return err
	}
	for id, b := range r.batches {
		m, ok := manifests[id]
		switch {
		case !ok:
			r.outcomes[id] = fmt.Errorf("manifest of batch %s: %w", id, objectapi.ErrNotFound)
			continue
		case m.Owner != s.settings.Host:
			r.outcomes[id] = errBatchNotActive
			b.stop("another host owns the batch")
			continue
		case m.Epoch != b.manifest.Epoch:
			b.results.setShared() // others have run the batch since, and it has returned
		}
		if m.Ended {
			s.stopEnded(id)
		}
		b.results.setOwnershipConfirmed(r.began)
	}
	return nil
}

// confirmOwnership confirms in the store that this host still owns a batch, as of at most
// sharedReadAge before the call. It stops the batch and returns errBatchNotActive if
// another host owns it. It also stops an ended batch.
func (s *Batches) confirmOwnership(ctx context.Context, b *activeBatch) error {
	id := b.manifest.ID
	r := s.joinOwnershipRead(b)
	select {
	case <-r.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	switch {
	case r.err != nil:
		return r.err
	case r.batches[id] != b:
		return errBatchNotActive // the batch has finished at this host
	}
	return r.outcomes[id]
}

// confirmOpen waits until a read of the manifest that began after the batch was registered at this host confirms
// that the batch is open and this host's, or stops the batch. An end that was recorded while its content or its log
// was read is in the store; the host that records a later one finds the batch registered. A batch whose manifest this
// host has just written needs no read.
func (a *activeBatch) confirmOpen() {
	if !a.resumed && time.Since(a.manifest.writtenAt) <= maxOwnershipCheckAge {
		return
	}
	for a.ctx.Err() == nil {
		err := a.parent.confirmOwnership(a.ctx, a)
		switch {
		case err == nil || a.ctx.Err() != nil:
			return
		case errors.Is(err, errBatchNotActive) || errors.Is(err, objectapi.ErrNotFound):
			a.stop("the batch has another owner or was removed")
			return
		}
		a.log.Warn("Failed to confirm that the batch is open", "err", err)
		clock.Sleep(a.ctx, openRetryDelay)
	}
}

// checkOwnership confirms the ownership of a batch and logs a failure to do so.
func (a *activeBatch) checkOwnership() {
	if err := a.parent.confirmOwnership(a.ctx, a); err != nil && !errors.Is(err, errBatchNotActive) && a.ctx.Err() == nil {
		a.log.Warn("Failed to check batch ownership", "err", err)
	}
}
