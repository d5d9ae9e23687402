package objectapi

import (
	"bytes"
	"context"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

// maxEnvelopeBytes is the maximum size of an encoded envelope without its payload.
const maxEnvelopeBytes = 1 << 10

// MaxPayloadBytes is the size of the largest value that Client.Put accepts.
const MaxPayloadBytes = MaxValueBytes - maxEnvelopeBytes

// envelopeMagic is the prefix of each value written by Client.
var envelopeMagic = []byte("oe1\x00")

// envelope is the stored form of a value: the caller's payload and the write history that
// shows whether a write with a lost answer took effect. It is encoded as an array, so the
// order of the fields must not change.
type envelope struct {
	_        struct{} `cbor:",toarray"`
	Writer   uint64
	Sequence uint64
	Whole    bool // History.Complete
	Replaced []replacedVersion
	Payload  []byte
}

type replacedVersion struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Writer   uint64
	Sequence uint64
}

func encodeEnvelope(payload []byte, h objcall.History) ([]byte, error) {
	e := envelope{Writer: h.Stamp.Writer, Sequence: h.Stamp.Sequence, Whole: h.Complete, Payload: payload}
	for _, r := range h.Replaced {
		e.Replaced = append(e.Replaced, replacedVersion{Version: r.Version, Writer: r.Stamp.Writer, Sequence: r.Stamp.Sequence})
	}
	// Allocated once at the final size, because values can be large.
	out := bytes.NewBuffer(make([]byte, 0, len(payload)+maxEnvelopeBytes))
	out.Write(envelopeMagic)
	if err := cbor.NewEncoder(out).Encode(e); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Bytes(), nil
}

// decodeEnvelope returns the payload and the history of a stored value. A value without a
// valid envelope, written by another program, is returned unchanged with an empty history.
func decodeEnvelope(value []byte) ([]byte, objcall.History) {
	rest, hasMagic := bytes.CutPrefix(value, envelopeMagic)
	var e envelope
	if !hasMagic || cbor.Unmarshal(rest, &e) != nil {
		return value, objcall.History{}
	}
	h := objcall.History{Stamp: objcall.Stamp{Writer: e.Writer, Sequence: e.Sequence}, Complete: e.Whole}
	for _, r := range e.Replaced {
		h.Replaced = append(h.Replaced, objcall.Replaced{Version: r.Version, Stamp: objcall.Stamp{Writer: r.Writer, Sequence: r.Sequence}})
	}
	return e.Payload, h
}

// Payload returns a value stored by a Client without its envelope. A value stored by another
// program is returned unchanged.
func Payload(value []byte) []byte {
	payload, _ := decodeEnvelope(value)
	return payload
}

// PayloadReader reads objects with a single attempt each and returns their payloads, as a Client
// does. Its writes and watches are those of the API.
type PayloadReader struct{ API }

// Get implements API.
func (r PayloadReader) Get(ctx context.Context, key string) (Object, error) {
	o, err := r.API.Get(ctx, key)
	o.Value = Payload(o.Value)
	return o, err
}

// List implements API.
func (r PayloadReader) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	page, err := r.API.List(ctx, prefix, after, limit)
	for i := range page.Objects {
		page.Objects[i].Value = Payload(page.Objects[i].Value)
	}
	return page, err
}
