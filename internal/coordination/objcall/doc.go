// Package objcall decides for the client of the object API: how fast a host may
// call, whether the API is in an outage, and what became of a write whose answer
// was lost.
//
// Invariant: a write is judged as taken or as refused only on evidence that the
// object itself carries; time never decides it.
package objcall
