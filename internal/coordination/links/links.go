// Package links decides whether a host has lost its links to all endpoints, and through which of
// its peers its requests reach them meanwhile.
//
// A connection that fails is no evidence by itself, since its endpoint may have crashed. The host
// therefore tries to connect to a few other endpoints when a connection fails, and when none of its
// requests has been answered for a while: requests on connections that were open before the loss get
// no answer and no error. If no endpoint accepts, the host is cut off. It then tries again at
// intervals, and uses its own links again after the first connection.
//
// The decisions answer the load of a fleet in which many hosts lose their links at the same moment.
// Each sends its requests through several of the others, in proportion to their capacity.
//
// Invariant: a host does not count as cut off if a check that began after the failure in question
// reached an endpoint.
package links

import (
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

const (
	// silenceBeforeCheck is how long this host's requests may all remain without an answer before
	// the links are checked. Most answers and events take less.
	silenceBeforeCheck = 250 * time.Millisecond
	// silenceCheckInterval is the minimum interval between two checks because of silence.
	silenceCheckInterval = time.Second
	// recentCheck is how long before a broken connection a check may have begun that covers it.
	recentCheck = 300 * time.Millisecond
	// ProbeInterval is the interval between two checks while the host is cut off.
	ProbeInterval = 500 * time.Millisecond
	// maxCheckTargets is the number of endpoints that one check tries to connect to.
	maxCheckTargets = 3
)

// Monitor holds what a host knows of its links. It is not safe for concurrent use.
type Monitor struct {
	cutOff bool
	// reachedAt is when the last check that reached an endpoint began, checkedAt when any did.
	reachedAt time.Time
	checkedAt time.Time
	// running is the number of requests on the host's own links, progressAt when one of them was
	// last answered or, if that is later, when the first of them began.
	running    int
	progressAt time.Time
}

// CutOff reports whether the host has lost its links to all endpoints.
func (m *Monitor) CutOff() bool { return m.cutOff }

// Begin records the start of a request on the host's own links, End its end.
func (m *Monitor) Begin(now time.Time) {
	if m.running == 0 {
		m.progressAt = now
	}
	m.running++
}

// End records the end of a request.
func (m *Monitor) End() { m.running-- }

// Progress records an answer or an event of a running request.
func (m *Monitor) Progress(now time.Time) { m.progressAt = now }

// FailedConnectionNeedsCheck reports whether a check is needed after no connection was made for a
// request that began at the given time.
func (m *Monitor) FailedConnectionNeedsCheck(began time.Time) bool {
	return !m.cutOff && !m.reachedAt.After(began)
}

// BrokenConnectionNeedsCheck reports whether a check is needed after a connection has broken.
func (m *Monitor) BrokenConnectionNeedsCheck(now time.Time) bool {
	return m.FailedConnectionNeedsCheck(now.Add(-recentCheck))
}

// NextSilenceCheck returns when the links are to be checked unless a request is answered before. ok
// is false while no request is running or the host is cut off.
func (m *Monitor) NextSilenceCheck() (at time.Time, ok bool) {
	if m.running == 0 || m.cutOff {
		return time.Time{}, false
	}
	at = m.progressAt.Add(silenceBeforeCheck)
	if earliest := m.checkedAt.Add(silenceCheckInterval); at.Before(earliest) {
		at = earliest
	}
	return at, true
}

// RecordCheck records whether a check that began at the given time reached an endpoint. It reports
// whether the host became cut off or ceased to be so.
func (m *Monitor) RecordCheck(began time.Time, reached bool) (changed bool) {
	m.checkedAt = began
	if reached {
		m.reachedAt = began
	}
	changed = m.cutOff == reached
	m.cutOff = !reached
	return changed
}

// CheckTargets returns the endpoints that a check tries to connect to: a few in random order, in
// different availability zones as far as possible. shuffle is rand.Shuffle or the like.
func CheckTargets(endpoints []catalog.Endpoint, shuffle func(n int, swap func(i, j int))) []catalog.Endpoint {
	candidates := slices.DeleteFunc(slices.Clone(endpoints), func(e catalog.Endpoint) bool { return e.Draining })
	shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	zones := map[string]int{}
	rank := make(map[string]int, len(candidates))
	for i := range candidates {
		rank[candidates[i].ID] = zones[candidates[i].Zone]
		zones[candidates[i].Zone]++
	}
	slices.SortStableFunc(candidates, func(a, b catalog.Endpoint) int { return rank[a.ID] - rank[b.ID] })
	return candidates[:min(len(candidates), maxCheckTargets)]
}

// Relay is a host with links to the endpoints, as a candidate to send a request through.
type Relay struct {
	Host string
	// Near is set if the host is in the availability zone of this host or of the endpoint, so that
	// the detour crosses no further zone.
	Near bool
	// Requests is the number of this host's requests that run through the relay, Capacity the
	// relay's share of processor time in cores; zero is unknown.
	Requests int
	Capacity float64
}

// minNearRelays is the number of near relays from which the others are not used. A single one would
// have to carry the requests of a whole zone.
const minNearRelays = 2

// PickRelay returns the relay to send a request through, and false if there is none: the less
// loaded of two random ones, so that hosts that are cut off at the same moment do not all choose the
// same. random returns a number in [0, n).
func PickRelay(relays []Relay, random func(n int) int) (Relay, bool) {
	near := slices.DeleteFunc(slices.Clone(relays), func(r Relay) bool { return !r.Near })
	if len(near) >= minNearRelays {
		relays = near
	}
	if len(relays) == 0 {
		return Relay{}, false
	}
	a, b := relays[random(len(relays))], relays[random(len(relays))]
	if b.load() < a.load() {
		return b, true
	}
	return a, true
}

// load is the relay's load after one more request, relative to its capacity.
func (r *Relay) load() float64 {
	capacity := r.Capacity
	if capacity <= 0 {
		capacity = 1
	}
	return float64(r.Requests+1) / capacity
}
