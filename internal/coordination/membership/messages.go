package membership

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// MessageKind is the type of a protocol message.
type MessageKind uint8

// The message kinds.
const (
	// Ping is a heartbeat; the receiver replies with an Ack.
	Ping MessageKind = iota + 1
	Ack
	// ProbeRequest asks the receiver to ping Target on behalf of the sender.
	ProbeRequest
	// ProbeAck reports that Target replied to a ping sent for the receiver's
	// ProbeRequest.
	ProbeAck
	// UpdatesOnly marks a datagram that carries only items and records, no protocol message.
	UpdatesOnly
)

// Message is the membership part of a datagram.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	// Nonce identifies a Ping sent on behalf of another host and is echoed in the Ack;
	// 0 in all other messages.
	Nonce uint64 `cbor:"2,keyasint,omitempty"`
	// Target is the probed host, TargetAddress its control address.
	Target        model.HostID `cbor:"3,keyasint,omitempty"`
	TargetAddress string       `cbor:"4,keyasint,omitempty"`
}

// Sender is a host's description of itself in every datagram and exchange.
type Sender struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Zone        model.ZoneID      `cbor:"2,keyasint,omitempty"`
	Control     string            `cbor:"3,keyasint"`
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	Revision    uint64            `cbor:"5,keyasint,omitempty"`
	Leaving     bool              `cbor:"6,keyasint,omitempty"`
	// EntryNotReady is the field of members.Record.
	EntryNotReady bool `cbor:"7,keyasint,omitempty"`
}

// record returns the sender's description as the record of an alive host.
func (s Sender) record() members.Record {
	return members.Record{
		Host: s.Host, Zone: s.Zone, Control: s.Control,
		Incarnation: s.Incarnation, Revision: s.Revision, Leaving: s.Leaving, EntryNotReady: s.EntryNotReady,
	}
}

// Send is a message to one host.
type Send struct {
	To      model.HostID
	Address string
	Message Message
	// Payload holds records that must travel with this message regardless of the
	// dissemination queue.
	Payload []members.Record
}

// Output lists the actions that the caller has to carry out.
type Output struct {
	Sends []Send
	// Updates holds the records that changed here and have to be disseminated.
	Updates []members.Record
	// Contact is a control address to exchange tables with; empty if there is none.
	Contact string
	// Drop lists addresses whose connections are no longer needed.
	Drop []string
}

func (o *Output) add(other Output) {
	o.Sends = append(o.Sends, other.Sends...)
	o.Updates = append(o.Updates, other.Updates...)
	o.Drop = append(o.Drop, other.Drop...)
	if other.Contact != "" {
		o.Contact = other.Contact
	}
}

// Options configures a Machine. Its failure-detection timeouts are multiples of Heartbeat.
type Options struct {
	Self members.Record
	// Heartbeat is the interval between pings to a peer.
	Heartbeat time.Duration
	// Random returns uniformly distributed numbers. It is the machine's only source of
	// randomness, so a seeded source makes runs reproducible.
	Random func() uint64
}

// The limits of the failure detector. The names that end in Heartbeats are numbers of
// heartbeat intervals.
const (
	// silenceHeartbeats is the time without a message after which a peer is probed
	// indirectly, and after which a host no longer counts as monitoring this one.
	silenceHeartbeats = 3
	// probeHeartbeats is the timeout of an indirect probe.
	probeHeartbeats = 2
	// suspicionHeartbeats is the time that a suspect has to refute the suspicion.
	suspicionHeartbeats = 5
	// contactHeartbeats is the contact interval of a small fleet.
	contactHeartbeats = 10
	// maxContactBackoff is the limit on doublings of the contact interval.
	maxContactBackoff = 6
	// pauseHeartbeats is the gap between two calls of Tick from which this process counts as
	// paused. Messages may have gone unread during the gap, so silence of the peers is
	// no evidence of a failure.
	pauseHeartbeats = 2
	// indirectProbes is the maximum number of hosts that are asked to probe a peer.
	indirectProbes = 3
)

// DeadRetention is how long the record of a dead host is kept, so that a partition of
// up to this length can heal through the addresses of the dead hosts.
const DeadRetention = time.Hour
