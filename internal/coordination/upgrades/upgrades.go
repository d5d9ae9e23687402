// Package upgrades plans which endpoints load a new weight version next.
//
// It answers this load pattern: a version arrives every few seconds, a load blocks an
// endpoint for about a second, and loads slow each other down when many run at once.
// So only a share of the fleet loads at a time. Where several models are trained on it
// there are more loads to do than time for them: the model goes first that the fewest
// endpoints can serve, lest one model's loads hold up the others'. Of its endpoints those
// go first that can serve no open step, and among the others the fullest: a load keeps new
// samples out but lets running ones go on, so it costs least where nothing could start
// anyway.
//
// Invariant: at most one load of a model is in progress at an endpoint, and a load is
// never ordered to a version below the one that the endpoint reported.
package upgrades

import (
	"cmp"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// loadingShare is the part of the endpoints that load at once; the weight store
	// serves more only at a slower pace each.
	loadingShare = 0.2
	// reportLag is how long an accepted order may go unseen in the catalog before it
	// is taken as lost. Loads take about a second, and the catalog shows them later.
	reportLag = 4 * time.Second
	// loadTime is how long an engine starts no samples of the model after it accepted an
	// order.
	loadTime = 900 * time.Millisecond
	// retryAfter is the pause after an order that got no clear answer.
	retryAfter = 400 * time.Millisecond
)

// Plan holds the orders in progress. It is not safe for concurrent use.
type Plan struct {
	targets map[string]int
	sent    map[key]sent
	// tries counts the orders of the present target that were not seen to succeed.
	tries map[key]int
}

type key struct {
	endpoint string
	model    string
}

// Load is a load in progress.
type Load struct {
	Endpoint string
	Model    string
	// Until is when it should be over.
	Until time.Time
}

// Loads returns the loads in progress.
func (p *Plan) Loads(now time.Time) []Load {
	var out []Load
	for k, s := range p.sent {
		if until := s.until.Add(loadTime - reportLag); s.accepted && now.Before(until) {
			out = append(out, Load{Endpoint: k.endpoint, Model: k.model, Until: until})
		}
	}
	return out
}

type sent struct {
	version     int
	incarnation int64
	until       time.Time
	accepted    bool
}

// NewPlan returns a plan without targets.
func NewPlan() *Plan {
	return &Plan{targets: map[string]int{}, sent: map[key]sent{}, tries: map[key]int{}}
}

// SetTarget takes the newest version of a model; older ones are ignored.
func (p *Plan) SetTarget(model string, version int) bool {
	if version <= p.targets[model] {
		return false
	}
	p.targets[model] = version
	for k := range p.tries {
		if k.model == model {
			delete(p.tries, k)
		}
	}
	return true
}

// Step is one order to send.
type Step struct {
	Endpoint catalog.Endpoint
	Model    string
	Version  int
}

// wave is what is left to do for one model.
type wave struct {
	model  string
	target int
	// ready counts the endpoints that can serve the newest step, and those again that
	// can serve the step after it, with the loads in progress.
	ready int
	// behind lists the endpoints to order, the first one first.
	behind []catalog.Endpoint
}

// Next returns the orders to send now. running tells the requests at an endpoint.
func (p *Plan) Next(now time.Time, endpoints []catalog.Endpoint, running func(id string) int) []Step {
	p.settle(now, endpoints)
	serving := 0
	for i := range endpoints {
		if len(endpoints[i].Versions) > 0 {
			serving++
		}
	}
	room := max(int(loadingShare*float64(serving)+0.5), 1) - p.loading(now)
	if room <= 0 {
		return nil
	}
	var waves []*wave
	for m := range p.targets {
		if w := p.wave(now, m, endpoints, running); len(w.behind) > 0 {
			waves = append(waves, w)
		}
	}
	slices.SortFunc(waves, func(a, b *wave) int { return cmp.Compare(a.model, b.model) })
	var steps []Step
	for ; room > 0; room-- {
		var next *wave
		for _, w := range waves {
			if len(w.behind) > 0 && (next == nil || w.ready < next.ready) {
				next = w
			}
		}
		if next == nil {
			break
		}
		steps = append(steps, Step{Endpoint: next.behind[0], Model: next.model, Version: next.target})
		next.ready += next.gain(next.behind[0].Versions[next.model])
		next.behind = next.behind[1:]
	}
	return steps
}

// gain is what a load adds to ready at an endpoint with a version.
func (w *wave) gain(version int) int { return min(max(w.target-version, 0), 2) }

// wave returns what is left to do for a model.
func (p *Plan) wave(now time.Time, model string, endpoints []catalog.Endpoint, running func(id string) int) *wave {
	w := &wave{model: model, target: p.targets[model]}
	for _, e := range endpoints {
		v, ok := e.Versions[model]
		if !ok || e.Draining {
			continue
		}
		s, ordered := p.sent[key{e.ID, model}]
		ordered = ordered && now.Before(s.until)
		w.ready += 2 - w.gain(v)
		switch {
		case v >= w.target:
		case ordered && s.accepted:
			w.ready += w.gain(v)
		case !ordered:
			w.behind = append(w.behind, e)
		}
	}
	slices.SortFunc(w.behind, func(a, b catalog.Endpoint) int {
		return cmp.Or(
			cmp.Compare(a.Versions[model], b.Versions[model]),
			// One that does not come to its version must not keep the others from it.
			cmp.Compare(p.tries[key{a.ID, model}], p.tries[key{b.ID, model}]),
			cmp.Compare(running(b.ID), running(a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return w
}

// settle forgets orders that the catalog shows as carried out or as given to an
// earlier incarnation.
func (p *Plan) settle(now time.Time, endpoints []catalog.Endpoint) {
	present := make(map[string]*catalog.Endpoint, len(endpoints))
	for i := range endpoints {
		present[endpoints[i].ID] = &endpoints[i]
	}
	for k, s := range p.sent {
		e, ok := present[k.endpoint]
		if !ok || e.Versions[k.model] >= s.version || e.Incarnation != s.incarnation || !now.Before(s.until) {
			delete(p.sent, k)
		}
	}
}

// loading counts the loads in progress, until the catalog shows their end: one that takes
// longer than usual keeps its place, as more at once would slow down all of them.
func (p *Plan) loading(now time.Time) int {
	n := 0
	for _, s := range p.sent {
		if s.accepted && now.Before(s.until) {
			n++
		}
	}
	return n
}

// Accepted records that an endpoint carries the order out.
func (p *Plan) Accepted(now time.Time, s Step) {
	p.tries[key{s.Endpoint.ID, s.Model}]++
	p.sent[key{s.Endpoint.ID, s.Model}] = sent{
		version: s.Version, incarnation: s.Endpoint.Incarnation, until: now.Add(reportLag), accepted: true,
	}
}

// Unclear records that an order got no answer or met another state: it is sent again
// after a pause, with the count of orders that the endpoint then reports.
func (p *Plan) Unclear(now time.Time, s Step) {
	p.tries[key{s.Endpoint.ID, s.Model}]++
	p.sent[key{s.Endpoint.ID, s.Model}] = sent{
		version: s.Version, incarnation: s.Endpoint.Incarnation, until: now.Add(retryAfter), accepted: false,
	}
}

// Targets returns the newest version of each model.
func (p *Plan) Targets() map[string]int { return p.targets }
