package claimduty

import (
	"context"
	"sync"

	"oleanderfall.example/oleanderfall/internal/state/journal"
)

const (
	// maxAttempts bounds the attempts of this host without a durable end.
	maxAttempts = 16384
	// maxHeldBytes bounds the answers kept here; the oldest go first.
	maxHeldBytes = 16 << 20
	// maxHeldAnswer is the largest answer kept; a larger one is lost to resends.
	maxHeldAnswer = 3 << 20
	// settleItems and settleBytes bound one settlement message.
	settleItems = 256
	settleBytes = 512 << 10
)

// attempt is one sending of a request at this entry host.
type attempt struct {
	id    journal.Attempt
	key   journal.Key
	shard string
	// end is Running until the attempt ended; ended is closed then.
	end    journal.State
	status int
	ended  chan struct{}
}

// answerHeld is an answer kept for resends.
type answerHeld struct {
	status int
	body   []byte
}

// attempts is what this process knows of its own attempts. An attempt is forgotten
// only when its end is durable, or when no message about it was ever sent. So an
// attempt that this process does not have will not be dispatched by it.
type attempts struct {
	mu      sync.Mutex
	live    map[journal.Attempt]*attempt
	pending map[string][]*attempt
	sending map[string]bool
	held    map[journal.Attempt]answerHeld
	order   []journal.Attempt
	bytes   int
	kick    chan struct{}
}

func newAttempts() *attempts {
	return &attempts{
		live:    map[journal.Attempt]*attempt{},
		pending: map[string][]*attempt{},
		sending: map[string]bool{},
		held:    map[journal.Attempt]answerHeld{},
		kick:    make(chan struct{}, 1),
	}
}

// begin registers an attempt; it must precede the first message about it.
func (a *attempts) begin(at *attempt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.live) >= maxAttempts {
		return false
	}
	at.end, at.ended = journal.Running, make(chan struct{})
	a.live[at.id] = at
	return true
}

// forget drops an attempt that no owner can have heard of.
func (a *attempts) forget(at *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.live, at.id)
	close(at.ended)
}

// finish records how an attempt ended and queues its settlement. An answer without
// a status is none: a resend learns that the request ran and its answer is lost.
func (a *attempts) finish(id journal.Attempt, end journal.State, status int, body []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.live[id]
	if !ok || at.end != journal.Running {
		return
	}
	at.end, at.status = end, status
	if end == journal.Ran && status != 0 {
		a.hold(id, answerHeld{status, body})
	}
	close(at.ended)
	a.pending[at.shard] = append(a.pending[at.shard], at)
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// hold is called with mu held.
func (a *attempts) hold(id journal.Attempt, h answerHeld) {
	if len(h.body) > maxHeldAnswer {
		return
	}
	a.held[id] = h
	a.order = append(a.order, id)
	a.bytes += len(h.body)
	for a.bytes > maxHeldBytes {
		a.drop(a.order[0])
		a.order = a.order[1:]
	}
	if len(a.order) > 2*len(a.held)+settleItems {
		a.compactOrder()
	}
}

// drop is called with mu held.
func (a *attempts) drop(id journal.Attempt) {
	a.bytes -= len(a.held[id].body)
	delete(a.held, id)
}

func (a *attempts) compactOrder() {
	kept := make([]journal.Attempt, 0, len(a.held))
	for _, id := range a.order {
		if _, ok := a.held[id]; ok {
			kept = append(kept, id)
		}
	}
	a.order = kept
}

// take returns a message of ends for one shard, if none is on its way there.
func (a *attempts) take(shard string) (batch []*attempt, items []settlement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sending[shard] {
		return nil, nil
	}
	bytes := 0
	for _, at := range a.pending[shard] {
		if len(batch) >= settleItems || bytes >= settleBytes {
			break
		}
		item := settlement{Key: at.key, Attempt: at.id, State: at.end, Status: at.status}
		if at.end == journal.Ran {
			h, ok := a.held[at.id]
			item.Held = !ok || len(h.body) > journal.MaxInlineAnswer
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

// sent takes in what the owner said of a message; results is nil when it failed.
func (a *attempts) sent(shard string, batch []*attempt, results []settled) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending[shard] = false
	var again []*attempt
	for i, at := range batch {
		if i >= len(results) || !results[i].Durable {
			again = append(again, at)
			continue
		}
		delete(a.live, at.id)
		if results[i].Kept {
			a.drop(at.id)
		}
	}
	rest := append(again, a.pending[shard][len(batch):]...)
	if len(rest) == 0 {
		delete(a.pending, shard)
		return
	}
	a.pending[shard] = rest
}

// waiting returns the shards with ends to send.
func (a *attempts) waiting() []string {
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

// size returns the number of attempts without a durable end and the held bytes.
func (a *attempts) size() (live, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.live), a.bytes
}

// follow waits for the end of an attempt, at most until ctx ends.
func (a *attempts) follow(ctx context.Context, id journal.Attempt) followReply {
	a.mu.Lock()
	at, ok := a.live[id]
	a.mu.Unlock()
	if !ok {
		if h, found := a.answer(id); found {
			return followReply{State: followEnded, End: journal.Ran, Status: h.status, Body: h.body, Found: true}
		}
		return followReply{State: followDisowned}
	}
	select {
	case <-at.ended:
	case <-ctx.Done():
		return followReply{State: followLive}
	}
	a.mu.Lock()
	reply := followReply{State: followEnded, End: at.end, Status: at.status}
	a.mu.Unlock()
	if reply.End == journal.Running {
		return followReply{State: followDisowned}
	}
	if h, found := a.answer(id); found {
		reply.Body, reply.Found = h.body, true
	}
	return reply
}

// answer returns an answer kept here.
func (a *attempts) answer(id journal.Attempt) (answerHeld, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.held[id]
	return h, ok
}
