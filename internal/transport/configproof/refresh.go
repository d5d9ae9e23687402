package configproof

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// youngShare is the share of the time after which a proof is due up to which peers get it without
	// another question. It is above the time between the reader's reads, so that hubs ask the reader
	// about once for each of them.
	youngShare = 0.5
	// askDelay is the time without an answer of a peer after which the next one is asked. Peers answer
	// within a few milliseconds, or some tens on busy hosts.
	askDelay = 60 * time.Millisecond
	// askTimeout bounds a question. A late answer still counts.
	askTimeout = 800 * time.Millisecond
	// peersAsked is the number of peers that a refresh asks. After each refresh in a row that no peer
	// answered it is four times as high, up to maxPeersAsked: few peers may be in reach.
	peersAsked    = 4
	maxPeersAsked = 256
	// retryShare is the share of the bound between two refreshes. It doubles twice while they bring no
	// proof, since all hosts ask when the store is away.
	retryShare     = 0.05
	retryDoublings = 2
	// readTimeout bounds a read of the store, which answers within a few hundred milliseconds even
	// when it is slow.
	readTimeout = 1500 * time.Millisecond
	// readSpacingPerHost is the time between a host's own reads of the store, for each host of the
	// fleet, so that a large fleet does not read more than a small one; at most half of the bound.
	readSpacingPerHost = 20 * time.Millisecond
	// urgentShare is the share of the bound after which hosts that are no hubs read the store
	// themselves. Until then the hubs have time to do it for them.
	urgentShare = 0.7
	// unsupportedRetry is the time after which a peer without proofs is asked again. It may have been
	// replaced by a newer build.
	unsupportedRetry = 10 * time.Second
)

// ErrUnsupported means that the build of a peer has no proofs.
var ErrUnsupported = errors.New("the peer has no proofs of the configuration")

// young reports whether the newest proof needs no refresh when a peer asks for it. The caller holds
// the lock.
func (p *Prover) young(now time.Duration) bool {
	return !p.tracker.Due(now, time.Duration(youngShare*float64(p.bound)))
}

// startRefresh starts a refresh unless one runs or the last one has just failed. The caller holds the
// lock.
func (p *Prover) startRefresh(now time.Duration) {
	if p.refreshing != nil || now < p.retryAt {
		return
	}
	p.refreshing = make(chan struct{})
	p.answered = false
	go p.refresh(min(peersAsked<<(2*min(p.unanswered, 8)), maxPeersAsked))
}

// refresh asks peers, and reads the store if they have no proof that is recent enough.
func (p *Prover) refresh(asked int) {
	source := "peer"
	// read is closed at the end of the read of the store. It is nil before one starts.
	var read chan struct{}
	startRead := func() {
		if read != nil || !p.mayRead() {
			return
		}
		source, read = "store", make(chan struct{})
		go func() {
			defer close(read)
			p.readStore()
		}()
	}
	if !p.askPeers(asked, startRead) {
		startRead()
		if read != nil {
			<-read
		}
	}
	generation, _ := p.opt.InForce()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opt.Now()
	if p.unanswered++; p.answered {
		p.unanswered = 0
	}
	if p.tracker.Due(now, p.bound) || p.tracker.Generation() > generation {
		p.failures++
		source = "failed"
	} else {
		p.failures = 0
	}
	p.retryAt = now + time.Duration(retryShare*float64(p.bound))<<min(max(p.failures-1, 0), retryDoublings)
	p.metrics.refreshes.WithLabelValues(source).Inc()
	close(p.refreshing)
	p.refreshing = nil
}

func (p *Prover) readStore() {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if err := p.opt.Read(ctx); err != nil {
		p.opt.Log.Info("Failed to read the configuration for a proof", "err", err)
	}
}

// askPeers asks peers one after the other until there is a young proof, and reports whether there is
// one. It doesn't wait for the answers of silent peers, which count when they arrive. It calls startRead
// before it asks more than peersAsked of them: to ask maxPeersAsked silent peers takes several times
// the bound.
func (p *Prover) askPeers(asked int, startRead func()) bool {
	hosts := p.supporting(p.opt.Peers())
	hosts = hosts[:min(asked, len(hosts))]
	answered := make(chan struct{}, len(hosts))
	for i, host := range hosts {
		if i >= peersAsked {
			startRead()
		}
		go func() {
			p.ask(host)
			answered <- struct{}{}
		}()
		next := time.NewTimer(askDelay)
		select {
		case <-answered:
		case <-next.C:
		}
		next.Stop()
		if p.proven() {
			return true
		}
	}
	return false
}

// proven reports whether the newest proof is young and its configuration in force.
func (p *Prover) proven() bool {
	generation, _ := p.opt.InForce()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.young(p.opt.Now()) && p.tracker.Generation() <= generation
}

// supporting returns the hosts without those whose build has no proofs. The one that last brought a
// proof is the second one, since it may be the only one in reach.
func (p *Prover) supporting(hosts []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opt.Now()
	var out []string
	if i := slices.Index(hosts, p.lastSource); i > 1 {
		hosts = slices.Insert(slices.Delete(slices.Clone(hosts), i, i+1), 1, p.lastSource)
	}
	for _, h := range hosts {
		if until, ok := p.unsupported[h]; ok && now < until {
			continue
		}
		delete(p.unsupported, h)
		out = append(out, h)
	}
	return out
}

// ask asks a peer for a proof, and fetches the configuration from it if the proof names a newer one.
func (p *Prover) ask(host string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	sentAt := p.opt.Now()
	// A hub answers other hubs with what it has, so that questions don't go in circles.
	raw, err := p.opt.Ask(ctx, host, !p.opt.Hub())
	var a Answer
	if err == nil {
		err = cbor.Unmarshal(raw, &a)
	}
	if err != nil {
		if errors.Is(err, ErrUnsupported) {
			p.mu.Lock()
			p.unsupported[host] = p.opt.Now() + unsupportedRetry
			p.mu.Unlock()
		}
		p.opt.Log.Debug("Failed to get a proof of the configuration from peer", "host", host, "err", err)
		return
	}
	p.observe(sentAt, time.Duration(a.AgeMs)*time.Millisecond, a.Generation)
	p.mu.Lock()
	p.answered = true
	if a.Generation > 0 && !p.tracker.Due(p.opt.Now(), p.bound) {
		p.lastSource = host
	}
	p.mu.Unlock()
	if generation, _ := p.opt.InForce(); a.Generation > generation {
		p.opt.FetchConfig(ctx, host)
	}
}

// mayRead reports whether this host should read the store itself, and counts the read.
func (p *Prover) mayRead() bool {
	spacing := min(time.Duration(p.opt.Hosts())*readSpacingPerHost, p.bound/2)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opt.Now()
	urgent := p.tracker.Due(now, time.Duration(2*urgentShare*float64(p.bound)))
	if !urgent && !(p.opt.Hub() && p.tracker.Due(now, p.bound)) || p.hasRead && now-p.readAt < spacing {
		return false
	}
	p.hasRead, p.readAt = true, now
	return true
}
