// Package placement chooses the endpoint for a request or a sample from what this
// host sends itself, what its peers say they send, and how fast endpoints have been.
//
// It answers these load patterns: a burst that fills every slot (work waits at this
// host instead of at one endpoint's queue), endpoints that turn slow (their pace is
// learnt from their streams and they are chosen last), and endpoints that stop
// answering (they are left out for a growing time, never all of a service at once).
//
// Invariant: an endpoint that is draining, or that is gone from the catalog, is never
// chosen.
package placement

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// firstEjection is how long an endpoint is left out after repeated failures; it
	// doubles with each further one up to maxEjection, about the time of a restart.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// suspectFor is how long after its ejection an endpoint that has not answered since is
	// still avoided, at suspectCost: it has the fewest requests of all, as none gets
	// through, and would be chosen first. It is tried once the others are crowded.
	suspectFor  = 8 * time.Second
	suspectCost = 1.0
	// doubtFor is how long an endpoint is avoided that a peer finds unreachable, unless it
	// answers this host: three of the peers' heartbeats.
	doubtFor = time.Second
	// maxNamed bounds the endpoints that a heartbeat names as unreachable, and as slow.
	maxNamed = 24
	// slowFactor is how many times the usual pace makes an endpoint slow.
	slowFactor = 1.6
	// failuresToEject is the number of failures in a row that eject an endpoint: one
	// alone may be the request's own.
	failuresToEject = 2
	// paceWeight is the share of a new measurement in an endpoint's pace.
	paceWeight = 0.3
	// otherZoneCost is added for an endpoint in another zone, in shares of a request.
	otherZoneCost = 0.05
	// refusedPause is how long an endpoint that refused a sample is left alone: it is
	// full or loads weights, which lasts some hundred milliseconds more.
	refusedPause = 250 * time.Millisecond
	// paceAge is how long a computed usual pace is used; paces change over seconds.
	paceAge = 50 * time.Millisecond
	// paceLife is how long an unusually slow pace is believed without a new measurement.
	paceLife = 6 * time.Second
)

// Failure says how an attempt at an endpoint ended.
type Failure int

// The ends of attempts.
const (
	// OK: the endpoint answered.
	OK Failure = iota
	// Refused: the endpoint did not run the request for lack of room.
	Refused
	// Broke: no connection, no answer or a broken one.
	Broke
	// Cancelled: this host gave the attempt up; it says nothing of the endpoint.
	Cancelled
)

type entry struct {
	endpoint catalog.Endpoint
	// key is the endpoint's short name, Key(endpoint.ID).
	key uint32
	own int
	// peers are the requests of other hosts, peerLoad their sum.
	peers    map[string]int
	peerLoad int
	// refusedUntil is the end of the pause after a refusal.
	refusedUntil time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
	// unreachable says that the last ejection was for certain.
	unreachable bool
	// doubtUntil is the end of a peer's doubt, answeredAt when the endpoint last answered.
	doubtUntil time.Time
	answeredAt time.Time
	// slowUntil is the end of a peer's finding that the endpoint is slow.
	slowUntil time.Time
	// pace is the time for one event of a stream, or for one answer; zero is unknown.
	pace    time.Duration
	pacedAt time.Time
	usedAt  time.Time
	// seen holds versions that the endpoint's own answers named, until the catalog changes.
	seen map[string]int
}

// Table is what a host knows of its endpoints. It is not safe for concurrent use.
type Table struct {
	zone    string
	entries map[string]*entry
	byKey   map[uint32]*entry
	// services lists the entries of each service in the order of their ids.
	services map[string][]*entry
	// paces are the services' usual paces as they were computed last.
	paces map[string]usualPace
	// loading holds the ends of the loads in progress, by LoadKey.
	loading map[uint32]time.Time
}

// NewTable returns an empty table for a host in zone.
func NewTable(zone string) *Table {
	return &Table{zone: zone, entries: map[string]*entry{}, byKey: map[uint32]*entry{}, loading: map[uint32]time.Time{},
		services: map[string][]*entry{}, paces: map[string]usualPace{}}
}

