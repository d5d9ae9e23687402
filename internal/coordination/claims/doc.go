// Package claims implements the decision logic of a claim shard's owner: which
// attempt of an idempotency key may be dispatched, what each group commit contains,
// and when a request can be refused as certainly not run. It reads no clock and does
// no I/O; events go in, replies and entries to commit come out.
//
// Invariant: Granted is returned only after the entry with the claim is durable, and
// to only one attempt of a key until that attempt is settled as not run. A refusal as
// not run is returned only after the success of a commit that began after the request
// was received, which proves that no newer owner had replied otherwise.
package claims
