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
	// Self is the membership record of this host, with the incarnation of this process.
	Self members.Record
	// Heartbeat is the heartbeat interval of the membership protocol. The intervals of ticks,
	// exchanges and published states are derived from it.
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

	// The following fields are used only by the goroutine of Run.
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
	s := &Service{
		opt:       opt,
		datagrams: boundedqueue.New[event](datagramQueueSize, boundedqueue.DropOldest),
		requests:  boundedqueue.New[event](requestQueueSize, boundedqueue.Block),
		changed:   make(chan struct{}, 1),
		machine:   membership.New(membership.Options{Self: opt.Self, Heartbeat: opt.Heartbeat, Random: opt.Random}, now),
		store:     items.NewStore(),
		queue:     dissemination.NewQueue(),
	}
	s.state.Store(s.snapshot(now))
	return s
}

// Attach sets the mesh and registers the handler of exchanges. Call it before the mesh is
// started. OnDatagram must be set as the mesh's Options.OnDatagram.
func (s *Service) Attach(mesh *quicmesh.Mesh) {
	s.mesh = mesh
	s.outbox = newOutbox(mesh)
	mesh.Handle(wire.MethodExchange, s.serveExchange)
}

// OnDatagram queues a datagram received by the mesh. It does not block; datagrams that
// cannot be decoded are dropped.
func (s *Service) OnDatagram(_ string, b []byte) {
	var g datagram
	if err := wire.Decode(b, &g); err != nil {
		s.opt.Log.Debug("Failed to decode datagram", "err", err)
		return
	}
	_ = s.datagrams.Push(context.Background(), event{received: &g})
}

// State returns the latest published snapshot.
func (s *Service) State() *State { return s.state.Load() }

// Changed returns a channel that receives after a new state was published. Several changes
// may be merged into one signal. The channel supports one consumer.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Suspicions returns the number of suspicions of other hosts that changed this host's
// table, whether received or raised here.
func (s *Service) Suspicions() uint64 { return s.suspicions.Load() }

// AddItems merges items from this host's own components and gossips those that are new.
// It blocks while the request queue is full.
func (s *Service) AddItems(ctx context.Context, list ...items.Item) error {
	if len(list) == 0 {
		return nil
	}
	return s.requests.Push(ctx, event{addedItems: list})
}

// SetLeaving announces that this host is leaving the fleet, or withdraws that
// announcement.
func (s *Service) SetLeaving(ctx context.Context, leaving bool) error {
	return s.requests.Push(ctx, event{leaving: &leaving})
}

// SetEntryReady announces whether this host's entry program serves callers.
func (s *Service) SetEntryReady(ctx context.Context, ready bool) error {
	return s.requests.Push(ctx, event{entryReady: &ready})
}

// SetSeeds replaces the addresses that are contacted to join or rejoin the fleet.
func (s *Service) SetSeeds(ctx context.Context, addresses []string) error {
	return s.requests.Push(ctx, event{seeds: addresses})
}

// Depart announces that this host has left the fleet and allows departFlushWait for the
// announcement to be sent.
func (s *Service) Depart(ctx context.Context) error {
	done := make(chan struct{})
	if err := s.requests.Push(ctx, event{depart: true, done: done}); err != nil {
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
func (s *Service) Run(ctx context.Context) {
	s.ctx = ctx
	defer s.outbox.wait()
	defer s.requests.Close()
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-s.datagrams.C():
			s.handle(time.Now(), e)
		case e := <-s.requests.C():
			s.handle(time.Now(), e)
		case <-timer.C:
			now := time.Now()
			s.tick(now)
			next = now.Add(min(max(s.opt.Heartbeat/ticksPerHeartbeat, minTick), maxTick))
			timer.Reset(next.Sub(now))
		case <-ctx.Done():
			return
		}
		if now := time.Now(); s.busy() && next.Sub(now) > s.busyTick() {
			next = now.Add(s.busyTick())
			timer.Reset(s.busyTick())
		}
	}
}

func (s *Service) busyTick() time.Duration {
	return min(max(s.opt.Heartbeat/busyTicksPerHeartbeat, minTick), maxBusyTick)
}

// busy reports whether there are urgent updates to send or an urgent change of the state
// to publish.
func (s *Service) busy() bool {
	urgent, _ := s.queue.Len()
	return urgent > 0 || s.pendingPublish.urgent
}

