package gossip

import (
	"context"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/dissemination"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
)

// startExchange compares tables with one linked host, now and then.
func (d *Duty) startExchange(now time.Time) {
	interval := exchangeHeartbeats * d.opt.Heartbeat
	d.nextExchange = now.Add(interval/2 + time.Duration(d.opt.Random()%uint64(interval)))
	if links := d.machine.Links(); len(links) > 0 {
		d.exchangeWith(links[d.opt.Random()%uint64(len(links))].Control)
	}
}

// exchangeWith compares tables with the process at address in the background. The
// reply comes back as an event.
func (d *Duty) exchangeWith(address string) {
	request := d.digests()
	d.outbox.background(d.ctx, address, func(ctx context.Context) {
		var reply exchangeReply
		if err := d.mesh.Call(ctx, address, wire.MethodExchange, request, &reply); err != nil {
			return
		}
		_ = d.requests.Push(ctx, event{reply: &reply, from: address})
	})
}

func (d *Duty) digests() exchangeRequest {
	m, i := d.machine.Table().Digest(), d.store.Digest()
	return exchangeRequest{From: d.machine.Sender(), Generation: d.opt.Generation(), Members: m[:], Items: i[:]}
}

// finishExchange takes the peer's part of what differs and hands over its own.
func (d *Duty) finishExchange(now time.Time, address string, reply *exchangeReply) {
	d.hear(reply.Generation, address)
	own := dissemination.Updates{
		Records: d.machine.Table().Bucket(marked(reply.MemberBuckets)),
		Items:   d.store.Kept(now, marked(reply.ItemBuckets)),
	}
	d.act(now, d.machine.ReceiveExchange(now, reply.From), reply.From.Host)
	d.learnNews(now, reply.News, reply.From.Host)
	if own.Empty() {
		d.release(address)
		return
	}
	push := exchangeRequest{From: d.machine.Sender(), Generation: d.opt.Generation(), Push: &own}
	// The exchange's own dial slot is still held for a moment; a lost push is made up
	// for by the peer's next exchange.
	d.pushTo(address, push)
}

func (d *Duty) pushTo(address string, push exchangeRequest) {
	d.outbox.background(d.ctx, "push "+address, func(ctx context.Context) {
		var reply exchangeReply
		_ = d.mesh.Call(ctx, address, wire.MethodExchange, push, &reply)
		_ = d.requests.Push(ctx, event{release: address})
	})
}

// release closes the connection to an address that is no link, so that a host that
// many join through does not keep a connection for each.
func (d *Duty) release(address string) {
	for _, l := range d.machine.Links() {
		if l.Control == address {
			return
		}
	}
	d.mesh.Drop(address)
}

// serveExchange answers a peer's exchange from the duty's loop.
func (d *Duty) serveExchange(ctx context.Context, _ string, b []byte) (any, error) {
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

func (d *Duty) answerExchange(now time.Time, r *exchangeRequest) exchangeReply {
	d.hear(r.Generation, r.From.Control)
	reply := exchangeReply{From: d.machine.Sender(), Generation: d.opt.Generation()}
	if r.Push != nil {
		d.learnNews(now, *r.Push, r.From.Host)
		return reply
	}
	m, i := d.machine.Table().Digest(), d.store.Digest()
	reply.MemberBuckets = differing(m[:], r.Members)
	reply.ItemBuckets = differing(i[:], r.Items)
	reply.News = dissemination.Updates{
		Records: d.machine.Table().Bucket(marked(reply.MemberBuckets)),
		Items:   d.store.Kept(now, marked(reply.ItemBuckets)),
	}
	d.act(now, d.machine.ReceiveExchange(now, r.From), r.From.Host)
	return reply
}
