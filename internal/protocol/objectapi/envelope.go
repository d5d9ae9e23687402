package objectapi

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

// envelopeBytes is the room that the envelope may take beside the payload.
const envelopeBytes = 1 << 10

// MaxPayloadBytes is the largest value that Client takes.
const MaxPayloadBytes = MaxValueBytes - envelopeBytes

// envelopeMark begins each value that Client wrote.
var envelopeMark = []byte("oe1\x00")

// envelope is the stored form of a value: the caller's payload with the stamps
// that resolve a lost answer.
type envelope struct {
	_        struct{} `cbor:",toarray"`
	Writer   uint64
	Sequence uint64
	Whole    bool
	Replaced []replaced
	Payload  []byte
}

type replaced struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Writer   uint64
	Sequence uint64
}

func seal(payload []byte, h objcall.History) ([]byte, error) {
	e := envelope{Writer: h.Stamp.Writer, Sequence: h.Stamp.Sequence, Whole: h.Complete, Payload: payload}
	for _, r := range h.Replaced {
		e.Replaced = append(e.Replaced, replaced{Version: r.Version, Writer: r.Stamp.Writer, Sequence: r.Stamp.Sequence})
	}
	// One buffer of the right size: values are large.
	out := bytes.NewBuffer(make([]byte, 0, len(payload)+envelopeBytes))
	out.Write(envelopeMark)
	if err := cbor.NewEncoder(out).Encode(e); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Bytes(), nil
}

// unseal splits a stored value. A value that another program wrote without an
// envelope is its own payload with an unknown history.
func unseal(value []byte) ([]byte, objcall.History) {
	rest, marked := bytes.CutPrefix(value, envelopeMark)
	var e envelope
	if !marked || cbor.Unmarshal(rest, &e) != nil {
		return value, objcall.History{}
	}
	h := objcall.History{Stamp: objcall.Stamp{Writer: e.Writer, Sequence: e.Sequence}, Complete: e.Whole}
	for _, r := range e.Replaced {
		h.Replaced = append(h.Replaced, objcall.Replaced{Version: r.Version, Stamp: objcall.Stamp{Writer: r.Writer, Sequence: r.Sequence}})
	}
	return e.Payload, h
}

// Payload returns the value that a Client stored, without its envelope. A value that
// another writer stored is returned as it is.
func Payload(value []byte) []byte {
	payload, _ := unseal(value)
	return payload
}
