// Package scaling decides how many endpoints of a service to order in each zone, from the demand,
// the endpoints that report and the answers to earlier orders.
//
// It handles these loads; testdata has a replay of each:
//
//   - wave: steps of several trainers that come every few seconds. The highest demand of the last
//     holdPeriod counts, so endpoints are kept between the steps.
//   - burst: callers' requests that grow within a second.
//   - zone_lost: the endpoints of a zone stop answering without a notice. They are replaced in other
//     zones, and count towards the limits of their own.
//   - reclaimed: the platform takes back all spot endpoints of a zone. They are replaced when they
//     report that they leave, in other places.
//   - api_down: the operator's API takes no orders for a while.
//   - answers_lost: orders without an answer, which may be executed late. Each is repeated with the
//     same target until it is confirmed or its endpoints report.
//
// Invariants: an order is sent only if its target differs from what the endpoints report and from
// what is being started there, or to repeat an unanswered one. The endpoints of a zone, of both
// kinds together, stay within the service's limits. Fewer endpoints are ordered only after
// holdPeriod of lower demand that this plan has observed itself, and not below what callers need
// after the loss of the largest zone or of all spot endpoints.
package scaling

import (
	"math"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// holdPeriod is how long the highest demand counts. It covers ten steps that come 4 s apart.
	// An endpoint that is idle for this time costs about 0.4, a group that misses its time for lack
	// of a slot about 4.
	holdPeriod = 40 * time.Second
	// wavePeriod is the time between steps. The demand rises if that of the last wavePeriod is higher
	// than before.
	wavePeriod = 4 * time.Second
	// maxForecast bounds the expected rise of the demand of batches, relative to the present one.
	maxForecast = 0.25
	// callerUtilization is the share of the slots that callers' requests are planned to use while no
	// endpoints are lost. Requests arrive irregularly, and refused ones are not part of the demand.
	callerUtilization = 0.75
	// arrivalMargin is how long after the boot time a new endpoint may still appear in the list: the
	// list is read every 0.45 s and passed on between hosts.
	arrivalMargin = 3 * time.Second
	// departureWindow is how long endpoints may take to report that they leave after fewer were
	// ordered.
	departureWindow = 5 * time.Second
	// maxGap is the time between two calls of Next beyond which the demand in between is unknown: the
	// lease was not confirmed, or the host was frozen.
	maxGap = 3 * time.Second
	// stepDownInterval and stepDownShare bound the rate of orders for fewer endpoints.
	stepDownInterval = 5 * time.Second
	stepDownShare    = 0.125
	// minCooldown is how long a place is not asked after it had no endpoints available or took its
	// spot endpoints back. It doubles with each further refusal up to maxCooldown.
	minCooldown = 10 * time.Second
	maxCooldown = 60 * time.Second
	// minRepeat is the time after which an unanswered order is repeated. It doubles up to maxRepeat.
	minRepeat = 2 * time.Second
	maxRepeat = 8 * time.Second
	// unreachableTolerance is how long an endpoint may be unreachable before it is replaced. One that
	// restarts or was ejected by mistake answers again within this time.
	unreachableTolerance = 2 * time.Second
	// assumedSlots is the number of slots of an endpoint while none has reported.
	assumedSlots = 8
)

// Place is where endpoints of one kind of a service run.
type Place struct {
	Zone string
	Spot bool
}

// Endpoint is an endpoint as it reports itself.
type Endpoint struct {
	Place
	// Instance identifies the endpoint until it restarts.
	Instance uint32
	Slots    int
	// Leaving endpoints take no new requests and end soon.
	Leaving bool
	// Unreachable endpoints do not answer, although the platform lists them.
	Unreachable bool
}

// Demand is the demand for slots of a service.
type Demand struct {
	// Running is the number of requests at the endpoints, except samples of batches. Waiting is the
	// number of requests that wait for a slot.
	Running, Waiting int
	// Due is the number of slots with which the unfinished samples of batches end in time; see
	// SlotsInTime.
	Due int
}

// Input is what a plan knows at a time.
type Input struct {
	// Now is the time since boot.
	Now    time.Duration
	Demand Demand
	// DemandUnknown is set if a part of the demand could not be read. Demand is then a lower bound.
	DemandUnknown bool
	Endpoints     []Endpoint
	// Outdated is set if the list of endpoints could not be read recently.
	Outdated bool
}

// Order sets the number of endpoints in a place.
type Order struct {
	Place
	Count int
	// Former is the number of endpoints there, including those being started.
	Former int
	// Repeat is set if the order was sent before, without an answer.
	Repeat bool
}

// Answer is the answer to an order.
type Answer int

// The answers to orders.
const (
	// Confirmed: the order was taken.
	Confirmed Answer = iota
	// Refused: no endpoints are available in the place. Nothing was changed.
	Refused
	// NotTaken: the API did not take the order. Nothing was changed.
	NotTaken
	// Unanswered: the order may be executed, possibly late.
	Unanswered
)

