package front

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/batchrun"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// saveInterval is the interval at which the text of samples without a logged result is saved,
	// so that the batch's next owner need not generate it again.
	saveInterval = 1100 * time.Millisecond
	// minSavedEvents is the minimum number of events of a sample to save: about a second of
	// an engine's work.
	minSavedEvents = 22
	// minHandoverEvents is the minimum when the batch is handed over. It is lower because a
	// handover saves only once.
	minHandoverEvents = 5
)

// saveAsync saves unfinished samples in the background, or only the age of the batch every
// ageSaveInterval if there are none. It does nothing while an earlier save is in progress.
func (a *activeBatch) saveAsync() {
	samples := a.unfinishedSamples(minSavedEvents)
	if len(samples) == 0 && a.savedAt.Sub(a.ageSavedAt) < ageSaveInterval || !a.saveMu.TryLock() {
		return
	}
	a.ageSavedAt = a.savedAt
	go func() {
		defer a.saveMu.Unlock()
		a.save(samples)
	}()
}

// saveForHandover saves unfinished samples before the batch is handed over.
func (a *activeBatch) saveForHandover() {
	samples := a.unfinishedSamples(minHandoverEvents)
	if len(samples) == 0 {
		return // the manifest that names the next owner has the age
	}
	a.saveMu.Lock()
	defer a.saveMu.Unlock()
	a.save(samples)
}

// unfinishedSamples returns the text of the samples with at least minEvents events whose
// results are not in the log, the longest first and as many as fit in one store object. It
// includes samples that are complete but not scored or not written: otherwise a successor
// would generate them from the start.
func (a *activeBatch) unfinishedSamples(minEvents int) []savedSample {
	var samples []savedSample
	add := func(s savedSample) {
		if s.Partial.Events >= minEvents {
			samples = append(samples, s)
		}
	}
	for i, at := range a.attempts {
		at.mu.Lock()
		add(savedSample{ID: a.run.Sample(i).ID, Partial: at.partial.Clone()})
		at.mu.Unlock()
	}
	for i := range a.batch.Samples {
		if p, complete, ok := a.run.UnfinishedOutput(i); ok {
			add(savedSample{ID: a.run.Sample(i).ID, Partial: p, Complete: complete})
		}
	}
	for id, r := range a.unlogged {
		if a.results.has(id) {
			delete(a.unlogged, id)
			continue
		}
		add(savedSample{ID: id, Complete: true, Partial: batchrun.Partial{
			Text: []byte(r.Text), Events: strings.Count(r.Text, "\n") + 1, Versions: r.Versions}})
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

// save replaces the batch's saved samples. The caller holds saveMu.
func (a *activeBatch) save(samples []savedSample) {
	ctx, cancel := context.WithTimeout(a.parent.base, storeWaitTimeout)
	defer cancel()
	version, err := a.parent.store.savePartials(ctx, a.manifest.ID, samples, a.partialsVersion)
	if errors.Is(err, objectapi.ErrConflict) {
		// The stored version is from a write whose answer was lost, or from a previous owner.
		if _, a.partialsVersion, err = a.parent.store.partials(ctx, a.manifest.ID); err == nil {
			version, err = a.parent.store.savePartials(ctx, a.manifest.ID, samples, a.partialsVersion)
		}
	}
	if err != nil {
		a.log.Warn("Failed to save unfinished samples", "count", len(samples), "err", err)
		return
	}
	a.partialsVersion = version
}

// restore loads the samples that a previous owner or process saved, so that the run
// continues them. It does nothing for a batch that has not run before.
func (a *activeBatch) restore() {
	if a.manifest.Epoch == 1 && !a.resumed {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, storeWaitTimeout)
	defer cancel()
	samples, version, err := a.parent.store.partials(ctx, a.manifest.ID)
	if err != nil {
		a.log.Warn("Failed to read saved samples", "err", err)
		return
	}
	a.partialsVersion = version
	a.acceptedBy = min(a.acceptedBy, a.parent.store.now()-a.parent.store.age(a.manifest.ID))
	restored := 0
	for _, s := range samples {
		if s.Complete {
			if i, ok := a.run.RestoreComplete(s.ID, s.Partial); ok {
				restored++
				if scoring := a.run.Sample(i).Scoring; scoring != nil {
					go a.score(i, scoring)
				}
			}
			continue
		}
		if a.run.Restore(s.ID, s.Partial) {
			restored++
		}
	}
	a.log.Info("Restored saved samples", "saved", len(samples), "continued", restored)
}
