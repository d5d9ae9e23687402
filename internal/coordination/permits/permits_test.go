package permits

import (
	"math/rand/v2"
	"testing"
	"time"
)

var testStart = time.Unix(1000, 0)

// window is the time over which the platform compares requests with a limit.
const window = 4 * time.Second

// maxInWindow returns the largest number of times in any window.
func maxInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Many hosts that ask at once, in bursts, get no more than the limit and one burst together.
func TestIssuer_ManyHostsShareOneLimit(t *testing.T) {
	for _, perSecond := range []float64{0.5, 6.1, 80} {
		issuer, now := NewIssuer(), testStart
		var issued []time.Time
		for step := range 3000 {
			now = now.Add(10 * time.Millisecond)
			if step/100%3 == 2 {
				continue // no demand for a second
			}
			for range 20 {
				g := issuer.Issue(now, 1, Request{PerSecond: perSecond, Share: 1, Count: BatchSize(perSecond)})
				for range g.Count {
					issued = append(issued, now)
				}
				if g.Count == 0 && g.RetryAfter <= 0 {
					t.Fatal("no permit and no time to ask again")
				}
			}
		}
		// The bound of the platform, less the limit of a second in which two hosts may issue.
		if got, want := maxInWindow(issued), int(1.5*perSecond*window.Seconds()-perSecond)+5; got > want {
			t.Errorf("limit %v: %d permits in %v, want at most %d", perSecond, got, window, want)
		}
		if got, want := float64(len(issued)), perSecond*20*0.8; got < want {
			t.Errorf("limit %v: %v permits in 20 s of demand, want at least %v", perSecond, got, want)
		}
	}
}

// The hosts of a fleet that lose their issuer again and again, all with requests waiting, keep to
// the limit together although they do not hear each other.
func TestFallback_ManyHostsLoseTheIssuerAgain(t *testing.T) {
	for _, hosts := range []int{8, 65, 390} {
		const perSecond = 6.0
		random := rand.New(rand.NewPCG(1, uint64(hosts)))
		fallbacks := make([]*Issuer, hosts)
		for i := range fallbacks {
			fallbacks[i] = NewFallback(random.Float64)
		}
		var sent []time.Time
		now := testStart
		for range 20 { // losses of 3 s, 30 s apart
			for end := now.Add(3 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
				for _, f := range fallbacks {
					if f.Issue(now, 1, Request{PerSecond: perSecond, Share: 1 / float64(hosts), Count: 1}).Count > 0 {
						sent = append(sent, now)
					}
				}
			}
			now = now.Add(27 * time.Second)
		}
		// The bound of the platform: 1.5 times the limit and 5 requests.
		if got, want := maxInWindow(sent), int(1.5*perSecond*window.Seconds())+5; got > want {
			t.Errorf("%d hosts: %d requests in %v, want at most %d", hosts, got, window, want)
		}
		if len(sent) < 20*3 {
			t.Errorf("%d hosts: %d requests in 60 s without an issuer, want some in each second", hosts, len(sent))
		}
	}
}

// Requests that were sent without a permit, such as orders, are made up for.
func TestIssuer_UnpermittedRequestsCount(t *testing.T) {
	issuer, now := NewIssuer(), testStart
	issued := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		issued += issuer.Issue(now, 1, Request{PerSecond: 10, Share: 1, Count: 10, Unpermitted: 1}).Count
	}
	if issued > 5 {
		t.Errorf("%d permits were issued beside 10 requests a second without one, at a limit of 10", issued)
	}
	now = now.Add(time.Second)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		issued += issuer.Issue(now, 1, Request{PerSecond: 10, Share: 1, Count: 10}).Count
	}
	if issued < 80 {
		t.Errorf("%d permits were issued in 10 s after that, want about 100", issued)
	}
}

// A limit of zero still lets a request through now and then: nothing else would show its end.
func TestIssuer_ZeroLimitIsProbed(t *testing.T) {
	issuer, now := NewIssuer(), testStart
	issued := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		issued += issuer.Issue(now, 1, Request{PerSecond: 0, Share: 1, Count: 5}).Count
	}
	if issued == 0 || issued > 15 {
		t.Errorf("%d permits were issued in a minute, want a few", issued)
	}
}
