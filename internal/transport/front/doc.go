// Package front is the one process that a host runs on the operators' platform: it
// forwards requests, takes and runs batches of samples, orders weight versions, and
// tells callers which hosts to use.
//
// Each duty has a goroutine of its own. What duties share is in Fleet (endpoints and
// their load), Peers (the other hosts) and Catalog (the configuration), each behind
// one lock. What hosts must agree on goes through conditional updates of objects:
// the owner of a batch, the log of its results, the holder of the weights lease.
//
// Invariant: nothing that a trainer was told is only in memory. A batch is accepted
// once its manifest exists and a result is shown once its log entry exists, so any
// host can answer for any batch and continue it after its owner is gone.
package front
