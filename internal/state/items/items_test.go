package items

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

// Messages may arrive in any order. Merge must report a change exactly for a newer version, and
// the store must keep the highest version merged.
func TestStore_NewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		highest := map[string]uint64{}
		now := testStart
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond)
			i := Item{Kind: Load, Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), Version: uint64(rapid.IntRange(0, 9).Draw(t, "version")), Load: &LoadFact{}}
			_, existed := highest[i.Key]
			if updated := s.Merge(now, i); updated != (!existed || i.Version > highest[i.Key]) {
				t.Fatalf("merging version %d after %d returned %v", i.Version, highest[i.Key], updated)
			}
			highest[i.Key] = max(highest[i.Key], i.Version)
			if got, _ := s.Get(now, i.ID()); got.Version != highest[i.Key] {
				t.Fatalf("store has version %d, want %d", got.Version, highest[i.Key])
			}
		}
	})
}

// An item's age at the sender counts towards its maximum age. Otherwise an item that hosts keep
// forwarding would never expire.
func TestStore_Expiry(t *testing.T) {
	s := NewStore()
	limits, _ := LimitsOf(Load)
	i := Item{Kind: Load, Key: "a", Version: 1, AgeMillis: 5000, Load: &LoadFact{}}
	if !s.Merge(testStart, i) {
		t.Fatal("valid item was rejected")
	}
	if got, _ := s.Get(testStart.Add(2*time.Second), i.ID()); got.AgeMillis != 7000 {
		t.Fatalf("got age %d ms, want 7000", got.AgeMillis)
	}
	if !s.Expire(testStart.Add(limits.MaxAge)) || len(s.ByKind(testStart, Load)) != 0 {
		t.Fatal("item at its maximum age did not expire")
	}
	i.AgeMillis = limits.MaxAge.Milliseconds()
	if s.Merge(testStart, i) {
		t.Fatal("item at its maximum age was accepted")
	}
}

// When a kind has reached its maximum number of items, new keys are rejected, but newer versions
// of stored keys are still accepted.
func TestStore_FullKind(t *testing.T) {
	s := NewStore()
	limits, _ := LimitsOf(Quarantine)
	for n := range limits.MaxCount {
		s.Merge(testStart, Item{Kind: Quarantine, Key: fmt.Sprint(n), Version: 1, Quarantine: &QuarantineFact{}})
	}
	if s.Merge(testStart, Item{Kind: Quarantine, Key: "one more", Version: 1, Quarantine: &QuarantineFact{}}) {
		t.Fatal("item with a new key was accepted above the limit")
	}
	if !s.Merge(testStart, Item{Kind: Quarantine, Key: "7", Version: 2, Quarantine: &QuarantineFact{}}) {
		t.Fatal("newer version of a stored key was rejected")
	}
}

// The digest must not depend on the order of merges, on ages or on kinds that do not take part
// in anti-entropy. Otherwise hosts with the same items would keep exchanging them.
func TestDigest_EqualIffItemsEqual(t *testing.T) {
	a, b := NewStore(), NewStore()
	one := Item{Kind: Drain, Key: "x", Version: 1, Drain: &DrainFact{Endpoint: "e"}}
	two := Item{Kind: Drain, Key: "y", Version: 4, Drain: &DrainFact{Endpoint: "e"}}
	a.Merge(testStart, one)
	a.Merge(testStart, two)
	b.Merge(testStart, two)
	if a.Digest() == b.Digest() {
		t.Fatal("digests of different stores are equal")
	}
	b.Merge(testStart.Add(time.Second), one)
	b.Merge(testStart.Add(time.Second), Item{Kind: Load, Key: "z", Version: 1, Load: &LoadFact{}})
	if a.Digest() != b.Digest() {
		t.Fatal("digests of equal anti-entropy items differ")
	}
}
