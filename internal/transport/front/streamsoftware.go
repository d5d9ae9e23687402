package front

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/origins"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// streamSoftwareKey is the store object with the software versions at which streams of callers
	// may have begun. It exists only where a route has resumable streams.
	streamSoftwareKey = "software/streams"
	// streamSoftwareTask is the task name for the succession order of the host that keeps it.
	streamSoftwareTask = "stream-software"
	// streamSoftwareInterval is the time between two checks of the list by that host.
	streamSoftwareInterval = 5 * time.Second
	// streamSoftwareTimeout bounds the store calls that a new stream waits for.
	streamSoftwareTimeout = 400 * time.Millisecond
	// streamSoftwareReadSpacing is the minimum time between two reads of the record for streams that are
	// taken up again, of which there may be thousands after a restart of all hosts. They wait for the
	// next list of endpoints anyway, which is read about twice a second.
	streamSoftwareReadSpacing = 250 * time.Millisecond
	// maxKnownSoftwareAge is the age of the list of endpoints beyond which a host that knows a
	// recorded version reads the record again: the version may have been removed meanwhile, which
	// takes at least origins.Retention.
	maxKnownSoftwareAge = origins.Retention / 2
)

// streamSoftware keeps the record of the software versions at which streams may have begun in the
// store, where it outlives all hosts.
type streamSoftware struct {
	settings Settings
	store    *objectapi.Client
	catalog  *Catalog
	fleet    *Fleet
	feed     *Feed
	// rank returns this host's position in the succession order of a task.
	rank func(task string) int
	log  *slog.Logger

	mu sync.Mutex
	// known are the recorded origins, with the boot time at which each was last in service.
	known map[origins.Origin]time.Duration
	// read is the last read of the record that was started.
	read *softwareRead
	// updating serializes updates of the record by this host. It holds a value during an update.
	updating chan struct{}
}

// softwareRead is a read of the record that several requests share.
type softwareRead struct {
	sentAt time.Duration
	done   chan struct{}
	begun  origins.Begun
	err    error
}

// resumableServices returns the services that callers' resumable streams may reach.
func resumableServices(c *catalog.Config) map[string]bool {
	services := map[string]bool{}
	if c == nil {
		return services
	}
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Kind == catalog.KindStreaming && r.Resumable {
			for _, t := range r.Targets {
				services[t.Service] = true
			}
		}
	}
	return services
}

// inService returns the origins that new streams may have now.
func (s *streamSoftware) inService() []origins.Origin {
	services := resumableServices(s.catalog.Config())
	var out []origins.Origin
	if len(services) == 0 {
		return nil
	}
	for _, e := range s.fleet.Endpoints() {
		if o := (origins.Origin{Service: e.Service, Software: e.Software}); services[e.Service] && !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}

// Run keeps the record up to date while this host is the one to do so, until ctx ends.
func (s *streamSoftware) Run(ctx context.Context) {
	ticker := time.NewTicker(streamSoftwareInterval)
	defer ticker.Stop()
	var keeper *origins.Keeper
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.rank(streamSoftwareTask) != 0 || sinceBoot()-s.feed.EndpointsReadAt() > streamSoftwareInterval {
			keeper = nil // what it has seen is not complete
			continue
		}
		inService := s.inService()
		if len(inService) == 0 {
			continue
		}
		if keeper == nil {
			keeper = origins.NewKeeper(time.Now())
		}
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := s.update(ctx, func() bool { return true }, func(b origins.Begun) (origins.Begun, bool) { return keeper.Update(time.Now(), b, inService) })
		cancel()
		if err != nil && ctx.Err() == nil {
			s.log.Warn("Failed to update the software versions of streams", "err", err)
		}
	}
}

// record adds an origin to the record unless this host knows that it is there. It reports whether a
// stream may begin at it.
func (s *streamSoftware) record(ctx context.Context, o origins.Origin) bool {
	if s.isKnown(o) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, streamSoftwareTimeout)
	defer cancel()
	err := s.update(ctx, func() bool { return !s.isKnown(o) }, func(b origins.Begun) (origins.Begun, bool) { return b.With(o), !b.Has(o) })
	if err != nil {
		s.log.Warn("Failed to record the software version of a stream", "service", o.Service, "software", o.Software, "err", err)
		return false
	}
	return true
}

