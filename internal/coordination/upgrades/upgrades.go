// Package upgrades plans which endpoints load a new weight version next. The program
// oleanderfall uses it; the program oleander-control uses package weights instead.
//
// It is designed for this load pattern: a new version arrives every few seconds, a load
// blocks an endpoint for about a second, and concurrent loads slow each other down.
// Therefore only a fraction of the fleet loads at a time. If several models are trained on
// the fleet, there is not enough time for all loads. The model that the fewest endpoints
// can serve, relative to the work that its trainer submits, is then updated first: with equal
// shares a trainer with small steps is always up to date, and the others are behind. Within a
// model, engines that are slow or do not answer come last, since a load there adds little
// capacity. Of the others the endpoints with the oldest version come first, because
// one that is two versions behind can serve no open training step. Among endpoints with the
// same version those with the most running requests come first: a load blocks new samples but
// not running ones, so it costs least at an endpoint that could not start any.
//
// Invariant: at most one load of a model is in progress at an endpoint, and no endpoint is
// ordered to load a version below the one that it reported.
package upgrades

import (
	"cmp"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// maxLoadingShare is the fraction of the endpoints that may load at the same time.
	// With more, the weight store serves each load more slowly.
	maxLoadingShare = 0.2
	// minAcceptedTimeout is the least time after which an accepted order is considered lost if
	// the catalog does not show the new version. It is acceptedTimeoutLoads times the median
	// of the last loads if that is more.
	minAcceptedTimeout   = 4 * time.Second
	acceptedTimeoutLoads = 3
	// initialLoadTime is the assumed duration of a load until one was observed.
	initialLoadTime = 900 * time.Millisecond
	// observedLoads is the number of last loads whose durations are kept.
	observedLoads = 16
	// retryDelay is the delay before an order with an unknown outcome is sent again.
	retryDelay = 400 * time.Millisecond
)

// Plan holds the target versions and the orders in progress. It is not safe for concurrent
// use.
type Plan struct {
	targets map[string]int
	sent    map[key]sentOrder
	// durations has the durations of the last loads, from the acceptance of the order until the
	// catalog showed the version, oldest first.
	durations []time.Duration
	// attempts counts the orders sent for the current target, per endpoint and model.
	attempts map[key]int
}

type key struct {
	endpoint string
	model    string
}

// Load is a load in progress.
type Load struct {
	Endpoint string
	Model    string
	// Until is the expected end of the load.
	Until time.Time
}

// Loads returns the loads in progress.
func (p *Plan) Loads(now time.Time) []Load {
	var out []Load
	for k, s := range p.sent {
		if until := s.acceptedAt.Add(p.loadTime()); s.accepted && now.Before(until) {
			out = append(out, Load{Endpoint: k.endpoint, Model: k.model, Until: until})
		}
	}
	return out
}

// loadTime returns the time for which an engine starts no samples of the model after it accepted
// an order: the lower quartile of the last loads, because the catalog shows most loads later
// than they ended.
func (p *Plan) loadTime() time.Duration { return p.durationAt(0.25, initialLoadTime) }

// acceptedTimeout returns the time after which an accepted order is considered lost. The median
// leaves out loads whose end the catalog showed only after an outage of the store.
func (p *Plan) acceptedTimeout() time.Duration {
	return max(minAcceptedTimeout, acceptedTimeoutLoads*p.durationAt(0.5, 0))
}

