package admission

import (
	"math"
	"time"
)

const (
	// adjustInterval is the minimum time between two adjustments of a limit. It is also the
	// window over which completions are counted.
	adjustInterval = 100 * time.Millisecond
	// minSamples is the minimum number of answers and refusals for an adjustment.
	minSamples = 5
	// latencyTolerance is the multiple of the baseline above which the average latency
	// counts as overload.
	latencyTolerance = 2.0
	// latencySlack is added to the tolerated latency: a delay this short has no effect on
	// callers.
	latencySlack = 10 * time.Millisecond
	// maxLatencyFactor caps the latency of a single answer at a multiple of the baseline.
	maxLatencyFactor = 5
	// decreaseFactor is the multiplicative decrease of the limit under overload.
	decreaseFactor = 0.85
	// baselineDrift is the share by which the baseline rises in each window, so that it
	// follows a lasting increase of the service time.
	baselineDrift = 0.01
	// minLimit is low because many hosts may share few endpoints.
	minLimit = 1
	// contendedShares bounds the limit, in even shares, when other hosts become busy. It is
	// more than one because some hosts have less work than others and endpoints can queue a
	// few requests.
	contendedShares = 2
	// growthUtilization is the share of the limit, rounded down to complete requests, that must
	// have been in use for the limit to grow.
	growthUtilization = 0.75
	// refusalShare is the share of refusals in a window above which the window counts as
	// overload.
	refusalShare = 0.1
)

// maxClasses bounds the request classes with a latency baseline of their own. When it is
// reached, all baselines are dropped.
const maxClasses = 32

// limiter adapts the concurrency limit to the latency of the answers by additive
// increase and multiplicative decrease. It starts at the upper bound, since an idle fleet
// gives no answers from which to grow. Each class of requests is compared with its own
// baseline, as a service may have short and long requests.
type limiter struct {
	limit      float64
	upperBound float64
	// lowerBound is the minimum of the limit, unless upperBound is lower.
	lowerBound float64
	// othersIdle is set while the other hosts use few of the endpoints' slots.
	othersIdle bool
	// hasFreeSlots is set while the endpoints have free slots: high latency is then caused
	// by slow endpoints, not by too many requests.
	hasFreeSlots bool
	// samples and refusals count the answers and the refusals since windowStart; peak is the
	// largest number of running requests in that time.
	windowStart time.Time
	classes     map[string]*class
	samples     int
	refusals    int
	peak        int
	// byEndpoint holds the answers and refusals of each endpoint since windowStart.
	byEndpoint map[string]endpointWindow
}

// endpointWindow counts the answers and refusals of an endpoint in the current window.
type endpointWindow struct{ samples, refusals int }

// class holds the latency baseline of a request class and the sums of the current
// window.
type class struct {
	baseline   time.Duration
	latencySum time.Duration
	samples    int
}

func newLimiter(upperBound int) limiter {
	l := limiter{upperBound: float64(max(1, upperBound)), lowerBound: minLimit, othersIdle: true, classes: map[string]*class{},
		byEndpoint: map[string]endpointWindow{}}
	l.limit = l.upperBound
	return l
}

// setUpperBound sets the upper bound. A limit that was at the upper bound moves with it.
func (l *limiter) setUpperBound(upperBound int) {
	atUpperBound := l.limit >= l.upperBound
	l.upperBound = float64(max(1, upperBound))
	if atUpperBound {
		l.limit = l.upperBound
	}
	l.limit = min(l.limit, l.upperBound)
}

// setShare sets the minimum of the limit to this host's even share of the slots. When
// othersIdle becomes true, the limit rises to the upper bound; when it becomes false, the
// limit falls to at most contendedShares even shares.
func (l *limiter) setShare(evenSlots int, othersIdle bool) {
	l.lowerBound = max(minLimit, float64(evenSlots))
	switch {
	case othersIdle && !l.othersIdle:
		l.limit = l.upperBound
	case !othersIdle && l.othersIdle:
		l.limit = min(l.limit, contendedShares*l.lowerBound)
	}
	l.othersIdle = othersIdle
	l.limit = max(l.limit, min(l.lowerBound, l.upperBound))
}

func (l *limiter) observe(now time.Time, s Observation, running int) {
	l.peak = max(l.peak, running)
	e := l.byEndpoint[s.Endpoint]
	switch s.Kind {
	case ObservationAnswered:
		l.class(s.Class).add(s.Latency)
		l.samples++
		e.samples++
	case ObservationRefused:
		l.refusals++
		e.refusals++
	}
	if e != (endpointWindow{}) {
		l.byEndpoint[s.Endpoint] = e
	}
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	if now.Sub(l.windowStart) >= adjustInterval && l.samples+l.refusals >= minSamples {
		l.adjust(now)
	}
}

func (l *limiter) class(name string) *class {
	c := l.classes[name]
	if c == nil {
		if len(l.classes) >= maxClasses {
			clear(l.classes)
		}
		c = &class{}
		l.classes[name] = c
	}
	return c
}

// add records the latency of one answer. The latency is capped, so that the answers of
// one slow endpoint do not count as overload of the whole service.
func (c *class) add(d time.Duration) {
	if c.baseline > 0 {
		d = min(d, maxLatencyFactor*c.baseline+latencySlack)
	}
	c.latencySum += d
	c.samples++
}

// closeWindow ends the window, updates the baseline, and returns the total latency of the
// window's answers and the total that would have been tolerated.
func (c *class) closeWindow() (total, tolerated time.Duration) {
	if c.samples > 0 {
		mean := c.latencySum / time.Duration(c.samples)
		if c.baseline == 0 || mean < c.baseline {
			c.baseline = mean
		}
		total = c.latencySum
		tolerated = time.Duration(c.samples) * (time.Duration(latencyTolerance*float64(c.baseline)) + latencySlack)
	}
	c.baseline += time.Duration(baselineDrift * float64(c.baseline))
	c.latencySum, c.samples = 0, 0
	return total, tolerated
}

func (l *limiter) adjust(now time.Time) {
	var total, tolerated time.Duration
	for _, c := range l.classes {
		classTotal, classTolerated := c.closeWindow()
		total, tolerated = total+classTotal, tolerated+classTolerated
	}
	refused := l.overloadRefusals()
	slow := total > tolerated && !l.hasFreeSlots
	switch {
	case refused || slow:
		// The decrease starts from the peak, since a limit above it has no effect, but
		// from no less than half the limit.
		l.limit = max(min(l.lowerBound, l.upperBound), min(l.limit, max(float64(l.peak), l.limit/2))*decreaseFactor)
	case float64(l.peak) >= growthUtilization*math.Floor(l.limit):
		// Only complete requests can be in use: at a limit of 1.7 one runs, less than 75 % of 1.7.
		l.limit = min(l.upperBound, l.limit+max(1, l.limit/16))
	}
	l.windowStart, l.samples, l.refusals, l.peak = now, 0, 0, 0
	clear(l.byEndpoint)
}

// overloadRefusals reports whether the endpoints refused so many requests of the window that the
// service is overloaded. The endpoint with most refusals is left out if there are others: one that
// refuses while they answer is impaired, and fewer requests would not help it.
func (l *limiter) overloadRefusals() bool {
	samples, refusals := l.samples, l.refusals
	var most endpointWindow
	for _, e := range l.byEndpoint {
		if e.refusals > most.refusals {
			most = e
		}
	}
	if len(l.byEndpoint) > 1 {
		samples, refusals = samples-most.samples, refusals-most.refusals
	}
	return float64(refusals) > refusalShare*float64(samples+refusals)
}
