// Package shards decides which host takes which shard, from what a host knows of
// the fleet and of the ownership records. It reads no clock and sends nothing.
//
// Invariant: a shard is only ever taken under an epoch one above the record that
// the decision saw, by a conditional write against that record's version. Of two
// hosts that decide alike, one write conflicts.
package shards
