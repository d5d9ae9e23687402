package claimduty

import (
	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// claimRequest asks a shard's owner for a claim (wire.MethodClaim).
type claimRequest struct {
	Shard   string          `cbor:"1,keyasint"`
	Key     journal.Key     `cbor:"2,keyasint"`
	Attempt journal.Attempt `cbor:"3,keyasint"`
	Digest  uint64          `cbor:"4,keyasint"`
	Holder  journal.Holder  `cbor:"5,keyasint"`
}

// claimReply is the owner's verdict.
type claimReply struct {
	Verdict claims.Verdict `cbor:"1,keyasint"`
	Epoch   model.Epoch    `cbor:"2,keyasint"`
	// Attempt and Holder are those of the claim in force.
	Attempt          journal.Attempt `cbor:"3,keyasint"`
	Holder           journal.Holder  `cbor:"4,keyasint"`
	Status           int             `cbor:"5,keyasint"`
	Body             []byte          `cbor:"6,keyasint"`
	Held             bool            `cbor:"7,keyasint"`
	RetryAfterMillis int64           `cbor:"8,keyasint"`
	// AnswerMissing says that the journal's answer could not be read.
	AnswerMissing bool `cbor:"9,keyasint"`
	// Outage says that the object API gives the owner no answer, so that nothing new
	// is decided now.
	Outage bool `cbor:"10,keyasint"`
	// AnswerLost says that the journal no longer has the answer.
	AnswerLost bool `cbor:"11,keyasint"`
}

// settlement is the end of one attempt.
type settlement struct {
	Key     journal.Key     `cbor:"1,keyasint"`
	Attempt journal.Attempt `cbor:"2,keyasint"`
	State   journal.State   `cbor:"3,keyasint"`
	Status  int             `cbor:"4,keyasint"`
	Body    []byte          `cbor:"5,keyasint"`
	Held    bool            `cbor:"6,keyasint"`
}

// settleRequest records ends with a shard's owner (wire.MethodSettle).
type settleRequest struct {
	Shard string       `cbor:"1,keyasint"`
	Items []settlement `cbor:"2,keyasint"`
}

// settleReply answers each item in order.
type settleReply struct {
	Results []settled `cbor:"1,keyasint"`
}

type settled struct {
	// Durable says that the end is recorded, Kept that the journal has the answer.
	Durable bool `cbor:"1,keyasint"`
	Kept    bool `cbor:"2,keyasint"`
}

// followRequest asks an attempt's holder how it stands, after waiting for its end
// (wire.MethodFollow).
type followRequest struct {
	Attempt     journal.Attempt   `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	WaitMillis  int64             `cbor:"3,keyasint"`
}

type followState uint8

const (
	// followLive: the attempt goes on.
	followLive followState = iota + 1
	// followEnded: it ended as End says.
	followEnded
	// followDisowned: the holder does not have the attempt and will not dispatch it.
	followDisowned
	// followGone: the holder's incarnation is over.
	followGone
)

type followReply struct {
	State  followState   `cbor:"1,keyasint"`
	End    journal.State `cbor:"2,keyasint"`
	Status int           `cbor:"3,keyasint"`
	Body   []byte        `cbor:"4,keyasint"`
	// Found says that the answer is here.
	Found bool `cbor:"5,keyasint"`
}

// answerRequest asks a holder for an answer it keeps (wire.MethodAnswer).
type answerRequest struct {
	Attempt     journal.Attempt   `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
}

type answerReply struct {
	Found  bool   `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}
