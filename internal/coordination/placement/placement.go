// Package placement selects the endpoint for a request or a sample from the local
// load, the loads reported by peers and the observed service times.
//
// During a burst that fills every slot, samples wait at this host instead of in one
// endpoint's queue. Endpoints whose measured service time shows that they are slow are
// selected last. Endpoints that stop answering are ejected for increasing periods; if all
// endpoints of a service are ejected, requests still go to the one that returns first, but
// queries with FreeSlot select none.
//
// Package front selects endpoints with this package, packages entry and rollout with package
// routing. The ejection rules here are separate from those of package health, which routing
// uses: the periods are shorter, and there is no limit on the share of ejected endpoints.
//
// Endpoints may limit the rate of requests from all hosts together. One with a limit is selected
// only while this host has a permit for it, see package permits.
//
// Invariant: an endpoint that is draining, leaving or absent from the catalog is never
// selected. An instance that was once marked as leaving stays so.
package placement

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/prompts"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// initialEjection is the first ejection period. It doubles with each further ejection
	// up to maxEjection, which is about the time an endpoint takes to restart.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	// suspectDuration is how long suspectCost is added to an endpoint after the end of its
	// ejection, unless it answers. Such an endpoint is the least loaded, since no request
	// reaches it, and would otherwise be selected first. With the cost it is tried again
	// once the others are heavily loaded.
	suspectDuration = 8 * time.Second
	suspectCost     = 1.0
	// reportTTL is how long suspectCost is added to an endpoint that a peer reported
	// unreachable or slow, unless this host received an answer or a measurement from it
	// within the same period. It is the time of three heartbeats of the peers.
	reportTTL = time.Second
	// maxReported bounds the endpoints that a heartbeat reports as unreachable, and
	// likewise those it reports as slow.
	maxReported = 24
	// slowFactor is the multiple of the service's baseline from which an endpoint is slow.
	slowFactor = 1.6
	// failuresToEject is the number of consecutive failures that eject an endpoint. A
	// single failure may be caused by the request itself.
	failuresToEject = 2
	// serviceTimeWeight is the weight of a new measurement in an endpoint's moving average.
	serviceTimeWeight = 0.3
	// otherZoneCost is added for an endpoint in another availability zone, relative to the
	// baseline cost of 1.
	otherZoneCost = 0.05
	// refusalCooldown is how long no sample is sent to an endpoint after a refusal. The
	// endpoint is full or loads weights, which takes a few hundred milliseconds more.
	refusalCooldown = 250 * time.Millisecond
	// baselineTTL is how long a computed baseline is cached; service times change over
	// seconds.
	baselineTTL = 50 * time.Millisecond
	// slowMeasurementTTL is how long a service time above the baseline counts in full
	// without a new measurement.
	slowMeasurementTTL = 6 * time.Second
)

// Outcome is the outcome of an attempt at an endpoint.
type Outcome int

// The outcomes of attempts.
const (
	// OK: the endpoint answered.
	OK Outcome = iota
	// Refused: the endpoint had no capacity and did not run the request.
	Refused
	// Broken: connection failure, no answer or a truncated answer.
	Broken
	// Cancelled: this host cancelled the attempt, which carries no information about the
	// endpoint's health.
	Cancelled
)

// entry is the state of one endpoint.
type entry struct {
	// endpoint is the catalog's entry. Draining is also set if leaving is.
	endpoint catalog.Endpoint
	// key is EndpointKey(endpoint.ID), instanceKey is InstanceKey(&endpoint).
	key         uint32
	instanceKey uint32
	// leaving is set once an answer of this instance, to this host or to a peer, said that the
	// endpoint is leaving. The catalog may show that seconds later or not at all.
	leaving bool
	// localLoad is the number of requests of this host in flight at the endpoint.
	localLoad int
	// loadByPeer holds the requests in flight from each peer, peerLoad their sum.
	loadByPeer map[string]int
	peerLoad   int
	// refusedUntil is the end of the cooldown after a refusal.
	refusedUntil time.Time
	// failures and ejections count since the endpoint last answered.
	failures     int
	ejections    int
	ejectedUntil time.Time
	// unreachable is set by Eject, when the endpoint is known not to answer, and cleared by
	// the next answer.
	unreachable bool
	// reportedUnreachableUntil is when a peer's report expires, answeredAt when the
	// endpoint last answered this host.
	reportedUnreachableUntil time.Time
	answeredAt               time.Time
	// reportedSlowUntil is when a peer's report that the endpoint is slow expires.
	reportedSlowUntil time.Time
	// serviceTime is the average time per stream event or per answer; zero if unknown.
	serviceTime time.Duration
	measuredAt  time.Time
	// idleSince holds when each idle connection of this host to the endpoint was last used,
	// oldest first.
	idleSince []time.Time
	// observedVersions holds the weight versions that the endpoint's own answers named, by
	// model. Each Put of the endpoint clears it.
	observedVersions map[string]int
	limit            requestLimit
	prompts          entryPrompts
}

