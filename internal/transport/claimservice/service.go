package claimservice

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

// Error is the class of this package's errors.
var Error = errs.Class("claimduty")

// Options configures a Service.
type Options struct {
	// Mesh is the entry program's mesh. New registers handlers on it and must be called
	// before Mesh.Start.
	Mesh *quicmesh.Mesh
	API  objectapi.API
	// Outage returns how long the API has not answered, 0 while it answers; nil if this
	// is not tracked.
	Outage func() time.Duration
	Host   model.HostID
	// Incarnation identifies this start of the process; it increases with each start.
	Incarnation model.Incarnation
	// Address is the mesh address at which other hosts reach this one.
	Address string
	// View returns the fleet as this host sees it, nil before the first view.
	View func() *model.FleetView
	Log  *slog.Logger
	// Registerer registers the metrics; nil disables registration.
	Registerer prometheus.Registerer
	// Timing holds the delays of shard assignment; zero selects the defaults.
	Timing shards.Timing
}

// Service is the claim service of one entry host: it records the host's claims with the
// shard owners, and is the owner of the shards assigned to this host.
type Service struct {
	opt          Options
	shardManager *shardassignment.Manager
	metrics      *metrics
	attempts     *attempts
	// shardCount is the number of shards, 0 until the layout has been read.
	shardCount atomic.Int64

	mu     sync.Mutex
	owners map[string]*owner
}

var _ Claims = (*Service)(nil)

// New returns a Service; call Run to start it.
func New(opt Options) *Service {
	s := &Service{opt: opt, metrics: newMetrics(opt.Registerer), attempts: newAttempts(), owners: map[string]*owner{}}
	s.shardManager = shardassignment.New(shardassignment.Options{
		API:         opt.API,
		Host:        opt.Host,
		Incarnation: opt.Incarnation,
		Address:     opt.Address,
		View:        opt.View,
		Shards:      func(*model.FleetView) []string { return s.shards() },
		Candidates:  candidates,
		Acquired:    s.serveShard,
		Log:         opt.Log,
		Timing:      opt.Timing,
	})
	opt.Mesh.Handle(wire.MethodClaim, s.handleClaim)
	opt.Mesh.Handle(wire.MethodSettle, s.handleSettle)
	opt.Mesh.Handle(wire.MethodFollow, s.handleFollow)
	opt.Mesh.Handle(wire.MethodAnswer, s.handleAnswer)
	return s
}

func (s *Service) shards() []string {
	ids := make([]string, s.shardCount.Load())
	for i := range ids {
		ids[i] = shardID(i)
	}
	return ids
}

func shardID(i int) string { return fmt.Sprintf("claims/%d", i) }

func candidates(v *model.FleetView) []model.Member {
	var out []model.Member
	for _, m := range v.Members {
		if m.EntryMesh != "" {
			out = append(out, m)
		}
	}
	return out
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) {
	if !s.loadLayout(ctx) {
		return
	}
	var running sync.WaitGroup
	running.Go(func() { s.shardManager.Run(ctx) })
	running.Go(func() { s.settleLoop(ctx) })
	running.Wait()
}

const layoutRetryInterval = 250 * time.Millisecond

// loadLayout reads the number of shards, as soon as there is a configuration. It returns
// false if ctx ends first.
func (s *Service) loadLayout(ctx context.Context) bool {
	for {
		if v := s.opt.View(); v != nil && v.Config != nil {
			n, err := readLayout(ctx, s.opt.API, max(1, v.Config.System.ClaimShards))
			if err == nil {
				if n != v.Config.System.ClaimShards {
					s.opt.Log.Warn("Stored number of claim shards differs from the configuration and is kept", "shards", n)
				}
				s.shardCount.Store(int64(n))
				return true
			}
			s.opt.Log.Debug("Reading the claim layout failed; retrying", "err", err)
		}
		if !sleep(ctx, layoutRetryInterval) {
			return false
		}
	}
}

// stopTimeout limits how long a planned stop waits for outcomes to become durable. If an
// outage prevents that, resends get an unknown outcome.
const stopTimeout = 30 * time.Second

