package samples

import "time"

// paceWeight is the weight of a new value in a moving average.
const paceWeight = 0.2

// pace keeps moving averages of how fast the trainer and the engines go.
type pace struct {
	lastVersion time.Time
	// versionEvery is the mean time between two versions, 0 while unknown.
	versionEvery time.Duration
	// pulled is the step pulled last; doneAt is when it was offered whole, zero before.
	pulled uint64
	doneAt time.Time
	// trainTime is the mean time from there to the first pull of the next step.
	trainTime time.Duration
	// stepTime is the mean time from the first start of a step to its last end.
	stepTime time.Duration
	// sampleTime is the mean time an attempt takes, rate its tokens a second.
	sampleTime time.Duration
	rate       float64
}

func average(old, value time.Duration) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(paceWeight*float64(value-old))
}

func (p *pace) versions(now time.Time, count int) {
	if !p.lastVersion.IsZero() && count > 0 {
		p.versionEvery = average(p.versionEvery, now.Sub(p.lastVersion)/time.Duration(count))
	}
	p.lastVersion = now
}

func (p *pace) pulling(now time.Time, step uint64) {
	if step <= p.pulled {
		return
	}
	if !p.doneAt.IsZero() && step == p.pulled+1 {
		p.trainTime = average(p.trainTime, now.Sub(p.doneAt))
	}
	p.pulled, p.doneAt = step, time.Time{}
}

func (p *pace) done(now time.Time) {
	if p.doneAt.IsZero() {
		p.doneAt = now
	}
}

// untilPull is the expected time until the trainer pulls the step.
func (p *pace) untilPull(now time.Time, step uint64) time.Duration {
	switch {
	case step <= p.pulled || p.pulled == 0:
		return 0
	case p.doneAt.IsZero():
		return p.trainTime
	}
	return max(0, p.trainTime-now.Sub(p.doneAt))
}

// mayWorkAhead reports whether work on a step may begin before the trainer pulls it.
// Up to freshness 1/2 the work is expected to end before the pull, at 1/2 just then,
// and at 1 it begins only then.
func (p *pace) mayWorkAhead(now time.Time, freshness float64) bool {
	const justInTime = 0.5
	spare := max(0, p.trainTime-p.stepTime)
	delay := time.Duration(freshness / justInTime * float64(spare))
	if freshness > justInTime {
		late := (freshness - justInTime) / (1 - justInTime)
		delay = spare + time.Duration(late*float64(p.trainTime-spare))
	}
	if delay == 0 {
		return freshness < 1
	}
	return !p.doneAt.IsZero() && now.Sub(p.doneAt) >= delay
}

func (p *pace) made(d time.Duration, tokens int) {
	p.sampleTime = average(p.sampleTime, d)
	if d <= 0 {
		return
	}
	rate := float64(tokens) / d.Seconds()
	if p.rate == 0 {
		p.rate = rate
		return
	}
	p.rate += paceWeight * (rate - p.rate)
}

// advance is the number of versions expected within d.
func (p *pace) advance(d time.Duration) float64 {
	if p.versionEvery <= 0 {
		return 0
	}
	return float64(d) / float64(p.versionEvery)
}
