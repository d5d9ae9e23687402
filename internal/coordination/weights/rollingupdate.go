// Package weights plans the rolling update of a deployment's engines to a new weight
// version: which engine is ordered to load it, and when. The program oleander-control uses
// it; the program oleanderfall uses package upgrades instead.
//
// Invariant: no order is planned before every engine's status was read or the engine was
// found unreachable, so that swaps started by a previous owner are counted. Orders never
// raise the number of engines that are swapping, unreachable or draining above
// MaxUnavailable, which is the fraction 1-floor of the deployment's engines; if unreachable
// and draining engines alone use up this limit, one engine at a time is still updated. An
// engine's version is the one that it reported, never the one that it was ordered to load.
// The target version never decreases.
package weights

import (
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// initialWindow and minWindow are numbers of concurrent loads.
	initialWindow = 8
	minWindow     = 2
	// initialPollInterval applies until the first load has been measured.
	initialPollInterval = 100 * time.Millisecond
	minPollInterval     = 50 * time.Millisecond
	maxPollInterval     = 2 * time.Second
	retryDelay          = 200 * time.Millisecond
	maxRetryDelay       = 5 * time.Second
	// unreachableDelay is the first delay before an engine that is unreachable, or that does not
	// report its version, is read again.
	unreachableDelay = time.Second
	// pollsPerLoad is the number of status polls in the average load time.
	pollsPerLoad = 8
	// queueingFactor is the multiple of the shortest load time from which loads are
	// assumed to queue at the weight store.
	queueingFactor = 2
	// steadyStateStep is the change of the window per full window of loads, after the
	// first load that queued.
	steadyStateStep = 2
	// confirmationLifetime is the time for which a confirmation of the ownership allows
	// orders to engines that ignore fencing tokens.
	confirmationLifetime = 2 * time.Second
)

// Engine is the configuration of an engine. Fencing says that the engine refuses orders with
// an old fencing token.
type Engine struct {
	ID      model.EndpointID
	Fencing bool
}

// ActionKind is the kind of call that an Action requests.
type ActionKind int

// The kinds of actions.
const (
	// ActionOrder orders the engine to load Version.
	ActionOrder ActionKind = iota
	// ActionRead reads the engine's status.
	ActionRead
)

// Action is a call to an engine that the caller of Plan must make.
type Action struct {
	Kind    ActionKind
	Engine  model.EndpointID
	Version model.WeightVersion
	// Deadline is the time from which the order must not be sent, because the sender's
	// ownership was last confirmed too long ago. Zero means no limit.
	Deadline time.Time
}

type phase int

const (
	phaseIdle phase = iota
	// phaseOrdered: an order was sent, or the engine reported a load in progress, and the
	// outcome is not known yet.
	phaseOrdered
)

type engine struct {
	Engine
	version model.WeightVersion
	// versionKnown says that version is up to date; otherwise the status must be read.
	versionKnown bool
	phase        phase
	inFlight     bool
	orderedAt    time.Time
	// due is the earliest time of the next action, zero for immediately.
	due         time.Time
	failures    int
	readAt      time.Time
	unreachable bool
	draining    bool
}

// RollingUpdate is the rolling update of one deployment's engines to its desired version. It
// is not safe for concurrent use.
type RollingUpdate struct {
	floor       float64
	target      model.WeightVersion
	targetSetAt time.Time
	confirmedAt time.Time
	engines     map[model.EndpointID]*engine
	ids         []model.EndpointID
	// window is the number of concurrent loads that the weight store is assumed to serve
	// without queueing.
	window float64
	// steadyState is set by the first load that queued.
	steadyState bool
	// minLoadTime is the shortest measured load time, meanLoadTime a moving average.
	minLoadTime  time.Duration
	meanLoadTime time.Duration
}

// NewRollingUpdate returns a rolling update without engines. floor is the fraction of the
// engines, from 0 to 1, that must stay in service.
func NewRollingUpdate(floor float64) *RollingUpdate {
	return &RollingUpdate{floor: floor, engines: map[model.EndpointID]*engine{}, window: initialWindow}
}

// SetEngines replaces the list of engines and the floor. Engines that remain keep their state.
func (u *RollingUpdate) SetEngines(list []Engine, floor float64) {
	u.floor = floor
	old := u.engines
	u.engines = make(map[model.EndpointID]*engine, len(list))
	u.ids = u.ids[:0]
	for _, e := range list {
		if existing := old[e.ID]; existing != nil {
			existing.Engine = e
			u.engines[e.ID] = existing
		} else {
			u.engines[e.ID] = &engine{Engine: e}
		}
		u.ids = append(u.ids, e.ID)
	}
	slices.Sort(u.ids)
}

