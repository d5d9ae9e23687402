package front

import (
	"context"
	"errors"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// targetPoll is the pause between readings of the named versions.
	targetPoll = 2 * time.Second
	// statusRetry is the pause before a status that could not be written is tried again.
	statusRetry = 500 * time.Millisecond
)

// pollTargets reads the named versions besides the watch, which may stay without
// events for seconds when the store drops its history.
func (w *Weights) pollTargets(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := w.store.List(ctx, w.decoder.ModelPrefix(), "", 0)
		if err != nil && ctx.Err() == nil {
			w.log.Warn("The named versions cannot be listed.", "err", err)
		}
		targetFollower{w}.Reset(page.Objects)
		select {
		case <-ctx.Done():
		case <-time.After(targetPoll):
		}
	}
}

// targetFollower takes the versions that trainers name.
type targetFollower struct{ w *Weights }

// Reset implements objectapi.Handler.
func (f targetFollower) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		f.Change(objectapi.Event{Object: o})
	}
}

// Change implements objectapi.Handler.
func (f targetFollower) Change(e objectapi.Event) {
	if e.Deleted {
		return
	}
	model, version, err := f.w.decoder.ModelVersion(e.Key, e.Value)
	if err != nil {
		f.w.log.Error("A model's version cannot be read.", "key", e.Key, "err", err)
		return
	}
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.w.plan.SetTarget(model, version) {
		f.w.log.Info("A version is named.", "model", model, "version", version)
	}
}

// removalFollower answers requests to empty a store host: it holds nothing of ours.
type removalFollower struct {
	w   *Weights
	ctx context.Context
}

// Reset implements objectapi.Handler.
func (f removalFollower) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		f.Change(objectapi.Event{Object: o})
	}
}

// Change implements objectapi.Handler.
func (f removalFollower) Change(e objectapi.Event) {
	if e.Deleted {
		return
	}
	host := strings.TrimPrefix(e.Key, f.w.decoder.StoreRemovalPrefix())
	go func() {
		for f.ctx.Err() == nil {
			err := f.w.statuses.PutStatus(f.ctx, e.Key, f.w.decoder.RemovalDone())
			f.w.log.Info("A store host may be removed.", "host", host, "err", err)
			if err == nil || errors.Is(err, objectapi.ErrNotFound) {
				return
			}
			select {
			case <-f.ctx.Done():
			case <-time.After(statusRetry):
			}
		}
	}()
}
