// Package gossip maintains a host's state of the fleet. It runs the membership protocol
// and disseminates records and items in datagrams over the overlay, with anti-entropy
// exchanges over streams.
//
// Invariant: one goroutine owns the membership machine, the item store and the
// dissemination queue. All other goroutines send it events through bounded queues and
// read immutable snapshots of the state.
package gossip

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/dissemination"
	"oleanderfall.example/oleanderfall/internal/coordination/membership"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/boundedqueue"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
)

const (
	// A full queue of received datagrams drops the oldest; a full queue of requests blocks
	// the sender.
	datagramQueueSize = 1024
	requestQueueSize  = 64
	// ticksPerHeartbeat is the tick rate of the membership machine at rest,
	// busyTicksPerHeartbeat the rate while there are urgent updates to send or an urgent
	// change of the state to publish.
	ticksPerHeartbeat     = 5
	busyTicksPerHeartbeat = 20
	minTick               = 5 * time.Millisecond
	maxTick               = 200 * time.Millisecond
	maxBusyTick           = 50 * time.Millisecond
	// exchangeHeartbeats is the mean interval, in heartbeats, between two exchanges that
	// this host starts.
	exchangeHeartbeats = 5
	// departFlushWait is how long Depart waits for queued datagrams to be sent before the
	// mesh may be closed.
	departFlushWait = 200 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	Self      members.Record
	Heartbeat time.Duration
	Log       *slog.Logger
	// Random returns uniformly distributed numbers.
	Random func() uint64
	// Generation returns the generation of the configuration in force on this host.
	Generation func() model.Generation
	// OnNewerGeneration is called with a generation above Generation() and the address of
	// the process that has it in force. It must not block.
	OnNewerGeneration func(g model.Generation, address string)
}

// Service runs the gossip protocol of one host. Attach and Run must be called once, in this
// order; the other exported methods may be called from any goroutine.
type Service struct {
	opt        Options
	mesh       *quicmesh.Mesh
	outbox     *outbox
	datagrams  *boundedqueue.Queue[event]
	requests   *boundedqueue.Queue[event]
	state      atomic.Pointer[State]
	changed    chan struct{}
	suspicions atomic.Uint64

	machine        *membership.Machine
	store          *items.Store
	queue          *dissemination.Queue
	pendingPublish publisher
	nextExchange   time.Time
	nextExpire     time.Time
	ctx            context.Context
}

// New returns a service. Attach must be called before Run.
func New(opt Options) *Service {
	now := time.Now()
	d := &Service{
		opt:       opt,
		datagrams: boundedqueue.New[event](datagramQueueSize, boundedqueue.DropOldest),
		requests:  boundedqueue.New[event](requestQueueSize, boundedqueue.Block),
		changed:   make(chan struct{}, 1),
		machine:   membership.New(membership.Options{Self: opt.Self, Heartbeat: opt.Heartbeat, Random: opt.Random}, now),
		store:     items.NewStore(),
		queue:     dissemination.NewQueue(),
	}
	d.state.Store(d.snapshot(now))
	return d
}

// Attach sets the mesh and registers the handler of exchanges. Call it before the mesh is
// started. OnDatagram must be set as the mesh's Options.OnDatagram.
func (d *Service) Attach(mesh *quicmesh.Mesh) {
	d.mesh = mesh
	d.outbox = newOutbox(mesh)
	mesh.Handle(wire.MethodExchange, d.serveExchange)
}

// OnDatagram queues a datagram received by the mesh. It does not block; datagrams that
// cannot be decoded are dropped.
func (d *Service) OnDatagram(_ string, b []byte) {
	var g datagram
	if err := wire.Decode(b, &g); err != nil {
		d.opt.Log.Debug("Datagram not decoded", "err", err)
		return
	}
	_ = d.datagrams.Push(context.Background(), event{received: &g})
}

// State returns the latest published snapshot.
func (d *Service) State() *State { return d.state.Load() }

// Changed returns a channel that receives after a new state was published. Several changes
// may be merged into one signal.
func (d *Service) Changed() <-chan struct{} { return d.changed }

// Suspicions returns the number of suspicions of other hosts that changed this host's
// table, whether received or raised here.
func (d *Service) Suspicions() uint64 { return d.suspicions.Load() }

// AddItems merges items from this host's own components and gossips those that are new.
// It blocks while the request queue is full.
func (d *Service) AddItems(ctx context.Context, list ...items.Item) error {
	if len(list) == 0 {
		return nil
	}
	return d.requests.Push(ctx, event{addedItems: list})
}

// SetLeaving announces that this host is leaving the fleet, or that it stays after all.
func (d *Service) SetLeaving(ctx context.Context, leaving bool) error {
	return d.requests.Push(ctx, event{leaving: &leaving})
}

// SetSeeds replaces the addresses that are contacted to join or rejoin the fleet.
func (d *Service) SetSeeds(ctx context.Context, addresses []string) error {
	return d.requests.Push(ctx, event{seeds: addresses})
}

// Depart announces that this host has left the fleet and allows departFlushWait for the
// announcement to be sent.
func (d *Service) Depart(ctx context.Context) error {
	done := make(chan struct{})
	if err := d.requests.Push(ctx, event{depart: true, done: done}); err != nil {
		return err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	flushTimer := time.NewTimer(departFlushWait)
	defer flushTimer.Stop()
	select {
	case <-flushTimer.C:
	case <-ctx.Done():
	}
	return nil
}

// Run handles events and ticks until ctx ends, then waits for background sends. Methods that
// queue a request fail with boundedqueue.ErrClosed afterwards.
func (d *Service) Run(ctx context.Context) {
	d.ctx = ctx
	defer d.outbox.wait()
	defer d.requests.Close()
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-d.datagrams.C():
			d.handle(time.Now(), e)
		case e := <-d.requests.C():
			d.handle(time.Now(), e)
		case <-timer.C:
			now := time.Now()
			d.tick(now)
			next = now.Add(min(max(d.opt.Heartbeat/ticksPerHeartbeat, minTick), maxTick))
			timer.Reset(next.Sub(now))
		case <-ctx.Done():
			return
		}
		if now := time.Now(); d.busy() && next.Sub(now) > d.busyTick() {
			next = now.Add(d.busyTick())
			timer.Reset(d.busyTick())
		}
	}
}

