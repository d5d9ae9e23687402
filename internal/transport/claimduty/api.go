// Package claimduty records claims of non-idempotent requests before they are
// dispatched, for all entry hosts together.
//
// Invariant: of all Begin calls for one key, on whatever hosts, at most one ever
// gets VerdictRun between two settlements as NotRun.
package claimduty

import (
	"context"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Key identifies a non-idempotent request over all its sendings.
type Key struct {
	Caller  model.CallerID  `cbor:"1,keyasint"`
	Service model.ServiceID `cbor:"2,keyasint"`
	// Idempotency is the caller's idempotency key.
	Idempotency string `cbor:"3,keyasint"`
}

// Verdict is the answer to Begin.
type Verdict int

// The verdicts.
const (
	// VerdictRun: the claim is recorded; dispatch once, then Settle.
	VerdictRun Verdict = iota + 1
	// VerdictAnswered: the request ran before; Ticket.Answer is its whole answer.
	VerdictAnswered
	// VerdictUnknown: the request was claimed, may have run, and will not run again.
	VerdictUnknown
	// VerdictAnswerLost: the request ran and its answer is no longer held.
	VerdictAnswerLost
)

// Answer is a request's whole answer.
type Answer struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// Ticket is what Begin returns.
type Ticket struct {
	Key     Key
	Verdict Verdict
	Answer  Answer
	// Shard and Epoch name the journal that holds the claim; Attempt identifies
	// this claim among all of its key.
	Shard   string
	Epoch   model.Epoch
	Attempt string
}

// Claims is what an entry program needs. Begin waits while the request runs
// elsewhere, until it ends or ctx does.
//
// Begin's errors are *resultcode.Error. After each of them this sending was not
// granted and must not be dispatched. ClaimUnavailable is certain that no sending of
// the key ran, KeyReused that this content did not; InProgress says that the wait for
// another sending ended first; ClaimUnknown that nobody could tell of the key.
type Claims interface {
	Begin(ctx context.Context, key Key, digest uint64) (Ticket, error)
	// Settle records how a claimed request ended. NotRun gives the key free.
	Settle(ctx context.Context, t Ticket, outcome resultcode.Outcome, answer Answer)
}

// SettleTimeout bounds the recording of an end.
const SettleTimeout = 5 * time.Second
