// Package standin plays the platform and the back ends on one machine, for trials
// and tests: object API, host list, weight store, model engines, plain services,
// scorers and trainers. Each part takes faults while it runs (see Faults) and
// keeps a log that tests use as the judge of what really ran.
//
// Invariant: a part's log records what the part did, whatever the system under
// test believes; faults change behaviour but never the truth of the log.
package standin
