package front

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/permits"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
)

// permitCallTimeout bounds a call for permits. A live issuer answers in a few milliseconds, and
// requests wait for the answer.
const permitCallTimeout = 250 * time.Millisecond

// errNotIssuer means that the peer sees another host as the issuer of an endpoint's permits.
var errNotIssuer = errors.New("the peer does not issue permits for the endpoint")

// permitCall is a host's call for permits to their issuer.
type permitCall struct {
	Limit       permits.LimitReport `cbor:"1,keyasint"`
	Count       int                 `cbor:"2,keyasint"`
	Unpermitted int                 `cbor:"3,keyasint,omitempty"`
}

// permitAnswer answers a permitCall. Declined is set if the receiver does not issue these permits.
type permitAnswer struct {
	Declined     bool `cbor:"1,keyasint,omitempty"`
	Count        int  `cbor:"2,keyasint"`
	RetryAfterMs int  `cbor:"3,keyasint"`
}

// Permits obtains permits for endpoints that limit the rate of requests, and issues them to the
// other hosts; see package permits.
type Permits struct {
	host       string
	fleet      *Fleet
	peers      *Peers
	peerClient *PeerClient
	candidate  func() presence.Candidate
	log        *slog.Logger
	// requests counts the requests for permits by their outcome.
	requests *prometheus.CounterVec

	mu       sync.Mutex
	issuer   *permits.Issuer
	fallback *permits.Issuer
}

// newPermits returns the permits of a host and registers their metrics.
func newPermits(host string, fleet *Fleet, peers *Peers, peerClient *PeerClient, candidate func() presence.Candidate, log *slog.Logger, reg prometheus.Registerer) *Permits {
	p := &Permits{host: host, fleet: fleet, peers: peers, peerClient: peerClient, candidate: candidate, log: log,
		issuer: permits.NewIssuer(), fallback: permits.NewFallback(rand.Float64),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_front_permit_requests_total", Help: "Requests for permits of endpoints with a request limit, by issuer and outcome.",
		}, []string{"issuer", "outcome"})}
	reg.MustRegister(p.requests)
	return p
}

// Run requests permits when they are wanted, until ctx ends.
func (p *Permits) Run(ctx context.Context) {
	for {
		var due []placement.PermitsWanted
		var next time.Time
		var more bool
		p.fleet.WithTable(func(t *placement.Table) {
			due = t.TakePermitsWanted(time.Now())
			next, more = t.NextPermits()
		})
		for _, w := range due {
			if p.issuerOf(w.Limit.Instance) == p.host {
				p.add(w, p.issue(w), "self")
			} else {
				go func() { p.add(w, p.request(ctx, w), "peer") }()
			}
		}
		var timer <-chan time.Time
		if more {
			timer = time.After(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case <-p.fleet.permitsWanted:
		case <-timer:
		}
	}
}

// add records the answer to a request for permits.
func (p *Permits) add(w placement.PermitsWanted, g permits.Grant, issuer string) {
	outcome := "issued"
	if g.Count == 0 {
		outcome = "none_left"
	}
	p.requests.WithLabelValues(issuer, outcome).Inc()
	p.fleet.AddPermits(w.Endpoint, g)
}

// issuerOf returns the host that issues the permits of an endpoint by its instance key, as this
// host sees it.
func (p *Permits) issuerOf(instance uint32) string {
	candidates := append(p.peers.Candidates(), p.candidate())
	for i := range candidates {
		// Hosts that see these differently would not agree on the issuer.
		candidates[i].Ready, candidates[i].StoreReachable, candidates[i].CutOff, candidates[i].Hub = true, true, false, false
	}
	return cmp.Or(presence.Successor("permits/"+strconv.FormatUint(uint64(instance), 16), candidates), p.host)
}

// issue issues permits as the issuer of all hosts.
func (p *Permits) issue(w placement.PermitsWanted) permits.Grant {
	known, alive := p.peers.Known()
	return p.issueFrom(p.issuer, w, float64(alive)/float64(max(known, 1)))
}

func (p *Permits) issueFrom(issuer *permits.Issuer, w placement.PermitsWanted, share float64) permits.Grant {
	now := time.Now()
	var limit float64
	p.fleet.WithTable(func(t *placement.Table) { limit = t.CurrentLimit(now, w.Limit) })
	if limit < 0 {
		return permits.Grant{Count: w.Count} // the limit has ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return issuer.Issue(now, w.Limit.Instance, permits.Request{PerSecond: limit, Share: share, Count: w.Count, Unpermitted: w.Unpermitted})
}

// request requests permits from their issuer or, if that does not answer, issues them for this
// host's own share of the limit.
func (p *Permits) request(ctx context.Context, w placement.PermitsWanted) permits.Grant {
	issuer := p.issuerOf(w.Limit.Instance)
	g, err := p.peerClient.Permits(ctx, issuer, permitCall{Limit: w.Limit, Count: w.Count, Unpermitted: w.Unpermitted})
	if err == nil {
		return g
	}
	known, _ := p.peers.Known()
	g = p.issueFrom(p.fallback, w, 1/float64(max(known, 1)))
	p.requests.WithLabelValues("peer", "failed").Inc()
	p.log.Info("Permits issued by this host itself", "endpoint", w.Endpoint.ID, "issuer", issuer, "limit_per_second", w.Limit.PerSecond,
		"share_of_hosts", known, "count", g.Count, "err", err)
	return g
}

// answer answers a peer's call for permits.
func (p *Permits) answer(c permitCall) permitAnswer {
	if p.issuerOf(c.Limit.Instance) != p.host {
		return permitAnswer{Declined: true}
	}
	g := p.issue(placement.PermitsWanted{Limit: c.Limit, Count: c.Count, Unpermitted: c.Unpermitted})
	return permitAnswer{Count: g.Count, RetryAfterMs: int(g.RetryAfter.Milliseconds())}
}

// Permits requests permits from the host that issues them. The error is errNotIssuer if that host
// sees another one as the issuer.
func (c *PeerClient) Permits(ctx context.Context, host string, call permitCall) (permits.Grant, error) {
	body, err := cbor.Marshal(call)
	if err != nil {
		return permits.Grant{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, permitCallTimeout)
	defer cancel()
	raw, err := c.call(ctx, host, http.MethodPost, "/permits", body, 0)
	if err != nil {
		return permits.Grant{}, err
	}
	var a permitAnswer
	if err := decoding.Unmarshal(raw, &a); err != nil {
		return permits.Grant{}, err
	}
	if a.Declined {
		return permits.Grant{}, errNotIssuer
	}
	return permits.Grant{Count: a.Count, RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond}, nil
}