// Stop prepares a planned stop: it waits until the outcomes of this host's attempts are
// durable and releases the shards. Begin must no longer be called.
func (s *Service) Stop(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	unsettled, _ := s.attempts.size()
	for unsettled > 0 && sleep(bounded, settleBatchDelay) {
		unsettled, _ = s.attempts.size()
	}
	if unsettled > 0 {
		s.opt.Log.Warn("Stopping with outcomes that are not recorded", "attempts", unsettled)
	}
	return s.shardManager.Release(ctx)
}

// Handover releases this host's claim shards to other hosts while it still serves, so that
// no request waits for an owner that has stopped. The entry program calls it early in its
// planned stop; claims of its own requests then go to the new owners.
func (s *Service) Handover(ctx context.Context) error { return s.shardManager.Release(ctx) }

// Ready returns nil once claims can be recorded.
func (s *Service) Ready() error {
	n := int(s.shardCount.Load())
	if n == 0 {
		return Error.New("claim layout not read yet")
	}
	for i := range n {
		if _, ok := s.shardManager.Lookup(shardID(i)); !ok {
			return Error.New("shard %s has no owner", shardID(i))
		}
	}
	return nil
}

// Shards returns the state of the claim shards with their owners.
func (s *Service) Shards() []wire.ShardStatus { return s.shardManager.Status() }

// serveShard serves a shard while this host owns it.
func (s *Service) serveShard(ctx context.Context, shard shardassignment.Shard) {
	o := newOwner(shard, s.opt.API, s.timing, s.metrics, s.opt.Log, s.shardManager.ReportLost)
	o.outage = s.opt.Outage
	s.mu.Lock()
	s.owners[shard.ID] = o
	s.mu.Unlock()
	o.run(ctx, randomUint64())
	s.mu.Lock()
	if s.owners[shard.ID] == o {
		delete(s.owners, shard.ID)
	}
	s.mu.Unlock()
}

func (s *Service) timing() (interval, lifetime time.Duration) {
	if v := s.opt.View(); v != nil && v.Config != nil {
		return v.Config.System.ClaimCommitInterval, v.Config.System.ClaimLifetime
	}
	return 0, 0
}

func (s *Service) owner(shard string) (*owner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.owners[shard]; o != nil {
		return o, nil
	}
	return nil, resultcode.New(resultcode.NotOwner, "%s is not held here", shard)
}

func (s *Service) handleClaim(ctx context.Context, _ string, b []byte) (any, error) {
	var r claimRequest
	if err := wire.Decode(b, &r); err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "claim not readable")
	}
	o, err := s.owner(r.Shard)
	if err != nil {
		return nil, err
	}
	return o.serveClaim(ctx, r), nil
}

func (s *Service) handleSettle(ctx context.Context, _ string, b []byte) (any, error) {
	var r settleRequest
	if err := wire.Decode(b, &r); err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "settlement not readable")
	}
	o, err := s.owner(r.Shard)
	if err != nil {
		return nil, err
	}
	return o.serveSettle(ctx, r), nil
}

func (s *Service) handleFollow(ctx context.Context, _ string, b []byte) (any, error) {
	var r followRequest
	if err := wire.Decode(b, &r); err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "question not readable")
	}
	return s.follow(ctx, r), nil
}

func (s *Service) follow(ctx context.Context, r followRequest) followReply {
	if r.Incarnation != s.opt.Incarnation {
		return followReply{State: followRestarted}
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(r.WaitMillis)*time.Millisecond, maxFollowWait))
	defer cancel()
	return s.attempts.follow(ctx, r.Attempt)
}

func (s *Service) handleAnswer(_ context.Context, _ string, b []byte) (any, error) {
	var r answerRequest
	if err := wire.Decode(b, &r); err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "question not readable")
	}
	h, ok := s.attempts.answer(r.Attempt)
	return answerReply{Found: ok && r.Incarnation == s.opt.Incarnation, Status: h.status, Body: h.body}, nil
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}
