package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// awaitEndpoint calls try, which picks an endpoint, until it succeeds. It gives up at once when no
// endpoint can become usable in time, and otherwise after a part of the route's objective, or at the
// deadline if the request was sent before.
func (c *call) awaitEndpoint(ctx context.Context, try func() bool) error {
	giveUpAt := c.began.Add(time.Duration(maxSlotWaitShare * float64(c.route.Objective)))
	if c.sent > 0 {
		giveUpAt = c.deadline
	}
	for {
		changed := c.f.fleet.Changed()
		if try() {
			return nil
		}
		if c.f.allDraining(c.service) {
			return c.refuse(resultcode.NoEndpoint, "every endpoint of the service is leaving")
		}
		now := time.Now()
		permitWait, atLimit := c.f.fleet.PermitWait(placement.Query{Service: c.service, Software: c.software})
		switch {
		case atLimit && now.Add(permitWait).After(giveUpAt):
			return c.refuseFor(permitWait, resultcode.NoEndpoint, "every endpoint is at its request limit")
		case c.sent == 0 && now.After(giveUpAt):
			return c.refuse(resultcode.NoEndpoint, "no endpoint can take the request")
		}
		select {
		case <-ctx.Done():
			return c.deadlineError(ctx)
		case <-changed:
		case <-time.After(noEndpointRetryDelay):
		}
	}
}

// refuseFor is refuse for a request that may succeed after a known time.
func (c *call) refuseFor(wait time.Duration, code resultcode.Code, detail string) error {
	err := c.refuse(code, detail)
	var coded *resultcode.Error
	if errors.As(err, &coded) && coded.RetryAfterMillis > 0 {
		coded.RetryAfterMillis = max(coded.RetryAfterMillis, (wait + rand.N(minRetryAfter)).Milliseconds())
	}
	return err
}
