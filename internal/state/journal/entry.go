package journal

import "oleanderfall.example/oleanderfall/internal/state/model"

const (
	// Slots is the number of objects that store a shard's newest entries. Entry n is
	// written to slot n mod Slots and overwrites entry n-Slots.
	Slots = 256
	// SegmentEntries is the number of entries that are compacted into one segment.
	SegmentEntries = 64
	// MaxInlineAnswerBytes is the size of the largest answer stored with its claim, in bytes.
	MaxInlineAnswerBytes = 4 << 10
)

// Key is the hash of an idempotency key, its caller and its service.
type Key [16]byte

// Attempt identifies one attempt of a request at one entry host.
type Attempt [16]byte

// Holder is the entry program that made an attempt. Only the holder may dispatch it.
type Holder struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Address     string            `cbor:"2,keyasint"`
	Incarnation model.Incarnation `cbor:"3,keyasint"`
}

// State is the state of a claim.
type State uint8

// The claim states. Free is the state of a key without a claim.
const (
	Free State = iota
	// Running: claimed but not settled; the request may have been dispatched.
	Running
	// Ran: the request ran and was answered.
	Ran
	// Unknown: the request was dispatched and its outcome is not known.
	Unknown
)

// Op is one operation on a key. With State Running it claims the key for Attempt, with Ran or
// Unknown it settles that attempt, and with Free it releases the key if the attempt still
// has it claimed and unsettled.
type Op struct {
	State   State   `cbor:"1,keyasint"`
	Key     Key     `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
	// Digest is that of the request's content. Holder is set if State is Running or Held
	// is true.
	Digest uint64  `cbor:"4,keyasint,omitempty"`
	Holder *Holder `cbor:"5,keyasint,omitempty"`
	// Status, the HTTP status code, and Body are the answer of a Ran request. Held reports
	// that the answer is stored by the holder instead of in Body.
	Status int    `cbor:"6,keyasint,omitempty"`
	Body   []byte `cbor:"7,keyasint,omitempty"`
	Held   bool   `cbor:"8,keyasint,omitempty"`
	// Seq and AtMillis are the number and the time, in Unix milliseconds, of the entry. They
	// are omitted in the operations of an entry, and set in segments and for claims that are
	// carried over.
	Seq      uint64 `cbor:"9,keyasint,omitempty"`
	AtMillis int64  `cbor:"10,keyasint,omitempty"`
	// HasBody reports, in segments, that the answer has a body, which is stored
	// separately.
	HasBody bool `cbor:"11,keyasint,omitempty"`
}

// Entry is one group commit of operations.
type Entry struct {
	Seq   uint64      `cbor:"1,keyasint"`
	Epoch model.Epoch `cbor:"2,keyasint"`
	// Writer is a random number drawn for each ownership, by which an owner recognises
	// its own entries.
	Writer   uint64 `cbor:"3,keyasint"`
	AtMillis int64  `cbor:"4,keyasint"`
	Ops      []Op   `cbor:"5,keyasint"`
}

// Slot returns the number of the slot that stores entry seq.
func Slot(seq uint64) int { return int(seq % Slots) }

// SegmentOf returns the number of the segment that entry seq belongs to. Entries
// are numbered from 1.
func SegmentOf(seq uint64) uint64 { return (seq - 1) / SegmentEntries }

// SegmentLast returns the number of the last entry in a segment.
func SegmentLast(number uint64) uint64 { return (number + 1) * SegmentEntries }
