package routing

import (
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/health"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// randomDraws bounds the random draws for one candidate before a scan.
	randomDraws = 4
	// scanned bounds the endpoints looked at when the random choices are full.
	scanned = uint64(64)
	// contention is how much a full batch slows each of its requests.
	contention = 0.5
)

// Constraints says what an endpoint must be for a request.
type Constraints struct {
	// MinVersion is the least weight version, 0 for any.
	MinVersion model.WeightVersion
	// Adapter must be loaded, empty for none.
	Adapter string
	// Exclude lists endpoints that must not be used.
	Exclude []model.EndpointID
	// PrefixHash names the prompt's prefix, 0 for none.
	PrefixHash uint64
	// FreeSlot excludes endpoints whose slots are filled by own requests.
	FreeSlot bool
}

// Choice is an endpoint picked for a request.
type Choice struct {
	ID          model.EndpointID
	Address     string
	Incarnation model.Incarnation
	entry       *entry
}

// Pick chooses an endpoint; false when none can take the request. The candidates
// are two of the own zone and one of another, or two of another when the own zone
// has none, and the holders of the prompt's prefix. When these are full, endpoints
// with a free slot are looked for: a long request must not wait beside an idle slot.
func (t *Table) Pick(now time.Time, rng Rand, c Constraints) (Choice, bool) {
	at := now.Sub(t.epoch)
	var best *entry
	var bestFinish time.Duration
	consider := func(e *entry, cached bool) {
		if e == nil {
			return
		}
		finish := t.estimate(at, e, cached)
		if best == nil || finish < bestFinish {
			best, bestFinish = e, finish
		}
	}
	first := t.draw(at, rng, t.local, &c, nil)
	consider(first, false)
	if first != nil {
		consider(t.draw(at, rng, t.local, &c, first), false)
	}
	other := t.draw(at, rng, t.remote, &c, nil)
	consider(other, false)
	if first == nil && other != nil {
		consider(t.draw(at, rng, t.remote, &c, other), false)
	}
	if c.PrefixHash != 0 {
		for _, h := range t.prefixes.holders(at, c.PrefixHash) {
			if h != nil && h.fits(at, &c) {
				consider(h, true)
			}
		}
	}
	if best == nil {
		return Choice{}, false
	}
	if best.full(at) {
		start := rng.Uint64() % uint64(len(t.entries))
		for i := range min(scanned, uint64(len(t.entries))) {
			if e := t.entries[(start+i)%uint64(len(t.entries))]; !e.full(at) && e.fits(at, &c) {
				consider(e, false)
			}
		}
	}
	return Choice{ID: best.ID, Address: best.Address, Incarnation: best.health.Incarnation, entry: best}, true
}

// draw returns a random entry of list that fits and is not the one drawn before, nil
// when there is none. One that is warming up is passed over as its weight says.
func (t *Table) draw(now time.Duration, rng Rand, list []*entry, c *Constraints, drawn *entry) *entry {
	n := uint64(len(list))
	if n == 0 {
		return nil
	}
	for range randomDraws {
		r := rng.Uint64()
		e := list[(r>>32)%n]
		if e != drawn && e.fits(now, c) && e.accepts(now, r) {
			return e
		}
	}
	start := rng.Uint64() % n
	for i := range n {
		if e := list[(start+i)%n]; e != drawn && e.fits(now, c) {
			return e
		}
	}
	return nil
}

const weightSteps = 1024

func (e *entry) accepts(now time.Duration, r uint64) bool {
	w := e.health.Weight(now)
	return w >= 1 || float64(r%weightSteps) < w*weightSteps
}

// full reports whether one more request would wait for a slot.
func (e *entry) full(now time.Duration) bool {
	return float64(e.inflight)+e.othersNow(now) >= float64(e.Slots)
}

