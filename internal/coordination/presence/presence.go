// Package presence determines which hosts are alive and distributes their state. The
// program oleanderfall uses it; the program oleander-control uses package membership
// instead.
//
// In a fleet of up to FullMeshHosts hosts, every host sends a heartbeat to every other one.
// In a larger fleet this would cost each host messages in proportion to the number of
// hosts, and small hosts would spend their processor time on them. There, a few hosts of
// each availability zone are hubs. Every other host sends its heartbeats to two hubs of its
// zone only. Hubs send heartbeats to all hubs, which carry the ages of the last heartbeats
// of their hosts, changed records and the sum of the loads. Each hub sends its hosts a
// summary of the fleet: the total loads, the changed records and a hash of the roster. A
// host whose roster has another hash fetches the roster from its hub. Hosts select hubs by
// rendezvous hashing over the live hosts, so a lost hub is replaced without an election; a
// host that receives heartbeats as a hub acts as one, whatever its own view says.
//
// Invariant: a host counts as alive until silenceTimeout after the last heartbeat of its
// newest incarnation reached it or one of its hubs, and heartbeats of older incarnations are
// ignored. The result only selects which host acts next; decisions that need agreement are
// made by conditional updates in the store.
package presence

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/permits"
	"oleanderfall.example/oleanderfall/internal/coordination/prompts"
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
	// rosterRetention is how long a host that no hub answers keeps the roster of its last
	// hub in force. It passes after four hubs in a row were tried.
	rosterRetention = 5 * time.Second
	// changeRetention is how long a change of a record is repeated in heartbeats.
	changeRetention = 4 * Interval
	// pauseThreshold is the time between two calls of Tick from which this process counts
	// as paused. The silence of the peers is then no evidence of a failure.
	pauseThreshold = 3 * Interval
	// protocolHubs is the Protocol of builds that send heartbeats through hubs.
	protocolHubs = 1
)

// Member is the part of a host's state that all hosts know.
type Member struct {
	Host string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Incarnation is higher for every start of the host's process: the wall time, or more if another
	// host has a record of a higher one. Revision is higher for
	// every change of the other fields within an incarnation.
	Incarnation int64  `cbor:"3,keyasint"`
	Revision    uint64 `cbor:"23,keyasint,omitempty"`
	// PeerAddress receives heartbeats and calls from other hosts, CallerAddress receives
	// calls from callers.
	PeerAddress   string `cbor:"5,keyasint"`
	CallerAddress string `cbor:"6,keyasint"`
	Ready         bool   `cbor:"7,keyasint"`
	Draining      bool   `cbor:"8,keyasint"`
	// StoreReachable reports whether the platform's store responds to the host.
	StoreReachable bool `cbor:"9,keyasint"`
	// FencingToken is the token of the weights lease if the host holds it, else 0.
	FencingToken uint64 `cbor:"11,keyasint"`
	// Capacity is the host's share of processor time, in cores; zero is unknown.
	Capacity float32 `cbor:"24,keyasint,omitempty"`
	// CutOff reports that the host has lost its links to all endpoints; see package links.
	CutOff bool `cbor:"37,keyasint,omitempty"`
	// DutiesToken is the token of the duties lease if the host holds it, else 0.
	DutiesToken uint64 `cbor:"48,keyasint,omitempty"`
	// Duties says whether the host may hold the duties lease.
	Duties DutiesState `cbor:"49,keyasint,omitempty"`
	// Protocol is protocolHubs, or zero for builds that send heartbeats to every host and
	// must receive them from every host.
	Protocol int `cbor:"25,keyasint,omitempty"`
}

// DutiesState says whether a host may hold the duties lease.
type DutiesState uint8

// The states. Builds that do not know the duties report DutiesUnknown.
const (
	DutiesUnknown DutiesState = iota
	// DutiesImpaired hosts hold the lease only if there are no DutiesAble ones: the operator's API
	// did not answer them.
	DutiesImpaired
	DutiesAble
)

// newer reports whether m replaces the older record o of the same host.
func (m *Member) newer(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Revision > o.Revision
}

