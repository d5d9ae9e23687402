package claimservice

import (
	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/state/journal"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// claimRequest requests a claim from a shard's owner (wire.MethodClaim).
type claimRequest struct {
	Shard   string          `cbor:"1,keyasint"`
	Key     journal.Key     `cbor:"2,keyasint"`
	Attempt journal.Attempt `cbor:"3,keyasint"`
	Digest  uint64          `cbor:"4,keyasint"`
	Holder  journal.Holder  `cbor:"5,keyasint"`
}

// claimReply is the owner's reply to a claimRequest.
type claimReply struct {
	Verdict claims.Verdict `cbor:"1,keyasint"`
	Epoch   model.Epoch    `cbor:"2,keyasint"`
	// Attempt and Holder are those of the current claim.
	Attempt journal.Attempt `cbor:"3,keyasint"`
	Holder  journal.Holder  `cbor:"4,keyasint"`
	// Status and Body are the answer if the verdict is Answered. If Held is set, the answer
	// is not stored in the journal but held in the memory of Holder.
	Status           int    `cbor:"5,keyasint"`
	Body             []byte `cbor:"6,keyasint"`
	Held             bool   `cbor:"7,keyasint"`
	RetryAfterMillis int64  `cbor:"8,keyasint"`
	// AnswerUnreadable reports that reading the answer from the journal failed.
	AnswerUnreadable bool `cbor:"9,keyasint"`
	// Outage reports that the object API does not answer the owner, so that no new claim
	// can be decided now.
	Outage bool `cbor:"10,keyasint"`
	// AnswerLost reports that the journal no longer has the answer.
	AnswerLost bool `cbor:"11,keyasint"`
}

// settlement is the outcome of one attempt.
type settlement struct {
	Key     journal.Key     `cbor:"1,keyasint"`
	Attempt journal.Attempt `cbor:"2,keyasint"`
	State   journal.State   `cbor:"3,keyasint"`
	// Status and Body are the answer if State is Ran. If Held is set, Body is empty: the
	// answer is too large for the journal or no longer in memory.
	Status int    `cbor:"4,keyasint"`
	Body   []byte `cbor:"5,keyasint"`
	Held   bool   `cbor:"6,keyasint"`
}

// settleRequest records outcomes with a shard's owner (wire.MethodSettle).
type settleRequest struct {
	Shard string       `cbor:"1,keyasint"`
	Items []settlement `cbor:"2,keyasint"`
}

// settleReply holds one result per item, in order.
type settleReply struct {
	Results []settleResult `cbor:"1,keyasint"`
}

type settleResult struct {
	// Durable reports that the outcome is recorded, AnswerInJournal that the journal
	// stores the answer.
	Durable         bool `cbor:"1,keyasint"`
	AnswerInJournal bool `cbor:"2,keyasint"`
}

// followRequest asks an attempt's holder for its state, after waiting up to WaitMillis
// for its end (wire.MethodFollow).
type followRequest struct {
	Attempt     journal.Attempt   `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	WaitMillis  int64             `cbor:"3,keyasint"`
}

type followState uint8

const (
	// followLive: the attempt is still running.
	followLive followState = iota + 1
	// followEnded: the attempt ended with the outcome in followReply.End.
	followEnded
	// followNotHeld: the holder does not have the attempt and will not dispatch it.
	followNotHeld
	// followRestarted: the holder has restarted since the attempt and no longer knows it.
	followRestarted
)

type followReply struct {
	State  followState   `cbor:"1,keyasint"`
	End    journal.State `cbor:"2,keyasint"`
	Status int           `cbor:"3,keyasint"`
	Body   []byte        `cbor:"4,keyasint"`
	// Found reports that the reply contains the answer.
	Found bool `cbor:"5,keyasint"`
}

// answerRequest asks a holder for an answer it holds (wire.MethodAnswer).
type answerRequest struct {
	Attempt     journal.Attempt   `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
}

type answerReply struct {
	Found  bool   `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}
