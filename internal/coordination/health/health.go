// Package health decides when an endpoint is ejected from routing after failures,
// when it returns, and how much work it gets while it warms up.
//
// Invariant: a new incarnation starts without the failures of the one before, and
// an ejected endpoint always comes back for a trial.
package health

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// FailuresToEject is the number of failures in a row that eject an endpoint.
	FailuresToEject = 3
	// MinEjection is the length of the first ejection; each further one doubles.
	MinEjection = time.Second
	// MaxEjection bounds the length of an ejection.
	MaxEjection = 30 * time.Second
	// SlowStart is the time in which a returned endpoint's weight grows to 1.
	SlowStart = 10 * time.Second
	// StartWeight is the weight of an endpoint that has just returned.
	StartWeight = 0.1
	// MaxEjectedShare is the share of a target's endpoints that may be ejected.
	MaxEjectedShare = 0.5
)

// State is the condition of one endpoint. The zero value is healthy. Times are
// counted from the holder's epoch.
type State struct {
	Incarnation  model.Incarnation
	failures     int
	ejections    int
	ejectedUntil time.Duration
	returnedAt   time.Duration
	warming      bool
}

// Available reports whether the endpoint may get work.
func (s *State) Available(now time.Duration) bool { return now >= s.ejectedUntil }

// Weight is the share of its work that the endpoint should get, 0..1.
func (s *State) Weight(now time.Duration) float64 {
	if !s.warming {
		return 1
	}
	age := now - s.returnedAt
	if age >= SlowStart {
		return 1
	}
	if age < 0 {
		return StartWeight
	}
	return StartWeight + (1-StartWeight)*float64(age)/float64(SlowStart)
}

// Succeed notes an answer. It ends an ejection: the endpoint is seen to work.
func (s *State) Succeed(now time.Duration) {
	s.failures = 0
	if s.ejectedUntil > now {
		s.ejectedUntil = now
		s.returnedAt = now
	}
	if s.warming && now-s.returnedAt >= SlowStart {
		s.warming = false
		s.ejections = 0
	}
}

// Fail notes a failed attempt and reports whether the endpoint should be ejected.
func (s *State) Fail(now time.Duration) bool {
	s.failures++
	return s.failures >= FailuresToEject && s.Available(now)
}

// Eject takes the endpoint out of routing for a while.
func (s *State) Eject(now time.Duration) {
	length := MaxEjection
	if s.ejections < 5 {
		length = min(MaxEjection, MinEjection<<s.ejections)
	}
	s.ejections++
	s.failures = FailuresToEject - 1
	s.ejectedUntil = now + length
	s.returnedAt = s.ejectedUntil
	s.warming = true
}

// Observe notes the incarnation an endpoint reported and reports whether it is new.
// A lower one is late news and is ignored.
func (s *State) Observe(now time.Duration, i model.Incarnation) bool {
	if i <= s.Incarnation {
		return false
	}
	first := s.Incarnation == 0
	s.Incarnation = i
	if first {
		return true
	}
	s.failures = 0
	s.ejections = 0
	s.ejectedUntil = now
	s.returnedAt = now
	s.warming = true
	return true
}

// MayEject reports whether one more of total endpoints may be ejected.
func MayEject(ejected, total int) bool {
	return float64(ejected+1) <= MaxEjectedShare*float64(total)
}
