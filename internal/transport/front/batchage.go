package front

import (
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

// The age of a batch decides when its samples may be abandoned and when it may be removed. Both may
// be late but never early, so hosts rely on no clock that steps and on no other host's clock: each
// counts from when it first knew of the batch on its own boot clock, and its owner stores the age
// reached so far, from which the next owner goes on.

// ageSaveInterval is the interval at which the owner of a batch saves its age if it has nothing else
// to save.
const ageSaveInterval = 5 * time.Second

// sameAcceptance reports whether two manifests with the same ID belong to one acceptance of the batch,
// as far as that is known: a batch that was removed may be submitted again.
func (m *storedManifest) sameAcceptance(o *batches.Manifest) bool {
	return m.AcceptedUnixMs == o.AcceptedUnixMs || m.AcceptedUnixMs == 0 || o.AcceptedUnixMs == 0
}

// age returns how long ago a batch was accepted at least, as far as this host knows.
func (s *batchStore) age(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.cache[id]
	if !ok {
		return 0
	}
	return s.now() - m.acceptedBy
}

// ageOf returns how long ago the batch of a manifest was accepted at least.
func (s *batchStore) ageOf(m storedManifest) time.Duration { return s.now() - m.acceptedBy }

// observeAge records that a batch was accepted at least this long ago.
func (s *batchStore) observeAge(id string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.cache[id]; ok {
		m.acceptedBy = min(m.acceptedBy, s.now()-age)
		s.cache[id] = m
	}
}

// withAge returns saved samples with an entry for the age of their batch. The entry has no ID, so that
// builds that do not know it ignore it.
func withAge(samples []savedSample, age time.Duration) []savedSample {
	return slices.Insert(slices.Clone(samples), 0, savedSample{AgeMs: age.Milliseconds()})
}

// cutAge removes the entry for the age from saved samples and returns the age, zero if there is none.
func cutAge(saved []savedSample) (samples []savedSample, age time.Duration) {
	for _, s := range saved {
		if s.ID == "" {
			age = max(age, time.Duration(s.AgeMs)*time.Millisecond)
		}
	}
	return slices.DeleteFunc(saved, func(s savedSample) bool { return s.ID == "" }), age
}

// age returns how long ago the batch was accepted at least.
func (a *activeBatch) age() time.Duration { return a.parent.store.now() - a.acceptedBy }
