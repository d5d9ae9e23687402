// Package claims is the decision core of a claim shard's owner: which sending of a
// key may be dispatched, what a group commit holds, and when a refusal is certain.
// It reads no clock and sends nothing; events go in, replies and commits come out.
//
// Invariant: Granted is answered only after the entry with that claim is durable,
// and only for one attempt of a key until that attempt is settled as not run. A
// refusal as not run is answered only after a commit that began after the request
// came has succeeded, which proves that no newer owner had answered otherwise.
package claims
