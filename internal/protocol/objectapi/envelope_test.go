package objectapi

import (
	"bytes"
	"reflect"
	"testing"

	"oleanderfall.example/oleanderfall/internal/coordination/objcall"
)

func FuzzUnsealTakesAnyValue(f *testing.F) {
	h := objcall.Created(objcall.Stamp{Writer: 7, Sequence: 1})
	for v := range uint64(objcall.MaxReplaced + 2) {
		sealed, err := seal([]byte("payload"), h)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(sealed)
		h = h.Next(v+1, objcall.Stamp{Writer: 1<<64 - 1 - v, Sequence: 1 << 60})
	}
	f.Add([]byte("written by another program"))
	f.Fuzz(func(t *testing.T, value []byte) {
		payload, history := unseal(value)
		if !bytes.HasPrefix(value, envelopeMark) && !bytes.Equal(payload, value) {
			t.Fatalf("a plain value became %q", payload)
		}
		again, err := seal(payload, history)
		if err != nil {
			t.Fatal(err)
		}
		p2, h2 := unseal(again)
		if !bytes.Equal(p2, payload) || !reflect.DeepEqual(h2, history) {
			t.Fatalf("%q %+v became %q %+v", payload, history, p2, h2)
		}
	})
}

func TestTheLargestPayloadFitsWithTheLongestHistory(t *testing.T) {
	h := objcall.Created(objcall.Stamp{Writer: 1<<64 - 1, Sequence: 1<<64 - 1})
	for range objcall.MaxReplaced + 1 {
		h = h.Next(1<<64-1, objcall.Stamp{Writer: 1<<64 - 1, Sequence: 1<<64 - 1})
	}
	sealed, err := seal(make([]byte, MaxPayloadBytes), h)
	if err != nil || len(sealed) > MaxValueBytes {
		t.Fatalf("%d bytes: %v", len(sealed), err)
	}
}
