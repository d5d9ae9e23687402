package admission

import "oleanderfall.example/oleanderfall/internal/state/model"

// queue is a binary heap of waiting requests: higher priority first, then requests that
// were not refused before, then the earlier deadline.
type queue []*Ticket

func before(a, b *Ticket) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Repeat != b.Repeat {
		return b.Repeat
	}
	return a.Deadline.Before(b.Deadline)
}

func (q *queue) push(t *Ticket) {
	*q = append(*q, t)
	t.place = len(*q)
	q.up(len(*q) - 1)
}

func (q *queue) remove(t *Ticket) {
	i, last := t.place-1, len(*q)-1
	q.swap(i, last)
	(*q)[last] = nil
	*q = (*q)[:last]
	t.place = 0
	if i < last {
		q.down(i)
		q.up(i)
	}
}

// next returns the request to start: training first while it is under its floor.
func (q queue) next(trainingFirst bool) *Ticket {
	best := q[0]
	if !trainingFirst || best.Priority == model.PriorityTraining {
		return best
	}
	var training *Ticket
	for _, t := range q {
		if t.Priority == model.PriorityTraining && (training == nil || before(t, training)) {
			training = t
		}
	}
	if training != nil {
		return training
	}
	return best
}

// last returns the request that would start last.
func (q queue) last() *Ticket {
	var out *Ticket
	for _, t := range q {
		if out == nil || before(out, t) {
			out = t
		}
	}
	return out
}

// ahead returns how many waiting requests go before t.
func (q queue) ahead(t *Ticket) int {
	n := 0
	for _, other := range q {
		if !before(t, other) {
			n++
		}
	}
	return n
}

func (q queue) swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i+1, j+1
}

func (q queue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !before(q[i], q[parent]) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q queue) down(i int) {
	for {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(q) && before(q[child], q[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
