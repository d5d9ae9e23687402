package admission

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// equalPart is the part of a caller's rate that is split evenly over the hosts,
	// so that demand which moves to another host finds something there at once.
	equalPart = 0.2
	// burst is the time whose worth of requests may come at once.
	burst = 250 * time.Millisecond
	// demandWindow is the window over which arrivals are counted.
	demandWindow = time.Second
	// demandWeight is the weight of the last window in the demand.
	demandWeight = 0.5
)

// RateShare is the part of a caller's total rate that this host may admit. The shares
// of hosts with the same demands sum up to total. hosts is the number of entry
// hosts; without demands from others (connected false) the split is even.
func RateShare(total, own, sum float64, hosts int, connected bool) float64 {
	even := total / float64(max(1, hosts))
	if !connected || sum <= 0 {
		return even
	}
	return equalPart*even + (1-equalPart)*total*min(1, own/sum)
}

// Rate bounds one caller on this host by a token bucket and counts its demand.
type Rate struct {
	// limit is the requests a second, 0 for no bound.
	limit    float64
	tokens   float64
	filled   time.Time
	demand   float64
	arrivals int
	start    time.Time
}

// SetLimit changes the bound; 0 lifts it.
func (r *Rate) SetLimit(perSecond float64) { r.limit = perSecond }

// Demand is the requests a second that arrive, admitted or not.
func (r *Rate) Demand() float64 { return r.demand }

// Arrive counts a request; when over the bound it returns how long to stay away.
func (r *Rate) Arrive(now time.Time) (ok bool, retryAfter time.Duration) {
	r.countArrival(now)
	if r.limit <= 0 {
		return true, 0
	}
	capacity := max(1, r.limit*burst.Seconds())
	if r.filled.IsZero() {
		r.tokens = capacity
	} else {
		r.tokens = min(capacity, r.tokens+r.limit*now.Sub(r.filled).Seconds())
	}
	r.filled = now
	if r.tokens >= 1 {
		r.tokens--
		return true, 0
	}
	return false, time.Duration((1 - r.tokens) / r.limit * float64(time.Second))
}

func (r *Rate) countArrival(now time.Time) {
	r.Roll(now)
	r.arrivals++
}

// Roll ends the window of the demand when it is over.
func (r *Rate) Roll(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	elapsed := now.Sub(r.start)
	if elapsed < demandWindow {
		return
	}
	rate := float64(r.arrivals) / elapsed.Seconds()
	if r.demand == 0 {
		r.demand = rate
	}
	r.demand += demandWeight * (rate - r.demand)
	r.start, r.arrivals = now, 0
}

// SumDemand returns all hosts' demands of a caller, with own in place of what was
// last heard of this host.
func SumDemand(demands []model.CallerDemand, caller model.CallerID, self model.HostID, own float64) float64 {
	sum := own
	for _, d := range demands {
		if d.Caller == caller && d.Host != self {
			sum += d.PerSecond
		}
	}
	return sum
}
