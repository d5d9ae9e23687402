package dissemination

import "oleanderfall.example/oleanderfall/internal/state/items"

// list is a bounded queue with one entry per key, in order of arrival. A full list drops
// its oldest entry to accept a new one.
type list struct {
	max   int
	order []*entry
	ids   []items.ID
	byID  map[items.ID]*entry
}

func newList(maxEntries int) list {
	return list{max: maxEntries, byID: map[items.ID]*entry{}}
}

// put replaces the entry with the same key in place or appends the entry.
func (l *list) put(id items.ID, e *entry) {
	if old := l.byID[id]; old != nil {
		*old = *e
		return
	}
	if len(l.order) >= l.max {
		delete(l.byID, l.ids[0])
		l.order, l.ids = l.order[1:], l.ids[1:]
	}
	l.order = append(l.order, e)
	l.ids = append(l.ids, id)
	l.byID[id] = e
}

// retain removes the entries for which wanted returns false.
func (l *list) retain(wanted func(*entry) bool) {
	n := 0
	for i, e := range l.order {
		if !wanted(e) {
			delete(l.byID, l.ids[i])
			continue
		}
		l.order[n], l.ids[n] = e, l.ids[i]
		n++
	}
	clear(l.order[n:])
	l.order, l.ids = l.order[:n], l.ids[:n]
}
