package shardassignment

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Error is the class of this package's errors.
var Error = errs.Class("sharder")

// keyPrefix is the key prefix of the ownership records in the object API.
const keyPrefix = "shards/"

const (
	roundInterval = 100 * time.Millisecond
	// listInterval is the interval between reads of the records while the fleet does not
	// change.
	listInterval = 15 * time.Second
	// minListGap is the minimum time between two reads of the records. It doubles up to
	// maxListGap while reads find no changes.
	minListGap = 300 * time.Millisecond
	maxListGap = 5 * time.Second
	// listPageSize is the maximum number of records per page.
	listPageSize = 500
	callTimeout  = 4 * time.Second
)

// Manager acquires, serves and releases this host's shards. Its methods may be called from
// any goroutine.
type Manager struct {
	opt  Options
	wake chan struct{}

	mu            sync.Mutex
	table         *shards.Table
	view          *model.FleetView
	ownerships    map[string]*ownership
	epochContexts map[string]epochContext
	stopping      bool
	// recordsStale requests a read of the records; listedAt is when the last read ended.
	recordsStale bool
	listedAt     time.Time
	listGap      time.Duration
	// recordsLoaded is set after the first complete read of the records; nothing is
	// acquired before.
	recordsLoaded bool
}

// epochContext is a context that is cancelled when the record of its epoch is replaced or
// released.
type epochContext struct {
	epoch  model.Epoch
	ctx    context.Context
	cancel context.CancelFunc
}

// ownership is an owned shard and the goroutine that serves it.
type ownership struct {
	shard  Shard
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Manager; Run starts it.
func New(opt Options) *Manager {
	if opt.Timing == (shards.Timing{}) {
		opt.Timing = shards.DefaultTiming
	}
	self := shards.Record{Host: opt.Host, Incarnation: opt.Incarnation, Address: opt.Address}
	return &Manager{
		opt:           opt,
		wake:          make(chan struct{}, 1),
		table:         shards.NewTable(self, opt.Timing),
		ownerships:    map[string]*ownership{},
		epochContexts: map[string]epochContext{},
		recordsStale:  true,
		listGap:       minListGap,
	}
}

// Run reads the records and acquires shards until ctx ends. It then cancels the ownerships
// and waits for their goroutines.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		m.round(ctx)
		select {
		case <-ticker.C:
		case <-m.wake:
		case <-ctx.Done():
			m.stopAll()
			return
		}
	}
}

// round updates the fleet view, reads the records if that is due and acquires shards.
func (m *Manager) round(ctx context.Context) {
	m.updateFleet()
	if m.listDue() {
		m.list(ctx)
	}
	m.mu.Lock()
	var acquisitions []shards.Acquisition
	if m.recordsLoaded && !m.stopping {
		acquisitions = m.table.Plan(time.Now())
	}
	m.mu.Unlock()
	for _, acquisition := range acquisitions {
		m.acquire(ctx, acquisition)
	}
}

// updateFleet passes a changed fleet view to the table.
func (m *Manager) updateFleet() {
	view := m.opt.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	if view == nil || view == m.view || view.Config == nil {
		return
	}
	m.view = view
	now := time.Now()
	configured := m.opt.Shards(view)
	if len(configured) != len(m.table.Configured()) {
		m.recordsStale = true
	}
	if m.table.SetFleet(now, configured, candidates(m.opt.Candidates(view))) {
		m.listGap = minListGap
	}
	for id, own := range m.ownerships {
		if !slices.Contains(configured, id) {
			own.cancel()
		}
	}
}

func candidates(members []model.Member) []shards.Candidate {
	out := make([]shards.Candidate, 0, len(members))
	for _, m := range members {
		out = append(out, shards.Candidate{
			Host:     m.Host,
			Eligible: m.State == model.HostAlive || m.State == model.HostSuspect,
			Dead:     m.State == model.HostDead,
		})
	}
	return out
}

// reconcile starts or cancels the ownership of a shard to match its known record. m.mu
// must be held.
func (m *Manager) reconcile(ctx context.Context, id string) {
	r, _ := m.table.Record(id)
	if v, ok := m.epochContexts[id]; ok && (v.epoch != r.Epoch || r.Released) {
		v.cancel()
		delete(m.epochContexts, id)
	}
	own := m.ownerships[id]
	if own != nil && (r.Epoch > own.shard.Epoch || r.Released) {
		m.opt.Log.Info("Lost shard ownership", "shard", id, "epoch", own.shard.Epoch, "newer", r.Epoch)
		own.cancel()
		return
	}
	if own == nil && m.table.Owns(id) && !m.stopping {
		m.start(ctx, Shard{ID: id, Epoch: r.Epoch})
	}
}

