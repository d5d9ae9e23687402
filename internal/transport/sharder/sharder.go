package sharder

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

// keyPrefix is where the ownership objects lie.
const keyPrefix = "shards/"

const (
	tick = 100 * time.Millisecond
	// listEvery is the interval between two reads of the records in a quiet fleet.
	listEvery = 15 * time.Second
	// listGap is the least time between two reads, doubled up to listGapMax while
	// they show nothing new.
	listGap    = 300 * time.Millisecond
	listGapMax = 5 * time.Second
	// listPage bounds one page of records.
	listPage  = 500
	callLimit = 4 * time.Second
)

// Sharder keeps this host's shards. Its methods may be called from any goroutine.
type Sharder struct {
	opt  Options
	kick chan struct{}

	mu       sync.Mutex
	table    *shards.Table
	view     *model.FleetView
	held     map[string]*ownership
	valid    map[string]validity
	stopping bool
	// stale asks for a read of the records; listed is when the last one ended.
	stale  bool
	listed time.Time
	gap    time.Duration
	ready  bool
}

// validity is a context that ends with the record of an epoch.
type validity struct {
	epoch model.Epoch
	ctx   context.Context
	end   context.CancelFunc
}

// ownership is a shard held and the goroutine that serves it.
type ownership struct {
	shard  Shard
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Sharder; Run starts it.
func New(opt Options) *Sharder {
	if opt.Timing == (shards.Timing{}) {
		opt.Timing = shards.DefaultTiming
	}
	self := shards.Record{Host: opt.Host, Incarnation: opt.Incarnation, Address: opt.Address}
	return &Sharder{
		opt:   opt,
		kick:  make(chan struct{}, 1),
		table: shards.NewTable(self, opt.Timing),
		held:  map[string]*ownership{},
		valid: map[string]validity{},
		stale: true,
		gap:   listGap,
	}
}

// Run follows the records and takes what is due until ctx ends. Then it ends the
// ownerships and waits for their goroutines.
func (s *Sharder) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		s.round(ctx)
		select {
		case <-ticker.C:
		case <-s.kick:
		case <-ctx.Done():
			s.endAll()
			return
		}
	}
}

func (s *Sharder) round(ctx context.Context) {
	s.readFleet()
	if s.listDue() {
		s.list(ctx)
	}
	s.mu.Lock()
	var takes []shards.Acquisition
	if s.ready && !s.stopping {
		takes = s.table.Plan(time.Now())
	}
	s.mu.Unlock()
	for _, take := range takes {
		s.take(ctx, take)
	}
}

// readFleet hands a changed view to the table.
func (s *Sharder) readFleet() {
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
		s.stale = true
	}
	if s.table.SetFleet(now, wanted, candidates(s.opt.Candidates(view))) {
		s.gap = listGap
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

// reconcile makes the ownerships match the record known. It is called with mu held.
func (s *Sharder) reconcile(ctx context.Context, id string) {
	r, _ := s.table.Record(id)
	if v, ok := s.valid[id]; ok && (v.epoch != r.Epoch || r.Released) {
		v.end()
		delete(s.valid, id)
	}
	own := s.held[id]
	if own != nil && (r.Epoch > own.shard.Epoch || r.Released) {
		s.opt.Log.Info("Shard lost.", "shard", id, "epoch", own.shard.Epoch, "newer", r.Epoch)
		own.cancel()
		return
	}
	if own == nil && s.table.Owns(id) && !s.stopping {
		s.start(ctx, Shard{ID: id, Epoch: r.Epoch})
	}
}

// start is called with mu held.
func (s *Sharder) start(ctx context.Context, shard Shard) {
	owned, cancel := context.WithCancel(ctx)
	own := &ownership{shard: shard, cancel: cancel, done: make(chan struct{})}
	s.held[shard.ID] = own
	s.opt.Log.Info("Shard taken.", "shard", shard.ID, "epoch", shard.Epoch)
	go func() {
		defer close(own.done)
		s.opt.Acquired(owned, shard)
		s.ended(ctx, own, owned.Err() == nil)
		cancel()
	}()
}

// ended removes an ownership; one given up by its own duty is released.
func (s *Sharder) ended(ctx context.Context, own *ownership, gaveUp bool) {
	s.mu.Lock()
	delete(s.held, own.shard.ID)
	// A newer epoch that this host took meanwhile is started from the records.
	s.stale = true
	if gaveUp {
		s.table.StartCooldown(time.Now(), own.shard.ID)
	}
	s.mu.Unlock()
	if gaveUp {
		s.release(ctx, own.shard)
	}
	s.signal()
}

func (s *Sharder) signal() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Sharder) endAll() {
	s.mu.Lock()
	var own []*ownership
	for _, o := range s.held {
		o.cancel()
		own = append(own, o)
	}
	s.mu.Unlock()
	for _, o := range own {
		<-o.done
	}
}

// Release hands the shards over for a planned stop: it takes no more, ends the
// ownerships, waits for their goroutines and marks the records as released. The
// records are written even when ctx has ended, each within callLimit.
func (s *Sharder) Release(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	var own []*ownership
	for _, o := range s.held {
		o.cancel()
		own = append(own, o)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
	defer cancel()
	for _, o := range own {
		select {
		case <-o.done:
			s.release(ctx, o.shard)
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}

// Lookup returns the holder of a shard as far as this host knows.
func (s *Sharder) Lookup(id string) (Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.table.Record(id)
	if !ok || r.Released {
		return Owner{}, false
	}
	own := s.held[id]
	self := own != nil && own.shard.Epoch == r.Epoch
	return Owner{Host: r.Host, Address: r.Address, Epoch: r.Epoch, Self: self, Valid: s.validity(id, r.Epoch)}, true
}

// validity is called with mu held.
func (s *Sharder) validity(id string, epoch model.Epoch) context.Context {
	v, ok := s.valid[id]
	if !ok || v.epoch != epoch {
		if ok {
			v.end()
		}
		ctx, end := context.WithCancel(context.Background())
		v = validity{epoch, ctx, end}
		s.valid[id] = v
	}
	return v.ctx
}

// Lost is told by the holder of a shard that it met a newer epoch.
func (s *Sharder) Lost(shard Shard) {
	s.mu.Lock()
	if own := s.held[shard.ID]; own != nil && own.shard.Epoch == shard.Epoch {
		own.cancel()
	}
	s.stale = true
	s.mu.Unlock()
	s.signal()
}

// Stale is told that the owner that Lookup gave does not hold the shard.
func (s *Sharder) Stale(string) {
	s.mu.Lock()
	s.stale = true
	s.mu.Unlock()
	s.signal()
}

// Failed is told that a call to the holder of a shard failed. A holder whose calls
// fail for long is replaced though the fleet view calls it alive.
func (s *Sharder) Failed(id string, epoch model.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.CallFailed(time.Now(), id, epoch)
	s.stale = true
}

// Reached is told that the holder of a shard answered.
func (s *Sharder) Reached(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.CallSucceeded(id)
}

// Status lists what is known of the wanted shards.
func (s *Sharder) Status() []wire.ShardStatus {
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
