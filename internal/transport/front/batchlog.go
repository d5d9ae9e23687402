package front

import (
	"context"
	"errors"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// flushInterval is how long results are collected into one log entry, unless they
	// complete what the trainer waits for. A trainer that receives a few results polls
	// again only after a pause, so fewer and larger entries reach it sooner.
	flushInterval = 500 * time.Millisecond
	// appendRetryDelay is the pause after a failed append.
	appendRetryDelay = 250 * time.Millisecond
)

// flush passes the run's new results to writeLog, and asks it to write immediately when
// they are the last that the trainer waits for.
func (a *activeBatch) flush() {
	results := a.run.TakeResults()
	if len(results) == 0 {
		return
	}
	for _, r := range results {
		if r.Outcome == batches.Completed {
			a.unlogged[r.ID] = r
		}
	}
	if a.run.Satisfied() {
		select {
		case a.flushNow <- struct{}{}:
		default:
		}
	}
	a.pending <- results // never blocks: the buffer holds every sample's result
}

// writeLog appends the pending results to the log, several to an entry, until the channel
// is closed. It returns early when ctx ends, or when the batch is stopped during a
// store outage.
func (a *activeBatch) writeLog(ctx context.Context) {
	var queue []batches.Result
	for results := range a.pending {
		queue = append(queue, results...)
		queue = a.collect(queue)
		for len(queue) > 0 {
			queue = a.appendEntry(ctx, queue)
			if ctx.Err() != nil || a.stopped.Load() && a.parent.outage() > 0 {
				return
			}
		}
	}
}

// collect waits up to flushInterval for more results, so that they share one log entry.
func (a *activeBatch) collect(queue []batches.Result) []batches.Result {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case more, ok := <-a.pending:
			if !ok {
				return queue
			}
			queue = append(queue, more...)
		case <-timer.C:
			return queue
		case <-a.flushNow:
			return a.drainPending(queue)
		}
	}
}

// drainPending adds the results that are already pending, without waiting.
func (a *activeBatch) drainPending(queue []batches.Result) []batches.Result {
	for {
		select {
		case more, ok := <-a.pending:
			if !ok {
				return queue
			}
			queue = append(queue, more...)
		default:
			return queue
		}
	}
}

// seal appends an entry that closes the log of an ended batch to further results.
func (a *activeBatch) seal(ctx context.Context) {
	for ctx.Err() == nil {
		number, entry := a.results.beginSeal(time.Now())
		if entry == nil {
			return
		}
		err := a.parent.store.append(ctx, a.manifest.ID, number, *entry)
		if err == nil {
			a.results.add(number, *entry)
			return
		}
		a.results.endAppend(number, err)
		if errors.Is(err, objectapi.ErrConflict) {
			if _, err = a.addStored(ctx, number); err == nil {
				continue
			}
		}
		a.log.Warn("Failed to seal batch log; later reads use the store", "entry", number, "err", err)
		return
	}
}

// appendEntry appends as many results as fit in one log entry and returns the rest. When
// the append fails or another host has written the entry, it returns all results that the
// log does not contain.
func (a *activeBatch) appendEntry(ctx context.Context, queue []batches.Result) []batches.Result {
	startTime := time.Now()
	number, entry, rest := a.results.beginAppend(startTime, queue)
	if entry == nil {
		return nil
	}
	queue = slices.Concat(entry.Results, rest)
	err := a.parent.store.append(ctx, a.manifest.ID, number, *entry)
	if err == nil {
		a.results.add(number, *entry)
		a.results.setAppended(startTime)
		a.log.Info("Appended results to batch log", "entry", number, "first", entry.First, "count", len(entry.Results), "took_ms", time.Since(startTime).Milliseconds())
		return rest
	}
	a.results.endAppend(number, err)
	if errors.Is(err, objectapi.ErrConflict) {
		if _, err = a.addStored(ctx, number); err == nil {
			return queue
		}
	}
	a.log.Warn("Failed to append results to batch log", "entry", number, "err", err)
	select {
	case <-ctx.Done():
	case <-time.After(appendRetryDelay):
	}
	return queue
}

// addStored adds an entry of the log in the store to the copy. The entry is one of another host, or one
// that this host appended without getting the answer.
func (a *activeBatch) addStored(ctx context.Context, number int) (batches.LogEntry, error) {
	e, err := a.parent.store.entry(ctx, a.manifest.ID, number)
	if err == nil && a.results.add(number, e) {
		a.log.Warn("Found entry in batch log that this host has not confirmed", "entry", number, "first", e.First, "count", len(e.Results))
		go a.checkOwnership()
	}
	return e, err
}
