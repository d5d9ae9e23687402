package routing

import (
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/health"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// maxRandomDraws is the number of random draws for a candidate before the list is
	// scanned.
	maxRandomDraws = 4
	// maxScanned is the number of endpoints scanned when the best candidate is full.
	maxScanned = uint64(64)
	// fullBatchSlowdown is the relative increase of the service time in a full batch.
	fullBatchSlowdown = 0.5
)

// Constraints are the requirements of a request on its endpoint.
type Constraints struct {
	// MinVersion is the lowest acceptable weight version, 0 for any.
	MinVersion model.WeightVersion
	// Adapter is the adapter that must be loaded, empty for none.
	Adapter string
	// Exclude lists endpoints that must not be picked.
	Exclude []model.EndpointID
	// PrefixHash is the hash of the prompt's prefix, 0 for none.
	PrefixHash uint64
	// FreeSlot excludes endpoints whose slots are all taken by requests of this host.
	FreeSlot bool
}

// Choice is an endpoint picked for a request.
type Choice struct {
	ID          model.EndpointID
	Address     string
	Incarnation model.Incarnation
	entry       *entry
}

// Pick returns the endpoint with the earliest estimated finish, or false when no
// endpoint can take the request. The candidates are two random endpoints of the local
// availability zone and one of another (two of another when the local one has none), and
// the endpoints that have the prompt's prefix in their cache. If the best candidate is
// full, up to maxScanned endpoints are searched for a free slot, so that a long request
// does not queue while a slot is idle.
func (t *Table) Pick(now time.Time, rng Rand, c Constraints) (Choice, bool) {
	at := now.Sub(t.zeroTime)
	var best *entry
	var bestFinish time.Duration
	consider := func(e *entry, cached bool) {
		if e == nil {
			return
		}
		finish := t.estimateFinish(at, e, cached)
		if best == nil || finish < bestFinish {
			best, bestFinish = e, finish
		}
	}
	firstLocal := t.drawRandom(at, rng, t.local, &c, nil)
	consider(firstLocal, false)
	if firstLocal != nil {
		consider(t.drawRandom(at, rng, t.local, &c, firstLocal), false)
	}
	firstRemote := t.drawRandom(at, rng, t.remote, &c, nil)
	consider(firstRemote, false)
	if firstLocal == nil && firstRemote != nil {
		consider(t.drawRandom(at, rng, t.remote, &c, firstRemote), false)
	}
	if c.PrefixHash != 0 {
		for _, h := range t.prefixes.holders(at, c.PrefixHash) {
			if h != nil && h.eligible(at, &c) {
				consider(h, true)
			}
		}
	}
	if best == nil {
		return Choice{}, false
	}
	if best.full(at) {
		start := rng.Uint64() % uint64(len(t.entries))
		for i := range min(maxScanned, uint64(len(t.entries))) {
			if e := t.entries[(start+i)%uint64(len(t.entries))]; !e.full(at) && e.eligible(at, &c) {
				consider(e, false)
			}
		}
	}
	return Choice{ID: best.ID, Address: best.Address, Incarnation: best.health.Incarnation, entry: best}, true
}

// drawRandom returns a random eligible entry of list other than drawn, or nil when there
// is none. An endpoint in slow start is accepted with a probability equal to its weight;
// the scan after maxRandomDraws draws ignores the weight.
func (t *Table) drawRandom(now time.Duration, rng Rand, list []*entry, c *Constraints, drawn *entry) *entry {
	n := uint64(len(list))
	if n == 0 {
		return nil
	}
	for range maxRandomDraws {
		r := rng.Uint64()
		e := list[(r>>32)%n]
		if e != drawn && e.eligible(now, c) && e.acceptsByWeight(now, r) {
			return e
		}
	}
	start := rng.Uint64() % n
	for i := range n {
		if e := list[(start+i)%n]; e != drawn && e.eligible(now, c) {
			return e
		}
	}
	return nil
}

// weightSteps is the resolution of the random comparison with an endpoint's weight.
const weightSteps = 1024

// acceptsByWeight decides by the random number r whether a draw of e is accepted.
func (e *entry) acceptsByWeight(now time.Duration, r uint64) bool {
	w := e.health.Weight(now)
	return w >= 1 || float64(r%weightSteps) < w*weightSteps
}

// full reports whether another request would queue for a slot.
func (e *entry) full(now time.Duration) bool {
	return float64(e.inflight)+e.currentExternalLoad(now) >= float64(e.Slots)
}

// eligible reports whether e may receive a request with constraints c.
func (e *entry) eligible(now time.Duration, c *Constraints) bool {
	switch {
	case !e.usable(now):
		return false
	case c.MinVersion > 0 && e.version < c.MinVersion:
		return false
	case c.Adapter != "" && !slices.Contains(e.adapters, c.Adapter):
		return false
	case c.FreeSlot && e.inflight >= e.Slots:
		return false
	}
	return !slices.Contains(c.Exclude, e.ID)
}

