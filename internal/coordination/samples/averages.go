package samples

import "time"

// averageWeight is the weight of a new value in the exponential moving averages.
const averageWeight = 0.2

// movingAverages holds moving averages of the speed of the trainer and the engines.
type movingAverages struct {
	lastVersion time.Time
	// versionInterval is the mean time between two versions, 0 while unknown.
	versionInterval time.Duration
	// lastPulled is the step pulled last. doneAt is when its last batch was offered, zero
	// until then.
	lastPulled uint64
	doneAt     time.Time
	// trainTime is the mean time from doneAt to the first pull of the next step.
	trainTime time.Duration
	// stepTime is the mean time from the first start in a step until as many attempts as
	// it needs slots have finished.
	stepTime time.Duration
	// attemptTime is the mean duration of a finished attempt, tokenRate the mean number
	// of tokens per second; both are 0 while unknown.
	attemptTime time.Duration
	tokenRate   float64
}

func movingAverage(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(averageWeight*float64(value-old))
}

func (p *movingAverages) observeVersions(now time.Time, count int) {
	if !p.lastVersion.IsZero() && count > 0 {
		p.versionInterval = movingAverage(p.versionInterval, now.Sub(p.lastVersion)/time.Duration(count))
	}
	p.lastVersion = now
}

func (p *movingAverages) observePull(now time.Time, step uint64) {
	if step <= p.lastPulled {
		return
	}
	if !p.doneAt.IsZero() && step == p.lastPulled+1 {
		p.trainTime = movingAverage(p.trainTime, now.Sub(p.doneAt))
	}
	p.lastPulled, p.doneAt = step, time.Time{}
}

func (p *movingAverages) observeStepDone(now time.Time) {
	if p.doneAt.IsZero() {
		p.doneAt = now
	}
}

// untilPull returns the expected time until the trainer first pulls the step.
func (p *movingAverages) untilPull(now time.Time, step uint64) time.Duration {
	switch {
	case step <= p.lastPulled || p.lastPulled == 0:
		return 0
	case p.doneAt.IsZero():
		return p.trainTime
	}
	return max(0, p.trainTime-now.Sub(p.doneAt))
}

// mayWorkAhead reports whether work on a step may begin before the trainer pulls it. The
// delay after the previous step was done grows with freshness: below 1/2 the work is
// expected to end before the pull, at 1/2 exactly at the pull, and at 1 it begins only
// with the pull.
func (p *movingAverages) mayWorkAhead(now time.Time, freshness float64) bool {
	const justInTime = 0.5
	slack := max(0, p.trainTime-p.stepTime)
	delay := time.Duration(freshness / justInTime * float64(slack))
	if freshness > justInTime {
		fraction := (freshness - justInTime) / (1 - justInTime)
		delay = slack + time.Duration(fraction*float64(p.trainTime-slack))
	}
	if delay == 0 {
		return freshness < 1
	}
	return !p.doneAt.IsZero() && now.Sub(p.doneAt) >= delay
}

func (p *movingAverages) observeAttempt(d time.Duration, tokens int) {
	p.attemptTime = movingAverage(p.attemptTime, d)
	if d <= 0 {
		return
	}
	rate := float64(tokens) / d.Seconds()
	if p.tokenRate == 0 {
		p.tokenRate = rate
		return
	}
	p.tokenRate += averageWeight * (rate - p.tokenRate)
}

// expectedVersions returns the number of new versions expected within d, 0 while the
// interval between versions is unknown.
func (p *movingAverages) expectedVersions(d time.Duration) float64 {
	if p.versionInterval <= 0 {
		return 0
	}
	return float64(d) / float64(p.versionInterval)
}