func (s *Service) tick(now time.Time) {
	s.applyOutput(now, s.machine.Tick(now), "")
	s.flush(now)
	if !now.Before(s.nextExpire) {
		s.nextExpire = now.Add(s.opt.Heartbeat)
		s.queue.Expire(now, s.machine.Links())
		if s.store.Expire(now) {
			s.pendingPublish.hints = true
		}
	}
	if !now.Before(s.nextExchange) {
		s.startExchange(now)
	}
	if s.pendingPublish.due(now, s.opt.Heartbeat) {
		s.state.Store(s.snapshot(now))
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// flush sends the urgent updates that are due to every linked host.
func (s *Service) flush(now time.Time) {
	if urgent, _ := s.queue.Len(); urgent == 0 {
		return
	}
	for _, link := range s.machine.Links() {
		for u := s.queue.TakeUrgent(now, link.Host); !u.Empty(); u = s.queue.TakeUrgent(now, link.Host) {
			s.send(link.Control, datagram{Message: membership.Message{Kind: membership.UpdatesOnly}, UpdateSet: u})
		}
	}
}

func (s *Service) handle(now time.Time, e event) {
	switch {
	case e.received != nil:
		s.receive(now, e.received)
	case e.addedItems != nil:
		s.mergeItems(now, e.addedItems, "")
	case e.leaving != nil:
		s.applyOutput(now, s.machine.SetLeaving(*e.leaving), "")
	case e.entryReady != nil:
		s.applyOutput(now, s.machine.SetEntryReady(*e.entryReady), "")
	case e.depart:
		s.applyOutput(now, s.machine.Depart(), "")
		s.flush(now)
	case e.seeds != nil:
		s.machine.SetSeeds(e.seeds)
	case e.request != nil:
		e.replies <- s.replyToExchange(now, e.request)
	case e.reply != nil:
		s.finishExchange(now, e.from, e.reply)
	case e.drop != "":
		s.dropUnlessLinked(e.drop)
	}
	if e.done != nil {
		close(e.done)
	}
}

func (s *Service) receive(now time.Time, g *datagram) {
	s.reportNewerGeneration(g.Generation, g.From.Control)
	s.applyOutput(now, s.machine.Receive(now, g.From, g.Message), g.From.Host)
	s.mergeUpdates(now, g.UpdateSet, g.From.Host)
}

// reportNewerGeneration calls OnNewerGeneration if g is above the local generation.
func (s *Service) reportNewerGeneration(g model.Generation, address string) {
	if g > s.opt.Generation() {
		s.opt.OnNewerGeneration(g, address)
	}
}

func (s *Service) mergeUpdates(now time.Time, u dissemination.Updates, from model.HostID) {
	if len(u.Records) > 0 {
		s.applyOutput(now, s.machine.MergeRecords(now, u.Records), from)
	}
	s.mergeItems(now, u.Items, from)
}

func (s *Service) mergeItems(now time.Time, list []items.Item, from model.HostID) {
	for _, i := range list {
		if !s.store.Merge(now, i) {
			continue
		}
		s.queue.AddItem(now, i, from)
		if limits, _ := items.LimitsOf(i.Kind); limits.Urgent {
			s.pendingPublish.urgent = true
		} else {
			s.pendingPublish.hints = true
		}
	}
}

// applyOutput carries out the actions that the membership machine returned. from is the
// host whose message or records caused them, "" for a local cause.
func (s *Service) applyOutput(now time.Time, out membership.Output, from model.HostID) {
	for _, r := range out.Updates {
		s.queue.AddRecord(now, r, from)
		s.pendingPublish.urgent = true
		s.countAndLogRecord(r)
	}
	for _, outgoing := range out.Sends {
		g := datagram{Message: outgoing.Message}
		if outgoing.Message.Kind == membership.Ping || outgoing.Message.Kind == membership.Ack {
			g.UpdateSet = s.queue.TakeForHeartbeat(now, outgoing.To)
		}
		g.UpdateSet.Records = append(g.UpdateSet.Records, outgoing.Payload...)
		s.send(outgoing.Address, g)
	}
	for _, address := range out.Drop {
		s.mesh.Drop(address)
	}
	if out.Contact != "" {
		s.exchangeWith(out.Contact)
	}
}

// countAndLogRecord counts suspicions and logs other hosts that are no longer alive.
func (s *Service) countAndLogRecord(r members.Record) {
	if r.State == members.Suspect {
		s.suspicions.Add(1)
	}
	if r.Host != s.opt.Self.Host && r.State != members.Alive {
		s.opt.Log.Info("Host suspect or dead", "host", r.Host, "dead", r.State == members.Dead)
	}
}

func (s *Service) send(address string, g datagram) {
	g.From = s.machine.Sender()
	g.Generation = s.opt.Generation()
	b, err := wire.Encode(g)
	if err != nil {
		s.opt.Log.Error("Failed to encode datagram", "err", err)
		return
	}
	s.outbox.send(s.ctx, address, b)
}
