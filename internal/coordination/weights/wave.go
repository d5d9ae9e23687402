// Package weights decides which engines load which weight version when.
//
// Invariant: nothing is ordered before every engine was read or found unreachable, so
// that the swaps an earlier holder began are counted; an order never takes the engines
// that are swapping, unreachable or leaving above 1-floor of the deployment, but for one
// engine at a time when those that do not swap use that up alone; an engine's version is
// what it reported, never what it was ordered; the target never falls.
package weights

import (
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	firstWindow  = 8
	minWindow    = 2
	firstPoll    = 100 * time.Millisecond
	minPoll      = 50 * time.Millisecond
	maxPoll      = 2 * time.Second
	retryDelay   = 200 * time.Millisecond
	maxRetry     = 5 * time.Second
	unreachDelay = time.Second
	// pollShare is the part of the usual load time between two polls.
	pollShare = 8
	// crowded is the load time, in multiples of the least seen, at which the weight
	// store has a queue.
	crowded = 2
	// steadyStep is how far the window moves in the time of one load, once the queue
	// was met for the first time.
	steadyStep = 2
	// freshFor is how long a confirmation of the ownership allows orders to engines
	// that ignore fencing numbers.
	freshFor = 2 * time.Second
)

// Engine is an engine as configured.
type Engine struct {
	ID      model.EndpointID
	Fencing bool
}

// ActionKind says what an Action asks for.
type ActionKind int

// The kinds of action.
const (
	// ActionOrder: order the engine to load Version.
	ActionOrder ActionKind = iota
	// ActionRead: read the engine's status.
	ActionRead
)

// Action is something the wave wants done.
type Action struct {
	Kind    ActionKind
	Engine  model.EndpointID
	Version model.WeightVersion
	// Before is when an order is too late to be sent, zero for never: the ownership
	// of its sender was not read since.
	Before time.Time
}

type phase int

const (
	phaseIdle phase = iota
	// phaseOrdered: an order was sent and what came of it is not known yet.
	phaseOrdered
)

type engine struct {
	Engine
	version     model.WeightVersion
	known       bool
	phase       phase
	asked       bool
	orderedAt   time.Time
	due         time.Time
	failures    int
	readAt      time.Time
	unreachable bool
	leaving     bool
}

// Wave brings the engines of one deployment to its desired version.
type Wave struct {
	floor     float64
	target    model.WeightVersion
	since     time.Time
	confirmed time.Time
	engines   map[model.EndpointID]*engine
	order     []model.EndpointID
	// window is the number of loads at once that the weight store seems to bear.
	window   float64
	steady   bool
	leastRun time.Duration
	usualRun time.Duration
}

// NewWave returns a wave without engines.
func NewWave(floor float64) *Wave {
	return &Wave{floor: floor, engines: map[model.EndpointID]*engine{}, window: firstWindow}
}

// SetEngines replaces the list; what is known of those that stay is kept.
func (w *Wave) SetEngines(list []Engine, floor float64) {
	w.floor = floor
	old := w.engines
	w.engines = make(map[model.EndpointID]*engine, len(list))
	w.order = w.order[:0]
	for _, e := range list {
		if held := old[e.ID]; held != nil {
			held.Engine = e
			w.engines[e.ID] = held
		} else {
			w.engines[e.ID] = &engine{Engine: e}
		}
		w.order = append(w.order, e.ID)
	}
	slices.Sort(w.order)
}

// SetLeaving marks engines that get no more orders.
func (w *Wave) SetLeaving(leaving func(model.EndpointID) bool) {
	for id, e := range w.engines {
		e.leaving = leaving(id)
	}
}

// SetTarget raises the target. A lower one is ignored.
func (w *Wave) SetTarget(now time.Time, v model.WeightVersion) {
	if v <= w.target {
		return
	}
	w.target, w.since = v, now
	for _, e := range w.engines {
		e.failures = 0
		if e.phase == phaseIdle {
			e.due = time.Time{}
		}
	}
}

// Target returns the target and when it was set.
func (w *Wave) Target() (model.WeightVersion, time.Time) { return w.target, w.since }

// Confirm tells that the ownership and the target were read at asOf.
func (w *Wave) Confirm(asOf time.Time) { w.confirmed = asOf }

// Heard takes in a version that an engine reported to others at asOf. One that differs
// from what was read here before then has the engine read again.
func (w *Wave) Heard(asOf time.Time, id model.EndpointID, v model.WeightVersion) {
	e := w.engines[id]
	if e == nil || e.phase != phaseIdle || e.unreachable || v == e.version || asOf.Before(e.readAt) {
		return
	}
	e.known = false
}

// Reported takes in the status an engine gave.
func (w *Wave) Reported(now time.Time, id model.EndpointID, v model.WeightVersion, loading bool) {
	e := w.engines[id]
	if e == nil {
		return
	}
	e.asked, e.unreachable, e.readAt = false, false, now
	if loading {
		e.due = now.Add(w.pollDelay())
		e.phase = phaseOrdered
		if e.orderedAt.IsZero() {
			e.orderedAt = now
		}
		return
	}
	changed := v != e.version
	e.version, e.known = v, v != 0
	if !e.known {
		e.phase, e.orderedAt = phaseIdle, time.Time{}
		e.due = now.Add(backoff(unreachDelay, e.failures))
		e.failures++
		return
	}
	if e.phase != phaseOrdered {
		return
	}
	e.phase = phaseIdle
	if changed {
		w.loaded(now.Sub(e.orderedAt))
		e.failures = 0
		e.due = time.Time{}
	} else {
		e.due = now.Add(backoff(retryDelay, e.failures))
		e.failures++
	}
	e.orderedAt = time.Time{}
}

