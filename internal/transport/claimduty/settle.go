package claimduty

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/journal"
)

const (
	// settleTick gathers ends into one message a shard.
	settleTick = 20 * time.Millisecond
	// settleRetry is the pause after a message that was not taken.
	settleRetry = 100 * time.Millisecond
)

// Settle implements Claims. It returns at once; the end is sent until it is durable.
func (d *Duty) Settle(_ context.Context, t Ticket, outcome resultcode.Outcome, answer Answer) {
	var id journal.Attempt
	if n, err := hex.Decode(id[:], []byte(t.Attempt)); err != nil || n != len(id) {
		return
	}
	end := journal.Unknown
	switch outcome {
	case resultcode.NotRun:
		end = journal.Free
	case resultcode.Ran:
		end = journal.Ran
	}
	d.attempts.finish(id, end, answer.Status, answer.Body)
}

// settleAll sends the ends of this host's attempts, one message a shard at a time.
func (d *Duty) settleAll(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-d.attempts.kick:
		case <-time.After(settleRetry):
		case <-ctx.Done():
			return
		}
		if !pause(ctx, settleTick) {
			return
		}
		for _, shard := range d.attempts.waiting() {
			batch, items := d.attempts.take(shard)
			if len(batch) == 0 {
				continue
			}
			sending.Go(func() {
				results, _ := d.sendEnds(ctx, shard, items)
				d.attempts.sent(shard, batch, results)
			})
		}
		live, bytes := d.attempts.size()
		d.metrics.live.Set(float64(live))
		d.metrics.heldBytes.Set(float64(bytes))
	}
}

// sendEnds sends ends to the shard's owner and returns what became of each.
func (d *Duty) sendEnds(ctx context.Context, shard string, items []settlement) ([]settled, error) {
	request := settleRequest{Shard: shard, Items: items}
	var reply settleReply
	err := d.atOwner(ctx, shard, SettleTimeout, func(ctx context.Context, o *owner, address string) error {
		if o != nil {
			reply = o.serveSettle(ctx, request)
			return nil
		}
		return d.opt.Mesh.Call(ctx, address, wire.MethodSettle, request, &reply)
	})
	return reply.Results, err
}