// estimateFinish returns the expected time until a request sent to e now would end,
// adjusted by the zone penalty and the prefix bonus. cached is set if e has the prompt's
// prefix in its cache.
func (t *Table) estimateFinish(now time.Duration, e *entry, cached bool) time.Duration {
	serviceTime := t.estimateServiceTime(now, e)
	load := float64(e.inflight) + e.currentExternalLoad(now)
	slots := float64(e.Slots)
	factor := 1 + fullBatchSlowdown*min(1, load/slots)
	if excess := load + 1 - slots; excess > 0 {
		factor += excess / slots
	}
	finish := time.Duration(float64(serviceTime) * factor)
	if !e.local {
		finish += ZonePenalty + time.Duration(ZonePenaltyShare*float64(serviceTime))
	}
	if cached {
		finish -= min(PrefixBonus, time.Duration(PrefixBonusShare*float64(finish)))
	}
	return finish
}

// estimateServiceTime returns the endpoint's own average, which moves linearly towards
// the average of all endpoints as its last sample ages. The result is at least the mean
// age of the endpoint's requests in flight.
func (t *Table) estimateServiceTime(now time.Duration, e *entry) time.Duration {
	serviceTime := t.serviceTime
	if e.sampledAt != 0 {
		weight := 1 - float64(now-e.sampledAt)/float64(sampleLifetime)
		if weight > 0 {
			serviceTime += time.Duration(weight * float64(e.serviceTime-t.serviceTime))
		}
	}
	if e.inflight > 0 {
		serviceTime = max(serviceTime, now-e.startSum/time.Duration(e.inflight))
	}
	return serviceTime
}

// currentExternalLoad returns the reported load of other hosts, which decreases linearly
// to 0 as the report ages.
func (e *entry) currentExternalLoad(now time.Duration) float64 {
	if e.reportedAt == 0 {
		return 0
	}
	weight := 1 - float64(now-e.reportedAt)/float64(ReportLifetime)
	return e.externalLoad * max(0, weight)
}

// Begin records that a request was sent to the chosen endpoint.
func (t *Table) Begin(now time.Time, c Choice) {
	c.entry.inflight++
	c.entry.startSum += now.Sub(t.zeroTime)
}

// Result is the outcome of an attempt with regard to its endpoint.
type Result int

// The results.
const (
	// ResultAnswered: the endpoint sent a complete response.
	ResultAnswered Result = iota
	// ResultRefused: the endpoint is live but refused the request.
	ResultRefused
	// ResultFailed: the endpoint sent no response or an incomplete one.
	ResultFailed
	// ResultCancelled: this host cancelled the attempt; the endpoint's health and
	// service time stay as they are.
	ResultCancelled
	// ResultHedgeAnswered: a later attempt (hedge) of the same request was answered first.
	// It counts as a failure, and its duration as a sample of the endpoint's service time.
	ResultHedgeAnswered
)

// End records the end of a request that was sent at started. serviceTime is its service
// time at the endpoint, used for ResultAnswered and ResultHedgeAnswered. End reports whether
// it ejected the endpoint.
func (t *Table) End(now time.Time, c Choice, started time.Time, r Result, serviceTime time.Duration) bool {
	e := c.entry
	e.inflight--
	e.startSum -= started.Sub(t.zeroTime)
	at := now.Sub(t.zeroTime)
	switch r {
	case ResultAnswered:
		e.health.RecordSuccess(at)
		t.recordServiceTime(at, e, serviceTime)
	case ResultFailed, ResultHedgeAnswered:
		if r == ResultHedgeAnswered {
			t.recordEndpointServiceTime(at, e, serviceTime)
		}
		if e.health.RecordFailure(at) && health.MayEject(t.ejectedCount(at), len(t.entries)) {
			e.health.Eject(at)
			return true
		}
	}
	return false
}

// recordServiceTime adds a sample to the averages of the endpoint and of all endpoints.
func (t *Table) recordServiceTime(at time.Duration, e *entry, serviceTime time.Duration) {
	t.recordEndpointServiceTime(at, e, serviceTime)
	// The average of all endpoints adapts slowly, and more slowly upwards than downwards,
	// so that a slow endpoint affects it less than a fast one.
	weight := sampleWeight / 4
	if serviceTime > t.serviceTime {
		weight /= 4
	}
	t.serviceTime += time.Duration(weight * float64(serviceTime-t.serviceTime))
}

// recordEndpointServiceTime adds a sample to the endpoint's own average only.
func (t *Table) recordEndpointServiceTime(at time.Duration, e *entry, serviceTime time.Duration) {
	if e.sampledAt == 0 {
		e.serviceTime = serviceTime
	}
	e.serviceTime += time.Duration(sampleWeight * float64(serviceTime-e.serviceTime))
	e.sampledAt = max(at, 1)
}

// ejectedCount returns the number of ejected endpoints.
func (t *Table) ejectedCount(now time.Duration) int {
	n := 0
	for _, e := range t.entries {
		if !e.health.Available(now) {
			n++
		}
	}
	return n
}

// ServiceTime returns the moving average of the service time over all endpoints.
func (t *Table) ServiceTime() time.Duration { return t.serviceTime }
