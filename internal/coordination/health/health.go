// Package health implements outlier ejection: when an endpoint is ejected from routing
// after failures, when it returns, and which weight it gets during slow start.
//
// Invariant: a new incarnation starts without the failures of the previous one, and every
// ejection ends. After it the endpoint is on probation: until its first success, a single
// failure ejects it again.
package health

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// FailuresToEject is the number of consecutive failures that eject an endpoint that is
	// not on probation.
	FailuresToEject = 3
	// MinEjection is the length of the first ejection. It doubles with each further one.
	MinEjection = time.Second
	// MaxEjection bounds the length of an ejection.
	MaxEjection = 30 * time.Second
	// SlowStart is the time in which the weight of an endpoint rises linearly to 1 after an
	// ejection or a restart.
	SlowStart = 10 * time.Second
	// StartWeight is the weight of an endpoint at the start of SlowStart.
	StartWeight = 0.1
	// MaxEjectedShare is the largest share of a target's endpoints that may be ejected at
	// the same time.
	MaxEjectedShare = 0.5
)

// State is the health of one endpoint. The zero value is healthy. All times count from a
// reference time that the user of the State chooses. It is not safe for concurrent use.
type State struct {
	// Incarnation is the highest incarnation observed, 0 before the first. Only
	// ObserveIncarnation sets it.
	Incarnation         model.Incarnation
	consecutiveFailures int
	// ejections counts the ejections since the endpoint last completed a slow start.
	ejections    int
	ejectedUntil time.Duration
	// returnedAt is the start of the slow start: the end of the last ejection or the time of
	// the last restart. It is used only while slowStart is set.
	returnedAt time.Duration
	slowStart  bool
}

// Available reports whether the endpoint is not ejected.
func (s *State) Available(now time.Duration) bool { return now >= s.ejectedUntil }

// Weight returns the share of its usual load that the endpoint should get, in 0..1 and at
// least StartWeight.
func (s *State) Weight(now time.Duration) float64 {
	if !s.slowStart {
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

// RecordSuccess records an answer. It ends an ejection immediately, since the endpoint
// answers again.
func (s *State) RecordSuccess(now time.Duration) {
	s.consecutiveFailures = 0
	if s.ejectedUntil > now {
		s.ejectedUntil = now
		s.returnedAt = now
	}
	if s.slowStart && now-s.returnedAt >= SlowStart {
		s.slowStart = false
		s.ejections = 0
	}
}

// RecordFailure records a failed attempt and reports whether the endpoint should be ejected.
// Eject must be called only if MayEject also permits it.
func (s *State) RecordFailure(now time.Duration) bool {
	s.consecutiveFailures++
	return s.consecutiveFailures >= FailuresToEject && s.Available(now)
}

// Eject ejects the endpoint. The length doubles with each ejection from MinEjection up to
// MaxEjection; after it the endpoint is in slow start.
func (s *State) Eject(now time.Duration) {
	duration := MaxEjection
	if s.ejections < 5 { // keeps the shift in range; 5 shifts exceed MaxEjection
		duration = min(MaxEjection, MinEjection<<s.ejections)
	}
	s.ejections++
	s.consecutiveFailures = FailuresToEject - 1
	s.ejectedUntil = now + duration
	s.returnedAt = s.ejectedUntil
	s.slowStart = true
}

// ObserveIncarnation records the incarnation that an endpoint reported and returns whether
// it is new. A lower one comes from a delayed report and is ignored. A new incarnation after
// the first ends an ejection and starts with a slow start.
func (s *State) ObserveIncarnation(now time.Duration, i model.Incarnation) bool {
	if i <= s.Incarnation {
		return false
	}
	first := s.Incarnation == 0
	s.Incarnation = i
	if first {
		return true
	}
	s.consecutiveFailures = 0
	s.ejections = 0
	s.ejectedUntil = now
	s.returnedAt = now
	s.slowStart = true
	return true
}

// MayEject reports whether one more endpoint may be ejected when ejected out of total
// already are.
func MayEject(ejected, total int) bool {
	return float64(ejected+1) <= MaxEjectedShare*float64(total)
}
