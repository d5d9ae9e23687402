package admission

import "time"

const (
	// window is the interval between two adjustments of a limit.
	window = 100 * time.Millisecond
	// minSamples is the least number of answers for an adjustment.
	minSamples = 5
	// tolerance is how many times the baseline an answer may take on average.
	tolerance = 2.0
	// slack is added to the tolerance: a delay this short harms nobody.
	slack = 10 * time.Millisecond
	// outlier bounds one answer's time, as a multiple of the baseline.
	outlier = 5
	// decrease is what a limit is multiplied by when answers come late.
	decrease = 0.85
	// baselineDrift is the share by which the baseline rises in each window, so
	// that it follows work that has truly become longer.
	baselineDrift = 0.01
	// minLimit is low: many hosts may share few endpoints.
	minLimit = 1
	// initialShares is the first limit in shares once other hosts are busy too: some have
	// less work than others, and a few requests wait at the endpoints.
	initialShares = 2
	// nearLimit is the share of the limit in use above which it may grow.
	nearLimit = 0.75
	// refusalShare is the share of refusals among the results of a window that
	// counts as overload.
	refusalShare = 0.1
)

// maxClasses bounds the classes of requests that are told apart by their latency.
const maxClasses = 32

// limiter adapts the number of requests at once to the latency of the answers:
// additive increase, multiplicative decrease. It begins at the capacity, since an
// idle fleet gives no answers to grow by. Each class of requests is compared with its own
// baseline: a service may do short and long work.
type limiter struct {
	limit   float64
	ceiling float64
	// floor is the least limit, unless the ceiling is lower.
	floor float64
	// alone says that the other hosts use few of the endpoints' slots.
	alone bool
	// hasRoom says that the endpoints have free slots: late answers then tell of slow
	// endpoints, not of too many requests.
	hasRoom  bool
	start    time.Time
	classes  map[string]*class
	samples  int
	refusals int
	peak     int
}

// class is a kind of requests with its answers of the present window.
type class struct {
	baseline time.Duration
	sum      time.Duration
	samples  int
}

func newLimiter(ceiling int) limiter {
	l := limiter{ceiling: float64(max(1, ceiling)), floor: minLimit, alone: true, classes: map[string]*class{}}
	l.limit = l.ceiling
	return l
}

// bound takes over a changed ceiling. A limit at its ceiling follows it.
func (l *limiter) bound(ceiling int) {
	atCeiling := l.limit >= l.ceiling
	l.ceiling = float64(max(1, ceiling))
	if atCeiling {
		l.limit = l.ceiling
	}
	l.limit = min(l.limit, l.ceiling)
}

// share sets the least limit. alone says that the other hosts use few of the endpoints'
// slots: then this host begins with all the rest, otherwise with a few shares.
func (l *limiter) share(slots int, alone bool) {
	l.floor = max(minLimit, float64(slots))
	switch {
	case alone && !l.alone:
		l.limit = l.ceiling
	case !alone && l.alone:
		l.limit = min(l.limit, initialShares*l.floor)
	}
	l.alone = alone
	l.limit = max(l.limit, min(l.floor, l.ceiling))
}

func (l *limiter) observe(now time.Time, s Sample, running int) {
	l.peak = max(l.peak, running)
	switch s.Kind {
	case SampleAnswered:
		l.class(s.Class).add(s.Latency)
		l.samples++
	case SampleRefused:
		l.refusals++
	}
	if l.start.IsZero() {
		l.start = now
	}
	if now.Sub(l.start) >= window && l.samples+l.refusals >= minSamples {
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

// add takes one answer. It is capped, which keeps one slow endpoint's answers from
// reading as general lateness.
func (c *class) add(d time.Duration) {
	if c.baseline > 0 {
		d = min(d, outlier*c.baseline+slack)
	}
	c.sum += d
	c.samples++
}

// end closes the window and returns how long its answers took in all and how long they
// might have taken.
func (c *class) end() (took, tolerated time.Duration) {
	if c.samples > 0 {
		mean := c.sum / time.Duration(c.samples)
		if c.baseline == 0 || mean < c.baseline {
			c.baseline = mean
		}
		took = c.sum
		tolerated = time.Duration(c.samples) * (time.Duration(tolerance*float64(c.baseline)) + slack)
	}
	c.baseline += time.Duration(baselineDrift * float64(c.baseline))
	c.sum, c.samples = 0, 0
	return took, tolerated
}

func (l *limiter) adjust(now time.Time) {
	var took, tolerated time.Duration
	for _, c := range l.classes {
		t, most := c.end()
		took, tolerated = took+t, tolerated+most
	}
	refused := float64(l.refusals) > refusalShare*float64(l.samples+l.refusals)
	late := took > tolerated && !l.hasRoom
	switch {
	case refused || late:
		l.limit = max(min(l.floor, l.ceiling), min(l.limit, max(float64(l.peak), l.limit/2))*decrease)
	case float64(l.peak) >= nearLimit*l.limit:
		l.limit = min(l.ceiling, l.limit+max(1, l.limit/16))
	}
	l.start, l.samples, l.refusals, l.peak = now, 0, 0, 0
}
