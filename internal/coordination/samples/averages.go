package samples

import "time"

// averageWeight is the weight of a new value in the exponential moving averages.
const averageWeight = 0.2

// movingAverages holds moving averages of the speed of the trainer and the engines.
type movingAverages struct {
	// lastVersion is when the trainer last reported a new version.
	lastVersion time.Time
	// versionInterval is the mean time between two versions, 0 while unknown.
	versionInterval time.Duration
	// lastPulled is the highest step that the trainer has pulled. doneAt is when the last
	// batch of that step was offered, zero until then.
	lastPulled uint64
	doneAt     time.Time
	// trainTime is the mean time from doneAt to the first pull of the next step.
	trainTime time.Duration
	// stepTime is the mean time from the first start of an attempt in a step until as many
	// attempts have finished as the step requires samples.
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

func (a *movingAverages) observeVersions(now time.Time, count int) {
	if !a.lastVersion.IsZero() && count > 0 {
		a.versionInterval = movingAverage(a.versionInterval, now.Sub(a.lastVersion)/time.Duration(count))
	}
	a.lastVersion = now
}

func (a *movingAverages) observePull(now time.Time, step uint64) {
	if step <= a.lastPulled {
		return
	}
	if !a.doneAt.IsZero() && step == a.lastPulled+1 {
		a.trainTime = movingAverage(a.trainTime, now.Sub(a.doneAt))
	}
	a.lastPulled, a.doneAt = step, time.Time{}
}

func (a *movingAverages) observeStepDone(now time.Time) {
	if a.doneAt.IsZero() {
		a.doneAt = now
	}
}

// untilPull returns the expected time until the trainer first pulls the step.
func (a *movingAverages) untilPull(now time.Time, step uint64) time.Duration {
	switch {
	case step <= a.lastPulled || a.lastPulled == 0:
		return 0
	case a.doneAt.IsZero():
		return a.trainTime
	}
	return max(0, a.trainTime-now.Sub(a.doneAt))
}

// mayWorkAhead reports whether work on a step may begin before the trainer pulls it. The
// delay after the previous step was done grows with freshness: below 1/2 the work is
// expected to end before the pull, at 1/2 exactly at the pull, and at 1 it begins only
// with the pull.
func (a *movingAverages) mayWorkAhead(now time.Time, freshness float64) bool {
	const justInTime = 0.5
	slack := max(0, a.trainTime-a.stepTime)
	delay := time.Duration(freshness / justInTime * float64(slack))
	if freshness > justInTime {
		fraction := (freshness - justInTime) / (1 - justInTime)
		delay = slack + time.Duration(fraction*float64(a.trainTime-slack))
	}
	if delay == 0 {
		return freshness < 1
	}
	return !a.doneAt.IsZero() && now.Sub(a.doneAt) >= delay
}

func (a *movingAverages) observeAttempt(d time.Duration, tokens int) {
	a.attemptTime = movingAverage(a.attemptTime, d)
	if d <= 0 {
		return
	}
	rate := float64(tokens) / d.Seconds()
	if a.tokenRate == 0 {
		a.tokenRate = rate
		return
	}
	a.tokenRate += averageWeight * (rate - a.tokenRate)
}

// expectedVersions returns the number of new versions expected within d, 0 while the
// interval between versions is unknown.
func (a *movingAverages) expectedVersions(d time.Duration) float64 {
	if a.versionInterval <= 0 {
		return 0
	}
	return float64(d) / float64(a.versionInterval)
}
