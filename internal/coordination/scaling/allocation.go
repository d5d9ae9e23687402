package scaling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// maxSpotShare bounds the spot endpoints of one zone, relative to all endpoints. All of them
// may be taken back at once, and their replacements serve only after the boot time.
const maxSpotShare = 0.25

// allocation distributes endpoints over the places. It starts from what is present, so that an order
// changes no more than necessary.
type allocation struct {
	plan   *Plan
	now    time.Duration
	limits *catalog.Scaling
	// places lists the places where endpoints may run, sorted.
	places []Place
	// counts has the number of endpoints in each place, former what is present.
	counts, former map[Place]int
	// unstopped has the endpoints that an unconfirmed order for fewer is to stop and that still run.
	unstopped map[Place]int
	// zones has the number of endpoints in each zone, which the limits bound. usable, and for all
	// zones total and onDemand, leave out those that are unreachable.
	zones, usable   map[string]int
	total, onDemand int
	// callers is the number of endpoints that callers need.
	callers int
	// spotLimit bounds the spot endpoints of one zone.
	spotLimit int
}

func newAllocation(p *Plan, in Input, limits *catalog.Scaling, callers int) *allocation {
	a := &allocation{plan: p, now: in.Now, limits: limits, counts: map[Place]int{}, former: map[Place]int{}, unstopped: map[Place]int{}, zones: map[string]int{}, usable: map[string]int{}, callers: callers}
	for zone := range limits.ZonePrices {
		a.zones[zone] = 0
	}
	for at := range p.places {
		a.zones[at.Zone] = 0
	}
	for _, zone := range slices.Sorted(maps.Keys(a.zones)) {
		for _, spot := range []bool{false, true} {
			at := Place{Zone: zone, Spot: spot}
			a.places = append(a.places, at)
			s := p.place(at)
			a.former[at] = s.present()
			if s.unconfirmedFewer() {
				a.unstopped[at] = s.remaining()
			}
			a.change(at, a.former[at])
			a.changeUsable(at, -min(s.unreachable, a.former[at]))
		}
	}
	return a
}

// change adds n endpoints to a place.
func (a *allocation) change(at Place, n int) {
	a.counts[at] += n
	a.zones[at.Zone] += n
	a.changeUsable(at, n)
}

func (a *allocation) changeUsable(at Place, n int) {
	a.usable[at.Zone] += n
	a.total += n
	if !at.Spot {
		a.onDemand += n
	}
}

// cost returns the price of another endpoint in a place, which is higher in zones that have a large
// share of the endpoints, so that they do not all depend on the cheapest zone.
func (a *allocation) cost(at Place) float64 {
	price := cmp.Or(a.limits.ZonePrices[at.Zone], 1)
	if at.Spot {
		price *= a.limits.SpotPrice
	}
	return price * (1 + float64(a.zones[at.Zone])/float64(max(a.total, 1)))
}

// orderable reports whether endpoints may be ordered in a place: in zones that have a price, if any
// has one.
func (a *allocation) orderable(at Place) bool {
	_, ok := a.limits.ZonePrices[at.Zone]
	return ok || len(a.limits.ZonePrices) == 0
}

// mayGrow reports whether more endpoints may be ordered in a place.
func (a *allocation) mayGrow(at Place) bool {
	s := a.plan.place(at)
	if !a.orderable(at) || a.now < s.unavailableUntil || s.unreachable > 0 && s.unreachable == s.serving || a.zones[at.Zone]+a.unstoppedBeside(at) >= a.limits.Max || at.Spot && a.limits.SpotPrice <= 0 {
		return false
	}
	// An unanswered order for more is repeated first. One for fewer that is no longer wanted is
	// overridden, and ordered again if it is executed late.
	return s.order == nil || !s.order.open || !s.order.pending && s.order.count < s.order.serving
}

// unstoppedBeside returns the endpoints of the other kind in the zone of a place that still run although
// counts leaves them out.
func (a *allocation) unstoppedBeside(at Place) int {
	other := Place{Zone: at.Zone, Spot: !at.Spot}
	return max(a.unstopped[other]-(a.counts[other]-a.former[other]), 0)
}

// add adds an endpoint to the cheapest place that is allowed. It returns false if there is none.
func (a *allocation) add(allowed func(Place) bool) bool {
	best, bestCost := -1, 0.0
	for i, at := range a.places {
		if !a.mayGrow(at) || !allowed(at) {
			continue
		}
		if cost := a.cost(at); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return false
	}
	a.change(a.places[best], 1)
	return true
}