// isKnown reports whether an origin is certainly recorded: it was when this host last read the record,
// and has been in service since, so that nobody can have removed it.
func (s *streamSoftware) isKnown(o origins.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.known[o]
	if !ok || sinceBoot()-at > maxKnownSoftwareAge {
		return false
	}
	if listedAt := s.feed.EndpointsReadAt(); sinceBoot()-listedAt <= maxKnownSoftwareAge {
		s.known[o] = max(at, listedAt) // the caller's endpoint is in this list
	}
	return true
}

// update changes the record by a conditional write. It returns nil once the record is as change
// wants it. It does nothing if needed returns false after the updates before it have ended.
func (s *streamSoftware) update(ctx context.Context, needed func() bool, change func(origins.Begun) (next origins.Begun, changed bool)) error {
	select {
	case s.updating <- struct{}{}:
		defer func() { <-s.updating }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !needed() {
		return nil
	}
	for {
		readAt := sinceBoot()
		current, version, err := s.get(ctx)
		if err != nil {
			return err
		}
		next, changed := change(current)
		if changed {
			raw, err := cbor.Marshal(next)
			if err != nil {
				return err
			}
			_, err = s.store.Put(ctx, streamSoftwareKey, raw, version)
			if errors.Is(err, objectapi.ErrConflict) {
				continue // another host wrote; its version may already be enough
			}
			if err != nil {
				return err
			}
			s.log.Info("Software versions of streams recorded", "origins", next.Origins, "verified", next.Verified)
		}
		s.mu.Lock()
		s.known = map[origins.Origin]time.Duration{}
		for _, o := range next.Origins {
			s.known[o] = readAt
		}
		s.mu.Unlock()
		return nil
	}
}

// get reads the record. One that doesn't exist is verified if the fleet starts for the first time.
// A restarted fleet whose settings still say so has a record, since no stream begins without.
func (s *streamSoftware) get(ctx context.Context) (b origins.Begun, version uint64, err error) {
	o, err := s.store.Get(ctx, streamSoftwareKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return origins.Begun{Verified: s.settings.FirstStart}, 0, nil
	}
	if err != nil {
		return b, 0, err
	}
	return b, o.Version, decoding.Unmarshal(o.Value, &b)
}

// only returns the one origin that streams can have as of a boot time; ok is false if there may be
// several or if the store does not answer.
func (s *streamSoftware) only(ctx context.Context, since time.Duration) (o origins.Origin, ok bool) {
	r, err := s.readSince(ctx, since)
	if err != nil {
		return origins.Origin{}, false
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return origins.Origin{}, false
	}
	if r.err != nil {
		s.log.Info("Software versions of streams are not known", "err", r.err)
		return origins.Origin{}, false
	}
	return r.begun.Only()
}

// recorded returns what the last read of the record named; ok is false if it failed or has not ended.
func (s *streamSoftware) recorded() (b origins.Begun, ok bool) {
	s.mu.Lock()
	r := s.read
	s.mu.Unlock()
	if r == nil {
		return b, false
	}
	select {
	case <-r.done:
		return r.begun, r.err == nil
	default:
		return b, false
	}
}

// readSince returns a read of the record that was sent at or after a boot time. It starts one if there is
// none, but not within streamSoftwareReadSpacing after the last one.
func (s *streamSoftware) readSince(ctx context.Context, since time.Duration) (*softwareRead, error) {
	for {
		s.mu.Lock()
		r, now := s.read, sinceBoot()
		if r != nil && r.sentAt >= since {
			s.mu.Unlock()
			return r, nil
		}
		if r == nil || now-r.sentAt >= streamSoftwareReadSpacing {
			r = &softwareRead{sentAt: now, done: make(chan struct{})}
			s.read = r
			s.mu.Unlock()
			go s.readRecord(context.WithoutCancel(ctx), r)
			return r, nil
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(streamSoftwareReadSpacing - (now - r.sentAt)):
		}
	}
}

// readRecord reads the record for the requests that share r.
func (s *streamSoftware) readRecord(ctx context.Context, r *softwareRead) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(ctx, freshListTimeout)
	defer cancel()
	var version uint64
	if r.begun, version, r.err = s.get(ctx); r.err == nil && version == 0 {
		r.err = objectapi.ErrNotFound
	}
}
