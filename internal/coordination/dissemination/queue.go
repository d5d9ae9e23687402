// Package dissemination decides which news travels in which message: urgent news at
// once to every linked host, twice; hints with the heartbeats, to a few linked hosts.
// It is pure: time is passed in.
//
// Invariant: a message never holds more than its byte budget, each piece of news is
// sent to one host at most repeats times, and the queue is bounded, so that the cost
// of a host does not grow with the amount of news in the fleet.
package dissemination

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// urgentRepeats is how often a linked host is sent the same urgent news.
	urgentRepeats = 2
	// repeatAfter is the least time between two sendings to one host.
	repeatAfter = 400 * time.Millisecond
	// hintFanout is the number of linked hosts that a hint is sent to.
	hintFanout = 3
	// maxQueueAge ends the spreading of news; anti-entropy carries the rest.
	maxQueueAge = 10 * time.Second
	maxUrgent   = 4096
	maxHints    = 2048
)

// The byte budgets of one message.
const (
	// HeartbeatHintBytes bounds the hints in a heartbeat.
	HeartbeatHintBytes = 600
	// MessageBytes bounds all news in one message; it fits a QUIC datagram.
	MessageBytes = 950
)

// News is what goes with one message.
type News struct {
	Records []members.Record `cbor:"1,keyasint,omitempty"`
	Items   []items.Item     `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether there is nothing in it.
func (n News) Empty() bool { return len(n.Records)+len(n.Items) == 0 }

type sending struct {
	count int
	last  time.Time
}

type entry struct {
	record *members.Record
	item   items.Item
	born   time.Time
	sent   map[model.HostID]sending
	// left is the number of sendings left of a hint.
	left int
}

func (e *entry) size() int {
	if e.record != nil {
		return e.record.Size()
	}
	return e.item.Size()
}

// Queue holds the news that a host still has to pass on. It is not safe for
// concurrent use.
type Queue struct {
	urgent list
	hints  list
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{urgent: newList(maxUrgent), hints: newList(maxHints)}
}

// AddRecord queues a member's record heard from a host, or from none ("").
func (q *Queue) AddRecord(now time.Time, r members.Record, from model.HostID) {
	q.urgent.put(items.ID{Key: string(r.Host)}, newEntry(now, &r, items.Item{}, from))
}

// AddItem queues an item heard from a host, or from none ("").
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
	e.left = hintFanout
	q.hints.put(i.ID(), e)
}

func newEntry(now time.Time, r *members.Record, i items.Item, from model.HostID) *entry {
	e := &entry{record: r, item: i, born: now, sent: map[model.HostID]sending{}}
	if from != "" {
		e.sent[from] = sending{count: urgentRepeats, last: now}
	}
	return e
}

// Urgent returns the urgent news that the host has not been sent yet or, after a
// pause, not often enough.
func (q *Queue) Urgent(now time.Time, to model.HostID) News {
	var out News
	q.pickUrgent(now, to, MessageBytes, &out)
	return out
}

// Heartbeat returns the news that goes with a heartbeat: urgent news first, then
// hints within their own budget.
func (q *Queue) Heartbeat(now time.Time, to model.HostID) News {
	var out News
	left := q.pickUrgent(now, to, MessageBytes, &out)
	q.pickHints(now, to, min(left, HeartbeatHintBytes), &out)
	return out
}

func (q *Queue) pickUrgent(now time.Time, to model.HostID, budget int, out *News) int {
	for _, e := range q.urgent.order {
		s := e.sent[to]
		if s.count >= urgentRepeats || s.count > 0 && now.Sub(s.last) < repeatAfter {
			continue
		}
		if e.size() > budget {
			return budget
		}
		budget -= e.size()
		e.sent[to] = sending{count: s.count + 1, last: now}
		appendNews(now, e, out)
	}
	return budget
}

func (q *Queue) pickHints(now time.Time, to model.HostID, budget int, out *News) {
	for _, e := range q.hints.order {
		if e.left == 0 || e.sent[to].count > 0 {
			continue
		}
		if e.size() > budget {
			return
		}
		budget -= e.size()
		e.left--
		e.sent[to] = sending{count: 1, last: now}
		appendNews(now, e, out)
	}
}

func appendNews(now time.Time, e *entry, out *News) {
	if e.record != nil {
		out.Records = append(out.Records, *e.record)
		return
	}
	i := e.item
	i.AgeMillis += now.Sub(e.born).Milliseconds()
	out.Items = append(out.Items, i)
}

// Expire drops the news that is spread or too old to spread. links are the hosts
// that news goes to.
func (q *Queue) Expire(now time.Time, links []members.Record) {
	q.urgent.keep(func(e *entry) bool {
		return now.Sub(e.born) < maxQueueAge && owesSomebody(e, links)
	})
	q.hints.keep(func(e *entry) bool { return now.Sub(e.born) < maxQueueAge && e.left > 0 })
}

func owesSomebody(e *entry, links []members.Record) bool {
	for _, l := range links {
		if e.sent[l.Host].count < urgentRepeats {
			return true
		}
	}
	return false
}

// Len returns the numbers of urgent news and of hints queued.
func (q *Queue) Len() (urgent, hints int) { return len(q.urgent.order), len(q.hints.order) }
