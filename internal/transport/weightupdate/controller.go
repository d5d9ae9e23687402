// Package weightupdate updates engines to new weight versions. The control program that owns
// the shard "weights/D" runs the rolling updates of deployment D. It sends each engine an
// order to load the target version.
//
// Invariant: every order carries the shard's epoch as its fencing token and names the target
// version. An engine that ignores fencing tokens is sent an order only shortly after the
// ownership was read. An engine's version is the one that it reports.
package weightupdate

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
	"oleanderfall.example/oleanderfall/internal/transport/boundedqueue"
	"oleanderfall.example/oleanderfall/internal/transport/shardassignment"
)

// Error is the class of this package's errors.
var Error = errs.Class("weightwave")

const (
	shardPrefix   = "weights/"
	eventCapacity = 1024
	// maxConcurrentCalls limits the calls to engines in flight.
	maxConcurrentCalls = 64
	callTimeout        = 2 * time.Second
	// maxPlanDelay is the longest time between two plans of a rolling update.
	maxPlanDelay = 200 * time.Millisecond
	// unfencedReadInterval replaces readInterval while orders must be sent to engines that
	// ignore fencing tokens.
	unfencedReadInterval = 500 * time.Millisecond
	// readInterval is the interval between two reads of the ownership and the desired
	// version. The desired version is read besides being watched, because the watch may
	// break without either end noticing.
	readInterval = 5 * time.Second
)

// Options configures a Controller.
type Options struct {
	Host model.HostID
	// Incarnation identifies this start of the process; it increases with each start.
	Incarnation model.Incarnation
	// Address is the address of this process in the ownership records of its shards.
	Address string
	API     *objectapi.Client
	Engines *engineapi.Client
	// View returns the fleet as this host sees it, nil before the first view.
	View    func() *model.FleetView
	Metrics prometheus.Registerer
	Log     *slog.Logger
}

// Controller acquires this host's share of the weights shards and runs the rolling updates
// of their deployments.
type Controller struct {
	opt          Options
	shardManager *shardassignment.Manager
	version      *prometheus.GaugeVec
	lagging      *prometheus.GaugeVec
	callSlots    chan struct{}
}

// New returns a controller that Run starts. It registers its metrics with opt.Metrics.
func New(opt Options) *Controller {
	c := &Controller{
		opt: opt,
		version: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_weights_version", Help: "The weight version that a deployment's engines shall have.",
		}, []string{"deployment"}),
		lagging: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "oleander_weights_lagging_engines", Help: "Engines that do not report the version they shall have.",
		}, []string{"deployment"}),
		callSlots: make(chan struct{}, maxConcurrentCalls),
	}
	opt.Metrics.MustRegister(c.version, c.lagging)
	c.shardManager = shardassignment.New(shardassignment.Options{
		API: opt.API, Host: opt.Host, Incarnation: opt.Incarnation, Address: opt.Address, View: opt.View,
		Shards:     deploymentShards,
		Candidates: func(v *model.FleetView) []model.Member { return v.Members },
		Acquired:   c.serveShard,
		Log:        opt.Log,
	})
	return c
}

// Run acquires and serves shards until ctx ends.
func (c *Controller) Run(ctx context.Context) { c.shardManager.Run(ctx) }

// Release hands over the shards for a planned stop.
func (c *Controller) Release(ctx context.Context) error {
	return Error.Wrap(c.shardManager.Release(ctx))
}

func deploymentShards(v *model.FleetView) []string {
	var out []string
	for id := range v.Config.Deployments {
		out = append(out, shardPrefix+string(id))
	}
	return out
}

// serveShard runs the rolling updates of one deployment while this host owns its shard.
func (c *Controller) serveShard(ctx context.Context, shard shardassignment.Shard) {
	ctx, cancel := context.WithCancel(ctx)
	id := model.DeploymentID(strings.TrimPrefix(shard.ID, shardPrefix))
	o := &owner{
		controller: c, deployment: id, shard: shard, ctx: ctx,
		rollingUpdate: weights.NewRollingUpdate(1),
		events:        boundedqueue.New[event](eventCapacity, boundedqueue.Block),
	}
	defer o.workers.Wait()
	defer o.events.Close()
	defer cancel()
	o.workers.Go(func() { _ = c.opt.API.Follow(ctx, ledger.DesiredPrefix+string(id), &desiredHandler{owner: o}) })
	o.run()
	c.version.DeleteLabelValues(string(id))
	c.lagging.DeleteLabelValues(string(id))
}

