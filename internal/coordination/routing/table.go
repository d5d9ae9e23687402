// Package routing selects the endpoint for a request to a target, which is a service or a
// deployment. It compares random candidates (power of two choices) and the endpoints that
// have the prompt's prefix in their cache by their estimated finish time. Package placement
// selects endpoints for package front in another way.
//
// Invariant: Pick never returns an endpoint that is draining, ejected, excluded by the
// request or unable to serve it. Each Begin is matched by exactly one End, so the count
// of this host's requests in flight is exact.
package routing

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/health"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// ZonePenalty is the round-trip time to another availability zone.
	ZonePenalty = 3 * time.Millisecond
	// ZonePenaltyShare is the further penalty for another availability zone, as a
	// fraction of the endpoint's service time.
	ZonePenaltyShare = 0.2
	// ReportLifetime is the age from which a load report is ignored.
	ReportLifetime = 3 * time.Second
	// PrefixBonus is the largest reduction of an estimate for a cached prefix.
	PrefixBonus = 50 * time.Millisecond
	// PrefixBonusShare limits the same reduction to a fraction of the estimate.
	PrefixBonusShare = 0.5
	// DefaultServiceTime is the estimated service time until the first response.
	DefaultServiceTime = 20 * time.Millisecond
	// sampleWeight is the weight of a new sample in an exponential moving average.
	sampleWeight = 0.2
	// sampleLifetime is the age of the last sample from which an endpoint's own average is
	// ignored.
	sampleLifetime = 5 * time.Second
)

// zeroTimeLead is the time from a table's zero time to its creation. It keeps all recorded
// times above 0, because 0 means "never".
const zeroTimeLead = time.Hour

// Rand is a source of random numbers.
type Rand interface{ Uint64() uint64 }

// entry is the state of one endpoint. Times count from the table's zeroTime.
type entry struct {
	endpoints.Endpoint
	local    bool // in the table's own availability zone
	removed  bool // no longer in the table; requests in flight may still end
	inflight int
	// startSum is the sum of the start times of the requests in flight.
	startSum time.Duration
	// serviceTime is the moving average of the service time per request; sampledAt is
	// the time of its last sample.
	serviceTime time.Duration
	sampledAt   time.Duration
	// externalLoad is the number of requests from other hosts, running or queued, as of
	// reportedAt.
	externalLoad float64
	reportedAt   time.Duration
	version      model.WeightVersion
	adapters     []string
	// localDrainUpTo is the highest incarnation that this host has seen draining.
	// localDrainAll is set instead when the draining incarnation is unknown.
	localDrainUpTo model.Incarnation
	localDrainAll  bool
	// viewDrainUpTo and viewDrainAll hold the same from the last model.FleetView.
	viewDrainUpTo model.Incarnation
	viewDrainAll  bool
	health        health.State
}

// Table holds the endpoints of one target. It is not safe for concurrent use.
type Table struct {
	zeroTime time.Time
	zone     model.ZoneID
	entries  []*entry
	local    []*entry // in the availability zone of this host
	remote   []*entry // in other availability zones
	byID     map[model.EndpointID]*entry
	// serviceTime is the moving average of the service time over all endpoints.
	serviceTime time.Duration
	prefixes    prefixIndex
}

// NewTable returns an empty table for a host in the availability zone.
func NewTable(now time.Time, zone model.ZoneID) *Table {
	return &Table{
		zeroTime:    now.Add(-zeroTimeLead),
		zone:        zone,
		byID:        map[model.EndpointID]*entry{},
		serviceTime: DefaultServiceTime,
		prefixes:    newPrefixIndex(),
	}
}

// Len returns the number of endpoints.
func (t *Table) Len() int { return len(t.entries) }

// Update replaces the list of endpoints. Endpoints that remain, with the same ID and
// address, keep their state. Requests in flight at removed endpoints still end normally.
func (t *Table) Update(list []endpoints.Endpoint) {
	old := t.byID
	t.byID = make(map[model.EndpointID]*entry, len(list))
	t.entries, t.local, t.remote = nil, nil, nil
	for _, ep := range list {
		e, ok := old[ep.ID]
		if !ok || e.Address != ep.Address {
			e = &entry{}
		}
		e.Endpoint = ep
		e.local = ep.Zone == t.zone
		e.removed = false
		t.byID[ep.ID] = e
		t.entries = append(t.entries, e)
		if e.local {
			t.local = append(t.local, e)
		} else {
			t.remote = append(t.remote, e)
		}
	}
	for id, e := range old {
		if t.byID[id] != e {
			e.removed = true
		}
	}
}

