package admission

import "oleanderfall.example/oleanderfall/internal/state/model"

// queue is a binary heap of waiting requests, ordered by startsBefore: higher priority
// first, then first attempts before retries, then the earlier deadline.
type queue []*Request

func startsBefore(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.Retry != b.Retry {
		return b.Retry
	}
	return a.Deadline.Before(b.Deadline)
}

func (q *queue) push(req *Request) {
	*q = append(*q, req)
	req.queueIndex = len(*q)
	q.up(len(*q) - 1)
}

func (q *queue) remove(req *Request) {
	i, last := req.queueIndex-1, len(*q)-1
	q.swap(i, last)
	(*q)[last] = nil
	*q = (*q)[:last]
	req.queueIndex = 0
	if i < last {
		q.down(i)
		q.up(i)
	}
}

// nextToStart returns the request to start next. With trainingFirst, which is set while
// training is below the training floor, that is the first training request, if there is one.
func (q queue) nextToStart(trainingFirst bool) *Request {
	best := q[0]
	if !trainingFirst || best.Priority == model.PriorityTraining {
		return best
	}
	var training *Request
	for _, req := range q {
		if req.Priority == model.PriorityTraining && (training == nil || startsBefore(req, training)) {
			training = req
		}
	}
	if training != nil {
		return training
	}
	return best
}

// lastToStart returns the request that would start last, or nil if the queue is empty.
func (q queue) lastToStart() *Request {
	var last *Request
	for _, req := range q {
		if last == nil || startsBefore(last, req) {
			last = req
		}
	}
	return last
}

// countAhead returns the number of waiting requests that start before req.
func (q queue) countAhead(req *Request) int {
	n := 0
	for _, other := range q {
		if !startsBefore(req, other) {
			n++
		}
	}
	return n
}

func (q queue) swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i+1, j+1
}

func (q queue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !startsBefore(q[i], q[parent]) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q queue) down(i int) {
	for {
		first := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(q) && startsBefore(q[child], q[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		q.swap(i, first)
		i = first
	}
}
