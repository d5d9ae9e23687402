package samples

import "time"

// paceWeight is the weight of a new value in a moving average.
const paceWeight = 0.2

// pace keeps moving averages of how fast the trainer and the engines go.
type pace struct {
	lastVersion time.Time
	// versionEvery is the mean time between two versions, 0 while unknown.
	versionEvery time.Duration
	lastOpen     time.Time
	// stepEvery is the mean time between two openings of steps, 0 while unknown.
	stepEvery time.Duration
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

func (p *pace) opened(now time.Time) {
	if !p.lastOpen.IsZero() {
		p.stepEvery = average(p.stepEvery, now.Sub(p.lastOpen))
	}
	p.lastOpen = now
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
