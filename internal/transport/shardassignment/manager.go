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
	held          map[string]*ownership
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
	epoch model.Epoch
	ctx   context.Context
	end   context.CancelFunc
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
		held:          map[string]*ownership{},
		epochContexts: map[string]epochContext{},
		recordsStale:  true,
		listGap:       minListGap,
	}
}

// Run reads the records and acquires shards until ctx ends. It then cancels the ownerships
// and waits for their goroutines.
func (s *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		s.round(ctx)
		select {
		case <-ticker.C:
		case <-s.wake:
		case <-ctx.Done():
			s.stopAll()
			return
		}
	}
}

func (s *Manager) round(ctx context.Context) {
	s.updateFleet()
	if s.listDue() {
		s.list(ctx)
	}
	s.mu.Lock()
	var acquisitions []shards.Acquisition
	if s.recordsLoaded && !s.stopping {
		acquisitions = s.table.Plan(time.Now())
	}
	s.mu.Unlock()
	for _, acquisition := range acquisitions {
		s.acquire(ctx, acquisition)
	}
}

// updateFleet passes a changed fleet view to the table.
func (s *Manager) updateFleet() {
	view := s.opt.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if view == nil || view == s.view || view.Config == nil {
		return
	}
	s.view = view
	now := time.Now()
	wanted := s.opt.Shards(view)
	if len(wanted) != len(s.table.Wanted()) {
		s.recordsStale = true
	}
	if s.table.SetFleet(now, wanted, candidates(s.opt.Candidates(view))) {
		s.listGap = minListGap
	}
	for id, own := range s.held {
		if !slices.Contains(wanted, id) {
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

// reconcile starts or cancels the ownership of a shard to match its known record. s.mu
// must be held.
func (s *Manager) reconcile(ctx context.Context, id string) {
	r, _ := s.table.Record(id)
	if v, ok := s.epochContexts[id]; ok && (v.epoch != r.Epoch || r.Released) {
		v.end()
		delete(s.epochContexts, id)
	}
	own := s.held[id]
	if own != nil && (r.Epoch > own.shard.Epoch || r.Released) {
		s.opt.Log.Info("Lost shard ownership", "shard", id, "epoch", own.shard.Epoch, "newer", r.Epoch)
		own.cancel()
		return
	}
	if own == nil && s.table.Owns(id) && !s.stopping {
		s.start(ctx, Shard{ID: id, Epoch: r.Epoch})
	}
}

// start starts the goroutine that serves an acquired shard. s.mu must be held.
func (s *Manager) start(ctx context.Context, shard Shard) {
	ownedCtx, cancel := context.WithCancel(ctx)
	own := &ownership{shard: shard, cancel: cancel, done: make(chan struct{})}
	s.held[shard.ID] = own
	s.opt.Log.Info("Acquired shard", "shard", shard.ID, "epoch", shard.Epoch)
	go func() {
		defer close(own.done)
		s.opt.Acquired(ownedCtx, shard)
		s.finishOwnership(ctx, own, ownedCtx.Err() == nil)
		cancel()
	}()
}

// finishOwnership removes an ownership after Acquired returned. If Acquired returned
// without having been cancelled, the shard is released.
func (s *Manager) finishOwnership(ctx context.Context, own *ownership, voluntary bool) {
	s.mu.Lock()
	delete(s.held, own.shard.ID)
	// If this host acquired a newer epoch in the meantime, the next read of the records
	// starts it.
	s.recordsStale = true
	if voluntary {
		s.table.StartCooldown(time.Now(), own.shard.ID)
	}
	s.mu.Unlock()
	if voluntary {
		s.release(ctx, own.shard)
	}
	s.signal()
}

func (s *Manager) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Manager) stopAll() {
	s.mu.Lock()
	var ownerships []*ownership
	for _, o := range s.held {
		o.cancel()
		ownerships = append(ownerships, o)
	}
	s.mu.Unlock()
	for _, o := range ownerships {
		<-o.done
	}
}

// Release releases the shards for a planned stop. It acquires no more shards, cancels the
// ownerships, waits for their goroutines and marks the records as released. The records
// are written even if ctx has already ended; the waits and writes together take at most
// callTimeout.
func (s *Manager) Release(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	var ownerships []*ownership
	for _, o := range s.held {
		o.cancel()
		ownerships = append(ownerships, o)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	for _, o := range ownerships {
		select {
		case <-o.done:
			s.release(ctx, o.shard)
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}

// Lookup returns the owner of a shard as far as this host knows, and false if no owner is
// known.
func (s *Manager) Lookup(id string) (Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.table.Record(id)
	if !ok || r.Released {
		return Owner{}, false
	}
	own := s.held[id]
	self := own != nil && own.shard.Epoch == r.Epoch
	return Owner{Host: r.Host, Address: r.Address, Epoch: r.Epoch, Self: self, Valid: s.contextOfEpoch(id, r.Epoch)}, true
}

// contextOfEpoch returns the context for the given epoch of a shard and cancels that of
// another epoch. s.mu must be held.
func (s *Manager) contextOfEpoch(id string, epoch model.Epoch) context.Context {
	v, ok := s.epochContexts[id]
	if !ok || v.epoch != epoch {
		if ok {
			v.end()
		}
		ctx, end := context.WithCancel(context.Background())
		v = epochContext{epoch, ctx, end}
		s.epochContexts[id] = v
	}
	return v.ctx
}

// ReportLost reports that this host, as the owner of a shard, found a newer epoch. The ownership
// is cancelled and the records are read again.
func (s *Manager) ReportLost(shard Shard) {
	s.mu.Lock()
	if own := s.held[shard.ID]; own != nil && own.shard.Epoch == shard.Epoch {
		own.cancel()
	}
	s.recordsStale = true
	s.mu.Unlock()
	s.signal()
}

// ReportStale reports that the owner returned by Lookup does not own the shard. The records are
// read again.
func (s *Manager) ReportStale(string) {
	s.mu.Lock()
	s.recordsStale = true
	s.mu.Unlock()
	s.signal()
}

// ReportCallFailed reports that a call to the owner of a shard failed. An owner whose calls keep
// failing is replaced even if the fleet view considers it alive.
func (s *Manager) ReportCallFailed(id string, epoch model.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.CallFailed(time.Now(), id, epoch)
	s.recordsStale = true
}

// ReportCallSucceeded reports that the owner of a shard answered a call.
func (s *Manager) ReportCallSucceeded(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.CallSucceeded(id)
}

// Status returns the known owner and epoch of each required shard.
func (s *Manager) Status() []wire.ShardStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.ShardStatus
	for _, id := range s.table.Wanted() {
		r, _ := s.table.Record(id)
		st := wire.ShardStatus{Shard: id, Epoch: r.Epoch}
		if !r.Released {
			st.Holder = r.Host
		}
		out = append(out, st)
	}
	return out
}