// Usable returns the number of endpoints that may receive requests now, and the sum of
// their slots.
func (t *Table) Usable(now time.Time) (count, slots int) {
	at := now.Sub(t.zeroTime)
	for _, e := range t.entries {
		if e.usable(at) {
			count++
			slots += e.Slots
		}
	}
	return count, slots
}

func (e *entry) draining() bool {
	if e.localDrainAll || e.viewDrainAll {
		return true
	}
	upTo := max(e.localDrainUpTo, e.viewDrainUpTo)
	return upTo > 0 && e.health.Incarnation <= upTo
}

func (e *entry) usable(now time.Duration) bool {
	return !e.removed && !e.draining() && e.health.Available(now)
}

// Drain marks an incarnation of an endpoint, and all earlier ones, as draining.
// Incarnation 0 means the one currently known. It reports whether the endpoint was not
// draining before.
func (t *Table) Drain(id model.EndpointID, incarnation model.Incarnation) bool {
	e := t.byID[id]
	if e == nil {
		return false
	}
	wasDraining := e.draining()
	if incarnation == 0 {
		incarnation = e.health.Incarnation
	}
	if incarnation == 0 {
		e.localDrainAll = true
	}
	e.localDrainUpTo = max(e.localDrainUpTo, incarnation)
	return !wasDraining && e.draining()
}

// SetDrains replaces the draining endpoints that the last model.FleetView listed.
func (t *Table) SetDrains(drains []model.DrainEvidence) {
	for _, e := range t.entries {
		e.viewDrainUpTo, e.viewDrainAll = 0, false
	}
	for _, d := range drains {
		if e := t.byID[d.Endpoint]; e != nil {
			e.viewDrainUpTo = max(e.viewDrainUpTo, d.Incarnation)
			e.viewDrainAll = e.viewDrainAll || d.Incarnation == 0
		}
	}
}

// VisitDraining calls visit for each endpoint that this host itself has seen draining, with
// its incarnation.
func (t *Table) VisitDraining(visit func(model.EndpointID, model.Incarnation)) {
	for _, e := range t.entries {
		if e.localDrainAll || e.localDrainUpTo > 0 && e.health.Incarnation <= e.localDrainUpTo {
			visit(e.ID, e.health.Incarnation)
		}
	}
}

// ObserveIncarnation records the incarnation that an endpoint reported. A new incarnation
// ends a drain of an unknown one and, unless it is the first, discards the reported load,
// weight version and cached prefixes.
func (t *Table) ObserveIncarnation(now time.Time, id model.EndpointID, i model.Incarnation) {
	e := t.byID[id]
	if e == nil {
		return
	}
	previous := e.health.Incarnation
	if !e.health.ObserveIncarnation(now.Sub(t.zeroTime), i) {
		return
	}
	e.localDrainAll = false
	if previous != 0 {
		e.version, e.externalLoad, e.reportedAt = 0, 0, 0
		t.prefixes.removeEndpoint(e)
	}
}

// Load is a load report of an endpoint.
type Load struct {
	Running int
	Queued  int
	Version model.WeightVersion
	// Adapters is nil when the report does not list adapters.
	Adapters []string
	// Age is the age of the report.
	Age time.Duration
}

// RecordLoad records a load report. A report older than the last one is ignored.
func (t *Table) RecordLoad(now time.Time, id model.EndpointID, l Load) {
	e := t.byID[id]
	if e == nil {
		return
	}
	at := now.Sub(t.zeroTime) - l.Age
	if e.reportedAt != 0 && at < e.reportedAt {
		return
	}
	e.reportedAt = at
	e.externalLoad = max(0, float64(l.Running+l.Queued-e.inflight))
	if l.Version != 0 {
		e.version = l.Version
	}
	if l.Adapters != nil {
		e.adapters = l.Adapters
	}
}

// Endpoints returns a copy of the list of endpoints.
func (t *Table) Endpoints() []endpoints.Endpoint {
	out := make([]endpoints.Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Endpoint)
	}
	return out
}