// SetDraining sets which engines are draining. Draining engines receive no orders and count as
// out of service.
func (u *RollingUpdate) SetDraining(draining func(model.EndpointID) bool) {
	for id, e := range u.engines {
		e.draining = draining(id)
	}
}

// SetTarget raises the target version. A version that is not higher is ignored.
func (u *RollingUpdate) SetTarget(now time.Time, v model.WeightVersion) {
	if v <= u.target {
		return
	}
	u.target, u.targetSetAt = v, now
	for _, e := range u.engines {
		e.failures = 0
		if e.phase == phaseIdle {
			e.due = time.Time{}
		}
	}
}

// Target returns the target version and the time at which it was set.
func (u *RollingUpdate) Target() (model.WeightVersion, time.Time) { return u.target, u.targetSetAt }

// ConfirmOwnership records that the ownership and the target were confirmed by a read at asOf.
func (u *RollingUpdate) ConfirmOwnership(asOf time.Time) { u.confirmedAt = asOf }

// GossipReceived records a version that an engine reported to another host at asOf, received
// through the fleet view. If it differs from the version in an older status read, the status
// is read again.
func (u *RollingUpdate) GossipReceived(asOf time.Time, id model.EndpointID, v model.WeightVersion) {
	e := u.engines[id]
	if e == nil || e.phase != phaseIdle || e.unreachable || v == e.version || asOf.Before(e.readAt) {
		return
	}
	e.versionKnown = false
}

// Reported records the status that an engine reported; loading reports that a load is in
// progress. Version 0 means that the engine did not report its version.
func (u *RollingUpdate) Reported(now time.Time, id model.EndpointID, v model.WeightVersion, loading bool) {
	e := u.engines[id]
	if e == nil {
		return
	}
	e.inFlight, e.unreachable, e.readAt = false, false, now
	if loading {
		e.due = now.Add(u.pollInterval())
		e.phase = phaseOrdered
		if e.orderedAt.IsZero() {
			e.orderedAt = now
		}
		return
	}
	changed := v != e.version
	e.version, e.versionKnown = v, v != 0
	if !e.versionKnown {
		e.phase, e.orderedAt = phaseIdle, time.Time{}
		e.due = now.Add(backoff(unreachableDelay, e.failures))
		e.failures++
		return
	}
	if e.phase != phaseOrdered {
		return
	}
	e.phase = phaseIdle
	if changed {
		u.adaptWindow(now.Sub(e.orderedAt))
		e.failures = 0
		e.due = time.Time{}
	} else {
		e.due = now.Add(backoff(retryDelay, e.failures))
		e.failures++
	}
	e.orderedAt = time.Time{}
}

// adaptWindow adapts the window to the weight store after a load that took loadTime. The
// window grows by one per load until a load queues for the first time. After that it grows or
// shrinks by steadyStateStep per full window of loads.
func (u *RollingUpdate) adaptWindow(loadTime time.Duration) {
	if u.minLoadTime == 0 || loadTime < u.minLoadTime {
		u.minLoadTime = loadTime
	}
	if u.meanLoadTime == 0 {
		u.meanLoadTime = loadTime
	}
	u.meanLoadTime += (loadTime - u.meanLoadTime) / 8
	queued := loadTime >= queueingFactor*u.minLoadTime
	switch {
	case !queued && !u.steadyState:
		u.window++
	case !queued:
		u.window += steadyStateStep / u.window
	case !u.steadyState:
		u.steadyState = true
	default:
		u.window = max(minWindow, u.window-steadyStateStep/u.window)
	}
}

// Failed records that a call to an engine failed: the engine could not be reached or, if
// unreachable is false, refused the order.
func (u *RollingUpdate) Failed(now time.Time, id model.EndpointID, unreachable bool) {
	e := u.engines[id]
	if e == nil {
		return
	}
	e.inFlight = false
	e.unreachable = unreachable
	e.phase, e.orderedAt = phaseIdle, time.Time{}
	delay := retryDelay
	if unreachable {
		delay = unreachableDelay
	}
	e.due = now.Add(backoff(delay, e.failures))
	e.failures++
}

