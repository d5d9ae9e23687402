// Package dissemination selects the updates that are gossiped with each message. Urgent
// updates are sent immediately, twice, to every linked host. All other items, called hints,
// are piggybacked on the heartbeats to a few linked hosts. The package does no I/O; the
// clock is passed in.
//
// Invariant: a message never exceeds its byte budget, an update is sent to one host at
// most sendsPerLink times, and the queue is bounded. The cost for a host therefore does
// not grow with the number of updates in the fleet.
package dissemination

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// sendsPerLink is how many times the same urgent update is sent to a linked host, to
	// compensate for a lost datagram.
	sendsPerLink = 2
	// resendInterval is the minimum time between two sends of the same update to one host.
	resendInterval = 400 * time.Millisecond
	// hintFanout is the number of linked hosts that a hint is sent to.
	hintFanout = 3
	// maxQueueAge is how long an update stays queued; anti-entropy delivers it to the
	// hosts that it has not reached by then.
	maxQueueAge = 10 * time.Second
	// maxUrgent and maxHints bound the queued updates. A full queue drops its oldest one.
	maxUrgent = 4096
	maxHints  = 2048
)

// The byte budgets of one message.
const (
	// HeartbeatHintBytes bounds the encoded hints in a heartbeat.
	HeartbeatHintBytes = 600
	// MessageBytes bounds all encoded updates in one message, so that it fits a QUIC
	// datagram.
	MessageBytes = 950
)

// Updates holds the updates that are sent with one message.
type Updates struct {
	Records []members.Record `cbor:"1,keyasint,omitempty"`
	Items   []items.Item     `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether there are no updates.
func (u Updates) Empty() bool { return len(u.Records)+len(u.Items) == 0 }

// sendState records the sends of an entry to one host.
type sendState struct {
	count int
	last  time.Time
}

// entry is a queued update: a record, or an item if record is nil.
type entry struct {
	record   *members.Record
	item     items.Item
	queuedAt time.Time
	sent     map[model.HostID]sendState
	// sendsLeft is the number of further hosts that a hint is to be sent to; unused for
	// urgent updates.
	sendsLeft int
}

func (e *entry) size() int {
	if e.record != nil {
		return e.record.Size()
	}
	return e.item.Size()
}

// Queue holds the updates that a host still has to forward. It is not safe for
// concurrent use.
type Queue struct {
	urgent keyedQueue
	hints  keyedQueue
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{urgent: newKeyedQueue(maxUrgent), hints: newKeyedQueue(maxHints)}
}

// AddRecord queues a membership record. from is the host that it was received from, ""
// for a local change; the record is not sent back to that host.
func (q *Queue) AddRecord(now time.Time, r members.Record, from model.HostID) {
	// Kind 0 is the kind of no item, so the ID cannot be that of an item.
	q.urgent.put(items.ID{Key: string(r.Host)}, newEntry(now, &r, items.Item{}, from))
}

// AddItem queues an item. from is the host that it was received from, "" for a local
// change; the item is not sent back to that host. Items of unknown kinds are ignored.
func (q *Queue) AddItem(now time.Time, i items.Item, from model.HostID) {
	limits, known := items.LimitsOf(i.Kind)
	if !known {
		return
	}
	e := newEntry(now, nil, i, from)
	if limits.Urgent {
		q.urgent.put(i.ID(), e)
		return
	}
	e.sendsLeft = hintFanout
	q.hints.put(i.ID(), e)
}

func newEntry(now time.Time, r *members.Record, i items.Item, from model.HostID) *entry {
	e := &entry{record: r, item: i, queuedAt: now, sent: map[model.HostID]sendState{}}
	if from != "" {
		e.sent[from] = sendState{count: sendsPerLink, last: now}
	}
	return e
}

// TakeUrgent returns the urgent updates that are due for a host: those not yet sent to it,
// and those to be sent again after resendInterval. The result is bounded by MessageBytes
// and counts as sent.
func (q *Queue) TakeUrgent(now time.Time, to model.HostID) Updates {
	var out Updates
	q.pickUrgent(now, to, MessageBytes, &out)
	return out
}

// TakeForHeartbeat returns the updates to send with a heartbeat to a host: urgent updates first,
// then hints within their own byte budget. The result counts as sent.
func (q *Queue) TakeForHeartbeat(now time.Time, to model.HostID) Updates {
	var out Updates
	remaining := q.pickUrgent(now, to, MessageBytes, &out)
	q.pickHints(now, to, min(remaining, HeartbeatHintBytes), &out)
	return out
}

// pickUrgent adds the urgent updates that are due to out, up to budget bytes, and returns the
// unused part of the budget.
func (q *Queue) pickUrgent(now time.Time, to model.HostID, budget int, out *Updates) int {
	for _, e := range q.urgent.entries {
		s := e.sent[to]
		if s.count >= sendsPerLink || s.count > 0 && now.Sub(s.last) < resendInterval {
			continue
		}
		if e.size() > budget {
			return budget
		}
		budget -= e.size()
		e.sent[to] = sendState{count: s.count + 1, last: now}
		appendEntry(now, e, out)
	}
	return budget
}

func (q *Queue) pickHints(now time.Time, to model.HostID, budget int, out *Updates) {
	for _, e := range q.hints.entries {
		if e.sendsLeft == 0 || e.sent[to].count > 0 {
			continue
		}
		if e.size() > budget {
			return
		}
		budget -= e.size()
		e.sendsLeft--
		e.sent[to] = sendState{count: 1, last: now}
		appendEntry(now, e, out)
	}
}

func appendEntry(now time.Time, e *entry, out *Updates) {
	if e.record != nil {
		out.Records = append(out.Records, *e.record)
		return
	}
	i := e.item
	i.AgeMillis += now.Sub(e.queuedAt).Milliseconds()
	out.Items = append(out.Items, i)
}

// Expire removes the updates that need no further sends or are older than maxQueueAge.
// links are the hosts that urgent updates are sent to.
func (q *Queue) Expire(now time.Time, links []members.Record) {
	q.urgent.retain(func(e *entry) bool {
		return now.Sub(e.queuedAt) < maxQueueAge && pendingFor(e, links)
	})
	q.hints.retain(func(e *entry) bool { return now.Sub(e.queuedAt) < maxQueueAge && e.sendsLeft > 0 })
}

func pendingFor(e *entry, links []members.Record) bool {
	for _, l := range links {
		if e.sent[l.Host].count < sendsPerLink {
			return true
		}
	}
	return false
}

// Len returns the numbers of queued urgent updates and of queued hints.
func (q *Queue) Len() (urgent, hints int) { return len(q.urgent.entries), len(q.hints.entries) }
