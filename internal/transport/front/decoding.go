package front

import "github.com/fxamacker/cbor/v2"

// decoding decodes stored objects and messages between hosts. Their text may hold any bytes: header
// values and events come from callers and endpoints as they are.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}()
