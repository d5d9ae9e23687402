package quarantine

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

var epoch = time.Unix(1000, 0)

const poison, harmless = uint64(1), uint64(2)

func verdict(l *List, now time.Time, f uint64) Verdict {
	v, _ := l.Check(now, f)
	return v
}

func TestSecondDeathRefusesUntilExpiry(t *testing.T) {
	l := New()
	if v := verdict(l, epoch, poison); v != Clear {
		t.Fatalf("at first: %v", v)
	}
	l.Died(epoch, poison, Death{Endpoint: "a", Began: epoch.Add(-time.Second)})
	if v := verdict(l, epoch, poison); v != Suspect {
		t.Fatalf("after one death: %v", v)
	}
	if v := verdict(l, epoch, poison); v != Busy {
		t.Fatalf("while one of its like runs: %v", v)
	}
	l.Done(poison)
	l.Died(epoch, poison, Death{Endpoint: "b", Began: epoch})
	v, left := l.Check(epoch.Add(time.Second), poison)
	if v != Refuse || left != Lifetime-time.Second {
		t.Fatalf("after two deaths: %v for %v", v, left)
	}
	if v := verdict(l, epoch, harmless); v != Clear {
		t.Fatalf("another request: %v", v)
	}
	if v := verdict(l, epoch.Add(Lifetime), poison); v != Clear {
		t.Fatalf("after its lifetime: %v", v)
	}
}

func TestOneDeathCountsOnce(t *testing.T) {
	l := New()
	began := epoch.Add(-time.Second)
	if !l.Died(epoch, poison, Death{Endpoint: "a", Began: began}) || l.Died(epoch, poison, Death{Endpoint: "a", Began: began}) {
		t.Fatal("two attempts of one life made two deaths")
	}
	if !l.Died(epoch.Add(time.Minute), poison, Death{Endpoint: "a", Began: epoch.Add(time.Second)}) {
		t.Fatal("the next life's death did not count")
	}
	if v := verdict(l, epoch.Add(time.Minute), poison); v != Refuse {
		t.Fatalf("got %v", v)
	}
}

func TestEndpointsThatDieTogetherDoNotCondemnSharedContent(t *testing.T) {
	l := New()
	for _, e := range []model.EndpointID{"a", "b", "c"} {
		l.Died(epoch, harmless, Death{Endpoint: e, Began: epoch.Add(-time.Second), Shared: true})
	}
	if v := verdict(l, epoch, harmless); v != Suspect {
		t.Fatalf("after a rack died: %v", v)
	}
	l.Died(epoch.Add(time.Second), harmless, Death{Endpoint: "d", Began: epoch.Add(time.Millisecond), Shared: true})
	if v := verdict(l, epoch.Add(time.Second), harmless); v != Refuse {
		t.Fatalf("after a death of its own: %v", v)
	}
}

func TestAnswerClearsSuspicionButNotQuarantine(t *testing.T) {
	l := New()
	l.Died(epoch, harmless, Death{Endpoint: "a", Began: epoch})
	l.Answered(epoch, harmless)
	if v := verdict(l, epoch, harmless); v != Clear {
		t.Fatalf("after an answer: %v", v)
	}
	l.Merge(epoch, []model.QuarantinedRequest{{Fingerprint: poison, Crashes: 2, Remaining: time.Hour}})
	l.Answered(epoch, poison)
	if v, left := l.Check(epoch, poison); v != Refuse || left > Lifetime {
		t.Fatalf("heard of two deaths: %v for %v", v, left)
	}
	if own := l.Report(epoch); len(own) != 0 {
		t.Fatalf("what was heard is reported as own: %v", own)
	}
}

func TestListIsBounded(t *testing.T) {
	l := New()
	for i := range uint64(maxEntries + 10) {
		l.Died(epoch.Add(time.Duration(i)), i, Death{Endpoint: "a", Began: epoch})
	}
	if len(l.entries) != maxEntries || l.entries[0] != nil {
		t.Fatalf("%d entries", len(l.entries))
	}
}

func TestWhatAnAnswerClearedIsNotHeardAgain(t *testing.T) {
	l := New()
	one := []model.QuarantinedRequest{{Fingerprint: harmless, Crashes: 1, Remaining: Lifetime}}
	l.Merge(epoch, one)
	l.Answered(epoch, harmless)
	l.Merge(epoch, one)
	if v := verdict(l, epoch, harmless); v != Clear {
		t.Fatalf("old news after an answer: %v", v)
	}
	l.Merge(epoch.Add(Lifetime), one)
	if v := verdict(l, epoch.Add(Lifetime), harmless); v != Suspect {
		t.Fatalf("a report after the answer's lifetime: %v", v)
	}
}

func TestClearedContentIsStillQuarantinedForItsDeaths(t *testing.T) {
	l := New()
	l.Merge(epoch, []model.QuarantinedRequest{{Fingerprint: poison, Crashes: 1, Remaining: Lifetime}})
	l.Answered(epoch, poison)
	l.Died(epoch, poison, Death{Endpoint: "a", Began: epoch})
	l.Merge(epoch, []model.QuarantinedRequest{{Fingerprint: poison, Crashes: 1, Remaining: Lifetime}})
	if v := verdict(l, epoch, poison); v != Suspect {
		t.Fatalf("a death after the answer: %v", v)
	}
	l.Done(poison)
	l.Answered(epoch, poison)
	l.Merge(epoch, []model.QuarantinedRequest{{Fingerprint: poison, Crashes: MaxCrashes, Remaining: Lifetime}})
	if v := verdict(l, epoch, poison); v != Refuse {
		t.Fatalf("two deaths elsewhere: %v", v)
	}
}

func TestClearedSetIsBounded(t *testing.T) {
	l := New()
	for i := range uint64(maxEntries + 10) {
		l.Died(epoch, i, Death{Endpoint: "a", Began: epoch})
		l.Answered(epoch.Add(time.Duration(i)), i)
	}
	if len(l.cleared) != maxEntries {
		t.Fatalf("%d cleared", len(l.cleared))
	}
}
