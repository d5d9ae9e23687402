package scaling

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// placeState is what a plan knows about a place.
type placeState struct {
	// instances has the endpoints that report, with whether they are leaving. serving counts those
	// that are not.
	instances map[uint32]bool
	serving   int
	// unreachable counts the serving endpoints that have not answered for unreachableTolerance.
	unreachable int
	order       *sentOrder
	// unavailableUntil is the end of the cooldown, refusals counts refusals since the last
	// confirmation.
	unavailableUntil time.Duration
	refusals         int
}

// sentOrder is the last order for a place.
type sentOrder struct {
	count int
	// serving is the number of endpoints that served when the order was first sent, known has the
	// instances that reported then, with whether they were leaving.
	serving int
	known   map[uint32]bool
	// until is the time until which the order's effect is expected, which is effect after the answer.
	until, effect time.Duration
	// pending is set while the answer is awaited, open until the order is confirmed.
	pending, open bool
	repeats       int
	repeatAt      time.Duration
	// replaced is the order before, which is in effect again if this one is not taken.
	replaced *sentOrder
}

// place returns the state of a place.
func (p *Plan) place(at Place) *placeState {
	s := p.places[at]
	if s == nil {
		s = &placeState{instances: map[uint32]bool{}}
		p.places[at] = s
	}
	return s
}

// observe records which endpoints report.
func (p *Plan) observe(in Input) {
	former := map[Place]map[uint32]bool{}
	for at, s := range p.places {
		former[at], s.instances = s.instances, map[uint32]bool{}
		s.serving, s.unreachable = 0, 0
	}
	unreachableSince := map[uint32]time.Duration{}
	slots, n := 0, 0
	for _, e := range in.Endpoints {
		s := p.place(e.Place)
		s.instances[e.Instance] = e.Leaving
		if e.Leaving {
			if wasLeaving, known := former[e.Place][e.Instance]; known && !wasLeaving && e.Spot && !s.shrinking(in.Now) {
				s.cool(in.Now) // the platform takes spot endpoints back
			}
			continue
		}
		s.serving++
		if e.Unreachable {
			since, known := p.unreachableSince[e.Instance]
			if !known {
				since = in.Now
			}
			unreachableSince[e.Instance] = since
			if in.Now-since >= unreachableTolerance {
				s.unreachable++
			}
		}
		slots, n = slots+e.Slots, n+1
	}
	p.unreachableSince = unreachableSince
	if n > 0 && slots > 0 {
		p.slots = float64(slots) / float64(n)
	}
	for _, s := range p.places {
		s.judge(in, in.Now-p.lastInput)
	}
}

// judge ends the last order if its effect shows or can no longer be expected.
func (s *placeState) judge(in Input, sinceLast time.Duration) {
	o := s.order
	if o == nil {
		return
	}
	if in.Outdated {
		o.until += sinceLast // its effect may not show yet
	}
	if o.open && !o.pending && s.remaining() == 0 {
		o.open = false
	}
	if in.Now < o.until || o.open {
		return
	}
	if s.remaining() > 0 {
		s.cool(in.Now) // the place took the order and does not deliver; others get its share
	}
	s.order = nil
}

// remaining returns the number of endpoints that the last order is to start or to stop and that have
// not reported accordingly.
func (s *placeState) remaining() int {
	o := s.order
	if o.count >= o.serving {
		arrived := 0
		for instance := range s.instances {
			if _, known := o.known[instance]; !known {
				arrived++
			}
		}
		return max(o.count-o.serving-arrived, 0)
	}
	left := 0
	for instance, wasLeaving := range o.known {
		if leaving, present := s.instances[instance]; !wasLeaving && (leaving || !present) {
			left++
		}
	}
	return max(o.serving-o.count-left, 0)
}

// present returns the number of endpoints, including those being started and without those being
// stopped by the last order.
func (s *placeState) present() int {
	if s.order == nil {
		return s.serving
	}
	if s.order.count < s.order.serving {
		return max(s.serving-s.remaining(), 0)
	}
	return s.serving + s.remaining()
}

// unconfirmedFewer reports whether the last order was for fewer endpoints and is not confirmed.
func (s *placeState) unconfirmedFewer() bool {
	return s.order != nil && s.order.open && s.order.count < s.order.serving
}

// shrinking reports whether the last order was for fewer endpoints.
func (s *placeState) shrinking(now time.Duration) bool {
	return s.order != nil && s.order.count < s.order.serving && now < s.order.until+departureWindow
}

// cool starts or extends the cooldown of the place.
func (s *placeState) cool(now time.Duration) {
	if now < s.unavailableUntil {
		return
	}
	s.unavailableUntil = now + min(minCooldown<<min(s.refusals, 8), maxCooldown)
	s.refusals++
}

// Sent records that an order is being sent.
func (p *Plan) Sent(now time.Duration, o Order, limits *catalog.Scaling) {
	s := p.place(o.Place)
	if o.Repeat && s.order != nil {
		s.order.pending, s.order.until = true, now+s.order.effect
		return
	}
	effect := limits.BootTime + arrivalMargin
	if o.Count < o.Former {
		effect, p.lastStepDown = departureWindow, now
	}
	known := make(map[uint32]bool, len(s.instances))
	for instance, leaving := range s.instances {
		known[instance] = leaving
	}
	next := &sentOrder{count: o.Count, serving: s.serving, known: known, until: now + effect, effect: effect, pending: true, open: true, replaced: s.order}
	if next.replaced != nil {
		next.replaced.replaced = nil
	}
	s.order = next
}

// Answered records the answer to the order sent last for its place.
func (p *Plan) Answered(now time.Duration, o Order, a Answer) {
	s := p.place(o.Place)
	if s.order == nil || s.order.count != o.Count {
		return
	}
	s.order.pending = false
	switch a {
	case Confirmed:
		s.order.open, s.order.replaced, s.order.until, s.refusals = false, nil, now+s.order.effect, 0
	case Unanswered:
		s.order.repeatAt = now + min(minRepeat<<min(s.order.repeats, 8), maxRepeat)
		s.order.repeats++
	case Refused:
		s.cool(now)
		// An earlier, unanswered call may have been executed. What one for fewer stops reports soon.
		if s.order.repeats > 0 && s.order.count > s.order.serving {
			s.order.open, s.order.until = false, now+s.order.effect
			return
		}
		s.order = s.order.replaced
	case NotTaken:
		if s.order.repeats > 0 { // an earlier, unanswered call may still be executed
			s.order.repeatAt = now
			return
		}
		s.order = s.order.replaced
	}
}
