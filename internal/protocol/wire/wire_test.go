package wire

import (
	"reflect"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// Decode must not panic on any input, and a decoded message must survive another encoding.
func FuzzDecode(f *testing.F) {
	seed, err := Encode(Failure{Code: resultcode.Overloaded, Detail: "limit"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xbf, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got Failure
		if Decode(b, &got) != nil {
			return
		}
		again, err := Encode(got)
		if err != nil {
			t.Fatal(err)
		}
		var back Failure
		if err := Decode(again, &back); err != nil || !reflect.DeepEqual(got, back) {
			t.Fatalf("%+v changed in a round trip to %+v: %v", got, back, err)
		}
	})
}
