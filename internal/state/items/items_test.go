package items

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestStoreKeepsTheNewestWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		highest := map[string]uint64{}
		now := start
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond)
			i := Item{Kind: Load, Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), Version: uint64(rapid.IntRange(0, 9).Draw(t, "version")), Load: &LoadFact{}}
			_, existed := highest[i.Key]
			if news := s.Merge(now, i); news != (!existed || i.Version > highest[i.Key]) {
				t.Fatalf("version %d after %d: news %v", i.Version, highest[i.Key], news)
			}
			highest[i.Key] = max(highest[i.Key], i.Version)
			if got, _ := s.Get(now, i.ID()); got.Version != highest[i.Key] {
				t.Fatalf("version %d held, %d seen", got.Version, highest[i.Key])
			}
		}
	})
}

func TestItemsAgeOnTheWayAndExpire(t *testing.T) {
	s := NewStore()
	limits, _ := LimitsOf(Load)
	i := Item{Kind: Load, Key: "a", Version: 1, AgeMillis: 5000, Load: &LoadFact{}}
	if !s.Merge(start, i) {
		t.Fatal("not taken")
	}
	if got, _ := s.Get(start.Add(2*time.Second), i.ID()); got.AgeMillis != 7000 {
		t.Fatalf("age %d ms", got.AgeMillis)
	}
	if !s.Expire(start.Add(limits.MaxAge)) || len(s.Of(start, Load)) != 0 {
		t.Fatal("not expired")
	}
	i.AgeMillis = limits.MaxAge.Milliseconds()
	if s.Merge(start, i) {
		t.Fatal("an item past its age was taken")
	}
}

func TestAFullKindTakesNoFurtherKeyButNewerVersions(t *testing.T) {
	s := NewStore()
	limits, _ := LimitsOf(Quarantine)
	for n := range limits.MaxCount {
		s.Merge(start, Item{Kind: Quarantine, Key: fmt.Sprint(n), Version: 1, Quarantine: &QuarantineFact{}})
	}
	if s.Merge(start, Item{Kind: Quarantine, Key: "one more", Version: 1, Quarantine: &QuarantineFact{}}) {
		t.Fatal("taken over the bound")
	}
	if !s.Merge(start, Item{Kind: Quarantine, Key: "7", Version: 2, Quarantine: &QuarantineFact{}}) {
		t.Fatal("a newer version of a held key was refused")
	}
}

func TestDigestsOfKeptItemsAreEqualIffTheItemsAre(t *testing.T) {
	a, b := NewStore(), NewStore()
	one := Item{Kind: Drain, Key: "x", Version: 1, Drain: &DrainFact{Endpoint: "e"}}
	two := Item{Kind: Drain, Key: "y", Version: 4, Drain: &DrainFact{Endpoint: "e"}}
	a.Merge(start, one)
	a.Merge(start, two)
	b.Merge(start, two)
	if a.Digest() == b.Digest() {
		t.Fatal("digests of different stores are equal")
	}
	b.Merge(start.Add(time.Second), one)
	b.Merge(start.Add(time.Second), Item{Kind: Load, Key: "z", Version: 1, Load: &LoadFact{}})
	if a.Digest() != b.Digest() {
		t.Fatal("digests of equal kept items differ")
	}
}
