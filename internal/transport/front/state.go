package front

import (
	"math/rand/v2"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/permits"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// Fleet is the host's table of endpoints. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	table   *placement.Table
	changed chan struct{}
	// permitsWanted receives a value when permits are wanted.
	permitsWanted chan struct{}
	// prompts has the metrics of prompts, nil if there are none.
	prompts *promptMetrics
}

// NewFleet returns an empty fleet for a host in zone.
func NewFleet(zone string) *Fleet {
	return &Fleet{table: placement.NewTable(zone), changed: make(chan struct{}), permitsWanted: make(chan struct{}, 1)}
}

// WithTable calls run with the table while holding the lock. run must not keep the table.
func (f *Fleet) WithTable(run func(t *placement.Table)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run(f.table)
}

// Pick selects an endpoint and records the start of a request to it. The caller must call
// End for it. Pick returns false if no endpoint meets the query.
func (f *Fleet) Pick(q placement.Query) (catalog.Endpoint, bool) {
	e, ok, _ := f.PickUnless(q, nil)
	return e, ok
}

// PickUnless is Pick. If reject is not nil and returns true for the selected endpoint, no request
// starts and rejected is true. reject is called with the lock held.
func (f *Fleet) PickUnless(q placement.Query, reject func(*placement.Table, time.Time, catalog.Endpoint) bool) (e catalog.Endpoint, ok, rejected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	e, ok = f.table.Pick(now, q, rand.Uint64())
	switch rejected = ok && reject != nil && reject(f.table, now, e); {
	case rejected:
		e, ok = catalog.Endpoint{}, false
	case ok:
		f.table.Begin(now, e)
	}
	// Also if e was rejected: the endpoint for which the caller waits may be one without a permit.
	if _, wanted := f.table.NextPermits(); wanted {
		select {
		case f.permitsWanted <- struct{}{}:
		default: // a value is pending already
		}
	}
	return e, ok, rejected
}

// PermitWait reports whether and for how long requests wait for permits; see
// placement.Table.PermitWait.
func (f *Fleet) PermitWait(q placement.Query) (wait time.Duration, atLimit bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.PermitWait(time.Now(), q)
}

// AddPermits records the answer to a request for permits of an endpoint.
func (f *Fleet) AddPermits(e catalog.Endpoint, g permits.Grant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.AddPermits(time.Now(), e, g) {
		f.notifyChanged()
	}
}

// RecordLimit records what an endpoint's answer says about its request limit. It reports whether
// the limit changed.
func (f *Fleet) RecordLimit(e catalog.Endpoint, n backend.Notice) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch now := time.Now(); {
	case n.Limited:
		changed = f.table.RecordLimit(now, e, n.LimitPerSecond)
	case n.Unlimited:
		changed = f.table.RecordUnlimited(now, e, n.SentAt)
	}
	if changed {
		f.notifyChanged()
	}
	return changed
}

// MergeLimits records the limits that a peer reported.
func (f *Fleet) MergeLimits(reports []permits.LimitReport) {
	if len(reports) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range reports {
		changed = f.table.MergeLimit(time.Now(), r) || changed
	}
	if changed {
		f.notifyChanged()
	}
}

// End records the outcome of a request. took is the time for an answer or event, or zero
// if it was not measured.
func (f *Fleet) End(e catalog.Endpoint, outcome placement.Outcome, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.table.End(now, e, outcome)
	f.table.RecordServiceTime(now, e.ID, took)
	f.notifyChanged()
}

// Changed returns a channel that is closed at the next change after which waiting work
// may be able to start.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Fleet) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Put adds or updates an endpoint.
func (f *Fleet) Put(e catalog.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Put(e)
	f.notifyChanged()
}

// Endpoints returns all known endpoints.
func (f *Fleet) Endpoints() (all []catalog.Endpoint) {
	f.WithTable(func(t *placement.Table) { all = t.All() })
	return all
}

// Peers is the host's view of the other hosts.
type Peers struct {
	mu    sync.Mutex
	table *presence.Table
}

// NewPeers returns an empty view for a host.
func NewPeers(self presence.Member, fullMeshHosts int) *Peers {
	return &Peers{table: presence.NewTable(self, fullMeshHosts)}
}

// Alive returns the peers that are alive.
func (p *Peers) Alive() []presence.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Peers(time.Now())
}

// Count returns the number of peers that are alive.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Count(time.Now())
}

// Known returns the number of hosts that may be running and how many of them are alive, including
// this one; see presence.Table.Known.
func (p *Peers) Known() (known, alive int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Known(time.Now())
}

// Get returns a peer if it is alive.
func (p *Peers) Get(host string) (presence.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Get(time.Now(), host)
}

// IsHub reports whether this host is a hub.
func (p *Peers) IsHub() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.IsHub()
}

// Candidates returns the live peers as candidates for a task.
func (p *Peers) Candidates() []presence.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Candidates(time.Now())
}

// Roster returns the live hosts including this one.
func (p *Peers) Roster() []presence.RosterEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Roster(time.Now())
}

// Catalog holds the configuration in force.
type Catalog struct {
	mu     sync.RWMutex
	config *catalog.Config
	// compressed is the stored form of the configuration, compressed for peers.
	compressed []byte
}

// Config returns the configuration in force, or nil before the first one.
func (c *Catalog) Config() *catalog.Config {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.config
}

// Generation returns the generation of the configuration in force, or zero before the
// first one.
func (c *Catalog) Generation() uint64 {
	if config := c.Config(); config != nil {
		return config.Generation
	}
	return 0
}

// Compressed returns the stored form of the configuration in force, compressed for peers.
func (c *Catalog) Compressed() []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.compressed
}

// Apply puts a configuration in force if its generation is higher than the current one.
// It reports whether it did.
func (c *Catalog) Apply(config *catalog.Config, compressed []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil && config.Generation <= c.config.Generation {
		return false
	}
	c.config, c.compressed = config, compressed
	return true
}
