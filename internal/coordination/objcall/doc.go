// Package objcall makes the decisions of the object API client: how fast a host may call,
// whether the API has an outage, and whether a write whose answer was lost took effect.
//
// Invariant: a write is reported as applied or as refused only on evidence in the object
// itself, never because of elapsed time.
package objcall
