package front

import (
	"context"
	"errors"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// readInterval is the time between reads of the endpoints by the host that reads the store
	// for all hosts. Draining endpoints must stop receiving new work within seconds. A watch
	// is not sufficient for that, because it may deliver no events for seconds after the
	// store has dropped its history.
	readInterval = 450 * time.Millisecond
	// endpointReadInterval is the time between the reads of the endpoints that are not stale.
	// The reads between them allow stale answers, which usually are current and cost the
	// store a tenth.
	endpointReadInterval = 900 * time.Millisecond
	// configReadInterval is the time between reads of the configuration, and maxStaleConfig
	// the time after which one must not be stale. Both are well below the time within which an
	// accepted configuration must be in force.
	configReadInterval = 900 * time.Millisecond
	maxStaleConfig     = 2 * configReadInterval
	// staleReadTimeout bounds a stale read. A read that is not stale follows a failed one.
	staleReadTimeout = 200 * time.Millisecond
	// maxReadAge is the age of the last known read of the store above which any host reads
	// the store itself. maxReadAgePerRank is added for each rank, so that the hosts do not
	// all start at the same time.
	maxReadAge        = 1100 * time.Millisecond
	maxReadAgePerRank = 100 * time.Millisecond
	// maxReaders is the number of first-ranked hosts that may read the store. When the store
	// returns after an outage, the state is old at every host; with a bound these do not all
	// read at once.
	maxReaders = 3
	// firstReadDelay is the time after the start of this process in which it does not read the
	// store. Live peers answer within a few milliseconds.
	firstReadDelay = 150 * time.Millisecond
	// feedInterval is the time between checks of the age of the last read.
	feedInterval = 50 * time.Millisecond
	// feedTask is the task name for the succession order of the hosts that read the store.
	feedTask = "feed"
)

// Run reads the store whenever it is this host's turn, until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	var readAt, endpointsAt, configAt time.Time
	started := time.Now()
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	for {
		// A new process first waits for its peers, one of which may have read the store already.
		if time.Since(started) > firstReadDelay && f.shouldRead(readAt) {
			readAt = time.Now()
			if readAt.Sub(endpointsAt) >= endpointReadInterval-feedInterval || !f.path.Reachable() || f.mayBeMissing() || !f.readStale(ctx) {
				withConfig := f.configDue() || readAt.Sub(configAt) >= f.maxConfigAge()-feedInterval
				if f.readStore(ctx, withConfig) {
					endpointsAt = readAt
					if withConfig {
						configAt = readAt
					}
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

// configDue reports whether no host has read the configuration for configReadInterval.
func (f *Feed) configDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Config() == nil || sinceBoot()-f.configReadAt >= configReadInterval-feedInterval
}

// shouldRead reports whether this host should read the store now. last is the time of its
// last read.
func (f *Feed) shouldRead(last time.Time) bool {
	if time.Since(last) < readInterval-feedInterval/2 {
		return false
	}
	if !f.isHub() {
		return false
	}
	rank := f.rank()
	if rank == 0 {
		return true
	}
	if rank >= maxReaders {
		return false
	}
	f.mu.Lock()
	oldest := max(min(f.endpointsReadAt, f.configReadAt), f.startedAt)
	f.mu.Unlock()
	return sinceBoot()-oldest > maxReadAge+time.Duration(rank)*maxReadAgePerRank
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
	return true
}

// readStale reads the endpoints and the configuration from a replica of the store that may lag
// behind. It reports false, and changes nothing, if the listing is older than a known one or a
// read failed. An old configuration does no harm, since its generation is not higher.
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
	f.recordConfigRead(began)
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

// recordConfigRead records a read of the configuration at a boot time.
func (f *Feed) recordConfigRead(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configReadAt = max(f.configReadAt, at)
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
