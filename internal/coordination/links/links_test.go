package links

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// A single failed connection does not make the host cut off, and a check that reached an endpoint
// after the failure began is not repeated.
func TestMonitor_FailedConnectionIsChecked(t *testing.T) {
	var m Monitor
	if !m.FailedConnectionNeedsCheck(at(0)) || m.CutOff() {
		t.Fatal("no check after a failed connection, or cut off without one")
	}
	m.RecordCheck(at(100), true)
	if m.FailedConnectionNeedsCheck(at(50)) {
		t.Error("a check that began after the failed request did is repeated")
	}
	if !m.FailedConnectionNeedsCheck(at(200)) {
		t.Error("no check for a request that began after the last one")
	}
	if !m.BrokenConnectionNeedsCheck(at(1000)) || m.BrokenConnectionNeedsCheck(at(150)) {
		t.Error("a connection that breaks is checked unless a check has just been made")
	}
}

// The host is cut off from the first check that reaches nothing to the first one that does.
func TestMonitor_CutOffUntilReached(t *testing.T) {
	var m Monitor
	for i, c := range []struct{ reached, changed bool }{{true, false}, {false, true}, {false, false}, {true, true}, {true, false}} {
		if changed := m.RecordCheck(at(500*i), c.reached); changed != c.changed || m.CutOff() == c.reached {
			t.Errorf("check %d: changed %v, cut off %v", i, changed, m.CutOff())
		}
	}
}

// Requests that all remain without an answer cause a check, at most one a second. An idle host and
// one that gets answers make none.
func TestMonitor_SilenceIsChecked(t *testing.T) {
	var m Monitor
	if _, ok := m.NextSilenceCheck(); ok {
		t.Error("an idle host checks its links")
	}
	m.Begin(at(0))
	m.Begin(at(100))
	if next, ok := m.NextSilenceCheck(); !ok || next != at(250) {
		t.Errorf("next check at %v, want 250 ms after the first request began", next)
	}
	m.Progress(at(200))
	if next, _ := m.NextSilenceCheck(); next != at(450) {
		t.Errorf("next check at %v, want 250 ms after the last answer", next)
	}
	m.RecordCheck(at(450), true)
	if next, _ := m.NextSilenceCheck(); next != at(1450) {
		t.Errorf("next check at %v, want a second after the last one", next)
	}
	m.End()
	m.End()
	if _, ok := m.NextSilenceCheck(); ok {
		t.Error("a host without requests checks its links")
	}
}

// A zone that is lost, or an endpoint that is leaving, must not decide a check.
func TestCheckTargets_DifferentZones(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	endpoints := []catalog.Endpoint{{ID: "leaving", Zone: "d", Draining: true}}
	for i := range 30 {
		endpoints = append(endpoints, catalog.Endpoint{ID: fmt.Sprint("a", i), Zone: "a"})
	}
	endpoints = append(endpoints, catalog.Endpoint{ID: "b", Zone: "b"}, catalog.Endpoint{ID: "c", Zone: "c"})
	for range 100 {
		zones := map[string]bool{}
		targets := CheckTargets(endpoints, random.Shuffle)
		for i := range targets {
			zones[targets[i].Zone] = true
		}
		if len(targets) != maxCheckTargets || !zones["a"] || !zones["b"] || !zones["c"] {
			t.Fatalf("check of %v, want an endpoint of each zone", targets)
		}
	}
	if got := CheckTargets(endpoints[:1], random.Shuffle); len(got) != 0 {
		t.Errorf("check of %v, want none", got)
	}
}

// Most hosts of a fleet are cut off at the same moment and send their requests through the few
// others. No relay gets much more than its share by capacity.
func TestPickRelay_SpreadsLoadOfManyHosts(t *testing.T) {
	const hosts, requests = 150, 40
	random := rand.New(rand.NewSource(1))
	relays := make([]Relay, 15)
	capacity := 0.0
	for i := range relays {
		relays[i] = Relay{Host: fmt.Sprint("relay", i), Capacity: 0.2 + 0.6*float64(i%2)}
		capacity += relays[i].Capacity
	}
	total := map[string]int{}
	for range hosts {
		own := make([]Relay, len(relays))
		copy(own, relays)
		for range requests {
			picked, ok := PickRelay(own, random.Intn)
			if !ok {
				t.Fatal("no relay")
			}
			for i := range own {
				if own[i].Host == picked.Host {
					own[i].Requests++
				}
			}
			total[picked.Host]++
		}
	}
	for _, r := range relays {
		if share := hosts * requests * r.Capacity / capacity; float64(total[r.Host]) > 1.5*share {
			t.Errorf("%s with %.1f cores has %d requests, its share is %.0f", r.Host, r.Capacity, total[r.Host], share)
		}
	}
}

// Relays near this host or the endpoint are used, unless there is only one.
func TestPickRelay_NearUnlessAlone(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	relays := []Relay{{Host: "near1", Near: true}, {Host: "far1"}, {Host: "far2"}}
	used := map[string]bool{}
	for range 100 {
		r, _ := PickRelay(relays, random.Intn)
		used[r.Host] = true
	}
	if len(used) != 3 {
		t.Errorf("used %v, want all", used)
	}
	relays = append(relays, Relay{Host: "near2", Near: true})
	for range 100 {
		if r, _ := PickRelay(relays, random.Intn); !r.Near {
			t.Fatalf("picked %s, want a near one", r.Host)
		}
	}
	if _, ok := PickRelay(nil, random.Intn); ok {
		t.Error("picked a relay of none")
	}
}
