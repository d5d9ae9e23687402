// Package shards decides which host owns which shard, from one host's view of the fleet
// and of the ownership records. It reads no clock and does no I/O.
//
// Invariant: a shard is only ever acquired under the epoch one above that of the record
// that the decision was based on, by a write conditional on that record's version. If
// two hosts decide to acquire the same shard, at most one write succeeds.
package shards