// usualPace is the median pace of a service's endpoints at a time, and how many
// requests of all hosts they had.
type usualPace struct {
	pace time.Duration
	// scale is how many requests of all hosts there are to one of this host, zero while
	// the service is not crowded.
	scale float64
	at    time.Time
}

// Key is the short name of an endpoint in the hosts' messages.
func Key(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// LoadKey is the short name of a model's weights at an endpoint.
func LoadKey(id, model string) uint32 { return Key(id + "\x00" + model) }

// SetLoading says that an endpoint loads weights until then, and starts no sample of
// the model meanwhile.
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

// Put adds an endpoint or replaces what is known of it. A new incarnation starts with
// a clean record.
func (t *Table) Put(e catalog.Endpoint) {
	old, ok := t.entries[e.ID]
	if ok && old.endpoint.Same(&e) {
		old.endpoint = e
		old.seen = nil
		return
	}
	t.Remove(e.ID)
	n := &entry{endpoint: e, key: Key(e.ID), peers: map[string]int{}}
	t.entries[e.ID] = n
	t.byKey[n.key] = n
	list := append(t.services[e.Service], n)
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	t.services[e.Service] = list
}

// Remove forgets an endpoint.
func (t *Table) Remove(id string) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	delete(t.entries, id)
	delete(t.byKey, e.key)
	service := e.endpoint.Service
	t.services[service] = slices.DeleteFunc(t.services[service], func(o *entry) bool { return o == e })
}

// Get returns an endpoint as it is known.
func (t *Table) Get(id string) (catalog.Endpoint, bool) {
	e, ok := t.entries[id]
	if !ok {
		return catalog.Endpoint{}, false
	}
	return e.endpoint, true
}

