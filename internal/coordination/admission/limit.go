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
	// nearLimit is the share of the limit in use above which it may grow.
	nearLimit = 0.75
	// refusalShare is the share of refusals among the results of a window that
	// counts as overload.
	refusalShare = 0.1
)

// limiter adapts the number of requests at once to the latency of the answers:
// additive increase, multiplicative decrease. It begins at the capacity, since an
// idle fleet gives no answers to grow by.
type limiter struct {
	limit    float64
	ceiling  float64
	baseline time.Duration
	start    time.Time
	sum      time.Duration
	samples  int
	refusals int
	peak     int
}

func newLimiter(ceiling int) limiter {
	l := limiter{ceiling: float64(max(1, ceiling))}
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

func (l *limiter) observe(now time.Time, s Sample, running int) {
	l.peak = max(l.peak, running)
	switch s.Kind {
	case SampleAnswered:
		l.sum += l.capped(s.Latency)
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

// capped keeps one slow endpoint's answers from reading as general lateness.
func (l *limiter) capped(d time.Duration) time.Duration {
	if l.baseline == 0 {
		return d
	}
	return min(d, outlier*l.baseline+slack)
}

func (l *limiter) adjust(now time.Time) {
	mean := time.Duration(0)
	if l.samples > 0 {
		mean = l.sum / time.Duration(l.samples)
		if l.baseline == 0 || mean < l.baseline {
			l.baseline = mean
		}
	}
	refused := float64(l.refusals) > refusalShare*float64(l.samples+l.refusals)
	late := l.baseline > 0 && mean > time.Duration(tolerance*float64(l.baseline))+slack
	switch {
	case refused || late:
		l.limit = max(minLimit, min(l.limit, max(float64(l.peak), l.limit/2))*decrease)
	case float64(l.peak) >= nearLimit*l.limit:
		l.limit = min(l.ceiling, l.limit+max(1, l.limit/16))
	}
	l.baseline += time.Duration(baselineDrift * float64(l.baseline))
	l.start, l.sum, l.samples, l.refusals, l.peak = now, 0, 0, 0, 0
}