func (e *entry) fits(now time.Duration, c *Constraints) bool {
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

// estimate is the time to the end of one more request at e.
func (t *Table) estimate(now time.Duration, e *entry, cached bool) time.Duration {
	service := t.serviceTime(now, e)
	load := float64(e.inflight) + e.othersNow(now)
	slots := float64(e.Slots)
	factor := 1 + contention*min(1, load/slots)
	if over := load + 1 - slots; over > 0 {
		factor += over / slots
	}
	finish := time.Duration(float64(service) * factor)
	if !e.local {
		finish += ZonePenalty + time.Duration(ZonePenaltyShare*float64(service))
	}
	if cached {
		finish -= min(PrefixBonus, time.Duration(PrefixBonusShare*float64(finish)))
	}
	return finish
}

// serviceTime is the endpoint's own average, drawn to that of all endpoints as it
// ages, and no less than the mean age of its requests in flight.
func (t *Table) serviceTime(now time.Duration, e *entry) time.Duration {
	service := t.service
	if e.sampled != 0 {
		own := 1 - float64(now-e.sampled)/float64(sampleLifetime)
		if own > 0 {
			service += time.Duration(own * float64(e.service-t.service))
		}
	}
	if e.inflight > 0 {
		service = max(service, now-e.startSum/time.Duration(e.inflight))
	}
	return service
}

// othersNow is the reported load of other hosts, fading with the report's age.
func (e *entry) othersNow(now time.Duration) float64 {
	if e.reported == 0 {
		return 0
	}
	fresh := 1 - float64(now-e.reported)/float64(ReportLifetime)
	return e.others * max(0, fresh)
}

// Begin notes that a request was sent to the choice.
func (t *Table) Begin(now time.Time, c Choice) {
	c.entry.inflight++
	c.entry.startSum += now.Sub(t.epoch)
}

// Result says how an attempt ended, as far as the endpoint is concerned.
type Result int

// The results.
const (
	// ResultAnswered: the endpoint answered.
	ResultAnswered Result = iota
	// ResultRefused: the endpoint took no more work; it is alive.
	ResultRefused
	// ResultFailed: the endpoint did not answer, or not wholly.
	ResultFailed
	// ResultCancelled: this host gave the attempt up; nothing is learned.
	ResultCancelled
	// ResultOvertaken: a later attempt of the same request was answered first.
	ResultOvertaken
)

// End notes that the request sent at started ended. service is its time at the
// endpoint, used when it was answered. It reports whether the endpoint was ejected.
func (t *Table) End(now time.Time, c Choice, started time.Time, r Result, service time.Duration) bool {
	e := c.entry
	e.inflight--
	e.startSum -= started.Sub(t.epoch)
	at := now.Sub(t.epoch)
	switch r {
	case ResultAnswered:
		e.health.Succeed(at)
		t.sample(at, e, service)
	case ResultFailed, ResultOvertaken:
		if r == ResultOvertaken {
			t.sampleOwn(at, e, service)
		}
		if e.health.Fail(at) && health.MayEject(t.ejected(at), len(t.entries)) {
			e.health.Eject(at)
			return true
		}
	}
	return false
}

func (t *Table) sample(at time.Duration, e *entry, service time.Duration) {
	t.sampleOwn(at, e, service)
	// The average of all follows slowly, and a slow endpoint less than a quick one.
	weight := sampleWeight / 4
	if service > t.service {
		weight /= 4
	}
	t.service += time.Duration(weight * float64(service-t.service))
}

// sampleOwn takes a time into the endpoint's own average.
func (t *Table) sampleOwn(at time.Duration, e *entry, service time.Duration) {
	if e.sampled == 0 {
		e.service = service
	}
	e.service += time.Duration(sampleWeight * float64(service-e.service))
	e.sampled = max(at, 1)
}

func (t *Table) ejected(now time.Duration) int {
	n := 0
	for _, e := range t.entries {
		if !e.health.Available(now) {
			n++
		}
	}
	return n
}

// Service is the moving average of the time of one request.
func (t *Table) Service() time.Duration { return t.service }
