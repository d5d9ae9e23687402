package retries

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any sequence of successes and failures, the extra attempts stay within BudgetRatio
// times the successes plus Reserve. No request that is not idempotent is sent again when
// it may have run, and no retry exceeds MaxAttempts or the deadline.
func TestDecide_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		successes, extra := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			if rapid.Bool().Draw(t, "success") {
				successes++
				b.Deposit()
				continue
			}
			a := Request{
				Failure:     Failure(rapid.IntRange(1, 2).Draw(t, "failure")),
				Attempts:    rapid.IntRange(1, MaxAttempts+1).Draw(t, "made"),
				Idempotent:  rapid.Bool().Draw(t, "idempotent"),
				Remaining:   time.Duration(rapid.IntRange(0, 500).Draw(t, "left")) * time.Millisecond,
				ServiceTime: 20 * time.Millisecond,
			}
			if rapid.Bool().Draw(t, "hedge") {
				if Hedge(b, a) {
					extra++
					if !a.Idempotent {
						t.Fatal("hedged a request that is not idempotent")
					}
				}
				continue
			}
			verdict, wait := Decide(b, a, rapid.Uint64().Draw(t, "random"))
			if verdict != Retry {
				continue
			}
			extra++
			if a.Failure == FailureUnknown && !a.Idempotent || a.Attempts >= MaxAttempts || wait >= a.Remaining {
				t.Fatalf("invalid retry of %+v after %v", a, wait)
			}
		}
		if float64(extra) > Reserve+BudgetRatio*float64(successes) {
			t.Fatalf("%d extra attempts after %d successes, want at most Reserve + BudgetRatio per success", extra, successes)
		}
	})
}

// Without successes only Reserve retries are possible: retries against a target that fails
// every request must not multiply its load.
func TestDecide_BudgetExhausted(t *testing.T) {
	b := NewBudget()
	a := Request{Failure: FailureNotRun, Attempts: 1, Remaining: time.Hour}
	for range int(Reserve) {
		if v, _ := Decide(b, a, 1); v != Retry {
			t.Fatalf("verdict = %v, want Retry", v)
		}
	}
	if v, _ := Decide(b, a, 1); v != StopBudget {
		t.Fatalf("verdict = %v, want StopBudget", v)
	}
}