// hostKey returns the key that stands for a host in relayed messages.
func hostKey(host string) uint64 { return xxhash.Sum64String(host) }

// hash returns a hash of the record's identity: host, incarnation and revision.
func (m *Member) hash() uint64 {
	const mix1, mix2 = 0x9e3779b97f4a7c15, 0xc2b2ae3d27d4eb4f
	h := hostKey(m.Host) ^ uint64(m.Incarnation)*mix1 ^ (m.Revision+1)*mix2
	return h ^ h>>29*mix1
}

// Heartbeat is the state that a host periodically sends to its peers.
type Heartbeat struct {
	Member
	// Sequence counts the heartbeats of one incarnation.
	Sequence uint64 `cbor:"4,keyasint"`
	// Generation is the generation of the configuration in use.
	Generation uint64 `cbor:"10,keyasint"`
	// Loads is the number of requests at each endpoint, by placement.EndpointKey: those of
	// the sender, in a heartbeat between hubs also those of the hosts of which the sender is
	// the primary hub, and in a summary those of all hosts.
	Loads map[uint32]uint16 `cbor:"12,keyasint"`
	// Batches lists the open batches that the sender owns.
	Batches []string `cbor:"13,keyasint"`
	// EndpointsDigest is a digest of the endpoint list known to the sender.
	// EndpointsAgeMs and ConfigAgeMs are how long ago the endpoint list and the
	// configuration were read from the store, in milliseconds; negative means never. EndpointsRead names the read of the
	// list; older builds do not send it.
	EndpointsDigest uint64 `cbor:"15,keyasint"`
	EndpointsAgeMs  int64  `cbor:"16,keyasint"`
	ConfigAgeMs     int64  `cbor:"17,keyasint"`
	EndpointsRead   uint16 `cbor:"55,keyasint,omitempty"`
	// EndpointsExactAge and ConfigExactAge are the same for reads that were not stale, which alone show how old the
	// sender's state may be. EndpointsExactRead and ConfigExactRead name these reads; see storereads.Reads. Older builds
	// do not send them.
	EndpointsExactAge  ExactAge `cbor:"52,keyasint,omitempty"`
	ConfigExactAge     ExactAge `cbor:"51,keyasint,omitempty"`
	EndpointsExactRead uint16   `cbor:"53,keyasint,omitempty"`
	ConfigExactRead    uint16   `cbor:"54,keyasint,omitempty"`
	// LoadingMs is the remaining time for which engines load weights, in milliseconds, by
	// placement.WeightsKey.
	LoadingMs map[uint32]uint16 `cbor:"19,keyasint,omitempty"`
	// Quarantine lists requests suspected of crashing endpoints.
	Quarantine []QuarantinedRequest `cbor:"20,keyasint,omitempty"`
	// Unreachable lists endpoints that do not respond to the sender, Slow those that are
	// much slower for it than the others, by placement.EndpointKey.
	Unreachable []uint32 `cbor:"21,keyasint,omitempty"`
	Slow        []uint32 `cbor:"22,keyasint,omitempty"`
	// Leaving lists the endpoints whose answers said that they are leaving, by
	// placement.InstanceKey.
	Leaving []uint32 `cbor:"34,keyasint,omitempty"`
	// Limits lists the request limits of endpoints that the sender knows.
	Limits []permits.LimitReport `cbor:"36,keyasint,omitempty"`
	// Unread lists the prompts that engines have not read yet and that take long to read, by
	// placement.EndpointKey, for the same requests as Loads.
	Unread map[uint32]prompts.Queue `cbor:"50,keyasint,omitempty"`
	// Work is the work in expected tokens that trainers recently submitted to the sender, by
	// upgrades.ModelKey.
	Work map[uint32]uint32 `cbor:"35,keyasint,omitempty"`
	// Peers lists the addresses of the hosts known to the sender. It is set only in
	// replies to hosts that are new or asked for a reply, in a small fleet.
	Peers []string `cbor:"18,keyasint,omitempty"`
	// ReplyRequested asks the receiver to reply with a heartbeat immediately.
	ReplyRequested bool `cbor:"14,keyasint,omitempty"`
	// Kind is the role in which the sender sends this heartbeat to the receiver.
	Kind Kind `cbor:"26,keyasint,omitempty"`
	// Primary is set in a heartbeat of KindToHub whose receiver is the sender's primary hub.
	Primary bool `cbor:"27,keyasint,omitempty"`
	// RosterHash and RosterSize describe the live hosts that the sender knows, including
	// itself: the sum of the hashes of their records, and their number.
	RosterHash uint64 `cbor:"28,keyasint,omitempty"`
	RosterSize int    `cbor:"29,keyasint,omitempty"`
	// RosterAgeMs is the age of the sender's knowledge of these hosts, in milliseconds: zero
	// at a hub, else the age of the last summary that it received.
	RosterAgeMs uint32 `cbor:"33,keyasint,omitempty"`
	// Relayed lists the hosts from which the sender, a hub, receives heartbeats.
	Relayed []RelayedHost `cbor:"30,keyasint,omitempty"`
	// Changed lists the records that changed within changeRetention: in a heartbeat between
	// hubs those of the sender's hosts, in a summary those of all hosts. In a direct heartbeat it has
	// the receiver's own record if that is of a higher incarnation than the receiver's. Left lists the keys
	// of hosts that are no longer alive; it is set in summaries only.
	Changed []Member `cbor:"31,keyasint,omitempty"`
	Left    []uint64 `cbor:"32,keyasint,omitempty"`
}

