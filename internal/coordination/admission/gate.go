// Package admission decides which requests to a service or a deployment run now, wait
// for a slot or are refused. It adapts a concurrency limit to the observed latency and
// limits the request rate of each caller.
//
// Invariant: a request starts only while the number of running requests is below the
// limit; a request that cannot meet its deadline is refused as soon as that is known
// instead of waiting; while training has work and uses fewer slots than the training floor,
// a share of the limit, free slots go to training first, whatever the live load.
package admission

import (
	"math"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// MaxWait bounds the wait for a slot unless the request sets its own bound.
	MaxWait = 500 * time.Millisecond
	// maxWaitShare bounds the wait as a share of the time to the deadline less the
	// expected service time.
	maxWaitShare = 0.5
	// maxQueuePerSlot bounds the queue length as a multiple of the limit.
	maxQueuePerSlot = 8
	// minRetryAfter and maxRetryAfter bound the retry delay returned with a refusal.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryShare is the share of the completion rate that is reserved for retries of
	// refused requests; the rest is left to new requests.
	retryShare = 0.5
	// maxRetryAfterShare bounds the retry delay as a share of the time to the deadline: a
	// later retry would leave no time for the answer.
	maxRetryAfterShare = 1.0 / 3
	// initialServiceTime is the service time assumed for retry delays until the first
	// request completes. It is typical of short requests.
	initialServiceTime = 50 * time.Millisecond
	// goldenRatio is the fractional part of the golden ratio. The fractional parts of its
	// multiples are spread evenly over the interval from 0 to 1.
	goldenRatio = 0.6180339887
	// rateWeight is the weight of the last interval in the moving average of the completion
	// rate.
	rateWeight = 0.3
	// scanInterval is the minimum time between two scans of the queue for requests that
	// can no longer meet their deadline.
	scanInterval = 5 * time.Millisecond
	// maxFreeStates bounds the caller states kept for reuse.
	maxFreeStates = 64
	// fairShareFactor bounds a caller's running and waiting requests at a full gate, as a
	// multiple of its equal share of the slots and the queue.
	fairShareFactor = 2
)

// Reason is the cause of a refusal.
type Reason int

// The reasons for a refusal.
const (
	ReasonNone Reason = iota
	// ReasonLimit: the limit is reached, and the queue is full or the expected wait is too
	// long.
	ReasonLimit
	// ReasonDeadline: the request could not complete before its deadline.
	ReasonDeadline
	// ReasonCaller: the caller has reached its limit or its fair share of requests.
	ReasonCaller
)

// Verdict is the outcome of an admission decision.
type Verdict int

// The verdicts.
const (
	Run Verdict = iota + 1
	Wait
	Refuse
)

// Decision is a verdict with its details. Reason and RetryAfter are set on refusals.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
	// WaitLimit is the longest time that a waiting request may be queued. The gate has no
	// timer: the caller of Admit must call Expire after this time.
	WaitLimit time.Duration
	// Limit, Running and Waiting describe the gate at the time of a refusal.
	Limit, Running, Waiting int
}

// Request is one request at the gate. The exported fields must be set before Admit and not
// changed afterwards.
type Request struct {
	Caller   model.CallerID
	Priority model.Priority
	Deadline time.Time
	// Retry is set on the retry of a refused request. Within a priority, retries start after
	// first attempts. Under overload this does not change how many callers are served, but
	// most of them are served at their first attempt instead of all at their second.
	Retry bool
	// WaitLimit bounds the wait for a slot; 0 means MaxWait.
	WaitLimit time.Duration
	// CallerLimit bounds the caller's running and waiting requests; 0 means no limit.
	CallerLimit int
	// Notify is called once with the final decision on a request that waited,
	// unless Abandon or Expire removes it first.
	Notify func(Decision)

	// state counts the caller's requests, including this one.
	state *callerState
	// queueIndex is the index in the queue plus one, or 0 when not queued.
	queueIndex int
}

// callerState counts the requests of one caller at the gate.
type callerState struct{ running, waiting int }

// ObservationKind classifies what a request shows about the load of its target.
type ObservationKind int

// The kinds of samples.
const (
	// ObservationAnswered carries the latency of an answer.
	ObservationAnswered ObservationKind = iota
	// ObservationEnded is the end of an answer whose latency was already observed.
	ObservationEnded
	// ObservationRefused: an endpoint refused the request because it had no capacity.
	ObservationRefused
	// ObservationNone carries no information about the load.
	ObservationNone
)

