package front

import (
	"context"
	"errors"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// targetPollInterval is the time between listings of the target versions.
	targetPollInterval = 2 * time.Second
	// statusRetryDelay is the delay before a failed status update is retried.
	statusRetryDelay = 500 * time.Millisecond
)

// pollTargets lists the target versions periodically in addition to the watch, which may
// deliver no events for seconds after the store has dropped its history.
func (w *Weights) pollTargets(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := w.store.List(ctx, w.decoder.ModelPrefix(), "", 0)
		if err != nil && ctx.Err() == nil {
			w.log.Warn("Failed to list target versions", "err", err)
		}
		targetFollower{w}.Reset(page.Objects)
		select {
		case <-ctx.Done():
		case <-time.After(targetPollInterval):
		}
	}
}

// targetFollower applies the target versions that trainers set to the plan.
type targetFollower struct{ w *Weights }

// Reset implements objectapi.ChangeHandler.
func (f targetFollower) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		f.Change(objectapi.Event{Object: o})
	}
}

// Change implements objectapi.ChangeHandler.
func (f targetFollower) Change(e objectapi.Event) {
	if e.Deleted {
		return
	}
	model, version, err := f.w.decoder.ModelVersion(e.Key, e.Value)
	if err != nil {
		f.w.log.Error("Failed to decode target version", "key", e.Key, "err", err)
		return
	}
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.w.plan.SetTarget(model, version) {
		f.w.log.Info("Target version set", "model", model, "version", version)
	}
}

// removalFollower immediately confirms each planned removal of a store host, because store
// hosts hold no data of this service.
type removalFollower struct {
	w   *Weights
	ctx context.Context
}

// Reset implements objectapi.ChangeHandler.
func (f removalFollower) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		f.Change(objectapi.Event{Object: o})
	}
}

// Change implements objectapi.ChangeHandler.
func (f removalFollower) Change(e objectapi.Event) {
	if e.Deleted {
		return
	}
	host := strings.TrimPrefix(e.Key, f.w.decoder.StoreRemovalPrefix())
	go func() {
		for f.ctx.Err() == nil {
			err := f.w.statuses.PutStatus(f.ctx, e.Key, f.w.decoder.RemovalDone())
			f.w.log.Info("Store host removal confirmation sent", "host", host, "err", err)
			if err == nil || errors.Is(err, objectapi.ErrNotFound) {
				return
			}
			select {
			case <-f.ctx.Done():
			case <-time.After(statusRetryDelay):
			}
		}
	}()
}
