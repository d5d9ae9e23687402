package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/links"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// linkCheckTimeout bounds a connection attempt of a check of the links. A running endpoint
	// accepts within a few milliseconds.
	linkCheckTimeout = 250 * time.Millisecond
	// linkCheckStagger is how long a check waits for its first connection before it tries the
	// others, so that it usually takes one connection.
	linkCheckStagger = 60 * time.Millisecond
)

// linkCheck is a check whether any endpoint accepts a connection of this host.
type linkCheck struct{ done chan struct{} }

// startCheck returns the check in progress, or starts one. The caller holds the lock.
func (p *EndpointPath) startCheck() *linkCheck {
	if p.check == nil {
		p.check = &linkCheck{done: make(chan struct{})}
		go p.runCheck(p.check)
	}
	return p.check
}

func (p *EndpointPath) runCheck(c *linkCheck) {
	began := time.Now()
	reached := p.reachesAny()
	p.mu.Lock()
	p.check = nil
	changed := p.monitor.RecordCheck(began, reached)
	if changed && !reached {
		p.cutOffSince = time.Now()
		p.setLost()
	} else if changed {
		p.lost, p.setLost = context.WithCancel(context.Background())
	}
	p.scheduleSilenceCheck()
	p.mu.Unlock()
	if changed {
		p.report(!reached)
	}
	close(c.done)
	if !reached {
		time.AfterFunc(links.ProbeInterval, p.probe)
	}
}

// probe checks the links while the host is cut off.
func (p *EndpointPath) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.startCheck()
	}
}

// report makes a change known: in the log, in the metrics and to the rest of the host.
func (p *EndpointPath) report(cutOff bool) {
	if cutOff {
		p.cutOffs.Inc()
		p.isCut.Set(1)
		p.log.Warn("No endpoint accepts connections of this host; sending requests through peers", "relays", p.relays.count())
	} else {
		p.isCut.Set(0)
		p.log.Info("Endpoints accept connections of this host again")
	}
	p.changed(cutOff)
}

// reachesAny reports whether any of a few endpoints accepts a connection, or none is known.
func (p *EndpointPath) reachesAny() bool {
	targets := links.CheckTargets(p.endpoints(), rand.Shuffle)
	if len(targets) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), linkCheckStagger+linkCheckTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	connect := func(e catalog.Endpoint) { results <- p.direct.CheckConnection(ctx, e) }
	go connect(targets[0])
	stagger := time.NewTimer(linkCheckStagger)
	defer stagger.Stop()
	pending, next := 1, 1
	for pending > 0 {
		select {
		case <-stagger.C:
		case err := <-results:
			if err == nil {
				return true
			}
			pending--
		}
		for ; next < len(targets); next++ {
			go connect(targets[next])
			pending++
		}
	}
	return false
}

// checkAfterFailure reports whether the host is cut off, after a request that began at the given
// time failed on the host's own links. It checks the links if that is not known.
func (p *EndpointPath) checkAfterFailure(ctx context.Context, began time.Time, err error) bool {
	var connection *net.OpError
	p.mu.Lock()
	var c *linkCheck
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, backend.ErrUnreachable):
		if p.monitor.FailedConnectionNeedsCheck(began) {
			c = p.startCheck()
		}
	case errors.As(err, &connection):
		if p.monitor.BrokenConnectionNeedsCheck(time.Now()) {
			c = p.startCheck()
		}
	}
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.done:
		case <-ctx.Done():
		}
	}
	return p.CutOff()
}

// scheduleSilenceCheck schedules the next check because of silence. The caller holds the lock.
func (p *EndpointPath) scheduleSilenceCheck() {
	at, ok := p.monitor.NextSilenceCheck()
	if !ok || p.silenceTimer || p.closed {
		return
	}
	p.silenceTimer = true
	time.AfterFunc(time.Until(at), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.silenceTimer = false
		if at, ok := p.monitor.NextSilenceCheck(); ok && !time.Now().Before(at) {
			p.startCheck()
			return // its end schedules the next one
		}
		p.scheduleSilenceCheck()
	})
}
