package claimduty

import (
	"math/rand/v2"
	"time"
)

const (
	// paceMin and paceMax bound the mean pause before failed background work of an
	// owner is tried again.
	paceMin = 250 * time.Millisecond
	paceMax = 10 * time.Second
)

// retryPace spaces the tries of work that fails: the pause doubles and is jittered.
type retryPace struct {
	wait time.Duration
	next time.Time
}

func (p *retryPace) due(now time.Time) bool { return !now.Before(p.next) }

func (p *retryPace) ended(now time.Time, ok bool) {
	if ok {
		*p = retryPace{}
		return
	}
	p.wait = min(max(2*p.wait, paceMin), paceMax)
	p.next = now.Add(p.wait/2 + rand.N(p.wait))
}