// Observation is what one request shows about the load of its target.
type Observation struct {
	Kind ObservationKind
	// Class names a set of requests of similar latency, such as those of one route.
	Class string
	// Endpoint is the ID of the endpoint that answered or refused, empty if unknown.
	Endpoint string
	// Latency is the time to the answer, or to the first event of a stream.
	Latency time.Duration
	// TotalTime is the total time of the request.
	TotalTime time.Duration
}

// Gate admits requests to one target. It is not safe for concurrent use.
type Gate struct {
	limiter
	trainingFloor float64
	running       int
	// training and trainingWaiting count the running and the waiting training requests.
	training        int
	trainingWaiting int
	queue           queue
	callers         map[model.CallerID]*callerState
	// freeStates holds unused caller states for reuse.
	freeStates []*callerState
	// serviceTime is the moving average of the total time of a request.
	serviceTime time.Duration
	// rate is the moving average of completions per second. completed counts the
	// completions since rateStart, the start of the current interval.
	rate      float64
	rateStart time.Time
	completed int
	// lastScan is when the queue was last scanned for requests that can no longer meet
	// their deadline.
	lastScan time.Time
	// nextRetry is the earliest retry time for the next refused request.
	nextRetry time.Time
	// spreadRetries counts the refused requests for which nextRetry was too late and whose
	// retry times were spread instead.
	spreadRetries int
}

// NewGate returns a gate for endpoints with the given total of slots. trainingFloor is
// the share of the limit reserved for training while it has work, from 0 to 1.
func NewGate(slots int, trainingFloor float64) *Gate {
	return &Gate{
		limiter:       newLimiter(slots),
		trainingFloor: trainingFloor,
		callers:       map[model.CallerID]*callerState{},
	}
}

// Configure sets the total of slots, which is the upper bound of the limit, and the
// training floor.
func (g *Gate) Configure(slots int, trainingFloor float64) {
	g.setUpperBound(slots)
	g.trainingFloor = trainingFloor
}

// SetShare sets this host's share of the slots. Hosts receive each other's load reports
// with a delay. If a burst reaches all hosts at the same time, each is therefore limited to
// a few even shares instead of all free slots. SetShare does not apply s.UpperBound; Configure
// sets the upper bound.
func (g *Gate) SetShare(s Share) {
	g.setShare(s.EvenShare, s.OthersIdle)
	g.hasFreeSlots = s.HasFreeSlots
}

// Limit returns the current limit of running requests.
func (g *Gate) Limit() int { return int(g.limit) }

// Running returns the number of running requests.
func (g *Gate) Running() int { return g.running }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return len(g.queue) }

// Admit decides on a new request. After Run, Finish must be called when the request ends.
// After Wait, the final decision is passed to Notify.
func (g *Gate) Admit(now time.Time, req *Request) Decision {
	req.state = g.stateOf(req.Caller)
	if req.CallerLimit > 0 && req.state.running+req.state.waiting >= req.CallerLimit {
		return g.refuse(now, req, ReasonCaller)
	}
	if req.Deadline.Sub(now) < g.serviceTime/2 {
		return g.refuse(now, req, ReasonDeadline)
	}
	if g.running < g.Limit() && len(g.queue) == 0 || g.belowTrainingFloor(req) {
		g.start(req)
		return Decision{Verdict: Run}
	}
	if g.overFairShare(req) {
		return g.refuse(now, req, ReasonCaller)
	}
	if wait, exceeded := g.exceedsWaitLimit(now, req); exceeded {
		reason := ReasonLimit
		if wait < g.maxWait(req) {
			reason = ReasonDeadline
		}
		return g.refuse(now, req, reason)
	}
	if len(g.queue) >= maxQueuePerSlot*g.Limit() && !g.evictLowerPriority(now, req) {
		return g.refuse(now, req, ReasonLimit)
	}
	// An evicted request may have been the last one of the same caller. Its state then
	// moved to freeStates.
	req.state = g.stateOf(req.Caller)
	g.enqueue(req)
	return Decision{Verdict: Wait, WaitLimit: g.waitLimit(now, req)}
}

