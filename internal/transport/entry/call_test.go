package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// Concurrent callers each receive the answer to their own request.
func TestCall_AnswerMatchesRequest(t *testing.T) {
	b := newTestEnv(t)
	for range 3 {
		b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	}
	b.apply(nil)
	var running sync.WaitGroup
	for c := range 16 {
		running.Go(func() {
			for i := range 20 {
				body := fmt.Sprintf("%d-%d", c, i)
				r, err := b.tryCall("lookup", body)
				if err != nil || r.body != standin.PlainAnswer("lookup", body) || r.outcome != resultcode.Ran {
					t.Errorf("%s: got %+v, %v", body, r, err)
				}
			}
		})
	}
	running.Wait()
}

// A non-idempotent call without a key is refused. Concurrent requests with the same key run
// once, and all receive the answer.
func TestNonIdempotentCall_RunsOnceAcrossRetries(t *testing.T) {
	b := newTestEnv(t)
	p := b.plain(standin.PlainServiceOptions{ServiceTime: 20 * time.Millisecond})
	q := b.plain(standin.PlainServiceOptions{ServiceTime: 20 * time.Millisecond})
	b.apply(nil)
	if r := b.call("issue", "c1"); r.code != resultcode.KeyRequired || r.outcome != resultcode.NotRun {
		t.Fatalf("without key: %+v", r)
	}
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			r, err := b.tryCall("issue", "c1", httpapi.IdempotencyKeyHeader, "k1")
			if err != nil || r.body != standin.PlainAnswer("issue", "c1") {
				t.Errorf("got %+v, %v", r, err)
			}
		})
	}
	running.Wait()
	if n := len(p.Runs()) + len(q.Runs()); n != 1 {
		t.Fatalf("ran %d times, want 1", n)
	}
}

// A claimed call that is still running at its deadline fails with in_progress and a
// Retry-After. A retry with the same key receives the answer without a second run.
func TestClaimedCall_InProgressAtDeadline(t *testing.T) {
	b := newTestEnv(t)
	p := b.plain(standin.PlainServiceOptions{})
	p.SetFaults(standin.Faults{Pause: true})
	b.apply(nil)
	r := b.call("issue", "c2", httpapi.IdempotencyKeyHeader, "k2", httpapi.DeadlineHeader, "200")
	if r.code != resultcode.InProgress || r.outcome != resultcode.Unknown || r.header.Get(httpapi.RetryAfterMsHeader) == "" {
		t.Fatalf("at the deadline: %+v", r)
	}
	p.SetFaults(standin.Faults{})
	r = b.call("issue", "c2", httpapi.IdempotencyKeyHeader, "k2")
	if r.body != standin.PlainAnswer("issue", "c2") || len(p.Runs()) != 1 {
		t.Fatalf("retry got %+v after %d runs", r, len(p.Runs()))
	}
}

// Requests before the first view, of unknown callers and to unknown services are refused.
// Unknown names have the outcome not run.
func TestUnknownNames_RefusedAsNotRun(t *testing.T) {
	b := newTestEnv(t)
	b.plain(standin.PlainServiceOptions{})
	if r := b.call("lookup", "x"); r.code != resultcode.NoEndpoint {
		t.Fatalf("before the first view: %+v", r)
	}
	b.apply(nil)
	if r := b.call("lookup", "x", httpapi.CallerHeader, "stranger"); r.code != resultcode.UnknownCaller || r.outcome != resultcode.NotRun {
		t.Fatalf("unknown caller: %+v", r)
	}
	r, err := b.post("/v1/services/none/lookup", "x")
	if err != nil || r.code != resultcode.UnknownService || r.outcome != resultcode.NotRun {
		t.Fatalf("unknown service: %+v, %v", r, err)
	}
}
