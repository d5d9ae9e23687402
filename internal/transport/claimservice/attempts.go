package claimservice

import (
	"context"
	"sync"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

const (
	// maxAttempts limits this host's attempts without a durable outcome.
	maxAttempts = 16384
	// maxHeldBytes limits the answers held in memory; the oldest are dropped first.
	maxHeldBytes = 16 << 20
	// maxHeldAnswerBytes is the largest answer held; resends get VerdictAnswerLost for
	// larger ones.
	maxHeldAnswerBytes = 3 << 20
	// maxSettleItems and maxSettleBytes limit one settlement message.
	maxSettleItems = 256
	maxSettleBytes = 512 << 10
)

// attempt is one call of Begin at this entry host.
type attempt struct {
	id    journal.Attempt
	key   journal.Key
	shard string
	// state is Running until the attempt ends; then done is closed.
	state  journal.State
	status int
	done   chan struct{}
}

// heldAnswer is an answer kept in memory for resends.
type heldAnswer struct {
	status int
	body   []byte
}

// attempts tracks this process's own attempts. An attempt is removed only once its
// outcome is durable, or if no message about it was ever sent. Therefore this process
// will not dispatch an attempt that is missing here.
type attempts struct {
	mu sync.Mutex
	// unsettled holds the attempts that are running or whose outcome is not durable.
	unsettled map[journal.Attempt]*attempt
	// pending holds, by shard, the ended attempts whose outcome is not durable, and sending
	// the shards with a settlement message in flight.
	pending map[string][]*attempt
	sending map[string]bool
	// held holds the answers in memory. heldOrder lists their attempts, oldest first, and may
	// still list attempts whose answers were dropped.
	held      map[journal.Attempt]heldAnswer
	heldOrder []journal.Attempt
	heldBytes int
	// wake makes settleLoop send the pending outcomes.
	wake chan struct{}
}

func newAttempts() *attempts {
	return &attempts{
		unsettled: map[journal.Attempt]*attempt{},
		pending:   map[string][]*attempt{},
		sending:   map[string]bool{},
		held:      map[journal.Attempt]heldAnswer{},
		wake:      make(chan struct{}, 1),
	}
}

// register adds an attempt; it must be called before the first message about it. It
// returns false if there are too many.
func (a *attempts) register(at *attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.unsettled) >= maxAttempts {
		return false
	}
	at.state, at.done = journal.Running, make(chan struct{})
	a.unsettled[at.id] = at
	return true
}

// unregister removes an attempt about which no message was sent.
func (a *attempts) unregister(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.unsettled, at.id)
	close(at.done)
}

// end records the outcome of an attempt and queues its settlement. An answer with
// status 0 is not held: resends learn that the request ran and its answer is lost.
func (a *attempts) end(id journal.Attempt, outcome journal.State, status int, body []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.unsettled[id]
	if !ok || at.state != journal.Running {
		return
	}
	at.state, at.status = outcome, status
	if outcome == journal.Ran && status != 0 {
		a.holdAnswer(id, heldAnswer{status, body})
	}
	close(at.done)
	a.pending[at.shard] = append(a.pending[at.shard], at)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// holdAnswer must be called with mu held.
func (a *attempts) holdAnswer(id journal.Attempt, h heldAnswer) {
	if len(h.body) > maxHeldAnswerBytes {
		return
	}
	a.held[id] = h
	a.heldOrder = append(a.heldOrder, id)
	a.heldBytes += len(h.body)
	for a.heldBytes > maxHeldBytes {
		a.dropAnswer(a.heldOrder[0])
		a.heldOrder = a.heldOrder[1:]
	}
	if len(a.heldOrder) > 2*len(a.held)+maxSettleItems {
		a.compactHeldOrder()
	}
}

// dropAnswer must be called with mu held.
func (a *attempts) dropAnswer(id journal.Attempt) {
	a.heldBytes -= len(a.held[id].body)
	delete(a.held, id)
}

// compactHeldOrder removes the attempts of dropped answers. It must be called with mu held.
func (a *attempts) compactHeldOrder() {
	kept := make([]journal.Attempt, 0, len(a.held))
	for _, id := range a.heldOrder {
		if _, ok := a.held[id]; ok {
			kept = append(kept, id)
		}
	}
	a.heldOrder = kept
}

// nextBatch returns the attempts and items of the next settlement message for a shard. It
// returns nothing while a message to the shard is in flight.
func (a *attempts) nextBatch(shard string) (batch []*attempt, items []settlement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sending[shard] {
		return nil, nil
	}
	bytes := 0
	for _, at := range a.pending[shard] {
		if len(batch) >= maxSettleItems || bytes >= maxSettleBytes {
			break
		}
		item := settlement{Key: at.key, Attempt: at.id, State: at.state, Status: at.status}
		if at.state == journal.Ran {
			h, ok := a.held[at.id]
			item.Held = !ok || len(h.body) > journal.MaxInlineAnswerBytes
			if !item.Held {
				item.Body = h.body
				bytes += len(h.body)
			}
		}
		batch, items = append(batch, at), append(items, item)
	}
	if len(batch) > 0 {
		a.sending[shard] = true
	}
	return batch, items
}

// batchDone processes the owner's results for a batch; results is nil if the call failed.
// Attempts whose outcome is not durable are queued again, ahead of newer ones.
func (a *attempts) batchDone(shard string, batch []*attempt, results []settleResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending[shard] = false
	var retry []*attempt
	for i, at := range batch {
		if i >= len(results) || !results[i].Durable {
			retry = append(retry, at)
			continue
		}
		delete(a.unsettled, at.id)
		if results[i].AnswerInJournal {
			a.dropAnswer(at.id)
		}
	}
	rest := append(retry, a.pending[shard][len(batch):]...)
	if len(rest) == 0 {
		delete(a.pending, shard)
		return
	}
	a.pending[shard] = rest
}

// shardsToSettle returns the shards with queued settlements and no message in flight.
func (a *attempts) shardsToSettle() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for shard := range a.pending {
		if !a.sending[shard] {
			out = append(out, shard)
		}
	}
	return out
}

// size returns the number of attempts without a durable outcome and the bytes of the held
// answers.
func (a *attempts) size() (unsettled, heldBytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.unsettled), a.heldBytes
}

// follow waits until the attempt or ctx ends and returns the state of the attempt.
func (a *attempts) follow(ctx context.Context, id journal.Attempt) followReply {
	a.mu.Lock()
	at, ok := a.unsettled[id]
	a.mu.Unlock()
	if !ok {
		if h, found := a.answer(id); found {
			return followReply{State: followEnded, End: journal.Ran, Status: h.status, Body: h.body, Found: true}
		}
		return followReply{State: followNotHeld}
	}
	select {
	case <-at.done:
	case <-ctx.Done():
		return followReply{State: followLive}
	}
	a.mu.Lock()
	reply := followReply{State: followEnded, End: at.state, Status: at.status}
	a.mu.Unlock()
	if reply.End == journal.Running {
		return followReply{State: followNotHeld}
	}
	if h, found := a.answer(id); found {
		reply.Body, reply.Found = h.body, true
	}
	return reply
}

// answer returns an answer held in memory.
func (a *attempts) answer(id journal.Attempt) (heldAnswer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.held[id]
	return h, ok
}