// start starts the goroutine that serves an acquired shard. m.mu must be held.
func (m *Manager) start(ctx context.Context, shard Shard) {
	ownedCtx, cancel := context.WithCancel(ctx)
	own := &ownership{shard: shard, cancel: cancel, done: make(chan struct{})}
	m.ownerships[shard.ID] = own
	m.opt.Log.Info("Acquired shard", "shard", shard.ID, "epoch", shard.Epoch)
	go func() {
		defer close(own.done)
		m.opt.Acquired(ownedCtx, shard)
		m.endOwnership(ctx, own, ownedCtx.Err() == nil)
		cancel()
	}()
}

// endOwnership removes an ownership after Acquired returned. If Acquired returned
// without having been cancelled, the shard is released.
func (m *Manager) endOwnership(ctx context.Context, own *ownership, voluntary bool) {
	m.mu.Lock()
	delete(m.ownerships, own.shard.ID)
	// If this host acquired a newer epoch in the meantime, the next read of the records
	// starts serving it.
	m.recordsStale = true
	if voluntary {
		m.table.StartCooldown(time.Now(), own.shard.ID)
	}
	m.mu.Unlock()
	if voluntary {
		m.release(ctx, own.shard)
	}
	m.signal()
}

func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// stopAll cancels all ownerships and waits for their goroutines.
func (m *Manager) stopAll() {
	m.mu.Lock()
	var ownerships []*ownership
	for _, o := range m.ownerships {
		o.cancel()
		ownerships = append(ownerships, o)
	}
	m.mu.Unlock()
	for _, o := range ownerships {
		<-o.done
	}
}

// Release releases the shards for a planned stop. It acquires no more shards, cancels the
// ownerships, waits for their goroutines and marks the records as released. The records
// are written even if ctx has already ended; the waits and writes together take at most
// callTimeout.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	var ownerships []*ownership
	for _, o := range m.ownerships {
		o.cancel()
		ownerships = append(ownerships, o)
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	for _, o := range ownerships {
		select {
		case <-o.done:
			m.release(ctx, o.shard)
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}

// Lookup returns the owner of a shard as far as this host knows, and false if no owner is
// known.
func (m *Manager) Lookup(id string) (Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.table.Record(id)
	if !ok || r.Released {
		return Owner{}, false
	}
	own := m.ownerships[id]
	self := own != nil && own.shard.Epoch == r.Epoch
	return Owner{Host: r.Host, Address: r.Address, Epoch: r.Epoch, Self: self, EpochContext: m.contextOfEpoch(id, r.Epoch)}, true
}

// contextOfEpoch returns the context for the given epoch of a shard and cancels that of
// another epoch. m.mu must be held.
func (m *Manager) contextOfEpoch(id string, epoch model.Epoch) context.Context {
	v, ok := m.epochContexts[id]
	if !ok || v.epoch != epoch {
		if ok {
			v.cancel()
		}
		ctx, end := context.WithCancel(context.Background())
		v = epochContext{epoch, ctx, end}
		m.epochContexts[id] = v
	}
	return v.ctx
}

// ReportLost reports that this host, as the owner of a shard, found a newer epoch. The
// ownership is cancelled and the records are read again.
func (m *Manager) ReportLost(shard Shard) {
	m.mu.Lock()
	if own := m.ownerships[shard.ID]; own != nil && own.shard.Epoch == shard.Epoch {
		own.cancel()
	}
	m.recordsStale = true
	m.mu.Unlock()
	m.signal()
}

// ReportStale reports that the owner of a shard as returned by Lookup does not own it. The
// records of all shards are read again.
func (m *Manager) ReportStale(string) {
	m.mu.Lock()
	m.recordsStale = true
	m.mu.Unlock()
	m.signal()
}

// ReportCallFailed reports that a call to the owner of a shard under an epoch failed. If calls
// to an owner keep failing, it is replaced even if the fleet view shows it as alive.
func (m *Manager) ReportCallFailed(id string, epoch model.Epoch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.CallFailed(time.Now(), id, epoch)
	m.recordsStale = true
}

// ReportCallSucceeded reports that the owner of a shard answered a call.
func (m *Manager) ReportCallSucceeded(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.CallSucceeded(id)
}

// Status returns the known owner and epoch of each configured shard. The owner is empty if the
// shard was released.
func (m *Manager) Status() []wire.ShardStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.ShardStatus
	for _, id := range m.table.Configured() {
		r, _ := m.table.Record(id)
		st := wire.ShardStatus{Shard: id, Epoch: r.Epoch}
		if !r.Released {
			st.Owner = r.Host
		}
		out = append(out, st)
	}
	return out
}
