// Package presence judges which hosts of the system are alive from the heartbeats
// that they send each other.
//
// Invariant: a host is alive for silenceLimit after its last heartbeat of its newest
// incarnation, and a heartbeat of an older incarnation changes nothing. The judgement
// decides only who acts next; what must be agreed is agreed by conditional updates.
package presence

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// Interval is the pause between two heartbeats to a peer.
	Interval = 300 * time.Millisecond
	// silenceLimit is how long a host may be silent: four lost heartbeats.
	silenceLimit = 4*Interval + Interval/2
	// forgetAfter is how long a silent host is still sent heartbeats, so that two
	// sides of a cut find each other again.
	forgetAfter = 2 * time.Minute
)

// Heartbeat is what a host tells its peers.
type Heartbeat struct {
	Host string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Incarnation grows with each start of the host's process.
	Incarnation int64  `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"`
	// PeerAddress takes heartbeats and calls of hosts, CallerAddress those of callers.
	PeerAddress   string `cbor:"5,keyasint"`
	CallerAddress string `cbor:"6,keyasint"`
	Ready         bool   `cbor:"7,keyasint"`
	Draining      bool   `cbor:"8,keyasint"`
	// StoreReachable says that the platform's store answers this host.
	StoreReachable bool `cbor:"9,keyasint"`
	// Generation is that of the configuration in force.
	Generation uint64 `cbor:"10,keyasint"`
	// FencingToken is that of the weights lease when this host holds it, else zero.
	FencingToken uint64 `cbor:"11,keyasint"`
	// Loads are the requests at each endpoint, by placement.Key.
	Loads map[uint32]uint16 `cbor:"12,keyasint"`
	// Batches are the open batches that the host runs.
	Batches []string `cbor:"13,keyasint"`
	// EndpointsDigest tells what the host knows of the endpoints. EndpointsAgeMs and
	// ConfigAgeMs are how long ago that and the configuration were read from the store,
	// in milliseconds; negative is never.
	EndpointsDigest uint64 `cbor:"15,keyasint"`
	EndpointsAgeMs  int64  `cbor:"16,keyasint"`
	ConfigAgeMs     int64  `cbor:"17,keyasint"`
	// LoadingMs says how much longer engines load weights, in milliseconds, by
	// placement.LoadKey.
	LoadingMs map[uint32]uint16 `cbor:"19,keyasint,omitempty"`
	// Quarantine lists requests that crashed endpoints.
	Quarantine []Suspicion `cbor:"20,keyasint,omitempty"`
	// Unreachable are endpoints that do not answer the sender, Slow those that it finds
	// much slower than others, by placement.Key.
	Unreachable []uint32 `cbor:"21,keyasint,omitempty"`
	Slow        []uint32 `cbor:"22,keyasint,omitempty"`
	// Peers are the addresses of the hosts that the sender knows; only greetings
	// have them.
	Peers []string `cbor:"18,keyasint,omitempty"`
	// Hello asks the receiver for a heartbeat at once.
	Hello bool `cbor:"14,keyasint,omitempty"`
}

// Suspicion tells of a request that crashed endpoints.
type Suspicion struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Crashes     int    `cbor:"2,keyasint"`
	// RemainingMs is how long the suspicion lasts, in milliseconds.
	RemainingMs int64 `cbor:"3,keyasint"`
}

// Peer is a host as last heard.
type Peer struct {
	Heartbeat
	Heard time.Time
}

// Table holds the peers. It is not safe for concurrent use.
type Table struct {
	self  string
	peers map[string]*Peer
}

// NewTable returns the table of host self, which is not in it.
func NewTable(self string) *Table { return &Table{self: self, peers: map[string]*Peer{}} }

// Receive takes a heartbeat and reports whether it is news and whether the host was
// unknown or silent before.
func (t *Table) Receive(now time.Time, h Heartbeat) (accepted, appeared bool) {
	if h.Host == "" || h.Host == t.self {
		return false, false
	}
	old, known := t.peers[h.Host]
	if known {
		stale := h.Incarnation < old.Incarnation ||
			h.Incarnation == old.Incarnation && h.Sequence <= old.Sequence
		if stale {
			return false, false
		}
	}
	appeared = !known || !t.alive(now, old) || old.Incarnation != h.Incarnation
	t.peers[h.Host] = &Peer{Heartbeat: h, Heard: now}
	return true, appeared
}

func (t *Table) alive(now time.Time, p *Peer) bool { return now.Sub(p.Heard) < silenceLimit }

// Alive reports whether a host is alive.
func (t *Table) Alive(now time.Time, host string) bool {
	p, ok := t.peers[host]
	return ok && t.alive(now, p)
}

// Get returns a host that is alive.
func (t *Table) Get(now time.Time, host string) (Peer, bool) {
	p, ok := t.peers[host]
	if !ok || !t.alive(now, p) {
		return Peer{}, false
	}
	return *p, true
}

// Peers returns the hosts that are alive, by name.
func (t *Table) Peers(now time.Time) []Peer {
	var out []Peer
	for _, p := range t.peers {
		if t.alive(now, p) {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Addresses returns where heartbeats go, and forgets hosts that are silent for long.
func (t *Table) Addresses(now time.Time) []string {
	var out []string
	for name, p := range t.peers {
		if now.Sub(p.Heard) > forgetAfter {
			delete(t.peers, name)
			continue
		}
		out = append(out, p.PeerAddress)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Silent returns the known hosts that are not alive.
func (t *Table) Silent(now time.Time) []Peer {
	var out []Peer
	for _, p := range t.peers {
		if !t.alive(now, p) {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Successor returns the host that takes over the duty named subject: all hosts that
// see the same candidates name the same one. Hosts that reach the store come first,
// and draining ones are left out.
func Successor(subject string, candidates []Heartbeat) string {
	order := Order(subject, candidates)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// Order returns the hosts in the order in which the duty named subject falls to them.
func Order(subject string, candidates []Heartbeat) []string {
	weight := map[string]uint64{}
	var out []string
	for _, c := range candidates {
		if c.Draining || !c.Ready {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(subject + "\x00" + c.Host))
		w := h.Sum64() >> 1
		if c.StoreReachable {
			w |= 1 << 63
		}
		weight[c.Host] = w
		out = append(out, c.Host)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(weight[b], weight[a]), cmp.Compare(a, b)) })
	return out
}
