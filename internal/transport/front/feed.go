package front

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// Decoder reads the objects that others write to the store.
type Decoder interface {
	ConfigKey() string
	EndpointPrefix() string
	ModelPrefix() string
	StoreRemovalPrefix() string
	Config(value []byte) (*catalog.Config, error)
	Endpoint(key string, value []byte) (catalog.Endpoint, error)
	ModelVersion(key string, value []byte) (model string, version int, err error)
	// RemovalDone is the status of a store host that holds nothing any more.
	RemovalDone() any
}

const (
	// endpointPoll is the pause between readings of the endpoints by the host that
	// reads for all: draining endpoints must get no new work within some seconds, and a
	// store that drops its history leaves watches without events for that long.
	endpointPoll = 450 * time.Millisecond
	// configPoll is that pause for the configuration, well below the time in which an
	// accepted one must be in force.
	configPoll = 900 * time.Millisecond
	// staleAfter is the age of the newest known reading at which any host reads itself;
	// staleStep spreads the hosts that do.
	staleAfter = 1100 * time.Millisecond
	staleStep  = 100 * time.Millisecond
	// feedTick is the pause between looks at the age of what is known.
	feedTick = 50 * time.Millisecond
	// fetchSlack is how much newer a peer's reading must be to be of use.
	fetchSlack = 100 * time.Millisecond
	// lapseAfter is the time without any host's reading after which entries may have
	// lapsed: endpoints report every 1.2 s and lapse after three reports.
	lapseAfter = 2200 * time.Millisecond
	// lapseHold is how long an endpoint whose entry vanished while the store was away
	// is still used: living endpoints are back about two seconds after its return.
	lapseHold = 2500 * time.Millisecond
	// lapseWindow is how long after the store's return a removal may be such a lapse.
	lapseWindow = 3 * time.Second
	// feedSubject ranks the hosts as readers of the store.
	feedSubject = "feed"
)

// feedState is what one host read for all.
type feedState struct {
	// Config is the configuration as it was stored, compressed; empty when the asker has
	// the same generation.
	Config    []byte             `json:"config"`
	Endpoints []catalog.Endpoint `json:"endpoints"`
	// AgeMs is how old the reading of the endpoints is, in milliseconds; negative when
	// there was none.
	AgeMs int64 `json:"age_ms"`
}

// feedDeps is what a Feed needs of the host.
type feedDeps struct {
	store    *objectapi.Client
	path     *StorePath
	decoder  Decoder
	catalog  *Catalog
	fleet    *Fleet
	calls    *PeerCalls
	announce func()
	// rank is this host's place among those that may read, zero for the first.
	rank func() int
	log  *slog.Logger
}

// Feed keeps the configuration and the endpoints as the store holds them. One host
// reads the store and the others take what it read; any host reads itself when
// nobody's reading is fresh.
type Feed struct {
	feedDeps

	mu sync.Mutex
	// endpointsAt and configAt are the boot times at which what is known was read from
	// the store, by this host or another; zero before the first reading.
	endpointsAt time.Duration
	configAt    time.Duration
	digest      uint64
	// lapsesUntil is the end of the time in which a missing entry may have lapsed.
	lapsesUntil time.Time
	// held are endpoints whose entries may only have lapsed, with the end of that doubt.
	held map[string]time.Time
	// foreign are entries that are no endpoints' own, each logged once.
	foreign  map[string]bool
	fetching bool
}

// NewFeed returns a feed that knows nothing yet.
func NewFeed(d feedDeps) *Feed {
	return &Feed{feedDeps: d, held: map[string]time.Time{}, foreign: map[string]bool{}}
}

