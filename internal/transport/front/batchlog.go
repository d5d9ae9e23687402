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
	// flushEvery is how long results are gathered for one entry of a log, unless they are
	// the last that the trainer waits for. A trainer that is answered with a few results
	// asks again only after a pause, so fewer and larger entries reach it sooner.
	flushEvery = 500 * time.Millisecond
	// appendPause is the pause before an append that failed is tried again.
	appendPause = 250 * time.Millisecond
)

func (a *activeBatch) flush() {
	results := a.run.TakeResults()
	if len(results) == 0 {
		return
	}
	if a.run.Satisfied() {
		select {
		case a.urgent <- struct{}{}:
		default:
		}
	}
	a.pending <- results // has room for every sample's result
}

// writeLog appends results to the log in groups until there are no more.
func (a *activeBatch) writeLog(ctx context.Context) {
	var queue []batches.Result
	for results := range a.pending {
		queue = append(queue, results...)
		queue = a.gather(queue)
		for len(queue) > 0 {
			queue = a.appendSome(ctx, queue)
			if ctx.Err() != nil || a.stopped.Load() && a.owner.outage() > 0 {
				return
			}
		}
	}
}

// gather waits a little for more results, so that one entry takes them all.
func (a *activeBatch) gather(queue []batches.Result) []batches.Result {
	timer := time.NewTimer(flushEvery)
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
		case <-a.urgent:
			return a.drainPending(queue)
		}
	}
}

// drainPending takes the results that are there.
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

// seal appends the entry after which the log takes no more, once the batch is ended.
func (a *activeBatch) seal(ctx context.Context) {
	for !a.results.final() && ctx.Err() == nil {
		number, first := a.results.next()
		entry := batches.LogEntry{First: first, Sealed: true}
		err := a.owner.store.append(ctx, a.manifest.ID, number, entry)
		if errors.Is(err, objectapi.ErrConflict) {
			if entry, err = a.owner.store.entry(ctx, a.manifest.ID, number); err == nil {
				a.results.add(entry)
				continue
			}
		}
		if err != nil {
			a.log.Warn("The log could not be sealed; readings go to the store.", "entry", number, "err", err)
			return
		}
		a.results.add(entry)
	}
}

// appendSome appends as many results as fit in one entry and returns the rest.
func (a *activeBatch) appendSome(ctx context.Context, queue []batches.Result) []batches.Result {
	queue = slices.DeleteFunc(queue, func(r batches.Result) bool { return a.results.has(r.ID) })
	if len(queue) == 0 || a.results.final() {
		return nil
	}
	n, size := 0, 0
	for n < len(queue) && (n == 0 || size+queue[n].Size() <= maxPartBytes) {
		size += queue[n].Size()
		n++
	}
	number, first := a.results.next()
	entry := batches.LogEntry{First: first, Results: queue[:n:n]}
	began := time.Now()
	err := a.owner.store.append(ctx, a.manifest.ID, number, entry)
	switch {
	case err == nil:
		a.results.add(entry)
		a.results.setProved(began)
		a.log.Info("Results are listed.", "entry", number, "first", first, "count", n, "took_ms", time.Since(began).Milliseconds())
		return queue[n:]
	case errors.Is(err, objectapi.ErrConflict):
		other, err := a.owner.store.entry(ctx, a.manifest.ID, number)
		if err == nil {
			a.log.Warn("Another host appended to the log.", "entry", number, "count", len(other.Results))
			a.results.add(other)
			return queue
		}
	}
	a.log.Warn("Results could not be listed.", "entry", number, "err", err)
	select {
	case <-ctx.Done():
	case <-time.After(appendPause):
	}
	return queue
}
