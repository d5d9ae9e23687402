package front

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// saveEvery is the pause between savings of the text of unfinished samples, so that
	// their next owner need not generate it again.
	saveEvery = 1100 * time.Millisecond
	// savedEvents is the number of events from which a sample's text is worth saving:
	// about a second of an engine's work.
	savedEvents = 22
	// handedEvents is the same when the batch is handed over, which happens once.
	handedEvents = 5
)

// saveSoon saves unfinished samples without waiting for the store. It does nothing while
// an earlier saving is under way.
func (a *activeBatch) saveSoon() {
	samples := a.unfinished(savedEvents)
	if len(samples) == 0 || !a.saving.TryLock() {
		return
	}
	go func() {
		defer a.saving.Unlock()
		a.save(samples)
	}()
}

// saveNow saves unfinished samples before the batch is handed over.
func (a *activeBatch) saveNow() {
	samples := a.unfinished(handedEvents)
	a.saving.Lock()
	defer a.saving.Unlock()
	a.save(samples)
}

// unfinished returns the text of unfinished samples of some length, the longest first
// and as many as one object holds.
func (a *activeBatch) unfinished(minEvents int) []savedSample {
	var samples []savedSample
	for i, at := range a.attempts {
		at.mu.Lock()
		if at.partial.Events >= minEvents {
			samples = append(samples, savedSample{ID: a.run.Sample(i).ID, Partial: at.partial.Clone()})
		}
		at.mu.Unlock()
	}
	for i := range a.batch.Samples {
		if p, ok := a.run.WaitingPartial(i); ok && p.Events >= minEvents {
			samples = append(samples, savedSample{ID: a.run.Sample(i).ID, Partial: p})
		}
	}
	slices.SortFunc(samples, func(x, y savedSample) int { return cmp.Compare(y.Partial.Events, x.Partial.Events) })
	size := 0
	for n := range samples {
		if size += len(samples[n].Partial.Text); size > maxPartBytes {
			return samples[:n]
		}
	}
	return samples
}

// save replaces what is saved. The caller holds saving.
func (a *activeBatch) save(samples []savedSample) {
	if len(samples) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(a.owner.base, storePatience)
	defer cancel()
	version, err := a.owner.store.savePartials(ctx, a.manifest.ID, samples, a.savedVersion)
	if errors.Is(err, objectapi.ErrConflict) {
		// An earlier write whose answer was lost, or a former owner's.
		if _, a.savedVersion, err = a.owner.store.partials(ctx, a.manifest.ID); err == nil {
			version, err = a.owner.store.savePartials(ctx, a.manifest.ID, samples, a.savedVersion)
		}
	}
	if err != nil {
		a.log.Warn("Unfinished samples could not be saved.", "count", len(samples), "err", err)
		return
	}
	a.savedVersion = version
}

// restore takes up what an earlier owner saved.
func (a *activeBatch) restore() {
	if a.manifest.Epoch == 1 && !a.resumed {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, storePatience)
	defer cancel()
	samples, version, err := a.owner.store.partials(ctx, a.manifest.ID)
	if err != nil {
		a.log.Warn("Saved samples could not be read.", "err", err)
		return
	}
	a.savedVersion = version
	restored := 0
	for _, s := range samples {
		if a.run.Restore(s.ID, s.Partial) {
			restored++
		}
	}
	a.log.Info("Saved samples are continued.", "saved", len(samples), "continued", restored)
}