func backoff(first time.Duration, failures int) time.Duration {
	return min(first<<min(failures, 8), maxRetryDelay)
}

func (u *RollingUpdate) pollInterval() time.Duration {
	if u.meanLoadTime == 0 {
		return initialPollInterval
	}
	return min(max(u.meanLoadTime/pollsPerLoad, minPollInterval), maxPollInterval)
}

// Accepted records that the engine accepted the order, or is busy with an earlier one. Its
// status is read next.
func (u *RollingUpdate) Accepted(now time.Time, id model.EndpointID) {
	if e := u.engines[id]; e != nil {
		e.inFlight = false
		// The load is expected to take about meanLoadTime, so polls before most of it has
		// passed are skipped.
		e.due = now.Add(max(u.pollInterval(), u.meanLoadTime*3/4))
	}
}

// Plan returns the actions to start now. The outcome of each must be passed to Reported,
// Accepted, Failed or NotSent; until then, no other action is planned for its engine.
func (u *RollingUpdate) Plan(now time.Time) []Action {
	if u.target == 0 {
		return nil
	}
	var actions []Action
	available := u.availableOrders()
	for _, id := range u.ids {
		e := u.engines[id]
		if e.inFlight || now.Before(e.due) {
			continue
		}
		switch {
		case e.phase == phaseOrdered || !e.versionKnown || e.unreachable:
			e.inFlight = true
			actions = append(actions, Action{Kind: ActionRead, Engine: id})
		case e.version != u.target && !e.draining && available > 0 && u.mayOrder(now, e):
			available--
			e.inFlight, e.phase, e.orderedAt = true, phaseOrdered, now
			actions = append(actions, u.newOrder(e))
		}
	}
	return actions
}

func (u *RollingUpdate) newOrder(e *engine) Action {
	a := Action{Kind: ActionOrder, Engine: e.ID, Version: u.target}
	if !e.Fencing {
		a.Deadline = u.confirmedAt.Add(confirmationLifetime)
	}
	return a
}

// NotSent records that an order was not sent because its Deadline had passed.
func (u *RollingUpdate) NotSent(id model.EndpointID) {
	if e := u.engines[id]; e != nil {
		e.inFlight, e.phase, e.orderedAt = false, phaseIdle, time.Time{}
	}
}

func (u *RollingUpdate) mayOrder(now time.Time, e *engine) bool {
	return e.Fencing || now.Sub(u.confirmedAt) < confirmationLifetime
}

// MaxUnavailable returns the number of engines that may be out of service at the same time,
// at least 1.
func (u *RollingUpdate) MaxUnavailable() int { return max(1, int(float64(len(u.engines))*(1-u.floor))) }

// availableOrders returns the number of engines that may be ordered now, in addition to those
// that are loading. It may be negative.
func (u *RollingUpdate) availableOrders() int {
	unavailable, loading := 0, 0
	for _, e := range u.engines {
		if e.readAt.IsZero() && !e.unreachable {
			return 0
		}
		if e.phase == phaseOrdered {
			loading++
		}
		if e.phase == phaseOrdered || e.unreachable || e.draining {
			unavailable++
		}
	}
	limit := u.MaxUnavailable()
	if len(u.engines) > 1 && unavailable >= limit && loading == 0 {
		// Unreachable and draining engines alone use up the limit: update one at a time.
		return 1
	}
	return min(limit-unavailable, int(u.window)-loading)
}

// Lagging returns the engines that have not reported the target version, sorted by ID.
func (u *RollingUpdate) Lagging() []model.EndpointID {
	var out []model.EndpointID
	for _, id := range u.ids {
		if e := u.engines[id]; e.version != u.target {
			out = append(out, id)
		}
	}
	return out
}

// UnfencedLagging reports whether an engine that ignores fencing tokens has not reported the
// target version. An order to it requires a recent confirmation of the ownership.
func (u *RollingUpdate) UnfencedLagging() bool {
	for _, e := range u.engines {
		if !e.Fencing && e.version != u.target {
			return true
		}
	}
	return false
}

// NextDelay returns the time until the next action becomes due if no event occurs before then,
// at most maxWait.
func (u *RollingUpdate) NextDelay(now time.Time, maxWait time.Duration) time.Duration {
	wait := maxWait
	for _, e := range u.engines {
		if e.version == u.target && e.phase == phaseIdle || e.inFlight || e.due.IsZero() {
			continue
		}
		wait = min(wait, max(0, e.due.Sub(now)))
	}
	return wait
}
