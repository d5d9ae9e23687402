package admission

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/tokenbucket"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// evenFraction is the share of a caller's rate that is split evenly over the hosts, so
	// that a caller that moves to another host is admitted there immediately.
	evenFraction = 0.2
	// burstPeriod sets the bucket size: a burst may have as many requests as arrive in this
	// period at the full rate.
	burstPeriod = 250 * time.Millisecond
	// demandWindow is the minimum length of a window over which arrivals are counted.
	demandWindow = time.Second
	// demandWeight is the weight of the last window in the moving average of the demand.
	demandWeight = 0.5
)

// RateShare returns the part of a caller's total rate, in requests per second, that this
// host may admit. own is this host's demand, sum that of all hosts, and hosts the number
// of entry hosts. The shares of hosts that use the same demands add up to at most total. If
// connected is false, the demands of other hosts are unknown and the split is even.
func RateShare(total, own, sum float64, hosts int, connected bool) float64 {
	even := total / float64(max(1, hosts))
	if !connected || sum <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*total*min(1, own/sum)
}

// Rate limits the requests of one caller on this host with a token bucket and measures
// the caller's demand. It is not safe for concurrent use.
type Rate struct {
	// limit is in requests per second; 0 means no limit.
	limit       float64
	bucket      tokenbucket.Bucket
	started     bool
	demand      float64
	arrivals    int
	windowStart time.Time
}

// SetLimit sets the limit in requests per second; 0 removes it.
func (r *Rate) SetLimit(perSecond float64) { r.limit = perSecond }

// Demand returns the moving average of arriving requests per second, whether admitted or
// refused.
func (r *Rate) Demand() float64 { return r.demand }

// Allow counts a request and reports whether it is within the limit. If not, retryAfter
// is the time until the next token.
func (r *Rate) Allow(now time.Time) (ok bool, retryAfter time.Duration) {
	r.countArrival(now)
	if r.limit <= 0 {
		return true, 0
	}
	capacity := max(1, r.limit*burstPeriod.Seconds())
	if !r.started {
		r.bucket, r.started = tokenbucket.New(now, capacity), true
	}
	r.bucket.Refill(now, r.limit, capacity)
	if r.bucket.Take(1) == 1 {
		return true, 0
	}
	return false, r.bucket.Wait(r.limit)
}

func (r *Rate) countArrival(now time.Time) {
	r.UpdateDemand(now)
	r.arrivals++
}

// UpdateDemand updates the demand if the current window is over. It must also be called
// while no requests arrive; otherwise the demand would not fall.
func (r *Rate) UpdateDemand(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < demandWindow {
		return
	}
	rate := float64(r.arrivals) / elapsed.Seconds()
	if r.demand == 0 {
		r.demand = rate
	}
	r.demand += demandWeight * (rate - r.demand)
	r.windowStart, r.arrivals = now, 0
}

// TotalDemand returns a caller's demand at all hosts in requests per second. own replaces
// the last reported demand of this host.
func TotalDemand(demands []model.CallerDemand, caller model.CallerID, self model.HostID, own float64) float64 {
	sum := own
	for _, d := range demands {
		if d.Caller == caller && d.Host != self {
			sum += d.PerSecond
		}
	}
	return sum
}