// owner runs the rolling updates of one deployment under one epoch.
type owner struct {
	controller    *Controller
	deployment    model.DeploymentID
	shard         shardassignment.Shard
	ctx           context.Context
	rollingUpdate *weights.RollingUpdate
	events        *boundedqueue.Queue[event]
	view          *model.FleetView
	// deadline is the time allowed for a rolling update after its target was set, 0 for no
	// limit.
	deadline       time.Duration
	workers        sync.WaitGroup
	readInFlight   bool
	lastReadAt     time.Time
	updating       bool
	deadlineMissed bool
	ownershipLost  bool
}

// event is a message to the owner's event loop.
type event interface{ apply(o *owner) }

func (o *owner) enqueue(e event) { _ = o.events.Push(o.ctx, e) }

func (o *owner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !o.ownershipLost {
		select {
		case e := <-o.events.C():
			e.apply(o)
		case <-timer.C:
		case <-o.ctx.Done():
			return
		}
		o.updateView()
		now := time.Now()
		o.startRead(now)
		for _, a := range o.rollingUpdate.Plan(now) {
			o.workers.Go(func() { o.perform(a) })
		}
		o.reportProgress(now)
		timer.Reset(max(time.Millisecond, o.rollingUpdate.NextDelay(now, maxPlanDelay)))
	}
	o.controller.shardManager.ReportLost(o.shard)
}

func (o *owner) updateView() {
	view := o.controller.opt.View()
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
	o.rollingUpdate.SetEngines(list, d.ServingFloor)
	draining := map[model.EndpointID]bool{}
	for _, e := range view.Drains {
		draining[e.Endpoint] = true
	}
	o.rollingUpdate.SetDraining(func(id model.EndpointID) bool { return draining[id] })
	now := time.Now()
	for _, l := range view.Loads {
		o.rollingUpdate.GossipReceived(now.Add(-l.Age), l.Endpoint, l.Version)
	}
}

// startRead starts a read of the desired version and the ownership when one is due: at short
// intervals while orders must be sent to engines that ignore fencing tokens, at long intervals
// otherwise.
func (o *owner) startRead(now time.Time) {
	interval := readInterval
	if o.rollingUpdate.UnfencedLagging() {
		interval = unfencedReadInterval
	}
	if o.readInFlight || now.Sub(o.lastReadAt) < interval {
		return
	}
	o.readInFlight, o.lastReadAt = true, now
	o.workers.Go(func() {
		e := ownershipRead{asOf: now}
		if desired, err := o.controller.opt.API.Get(o.ctx, ledger.DesiredPrefix+string(o.deployment)); err == nil {
			o.enqueueDesired(desired)
		} else if !errors.Is(err, objectapi.ErrNotFound) {
			e.err = err
		}
		if object, err := o.controller.opt.API.Get(o.ctx, shardassignment.KeyPrefix+o.shard.ID); err != nil {
			e.err = err
		} else if err := json.Unmarshal(object.Value, &e.record); err != nil {
			e.err = err
		}
		o.enqueue(e)
	})
}

// enqueueDesired passes a desired version that was read or watched to the event loop.
func (o *owner) enqueueDesired(object objectapi.Object) {
	desired, err := ledger.DecodeDesired(object.Value)
	if err != nil {
		o.controller.opt.Log.Error("Failed to decode the desired version", "deployment", o.deployment, "err", err)
		return
	}
	o.enqueue(desiredReceived{version: desired.Version})
}

type ownershipRead struct {
	asOf   time.Time
	record shards.Record
	err    error
}

func (e ownershipRead) apply(o *owner) {
	o.readInFlight = false
	switch {
	case e.err != nil:
	case e.record.Epoch == o.shard.Epoch && !e.record.Released:
		o.rollingUpdate.ConfirmOwnership(e.asOf)
	case e.record.Epoch > o.shard.Epoch:
		o.ownershipLost = true
	}
}

