package front

import (
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// decoding decodes stored objects and messages between hosts. Their text may hold any bytes: header
// values and events come from callers and endpoints as they are.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}()

// decodeSlots bounds the calls of peers that are decoded at the same time: a message may become many times as large.
var decodeSlots = make(chan struct{}, 2)

// decodeCall reads the body of a peer's call, decodes it into v and calls use with it.
func decodeCall[T any](w http.ResponseWriter, r *http.Request, use func(T)) error {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPeerBody))
	if err != nil {
		return err
	}
	select {
	case decodeSlots <- struct{}{}:
	case <-r.Context().Done():
		return r.Context().Err()
	}
	defer func() { <-decodeSlots }()
	var v T
	if err := decoding.Unmarshal(raw, &v); err != nil {
		return err
	}
	use(v)
	return nil
}
