// Package permits divides the request rate that an endpoint accepts from all hosts together.
// For each endpoint with a limit one host, its issuer, hands out permits; every request of
// another host to that endpoint uses one. Hosts ask for permits only when they have requests, so
// the rate goes to the hosts that need it, whether one host runs every batch or callers are
// spread over hundreds of hosts.
//
// A host that cannot reach the issuer issues permits to itself, for its share of the hosts that
// it knows, and the issuer leaves out the shares of the hosts that it does not hear. So the limit
// also holds for hosts that are cut off from each other, in any number of parts.
//
// Invariant: hosts that agree on the issuer send no more than the limit, apart from one burst; see
// burstPeriod. While a new issuer is being agreed on, each issuer starts with no permits.
package permits

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/tokenbucket"
)

const (
	// burstPeriod and extraBurst set how many permits the issuer of all hosts accumulates for a
	// burst, such as the samples of a new batch: as many as it issues in burstPeriod, and up to
	// extraBurst more, but no more than in twice the period.
	burstPeriod = time.Second
	extraBurst  = 4
	// minPerSecond is the rate at which requests are sent to an endpoint that names a lower
	// limit, also zero: its answers are the only sign that the limit has ended.
	minPerSecond = 0.2
	// maxDebtPeriod bounds for how long requests without a permit keep an issuer from issuing
	// permits.
	maxDebtPeriod = 2 * time.Second
	// bucketRetention is how long the bucket of an endpoint is kept without requests for
	// permits.
	bucketRetention = 10 * time.Second
	// Lifetime is how long an issued permit may be used.
	Lifetime = 500 * time.Millisecond
	// prefetchPeriod sets how many permits a host asks for at once: as many as the limit
	// allows in this period.
	prefetchPeriod = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a host asks again. It is not
	// longer, since the limit may have been raised meanwhile.
	minRetryAfter = time.Millisecond
	maxRetryAfter = time.Second
)

// LimitReport is a host's knowledge of an endpoint's limit, sent to other hosts.
type LimitReport struct {
	_ struct{} `cbor:",toarray"`
	// Instance is the placement.InstanceKey of the endpoint.
	Instance uint32
	// PerSecond is the limit in requests per second, negative if it has ended.
	PerSecond float32
	// AgeMs is how long ago the endpoint said so, in milliseconds.
	AgeMs uint32
}

// Request is a host's request for permits.
type Request struct {
	// PerSecond is the limit that the endpoint named, in requests per second.
	PerSecond float64
	// Share is the part of the limit that this issuer may issue, from 0 to 1.
	Share float64
	// Count is how many permits the host asks for.
	Count int
	// Unpermitted is the number of requests that the host sent without a permit since its last
	// request for permits.
	Unpermitted int
}

// Grant is the answer to a Request. RetryAfter is the time after which to ask again if Count is
// zero.
type Grant struct {
	Count      int
	RetryAfter time.Duration
}

// Issuer issues permits for endpoints. It is not safe for concurrent use.
type Issuer struct {
	buckets map[uint32]*endpointBucket
	// initial returns the tokens of a new bucket. If resetAfter is not zero, a bucket that was
	// not used for that long is replaced by a new one.
	initial    func() float64
	resetAfter time.Duration
	// capacity returns how many permits a bucket accumulates, by its rate per second.
	capacity func(perSecond float64) float64
}

type endpointBucket struct {
	tokenbucket.Bucket
	usedAt time.Time
}

// NewIssuer returns the issuer that serves all hosts. Its buckets start empty, since the former
// issuer may just have issued permits.
func NewIssuer() *Issuer {
	return &Issuer{buckets: map[uint32]*endpointBucket{}, initial: func() float64 { return 0 },
		capacity: func(perSecond float64) float64 {
			burst := perSecond * burstPeriod.Seconds()
			return max(1, min(2*burst, burst+extraBurst))
		}}
}

// NewFallback returns the issuer that serves one host while it cannot reach the one that serves all
// hosts. random returns a number from 0 to 1. Each bucket starts with that part of a permit:
// otherwise, after the loss of an issuer, all hosts would send their first requests at the same
// time. For the same reason it accumulates no more than one.
func NewFallback(random func() float64) *Issuer {
	return &Issuer{buckets: map[uint32]*endpointBucket{}, initial: random, resetAfter: 2 * maxRetryAfter,
		capacity: func(float64) float64 { return 1 }}
}

// Issue answers a request for permits of the endpoint with an instance key.
func (i *Issuer) Issue(now time.Time, key uint32, r Request) Grant {
	b := i.buckets[key]
	if b == nil || i.resetAfter > 0 && now.Sub(b.usedAt) > i.resetAfter {
		i.forgetUnused(now)
		b = &endpointBucket{Bucket: tokenbucket.New(now, i.initial())}
		i.buckets[key] = b
	}
	b.usedAt = now
	rate := max(r.PerSecond, minPerSecond) * min(max(r.Share, 0), 1)
	if rate == 0 {
		return Grant{RetryAfter: maxRetryAfter}
	}
	b.Refill(now, rate, i.capacity(rate))
	b.Spend(r.Unpermitted, rate*maxDebtPeriod.Seconds())
	if n := b.Take(r.Count); n > 0 {
		return Grant{Count: n}
	}
	return Grant{RetryAfter: max(minRetryAfter, min(b.Wait(rate), maxRetryAfter))}
}

// forgetUnused deletes the buckets that were not used for bucketRetention.
func (i *Issuer) forgetUnused(now time.Time) {
	for key, b := range i.buckets {
		if now.Sub(b.usedAt) > bucketRetention {
			delete(i.buckets, key)
		}
	}
}

// BatchSize returns how many permits to ask for at once for an endpoint with a limit in requests
// per second.
func BatchSize(perSecond float64) int {
	return max(1, int(perSecond*prefetchPeriod.Seconds()))
}