// Table holds the load, health and service time of each endpoint as one host sees them.
// It is not safe for concurrent use.
type Table struct {
	zone    string
	entries map[string]*entry
	// byKey lists the entries of each key; two IDs may have the same hash.
	byKey map[uint32][]*entry
	// byInstance lists the entries of each instance key.
	byInstance map[uint32][]*entry
	// services lists the entries of each service, sorted by endpoint ID.
	services map[string][]*entry
	// baselines caches the last computed baseline of each service.
	baselines map[string]serviceBaseline
	// loading holds when each weights load in progress ends, by WeightsKey.
	loading map[uint32]time.Time
	// softwareSeen holds when each software version was last seen, by service and version.
	softwareSeen map[string]map[string]time.Time
	// tokenTimes holds the average time of a sample for each expected token, by service, at
	// endpoints that are not slow.
	tokenTimes map[string]time.Duration
	// wantingPermits has the entries of endpoints for which permits are wanted.
	wantingPermits map[*entry]struct{}
	// prompts holds what is known of the prompts of each service.
	prompts map[string]*servicePrompts
	// queuesByPeer lists the endpoints for which each peer last reported unread prompts.
	queuesByPeer map[string][]*entry
}

// NewTable returns an empty table for a host in the given availability zone.
func NewTable(zone string) *Table {
	return &Table{zone: zone, entries: map[string]*entry{}, byKey: map[uint32][]*entry{}, byInstance: map[uint32][]*entry{}, loading: map[uint32]time.Time{},
		services: map[string][]*entry{}, baselines: map[string]serviceBaseline{}, wantingPermits: map[*entry]struct{}{}, tokenTimes: map[string]time.Duration{}, softwareSeen: map[string]map[string]time.Time{},
		prompts: map[string]*servicePrompts{}, queuesByPeer: map[string][]*entry{}}
}

// serviceBaseline is the median service time of a service's endpoints as of computedAt.
type serviceBaseline struct {
	serviceTime time.Duration
	computedAt  time.Time
}

// EndpointKey returns the 32-bit hash that identifies an endpoint in messages between hosts.
func EndpointKey(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// WeightsKey returns the 32-bit hash that identifies a model's weights at an endpoint in
// messages between hosts.
func WeightsKey(id, model string) uint32 { return EndpointKey(id + "\x00" + model) }

// SetLoading records that the endpoint and model of a WeightsKey load weights until the
// given time. Pick with FreeSlot skips the endpoint for that model meanwhile. An end time
// before the recorded one is ignored.
func (t *Table) SetLoading(now time.Time, key uint32, until time.Time) {
	for k, end := range t.loading {
		if now.After(end) {
			delete(t.loading, k)
		}
	}
	if until.After(t.loading[key]) {
		t.loading[key] = until
	}
}

// Put adds or updates an endpoint. Load, failures and service time of an unchanged
// endpoint are carried over; a new incarnation starts without them.
func (t *Table) Put(e catalog.Endpoint) {
	old, ok := t.entries[e.ID]
	if ok && old.endpoint.SameInstance(&e) {
		e.Draining = e.Draining || old.leaving
		if !maps.Equal(e.Versions, old.endpoint.Versions) {
			old.forgetPrompts()
		}
		old.endpoint = e
		old.observedVersions = nil
		return
	}
	t.Remove(e.ID)
	n := &entry{endpoint: e, key: EndpointKey(e.ID), instanceKey: InstanceKey(&e), loadByPeer: map[string]int{}}
	t.entries[e.ID] = n
	t.byKey[n.key] = append(t.byKey[n.key], n)
	t.byInstance[n.instanceKey] = append(t.byInstance[n.instanceKey], n)
	list := append(t.services[e.Service], n)
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	t.services[e.Service] = list
}

// Remove deletes an endpoint and everything recorded about it.
func (t *Table) Remove(id string) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	delete(t.entries, id)
	delete(t.wantingPermits, e)
	t.updateQueued(e)
	removeEntry(t.byKey, e.key, e)
	removeEntry(t.byInstance, e.instanceKey, e)
	service := e.endpoint.Service
	t.services[service] = slices.DeleteFunc(t.services[service], func(o *entry) bool { return o == e })
}

