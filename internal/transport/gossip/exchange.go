package gossip

import (
	"context"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/dissemination"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
)

// startExchange starts an exchange with a random linked host and schedules the next one
// after 0.5 to 1.5 times the mean interval.
func (s *Service) startExchange(now time.Time) {
	interval := exchangeHeartbeats * s.opt.Heartbeat
	s.nextExchange = now.Add(interval/2 + time.Duration(s.opt.Random()%uint64(interval)))
	if links := s.machine.Links(); len(links) > 0 {
		s.exchangeWith(links[s.opt.Random()%uint64(len(links))].Control)
	}
}

// exchangeWith sends the digests of this host's tables to the process at address in the
// background. The reply is handled as an event.
func (s *Service) exchangeWith(address string) {
	request := s.digests()
	s.outbox.background(s.ctx, address, func(ctx context.Context) {
		var reply exchangeReply
		if err := s.mesh.Call(ctx, address, wire.MethodExchange, request, &reply); err != nil {
			return
		}
		_ = s.requests.Push(ctx, event{reply: &reply, from: address})
	})
}

func (s *Service) digests() exchangeRequest {
	m, i := s.machine.Table().Digest(), s.store.Digest()
	return exchangeRequest{From: s.machine.Sender(), Generation: s.opt.Generation(), Members: m[:], Items: i[:]}
}

// finishExchange merges the peer's entries of the buckets that differ and pushes this
// host's entries of them to the peer.
func (s *Service) finishExchange(now time.Time, address string, reply *exchangeReply) {
	s.reportNewerGeneration(reply.Generation, address)
	own := dissemination.Updates{
		Records: s.machine.Table().InBuckets(inBuckets(reply.MemberBuckets)),
		Items:   s.store.AntiEntropyItems(now, inBuckets(reply.ItemBuckets)),
	}
	s.applyOutput(now, s.machine.ReceiveExchange(now, reply.From), reply.From.Host)
	s.mergeUpdates(now, reply.UpdateSet, reply.From.Host)
	if own.Empty() {
		s.dropUnlessLinked(address)
		return
	}
	push := exchangeRequest{From: s.machine.Sender(), Generation: s.opt.Generation(), Push: &own}
	// The call that returned the reply may still occupy the outbox slot of this address, so
	// the push uses a slot of its own. A lost push is made up for by the peer's next
	// exchange.
	s.pushTo(address, push)
}

func (s *Service) pushTo(address string, push exchangeRequest) {
	s.outbox.background(s.ctx, "push "+address, func(ctx context.Context) {
		var reply exchangeReply
		_ = s.mesh.Call(ctx, address, wire.MethodExchange, push, &reply)
		_ = s.requests.Push(ctx, event{drop: address})
	})
}

// dropUnlessLinked closes the connection to an address unless it belongs to a linked host,
// so that a host through which many others join does not keep a connection to each.
func (s *Service) dropUnlessLinked(address string) {
	for _, l := range s.machine.Links() {
		if l.Control == address {
			return
		}
	}
	s.mesh.Drop(address)
}

// serveExchange handles a peer's exchange request in the event loop and returns the reply.
func (s *Service) serveExchange(ctx context.Context, _ string, b []byte) (any, error) {
	var r exchangeRequest
	if err := wire.Decode(b, &r); err != nil {
		return nil, err
	}
	replies := make(chan exchangeReply, 1)
	if err := s.requests.Push(ctx, event{request: &r, replies: replies}); err != nil {
		return nil, err
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// replyToExchange merges the pushed entries, or compares the digests and returns the
// differing buckets with this host's entries of them.
func (s *Service) replyToExchange(now time.Time, r *exchangeRequest) exchangeReply {
	s.reportNewerGeneration(r.Generation, r.From.Control)
	reply := exchangeReply{From: s.machine.Sender(), Generation: s.opt.Generation()}
	if r.Push != nil {
		s.mergeUpdates(now, *r.Push, r.From.Host)
		return reply
	}
	m, i := s.machine.Table().Digest(), s.store.Digest()
	reply.MemberBuckets = differingBuckets(m[:], r.Members)
	reply.ItemBuckets = differingBuckets(i[:], r.Items)
	reply.UpdateSet = dissemination.Updates{
		Records: s.machine.Table().InBuckets(inBuckets(reply.MemberBuckets)),
		Items:   s.store.AntiEntropyItems(now, inBuckets(reply.ItemBuckets)),
	}
	s.applyOutput(now, s.machine.ReceiveExchange(now, r.From), r.From.Host)
	return reply
}
