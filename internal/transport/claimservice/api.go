// Package claimservice records the claim of each non-idempotent request before the request
// is dispatched, so that a resend at any entry host does not run it again. Each claim
// shard is owned by one entry host, which stores the shard's claims in a journal. The
// holder of a claim is the entry host whose attempt claimed the request. An attempt is one
// call of Begin; in package entry the word means one call to an endpoint.
//
// Invariant: of all Begin calls for one key, on any hosts, at most one gets VerdictRun
// until the key is settled as NotRun.
package claimservice

import (
	"context"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Key identifies a non-idempotent request across all its resends.
type Key struct {
	Caller  model.CallerID  `cbor:"1,keyasint"`
	Service model.ServiceID `cbor:"2,keyasint"`
	// Idempotency is the caller's idempotency key.
	Idempotency string `cbor:"3,keyasint"`
}

// Verdict is the result of a successful Begin.
type Verdict int

// The verdicts.
const (
	// VerdictRun: the claim is recorded; dispatch the request once, then call Settle.
	VerdictRun Verdict = iota + 1
	// VerdictAnswered: the request already ran; Claim.Answer is its complete answer.
	VerdictAnswered
	// VerdictUnknown: the request was claimed and may have run; it will not run again.
	VerdictUnknown
	// VerdictAnswerLost: the request ran, but its answer is no longer stored.
	VerdictAnswerLost
)

// Answer is the complete answer to a request.
type Answer struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// Claim is the result of Begin: the state of the request's claim, and what Settle needs.
type Claim struct {
	Key     Key
	Verdict Verdict
	Answer  Answer
	// Shard and Epoch identify the journal that holds the claim; Attempt identifies
	// this claim among all claims of its key.
	Shard   string
	Epoch   model.Epoch
	Attempt string
}

// Claims records claims for an entry program. Begin blocks while the request runs
// elsewhere, until it completes or ctx ends.
//
// All errors of Begin are *resultcode.Error, and after any of them this attempt must not
// be dispatched. ClaimUnavailable guarantees that no attempt of the key ran; KeyReused
// that this content did not run. InProgress means that the wait for another attempt timed
// out; ClaimUnknown that the state of the key could not be determined.
type Claims interface {
	Begin(ctx context.Context, key Key, digest uint64) (Claim, error)
	// Settle records the outcome of a request whose claim has VerdictRun. NotRun frees the
	// key. Settle may return before the outcome is durable.
	Settle(ctx context.Context, c Claim, outcome resultcode.Outcome, answer Answer)
}

// SettleTimeout limits one call that records outcomes. After a failed call, the outcomes
// are sent again until they are durable.
const SettleTimeout = 5 * time.Second
