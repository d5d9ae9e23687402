// Package weightwave brings new weight versions to the engines: the control program
// that holds the shard "weights/D" orders the engines of deployment D in waves.
//
// Invariant: every order carries the shard's epoch and names the target; an engine
// that ignores epochs is ordered only shortly after the ownership was read; what an
// engine has is what it reports.
package weightwave

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/coordination/shards"
	"oleanderfall.example/oleanderfall/internal/coordination/weights"
	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/ring"
	"oleanderfall.example/oleanderfall/internal/transport/sharder"
)

// Error is the class of this package's errors.
var Error = errs.Class("weightwave")

const (
	shardPrefix   = "weights/"
	eventCapacity = 1024
	// callsAtOnce bounds the calls to engines under way.
	callsAtOnce  = 64
	callTimeout  = 2 * time.Second
	maxIdle      = 200 * time.Millisecond
	confirmEvery = 500 * time.Millisecond
	// desiredEvery is the interval between two reads of the desired version: the watch
	// may be cut without either end noticing.
	desiredEvery = 5 * time.Second
)

// Options configures a Duty.
type Options struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Address     string
	API         *objectapi.Client
	Engines     *engineapi.Client
	View        func() *model.FleetView
	Metrics     prometheus.Registerer
	Log         *slog.Logger
}

// Duty holds the shards of weights that fall to this host.
type Duty struct {
	opt     Options
	sharder *sharder.Sharder
	version *prometheus.GaugeVec
	lagging *prometheus.GaugeVec
	slots   chan struct{}
}

// New returns a duty; Run begins it.
func New(opt Options) *Duty {
	d := &Duty{
		opt: opt,
		version: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_weights_version", Help: "The weight version that a deployment's engines shall have.",
		}, []string{"deployment"}),
		lagging: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_weights_lagging_engines", Help: "Engines that do not report the version they shall have.",
		}, []string{"deployment"}),
		slots: make(chan struct{}, callsAtOnce),
	}
	opt.Metrics.MustRegister(d.version, d.lagging)
	d.sharder = sharder.New(sharder.Options{
		API: opt.API, Host: opt.Host, Incarnation: opt.Incarnation, Address: opt.Address, View: opt.View,
		Shards:     deploymentShards,
		Candidates: func(v *model.FleetView) []model.Member { return v.Members },
		Acquired:   d.acquired,
		Log:        opt.Log,
	})
	return d
}

// Run holds shards until ctx ends.
func (d *Duty) Run(ctx context.Context) { d.sharder.Run(ctx) }

// Release hands the shards over for a planned stop.
func (d *Duty) Release(ctx context.Context) error { return Error.Wrap(d.sharder.Release(ctx)) }

func deploymentShards(v *model.FleetView) []string {
	var out []string
	for id := range v.Config.Deployments {
		out = append(out, shardPrefix+string(id))
	}
	return out
}

func (d *Duty) acquired(ctx context.Context, shard sharder.Shard) {
	ctx, cancel := context.WithCancel(ctx)
	id := model.DeploymentID(strings.TrimPrefix(shard.ID, shardPrefix))
	o := &owner{
		duty: d, deployment: id, shard: shard, ctx: ctx,
		wave:   weights.NewRollingUpdate(1),
		events: ring.New[event](eventCapacity, ring.Block),
	}
	defer o.workers.Wait()
	defer o.events.Close()
	defer cancel()
	o.workers.Go(func() { _ = d.opt.API.Follow(ctx, ledger.DesiredPrefix+string(id), &follower{owner: o}) })
	o.run()
	d.version.DeleteLabelValues(string(id))
	d.lagging.DeleteLabelValues(string(id))
}

// owner is the duty of one deployment under one epoch.
type owner struct {
	duty       *Duty
	deployment model.DeploymentID
	shard      sharder.Shard
	ctx        context.Context
	wave       *weights.RollingUpdate
	events     *ring.Ring[event]
	view       *model.FleetView
	deadline   time.Duration
	workers    sync.WaitGroup
	asking     bool
	asked      time.Time
	behind     bool
	late       bool
	lost       bool
}

// event is one message to the owner's duty.
type event interface{ apply(o *owner) }

func (o *owner) tell(e event) { _ = o.events.Push(o.ctx, e) }

func (o *owner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !o.lost {
		select {
		case e := <-o.events.C():
			e.apply(o)
		case <-timer.C:
		case <-o.ctx.Done():
			return
		}
		o.takeView()
		now := time.Now()
		o.confirm(now)
		for _, a := range o.wave.Plan(now) {
			o.workers.Go(func() { o.act(a) })
		}
		o.report(now)
		timer.Reset(max(time.Millisecond, o.wave.NextDelay(now, maxIdle)))
	}
	o.duty.sharder.Lost(o.shard)
}

func (o *owner) takeView() {
	view := o.duty.opt.View()
	if view == nil || view.Config == nil || view == o.view {
		return
	}
	o.view = view
	d := view.Config.Deployments[o.deployment]
	o.deadline = d.WeightsDeadline
	var list []weights.Engine
	for id, e := range view.Config.Endpoints {
		if e.Kind == model.EndpointEngine && e.Deployment == o.deployment {
			list = append(list, weights.Engine{ID: id, Fencing: e.Fencing})
		}
	}
	o.wave.SetEngines(list, d.ServingFloor)
	leaving := map[model.EndpointID]bool{}
	for _, e := range view.Drains {
		leaving[e.Endpoint] = true
	}
	o.wave.SetDraining(func(id model.EndpointID) bool { return leaving[id] })
	now := time.Now()
	for _, l := range view.Loads {
		o.wave.GossipReceived(now.Add(-l.Age), l.Endpoint, l.Version)
	}
}

