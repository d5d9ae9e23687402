// Package journal holds the records of one claim shard: the operations of its
// numbered entries, their compaction into segments, and the table of claims that
// they add up to.
//
// Invariant: a table is a function of the entries applied in order. A segment is a
// function of the entries it covers alone, so any two owners make the same one.
package journal