// removeEntry removes an entry from the list under its key.
func removeEntry(lists map[uint32][]*entry, key uint32, e *entry) {
	if lists[key] = slices.DeleteFunc(lists[key], func(o *entry) bool { return o == e }); len(lists[key]) == 0 {
		delete(lists, key)
	}
}

// Get returns the last catalog entry of an endpoint, and whether there is one.
func (t *Table) Get(id string) (catalog.Endpoint, bool) {
	e, ok := t.entries[id]
	if !ok {
		return catalog.Endpoint{}, false
	}
	return e.endpoint, true
}

// All returns all endpoints, sorted by ID.
func (t *Table) All() []catalog.Endpoint {
	out := make([]catalog.Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.endpoint)
	}
	slices.SortFunc(out, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Query describes the requirements on an endpoint.
type Query struct {
	Service string
	// Model, when set, requires weights of that model of at least MinVersion.
	Model      string
	MinVersion int
	// ExactVersion, when not zero, is the only accepted version.
	ExactVersion int
	// Software, when set, is the only accepted software version.
	Software string
	// FreeSlot requires an endpoint that can start the work immediately.
	FreeSlot bool
	// Prefer is the ID of an endpoint to select unless its cost is higher than the best by
	// more than preferBonus.
	Prefer string
	// Avoid lists the IDs of endpoints to exclude, such as those already tried.
	Avoid []string
	// Prompt is the prompt of the request, if it has one.
	Prompt prompts.Prompt
}

// preferBonus is subtracted from a preferred endpoint's cost, relative to the baseline
// cost of 1.
const preferBonus = 0.6

// Pick returns the endpoint with the lowest cost for a query, and false if none meets
// it. random breaks ties and sets where the scan of a large service starts. If an endpoint with a
// request limit would have been returned but for a permit, a request for permits becomes due.
func (t *Table) Pick(now time.Time, q Query, random uint64) (catalog.Endpoint, bool) {
	var best *entry
	bestCost := math.Inf(1)
	var limited []limitedCandidate
	baseline := t.baseline(now, q.Service)
	delays := t.promptDelays(now, &q, baseline, random)
	consider := func(e *entry) bool {
		if !e.eligible(&q) || q.FreeSlot && (now.Before(e.refusedUntil) || t.isLoading(now, e, q.Model)) {
			return false
		}
		cost := e.cost(now, t.zone, baseline, random) + delays.cost(e)
		if q.Model != "" {
			cost += versionCost * float64(min(e.version(q.Model)-q.MinVersion, maxVersionSteps))
		}
		if e.endpoint.ID == q.Prefer {
			cost -= preferBonus
		}
		if now.Before(e.ejectedUntil) {
			// Selected only if every candidate is ejected, the one that returns first
			// before the others.
			cost += ejectedCost + e.ejectedUntil.Sub(now).Seconds()
		}
		if !e.limit.permitAvailable(now) {
			limited = append(limited, limitedCandidate{e, cost})
			return false
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
		return cost < ejectedCost
	}
	if e, ok := t.entries[q.Prefer]; ok && e.endpoint.Service == q.Service {
		consider(e)
	}
	list := t.services[q.Service]
	for i, usable := 0, 0; i < len(list) && usable < maxCandidates; i++ {
		if consider(list[(random%uint64(len(list))+uint64(i))%uint64(len(list))]) {
			usable++
		}
	}
	t.wantPermits(now, limited, best != nil, bestCost)
	if best == nil || q.FreeSlot && bestCost >= ejectedCost {
		return catalog.Endpoint{}, false
	}
	return best.endpoint, true
}

// Serves reports whether an endpoint meets the query, whether or not it has a free slot.
func (t *Table) Serves(q Query) bool {
	q.FreeSlot = false
	return slices.ContainsFunc(t.services[q.Service], func(e *entry) bool { return e.eligible(&q) })
}

// maxCandidates bounds the usable endpoints that one scan compares. Comparing more of
// a large service gains little and costs time for each sample.
const maxCandidates = 48

func (t *Table) isLoading(now time.Time, e *entry, model string) bool {
	if len(t.loading) == 0 {
		return false
	}
	return now.Before(t.loading[WeightsKey(e.endpoint.ID, model)])
}

// ejectedCost is higher than the cost of any endpoint that is not ejected.
const ejectedCost = 1000

// eligible reports whether the endpoint meets the requirements of q, apart from cooldowns,
// weight loads and ejections.
func (e *entry) eligible(q *Query) bool {
	ep := &e.endpoint
	if ep.Draining || slices.Contains(q.Avoid, ep.ID) {
		return false
	}
	if q.Software != "" && ep.Software != q.Software || q.FreeSlot && e.load() >= ep.Slots {
		return false
	}
	if q.Model == "" {
		return true
	}
	v := e.version(q.Model)
	return v >= q.MinVersion && (q.ExactVersion == 0 || v == q.ExactVersion)
}

// version returns the weight version of a model at the endpoint, or -1 if the catalog lists
// none.
func (e *entry) version(model string) int {
	v, ok := e.endpoint.Versions[model]
	if !ok {
		return -1
	}
	if observed, ok := e.observedVersions[model]; ok {
		return min(v, observed)
	}
	return v
}

func (e *entry) load() int { return e.localLoad + e.peerLoad }

// instance returns the entry of an endpoint, or nil if the endpoint was removed or replaced by
// another instance with the same ID.
func (t *Table) instance(ep *catalog.Endpoint) *entry {
	if e := t.entries[ep.ID]; e != nil && e.endpoint.SameInstance(ep) {
		return e
	}
	return nil
}

// Begin records the start of a request to an endpoint. Each Begin is followed by one End for
// the same instance.
func (t *Table) Begin(now time.Time, ep catalog.Endpoint) {
	if e := t.instance(&ep); e != nil {
		e.limit.usePermit(now)
		e.localLoad++
		if n := len(e.idleSince); n > 0 {
			e.idleSince = e.idleSince[:n-1] // the connection used last is reused first
		}
	}
}

// End records the outcome of a request. It has no effect if the endpoint was removed or
// restarted meanwhile.
func (t *Table) End(now time.Time, ep catalog.Endpoint, o Outcome) {
	e := t.instance(&ep)
	if e == nil {
		return
	}
	e.localLoad = max(e.localLoad-1, 0)
	if o == OK || o == Refused {
		e.idleSince = append(e.idleSince, now)
		if len(e.idleSince) > maxIdleConns {
			e.idleSince = e.idleSince[1:]
		}
	}
	switch o {
	case OK:
		e.failures, e.ejections, e.unreachable = 0, 0, false
		e.ejectedUntil, e.answeredAt = time.Time{}, now
	case Refused:
		e.refusedUntil = now.Add(refusalCooldown)
	case Broken:
		e.failures++
		if e.failures >= failuresToEject {
			e.ejectedUntil = now.Add(min(initialEjection<<min(e.ejections, 8), maxEjection))
			e.ejections++
		}
	}
}

// RecordServiceTime records the time an endpoint took for one stream event or one answer.
// Values that are not positive are ignored.
func (t *Table) RecordServiceTime(now time.Time, id string, d time.Duration) {
	e, ok := t.entries[id]
	if !ok || d <= 0 {
		return
	}
	if e.serviceTime == 0 {
		e.serviceTime = d
	} else {
		e.serviceTime = time.Duration((1-serviceTimeWeight)*float64(e.serviceTime) + serviceTimeWeight*float64(d))
	}
	e.measuredAt, e.answeredAt = now, now
}

// RecordVersion records the weight version that an endpoint's own answer named. Pick
// uses it instead of the catalog's version if it is lower.
func (t *Table) RecordVersion(id, model string, version int) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	if e.observedVersions == nil {
		e.observedVersions = map[string]int{}
	}
	if e.version(model) != version {
		e.forgetPrompts()
	}
	e.observedVersions[model] = version
}