// ExactAge is the time since a read of the store that was not stale, in milliseconds plus one. Zero is unknown.
type ExactAge uint32

// NewExactAge returns the value for an age, rounded down: of several reports of a read the highest age counts, and it must
// not be above the true one.
func NewExactAge(age time.Duration) ExactAge {
	return ExactAge(min(max(age, 0), time.Hour)/time.Millisecond) + 1
}

// Age returns the age. ok is false if it is unknown.
func (a ExactAge) Age() (age time.Duration, ok bool) {
	if a == 0 {
		return 0, false
	}
	return time.Duration(a-1) * time.Millisecond, true
}

// Plus returns the value for an age that is higher by d, or unknown.
func (a ExactAge) Plus(d time.Duration) ExactAge {
	if a == 0 {
		return 0
	}
	return a + ExactAge(d/time.Millisecond)
}

// Kind is the role in which a heartbeat is sent.
type Kind uint8

// The kinds of heartbeats.
const (
	// KindDirect is sent to seeds, to silent hosts, in replies, and to hosts whose build does
	// not know hubs.
	KindDirect Kind = iota
	// KindToHub is sent to a hub, which sends summaries in return.
	KindToHub
	// KindBetweenHubs is sent by a hub to the other hubs.
	KindBetweenHubs
	// KindSummary is sent by a hub to the hosts that send it KindToHub.
	KindSummary
)

// RelayedHost is a host from which a hub receives heartbeats.
type RelayedHost struct {
	_ struct{} `cbor:",toarray"`
	// Key is the host's key, AgeMs the time since its last heartbeat in milliseconds, and
	// Record the lower half of the hash of its record.
	Key    uint64
	AgeMs  uint16
	Record uint32
}

// QuarantinedRequest describes a request that is suspected of crashing endpoints.
type QuarantinedRequest struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Crashes is the number of crashes attributed to the request.
	Crashes int `cbor:"2,keyasint"`
	// Consecutive is the number of crashes in attempts of any hosts that began one after another.
	Consecutive int `cbor:"4,keyasint,omitempty"`
	// RemainingMs is the time until the quarantine ends, in milliseconds.
	RemainingMs int64 `cbor:"3,keyasint"`
}

// RosterEntry is a live host in the answer to a request for the roster.
type RosterEntry struct {
	Member Member `cbor:"1,keyasint"`
	// AgeMs is the time since the last sign of life of the host, in milliseconds. If Reported
	// is set, the sender has only the report of its hub, and AgeMs is the age of that.
	AgeMs    int64 `cbor:"2,keyasint"`
	Reported bool  `cbor:"3,keyasint,omitempty"`
}
