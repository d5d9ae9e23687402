package dissemination

import "oleanderfall.example/oleanderfall/internal/state/items"

// list keeps entries in order of arrival, one a key. A full list drops its oldest.
type list struct {
	max   int
	order []*entry
	ids   []items.ID
	byID  map[items.ID]*entry
}

func newList(maxEntries int) list {
	return list{max: maxEntries, byID: map[items.ID]*entry{}}
}

// put replaces the entry of the same key or appends.
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

// keep drops the entries that wanted refuses.
func (l *list) keep(wanted func(*entry) bool) {
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