// Finish records the end of a running request and starts waiting requests that fit.
func (g *Gate) Finish(now time.Time, req *Request, s Observation) {
	g.running--
	req.state.running--
	if req.Priority == model.PriorityTraining {
		g.training--
	}
	g.releaseCaller(req)
	// The finished request counts towards the peak of running requests.
	g.observe(now, s, g.running+1)
	if s.Kind == ObservationAnswered || s.Kind == ObservationEnded {
		g.recordCompletion(now, s.TotalTime)
	}
	g.StartWaiting(now)
}

// Observe records a sample of a request that is still running, such as the latency of a
// stream's first event.
func (g *Gate) Observe(now time.Time, s Observation) { g.observe(now, s, g.running) }

// Abandon removes a waiting request without a decision, for instance after its caller
// disconnected. It returns false if the request no longer waits because it was decided.
func (g *Gate) Abandon(req *Request) bool {
	if req.queueIndex == 0 {
		return false
	}
	g.dequeue(req)
	g.releaseCaller(req)
	return true
}

// Expire refuses a request that has waited for its Decision.WaitLimit. It returns false if
// the request no longer waits because it was decided.
func (g *Gate) Expire(now time.Time, req *Request) (Decision, bool) {
	if req.queueIndex == 0 {
		return Decision{}, false
	}
	g.dequeue(req)
	return g.refuse(now, req, ReasonLimit), true
}

// StartWaiting starts waiting requests while the limit allows and refuses those that can no
// longer meet their deadline. Finish calls it. While no request ends, waiting requests are
// decided only by Expire, which must be called after Decision.WaitLimit.
func (g *Gate) StartWaiting(now time.Time) {
	if now.Sub(g.lastScan) >= scanInterval {
		g.lastScan = now
		g.refuseExpired(now)
	}
	for len(g.queue) > 0 && g.running < g.Limit() {
		req := g.queue.nextToStart(g.trainingWaiting > 0 && g.training < g.trainingFloorSlots())
		g.dequeue(req)
		g.start(req)
		req.Notify(Decision{Verdict: Run})
	}
}

// refuseExpired refuses waiting requests that can no longer meet their deadline.
func (g *Gate) refuseExpired(now time.Time) {
	for i := 0; i < len(g.queue); {
		req := g.queue[i]
		if req.Deadline.Sub(now) >= g.serviceTime/2 {
			i++
			continue
		}
		g.dequeue(req)
		req.Notify(g.refuse(now, req, ReasonDeadline))
	}
}

// dequeue removes req from the queue. It keeps the caller state, as the request may start
// next; otherwise releaseCaller has to follow.
func (g *Gate) dequeue(req *Request) {
	g.queue.remove(req)
	req.state.waiting--
	if req.Priority == model.PriorityTraining {
		g.trainingWaiting--
	}
}

func (g *Gate) enqueue(req *Request) {
	g.queue.push(req)
	req.state.waiting++
	if req.Priority == model.PriorityTraining {
		g.trainingWaiting++
	}
}

func (g *Gate) start(req *Request) {
	g.running++
	req.state.running++
	if req.Priority == model.PriorityTraining {
		g.training++
	}
}

func (g *Gate) trainingFloorSlots() int { return int(g.trainingFloor * g.limit) }

// belowTrainingFloor reports whether req is a training request that may start immediately:
// training uses fewer slots than the training floor, and a slot is free.
func (g *Gate) belowTrainingFloor(req *Request) bool {
	return req.Priority == model.PriorityTraining && g.training < g.trainingFloorSlots() && g.running < g.Limit()
}

// overFairShare reports whether req's caller has used up its fair share of a full gate. The
// bound does not apply while only one caller has requests at the gate.
func (g *Gate) overFairShare(req *Request) bool {
	if len(g.callers) < 2 {
		return false
	}
	share := fairShareFactor * (g.Limit() + maxQueuePerSlot*g.Limit()) / len(g.callers)
	return req.state.running+req.state.waiting >= max(1, share)
}

// exceedsWaitLimit returns the expected wait for a slot and whether it exceeds req's wait
// limit. The requests ahead of req are counted only if the whole queue would take too
// long, which saves a scan of the queue.
func (g *Gate) exceedsWaitLimit(now time.Time, req *Request) (time.Duration, bool) {
	waitLimit := g.waitLimit(now, req)
	wait := g.expectedWait(len(g.queue) + 1)
	if wait > waitLimit {
		wait = g.expectedWait(g.queue.countAhead(req) + 1)
	}
	return wait, wait > waitLimit
}

