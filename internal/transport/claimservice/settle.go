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

// Settle implements Claims. It only queues the outcome, which settleLoop sends until it is
// durable, and does not use the context.
func (s *Service) Settle(_ context.Context, c Claim, outcome resultcode.Outcome, answer Answer) {
	var id journal.Attempt
	if n, err := hex.Decode(id[:], []byte(c.Attempt)); err != nil || n != len(id) {
		return
	}
	state := journal.Unknown
	switch outcome {
	case resultcode.NotRun:
		state = journal.Free
	case resultcode.Ran:
		state = journal.Ran
	}
	s.attempts.end(id, state, answer.Status, answer.Body)
}

// settleLoop sends the outcomes of this host's attempts until ctx ends, one message per shard
// at a time.
func (s *Service) settleLoop(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-s.attempts.wake:
		case <-time.After(settleRetryInterval):
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, settleBatchDelay) {
			return
		}
		for _, shard := range s.attempts.shardsToSettle() {
			batch, items := s.attempts.nextBatch(shard)
			if len(batch) == 0 {
				continue
			}
			sending.Go(func() {
				results, _ := s.sendSettlements(ctx, shard, items)
				s.attempts.batchDone(shard, batch, results)
			})
		}
		unsettled, heldBytes := s.attempts.size()
		s.metrics.unsettledAttempts.Set(float64(unsettled))
		s.metrics.heldBytes.Set(float64(heldBytes))
	}
}

// sendSettlements sends outcomes to the shard's owner and returns the result of each.
func (s *Service) sendSettlements(ctx context.Context, shard string, items []settlement) ([]settleResult, error) {
	request := settleRequest{Shard: shard, Items: items}
	var reply settleReply
	err := s.callOwner(ctx, shard, SettleTimeout, func(ctx context.Context, o *owner, address string) error {
		if o != nil {
			reply = o.serveSettle(ctx, request)
			return nil
		}
		return s.opt.Mesh.Call(ctx, address, wire.MethodSettle, request, &reply)
	})
	return reply.Results, err
}
