// Package retries decides whether a request gets another attempt.
//
// Invariant: a request that may not be repeated gets another attempt only when
// every attempt so far certainly did not run; extra attempts never exceed
// BudgetShare of the successes plus the reserve.
package retries

import "time"

const (
	// BudgetShare is the extra attempts earned by one success.
	BudgetShare = 0.08
	// Reserve is the extra attempts available before any success, and the most
	// that can be saved up.
	Reserve = 10.0
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 4
	// baseBackoff is the mean wait before the first repeat; it doubles each time.
	baseBackoff = 4 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond
)

// Budget holds the extra attempts that a target may still make.
type Budget struct{ left float64 }

// NewBudget returns a budget with its reserve.
func NewBudget() *Budget { return &Budget{left: Reserve} }

// Earn notes a success.
func (b *Budget) Earn() { b.left = min(Reserve, b.left+BudgetShare) }

// Spend takes one extra attempt; false when the budget is spent.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Failure says what is known of a failed attempt.
type Failure int

// The kinds of failure.
const (
	// FailureNotRun: the attempt certainly did not run.
	FailureNotRun Failure = iota + 1
	// FailureUnknown: the attempt may have run.
	FailureUnknown
)

// Attempt describes a request after a failed attempt.
type Attempt struct {
	Failure Failure
	// Made is the number of attempts made.
	Made       int
	Idempotent bool
	// Left is the time to the deadline, Service the expected time of an attempt.
	Left    time.Duration
	Service time.Duration
}

// Verdict says what follows a failed attempt.
type Verdict int

// The verdicts.
const (
	// Retry after the wait.
	Retry Verdict = iota + 1
	// StopNotRepeatable: the request may have run and may not be repeated.
	StopNotRepeatable
	// StopDeadline: another attempt could not end in time.
	StopDeadline
	// StopAttempts: the request had its attempts.
	StopAttempts
	// StopBudget: the target's budget is spent.
	StopBudget
)

// Decide returns what follows a failed attempt. random is a random number that
// jitters the wait. A Retry has taken its part of the budget.
func Decide(b *Budget, a Attempt, random uint64) (Verdict, time.Duration) {
	if a.Failure == FailureUnknown && !a.Idempotent {
		return StopNotRepeatable, 0
	}
	if a.Made >= MaxAttempts {
		return StopAttempts, 0
	}
	wait := Backoff(a.Made, random)
	if a.Left < wait+a.Service/2 {
		return StopDeadline, 0
	}
	if !b.Spend() {
		return StopBudget, 0
	}
	return Retry, wait
}

// Backoff is the wait after the given number of attempts: exponential, with jitter
// over its whole length.
func Backoff(made int, random uint64) time.Duration {
	ceiling := maxBackoff
	if made < 6 {
		ceiling = min(maxBackoff, 2*baseBackoff<<max(0, made-1))
	}
	return time.Duration(random % uint64(ceiling))
}

// Hedge decides on a second attempt beside one that takes long. Only a request
// that may be repeated gets one, out of the same budget.
func Hedge(b *Budget, a Attempt) bool {
	return a.Idempotent && a.Made < 2 && a.Left > a.Service && b.Spend()
}
