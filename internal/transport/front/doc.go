// Package front implements the single process that a host runs on the operator's
// platform. It forwards requests, accepts and runs batches of samples, rolls out weight
// versions, and serves the directory of host addresses to callers. Each background task
// runs in its own goroutine. The tasks share Fleet (endpoints and their load), Peers (the
// other hosts) and Catalog (the configuration), each of which is protected by one lock. All
// requests to endpoints go through EndpointPath, and all calls to the store through StorePath: each
// has a way through a peer while this host has none of its own.
// State on which hosts must agree is changed by conditional updates of stored objects:
// the owner of a batch, the log of its results, and the holder of the weights lease.
//
// Invariant: everything reported to a trainer is persisted first. A batch is accepted
// once its manifest exists and a result is returned once its log entry exists, so any
// host can answer for any batch and continue it after its owner has failed.
package front
