// Package journal defines the log of one claim shard: numbered entries with operations on
// claims, the compaction of entries into segments, and the table of claims that results from
// applying the operations.
//
// Invariant: a table depends only on the entries applied, in order. A segment depends only on
// the entries it covers, so that any two owners create the same segment.
package journal
