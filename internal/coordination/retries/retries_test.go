package retries

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestExtraAttemptsStayInTheBudget: over any run of successes and failures the
// extra attempts are at most the share of the successes and the reserve, and none
// repeats what may have run and may not be repeated.
func TestExtraAttemptsStayInTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		successes, extra := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			if rapid.Bool().Draw(t, "success") {
				successes++
				b.Earn()
				continue
			}
			a := Attempt{
				Failure:    Failure(rapid.IntRange(1, 2).Draw(t, "failure")),
				Made:       rapid.IntRange(1, MaxAttempts+1).Draw(t, "made"),
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Left:       time.Duration(rapid.IntRange(0, 500).Draw(t, "left")) * time.Millisecond,
				Service:    20 * time.Millisecond,
			}
			if rapid.Bool().Draw(t, "hedge") {
				if Hedge(b, a) {
					extra++
					if !a.Idempotent {
						t.Fatal("hedged what may not be repeated")
					}
				}
				continue
			}
			verdict, wait := Decide(b, a, rapid.Uint64().Draw(t, "random"))
			if verdict != Retry {
				continue
			}
			extra++
			if a.Failure == FailureUnknown && !a.Idempotent || a.Made >= MaxAttempts || wait >= a.Left {
				t.Fatalf("retried %+v after %v", a, wait)
			}
		}
		if float64(extra) > Reserve+BudgetShare*float64(successes) {
			t.Fatalf("%d extra attempts after %d successes", extra, successes)
		}
	})
}

func TestWithoutSuccessesTheBudgetIsSpent(t *testing.T) {
	b := NewBudget()
	a := Attempt{Failure: FailureNotRun, Made: 1, Left: time.Hour}
	for range int(Reserve) {
		if v, _ := Decide(b, a, 1); v != Retry {
			t.Fatalf("got %v", v)
		}
	}
	if v, _ := Decide(b, a, 1); v != StopBudget {
		t.Fatalf("got %v", v)
	}
}
