package rollout

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/httpanswer"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/clock"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

const (
	shardPrefix = "trainer/"
	// restartDelay is the delay before a new owner is started after an error.
	restartDelay = 200 * time.Millisecond
)

func shardID(t model.TrainerID) string { return shardPrefix + string(t) }

// Options configures a Service.
type Options struct {
	Host model.HostID
	Zone model.ZoneID
	// Incarnation identifies this start of the process; it increases with each start.
	Incarnation model.Incarnation
	// Listen is the HTTP address for trainers.
	Listen string
	API    objectapi.API
	// View returns the fleet as this host sees it, nil before the first view.
	View    func() *model.FleetView
	Metrics prometheus.Registerer
	// Limiter bounds what trainers' connections hold.
	Limiter *ingress.Limiter
	Log     *slog.Logger
}

// Service serves the trainers whose shards this host owns.
type Service struct {
	opt          Options
	shardManager *shardassignment.Manager
	engines      *engineapi.Client
	http         *http.Client
	metrics      *metrics
	server       *http.Server
	address      string

	mu     sync.Mutex
	owners map[model.TrainerID]*owner
}

// NewService returns a service that is not started yet.
func NewService(opt Options) *Service {
	transport := httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64})
	s := &Service{
		opt:     opt,
		http:    &http.Client{Transport: transport},
		metrics: newMetrics(opt.Metrics),
		owners:  map[model.TrainerID]*owner{},
	}
	s.engines = engineapi.NewClient(s.http)
	s.server = &http.Server{Handler: s.routes()}
	ingress.Prepare(s.server)
	return s
}

// Start listens on Options.Listen and serves the trainers' API there.
func (s *Service) Start() error {
	l, err := s.opt.Limiter.Listen(context.Background(), "tcp", s.opt.Listen, "trainers", nil)
	if err != nil {
		return Error.Wrap(err)
	}
	s.address = l.Addr().String()
	s.shardManager = shardassignment.New(shardassignment.Options{
		API:         s.opt.API,
		Host:        s.opt.Host,
		Incarnation: s.opt.Incarnation,
		Address:     s.address,
		View:        s.opt.View,
		Shards:      trainerShards,
		Candidates:  rolloutMembers,
		Acquired:    s.serveShard,
		Log:         s.opt.Log,
	})
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// Address returns the listener's address. It is empty before Start.
func (s *Service) Address() string { return s.address }

// Run acquires and serves shards until ctx ends. Start must have been called.
func (s *Service) Run(ctx context.Context) {
	s.shardManager.Run(ctx)
	s.http.CloseIdleConnections()
}

// Release hands over the shards and shuts down the HTTP server, for a planned stop.
func (s *Service) Release(ctx context.Context) error {
	return errors.Join(s.shardManager.Release(ctx), s.server.Shutdown(ctx))
}

// Close closes the HTTP server without waiting for requests in flight.
func (s *Service) Close() { _ = s.server.Close() }

func trainerShards(v *model.FleetView) []string {
	var out []string
	for id := range v.Config.Trainers {
		out = append(out, shardID(id))
	}
	return out
}

// rolloutMembers returns the members that run the rollout program.
func rolloutMembers(v *model.FleetView) []model.Member {
	var out []model.Member
	for _, m := range v.Members {
		if m.Rollout != "" || v.Config.Hosts[m.Host].Rollout != "" {
			out = append(out, m)
		}
	}
	return out
}

func (s *Service) localOwner(t model.TrainerID) *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[t]
}

// serveShard serves one trainer while this host owns its shard. After an error, for example
// when an earlier owner has changed the record, a new owner starts from the stored record.
func (s *Service) serveShard(ctx context.Context, shard shardassignment.Shard) {
	trainer := model.TrainerID(strings.TrimPrefix(shard.ID, shardPrefix))
	for run := 1; ctx.Err() == nil; run++ {
		err := s.runOwner(ctx, trainer, shard, run)
		if errors.Is(err, errOwnershipLost) {
			s.shardManager.ReportLost(shard)
			return
		}
		if ctx.Err() == nil {
			s.opt.Log.Warn("Owner of trainer failed; restarting from the stored record", "trainer", trainer, "epoch", shard.Epoch, "err", err)
			clock.Sleep(ctx, restartDelay)
		}
	}
}

func (s *Service) runOwner(ctx context.Context, t model.TrainerID, shard shardassignment.Shard, run int) error {
	o := newOwner(ctx, ownerOptions{
		Trainer: t, Shard: shard, Zone: s.opt.Zone, API: s.opt.API, Engines: s.engines, HTTP: s.http,
		View: s.opt.View, Metrics: s.metrics, Log: s.opt.Log, Run: run,
	})
	s.mu.Lock()
	s.owners[t] = o
	s.mu.Unlock()
	err := o.run()
	s.mu.Lock()
	if s.owners[t] == o {
		delete(s.owners, t)
	}
	s.mu.Unlock()
	return err
}
