package gossip

import (
	"context"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/dissemination"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
)

// startExchange starts an exchange with a random linked host and schedules the next one
// after 0.5 to 1.5 times the mean interval.
func (d *Service) startExchange(now time.Time) {
	interval := exchangeHeartbeats * d.opt.Heartbeat
	d.nextExchange = now.Add(interval/2 + time.Duration(d.opt.Random()%uint64(interval)))
	if links := d.machine.Links(); len(links) > 0 {
		d.exchangeWith(links[d.opt.Random()%uint64(len(links))].Control)
	}
}

// exchangeWith sends the digests of this host's tables to the process at address in the
// background. The reply is handled as an event.
func (d *Service) exchangeWith(address string) {
	request := d.digests()
	d.outbox.background(d.ctx, address, func(ctx context.Context) {
		var reply exchangeReply
		if err := d.mesh.Call(ctx, address, wire.MethodExchange, request, &reply); err != nil {
			return
		}
		_ = d.requests.Push(ctx, event{reply: &reply, from: address})
	})
}

func (d *Service) digests() exchangeRequest {
	m, i := d.machine.Table().Digest(), d.store.Digest()
	return exchangeRequest{From: d.machine.Sender(), Generation: d.opt.Generation(), Members: m[:], Items: i[:]}
}

// finishExchange merges the peer's entries of the buckets that differ and pushes this
// host's entries of them to the peer.
func (d *Service) finishExchange(now time.Time, address string, reply *exchangeReply) {
	d.reportNewerGeneration(reply.Generation, address)
	own := dissemination.Updates{
		Records: d.machine.Table().InBuckets(inBuckets(reply.MemberBuckets)),
		Items:   d.store.AntiEntropyItems(now, inBuckets(reply.ItemBuckets)),
	}
	d.applyOutput(now, d.machine.ReceiveExchange(now, reply.From), reply.From.Host)
	d.mergeUpdates(now, reply.UpdateSet, reply.From.Host)
	if own.Empty() {
		d.release(address)
		return
	}
	push := exchangeRequest{From: d.machine.Sender(), Generation: d.opt.Generation(), Push: &own}
	// The call that returned the reply may still occupy the outbox slot of this address, so
	// the push uses a slot of its own. A lost push is made up for by the peer's next
	// exchange.
	d.pushTo(address, push)
}

func (d *Service) pushTo(address string, push exchangeRequest) {
	d.outbox.background(d.ctx, "push "+address, func(ctx context.Context) {
		var reply exchangeReply
		_ = d.mesh.Call(ctx, address, wire.MethodExchange, push, &reply)
		_ = d.requests.Push(ctx, event{release: address})
	})
}

// release closes the connection to an address unless it belongs to a linked host, so
// that a host through which many others join does not keep a connection to each.
func (d *Service) release(address string) {
	for _, l := range d.machine.Links() {
		if l.Control == address {
			return
		}
	}
	d.mesh.Drop(address)
}

// serveExchange handles a peer's exchange request in the event loop and returns the reply.
func (d *Service) serveExchange(ctx context.Context, _ string, b []byte) (any, error) {
	var r exchangeRequest
	if err := wire.Decode(b, &r); err != nil {
		return nil, err
	}
	answer := make(chan exchangeReply, 1)
	if err := d.requests.Push(ctx, event{request: &r, answer: answer}); err != nil {
		return nil, err
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (d *Service) answerExchange(now time.Time, r *exchangeRequest) exchangeReply {
	d.reportNewerGeneration(r.Generation, r.From.Control)
	reply := exchangeReply{From: d.machine.Sender(), Generation: d.opt.Generation()}
	if r.Push != nil {
		d.mergeUpdates(now, *r.Push, r.From.Host)
		return reply
	}
	m, i := d.machine.Table().Digest(), d.store.Digest()
	reply.MemberBuckets = differingBuckets(m[:], r.Members)
	reply.ItemBuckets = differingBuckets(i[:], r.Items)
	reply.UpdateSet = dissemination.Updates{
		Records: d.machine.Table().InBuckets(inBuckets(reply.MemberBuckets)),
		Items:   d.store.AntiEntropyItems(now, inBuckets(reply.ItemBuckets)),
	}
	d.applyOutput(now, d.machine.ReceiveExchange(now, r.From), r.From.Host)
	return reply
}