func (d *Service) busyTick() time.Duration {
	return min(max(d.opt.Heartbeat/busyTicksPerHeartbeat, minTick), maxBusyTick)
}

// busy reports whether there are urgent updates to send or an urgent change of the state
// to publish.
func (d *Service) busy() bool {
	urgent, _ := d.queue.Len()
	return urgent > 0 || d.pendingPublish.urgent
}

func (d *Service) tick(now time.Time) {
	d.applyOutput(now, d.machine.Tick(now), "")
	d.flush(now)
	if !now.Before(d.nextExpire) {
		d.nextExpire = now.Add(d.opt.Heartbeat)
		d.queue.Expire(now, d.machine.Links())
		if d.store.Expire(now) {
			d.pendingPublish.hints = true
		}
	}
	if !now.Before(d.nextExchange) {
		d.startExchange(now)
	}
	if d.pendingPublish.due(now, d.opt.Heartbeat) {
		d.state.Store(d.snapshot(now))
		select {
		case d.changed <- struct{}{}:
		default:
		}
	}
}

// flush sends the urgent updates that are due to every linked host.
func (d *Service) flush(now time.Time) {
	if urgent, _ := d.queue.Len(); urgent == 0 {
		return
	}
	for _, link := range d.machine.Links() {
		for u := d.queue.Urgent(now, link.Host); !u.Empty(); u = d.queue.Urgent(now, link.Host) {
			d.send(link.Control, datagram{Message: membership.Message{Kind: membership.UpdatesOnly}, UpdateSet: u})
		}
	}
}

func (d *Service) handle(now time.Time, e event) {
	switch {
	case e.received != nil:
		d.receive(now, e.received)
	case e.addedItems != nil:
		d.mergeItems(now, e.addedItems, "")
	case e.leaving != nil:
		d.applyOutput(now, d.machine.SetLeaving(*e.leaving), "")
	case e.depart:
		d.applyOutput(now, d.machine.Depart(), "")
		d.flush(now)
	case e.seeds != nil:
		d.machine.SetSeeds(e.seeds)
	case e.request != nil:
		e.answer <- d.answerExchange(now, e.request)
	case e.reply != nil:
		d.finishExchange(now, e.from, e.reply)
	case e.release != "":
		d.release(e.release)
	}
	if e.done != nil {
		close(e.done)
	}
}

func (d *Service) receive(now time.Time, g *datagram) {
	d.reportNewerGeneration(g.Generation, g.From.Control)
	d.applyOutput(now, d.machine.Receive(now, g.From, g.Message), g.From.Host)
	d.mergeUpdates(now, g.UpdateSet, g.From.Host)
}

// reportNewerGeneration calls OnNewerGeneration if g is above the local generation.
func (d *Service) reportNewerGeneration(g model.Generation, address string) {
	if g > d.opt.Generation() {
		d.opt.OnNewerGeneration(g, address)
	}
}

func (d *Service) mergeUpdates(now time.Time, u dissemination.Updates, from model.HostID) {
	if len(u.Records) > 0 {
		d.applyOutput(now, d.machine.MergeRecords(now, u.Records), from)
	}
	d.mergeItems(now, u.Items, from)
}

func (d *Service) mergeItems(now time.Time, list []items.Item, from model.HostID) {
	for _, i := range list {
		if !d.store.Merge(now, i) {
			continue
		}
		d.queue.AddItem(now, i, from)
		if limits, _ := items.LimitsOf(i.Kind); limits.Urgent {
			d.pendingPublish.urgent = true
		} else {
			d.pendingPublish.hints = true
		}
	}
}

// applyOutput carries out the actions that the membership machine returned. from is the
// host whose message or records caused them, "" for a local cause.
func (d *Service) applyOutput(now time.Time, out membership.Output, from model.HostID) {
	for _, r := range out.Updates {
		d.queue.AddRecord(now, r, from)
		d.pendingPublish.urgent = true
		d.logRecord(r)
	}
	for _, s := range out.Sends {
		g := datagram{Message: s.Message}
		if s.Message.Kind == membership.Ping || s.Message.Kind == membership.Ack {
			g.UpdateSet = d.queue.Heartbeat(now, s.To)
		}
		g.UpdateSet.Records = append(g.UpdateSet.Records, s.Payload...)
		d.send(s.Address, g)
	}
	for _, address := range out.Drop {
		d.mesh.Drop(address)
	}
	if out.Contact != "" {
		d.exchangeWith(out.Contact)
	}
}

func (d *Service) logRecord(r members.Record) {
	if r.State == members.Suspect {
		d.suspicions.Add(1)
	}
	if r.Host != d.opt.Self.Host && r.State != members.Alive {
		d.opt.Log.Info("Host suspect or dead", "host", r.Host, "dead", r.State == members.Dead)
	}
}

func (d *Service) send(address string, g datagram) {
	g.From = d.machine.Sender()
	g.Generation = d.opt.Generation()
	b, err := wire.Encode(g)
	if err != nil {
		d.opt.Log.Error("Datagram not encoded", "err", err)
		return
	}
	d.outbox.send(d.ctx, address, b)
}
