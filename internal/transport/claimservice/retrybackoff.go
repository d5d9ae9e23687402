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

func (b *retryBackoff) due(now time.Time) bool { return !now.Before(b.nextTry) }

func (b *retryBackoff) finished(now time.Time, ok bool) {
	if ok {
		*b = retryBackoff{}
		return
	}
	b.delay = min(max(2*b.delay, minBackgroundRetryDelay), maxBackgroundRetryDelay)
	b.nextTry = now.Add(b.delay/2 + rand.N(b.delay))
}
