// Package quarantine finds requests that crash the endpoints that run them.
//
// Invariant: a fingerprint is refused once two distinct endpoint incarnations died
// running it and no endpoint answered it in between; every entry expires; an answer
// here outweighs what others tell of one death.
package quarantine

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// MaxCrashes is the number of deaths after which a fingerprint is refused.
	MaxCrashes = 2
	// Lifetime is how long a fingerprint stays suspected after a death.
	Lifetime = 2 * time.Minute
	// maxEntries bounds the fingerprints remembered; the one that expires first
	// makes room.
	maxEntries = 4096
)

// Death is one life of an endpoint that ended while it ran a request.
type Death struct {
	Endpoint model.EndpointID
	// Began is when the attempt began: two attempts of which one began before the
	// other's death was seen may have met the same life.
	Began time.Time
	// Shared says that many requests may have the fingerprint, as that of a content.
	// Endpoints that die at the same time, as with a rack, then count as one: only
	// the death of one that began the request later shows what killed it.
	Shared bool
}

type seenDeath struct {
	endpoint model.EndpointID
	at       time.Time
}

type suspicion struct {
	deaths []seenDeath
	// heard is the number of deaths others told of.
	heard int
	until time.Time
	// running says that one request of this fingerprint is under way.
	running bool
}

func (s *suspicion) crashes() int { return max(len(s.deaths), s.heard) }

// List holds the suspected fingerprints. It is not safe for concurrent use.
type List struct {
	entries map[uint64]*suspicion
	// cleared holds until when an answered fingerprint is not suspected on hearsay.
	cleared map[uint64]time.Time
}

// New returns an empty list.
func New() *List {
	return &List{entries: map[uint64]*suspicion{}, cleared: map[uint64]time.Time{}}
}

// Verdict is what to do with a request.
type Verdict int

// The verdicts.
const (
	// Clear: nothing is known against the request.
	Clear Verdict = iota
	// Suspect: one endpoint died; the request runs alone among its like, and the
	// holder calls Done.
	Suspect
	// Busy: another request of this suspected fingerprint runs; come back later.
	Busy
	// Refuse: two endpoints died.
	Refuse
)

// Check decides on a request before each of its attempts.
func (l *List) Check(now time.Time, fingerprint uint64) (Verdict, time.Duration) {
	s := l.live(now, fingerprint)
	if s == nil {
		return Clear, 0
	}
	switch {
	case s.crashes() >= MaxCrashes:
		return Refuse, s.until.Sub(now)
	case s.running:
		return Busy, 0
	}
	s.running = true
	return Suspect, 0
}

// Done ends an attempt that Check called Suspect.
func (l *List) Done(fingerprint uint64) {
	if s := l.entries[fingerprint]; s != nil {
		s.running = false
	}
}

// Died notes that an endpoint died running a fingerprint. It reports whether this
// is a new death.
func (l *List) Died(now time.Time, fingerprint uint64, d Death) bool {
	s := l.live(now, fingerprint)
	if s == nil {
		l.makeRoom(now)
		s = &suspicion{}
		l.entries[fingerprint] = s
	}
	for _, known := range s.deaths {
		if (d.Shared || known.endpoint == d.Endpoint) && !d.Began.After(known.at) {
			return false
		}
	}
	if len(s.deaths) < MaxCrashes {
		s.deaths = append(s.deaths, seenDeath{endpoint: d.Endpoint, at: now})
	}
	s.until = now.Add(Lifetime)
	delete(l.cleared, fingerprint)
	return true
}

// Answered notes that an endpoint answered a fingerprint: it is not what kills.
// Reports of fewer than MaxCrashes deaths do not bring the suspicion back, since
// they may be of the death that the answer cleared.
func (l *List) Answered(now time.Time, fingerprint uint64) {
	s := l.entries[fingerprint]
	if s == nil || s.crashes() >= MaxCrashes {
		return
	}
	delete(l.entries, fingerprint)
	delete(l.cleared, fingerprint)
	if len(l.cleared) >= maxEntries {
		l.forgetCleared(now)
	}
	l.cleared[fingerprint] = now.Add(Lifetime)
}

// forgetCleared drops the cleared fingerprints that expired and, when there are
// none, the one that expires first.
func (l *List) forgetCleared(now time.Time) {
	var first uint64
	var until time.Time
	for f, t := range l.cleared {
		if !now.Before(t) {
			delete(l.cleared, f)
			continue
		}
		if until.IsZero() || t.Before(until) {
			first, until = f, t
		}
	}
	if len(l.cleared) >= maxEntries {
		delete(l.cleared, first)
	}
}

func (l *List) isCleared(now time.Time, fingerprint uint64) bool {
	until, ok := l.cleared[fingerprint]
	return ok && now.Before(until)
}

// Merge takes over what other hosts found.
func (l *List) Merge(now time.Time, reports []model.QuarantinedRequest) {
	for _, r := range reports {
		if r.Remaining <= 0 || r.Crashes <= 0 {
			continue
		}
		if r.Crashes < MaxCrashes && l.isCleared(now, r.Fingerprint) {
			continue
		}
		until := now.Add(min(r.Remaining, Lifetime))
		s := l.live(now, r.Fingerprint)
		if s == nil {
			l.makeRoom(now)
			s = &suspicion{}
			l.entries[r.Fingerprint] = s
		}
		s.heard = max(s.heard, r.Crashes)
		if until.After(s.until) {
			s.until = until
		}
	}
}

// Report lists the suspicions found here, for other hosts.
func (l *List) Report(now time.Time) []model.QuarantinedRequest {
	var out []model.QuarantinedRequest
	for f, s := range l.entries {
		if len(s.deaths) > 0 && now.Before(s.until) {
			out = append(out, model.QuarantinedRequest{Fingerprint: f, Crashes: len(s.deaths), Remaining: s.until.Sub(now)})
		}
	}
	return out
}

func (l *List) live(now time.Time, fingerprint uint64) *suspicion {
	s := l.entries[fingerprint]
	if s != nil && !now.Before(s.until) {
		delete(l.entries, fingerprint)
		return nil
	}
	return s
}

func (l *List) makeRoom(now time.Time) {
	if len(l.entries) < maxEntries {
		return
	}
	var first uint64
	var until time.Time
	for f, s := range l.entries {
		if !now.Before(s.until) {
			delete(l.entries, f)
			continue
		}
		if until.IsZero() || s.until.Before(until) {
			first, until = f, s.until
		}
	}
	if len(l.entries) >= maxEntries {
		delete(l.entries, first)
	}
}
