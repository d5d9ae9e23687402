package dissemination

import "oleanderfall.example/oleanderfall/internal/state/items"

// keyedQueue is a queue of at most max entries, one per ID, in order of arrival. A full
// queue drops its oldest entry to accept a new one.
type keyedQueue struct {
	max     int
	entries []*entry
	ids     []items.ID
	byID    map[items.ID]*entry
}

func newKeyedQueue(maxEntries int) keyedQueue {
	return keyedQueue{max: maxEntries, byID: map[items.ID]*entry{}}
}

// put replaces the entry with the same ID, which keeps its position, or appends the entry.
func (q *keyedQueue) put(id items.ID, e *entry) {
	if old := q.byID[id]; old != nil {
		*old = *e
		return
	}
	if len(q.entries) >= q.max {
		delete(q.byID, q.ids[0])
		q.entries, q.ids = q.entries[1:], q.ids[1:]
	}
	q.entries = append(q.entries, e)
	q.ids = append(q.ids, id)
	q.byID[id] = e
}

// retain removes the entries for which wanted returns false.
func (q *keyedQueue) retain(wanted func(*entry) bool) {
	n := 0
	for i, e := range q.entries {
		if !wanted(e) {
			delete(q.byID, q.ids[i])
			continue
		}
		q.entries[n], q.ids[n] = e, q.ids[i]
		n++
	}
	clear(q.entries[n:])
	q.entries, q.ids = q.entries[:n], q.ids[:n]
}
