// Package wire defines the messages between the system's own processes and their codec, CBOR.
// Each call is one request and one reply on a QUIC stream.
//
// Invariant: field keys and method numbers never change their meaning. Decoding ignores
// unknown fields and rejects oversized or malformed input.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// Error is the class of this package's errors.
var Error = errs.Class("wire")

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 4 << 20

// Method is the number of a call.
type Method uint16

// The methods.
const (
	// MethodView: a data-path program requests the fleet view from its control program.
	MethodView Method = 1
	// MethodReport: a data-path program sends a Report to its control program.
	MethodReport Method = 2
	// MethodApply: an operator sends a configuration to a control program.
	MethodApply Method = 3
	// MethodStatus: an operator requests the status of a control program.
	MethodStatus Method = 4
	// MethodDrain: an operator drains an endpoint or a host, or cancels the drain.
	MethodDrain Method = 5
	// MethodConfig: an operator or a peer reads a configuration generation.
	MethodConfig Method = 6
	// MethodExchange: anti-entropy between control programs.
	MethodExchange Method = 10
	// MethodProbe: an indirect probe on behalf of a peer.
	MethodProbe Method = 11
	// MethodClaim: an entry program requests a claim from the owner of a claim shard.
	MethodClaim Method = 20
	// MethodSettle: an entry program records the result of a claimed request.
	MethodSettle Method = 21
	// MethodAnswer: an entry program requests a stored answer from another one.
	MethodAnswer Method = 22
	// MethodFollow: an entry program waits until a claim is settled.
	MethodFollow Method = 23
)

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		MaxNestedLevels:  16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns the CBOR encoding of v. It fails if the message is too large.
func Encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b) > MaxMessageBytes {
		return nil, Error.New("message of %d bytes is over %d", len(b), MaxMessageBytes)
	}
	return b, nil
}

// Decode decodes b into v. It fails if b is too large or malformed.
func Decode(b []byte, v any) error {
	if len(b) > MaxMessageBytes {
		return Error.New("message of %d bytes is over %d", len(b), MaxMessageBytes)
	}
	return Error.Wrap(decodeMode.Unmarshal(b, v))
}

// Failure is the error that a reply carries instead of a result.
type Failure struct {
	Code   resultcode.Code `cbor:"1,keyasint"`
	Detail string          `cbor:"2,keyasint"`
}
