// Package routing chooses the endpoint for a request: two random choices, and the
// holders of the prompt's prefix, compared by estimated finish time.
//
// Invariant: Pick never returns an endpoint that is leaving, ejected, excluded by
// the request or unable to serve it; each Begin is matched by one End, so that the
// count of own requests in flight is exact.
package routing

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/health"
	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// ZonePenalty is the round trip to another zone.
	ZonePenalty = 3 * time.Millisecond
	// ZonePenaltyShare is added to another zone's estimate, as a share of it.
	ZonePenaltyShare = 0.2
	// ReportLifetime is the age at which a load report no longer counts.
	ReportLifetime = 3 * time.Second
	// PrefixBonus bounds what a cached prefix takes off an estimate.
	PrefixBonus = 50 * time.Millisecond
	// PrefixBonusShare bounds it too, as a share of the estimate.
	PrefixBonusShare = 0.5
	// DefaultService is the estimate before the first answer.
	DefaultService = 20 * time.Millisecond
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.2
	// sampleLifetime is the age at which an endpoint's own average no longer counts.
	sampleLifetime = 5 * time.Second
)

// epochLead keeps times of a new table above 0, which stands for never.
const epochLead = time.Hour

// Rand is a source of random numbers.
type Rand interface{ Uint64() uint64 }

// entry is what is known of one endpoint.
type entry struct {
	endpoints.Endpoint
	local    bool
	gone     bool
	inflight int
	// startSum is the sum of the start times of the requests in flight.
	startSum time.Duration
	// service is the moving average of the time of one request; sampled is its age.
	service time.Duration
	sampled time.Duration
	// others is the load by other hosts as of reported.
	others   float64
	reported time.Duration
	version  model.WeightVersion
	adapters []string
	// leavingUpTo: incarnations up to this one are leaving; allLeaving covers one
	// whose incarnation is not known.
	leavingUpTo model.Incarnation
	allLeaving  bool
	// drained is what the fleet view says, by the same rule.
	drainedUpTo model.Incarnation
	allDrained  bool
	health      health.State
}

// Table holds the endpoints of one target. It is not safe for concurrent use.
type Table struct {
	epoch   time.Time
	zone    model.ZoneID
	entries []*entry
	local   []*entry
	remote  []*entry
	byID    map[model.EndpointID]*entry
	// service is the moving average over all endpoints.
	service  time.Duration
	prefixes prefixIndex
}

// NewTable returns an empty table for a host in zone.
func NewTable(now time.Time, zone model.ZoneID) *Table {
	return &Table{
		epoch:    now.Add(-epochLead),
		zone:     zone,
		byID:     map[model.EndpointID]*entry{},
		service:  DefaultService,
		prefixes: newPrefixIndex(),
	}
}

// Len returns the number of endpoints.
func (t *Table) Len() int { return len(t.entries) }

// Update replaces the list of endpoints. What is known of those that stay is kept;
// requests in flight at those that go still end normally.
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
		e.gone = false
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
			e.gone = true
		}
	}
}

// Usable returns the number of endpoints that may get work now and their slots.
func (t *Table) Usable(now time.Time) (count, slots int) {
	at := now.Sub(t.epoch)
	for _, e := range t.entries {
		if e.usable(at) {
			count++
			slots += e.Slots
		}
	}
	return count, slots
}

func (e *entry) leaving() bool {
	if e.allLeaving || e.allDrained {
		return true
	}
	upTo := max(e.leavingUpTo, e.drainedUpTo)
	return upTo > 0 && e.health.Incarnation <= upTo
}

func (e *entry) usable(now time.Duration) bool {
	return !e.gone && !e.leaving() && e.health.Available(now)
}

// Drain marks an incarnation of an endpoint, and those before it, as leaving.
// Incarnation 0 stands for the one known now. It reports whether this is news.
func (t *Table) Drain(id model.EndpointID, incarnation model.Incarnation) bool {
	e := t.byID[id]
	if e == nil {
		return false
	}
	was := e.leaving()
	if incarnation == 0 {
		incarnation = e.health.Incarnation
	}
	if incarnation == 0 {
		e.allLeaving = true
	}
	e.leavingUpTo = max(e.leavingUpTo, incarnation)
	return !was && e.leaving()
}

// SetDrains replaces what the fleet view says of leaving endpoints.
func (t *Table) SetDrains(drains []model.DrainEvidence) {
	for _, e := range t.entries {
		e.drainedUpTo, e.allDrained = 0, false
	}
	for _, d := range drains {
		if e := t.byID[d.Endpoint]; e != nil {
			e.drainedUpTo = max(e.drainedUpTo, d.Incarnation)
			e.allDrained = e.allDrained || d.Incarnation == 0
		}
	}
}

// Leaving lists the endpoints that this host saw leaving, and their incarnations.
func (t *Table) Leaving(visit func(model.EndpointID, model.Incarnation)) {
	for _, e := range t.entries {
		if e.allLeaving || e.leavingUpTo > 0 && e.health.Incarnation <= e.leavingUpTo {
			visit(e.ID, e.health.Incarnation)
		}
	}
}

// Observe notes the incarnation that an endpoint reported.
func (t *Table) Observe(now time.Time, id model.EndpointID, i model.Incarnation) {
	e := t.byID[id]
	if e == nil {
		return
	}
	known := e.health.Incarnation
	if !e.health.Observe(now.Sub(t.epoch), i) {
		return
	}
	e.allLeaving = false
	if known != 0 {
		e.version, e.others, e.reported = 0, 0, 0
		t.prefixes.forget(e)
	}
}

// Load is a load report of an engine.
type Load struct {
	Running int
	Queued  int
	Version model.WeightVersion
	// Adapters is nil when the report does not say.
	Adapters []string
	// Age is how old the report is.
	Age time.Duration
}

// Report notes a load report. A report older than the one held is ignored.
func (t *Table) Report(now time.Time, id model.EndpointID, l Load) {
	e := t.byID[id]
	if e == nil {
		return
	}
	at := now.Sub(t.epoch) - l.Age
	if e.reported != 0 && at < e.reported {
		return
	}
	e.reported = at
	e.others = max(0, float64(l.Running+l.Queued-e.inflight))
	if l.Version != 0 {
		e.version = l.Version
	}
	if l.Adapters != nil {
		e.adapters = l.Adapters
	}
}

// Endpoints lists the endpoints of the table.
func (t *Table) Endpoints() []endpoints.Endpoint {
	out := make([]endpoints.Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Endpoint)
	}
	return out
}