// confirm has the desired version and the ownership read: often while engines that
// ignore epochs are to be ordered, seldom otherwise.
func (o *owner) confirm(now time.Time) {
	interval := desiredEvery
	if o.wave.UnfencedLagging() {
		interval = confirmEvery
	}
	if o.asking || now.Sub(o.asked) < interval {
		return
	}
	o.asking, o.asked = true, now
	o.workers.Go(func() {
		e := ownershipRead{asOf: now}
		if desired, err := o.duty.opt.API.Get(o.ctx, ledger.DesiredPrefix+string(o.deployment)); err == nil {
			o.takeDesired(desired)
		} else if !errors.Is(err, objectapi.ErrNotFound) {
			e.err = err
		}
		if object, err := o.duty.opt.API.Get(o.ctx, sharder.KeyPrefix+o.shard.ID); err != nil {
			e.err = err
		} else if err := json.Unmarshal(object.Value, &e.record); err != nil {
			e.err = err
		}
		o.tell(e)
	})
}

// takeDesired hands a read or watched desired version to the duty.
func (o *owner) takeDesired(object objectapi.Object) {
	desired, err := ledger.DecodeDesired(object.Value)
	if err != nil {
		o.duty.opt.Log.Error("Desired version not readable.", "deployment", o.deployment, "err", err)
		return
	}
	o.tell(desiredRead{version: desired.Version})
}

type ownershipRead struct {
	asOf   time.Time
	record shards.Record
	err    error
}

func (e ownershipRead) apply(o *owner) {
	o.asking = false
	switch {
	case e.err != nil:
	case e.record.Epoch == o.shard.Epoch && !e.record.Released:
		o.wave.ConfirmOwnership(e.asOf)
	case e.record.Epoch > o.shard.Epoch:
		o.lost = true
	}
}

// act performs one action at an engine and tells its result.
func (o *owner) act(a weights.Action) {
	select {
	case o.duty.slots <- struct{}{}:
	case <-o.ctx.Done():
		return
	}
	defer func() { <-o.duty.slots }()
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	if !a.Deadline.IsZero() {
		if !time.Now().Before(a.Deadline) {
			o.tell(orderLate{engine: a.Engine})
			return
		}
		ctx, cancel = context.WithDeadline(ctx, a.Deadline)
		defer cancel()
	}
	address := o.address(a.Engine)
	if a.Kind == weights.ActionOrder {
		err := o.duty.opt.Engines.Order(ctx, address, engineapi.Order{Fence: o.shard.Epoch, Version: a.Version})
		o.tell(orderDone{engine: a.Engine, err: err})
		return
	}
	status, err := o.duty.opt.Engines.Status(ctx, address)
	o.tell(statusRead{engine: a.Engine, status: status, err: err})
}

func (o *owner) address(id model.EndpointID) string {
	return o.duty.opt.View().Config.Endpoints[id].Address
}

type orderDone struct {
	engine model.EndpointID
	err    error
}

func (e orderDone) apply(o *owner) {
	now := time.Now()
	switch {
	case errors.Is(e.err, engineapi.ErrStaleFence):
		o.lost = true
	case e.err == nil, errors.Is(e.err, engineapi.ErrBusy):
		o.wave.Ordered(now, e.engine)
	default:
		o.wave.Failed(now, e.engine, true)
	}
}

// orderLate says that an order waited for its turn until the ownership was no longer fresh.
type orderLate struct{ engine model.EndpointID }

func (e orderLate) apply(o *owner) { o.wave.NotSent(e.engine) }

type statusRead struct {
	engine model.EndpointID
	status engineapi.Status
	err    error
}

func (e statusRead) apply(o *owner) {
	if e.err != nil {
		o.wave.Failed(time.Now(), e.engine, true)
		return
	}
	o.wave.Reported(time.Now(), e.engine, e.status.Version, e.status.Loading)
}

type desiredRead struct{ version model.WeightVersion }

func (e desiredRead) apply(o *owner) {
	if target, _ := o.wave.Target(); e.version <= target {
		return
	}
	o.wave.SetTarget(time.Now(), e.version)
	o.behind, o.late = true, false
	o.duty.version.WithLabelValues(string(o.deployment)).Set(float64(e.version))
	o.duty.opt.Log.Info("New weight version.", "deployment", o.deployment, "version", e.version, "epoch", o.shard.Epoch)
}

// report sets the metric and logs once when a wave ends or misses its deadline.
func (o *owner) report(now time.Time) {
	target, since := o.wave.Target()
	if target == 0 {
		return
	}
	lagging := o.wave.Lagging()
	o.duty.lagging.WithLabelValues(string(o.deployment)).Set(float64(len(lagging)))
	log := o.duty.opt.Log
	switch {
	case o.behind && len(lagging) == 0:
		o.behind = false
		log.Info("All engines report the version.", "deployment", o.deployment, "version", target, "took", now.Sub(since))
	case o.behind && !o.late && o.deadline > 0 && now.Sub(since) > o.deadline:
		o.late = true
		log.Warn("Engines lag behind the version.", "deployment", o.deployment, "version", target, "engines", len(lagging), "first", lagging[0])
	}
}

// follower hands the desired version to the owner.
type follower struct{ owner *owner }

// Reset implements objectapi.Handler.
func (f *follower) Reset(objects []objectapi.Object) {
	for _, object := range objects {
		f.Change(objectapi.Event{Object: object})
	}
}

// Change implements objectapi.Handler.
func (f *follower) Change(e objectapi.Event) {
	if e.Deleted || e.Key != ledger.DesiredPrefix+string(f.owner.deployment) {
		return
	}
	f.owner.takeDesired(e.Object)
}
