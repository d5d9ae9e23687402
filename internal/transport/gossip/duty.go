// Package gossip is the duty that keeps a host's view of the fleet: it runs the
// membership machine and spreads records and items over the overlay's datagrams,
// with anti-entropy over streams.
//
// Invariant: one goroutine owns the machine, the store and the queue; everything
// else reaches them through the duty's rings and reads immutable states.
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
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/ring"
)

const (
	// received datagrams wait in a ring that drops its oldest; requests block.
	datagramRing = 1024
	requestRing  = 64
	// ticksPerHeartbeat sets how finely the machine's time advances at rest,
	// busyTicksPerHeartbeat while there are urgent news to send or a state to hand on.
	ticksPerHeartbeat     = 5
	busyTicksPerHeartbeat = 20
	minTick               = 5 * time.Millisecond
	maxTick               = 200 * time.Millisecond
	maxBusyTick           = 50 * time.Millisecond
	// exchangeHeartbeats is the mean interval between two exchanges with a peer.
	exchangeHeartbeats = 5
	departLinger       = 200 * time.Millisecond
)

// Options configures a Duty.
type Options struct {
	Self      members.Record
	Heartbeat time.Duration
	Log       *slog.Logger
	// Random yields uniform numbers.
	Random func() uint64
	// Generation returns that of the configuration in force here.
	Generation func() model.Generation
	// Heard is told that the process at address has a generation in force. It does
	// not block.
	Heard func(g model.Generation, address string)
}

// Duty is the duty. Its methods may be called from any goroutine.
type Duty struct {
	opt       Options
	mesh      *quicmesh.Mesh
	outbox    *outbox
	datagrams *ring.Ring[event]
	requests  *ring.Ring[event]
	state     atomic.Pointer[State]
	changed   chan struct{}
	suspected atomic.Uint64

	machine      *membership.Machine
	store        *items.Store
	queue        *dissemination.Queue
	publish      publisher
	nextExchange time.Time
	nextExpire   time.Time
	ctx          context.Context
}

// New returns a duty; Attach gives it its mesh before Run.
func New(opt Options) *Duty {
	now := time.Now()
	d := &Duty{
		opt:       opt,
		datagrams: ring.New[event](datagramRing, ring.DropOldest),
		requests:  ring.New[event](requestRing, ring.Block),
		changed:   make(chan struct{}, 1),
		machine:   membership.New(membership.Options{Self: opt.Self, Heartbeat: opt.Heartbeat, Random: opt.Random}, now),
		store:     items.NewStore(),
		queue:     dissemination.NewQueue(),
	}
	d.state.Store(d.snapshot(now))
	return d
}

// Attach makes the duty use the mesh and answer exchanges; before the mesh starts.
// The mesh's Options.OnDatagram is the duty's OnDatagram.
func (d *Duty) Attach(mesh *quicmesh.Mesh) {
	d.mesh = mesh
	d.outbox = newOutbox(mesh)
	mesh.Handle(wire.MethodExchange, d.serveExchange)
}

// OnDatagram takes a datagram of the mesh.
func (d *Duty) OnDatagram(_ string, b []byte) {
	var g datagram
	if err := wire.Decode(b, &g); err != nil {
		d.opt.Log.Debug("Datagram not readable.", "err", err)
		return
	}
	_ = d.datagrams.Push(context.Background(), event{received: &g})
}

// State returns what the host knows.
func (d *Duty) State() *State { return d.state.Load() }

// Changed receives after the state changed; several changes may make one signal.
func (d *Duty) Changed() <-chan struct{} { return d.changed }

// Suspicions returns the number of suspicions of other hosts that were news here.
func (d *Duty) Suspicions() uint64 { return d.suspected.Load() }

// Learn takes items from this host's own duties and spreads what is news.
func (d *Duty) Learn(ctx context.Context, list ...items.Item) error {
	if len(list) == 0 {
		return nil
	}
	return d.requests.Push(ctx, event{learned: list})
}

// SetLeaving announces that this host leaves, or that it does not any more.
func (d *Duty) SetLeaving(ctx context.Context, leaving bool) error {
	return d.requests.Push(ctx, event{leaving: &leaving})
}

// SetSeeds replaces the addresses through which to join and rejoin.
func (d *Duty) SetSeeds(ctx context.Context, addresses []string) error {
	return d.requests.Push(ctx, event{seeds: addresses})
}

