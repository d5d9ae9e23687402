// Package admission decides which requests to a service or a deployment run now,
// wait for a slot, or are refused at once.
//
// Invariant: at most the limit runs at once; a request that cannot meet its
// deadline is refused as soon as that is known and never held back; training gets
// its floor of slots while it has work, whatever the live load.
package admission

import (
	"math"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// MaxWait bounds the time a request may wait for a slot.
	MaxWait = 500 * time.Millisecond
	// waitShare bounds the wait as a share of the time to the deadline.
	waitShare = 0.5
	// queuePerSlot bounds the waiting requests as a multiple of the limit.
	queuePerSlot = 8
	// minRetryAfter is the least wait a refused client is told.
	minRetryAfter = 10 * time.Millisecond
	// maxRetryAfter is the longest.
	maxRetryAfter = 5 * time.Second
	// returnShare is the part of the completions that refused clients are invited to
	// come back for; the rest is left to new requests.
	returnShare = 0.5
	// returnLimit bounds the wait of a refused client as a share of the time to its
	// deadline: a client that came back later would have no time for its answer.
	returnLimit = 1.0 / 3
	// assumedService is the time of a request before any was answered, that of short ones.
	assumedService = 50 * time.Millisecond
	// goldenRatio spreads consecutive numbers evenly over an interval.
	goldenRatio = 0.6180339887
	// rateWeight is the weight of the last window in the completion rate.
	rateWeight = 0.3
	// sweepInterval is the least time between two searches of the queue.
	sweepInterval = 5 * time.Millisecond
	// maxSpare bounds the states of callers kept for reuse.
	maxSpare = 64
	// fairShare is how many times its equal share of a full gate a caller may use.
	fairShare = 2
)

// Reason says why a request was refused.
type Reason int

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonLimit: the limit is reached and the queue is full or too long.
	ReasonLimit
	// ReasonDeadline: the request could not end before its deadline.
	ReasonDeadline
	// ReasonCaller: the caller has more than its share at once.
	ReasonCaller
)

// Verdict is the gate's answer.
type Verdict int

// The verdicts.
const (
	Run Verdict = iota + 1
	Wait
	Refuse
)

// Decision is a verdict with its reason and, when refused, when to come back.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
	// Patience is how long a waiting request is held at most.
	Patience time.Duration
	// Limit, Running and Waiting are the gate's state at a refusal.
	Limit, Running, Waiting int
}

// Ticket is one request at the gate. The holder fills the exported fields.
type Ticket struct {
	Caller   model.CallerID
	Priority model.Priority
	Deadline time.Time
	// Repeat says that the caller was refused before. In an overload as many callers are
	// served whoever goes first; with repeats last, most of them are served at once
	// instead of all at their second attempt.
	Repeat bool
	// Patience bounds the wait for a slot, 0 is MaxWait.
	Patience time.Duration
	// CallerLimit bounds the caller's requests at once, 0 for none.
	CallerLimit int
	// Notify receives the final decision of a ticket that waited.
	Notify func(Decision)

	state *callerState
	// place is the index in the queue plus one, 0 when not queued.
	place int
}

type callerState struct{ running, waiting int }

// SampleKind says what the end of a request tells about overload.
type SampleKind int

// The kinds.
const (
	// SampleAnswered carries the latency of an answer.
	SampleAnswered SampleKind = iota
	// SampleEnded is the end of an answer whose latency was observed before.
	SampleEnded
	// SampleRefused: the endpoints were busy.
	SampleRefused
	// SampleNone says nothing.
	SampleNone
)

// Sample is what the end of a request tells.
type Sample struct {
	Kind SampleKind
	// Class names requests that take equally long, as those of one route.
	Class string
	// Latency is the time to the answer, or to the first part of a stream.
	Latency time.Duration
	// Took is the whole time of the request.
	Took time.Duration
}

// Gate admits requests to one target. It is not safe for concurrent use.
type Gate struct {
	limiter
	trainingFloor float64
	running       int
	training      int
	trainingWaits int
	queue         queue
	callers       map[model.CallerID]*callerState
	// spare holds states of callers that left, for reuse.
	spare []*callerState
	// service is the expected time of one request.
	service time.Duration
	// rate is the completions a second, over windows.
	rate      float64
	rateStart time.Time
	completed int
	// swept is when the queue was last searched for hopeless requests.
	swept time.Time
	// nextReturn is when the next refused client is to come back.
	nextReturn time.Time
	// crowded counts the refused clients for whom that was too late.
	crowded int
}

// NewGate returns a gate for endpoints with so many slots together.
func NewGate(slots int, trainingFloor float64) *Gate {
	return &Gate{
		limiter:       newLimiter(slots),
		trainingFloor: trainingFloor,
		callers:       map[model.CallerID]*callerState{},
	}
}