// expectedWait returns the expected time until n slots have become free.
func (g *Gate) expectedWait(n int) time.Duration {
	if g.rate > 0 {
		return time.Duration(float64(n) / g.rate * float64(time.Second))
	}
	return time.Duration(float64(n) * float64(g.serviceTime) / max(1, g.limit))
}

// waitLimit returns the longest time that req may be queued: maxWait, or less if its deadline
// is near.
func (g *Gate) waitLimit(now time.Time, req *Request) time.Duration {
	remaining := req.Deadline.Sub(now) - g.serviceTime
	return min(g.maxWait(req), time.Duration(maxWaitShare*float64(remaining)))
}

func (*Gate) maxWait(req *Request) time.Duration {
	if req.WaitLimit > 0 {
		return req.WaitLimit
	}
	return MaxWait
}

// evictLowerPriority refuses the last waiting request if its priority is lower than req's.
// It reports whether it did.
func (g *Gate) evictLowerPriority(now time.Time, req *Request) bool {
	last := g.queue.lastToStart()
	if last == nil || last.Priority >= req.Priority {
		return false
	}
	g.dequeue(last)
	last.Notify(g.refuse(now, last, ReasonLimit))
	return true
}

func (g *Gate) refuse(now time.Time, req *Request, reason Reason) Decision {
	g.releaseCaller(req)
	return Decision{Verdict: Refuse, Reason: reason, RetryAfter: g.retryAfter(now, req, reason),
		Limit: g.Limit(), Running: g.running, Waiting: len(g.queue)}
}

// retryAfter returns the retry delay for a refused request. Retries are scheduled one
// after another from the time at which the queue is expected to be empty, so that requests
// refused in one burst are not retried in another. If that is too late for the request's
// deadline, the retry times are spread over the second half of the longest delay that the
// deadline permits.
func (g *Gate) retryAfter(now time.Time, req *Request, reason Reason) time.Duration {
	wait := g.serviceTime
	if wait == 0 {
		wait = initialServiceTime
	}
	interval := wait / time.Duration(max(1, g.Limit()))
	if g.rate > 0 {
		interval = time.Duration(float64(time.Second) / g.rate)
		wait = time.Duration(len(g.queue)+1) * interval
	}
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	if reason == ReasonDeadline {
		return wait // a retry is served only with a later deadline
	}
	wait = max(wait, g.nextRetry.Sub(now))
	limit := max(minRetryAfter, min(maxRetryAfter, time.Duration(maxRetryAfterShare*float64(req.Deadline.Sub(now)))))
	if wait > limit {
		g.spreadRetries++
		_, spread := math.Modf(float64(g.spreadRetries) * goldenRatio)
		return limit/2 + time.Duration(spread*float64(limit/2))
	}
	g.nextRetry = now.Add(wait + time.Duration(float64(interval)/retryShare))
	return wait
}

func (g *Gate) stateOf(id model.CallerID) *callerState {
	s := g.callers[id]
	if s != nil {
		return s
	}
	if n := len(g.freeStates); n > 0 {
		s, g.freeStates = g.freeStates[n-1], g.freeStates[:n-1]
	} else {
		s = &callerState{}
	}
	g.callers[id] = s
	return s
}

// releaseCaller drops the caller's state when it has no running or waiting requests.
func (g *Gate) releaseCaller(req *Request) {
	if req.state.running+req.state.waiting == 0 {
		delete(g.callers, req.Caller)
		if len(g.freeStates) < maxFreeStates {
			g.freeStates = append(g.freeStates, req.state)
		}
	}
}

func (g *Gate) recordCompletion(now time.Time, took time.Duration) {
	if g.serviceTime == 0 {
		g.serviceTime = took
	}
	g.serviceTime += (took - g.serviceTime) / 16
	g.completed++
	if g.rateStart.IsZero() {
		g.rateStart = now
	}
	elapsed := now.Sub(g.rateStart)
	if elapsed < adjustInterval {
		return
	}
	rate := float64(g.completed) / elapsed.Seconds()
	if g.rate == 0 {
		g.rate = rate
	}
	g.rate += rateWeight * (rate - g.rate)
	g.rateStart, g.completed = now, 0
}
