package duties

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
)

const (
	// sendAllowance is the time that the lease must remain valid when a call begins. It exceeds the
	// time in which an adapter opens a connection.
	sendAllowance = 500 * time.Millisecond
	// rateShare is the share of the operator's limit on calls that is used, since the API may see
	// two calls closer to each other than they were sent.
	rateShare = 0.9
)

// ErrNotHolding means that a call was not sent, because this host may not send calls with these
// credentials now.
var ErrNotHolding = errors.New("the duties lease is not held")

// Calls makes the calls of all duties of this host. It sends a call only while the lease is valid, and
// keeps to the limit on calls, which all duties share. It implements operatorapi.Client and is safe
// for concurrent use.
type Calls struct {
	lease   *Lease
	client  operatorapi.Client
	limiter *rate.Limiter
	log     *slog.Logger
	calls   *prometheus.CounterVec
	latency prometheus.Histogram
	// counts is held by the one call about endpoints that waits for the limiter. Reports of usage
	// have a time by which they are due, and so wait for one such call at most.
	counts sync.Mutex
}

var _ operatorapi.Client = (*Calls)(nil)

// NewCalls returns the calls of a host through a client, at most perSecond a second; zero is no limit.
// It registers their metrics.
func NewCalls(lease *Lease, client operatorapi.Client, perSecond float64, log *slog.Logger, reg prometheus.Registerer) *Calls {
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(rateShare * perSecond)
	}
	c := &Calls{lease: lease, client: client, limiter: rate.NewLimiter(limit, 1), log: log,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oleander_duties_calls_total", Help: "Calls to the operator's API by duty and outcome.",
		}, []string{"duty", "outcome"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "oleander_duties_call_seconds", Help: "Duration of the calls to the operator's API.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
	}
	reg.MustRegister(c.calls, c.latency)
	return c
}

// ReportUsage implements operatorapi.Client. After ErrSuperseded the lease is released: each window
// has one report, so that only the token can be the reason.
func (c *Calls) ReportUsage(ctx context.Context, creds operatorapi.Credentials, u operatorapi.Usage) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return errors.Join(operatorapi.ErrTooMany, err)
	}
	err := c.send(ctx, "usage", creds, func() error { return c.client.ReportUsage(ctx, creds, u) })
	if errors.Is(err, operatorapi.ErrSuperseded) {
		c.lease.refused(creds.Token)
	}
	return err
}

// SetEndpointCount implements operatorapi.Client. ErrSuperseded means that no endpoints are available
// if this host still holds the lease with the same token after the call. Otherwise the lease is
// released and the error is also ErrNotHolding.
func (c *Calls) SetEndpointCount(ctx context.Context, creds operatorapi.Credentials, n operatorapi.EndpointCount) error {
	c.counts.Lock()
	err := c.limiter.Wait(ctx)
	c.counts.Unlock()
	if err != nil {
		return errors.Join(operatorapi.ErrTooMany, err)
	}
	err = c.send(ctx, "scaling", creds, func() error { return c.client.SetEndpointCount(ctx, creds, n) })
	// The order's own time may be nearly over. A lease that could not be read in it is not lost.
	if errors.Is(err, operatorapi.ErrSuperseded) && !c.lease.Confirm(context.WithoutCancel(ctx)) {
		c.lease.refused(creds.Token)
		return errors.Join(ErrNotHolding, err)
	}
	return err
}

// send sends a call once, unless the lease does not allow it.
func (c *Calls) send(ctx context.Context, duty string, creds operatorapi.Credentials, call func() error) error {
	if !c.lease.beginCall(creds.Token, sendAllowance) && !(c.lease.Confirm(ctx) && c.lease.beginCall(creds.Token, sendAllowance)) {
		c.calls.WithLabelValues(duty, "not_sent").Inc()
		return ErrNotHolding
	}
	began := time.Now()
	err := call()
	unconfirmed := errors.Is(err, operatorapi.ErrUnconfirmed)
	c.lease.endCall(!unconfirmed && !errors.Is(err, operatorapi.ErrUnavailable), unconfirmed)
	c.latency.Observe(time.Since(began).Seconds())
	c.calls.WithLabelValues(duty, outcome(err)).Inc()
	if err != nil {
		c.log.Warn("Call to operator's API failed", "duty", duty, "fencing_token", creds.Token,
			"took_ms", time.Since(began).Milliseconds(), "err", err)
	}
	return err
}

// outcome returns the metric label of the error of a call.
func outcome(err error) string {
	for _, o := range []struct {
		kind error
		name string
	}{
		{operatorapi.ErrSuperseded, "superseded"}, {operatorapi.ErrTooMany, "too_many"},
		{operatorapi.ErrUnconfirmed, "unconfirmed"}, {operatorapi.ErrUnavailable, "unavailable"},
	} {
		if errors.Is(err, o.kind) {
			return o.name
		}
	}
	if err != nil {
		return "refused"
	}
	return "ok"
}