// Depart announces that this host is gone and waits until the news is sent.
func (d *Duty) Depart(ctx context.Context) error {
	done := make(chan struct{})
	if err := d.requests.Push(ctx, event{depart: true, done: done}); err != nil {
		return err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	linger := time.NewTimer(departLinger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	return nil
}

// Run runs the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
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

func (d *Duty) busyTick() time.Duration {
	return min(max(d.opt.Heartbeat/busyTicksPerHeartbeat, minTick), maxBusyTick)
}

// busy says that something is to be sent or handed on soon.
func (d *Duty) busy() bool {
	urgent, _ := d.queue.Len()
	return urgent > 0 || d.publish.urgent
}

func (d *Duty) tick(now time.Time) {
	d.act(now, d.machine.Tick(now), "")
	d.flush(now)
	if !now.Before(d.nextExpire) {
		d.nextExpire = now.Add(d.opt.Heartbeat)
		d.queue.Expire(now, d.machine.Links())
		if d.store.Expire(now) {
			d.publish.hints = true
		}
	}
	if !now.Before(d.nextExchange) {
		d.startExchange(now)
	}
	if d.publish.due(now, d.opt.Heartbeat) {
		d.state.Store(d.snapshot(now))
		select {
		case d.changed <- struct{}{}:
		default:
		}
	}
}

// flush sends the urgent news to every linked host.
func (d *Duty) flush(now time.Time) {
	if urgent, _ := d.queue.Len(); urgent == 0 {
		return
	}
	for _, link := range d.machine.Links() {
		for n := d.queue.Urgent(now, link.Host); !n.Empty(); n = d.queue.Urgent(now, link.Host) {
			d.send(link.Control, datagram{Message: membership.Message{Kind: membership.UpdatesOnly}, News: n})
		}
	}
}

func (d *Duty) handle(now time.Time, e event) {
	switch {
	case e.received != nil:
		d.receive(now, e.received)
	case e.learned != nil:
		d.learnItems(now, e.learned, "")
	case e.leaving != nil:
		d.act(now, d.machine.SetLeaving(*e.leaving), "")
	case e.depart:
		d.act(now, d.machine.Depart(), "")
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

func (d *Duty) receive(now time.Time, g *datagram) {
	d.hear(g.Generation, g.From.Control)
	d.act(now, d.machine.Receive(now, g.From, g.Message), g.From.Host)
	d.learnNews(now, g.News, g.From.Host)
}

func (d *Duty) hear(g model.Generation, address string) {
	if g > d.opt.Generation() {
		d.opt.Heard(g, address)
	}
}

func (d *Duty) learnNews(now time.Time, n dissemination.Updates, from model.HostID) {
	if len(n.Records) > 0 {
		d.act(now, d.machine.MergeRecords(now, n.Records), from)
	}
	d.learnItems(now, n.Items, from)
}

func (d *Duty) learnItems(now time.Time, list []items.Item, from model.HostID) {
	for _, i := range list {
		if !d.store.Merge(now, i) {
			continue
		}
		d.queue.AddItem(now, i, from)
		if limits, _ := items.LimitsOf(i.Kind); limits.Urgent {
			d.publish.urgent = true
		} else {
			d.publish.hints = true
		}
	}
}

// act does what the machine wants done. from is the host that news came from.
func (d *Duty) act(now time.Time, out membership.Output, from model.HostID) {
	for _, r := range out.Updates {
		d.queue.AddRecord(now, r, from)
		d.publish.urgent = true
		d.logRecord(r)
	}
	for _, s := range out.Sends {
		g := datagram{Message: s.Message}
		if s.Message.Kind == membership.Ping || s.Message.Kind == membership.Ack {
			g.News = d.queue.Heartbeat(now, s.To)
		}
		g.News.Records = append(g.News.Records, s.Payload...)
		d.send(s.Address, g)
	}
	for _, address := range out.Drop {
		d.mesh.Drop(address)
	}
	if out.Contact != "" {
		d.exchangeWith(out.Contact)
	}
}

func (d *Duty) logRecord(r members.Record) {
	if r.State == members.Suspect {
		d.suspected.Add(1)
	}
	if r.Host != d.opt.Self.Host && r.State != members.Alive {
		d.opt.Log.Info("Host is not answering.", "host", r.Host, "dead", r.State == members.Dead)
	}
}

func (d *Duty) send(address string, g datagram) {
	g.From = d.machine.Sender()
	g.Generation = d.opt.Generation()
	b, err := wire.Encode(g)
	if err != nil {
		d.opt.Log.Error("Datagram not encoded.", "err", err)
		return
	}
	d.outbox.send(d.ctx, address, b)
}
