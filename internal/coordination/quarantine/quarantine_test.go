package quarantine

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

var testStart = time.Unix(1000, 0)

const crashing, harmless = uint64(1), uint64(2)

func verdict(l *List, now time.Time, f uint64) Verdict {
	v, _ := l.Check(now, f)
	return v
}

// A request that crashed two endpoints is refused until the entry expires. After the first
// crash only one request with the fingerprint runs at a time. Other fingerprints are not
// affected.
func TestQuarantine_AfterTwoCrashesUntilExpiry(t *testing.T) {
	l := New()
	if v := verdict(l, testStart, crashing); v != Clear {
		t.Fatalf("verdict before any crash: %v, want Clear", v)
	}
	l.RecordCrash(testStart, crashing, Crash{Endpoint: "a", StartedAt: testStart.Add(-time.Second)})
	if v := verdict(l, testStart, crashing); v != Suspect {
		t.Fatalf("verdict after one crash: %v, want Suspect", v)
	}
	if v := verdict(l, testStart, crashing); v != Busy {
		t.Fatalf("verdict while another attempt runs: %v, want Busy", v)
	}
	l.EndAttempt(crashing)
	l.RecordCrash(testStart, crashing, Crash{Endpoint: "b", StartedAt: testStart})
	v, left := l.Check(testStart.Add(time.Second), crashing)
	if v != Refuse || left != Lifetime-time.Second {
		t.Fatalf("verdict after two crashes: %v for %v, want Refuse for Lifetime less 1 s", v, left)
	}
	if v := verdict(l, testStart, harmless); v != Clear {
		t.Fatalf("verdict on another fingerprint: %v, want Clear", v)
	}
	if v := verdict(l, testStart.Add(Lifetime), crashing); v != Clear {
		t.Fatalf("verdict after expiry: %v, want Clear", v)
	}
}

// Two attempts that ran on the same incarnation both observe its crash, which counts once.
// A crash of the next incarnation counts again.
func TestCrash_CountedOncePerIncarnation(t *testing.T) {
	l := New()
	began := testStart.Add(-time.Second)
	if !l.RecordCrash(testStart, crashing, Crash{Endpoint: "a", StartedAt: began}) || l.RecordCrash(testStart, crashing, Crash{Endpoint: "a", StartedAt: began}) {
		t.Fatal("crash of one incarnation not counted, or counted for two attempts")
	}
	if !l.RecordCrash(testStart.Add(time.Minute), crashing, Crash{Endpoint: "a", StartedAt: testStart.Add(time.Second)}) {
		t.Fatal("crash of the next incarnation not counted")
	}
	if v := verdict(l, testStart.Add(time.Minute), crashing); v != Refuse {
		t.Fatalf("verdict = %v, want Refuse", v)
	}
}

// Endpoints that crash together, for instance with their rack, must not quarantine content
// that many requests share. A later crash in a new attempt counts.
func TestSharedContent_SimultaneousCrashes(t *testing.T) {
	l := New()
	for _, e := range []model.EndpointID{"a", "b", "c"} {
		l.RecordCrash(testStart, harmless, Crash{Endpoint: e, StartedAt: testStart.Add(-time.Second), Shared: true})
	}
	if v := verdict(l, testStart, harmless); v != Suspect {
		t.Fatalf("verdict after simultaneous crashes: %v, want Suspect", v)
	}
	l.RecordCrash(testStart.Add(time.Second), harmless, Crash{Endpoint: "d", StartedAt: testStart.Add(time.Millisecond), Shared: true})
	if v := verdict(l, testStart.Add(time.Second), harmless); v != Refuse {
		t.Fatalf("verdict after a later crash: %v, want Refuse", v)
	}
}

// An answer clears a single crash but does not lift a quarantine reported by another host,
// and reported crashes are not reported further as local ones.
func TestAnswer_ClearsSuspicionNotQuarantine(t *testing.T) {
	l := New()
	l.RecordCrash(testStart, harmless, Crash{Endpoint: "a", StartedAt: testStart})
	l.RecordAnswer(testStart, harmless)
	if v := verdict(l, testStart, harmless); v != Clear {
		t.Fatalf("verdict after an answer: %v, want Clear", v)
	}
	l.Merge(testStart, []model.QuarantinedRequest{{Fingerprint: crashing, Crashes: 2, Remaining: time.Hour}})
	l.RecordAnswer(testStart, crashing)
	if v, left := l.Check(testStart, crashing); v != Refuse || left > Lifetime {
		t.Fatalf("verdict after a report of two crashes: %v for %v, want Refuse for at most Lifetime", v, left)
	}
	if reports := l.Report(testStart); len(reports) != 0 {
		t.Fatalf("remote crashes reported as local: %v", reports)
	}
}