// loaded adapts the window to the store: it grows while loads do not queue there.
func (w *Wave) loaded(run time.Duration) {
	if w.leastRun == 0 || run < w.leastRun {
		w.leastRun = run
	}
	if w.usualRun == 0 {
		w.usualRun = run
	}
	w.usualRun += (run - w.usualRun) / 8
	full := run >= crowded*w.leastRun
	switch {
	case !full && !w.steady:
		w.window++
	case !full:
		w.window += steadyStep / w.window
	case !w.steady:
		w.steady = true
	default:
		w.window = max(minWindow, w.window-steadyStep/w.window)
	}
}

// Failed takes in that an engine could not be reached, or refused an order.
func (w *Wave) Failed(now time.Time, id model.EndpointID, unreachable bool) {
	e := w.engines[id]
	if e == nil {
		return
	}
	e.asked = false
	e.unreachable = unreachable
	e.phase, e.orderedAt = phaseIdle, time.Time{}
	delay := retryDelay
	if unreachable {
		delay = unreachDelay
	}
	e.due = now.Add(backoff(delay, e.failures))
	e.failures++
}

func backoff(first time.Duration, failures int) time.Duration {
	return min(first<<min(failures, 8), maxRetry)
}

func (w *Wave) pollDelay() time.Duration {
	if w.usualRun == 0 {
		return firstPoll
	}
	return min(max(w.usualRun/pollShare, minPoll), maxPoll)
}

// Ordered tells that the engine took the order.
func (w *Wave) Ordered(now time.Time, id model.EndpointID) {
	if e := w.engines[id]; e != nil {
		e.asked = false
		e.due = now.Add(max(w.pollDelay(), w.usualRun*3/4))
	}
}

// Plan returns what to do now.
func (w *Wave) Plan(now time.Time) []Action {
	if w.target == 0 {
		return nil
	}
	var actions []Action
	free := w.free()
	for _, id := range w.order {
		e := w.engines[id]
		if e.asked || now.Before(e.due) {
			continue
		}
		switch {
		case e.phase == phaseOrdered || !e.known || e.unreachable:
			e.asked = true
			actions = append(actions, Action{Kind: ActionRead, Engine: id})
		case e.version != w.target && !e.leaving && free > 0 && w.mayOrder(now, e):
			free--
			e.asked, e.phase, e.orderedAt = true, phaseOrdered, now
			actions = append(actions, w.orderOf(e))
		}
	}
	return actions
}

func (w *Wave) orderOf(e *engine) Action {
	a := Action{Kind: ActionOrder, Engine: e.ID, Version: w.target}
	if !e.Fencing {
		a.Before = w.confirmed.Add(freshFor)
	}
	return a
}

// NotSent takes in that an order was too late to be sent.
func (w *Wave) NotSent(id model.EndpointID) {
	if e := w.engines[id]; e != nil {
		e.asked, e.phase, e.orderedAt = false, phaseIdle, time.Time{}
	}
}

func (w *Wave) mayOrder(now time.Time, e *engine) bool {
	return e.Fencing || now.Sub(w.confirmed) < freshFor
}

// Cap is the most engines that may be out of service for their swap at once.
func (w *Wave) Cap() int { return max(1, int(float64(len(w.engines))*(1-w.floor))) }

// free returns how many more engines may be ordered now.
func (w *Wave) free() int {
	out, loading := 0, 0
	for _, e := range w.engines {
		if e.readAt.IsZero() && !e.unreachable {
			return 0
		}
		if e.phase == phaseOrdered {
			loading++
		}
		if e.phase == phaseOrdered || e.unreachable || e.leaving {
			out++
		}
	}
	limit := w.Cap()
	if len(w.engines) > 1 && out >= limit && loading == 0 {
		// Unreachable and leaving engines alone use up the cap: go on with one at a time.
		return 1
	}
	return min(limit-out, int(w.window)-loading)
}

// Lagging returns the engines that do not report the target.
func (w *Wave) Lagging() []model.EndpointID {
	var out []model.EndpointID
	for _, id := range w.order {
		if e := w.engines[id]; e.version != w.target {
			out = append(out, id)
		}
	}
	return out
}

// Unfenced reports whether an engine that ignores fencing numbers is still to be
// ordered: then the ownership has to be confirmed.
func (w *Wave) Unfenced() bool {
	for _, e := range w.engines {
		if !e.Fencing && e.version != w.target {
			return true
		}
	}
	return false
}

// Next is how long nothing will be due if nothing is heard.
func (w *Wave) Next(now time.Time, most time.Duration) time.Duration {
	wait := most
	for _, e := range w.engines {
		if e.version == w.target && e.phase == phaseIdle || e.asked || e.due.IsZero() {
			continue
		}
		wait = min(wait, max(0, e.due.Sub(now)))
	}
	return wait
}
