// Package wire holds the messages between the system's own processes and their
// codec (CBOR). Every call is one request and one reply on a QUIC stream.
//
// Invariant: a field's key and a method's number keep their meaning; a decoder
// ignores unknown fields and refuses oversized or malformed input.
package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
)

// Error is the class of this package's errors.
var Error = errs.Class("wire")

// MaxMessageBytes bounds one encoded message.
const MaxMessageBytes = 4 << 20

// Method numbers a call.
type Method uint16

// The calls.
const (
	// MethodFeed: a data-path program asks its control program for the fleet view.
	MethodFeed Method = 1
	// MethodReport: a data-path program tells its control program what it saw.
	MethodReport Method = 2
	// MethodApply: an operator hands a configuration to a control program.
	MethodApply Method = 3
	// MethodStatus: an operator asks a control program for its view.
	MethodStatus Method = 4
	// MethodDrain: an operator drains an endpoint or a host.
	MethodDrain Method = 5
	// MethodConfig: an operator or a peer reads a configuration generation.
	MethodConfig Method = 6
	// MethodExchange: anti-entropy between control programs.
	MethodExchange Method = 10
	// MethodProbe: an indirect probe on behalf of a peer.
	MethodProbe Method = 11
	// MethodClaim: an entry program asks a claim shard's owner for a claim.
	MethodClaim Method = 20
	// MethodSettle: an entry program records the end of a claimed request.
	MethodSettle Method = 21
	// MethodAnswer: an entry program asks another one for a held answer.
	MethodAnswer Method = 22
	// MethodFollow: an entry program waits for the end of a claim.
	MethodFollow Method = 23
)

var decMode = func() cbor.DecMode {
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

// Encode returns v in the wire's form.
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

// Decode reads b into v.
func Decode(b []byte, v any) error {
	if len(b) > MaxMessageBytes {
		return Error.New("message of %d bytes is over %d", len(b), MaxMessageBytes)
	}
	return Error.Wrap(decMode.Unmarshal(b, v))
}

// Failure is a reply's error.
type Failure struct {
	Code   resultcode.Code `cbor:"1,keyasint"`
	Detail string          `cbor:"2,keyasint"`
}