// perform makes the call that an action requests and reports its result to the event loop.
func (o *owner) perform(a weights.Action) {
	select {
	case o.controller.callSlots <- struct{}{}:
	case <-o.ctx.Done():
		return
	}
	defer func() { <-o.controller.callSlots }()
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	if !a.Deadline.IsZero() {
		if !time.Now().Before(a.Deadline) {
			o.enqueue(orderExpired{engine: a.Engine})
			return
		}
		ctx, cancel = context.WithDeadline(ctx, a.Deadline)
		defer cancel()
	}
	address := o.address(a.Engine)
	if a.Kind == weights.ActionOrder {
		err := o.controller.opt.Engines.Order(ctx, address, engineapi.Order{Fence: o.shard.Epoch, Version: a.Version})
		o.enqueue(orderDone{engine: a.Engine, err: err})
		return
	}
	status, err := o.controller.opt.Engines.Status(ctx, address)
	o.enqueue(statusRead{engine: a.Engine, status: status, err: err})
}

func (o *owner) address(id model.EndpointID) string {
	return o.controller.opt.View().Config.Endpoints[id].Address
}

type orderDone struct {
	engine model.EndpointID
	err    error
}

func (e orderDone) apply(o *owner) {
	now := time.Now()
	switch {
	case errors.Is(e.err, engineapi.ErrStaleFence):
		o.ownershipLost = true
	case e.err == nil, errors.Is(e.err, engineapi.ErrBusy):
		o.rollingUpdate.Accepted(now, e.engine)
	default:
		o.rollingUpdate.Failed(now, e.engine, true)
	}
}

// orderExpired reports an order that was not sent: it waited for a free slot until the last
// read of the ownership was too old.
type orderExpired struct{ engine model.EndpointID }

func (e orderExpired) apply(o *owner) { o.rollingUpdate.NotSent(e.engine) }

type statusRead struct {
	engine model.EndpointID
	status engineapi.Status
	err    error
}

func (e statusRead) apply(o *owner) {
	if e.err != nil {
		o.rollingUpdate.Failed(time.Now(), e.engine, true)
		return
	}
	o.rollingUpdate.Reported(time.Now(), e.engine, e.status.Version, e.status.Loading)
}

type desiredReceived struct{ version model.WeightVersion }

func (e desiredReceived) apply(o *owner) {
	if target, _ := o.rollingUpdate.Target(); e.version <= target {
		return
	}
	o.rollingUpdate.SetTarget(time.Now(), e.version)
	o.updating, o.deadlineMissed = true, false
	o.controller.version.WithLabelValues(string(o.deployment)).Set(float64(e.version))
	o.controller.opt.Log.Info("Starting rolling update to a new weight version", "deployment", o.deployment, "version", e.version, "epoch", o.shard.Epoch)
}

// reportProgress sets the metric of lagging engines. It logs once when an update is complete
// and once when it misses its deadline.
func (o *owner) reportProgress(now time.Time) {
	target, since := o.rollingUpdate.Target()
	if target == 0 {
		return
	}
	lagging := o.rollingUpdate.Lagging()
	o.controller.lagging.WithLabelValues(string(o.deployment)).Set(float64(len(lagging)))
	log := o.controller.opt.Log
	switch {
	case o.updating && len(lagging) == 0:
		o.updating = false
		log.Info("Rolling update complete: all engines report the version", "deployment", o.deployment, "version", target, "took", now.Sub(since))
	case o.updating && !o.deadlineMissed && o.deadline > 0 && now.Sub(since) > o.deadline:
		o.deadlineMissed = true
		log.Warn("Rolling update missed its deadline: engines do not report the version", "deployment", o.deployment, "version", target, "engines", len(lagging), "first", lagging[0])
	}
}

// desiredHandler passes watched desired versions to the owner.
type desiredHandler struct{ owner *owner }

// Reset implements objectapi.ChangeHandler.
func (h *desiredHandler) Reset(objects []objectapi.Object) {
	for _, object := range objects {
		h.Change(objectapi.Event{Object: object})
	}
}

// Change implements objectapi.ChangeHandler.
func (h *desiredHandler) Change(e objectapi.Event) {
	if e.Deleted || e.Key != ledger.DesiredPrefix+string(h.owner.deployment) {
		return
	}
	h.owner.enqueueDesired(e.Object)
}