// Crashes of many different requests must not let the list grow without bound: the entry
// that expires first is evicted.
func TestListBounded(t *testing.T) {
	l := New()
	for i := range uint64(maxEntries + 10) {
		l.RecordCrash(testStart.Add(time.Duration(i)), i, Crash{Endpoint: "a", StartedAt: testStart})
	}
	if len(l.entries) != maxEntries || l.entries[0] != nil {
		t.Fatalf("%d entries, want maxEntries without the one that expires first", len(l.entries))
	}
}

// A report of the crash that an answer cleared may arrive after the answer. It is ignored
// for Lifetime.
func TestReport_IgnoredAfterAnswer(t *testing.T) {
	l := New()
	reports := []model.QuarantinedRequest{{Fingerprint: harmless, Crashes: 1, Remaining: Lifetime}}
	l.Merge(testStart, reports)
	l.RecordAnswer(testStart, harmless)
	l.Merge(testStart, reports)
	if v := verdict(l, testStart, harmless); v != Clear {
		t.Fatalf("verdict after a repeated report: %v, want Clear", v)
	}
	l.Merge(testStart.Add(Lifetime), reports)
	if v := verdict(l, testStart.Add(Lifetime), harmless); v != Suspect {
		t.Fatalf("verdict after a report past Lifetime: %v, want Suspect", v)
	}
}

// An answer must not hide later crashes: neither a local one, nor a remote report of
// MaxCrashes.
func TestAnswer_NewCrashesStillCount(t *testing.T) {
	l := New()
	l.Merge(testStart, []model.QuarantinedRequest{{Fingerprint: crashing, Crashes: 1, Remaining: Lifetime}})
	l.RecordAnswer(testStart, crashing)
	l.RecordCrash(testStart, crashing, Crash{Endpoint: "a", StartedAt: testStart})
	l.Merge(testStart, []model.QuarantinedRequest{{Fingerprint: crashing, Crashes: 1, Remaining: Lifetime}})
	if v := verdict(l, testStart, crashing); v != Suspect {
		t.Fatalf("verdict after a crash that followed the answer: %v, want Suspect", v)
	}
	l.EndAttempt(crashing)
	l.RecordAnswer(testStart, crashing)
	l.Merge(testStart, []model.QuarantinedRequest{{Fingerprint: crashing, Crashes: MaxCrashes, Remaining: Lifetime}})
	if v := verdict(l, testStart, crashing); v != Refuse {
		t.Fatalf("verdict after a report of two crashes: %v, want Refuse", v)
	}
}

// Answers to many suspect requests must not let the cleared fingerprints grow without bound.
func TestClearedSetBounded(t *testing.T) {
	l := New()
	for i := range uint64(maxEntries + 10) {
		l.RecordCrash(testStart, i, Crash{Endpoint: "a", StartedAt: testStart})
		l.RecordAnswer(testStart.Add(time.Duration(i)), i)
	}
	if len(l.clearedUntil) != maxEntries {
		t.Fatalf("%d cleared fingerprints, want maxEntries", len(l.clearedUntil))
	}
}

// Guards against a request that crashes an endpoint at each host at which it arrives (review case 10): crashes of
// hosts that ran it one after another add up. Those of attempts that ran at the same time do not.
func TestCrash_AddedToThoseOfOtherHosts(t *testing.T) {
	const hosts = 8
	for _, after := range []bool{true, false} {
		lists := make([]*List, hosts)
		for i := range lists {
			lists[i] = New()
		}
		crashes := 0
		for i, l := range lists {
			now := testStart.Add(time.Duration(i) * time.Second)
			if verdict(l, now, crashing) == Refuse {
				continue
			}
			began := testStart.Add(-time.Second)
			if after {
				began = now.Add(-100 * time.Millisecond)
			}
			l.EndAttempt(crashing)
			l.RecordCrash(now, crashing, Crash{Endpoint: "e", StartedAt: began})
			crashes++
			for _, other := range lists { // the report comes back to its host, too
				other.Merge(now.Add(time.Millisecond), l.Report(now))
				other.Merge(now.Add(300*time.Millisecond), l.Report(now.Add(300*time.Millisecond)))
			}
		}
		if want := map[bool]int{true: maxConsecutive, false: hosts}[after]; crashes != want {
			t.Errorf("attempts one after another %v: %d crashes, want %d", after, crashes, want)
		}
	}
}

// An answer ends the count of crashes at its host.
func TestCrash_AnswerEndsConsecutiveCrashes(t *testing.T) {
	l := New()
	reports := []model.QuarantinedRequest{{Fingerprint: harmless, Crashes: 1, Consecutive: 2, Remaining: Lifetime}}
	l.Merge(testStart, reports)
	l.RecordAnswer(testStart.Add(time.Second), harmless)
	l.Merge(testStart.Add(2*time.Second), reports)
	l.RecordCrash(testStart.Add(4*time.Second), harmless, Crash{Endpoint: "a", StartedAt: testStart.Add(3 * time.Second)})
	if v := verdict(l, testStart.Add(4*time.Second), harmless); v != Suspect {
		t.Errorf("verdict %v, want Suspect", v)
	}
}
