// Package standin simulates the platform, the back ends and the clients on one
// machine, for demonstrations and tests: object API, host list, weight store, model
// engines, plain services, scorers, trainers and callers. Faults can be injected into
// a running part (see Faults). Endpoints, trainers and callers log what they did, and
// Judge checks these logs.
//
// Invariant: a part's log records what the part did, independent of what the system
// under test reports. Faults change a part's behaviour, never the accuracy of its log.
package standin