// Run reads the store when it falls to this host, until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var endpointsAt, configAt time.Time
	ticker := time.NewTicker(feedTick)
	defer ticker.Stop()
	for {
		if f.due(endpointsAt) {
			withConfig := time.Since(configAt) >= configPoll-feedTick || f.catalog.Config() == nil
			endpointsAt = time.Now()
			if f.read(ctx, withConfig) && withConfig {
				configAt = endpointsAt
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due reports whether this host should read the store now.
func (f *Feed) due(last time.Time) bool {
	if time.Since(last) < endpointPoll-feedTick/2 {
		return false
	}
	rank := f.rank()
	if rank == 0 {
		return true
	}
	f.mu.Lock()
	oldest := min(f.endpointsAt, f.configAt)
	f.mu.Unlock()
	return oldest == 0 || sinceBoot()-oldest > staleAfter+time.Duration(rank)*staleStep
}

// read takes the store's present state.
func (f *Feed) read(ctx context.Context, withConfig bool) bool {
	began := sinceBoot()
	if withConfig {
		o, err := f.store.Get(ctx, f.decoder.ConfigKey())
		if err != nil {
			if !errors.Is(err, objectapi.ErrNotFound) {
				f.log.Warn("The configuration cannot be read.", "err", err)
			}
			return false
		}
		f.apply(o.Value, "store")
		f.mu.Lock()
		f.configAt = max(f.configAt, began)
		f.mu.Unlock()
	}
	var objects []objectapi.Object
	after := ""
	for {
		page, err := f.store.List(ctx, f.decoder.EndpointPrefix(), after, 0)
		if err != nil {
			f.log.Warn("The endpoints cannot be listed.", "err", err)
			return false
		}
		objects = append(objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			break
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
	f.take(f.decode(objects), began)
	return true
}

func (f *Feed) apply(value []byte, from string) {
	config, err := f.decoder.Config(value)
	if err != nil {
		f.log.Error("A configuration cannot be read; the present one stays.", "err", err)
		return
	}
	compressed, err := compress(value)
	if err != nil {
		f.log.Error("A configuration cannot be compressed for peers.", "err", err)
	}
	if f.catalog.Apply(config, compressed) {
		f.log.Info("A configuration is in force.", "generation", config.Generation, "routes", len(config.Routes), "from", from)
		f.announce()
	}
}

// decode returns the endpoints among the objects. Others are logged once.
func (f *Feed) decode(objects []objectapi.Object) []catalog.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []catalog.Endpoint
	for _, o := range objects {
		e, err := f.decoder.Endpoint(o.Key, o.Value)
		if err != nil {
			if !f.foreign[o.Key] {
				f.foreign[o.Key] = true
				f.log.Warn("An entry names no endpoint and is ignored.", "key", o.Key, "err", err)
			}
			continue
		}
		out = append(out, e)
	}
	return out
}

// take puts a reading in force. An endpoint that vanished while nobody could read the
// store stays for a while: its entry may only have lapsed.
func (f *Feed) take(endpoints []catalog.Endpoint, readAt time.Duration) {
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
	}
	var known []catalog.Endpoint
	f.fleet.With(func(t *placement.Table) { known = t.All() })
	f.mu.Lock()
	if f.endpointsAt != 0 && readAt-f.endpointsAt > lapseAfter {
		f.lapsesUntil = time.Now().Add(lapseWindow)
	}
	mayLapse := time.Now().Before(f.lapsesUntil)
	for id := range listed {
		delete(f.held, id)
	}
	for _, e := range known {
		if listed[e.ID] {
			continue
		}
		until, ok := f.held[e.ID]
		if !ok && mayLapse {
			until, ok = time.Now().Add(lapseHold), true
			f.held[e.ID] = until
		}
		if ok && time.Now().Before(until) {
			endpoints = append(endpoints, e)
			continue
		}
		delete(f.held, e.ID)
	}
	f.mu.Unlock()
	f.replace(endpoints, readAt)
}

// replace makes endpoints the whole fleet.
func (f *Feed) replace(endpoints []catalog.Endpoint, readAt time.Duration) {
	slices.SortFunc(endpoints, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	digest := digestOf(endpoints)
	f.mu.Lock()
	f.endpointsAt = max(f.endpointsAt, readAt)
	changed := digest != f.digest
	f.digest = digest
	f.mu.Unlock()
	if !changed {
		return
	}
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		listed[e.ID] = true
		f.put(e)
	}
	var known []catalog.Endpoint
	f.fleet.With(func(t *placement.Table) { known = t.All() })
	for _, e := range known {
		if !listed[e.ID] {
			f.fleet.With(func(t *placement.Table) { t.Remove(e.ID) })
			f.log.Info("An endpoint is gone.", "endpoint", e.ID)
		}
	}
	f.announce()
}

func (f *Feed) put(e *catalog.Endpoint) {
	var before catalog.Endpoint
	var known bool
	f.fleet.With(func(t *placement.Table) { before, known = t.Get(e.ID) })
	if !known || !before.Same(e) || before.Draining != e.Draining {
		f.log.Info("An endpoint is registered.", "endpoint", e.ID, "service", e.Service, "address", e.Address,
			"draining", e.Draining, "incarnation", e.Incarnation)
	}
	f.fleet.Put(*e)
}

// digestOf tells readings apart.
func digestOf(endpoints []catalog.Endpoint) uint64 {
	b, err := canonical.Marshal(endpoints)
	if err != nil {
		return 0 // plain values always encode
	}
	return xxhash.Sum64(b)
}

// age returns how long ago a reading was, in milliseconds; negative is never.
func age(at time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (sinceBoot() - at).Milliseconds()
}

// readAt is the inverse of age.
func readAt(ageMs int64) time.Duration {
	if ageMs < 0 {
		return 0
	}
	return sinceBoot() - time.Duration(ageMs)*time.Millisecond
}

// Describe tells peers what this host knows and how fresh that is.
func (f *Feed) Describe(h *presence.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.EndpointsDigest, h.EndpointsAgeMs, h.ConfigAgeMs = f.digest, age(f.endpointsAt), age(f.configAt)
}

// Heard takes a peer's knowledge when it is newer.
func (f *Feed) Heard(ctx context.Context, h presence.Heartbeat) {
	endpointsAt, configAt := readAt(h.EndpointsAgeMs), readAt(h.ConfigAgeMs)
	generation := f.catalog.Generation()
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.Generation == generation {
		f.configAt = max(f.configAt, configAt)
	}
	newer := endpointsAt > f.endpointsAt+fetchSlack
	if newer && h.EndpointsDigest == f.digest {
		f.endpointsAt = endpointsAt
		newer = false
	}
	if (newer || h.Generation > generation) && !f.fetching {
		f.fetching = true
		go f.fetch(ctx, h.Host)
	}
}

func (f *Feed) fetch(ctx context.Context, host string) {
	defer func() {
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()
	state, err := f.calls.Feed(ctx, host, f.catalog.Generation())
	if err != nil {
		f.log.Warn("A peer's reading of the store cannot be had.", "host", host, "err", err)
		return
	}
	if len(state.Config) > 0 {
		value, err := decompress(state.Config)
		if err != nil {
			f.log.Warn("A peer's configuration cannot be decompressed.", "host", host, "err", err)
			return
		}
		f.apply(value, host)
	}
	at := readAt(state.AgeMs)
	f.mu.Lock()
	newer := at > f.endpointsAt+fetchSlack
	f.mu.Unlock()
	if newer {
		f.replace(state.Endpoints, at)
	}
}

// State returns what this host knows, for a peer that has the generation have.
func (f *Feed) State(have uint64) feedState {
	var s feedState
	if f.catalog.Generation() != have {
		s.Config = f.catalog.Compressed()
	}
	f.mu.Lock()
	s.AgeMs = age(f.endpointsAt)
	f.mu.Unlock()
	f.fleet.With(func(t *placement.Table) { s.Endpoints = t.All() })
	return s
}

// compress packs a configuration: one of a thousand routes goes to all hosts at once.
func compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), objectapi.MaxValueBytes))
}
