package lapses

import (
	"testing"
	"time"
)

const (
	ms     = time.Millisecond
	second = time.Second
	// refresh is the interval at which endpoints refresh their entries.
	refresh = 1200 * ms
)

// answers records an answer every 450 ms between two times.
func answers(t *Tracker, from, to time.Duration) {
	for at := from; at <= to; at += 450 * ms {
		t.Answered(at)
	}
}

// silence records failed calls between two times, each of which takes 700 ms.
func silence(t *Tracker, from, to time.Duration) {
	for at := from; at < to; at += 750 * ms {
		t.Failed(at)
	}
}

// An endpoint that is removed once the store is stable, 3 s after its return, must be gone with the next
// listing, and one whose entry expired during the outage must be kept for two seconds after the return.
// Regression test (review case 5): the time counted from the listing that first lacked the entry.
func TestTracker_CountsFromTheReturn(t *testing.T) {
	const outage = 100 * second
	for _, c := range []struct {
		name string
		// length is that of the outage, noticed the time from its end to the first answer, and
		// lastFailed that from the last failed call to its end.
		length, noticed, lastFailed time.Duration
		// kept is whether an endpoint whose entry expired is in use after 1.9 s.
		kept bool
	}{
		{"long", 20 * second, 100 * ms, 300 * ms, true},
		{"that of the review", 4500 * ms, 700 * ms, 10 * ms, true},
		{"just long enough", 2300 * ms, 100 * ms, 600 * ms, true},
		{"too short for an entry to expire", 1500 * ms, 100 * ms, 600 * ms, false},
		{"first answer late", 6 * second, 2 * second, 10 * ms, true},
		{"first answer very late", 6 * second, 2900 * ms, 10 * ms, true},
	} {
		returned := outage + c.length
		x := NewTracker(refresh)
		answers(x, outage-5*second, outage)
		silence(x, outage+100*ms, returned-c.lastFailed)
		x.Failed(returned - c.lastFailed)
		x.Answered(returned + c.noticed)
		if requested := max(returned+1900*ms, returned+c.noticed); x.MayReturn(requested, false) != c.kept {
			t.Errorf("%s: an endpoint missing %v after the return may return: %v", c.name, requested-returned, !c.kept)
		}
		// A removal after 3.02 s has to count within the shortest drain time that is in use, 2 s.
		answers(x, returned+c.noticed, returned+4900*ms)
		if x.MayReturn(returned+4900*ms, false) {
			t.Errorf("%s: an endpoint missing 4.9 s after the return is kept", c.name)
		}
		if c.noticed <= 750*ms && x.MayReturn(returned+3*second, false) {
			t.Errorf("%s: an endpoint missing 3 s after the return is kept", c.name)
		}
	}
}

// Endpoints that could not register again before a second, short outage must be kept after it as well, but
// single lost answers must not keep the removed ones for ever.
func TestTracker_TwoOutagesCloseTogether(t *testing.T) {
	x := NewTracker(refresh)
	answers(x, 0, 10*second)
	silence(x, 10*second, 14*second)
	x.Answered(14 * second)
	silence(x, 14800*ms, 16300*ms)
	x.Answered(16300 * ms)
	if !x.MayReturn(18*second, true) {
		t.Error("endpoints are dropped 1.7 s after the second outage")
	}
	if x.MayReturn(19*second, true) {
		t.Error("missing endpoints are kept 2.7 s after the second outage")
	}
	for at := 16300 * ms; at < 60*second; at += 1200 * ms {
		x.Failed(at + 450*ms)
		x.Answered(at + 1200*ms)
	}
	if x.MayReturn(60*second, true) {
		t.Error("lost answers prolong the time without end")
	}
}

// A host stands still for a second, or single answers are late, shortly before the store counts as stable. An endpoint
// that leaves just then was listed before, so it must be gone with the next listing. Found by the fifth of five plays of
// review case 5, beside load.
func TestTracker_ShortStallKeepsNoRemovedEndpoint(t *testing.T) {
	x := NewTracker(refresh)
	answers(x, 0, 10*second)
	silence(x, 10*second, 14500*ms)
	answers(x, 15200*ms, 17*second) // 14.5 s is the end of the outage
	x.Failed(17100 * ms)
	x.Answered(18100 * ms)
	if x.MayReturn(18100*ms, false) {
		t.Error("an endpoint that was listed after the outage and is missing 3.6 s after it is kept")
	}
}

// A host that learns of the answers to other hosts must not take its own loss of the store for an outage.
func TestTracker_AnswersToOtherHostsCount(t *testing.T) {
	x := NewTracker(refresh)
	answers(x, 0, 10*second)
	silence(x, 10*second, 20*second)
	answers(x, 10*second, 20*second) // as peers report them
	if x.MayReturn(20*second, false) {
		t.Error("an outage that only this host saw keeps missing endpoints")
	}
	if x.Answered(19 * second); x.MayReturn(20*second, false) {
		t.Error("a late report of an answer counts as a return")
	}
}

// A host that starts after the outage knows of none.
func TestTracker_StartAfterTheOutage(t *testing.T) {
	x := NewTracker(refresh)
	if x.Answered(second) || x.MayReturn(second, false) {
		t.Error("the first answer counts as a return")
	}
}

// Entries of endpoints that refresh them at another interval expire after another time.
func TestTracker_OtherInterval(t *testing.T) {
	for interval, expires := range map[time.Duration]bool{3 * second: false, refresh: true, 400 * ms: true} {
		x := NewTracker(interval)
		answers(x, 0, 9900*ms)
		x.Answered(14 * second)
		if x.MayReturn(15*second, false) != expires {
			t.Errorf("an outage of 4.1 s, entries refreshed each %v: may have expired %v, want %v", interval, !expires, expires)
		}
	}
	x := NewTracker(400 * ms)
	answers(x, 0, 9900*ms)
	if x.Answered(9900*ms + 1300*ms); x.MayReturn(12*second, false) {
		t.Error("the change of the host that reads the store counts as an outage")
	}
}