// largestZone returns the zone with the most usable endpoints.
func (a *allocation) largestZone() string {
	names := slices.Sorted(maps.Keys(a.zones))
	if len(names) == 0 {
		return ""
	}
	return slices.MaxFunc(names, func(x, y string) int { return cmp.Compare(a.usable[x], a.usable[y]) })
}

// callersServed reports whether callers are served after the loss of the largest zone or of all spot
// endpoints.
func (a *allocation) callersServed() bool {
	return a.onDemand >= a.callers && a.total-a.usable[a.largestZone()] >= a.callers
}

// grow adds endpoints until the service's minimum is reached, callers are served after a loss, and
// the wanted number is reached, as far as the places allow.
func (a *allocation) grow(wanted int) {
	a.spotLimit = max(1, int(maxSpotShare*float64(wanted)))
	withinSpotLimit := func(at Place) bool { return !at.Spot || a.counts[at] < a.spotLimit }
	for _, zone := range slices.Sorted(maps.Keys(a.zones)) {
		for a.zones[zone] < a.limits.Min && a.add(func(at Place) bool { return at.Zone == zone }) {
			continue
		}
	}
	for a.onDemand < a.callers && a.add(func(at Place) bool { return !at.Spot }) {
		continue
	}
	for {
		largest := a.largestZone()
		if a.total-a.usable[largest] >= a.callers || !a.add(func(at Place) bool { return at.Zone != largest && withinSpotLimit(at) }) {
			break
		}
	}
	for a.total < wanted && (a.add(withinSpotLimit) || a.add(func(Place) bool { return true })) {
		continue
	}
}

// grown reports whether endpoints were added.
func (a *allocation) grown() bool {
	for at, n := range a.counts {
		if n > a.former[at] {
			return true
		}
	}
	return false
}

// shrink removes endpoints beyond the wanted number as long as callers are served after a loss: first
// spot endpoints beyond their limit, then the most expensive.
func (a *allocation) shrink(wanted int) {
	a.spotLimit = max(1, int(maxSpotShare*float64(a.total)))
	for n := max(1, int(stepDownShare*float64(a.total))); n > 0 && a.total > wanted; n-- {
		aboveMin := func(at Place) bool { return a.zones[at.Zone] > a.limits.Min }
		if !a.remove(func(at Place) bool { return aboveMin(at) && at.Spot && a.counts[at] > a.spotLimit }) && !a.remove(aboveMin) {
			return
		}
	}
}

// trim removes endpoints of zones that have more than the service's maximum, for example after a new
// configuration.
func (a *allocation) trim() {
	for _, at := range a.places {
		for a.zones[at.Zone] > a.limits.Max && a.counts[at] > 0 && a.mayShrink(at) {
			a.change(at, -1)
		}
	}
}

// mayShrink reports whether fewer endpoints may be ordered in a place: no order is in effect there.
func (a *allocation) mayShrink(at Place) bool {
	return a.orderable(at) && a.plan.place(at).order == nil
}

// remove removes an endpoint from the most expensive place that is allowed. It returns false if there
// is none.
func (a *allocation) remove(allowed func(Place) bool) bool {
	best, bestCost := -1, 0.0
	for i, at := range a.places {
		if a.counts[at] == 0 || !a.mayShrink(at) || !allowed(at) {
			continue
		}
		a.change(at, -1)
		served := a.callersServed()
		a.change(at, 1)
		if cost := a.cost(at); served && (best < 0 || cost > bestCost) {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return false
	}
	a.change(a.places[best], -1)
	return true
}

// orders returns the orders for the places whose number changes, and repeats of unanswered ones. The
// largest increases come first.
func (a *allocation) orders() []Order {
	var out []Order
	grown := a.grown()
	for _, at := range a.places {
		s := a.plan.place(at)
		o := s.order
		switch {
		case s.unconfirmedFewer() && a.counts[at] > a.former[at] && a.counts[at] == s.serving:
			// Nothing was stopped so far. If it is later, the endpoints are ordered again.
		case a.counts[at] != a.former[at]:
			out = append(out, Order{Place: at, Count: a.counts[at], Former: a.former[at]})
		case o != nil && o.open && !o.pending && a.now >= o.repeatAt && !(grown && o.count < o.serving):
			out = append(out, Order{Place: at, Count: o.count, Former: a.former[at], Repeat: true})
		}
	}
	slices.SortStableFunc(out, func(x, y Order) int { return cmp.Compare(y.Count-y.Former, x.Count-x.Former) })
	return out
}
