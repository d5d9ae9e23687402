package front

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
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
	// lapseHold is how long an entry that vanished around a disturbance of the store
	// is still used: living endpoints are back about two seconds after its return.
	lapseHold = 2500 * time.Millisecond
	// lapseWindow is how long after a disturbance a removal may be such a lapse.
	lapseWindow = 3 * time.Second
	// lapseTick is the pause between looks at entries that are held.
	lapseTick = 250 * time.Millisecond
	// firstConfigRetry is the pause between questions to peers while no configuration
	// is known.
	firstConfigRetry = 300 * time.Millisecond
)

// ConfigFollower puts each accepted configuration in force.
type ConfigFollower struct {
	store   *objectapi.Client
	decoder Decoder
	catalog *Catalog
	peers   *Peers
	calls   *PeerCalls
	log     *slog.Logger

	mu       sync.Mutex
	fetching bool
}

// Run follows the configuration until ctx ends.
func (f *ConfigFollower) Run(ctx context.Context) {
	prefix, _, _ := strings.Cut(f.decoder.ConfigKey(), "/")
	go f.askPeers(ctx)
	_ = f.store.Follow(ctx, prefix+"/", f)
}

// Reset implements objectapi.Handler.
func (f *ConfigFollower) Reset(objects []objectapi.Object) {
	for _, o := range objects {
		f.Change(objectapi.Event{Object: o})
	}
}

// Change implements objectapi.Handler.
func (f *ConfigFollower) Change(e objectapi.Event) {
	if e.Key == f.decoder.ConfigKey() && !e.Deleted {
		f.apply(e.Value, "store")
	}
}

func (f *ConfigFollower) apply(value []byte, from string) {
	config, err := f.decoder.Config(value)
	if err != nil {
		f.log.Error("A configuration cannot be read; the present one stays.", "err", err)
		return
	}
	if f.catalog.Apply(config, value) {
		f.log.Info("A configuration is in force.", "generation", config.Generation, "routes", len(config.Routes), "from", from)
	}
}

// Heard fetches the configuration when a peer has a newer one.
func (f *ConfigFollower) Heard(ctx context.Context, host string, generation uint64) {
	if generation <= f.catalog.Generation() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching {
		return
	}
	f.fetching = true
	go func() {
		f.fetch(ctx, host)
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
	}()
}

func (f *ConfigFollower) fetch(ctx context.Context, host string) {
	value, err := f.calls.Config(ctx, host)
	if err != nil {
		f.log.Warn("A peer's configuration cannot be read.", "host", host, "err", err)
		return
	}
	f.apply(value, host)
}

// askPeers gets the first configuration from a peer when the store does not answer.
func (f *ConfigFollower) askPeers(ctx context.Context) {
	for ctx.Err() == nil && f.catalog.Config() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(firstConfigRetry):
		}
		for _, p := range f.peers.Alive() {
			if p.Generation > 0 && f.catalog.Config() == nil {
				f.fetch(ctx, p.Host)
			}
		}
	}
}

// EndpointFollower keeps the fleet as the endpoints register themselves.
type EndpointFollower struct {
	store   *objectapi.Client
	path    *StorePath
	decoder Decoder
	fleet   *Fleet
	log     *slog.Logger

	mu   sync.Mutex
	held map[string]time.Time
	// foreign are entries that are no endpoints' own, each logged once.
	foreign map[string]bool
}

// Run follows the endpoints until ctx ends.
func (f *EndpointFollower) Run(ctx context.Context) {
	f.held, f.foreign = map[string]time.Time{}, map[string]bool{}
	go f.release(ctx)
	_ = f.store.Follow(ctx, f.decoder.EndpointPrefix(), f)
}

// Reset implements objectapi.Handler.
func (f *EndpointFollower) Reset(objects []objectapi.Object) {
	listed := map[string]bool{}
	for _, o := range objects {
		if id := f.put(o); id != "" {
			listed[id] = true
		}
	}
	var known []catalog.Endpoint
	f.fleet.With(func(t *placement.Table) { known = t.All() })
	for _, e := range known {
		if !listed[e.ID] {
			f.gone(e.ID)
		}
	}
}

// Change implements objectapi.Handler.
func (f *EndpointFollower) Change(e objectapi.Event) {
	if e.Deleted {
		f.gone(strings.TrimPrefix(e.Key, f.decoder.EndpointPrefix()))
		return
	}
	f.put(e.Object)
}

func (f *EndpointFollower) put(o objectapi.Object) string {
	e, err := f.decoder.Endpoint(o.Key, o.Value)
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.foreign[o.Key] {
			f.foreign[o.Key] = true
			f.log.Warn("An entry names no endpoint and is ignored.", "key", o.Key, "err", err)
		}
		return ""
	}
	f.mu.Lock()
	delete(f.held, e.ID)
	f.mu.Unlock()
	var before catalog.Endpoint
	var known bool
	f.fleet.With(func(t *placement.Table) { before, known = t.Get(e.ID) })
	if !known || !before.Same(&e) || before.Draining != e.Draining {
		f.log.Info("An endpoint is registered.", "endpoint", e.ID, "service", e.Service, "address", e.Address,
			"draining", e.Draining, "incarnation", e.Incarnation, "revision", o.Version)
	}
	f.fleet.Put(e)
	return e.ID
}

// gone removes an endpoint, or holds it when its entry may only have lapsed.
func (f *EndpointFollower) gone(id string) {
	if f.path.DisturbedWithin(lapseWindow) {
		f.mu.Lock()
		if _, ok := f.held[id]; !ok {
			f.held[id] = time.Now().Add(lapseHold)
		}
		f.mu.Unlock()
		return
	}
	f.remove(id, "entry removed")
}

func (f *EndpointFollower) remove(id, why string) {
	f.fleet.With(func(t *placement.Table) { t.Remove(id) })
	f.log.Info("An endpoint is gone.", "endpoint", id, "reason", why)
}

// release removes held endpoints whose entries did not come back while the store
// answered.
func (f *EndpointFollower) release(ctx context.Context) {
	ticker := time.NewTicker(lapseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range f.due() {
			f.remove(id, "entry lapsed")
		}
	}
}

func (f *EndpointFollower) due() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	disturbed := f.path.DisturbedWithin(lapseTick)
	var out []string
	for id, at := range f.held {
		switch {
		case disturbed:
			f.held[id] = time.Now().Add(lapseHold)
		case time.Now().After(at):
			delete(f.held, id)
			out = append(out, id)
		}
	}
	return out
}
