package hoststop

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var began = time.Unix(1000, 0)

// A short grace period must not leave the host without time to serve, nor reorder the timetable, and
// the exit must come before the kill.
func TestSchedule_AnyGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(1, int64(10*time.Minute)).Draw(t, "grace"))
		s := NewSchedule(began, grace)
		last := began
		for name, at := range []time.Time{s.Close, s.Abandon, s.Exit, began.Add(grace)} {
			if at.Before(last) {
				t.Fatalf("time %d of %v is before the one before", name, grace)
			}
			last = at
		}
		if s.HandOver.Before(began) || s.HandOver.After(s.Close) || s.Close.Sub(began) < grace*7/10 {
			t.Fatalf("grace %v: hand over after %v, close after %v", grace, s.HandOver.Sub(began), s.Close.Sub(began))
		}
	})
}

// A host must not take what it cannot finish, nor refuse what it can.
func TestMayFinish(t *testing.T) {
	s := NewSchedule(began, 8*time.Second)
	at := func(d time.Duration) time.Time { return began.Add(d) }
	for name, c := range map[string]struct {
		now, deadline, length time.Duration
		known, want           bool
	}{
		"ends in time":                              {3 * time.Second, 13 * time.Second, 4 * time.Second, true, true},
		"outlasts the host":                         {3300 * time.Millisecond, 13 * time.Second, 4 * time.Second, true, false},
		"short, shortly before the end":             {7200 * time.Millisecond, 17 * time.Second, 150 * time.Millisecond, true, true},
		"outlasts the host, but its caller doesn't": {3300 * time.Millisecond, 7 * time.Second, 4 * time.Second, true, true},
		"unknown": {time.Second, 11 * time.Second, 0, false, false},
		"unknown, with a caller that leaves before": {time.Second, 3 * time.Second, 0, false, true},
	} {
		if got := s.MayFinish(at(c.now), Request{Deadline: at(c.deadline), Length: c.length, Known: c.known}); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against streams that are taken by a guess of their length late in a stop. Until BoundStreams, and for
// callers that leave before the host stops serving, the length counts.
func TestMayFinish_Streams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "grace"))
		s := NewSchedule(began, grace)
		now := began.Add(time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "now")))
		r := Request{
			Deadline: now.Add(time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "wait"))),
			Length:   time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "length")), Known: rapid.Bool().Draw(t, "known"),
		}
		streamed := r
		streamed.Streamed = true
		got := s.MayFinish(now, streamed)
		if want := s.MayFinish(now, r); now.Before(s.BoundStreams) && got != want {
			t.Fatalf("before the bound: %v, want %v", got, want)
		}
		if !now.Before(s.BoundStreams) && got != !r.Deadline.After(s.Abandon) {
			t.Fatalf("from the bound on: %v, deadline %v before the end", got, s.Abandon.Sub(r.Deadline))
		}
		if s.BoundStreams.Sub(began) > 3*time.Second || s.BoundStreams.After(s.Abandon) {
			t.Fatalf("bound after %v of %v", s.BoundStreams.Sub(began), grace)
		}
	})
}

// Rare long requests count for requests that may run once, and old lengths do not count for ever.
func TestLengths_Expected(t *testing.T) {
	var l Lengths
	if _, known := l.Expected(began, "a", false); known {
		t.Error("a length is known before the first request")
	}
	for i := range recentLengths {
		l.Record("a", 20*time.Millisecond)
		if i%10 == 0 {
			l.Record("a", 4*time.Second)
		}
	}
	if once, _ := l.Expected(began, "a", false); once < 4*time.Second {
		t.Errorf("one of ten requests takes 4 s, expected length %v", once)
	}
	if repeatable, _ := l.Expected(began, "a", true); repeatable > 50*time.Millisecond {
		t.Errorf("nine of ten requests take 20 ms, expected length %v", repeatable)
	}
	for range recentLengths {
		l.Record("a", 30*time.Millisecond)
	}
	if once, _ := l.Expected(began, "a", false); once > 50*time.Millisecond {
		t.Errorf("all recent requests take 30 ms, expected length %v", once)
	}
	l.Record("a", 4*time.Second)
	for range recentLengths - 1 {
		l.Record("a", 30*time.Millisecond)
	}
	if once, _ := l.Expected(began, "a", false); once < 4*time.Second {
		t.Errorf("one of the recent requests took 4 s, expected length %v", once)
	}
	l.Record("a", 30*time.Millisecond)
	for i := range 3 * maxClasses {
		l.Record(string(rune(i)), time.Second)
	}
	if len(l.classes) > maxClasses {
		t.Errorf("%d classes, want at most %d", len(l.classes), maxClasses)
	}
}

// Requests that run for longer than the recent ones took count for those that may run only once, until they
// end and in their class only.
func TestLengths_RunningRequests(t *testing.T) {
	var l Lengths
	expected := func(class string, repeatable bool) time.Duration {
		length, _ := l.Expected(began.Add(2*time.Second), class, repeatable)
		return length
	}
	for _, class := range []string{"a", "b"} {
		l.Record(class, 20*time.Millisecond)
	}
	r := l.Begin("a", began)
	if got := expected("a", false); got != 2*time.Second {
		t.Errorf("a request has run for 2 s, expected length %v", got)
	}
	if a, b := expected("a", true), expected("b", false); max(a, b) > 50*time.Millisecond {
		t.Errorf("expected lengths of a request that may be repeated %v, of another class %v", a, b)
	}
	l.End(r)
	if got := expected("a", false); got > 50*time.Millisecond || len(l.running) > 0 {
		t.Errorf("after the end: expected length %v, %d requests run", got, len(l.running))
	}
}
