package objectapi

import (
	"bytes"
	"reflect"
	"testing"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

// Decoding must not panic on any value. A value without an envelope stays unchanged, and a
// decoded payload and history survive another encoding.
func FuzzDecodeEnvelope(f *testing.F) {
	h := objcall.Created(objcall.Stamp{Writer: 7, Sequence: 1})
	for v := range uint64(objcall.MaxReplaced + 2) {
		encoded, err := encodeEnvelope([]byte("payload"), h)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
		h = h.Next(v+1, objcall.Stamp{Writer: 1<<64 - 1 - v, Sequence: 1 << 60})
	}
	f.Add([]byte("written by another program"))
	f.Fuzz(func(t *testing.T, value []byte) {
		payload, history := decodeEnvelope(value)
		if !bytes.HasPrefix(value, envelopeMagic) && !bytes.Equal(payload, value) {
			t.Fatalf("value without an envelope decoded as %q", payload)
		}
		again, err := encodeEnvelope(payload, history)
		if err != nil {
			t.Fatal(err)
		}
		p2, h2 := decodeEnvelope(again)
		if !bytes.Equal(p2, payload) || !reflect.DeepEqual(h2, history) {
			t.Fatalf("%q %+v changed in a round trip to %q %+v", payload, history, p2, h2)
		}
	})
}

// The largest payload with the longest possible history must not exceed the platform's value
// limit.
func TestEnvelope_LargestPayloadFits(t *testing.T) {
	h := objcall.Created(objcall.Stamp{Writer: 1<<64 - 1, Sequence: 1<<64 - 1})
	for range objcall.MaxReplaced + 1 {
		h = h.Next(1<<64-1, objcall.Stamp{Writer: 1<<64 - 1, Sequence: 1<<64 - 1})
	}
	encoded, err := encodeEnvelope(make([]byte, MaxPayloadBytes), h)
	if err != nil || len(encoded) > MaxValueBytes {
		t.Fatalf("encoded value has %d bytes: %v", len(encoded), err)
	}
}
