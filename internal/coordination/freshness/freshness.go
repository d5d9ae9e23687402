// Package freshness decides whether a host's configuration is proven to be recent enough to admit
// requests with keys, so that a key that a configuration removed is refused within a bound.
//
// A proof is a linearizable read of the configuration: every configuration that the store confirmed
// before the read was sent has at most the generation that the read returned. A host that has that
// generation in force can have missed only configurations that were confirmed later.
//
// Invariant: the time of a proof is never later than the time at which its read was sent. Hosts pass
// proofs on with their age and not with a time of a clock. The receiver counts the age from the
// moment at which it sent its question, which is before the moment at which the peer computed the
// age, so delays on the way and in the host only make a proof older.
package freshness

import (
	"cmp"
	"slices"
	"time"
)

const (
	// dueShare is the share of the bound after which a proof is to be replaced. The other half is
	// left for the replacement: several attempts at peers and a read of the store.
	dueShare = 0.5
	// maxProofs bounds the proofs of different generations that are kept. The older ones matter
	// only until the next generation is in force, which takes less than a second.
	maxProofs = 4
	// maxAge is the age above which a received proof is ignored, far above any bound.
	maxAge = time.Hour
)

type proof struct {
	at         time.Duration
	generation uint64
}

// coveredBy reports whether p is of no use beside another proof, which is as new and holds for all
// generations in force for which p holds.
func (p proof) coveredBy(other proof) bool {
	return other.at >= p.at && other.generation <= p.generation
}

// Tracker holds the proofs that a host knows. Its times are boot times of the host, which go on while
// the host is frozen or suspended and don't step with the wall clock. It is not safe for concurrent
// use.
type Tracker struct {
	// proofs are in ascending order of both their times and their generations, as no proof covers
	// another one.
	proofs []proof
}

// Observe records a proof. For a read of the store, sentAt is the time at which the read was sent and
// age is zero. For an answer of a peer, sentAt is the time at which the question was sent and age the
// one in the answer. Generation zero and ages that no peer can have are ignored.
func (t *Tracker) Observe(sentAt, age time.Duration, generation uint64) {
	if generation == 0 || age < 0 || age > maxAge {
		return
	}
	p := proof{at: sentAt - age, generation: generation}
	if slices.ContainsFunc(t.proofs, p.coveredBy) {
		return
	}
	t.proofs = append(slices.DeleteFunc(t.proofs, func(old proof) bool { return old.coveredBy(p) }), p)
	slices.SortFunc(t.proofs, func(a, b proof) int { return cmp.Compare(a.at, b.at) })
	t.proofs = slices.Delete(t.proofs, 0, max(0, len(t.proofs)-maxProofs))
}

// Newest returns the age and the generation of the newest proof that holds for a host that has the
// given generation in force; ok is false if there is none.
func (t *Tracker) Newest(now time.Duration, generation uint64) (age time.Duration, proven uint64, ok bool) {
	for i := len(t.proofs) - 1; i >= 0; i-- {
		if p := t.proofs[i]; p.generation <= generation && p.at <= now {
			return now - p.at, p.generation, true
		}
	}
	return 0, 0, false
}

// Fresh reports whether a host that has the given generation in force may admit requests with keys.
func (t *Tracker) Fresh(now time.Duration, generation uint64, bound time.Duration) bool {
	age, _, ok := t.Newest(now, generation)
	return ok && age < bound
}

// Due reports whether the newest proof should be replaced.
func (t *Tracker) Due(now, bound time.Duration) bool {
	n := len(t.proofs)
	return n == 0 || float64(now-t.proofs[n-1].at) >= dueShare*float64(bound)
}

// Generation returns the highest generation that a proof names, zero if there is none. A host with a
// lower one in force has yet to fetch the configuration.
func (t *Tracker) Generation() uint64 {
	if n := len(t.proofs); n > 0 {
		return t.proofs[n-1].generation
	}
	return 0
}
