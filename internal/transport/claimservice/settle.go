package claimservice

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
	// settleBatchDelay collects outcomes into one message per shard.
	settleBatchDelay = 20 * time.Millisecond
	// settleRetryInterval is the longest delay before outcomes that were not recorded are
	// sent again.
	settleRetryInterval = 100 * time.Millisecond
)

// Settle implements Claims. It returns at once; the outcome is sent until it is durable.
func (d *Service) Settle(_ context.Context, t Ticket, outcome resultcode.Outcome, answer Answer) {
	var id journal.Attempt
	if n, err := hex.Decode(id[:], []byte(t.Attempt)); err != nil || n != len(id) {
		return
	}
	state := journal.Unknown
	switch outcome {
	case resultcode.NotRun:
		state = journal.Free
	case resultcode.Ran:
		state = journal.Ran
	}
	d.attempts.finish(id, state, answer.Status, answer.Body)
}

// settleAll sends the outcomes of this host's attempts, one message per shard at a time.
func (d *Service) settleAll(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-d.attempts.wake:
		case <-time.After(settleRetryInterval):
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, settleBatchDelay) {
			return
		}
		for _, shard := range d.attempts.shardsToSettle() {
			batch, items := d.attempts.nextBatch(shard)
			if len(batch) == 0 {
				continue
			}
			sending.Go(func() {
				results, _ := d.sendSettlements(ctx, shard, items)
				d.attempts.batchDone(shard, batch, results)
			})
		}
		live, bytes := d.attempts.size()
		d.metrics.live.Set(float64(live))
		d.metrics.heldBytes.Set(float64(bytes))
	}
}

// sendSettlements sends outcomes to the shard's owner and returns the result of each.
func (d *Service) sendSettlements(ctx context.Context, shard string, items []settlement) ([]settleResult, error) {
	request := settleRequest{Shard: shard, Items: items}
	var reply settleReply
	err := d.callOwner(ctx, shard, SettleTimeout, func(ctx context.Context, o *owner, address string) error {
		if o != nil {
			reply = o.serveSettle(ctx, request)
			return nil
		}
		return d.opt.Mesh.Call(ctx, address, wire.MethodSettle, request, &reply)
	})
	return reply.Results, err
}