// durationAt returns the given quantile of the last loads' durations, or unknown if there are
// none.
func (p *Plan) durationAt(quantile float64, unknown time.Duration) time.Duration {
	if len(p.durations) == 0 {
		return unknown
	}
	sorted := slices.Sorted(slices.Values(p.durations))
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// observe records the duration of a load.
func (p *Plan) observe(took time.Duration) {
	p.durations = append(p.durations, took)
	p.durations = p.durations[max(len(p.durations)-observedLoads, 0):]
}

// sentOrder is an order whose result is not visible in the catalog yet. It is dropped at
// expiresAt.
type sentOrder struct {
	version     int
	incarnation int64
	expiresAt   time.Time
	// accepted is set if the endpoint accepted the order. acceptedAt is the time of that, and
	// zero if the endpoint had the version already, so that no load took place.
	accepted   bool
	acceptedAt time.Time
}

// NewPlan returns a plan without targets.
func NewPlan() *Plan {
	return &Plan{targets: map[string]int{}, sent: map[key]sentOrder{}, attempts: map[key]int{}}
}

// SetTarget sets the target version of a model. It reports false, and changes nothing, if
// the version is not above the current target.
func (p *Plan) SetTarget(model string, version int) bool {
	if version <= p.targets[model] {
		return false
	}
	p.targets[model] = version
	for k := range p.attempts {
		if k.model == model {
			delete(p.attempts, k)
		}
	}
	return true
}

// LoadOrder is an order to send to an endpoint.
type LoadOrder struct {
	Endpoint catalog.Endpoint
	Model    string
	Version  int
}

// modelBacklog is the remaining work for one model.
type modelBacklog struct {
	model  string
	target int
	// ready is the number of endpoints that can serve the newest step plus the number of
	// those that can also serve the step after it: an endpoint counts once at the version
	// below the target and twice at the target. Loads in progress count as complete.
	ready int
	// outdated lists the endpoints that need an order, in the order of sending.
	outdated []catalog.Endpoint
}

// EngineState is what the sender of the orders knows about an engine.
type EngineState struct {
	// Running is the number of requests that run at the engine.
	Running int
	// Impaired is set if the engine is much slower than the others or does not answer.
	Impaired bool
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Next returns the orders to send now. demand is the work that trainers recently submitted, by
// ModelKey; state returns what is known about an engine.
func (p *Plan) Next(now time.Time, endpoints []catalog.Endpoint, demand map[uint32]uint32, state func(id string) EngineState) []LoadOrder {
	p.removeObsolete(now, endpoints)
	serving := 0
	for i := range endpoints {
		if len(endpoints[i].Versions) > 0 {
			serving++
		}
	}
	available := max(int(maxLoadingShare*float64(serving)+0.5), 1) - p.loading(now)
	if available <= 0 {
		return nil
	}
	var backlogs []*modelBacklog
	for m := range p.targets {
		if remaining := p.backlog(now, m, endpoints, state); len(remaining.outdated) > 0 {
			backlogs = append(backlogs, remaining)
		}
	}
	weight := weights(p.targets, demand)
	slices.SortFunc(backlogs, func(a, b *modelBacklog) int { return cmp.Compare(a.model, b.model) })
	var orders []LoadOrder
	for ; available > 0; available-- {
		var next *modelBacklog
		for _, candidate := range backlogs {
			if len(candidate.outdated) > 0 && (next == nil ||
				float64(candidate.ready)*weight[next.model] < float64(next.ready)*weight[candidate.model]) {
				next = candidate
			}
		}
		if next == nil {
			break
		}
		orders = append(orders, LoadOrder{Endpoint: next.outdated[0], Model: next.model, Version: next.target})
		next.ready += next.gain(next.outdated[0].Versions[next.model])
		next.outdated = next.outdated[1:]
	}
	return orders
}

// gain returns by how much ready increases when an endpoint with version loads the target.
func (b *modelBacklog) gain(version int) int { return min(max(b.target-version, 0), 2) }

// backlog returns the remaining work for a model.
func (p *Plan) backlog(now time.Time, model string, endpoints []catalog.Endpoint, state func(id string) EngineState) *modelBacklog {
	out := &modelBacklog{model: model, target: p.targets[model]}
	for _, e := range endpoints {
		v, ok := e.Versions[model]
		if !ok || e.Draining {
			continue
		}
		s, ordered := p.sent[key{e.ID, model}]
		ordered = ordered && now.Before(s.expiresAt)
		out.ready += 2 - out.gain(v)
		switch {
		case v >= out.target:
		case ordered && s.accepted:
			out.ready += out.gain(v)
		case !ordered:
			out.outdated = append(out.outdated, e)
		}
	}
	slices.SortFunc(out.outdated, func(a, b catalog.Endpoint) int {
		return cmp.Or(
			// A load at an impaired engine adds little capacity and holds up those of the others.
			compareBool(state(a.ID).Impaired, state(b.ID).Impaired),
			cmp.Compare(a.Versions[model], b.Versions[model]),
			// An endpoint that repeatedly fails to load must not block the others.
			cmp.Compare(p.attempts[key{a.ID, model}], p.attempts[key{b.ID, model}]),
			cmp.Compare(state(b.ID).Running, state(a.ID).Running),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

// removeObsolete drops orders that timed out, that the catalog shows as complete, or whose
// endpoint was removed or restarted.
func (p *Plan) removeObsolete(now time.Time, endpoints []catalog.Endpoint) {
	byID := make(map[string]*catalog.Endpoint, len(endpoints))
	for i := range endpoints {
		byID[endpoints[i].ID] = &endpoints[i]
	}
	for k, s := range p.sent {
		e, ok := byID[k.endpoint]
		if ok && !s.acceptedAt.IsZero() && e.Versions[k.model] >= s.version && e.Incarnation == s.incarnation {
			p.observe(now.Sub(s.acceptedAt))
		}
		if !ok || e.Versions[k.model] >= s.version || e.Incarnation != s.incarnation || !now.Before(s.expiresAt) {
			delete(p.sent, k)
		}
	}
}

// loading returns the number of loads in progress. A load counts until the catalog shows
// its end or the order times out, even if it takes longer than usual, because more
// concurrent loads would slow down all of them.
func (p *Plan) loading(now time.Time) int {
	n := 0
	for _, s := range p.sent {
		if s.accepted && now.Before(s.expiresAt) {
			n++
		}
	}
	return n
}

// Accepted records that an endpoint accepted the order.
func (p *Plan) Accepted(now time.Time, o LoadOrder) {
	p.attempts[key{o.Endpoint.ID, o.Model}]++
	p.sent[key{o.Endpoint.ID, o.Model}] = sentOrder{
		version: o.Version, incarnation: o.Endpoint.Incarnation, expiresAt: now.Add(p.acceptedTimeout()), accepted: true, acceptedAt: now,
	}
}

// AlreadyApplied records that an endpoint answered an order with having the version. It is not
// ordered again until the catalog shows that or the order times out.
func (p *Plan) AlreadyApplied(now time.Time, o LoadOrder) {
	p.Accepted(now, o)
	k := key{o.Endpoint.ID, o.Model}
	s := p.sent[k]
	s.acceptedAt = time.Time{}
	p.sent[k] = s
}

// OutcomeUnknown records that the outcome of an order is unknown, because the endpoint did
// not answer or was in an unexpected state. The order is planned again after retryDelay. The
// sender then first reads how many orders the endpoint has accepted, since the order may be
// among them.
func (p *Plan) OutcomeUnknown(now time.Time, o LoadOrder) {
	p.attempts[key{o.Endpoint.ID, o.Model}]++
	p.sent[key{o.Endpoint.ID, o.Model}] = sentOrder{
		version: o.Version, incarnation: o.Endpoint.Incarnation, expiresAt: now.Add(retryDelay), accepted: false,
	}
}

// Targets returns the target version of each model. The caller must not modify the map.
func (p *Plan) Targets() map[string]int { return p.targets }
