// Package retries decides whether a failed request is retried and whether a slow one is
// hedged, within a retry budget.
//
// Invariant: a request that is not idempotent is retried only if every attempt so far
// certainly did not run; extra attempts never exceed BudgetRatio times the successes plus
// Reserve.
package retries

import "time"

const (
	// BudgetRatio is the number of extra attempts added to the budget per success.
	BudgetRatio = 0.08
	// Reserve is the number of extra attempts available before any success, and the
	// capacity of the budget.
	Reserve = 10.0
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts = 4
	// baseBackoff is the mean wait before the first retry. It doubles with each further
	// retry. maxBackoff bounds the wait, not its mean.
	baseBackoff = 4 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond
)

// Budget holds the number of extra attempts left for a target. It is not safe for
// concurrent use.
type Budget struct{ balance float64 }

// NewBudget returns a budget of Reserve extra attempts.
func NewBudget() *Budget { return &Budget{balance: Reserve} }

// Deposit adds BudgetRatio for a successful request.
func (b *Budget) Deposit() { b.balance = min(Reserve, b.balance+BudgetRatio) }

// Withdraw takes one extra attempt from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Failure classifies a failed attempt by whether it may have run.
type Failure int

// The kinds of failure.
const (
	// FailureNotRun: the attempt certainly did not run.
	FailureNotRun Failure = iota + 1
	// FailureUnknown: the attempt may have run.
	FailureUnknown
)

// Request describes a request for a decision on another attempt.
type Request struct {
	// Failure classifies the last attempt. Hedge does not use it.
	Failure Failure
	// Attempts is the number of attempts started so far, including the failed or slow one.
	Attempts   int
	Idempotent bool
	// Remaining is the time to the deadline, ServiceTime the expected service time of an
	// attempt.
	Remaining   time.Duration
	ServiceTime time.Duration
}

// Verdict is the decision after a failed attempt.
type Verdict int

// The verdicts.
const (
	// Retry: start another attempt after the wait.
	Retry Verdict = iota + 1
	// StopNotRetryable: the attempt may have run and the request is not idempotent.
	StopNotRetryable
	// StopDeadline: another attempt could not complete before the deadline.
	StopDeadline
	// StopAttempts: the request reached MaxAttempts.
	StopAttempts
	// StopBudget: the target's budget is exhausted.
	StopBudget
)

// Decide returns the decision after a failed attempt and, for Retry, the wait before the
// next one. random sets the jitter of the wait. For Retry, the extra attempt has already
// been withdrawn from the budget.
func Decide(b *Budget, a Request, random uint64) (Verdict, time.Duration) {
	if a.Failure == FailureUnknown && !a.Idempotent {
		return StopNotRetryable, 0
	}
	if a.Attempts >= MaxAttempts {
		return StopAttempts, 0
	}
	wait := Backoff(a.Attempts, random)
	if a.Remaining < wait+a.ServiceTime/2 {
		return StopDeadline, 0
	}
	if !b.Withdraw() {
		return StopBudget, 0
	}
	return Retry, wait
}

// Backoff returns the wait after the given number of attempts: exponential backoff with
// full jitter.
func Backoff(attempts int, random uint64) time.Duration {
	ceiling := maxBackoff
	if attempts < 6 { // keeps the shift in range; larger values exceed maxBackoff
		ceiling = min(maxBackoff, 2*baseBackoff<<max(0, attempts-1))
	}
	return time.Duration(random % uint64(ceiling))
}

// Hedge reports whether to start a second attempt while a slow first one is running. Only
// an idempotent request is hedged, once, and its extra attempt is withdrawn from the same
// budget.
func Hedge(b *Budget, a Request) bool {
	return a.Idempotent && a.Attempts < 2 && a.Remaining > a.ServiceTime && b.Withdraw()
}