// reading is the demand at a time.
type reading struct {
	at time.Duration
	// callers is the number of slots that callers' requests used or waited for, due that of batches,
	// slots what both are planned to have.
	callers, due, slots float64
	// planned is slots, or more if the demand was expected to rise.
	planned float64
}

// Plan decides the orders for one service. It is not safe for concurrent use.
type Plan struct {
	places map[Place]*placeState
	// unreachableSince has the unreachable endpoints by instance.
	unreachableSince map[uint32]time.Duration
	// readings are those of the last holdPeriod, oldest first.
	readings []reading
	// observedSince is the time since which the demand is known without a gap.
	observedSince time.Duration
	// beganAt is the time of the first call of Next, which began says has been made.
	began   bool
	beganAt time.Duration
	// lastInput is the time of the last call of Next, lastCallers the running requests then.
	lastInput    time.Duration
	lastCallers  int
	lastStepDown time.Duration
	// slots is the average number of slots of an endpoint, zero before the first one reports.
	slots  float64
	wanted int
}

// NewPlan returns a plan that knows no earlier orders.
func NewPlan() *Plan {
	return &Plan{places: map[Place]*placeState{}, unreachableSince: map[uint32]time.Duration{}}
}

// Wanted returns the number of endpoints that the last call of Next wanted altogether, without those
// that callers need after a loss.
func (p *Plan) Wanted() int { return p.wanted }

// Next returns the orders that are due, the largest increases first. Sent must be called for each
// one that is sent, and Answered for its answer.
func (p *Plan) Next(in Input, limits *catalog.Scaling) []Order {
	if !p.began {
		p.began, p.beganAt, p.observedSince, p.lastInput = true, in.Now, in.Now, in.Now
	}
	if in.DemandUnknown || in.Now-p.lastInput > maxGap {
		p.observedSince = in.Now
	}
	p.observe(in)
	if limits.Max <= 0 || limits.Min > limits.Max {
		p.lastInput = in.Now
		return nil // these limits cannot be meant
	}
	callers, wanted, kept := p.measure(in)
	a := newAllocation(p, in, limits, int(math.Ceil(callers/p.slotsPerEndpoint())))
	if !in.Outdated && in.Now-p.beganAt >= limits.BootTime+arrivalMargin {
		a.trim()
	}
	a.grow(wanted)
	if !a.grown() && p.mayShrink(in, limits) {
		a.shrink(kept)
	}
	p.lastInput = in.Now
	return a.orders()
}

// mayShrink reports whether fewer endpoints may be ordered now.
func (p *Plan) mayShrink(in Input, limits *catalog.Scaling) bool {
	observed := in.Now - p.observedSince
	return !in.Outdated && observed >= max(holdPeriod, limits.BootTime+arrivalMargin) &&
		(p.lastStepDown == 0 || in.Now-p.lastStepDown >= stepDownInterval)
}

func (p *Plan) slotsPerEndpoint() float64 {
	if p.slots == 0 {
		return assumedSlots
	}
	return p.slots
}

// measure records the demand. It returns the highest number of slots that callers needed within
// holdPeriod, the number of endpoints wanted, and the number beyond which fewer may be ordered.
func (p *Plan) measure(in Input) (callers float64, wanted, kept int) {
	running := in.Demand.Running
	if in.Demand.Due > 0 {
		// Loads and samples are counted at different moments, so that the start of a step may look
		// like callers' requests for one reading.
		running = min(running, p.lastCallers)
	}
	p.lastCallers = in.Demand.Running
	now := reading{at: in.Now, callers: float64(running + in.Demand.Waiting), due: float64(in.Demand.Due)}
	now.slots = now.callers/callerUtilization + now.due
	for len(p.readings) > 0 && in.Now-p.readings[0].at > holdPeriod {
		p.readings = p.readings[1:]
	}
	p.readings = append(p.readings, now)
	var peak, planned, recent, before float64
	for _, r := range p.readings {
		callers, peak, planned = max(callers, r.callers), max(peak, r.slots), max(planned, r.planned)
		if in.Now-r.at < wavePeriod {
			recent = max(recent, r.due)
		} else {
			before = max(before, r.due)
		}
	}
	now.planned = now.slots
	if in.Now-p.readings[0].at >= wavePeriod && recent > before {
		// Endpoints ordered now serve only with the next step, which adds to those that run.
		now.planned = max(now.slots, now.callers/callerUtilization+recent+min(recent-before, maxForecast*recent))
	}
	p.readings[len(p.readings)-1] = now
	peak = max(peak, now.planned)
	p.wanted = int(math.Ceil(peak / p.slotsPerEndpoint()))
	return callers, p.wanted, int(math.Ceil(max(peak, planned) / p.slotsPerEndpoint()))
}