// All returns the endpoints in the order of their ids.
func (t *Table) All() []catalog.Endpoint {
	out := make([]catalog.Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.endpoint)
	}
	slices.SortFunc(out, func(a, b catalog.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Query says what an endpoint must offer.
type Query struct {
	Service string
	// Model and MinVersion, when Model is set, ask for weights of at least a version.
	Model      string
	MinVersion int
	// ExactVersion, when not zero, is the only version that will do.
	ExactVersion int
	// FreeSlot asks for an endpoint that has room at once.
	FreeSlot bool
	// Prefer is an endpoint to keep to unless it is much worse.
	Prefer string
	// Avoid lists endpoints that were tried before.
	Avoid []string
}

// preferBonus is how much worse, in shares of a request, a preferred endpoint may be.
const preferBonus = 0.6

// Pick returns the best endpoint for a query. random breaks ties, and chooses where to
// look among the endpoints of a large service.
func (t *Table) Pick(now time.Time, q Query, random uint64) (catalog.Endpoint, bool) {
	var best *entry
	bestCost := math.Inf(1)
	usual := t.usual(now, q.Service)
	scale := 0.0
	if q.Model == "" {
		scale = t.paces[q.Service].scale
	}
	consider := func(e *entry) bool {
		if !e.offers(&q) || q.FreeSlot && (now.Before(e.refusedUntil) || t.loads(now, e, q.Model)) {
			return false
		}
		cost := e.cost(now, t.zone, usual, scale, random)
		if q.Model != "" {
			cost += versionCost * float64(min(e.version(q.Model)-q.MinVersion, maxVersionSteps))
		}
		if e.endpoint.ID == q.Prefer {
			cost -= preferBonus
		}
		if now.Before(e.ejectedUntil) {
			// Chosen only when every other one is out too, the soonest back first.
			cost += ejectedCost + e.ejectedUntil.Sub(now).Seconds()
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
	for i, found := 0, 0; i < len(list) && found < enoughChoices; i++ {
		if consider(list[(random%uint64(len(list))+uint64(i))%uint64(len(list))]) {
			found++
		}
	}
	if best == nil || q.FreeSlot && bestCost >= ejectedCost {
		return catalog.Endpoint{}, false
	}
	return best.endpoint, true
}

// enoughChoices is the number of usable endpoints among which one is chosen: looking at
// more of a large service gains little and costs time for each sample.
const enoughChoices = 48

// crowdedShare is the share of a service's slots in use from which on peers' loads, which
// are known late, no longer decide: all hosts would choose the same endpoint until the
// next news. Each host then spreads its own requests, and takes the others to do so too.
const crowdedShare = 0.4

func (t *Table) loads(now time.Time, e *entry, model string) bool {
	if len(t.loading) == 0 {
		return false
	}
	return now.Before(t.loading[LoadKey(e.endpoint.ID, model)])
}

// ejectedCost is above any cost of an endpoint that is not left out.
const ejectedCost = 1000

func (e *entry) offers(q *Query) bool {
	ep := &e.endpoint
	if ep.Draining || slices.Contains(q.Avoid, ep.ID) {
		return false
	}
	if q.FreeSlot && e.load() >= ep.Slots {
		return false
	}
	if q.Model == "" {
		return true
	}
	v := e.version(q.Model)
	return v >= q.MinVersion && (q.ExactVersion == 0 || v == q.ExactVersion)
}

func (e *entry) version(model string) int {
	v, ok := e.endpoint.Versions[model]
	if !ok {
		return -1
	}
	if seen, ok := e.seen[model]; ok {
		return min(v, seen)
	}
	return v
}

func (e *entry) load() int { return e.own + e.peerLoad }

// cost is the endpoint's expected time relative to the service's usual pace.
// scale replaces the peers' load when it is not zero.
func (e *entry) cost(now time.Time, zone string, usual time.Duration, scale float64, random uint64) float64 {
	cost := 1.0
	if usual > 0 {
		cost = float64(e.paceAt(now, usual)) / float64(usual)
	}
	load := float64(e.load())
	if scale > 0 {
		load = scale * float64(e.own)
	}
	used := load / float64(max(e.endpoint.Slots, 1))
	if used >= 1 {
		cost *= 1 + used
	}
	cost += used * loadCost
	if zone != e.endpoint.Zone {
		cost += otherZoneCost
	}
	switch {
	case e.suspect(now), now.Before(e.doubtUntil) && now.Sub(e.answeredAt) > doubtFor,
		now.Before(e.slowUntil) && now.Sub(e.pacedAt) > doubtFor:
		cost += suspectCost
	case now.Sub(e.usedAt) < warmFor:
		cost -= warmBonus
	}
	spread := (uint64(e.key) ^ random) * 0x9e3779b97f4a7c15 >> 54
	return cost + float64(spread)/1024*tieCost
}

const (
	// loadCost is the cost of a full endpoint over an idle one.
	loadCost = 0.5
	// versionCost leaves endpoints with newer weights than needed to the steps that need
	// them, for each of up to maxVersionSteps versions.
	versionCost     = 0.3
	maxVersionSteps = 2
	// warmBonus prefers endpoints that this host has an open connection to, which it
	// keeps for warmFor after a request.
	warmBonus = 0.15
	warmFor   = 8 * time.Second
	// tieCost spreads the choices among endpoints that are equally good.
	tieCost = 0.04
)

// paceAt lets an old slow measurement fade, so that a recovered endpoint is tried again.
func (e *entry) paceAt(now time.Time, usual time.Duration) time.Duration {
	if e.pace == 0 {
		return usual
	}
	if e.pace > usual && now.Sub(e.pacedAt) > paceLife {
		return usual + (e.pace-usual)/4
	}
	return e.pace
}

// usual is the median pace of a service's endpoints, at most paceAge old.
func (t *Table) usual(now time.Time, service string) time.Duration {
	known, ok := t.paces[service]
	if ok && now.Sub(known.at) < paceAge && known.pace > 0 {
		return known.pace
	}
	var paces []time.Duration
	for _, e := range t.services[service] {
		if e.pace > 0 {
			paces = append(paces, e.pace)
		}
	}
	var pace time.Duration
	if len(paces) > 0 {
		slices.Sort(paces)
		pace = paces[(len(paces)-1)/2]
	}
	slots, own, peers := t.Room(now, service)
	known = usualPace{pace: pace, at: now}
	if float64(own+peers) > crowdedShare*float64(slots) {
		known.scale = float64(own+peers) / float64(max(own, 1))
	}
	t.paces[service] = known
	return pace
}

// Pace returns an endpoint's pace and the usual one of its service; zero is unknown.
func (t *Table) Pace(now time.Time, id string) (own, usual time.Duration) {
	e, ok := t.entries[id]
	if !ok {
		return 0, 0
	}
	usual = t.usual(now, e.endpoint.Service)
	return e.paceAt(now, usual), usual
}

// Begin counts a request sent to an endpoint.
func (t *Table) Begin(now time.Time, id string) {
	if e, ok := t.entries[id]; ok {
		e.own++
		e.usedAt = now
	}
}

// End counts its end. A request that outlived its endpoint's entry is not counted.
func (t *Table) End(now time.Time, id string, f Failure) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	e.own = max(e.own-1, 0)
	switch f {
	case OK:
		e.failures, e.ejections, e.unreachable = 0, 0, false
		e.ejectedUntil, e.answeredAt = time.Time{}, now
	case Refused:
		e.refusedUntil = now.Add(refusedPause)
	case Broke:
		e.failures++
		if e.failures >= failuresToEject {
			e.ejectedUntil = now.Add(min(firstEjection<<min(e.ejections, 8), maxEjection))
			e.ejections++
		}
	}
}

// Measured takes an endpoint's time for one event or answer.
func (t *Table) Measured(now time.Time, id string, d time.Duration) {
	e, ok := t.entries[id]
	if !ok || d <= 0 {
		return
	}
	if e.pace == 0 {
		e.pace = d
	} else {
		e.pace = time.Duration((1-paceWeight)*float64(e.pace) + paceWeight*float64(d))
	}
	e.pacedAt, e.answeredAt = now, now
}

// SeenVersion records a version that an endpoint's own answer named.
func (t *Table) SeenVersion(id, model string, version int) {
	e, ok := t.entries[id]
	if !ok {
		return
	}
	if e.seen == nil {
		e.seen = map[string]int{}
	}
	e.seen[model] = version
}

// Own returns how many requests this host has at each endpoint, by Key.
func (t *Table) Own() map[uint32]uint16 {
	out := map[uint32]uint16{}
	for id, e := range t.entries {
		if e.own > 0 {
			out[Key(id)] = uint16(min(e.own, math.MaxUint16))
		}
	}
	return out
}

// SetPeer replaces what a peer says it has at the endpoints; nil forgets the peer.
func (t *Table) SetPeer(host string, loads map[uint32]uint16) {
	for k, e := range t.byKey {
		n := int(loads[k])
		e.peerLoad += n - e.peers[host]
		if n > 0 {
			e.peers[host] = n
		} else {
			delete(e.peers, host)
		}
	}
}

// Room returns the slots of a service's endpoints that may get work, and how many of them
// this host's requests and its peers' take.
func (t *Table) Room(now time.Time, service string) (slots, own, peers int) {
	for _, e := range t.services[service] {
		if e.endpoint.Draining || now.Before(e.ejectedUntil) {
			continue
		}
		slots += e.endpoint.Slots
		own += min(e.own, e.endpoint.Slots)
		peers += min(e.peerLoad, e.endpoint.Slots)
	}
	return slots, own, peers
}

// Running returns the requests of all hosts at an endpoint.
func (t *Table) Running(id string) int {
	if e, ok := t.entries[id]; ok {
		return e.load()
	}
	return 0
}