// Configure takes over a changed capacity and training floor.
func (g *Gate) Configure(slots int, trainingFloor float64) {
	g.bound(slots)
	g.trainingFloor = trainingFloor
}

// SetShare takes over this host's share. Hosts hear of each other's load late, so in a
// burst at all of them each begins with a few shares instead of all free slots.
func (g *Gate) SetShare(s Share) {
	g.share(s.Slots, s.Alone)
	g.hasRoom = s.HasRoom
}

// Limit is the present limit.
func (g *Gate) Limit() int { return int(g.limit) }

// Running is the number of requests that run.
func (g *Gate) Running() int { return g.running }

// Waiting is the number of requests that wait.
func (g *Gate) Waiting() int { return len(g.queue) }

// Arrive decides on a new request.
func (g *Gate) Arrive(now time.Time, t *Ticket) Decision {
	t.state = g.caller(t.Caller)
	if t.CallerLimit > 0 && t.state.running+t.state.waiting >= t.CallerLimit {
		return g.refuse(now, t, ReasonCaller)
	}
	if t.Deadline.Sub(now) < g.service/2 {
		return g.refuse(now, t, ReasonDeadline)
	}
	if g.running < g.Limit() && len(g.queue) == 0 || g.underFloor(t) {
		g.start(t)
		return Decision{Verdict: Run}
	}
	if g.overShare(t) {
		return g.refuse(now, t, ReasonCaller)
	}
	if wait, tooLong := g.tooLong(now, t); tooLong {
		reason := ReasonLimit
		if wait < g.mostWait(t) {
			reason = ReasonDeadline
		}
		return g.refuse(now, t, reason)
	}
	if len(g.queue) >= queuePerSlot*g.Limit() && !g.evictBelow(now, t) {
		return g.refuse(now, t, ReasonLimit)
	}
	// An evicted request may have been the last of the same caller, whose state
	// then went to the spare ones.
	t.state = g.caller(t.Caller)
	g.enqueue(t)
	return Decision{Verdict: Wait, Patience: g.patience(now, t)}
}

// Leave notes the end of a running request and starts those that may run now.
func (g *Gate) Leave(now time.Time, t *Ticket, s Sample) {
	g.running--
	t.state.running--
	if t.Priority == model.PriorityTraining {
		g.training--
	}
	g.release(t)
	g.observe(now, s, g.running+1)
	if s.Kind == SampleAnswered || s.Kind == SampleEnded {
		g.count(now, s.Took)
	}
	g.Advance(now)
}

// Observe takes the latency of a request that goes on, as of a stream's first part.
func (g *Gate) Observe(now time.Time, s Sample) { g.observe(now, s, g.running) }

// Abandon takes a waiting request out, as when its caller left. It reports false
// when the request no longer waits: its decision was made.
func (g *Gate) Abandon(t *Ticket) bool {
	if t.place == 0 {
		return false
	}
	g.dequeue(t)
	g.release(t)
	return true
}

// Expire refuses a waiting request whose patience has passed. It reports false when
// the request no longer waits: its decision was made.
func (g *Gate) Expire(now time.Time, t *Ticket) (Decision, bool) {
	if t.place == 0 {
		return Decision{}, false
	}
	g.dequeue(t)
	return g.refuse(now, t, ReasonLimit), true
}

// Advance starts waiting requests while there is room and refuses those that can
// no longer meet their deadline. When nothing ends, a waiting request's holder
// abandons it once its patience has passed.
func (g *Gate) Advance(now time.Time) {
	if now.Sub(g.swept) >= sweepInterval {
		g.swept = now
		g.sweep(now)
	}
	for len(g.queue) > 0 && g.running < g.Limit() {
		t := g.queue.next(g.trainingWaits > 0 && g.training < g.floorSlots())
		g.dequeue(t)
		g.start(t)
		t.Notify(Decision{Verdict: Run})
	}
}

// sweep refuses waiting requests that can no longer meet their deadline.
func (g *Gate) sweep(now time.Time) {
	for i := 0; i < len(g.queue); {
		t := g.queue[i]
		if t.Deadline.Sub(now) >= g.service/2 {
			i++
			continue
		}
		g.dequeue(t)
		t.Notify(g.refuse(now, t, ReasonDeadline))
	}
}

// dequeue takes t out of the queue; its caller state is kept for what follows.
func (g *Gate) dequeue(t *Ticket) {
	g.queue.remove(t)
	t.state.waiting--
	if t.Priority == model.PriorityTraining {
		g.trainingWaits--
	}
}

func (g *Gate) enqueue(t *Ticket) {
	g.queue.push(t)
	t.state.waiting++
	if t.Priority == model.PriorityTraining {
		g.trainingWaits++
	}
}

func (g *Gate) start(t *Ticket) {
	g.running++
	t.state.running++
	if t.Priority == model.PriorityTraining {
		g.training++
	}
}

