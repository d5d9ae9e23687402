// Package presence determines which hosts are alive from the heartbeats that the hosts
// send each other. The program oleanderfall uses it; the program oleander-control uses package
// membership instead.
//
// Invariant: a host counts as alive until silenceTimeout after the last heartbeat of its
// newest incarnation, and heartbeats of older incarnations are ignored. The result only
// selects which host acts next; decisions that need agreement are made by conditional
// updates in the store.
package presence

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// Interval is the interval between two heartbeats to a peer.
	Interval = 300 * time.Millisecond
	// silenceTimeout is how long a host counts as alive without a heartbeat. It passes
	// after the loss of four heartbeats in a row.
	silenceTimeout = 4*Interval + Interval/2
	// silentRetention is how long heartbeats are still sent to a silent host, so that the
	// sides of a network partition find each other once it heals.
	silentRetention = 2 * time.Minute
)

// Heartbeat is the state that a host periodically sends to its peers.
type Heartbeat struct {
	Host string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Incarnation is higher for every start of the host's process. Sequence counts the
	// heartbeats of one incarnation.
	Incarnation int64  `cbor:"3,keyasint"`
	Sequence    uint64 `cbor:"4,keyasint"`
	// PeerAddress receives heartbeats and calls from other hosts, CallerAddress receives
	// calls from callers.
	PeerAddress   string `cbor:"5,keyasint"`
	CallerAddress string `cbor:"6,keyasint"`
	Ready         bool   `cbor:"7,keyasint"`
	Draining      bool   `cbor:"8,keyasint"`
	// StoreReachable reports whether the platform's store responds to the sender.
	StoreReachable bool `cbor:"9,keyasint"`
	// Generation is the generation of the configuration in use.
	Generation uint64 `cbor:"10,keyasint"`
	// FencingToken is the token of the weights lease if the sender holds it, else 0.
	FencingToken uint64 `cbor:"11,keyasint"`
	// Loads is the number of the sender's requests at each endpoint, by placement.EndpointKey.
	Loads map[uint32]uint16 `cbor:"12,keyasint"`
	// Batches lists the open batches that the sender owns.
	Batches []string `cbor:"13,keyasint"`
	// EndpointsDigest is a digest of the endpoint list known to the sender.
	// EndpointsAgeMs and ConfigAgeMs are how long ago the endpoint list and the
	// configuration were read from the store, in milliseconds; negative means never.
	EndpointsDigest uint64 `cbor:"15,keyasint"`
	EndpointsAgeMs  int64  `cbor:"16,keyasint"`
	ConfigAgeMs     int64  `cbor:"17,keyasint"`
	// LoadingMs is the remaining time for which engines load weights, in milliseconds, by
	// placement.WeightsKey.
	LoadingMs map[uint32]uint16 `cbor:"19,keyasint,omitempty"`
	// Quarantine lists requests suspected of crashing endpoints.
	Quarantine []QuarantinedRequest `cbor:"20,keyasint,omitempty"`
	// Unreachable lists endpoints that do not respond to the sender, Slow those that are
	// much slower for it than the others, by placement.EndpointKey.
	Unreachable []uint32 `cbor:"21,keyasint,omitempty"`
	Slow        []uint32 `cbor:"22,keyasint,omitempty"`
	// Peers lists the addresses of the hosts known to the sender. It is set only in
	// replies to hosts that are new or asked for a reply.
	Peers []string `cbor:"18,keyasint,omitempty"`
	// ReplyRequested asks the receiver to reply with a heartbeat immediately.
	ReplyRequested bool `cbor:"14,keyasint,omitempty"`
}

// QuarantinedRequest describes a request that is suspected of crashing endpoints.
type QuarantinedRequest struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Crashes is the number of crashes attributed to the request.
	Crashes int `cbor:"2,keyasint"`
	// RemainingMs is the time until the quarantine ends, in milliseconds.
	RemainingMs int64 `cbor:"3,keyasint"`
}

// Peer is the last heartbeat received from a host and the time of its receipt.
type Peer struct {
	Heartbeat
	ReceivedAt time.Time
}

// Table holds the other hosts. It is not safe for concurrent use.
type Table struct {
	self  string
	peers map[string]*Peer
}

// NewTable returns an empty table for host self. The table never contains self.
func NewTable(self string) *Table { return &Table{self: self, peers: map[string]*Peer{}} }

// Receive processes a heartbeat. accepted is false for heartbeats of this host and for
// stale ones. appeared is true if the host was unknown, silent, or of another
// incarnation before.
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
	t.peers[h.Host] = &Peer{Heartbeat: h, ReceivedAt: now}
	return true, appeared
}

func (t *Table) alive(now time.Time, p *Peer) bool { return now.Sub(p.ReceivedAt) < silenceTimeout }

// Alive reports whether a host is known and alive at now.
func (t *Table) Alive(now time.Time, host string) bool {
	p, ok := t.peers[host]
	return ok && t.alive(now, p)
}

// Get returns a host if it is alive at now.
func (t *Table) Get(now time.Time, host string) (Peer, bool) {
	p, ok := t.peers[host]
	if !ok || !t.alive(now, p) {
		return Peer{}, false
	}
	return *p, true
}

// Peers returns the hosts that are alive at now, sorted by name.
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

// Addresses returns the sorted addresses to send heartbeats to. It first removes hosts
// that have been silent for longer than silentRetention.
func (t *Table) Addresses(now time.Time) []string {
	var out []string
	for name, p := range t.peers {
		if now.Sub(p.ReceivedAt) > silentRetention {
			delete(t.peers, name)
			continue
		}
		out = append(out, p.PeerAddress)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Silent returns the known hosts that are not alive at now, sorted by name.
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

// Successor returns the host that takes over the given task, or "" if there is none. It
// is the first host in SuccessionOrder, so all hosts that see the same candidates agree on it.
func Successor(task string, candidates []Heartbeat) string {
	order := SuccessionOrder(task, candidates)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// SuccessionOrder returns the hosts in the order in which they are to take over the given
// task, by rendezvous hash. Hosts that reach the store come first; draining hosts and hosts
// that are not ready are left out.
func SuccessionOrder(task string, candidates []Heartbeat) []string {
	score := map[string]uint64{}
	var out []string
	for _, c := range candidates {
		if c.Draining || !c.Ready {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(task + "\x00" + c.Host))
		// The highest bit ranks hosts that reach the store above all others.
		s := h.Sum64() >> 1
		if c.StoreReachable {
			s |= 1 << 63
		}
		score[c.Host] = s
		out = append(out, c.Host)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(score[b], score[a]), cmp.Compare(a, b)) })
	return out
}
