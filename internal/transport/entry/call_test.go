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

func TestEachCallerGetsTheAnswerToItsOwnRequest(t *testing.T) {
	b := newBed(t)
	for range 3 {
		b.plain(standin.PlainOptions{ServiceTime: time.Millisecond})
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

func TestNonIdempotentCallRunsOnceOverResends(t *testing.T) {
	b := newBed(t)
	p := b.plain(standin.PlainOptions{ServiceTime: 20 * time.Millisecond})
	q := b.plain(standin.PlainOptions{ServiceTime: 20 * time.Millisecond})
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
		t.Fatalf("ran %d times", n)
	}
}

func TestDeadlineOfARunningClaimedCallSaysWhenToAskAgain(t *testing.T) {
	b := newBed(t)
	p := b.plain(standin.PlainOptions{})
	p.SetFaults(standin.Faults{Pause: true})
	b.apply(nil)
	r := b.call("issue", "c2", httpapi.IdempotencyKeyHeader, "k2", httpapi.DeadlineHeader, "200")
	if r.code != resultcode.InProgress || r.outcome != resultcode.Unknown || r.header.Get(httpapi.RetryAfterMsHeader) == "" {
		t.Fatalf("at the deadline: %+v", r)
	}
	p.SetFaults(standin.Faults{})
	r = b.call("issue", "c2", httpapi.IdempotencyKeyHeader, "k2")
	if r.body != standin.PlainAnswer("issue", "c2") || len(p.Runs()) != 1 {
		t.Fatalf("resend got %+v after %d runs", r, len(p.Runs()))
	}
}

func TestUnknownNamesAreRefusedAsNotRun(t *testing.T) {
	b := newBed(t)
	b.plain(standin.PlainOptions{})
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
