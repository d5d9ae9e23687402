package claimservice

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackgroundRetryDelay and maxBackgroundRetryDelay bound the mean delay before an
	// owner retries failed background work.
	minBackgroundRetryDelay = 250 * time.Millisecond
	maxBackgroundRetryDelay = 10 * time.Second
)

// retryBackoff delays the retries of failed work: the delay doubles and is jittered.
type retryBackoff struct {
	delay   time.Duration
	nextTry time.Time
}

func (p *retryBackoff) due(now time.Time) bool { return !now.Before(p.nextTry) }

func (p *retryBackoff) finished(now time.Time, ok bool) {
	if ok {
		*p = retryBackoff{}
		return
	}
	p.delay = min(max(2*p.delay, minBackgroundRetryDelay), maxBackgroundRetryDelay)
	p.nextTry = now.Add(p.delay/2 + rand.N(p.delay))
}
