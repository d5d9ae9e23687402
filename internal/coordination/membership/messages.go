package membership

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of message.
const (
	// Ping is a heartbeat; the receiver answers with an Ack.
	Ping MessageKind = iota + 1
	Ack
	// ProbeRequest asks the receiver to ping Target for the sender.
	ProbeRequest
	// ProbeAck says that Target answered the receiver's ProbeRequest.
	ProbeAck
	// News carries items and records only.
	News
)

// Message is the membership part of a datagram.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	// Nonce of a Ping sent for another host comes back in its Ack; 0 otherwise.
	Nonce uint64 `cbor:"2,keyasint,omitempty"`
	// Target is the host a probe is about, TargetAddress its control address.
	Target        model.HostID `cbor:"3,keyasint,omitempty"`
	TargetAddress string       `cbor:"4,keyasint,omitempty"`
}

// Sender is what a host says of itself in every datagram and exchange.
type Sender struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Zone        model.ZoneID      `cbor:"2,keyasint,omitempty"`
	Control     string            `cbor:"3,keyasint"`
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	Revision    uint64            `cbor:"5,keyasint,omitempty"`
	Leaving     bool              `cbor:"6,keyasint,omitempty"`
}

func (s Sender) record() members.Record {
	return members.Record{
		Host: s.Host, Zone: s.Zone, Control: s.Control,
		Incarnation: s.Incarnation, Revision: s.Revision, Leaving: s.Leaving,
	}
}

// Send is a message to one host.
type Send struct {
	To      model.HostID
	Address string
	Message Message
	// Tell is a record the receiver must see with this message.
	Tell []members.Record
}

// Output is what the machine wants done.
type Output struct {
	Sends []Send
	// News are records that changed here and are to be spread.
	News []members.Record
	// Contact is an address to exchange tables with, empty for none.
	Contact string
	// Drop lists addresses whose connections are of no use any more.
	Drop []string
}

func (o *Output) add(other Output) {
	o.Sends = append(o.Sends, other.Sends...)
	o.News = append(o.News, other.News...)
	o.Drop = append(o.Drop, other.Drop...)
	if other.Contact != "" {
		o.Contact = other.Contact
	}
}

// Options sets the machine's times, all derived from the heartbeat.
type Options struct {
	Self members.Record
	// Heartbeat is the interval between heartbeats to a peer.
	Heartbeat time.Duration
	// Random yields uniform numbers; it is the machine's only source of chance.
	Random func() uint64
}

// The times of failure detection, in heartbeats.
const (
	silenceHeartbeats   = 3
	probeHeartbeats     = 2
	suspicionHeartbeats = 5
	contactHeartbeats   = 10
	maxContactBackoff   = 6
	// pauseHeartbeats without a Tick mean that this process was paused, and that the
	// silence of the others proves nothing.
	pauseHeartbeats = 2
	indirectProbes  = 3
)

// ForgetAfter is how long the record of a dead host is kept.
const ForgetAfter = time.Hour
