package presence

import (
	"fmt"
	"slices"
	"testing"
)

// Hosts whose names differ in the last digit only must share keys evenly: one that gets most of them becomes the
// bottleneck of all.
func TestSpread_HostsWithSimilarNames(t *testing.T) {
	const hosts, keys = 64, 6400
	var candidates []Candidate
	for i := range hosts {
		candidates = append(candidates, Candidate{Host: fmt.Sprintf("front-a-%d", i), Ready: true, StoreReachable: true})
	}
	count := map[string]int{}
	for i := range keys {
		count[Spread(fmt.Sprintf("batch%d", i), candidates)]++
	}
	for _, c := range candidates {
		if n := count[c.Host]; n < keys/hosts/2 || n > keys/hosts*2 {
			t.Errorf("%s has %d of %d keys", c.Host, n, keys)
		}
	}
}

// A key keeps its host while that host can serve it, and goes to none that cannot.
func TestSpread_OnlyHostsThatCanServe(t *testing.T) {
	candidates := []Candidate{{Host: "a", Ready: true}, {Host: "b", Ready: true, StoreReachable: true}, {Host: "c", StoreReachable: true},
		{Host: "d", Ready: true, StoreReachable: true, Draining: true}, {Host: "e", Ready: true, StoreReachable: true}}
	for i := range 100 {
		key := fmt.Sprint(i)
		got := Spread(key, candidates)
		if got != "b" && got != "e" {
			t.Errorf("key %s goes to %q, want b or e", key, got)
		}
		slices.Reverse(candidates)
		if again := Spread(key, candidates); again != got {
			t.Errorf("key %s goes to %q and %q", key, got, again)
		}
	}
	if got := Spread("k", candidates[:0]); got != "" {
		t.Errorf("host %q without candidates", got)
	}
	if got := Spread("k", []Candidate{{Host: "a", Ready: true}}); got != "a" {
		t.Errorf("host %q, want the only one", got)
	}
}
