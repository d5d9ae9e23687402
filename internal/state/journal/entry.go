package journal

import "oleanderfall.example/oleanderfall/internal/state/model"

const (
	// Slots is the number of objects that hold a shard's newest entries: entry n
	// lies in slot n mod Slots, over entry n-Slots.
	Slots = 256
	// SegmentEntries is the number of entries folded into one segment.
	SegmentEntries = 64
	// MaxInlineAnswer is the largest answer kept with its claim, in bytes.
	MaxInlineAnswer = 4 << 10
)

// Key is the hash of an idempotency key with its caller and service.
type Key [16]byte

// Attempt identifies one sending of a request at one entry host.
type Attempt [16]byte

// Holder is the entry program that sent an attempt and alone may dispatch it.
type Holder struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Address     string            `cbor:"2,keyasint"`
	Incarnation model.Incarnation `cbor:"3,keyasint"`
}

// State is the state of a claim.
type State uint8

// The states. Free is the state of a key without a claim.
const (
	Free State = iota
	// Running: claimed and not settled; it may have been dispatched.
	Running
	// Ran: it ran and was answered.
	Ran
	// Unknown: it was dispatched and its end is not known.
	Unknown
)

// Op is one operation on a key. With State Running it claims the key for Attempt;
// with Ran or Unknown it settles that attempt; with Free it gives the key free if
// that attempt still holds it unsettled.
type Op struct {
	State   State   `cbor:"1,keyasint"`
	Key     Key     `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	// Digest is the content's; Holder is there while Running and where Held.
	Digest uint64  `cbor:"4,keyasint,omitempty"`
	Holder *Holder `cbor:"5,keyasint,omitempty"`
	// Status and Body are a Ran request's answer; Held says that it is not here
	// but with the holder.
	Status int    `cbor:"6,keyasint,omitempty"`
	Body   []byte `cbor:"7,keyasint,omitempty"`
	Held   bool   `cbor:"8,keyasint,omitempty"`
	// Seq and AtMillis are the number and the time of the entry; entries leave
	// them out, segments and carried claims state them.
	Seq      uint64 `cbor:"9,keyasint,omitempty"`
	AtMillis int64  `cbor:"10,keyasint,omitempty"`
	// HasBody says in segments that the answer has a body, kept apart.
	HasBody bool `cbor:"11,keyasint,omitempty"`
}

// Entry is one group commit.
type Entry struct {
	Seq   uint64      `cbor:"1,keyasint"`
	Epoch model.Epoch `cbor:"2,keyasint"`
	// Writer is drawn anew for each ownership, to know one's own entry again.
	Writer   uint64 `cbor:"3,keyasint"`
	AtMillis int64  `cbor:"4,keyasint"`
	Ops      []Op   `cbor:"5,keyasint"`
}

// Slot returns the slot of entry seq.
func Slot(seq uint64) int { return int(seq % Slots) }

// SegmentOf returns the number of the segment that entry seq belongs to. Entries
// are numbered from 1.
func SegmentOf(seq uint64) uint64 { return (seq - 1) / SegmentEntries }

// SegmentLast returns the last entry of a segment.
func SegmentLast(number uint64) uint64 { return (number + 1) * SegmentEntries }
