package front

import (
	"context"
	"errors"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/storereads"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// staleReadTimeout bounds a stale read. A read that is not stale follows a failed one.
	staleReadTimeout = 200 * time.Millisecond
	// firstReadDelay is the time after the start of this process in which it does not read the
	// store. Live peers answer within a few milliseconds.
	firstReadDelay = 150 * time.Millisecond
	// feedTask is the task name for the succession order of the hosts that read the store.
	feedTask = "feed"
)

// Run reads the store whenever it is this host's turn, until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	var readAt, exactAt time.Duration
	started := sinceBoot()
	ticker := time.NewTicker(storereads.CheckInterval)
	defer ticker.Stop()
	for {
		// A new process first waits for its peers, one of which may have read the store already.
		if now := sinceBoot(); now-started > firstReadDelay && f.shouldRead(readAt) {
			readAt = now
			exactDue := exactAt == 0 || readAt-exactAt >= storereads.EndpointInterval-storereads.CheckInterval
			if exactDue || !f.path.Reachable() || f.mayBeMissing() || !f.readStale(ctx) {
				if f.readStore(ctx, f.configDue()) {
					exactAt = readAt
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// configDue reports whether the next exact read should include the configuration.
func (f *Feed) configDue() bool {
	return f.catalog.Config() == nil || f.schedule.ConfigDue(sinceBoot(), f.known(), f.proofs.Reading())
}

// shouldRead reports whether this host should read the store now. last is the boot time of its last read, zero if
// there is none.
func (f *Feed) shouldRead(last time.Duration) bool {
	return f.isHub() && f.schedule.Due(sinceBoot(), f.rank(), last, f.known())
}

// known returns the ages of this host's state.
func (f *Feed) known() storereads.Known {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storereads.Known{ConfigAt: f.configExact.Latest().At, EndpointsAt: f.endpointsExact.Latest().At, StartedAt: f.startedAt}
}

// readStore reads the endpoints, and the configuration if withConfig is set. It reports
// whether all reads succeeded.
func (f *Feed) readStore(ctx context.Context, withConfig bool) bool {
	began := sinceBoot()
	if withConfig {
		o, err := f.store.Get(ctx, f.decoder.ConfigKey())
		if err != nil {
			if !errors.Is(err, objectapi.ErrNotFound) {
				f.log.Warn("Failed to read configuration", "err", err)
			}
			return false
		}
		f.applyProven(o.Value, began)
	}
	requestedAt := sinceBoot()
	objects, revision, err := listAll(ctx, f.store, f.decoder.EndpointPrefix())
	if err != nil {
		f.log.Warn("Failed to list endpoints", "err", err)
		return false
	}
	f.recordRevision(revision)
	f.applyListing(f.decodeEndpoints(objects), requestedAt)
	f.mu.Lock()
	f.endpointsExact.Include(storereads.Read{ID: storereads.NewReadID(), At: requestedAt})
	f.mu.Unlock()
	f.announce() // the next readers start by the age of this read
	return true
}

// readStale reads the endpoints and the configuration from a replica of the store that may lag
// behind. It reports false, and changes nothing, if the listing is older than a known one or a
// read failed. An old configuration does no harm, since its generation is not higher. Neither read says how old the
// state is: a change since the last exact read may be missing from both.
func (f *Feed) readStale(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, staleReadTimeout)
	defer cancel()
	began := sinceBoot()
	objects, revision, err := listAll(ctx, f.stale, f.decoder.EndpointPrefix())
	if err != nil || !f.recordRevision(revision) {
		f.log.Debug("Stale listing of the endpoints not used", "revision", revision, "err", err)
		return false
	}
	f.applyListing(f.decodeEndpoints(objects), began)
	o, err := f.stale.Get(ctx, f.decoder.ConfigKey())
	if err != nil {
		f.log.Debug("Failed to read the configuration from a stale replica", "err", err)
		return false
	}
	f.applyConfig(o.Value, fromStore)
	f.recordConfigRead(began, false)
	return true
}

// recordRevision records the revision of a listing of the endpoints. It reports whether no
// later one is known.
func (f *Feed) recordRevision(revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.endpointsRevision {
		return false
	}
	f.endpointsRevision = revision
	return true
}

// recordConfigRead records a read of the configuration at a boot time, and whether it was exact.
func (f *Feed) recordConfigRead(at time.Duration, exact bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configReadAt = max(f.configReadAt, at)
	if exact {
		f.configExact.Include(storereads.Read{ID: storereads.NewReadID(), At: at})
	}
}

// reader is the part of objectapi.API that reads objects: the store, or its stale replica.
type reader interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	List(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error)
}

// listAll reads all pages of the objects with a prefix. It returns the lowest of their revisions.
func listAll(ctx context.Context, store reader, prefix string) (objects []objectapi.Object, revision uint64, err error) {
	after := ""
	for {
		page, err := store.List(ctx, prefix, after, 0)
		if err != nil {
			return nil, 0, err
		}
		if objects = append(objects, page.Objects...); after == "" {
			revision = page.Revision
		}
		revision = min(revision, page.Revision)
		if !page.More || len(page.Objects) == 0 {
			return objects, revision, nil
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
}
