package front

import (
	"context"
	"errors"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
)

const (
	// endNotifyAttempts is the number of attempts to notify a batch's owner that the trainer ended the batch,
	// before the trainer gets its answer.
	endNotifyAttempts = 2
	// endNotifyInterval is the pause between later attempts.
	endNotifyInterval = 250 * time.Millisecond
)

// End records in the manifest that the trainer wants no more results, and stops the
// batch at its owner. It is idempotent. Its errors have a result code.
//
// The owner does so if it can be reached, because it knows the manifest and need not read it.
func (t TeamBatches) End(ctx context.Context, id string) error {
	s := t.batches
	ctx, cancelWrites := s.untilHostStops(ctx)
	defer cancelWrites()
	ctx, cancel := context.WithTimeout(ctx, storeWaitTimeout)
	defer cancel()
	if s.endAtOwner(ctx, t.team, id) {
		return nil
	}
	for {
		m, err := s.readManifestFor(ctx, t.team, id)
		if err != nil {
			return err
		}
		if m.Ended {
			// The owner may have missed the first notification.
			s.notifyEnd(ctx, m.Owner, id)
			return nil
		}
		next := m.Manifest
		next.Ended = true
		stored, err := s.store.putManifest(ctx, next, m.version)
		if errors.Is(err, objectapi.ErrConflict) {
			continue
		}
		if err != nil {
			return codedError(resultcode.StorageUnknown, err.Error())
		}
		s.log.Info("Ended batch", "batch", id, "owner", stored.Owner)
		s.notifyEnd(ctx, stored.Owner, id)
		return nil
	}
}

// endAtOwner asks the host that probably runs a batch to record its end. It reports whether that
// host has done so; if not, it may have done so nevertheless.
func (s *Batches) endAtOwner(ctx context.Context, team, id string) bool {
	owner := ""
	if m, ok := s.store.cached(id); ok {
		owner = m.Owner
	} else if owners := s.currentOwners(); len(owners) > 0 {
		owner = owners[0]
	}
	switch owner {
	case "":
		return false
	case s.settings.Host:
		return s.endOwn(ctx, team, id) == nil
	}
	err := s.peerClient.RecordEnd(ctx, owner, team, id)
	if err != nil {
		s.log.Debug("Batch owner did not record the end", "batch", id, "owner", owner, "err", err)
	}
	return err == nil
}

// endOwn records the end of a batch that this host runs and that the team may access.
func (s *Batches) endOwn(ctx context.Context, team, id string) error {
	b := s.activeByID(id)
	if b == nil || !mayAccess(team, b.batch.Team) {
		return errBatchNotActive
	}
	next := b.manifest.Manifest
	next.Ended = true
	if _, err := s.store.putManifest(ctx, next, b.manifest.version); err != nil {
		return err // another host has changed the manifest, or the outcome is not known
	}
	s.log.Info("Ended batch", "batch", id, "owner", s.settings.Host)
	s.stopEnded(id)
	return nil
}

// notifyEnd notifies a batch's owner, which may be this host, that the trainer has ended the
// batch. If the owner does not answer, the notification is repeated in the background.
func (s *Batches) notifyEnd(ctx context.Context, owner, id string) {
	if owner == s.settings.Host {
		s.stopEnded(id)
		return
	}
	var err error
	for range endNotifyAttempts {
		if err = s.peerClient.NotifyEnd(ctx, owner, id); err == nil {
			return
		}
	}
	s.log.Warn("Failed to notify batch owner of the batch's end", "batch", id, "owner", owner, "err", err)
	go s.repeatEndNotification(owner, id)
}

// repeatEndNotification notifies a batch's owner of the end until it answers or has had the time to see the end in
// the store.
func (s *Batches) repeatEndNotification(owner, id string) {
	ctx, cancel := context.WithTimeout(s.base, checksPerExactOne*ownershipCheckInterval)
	defer cancel()
	for clock.Sleep(ctx, endNotifyInterval); ctx.Err() == nil; clock.Sleep(ctx, endNotifyInterval) {
		if s.peerClient.NotifyEnd(ctx, owner, id) == nil {
			return
		}
	}
}

// stopEnded stops a batch that the trainer has ended, if this host runs it, and keeps a takeover in progress
// from starting it.
func (s *Batches) stopEnded(id string) {
	s.store.markEnded(id)
	if b := s.activeByID(id); b != nil {
		b.ended.Store(true)
		b.stop("ended by the trainer")
	}
}