func (g *Gate) floorSlots() int { return int(g.trainingFloor * g.limit) }

// underFloor lets training in while it has less than its floor and a slot is free.
func (g *Gate) underFloor(t *Ticket) bool {
	return t.Priority == model.PriorityTraining && g.training < g.floorSlots() && g.running < g.Limit()
}

// overShare reports whether the caller holds more than its share of a full gate.
func (g *Gate) overShare(t *Ticket) bool {
	if len(g.callers) < 2 {
		return false
	}
	share := fairShare * (g.Limit() + queuePerSlot*g.Limit()) / len(g.callers)
	return t.state.running+t.state.waiting >= max(1, share)
}

// tooLong reports whether the wait for a slot is longer than t can bear. The queue is
// searched for what goes before t only when all of it would be too much.
func (g *Gate) tooLong(now time.Time, t *Ticket) (time.Duration, bool) {
	patience := g.patience(now, t)
	wait := g.waitFor(len(g.queue) + 1)
	if wait > patience {
		wait = g.waitFor(g.queue.ahead(t) + 1)
	}
	return wait, wait > patience
}

// waitFor is the expected time until so many slots have freed.
func (g *Gate) waitFor(ahead int) time.Duration {
	if g.rate > 0 {
		return time.Duration(float64(ahead) / g.rate * float64(time.Second))
	}
	return time.Duration(float64(ahead) * float64(g.service) / max(1, g.limit))
}

func (g *Gate) patience(now time.Time, t *Ticket) time.Duration {
	left := t.Deadline.Sub(now) - g.service
	return min(g.mostWait(t), time.Duration(waitShare*float64(left)))
}

func (*Gate) mostWait(t *Ticket) time.Duration {
	if t.Patience > 0 {
		return t.Patience
	}
	return MaxWait
}

// evictBelow makes room by refusing a waiting request of a lower priority.
func (g *Gate) evictBelow(now time.Time, t *Ticket) bool {
	last := g.queue.last()
	if last == nil || last.Priority >= t.Priority {
		return false
	}
	g.dequeue(last)
	last.Notify(g.refuse(now, last, ReasonLimit))
	return true
}

func (g *Gate) refuse(now time.Time, t *Ticket, r Reason) Decision {
	g.release(t)
	return Decision{Verdict: Refuse, Reason: r, RetryAfter: g.retryAfter(now, t, r),
		Limit: g.Limit(), Running: g.running, Waiting: len(g.queue)}
}

// retryAfter is when a refused client should come back. Once the queue should have
// emptied, clients come back one after another, so that those who were refused in one
// burst do not return in another one. When that would be too late for a client, it gets
// a time in the later half of what it can wait.
func (g *Gate) retryAfter(now time.Time, t *Ticket, r Reason) time.Duration {
	wait := g.service
	if wait == 0 {
		wait = assumedService
	}
	interval := wait / time.Duration(max(1, g.Limit()))
	if g.rate > 0 {
		interval = time.Duration(float64(time.Second) / g.rate)
		wait = time.Duration(len(g.queue)+1) * interval
	}
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	if r == ReasonDeadline {
		return wait // only with a later deadline would it be served
	}
	wait = max(wait, g.nextReturn.Sub(now))
	limit := max(minRetryAfter, min(maxRetryAfter, time.Duration(returnLimit*float64(t.Deadline.Sub(now)))))
	if wait > limit {
		g.crowded++
		_, spread := math.Modf(float64(g.crowded) * goldenRatio)
		return limit/2 + time.Duration(spread*float64(limit/2))
	}
	g.nextReturn = now.Add(wait + time.Duration(float64(interval)/returnShare))
	return wait
}

func (g *Gate) caller(id model.CallerID) *callerState {
	s := g.callers[id]
	if s != nil {
		return s
	}
	if n := len(g.spare); n > 0 {
		s, g.spare = g.spare[n-1], g.spare[:n-1]
	} else {
		s = &callerState{}
	}
	g.callers[id] = s
	return s
}

// release forgets a caller with nothing left here.
func (g *Gate) release(t *Ticket) {
	if t.state.running+t.state.waiting == 0 {
		delete(g.callers, t.Caller)
		if len(g.spare) < maxSpare {
			g.spare = append(g.spare, t.state)
		}
	}
}

func (g *Gate) count(now time.Time, took time.Duration) {
	if g.service == 0 {
		g.service = took
	}
	g.service += (took - g.service) / 16
	g.completed++
	if g.rateStart.IsZero() {
		g.rateStart = now
	}
	elapsed := now.Sub(g.rateStart)
	if elapsed < window {
		return
	}
	rate := float64(g.completed) / elapsed.Seconds()
	if g.rate == 0 {
		g.rate = rate
	}
	g.rate += rateWeight * (rate - g.rate)
	g.rateStart, g.completed = now, 0
}
