package items

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts a store's digest has.
const Buckets = 64

// Digest summarises the kept items.
type Digest [Buckets]uint64

type held struct {
	item Item
	born time.Time
}

// Store holds the newest item of each key. It is not safe for concurrent use.
type Store struct {
	kinds  map[Kind]map[string]held
	digest Digest
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{kinds: map[Kind]map[string]held{}} }

// BucketOf returns the digest bucket of a key.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Merge takes an item and reports whether it was news. An item that is not valid, too
// old or over the kind's bound is not.
func (s *Store) Merge(now time.Time, i Item) bool {
	limits, known := LimitsOf(i.Kind)
	age := time.Duration(i.AgeMillis) * time.Millisecond
	if !known || !i.Valid() || age >= limits.MaxAge {
		return false
	}
	of := s.kinds[i.Kind]
	if of == nil {
		of = map[string]held{}
		s.kinds[i.Kind] = of
	}
	old, exists := of[i.Key]
	if exists && i.Version <= old.item.Version {
		return false
	}
	if !exists && len(of) >= limits.MaxCount {
		return false
	}
	if exists {
		s.toggle(old.item, limits)
	}
	i.AgeMillis = 0
	of[i.Key] = held{item: i, born: now.Add(-age)}
	s.toggle(i, limits)
	return true
}

func (s *Store) toggle(i Item, limits Limits) {
	if limits.Kept {
		s.digest[BucketOf(i.Key)] ^= i.hash()
	}
}

// Get returns the item of a key with its present age.
func (s *Store) Get(now time.Time, id ID) (Item, bool) {
	h, ok := s.kinds[id.Kind][id.Key]
	return aged(now, h), ok
}

// Of returns the items of a kind in order of key, with their present age.
func (s *Store) Of(now time.Time, k Kind) []Item {
	out := make([]Item, 0, len(s.kinds[k]))
	for _, h := range s.kinds[k] {
		out = append(out, aged(now, h))
	}
	sortItems(out)
	return out
}

// Kept returns the items of the marked digest buckets.
func (s *Store) Kept(now time.Time, marked func(bucket int) bool) []Item {
	var out []Item
	for k, of := range s.kinds {
		if limits, _ := LimitsOf(k); !limits.Kept {
			continue
		}
		for key, h := range of {
			if marked(BucketOf(key)) {
				out = append(out, aged(now, h))
			}
		}
	}
	sortItems(out)
	return out
}

// Digest returns the digest of the kept items.
func (s *Store) Digest() Digest { return s.digest }

// Expire drops the items past their age and reports whether there were any.
func (s *Store) Expire(now time.Time) bool {
	dropped := false
	for k, of := range s.kinds {
		limits, _ := LimitsOf(k)
		for key, h := range of {
			if now.Sub(h.born) >= limits.MaxAge {
				s.toggle(h.item, limits)
				delete(of, key)
				dropped = true
			}
		}
	}
	return dropped
}

func aged(now time.Time, h held) Item {
	i := h.item
	i.AgeMillis = max(0, now.Sub(h.born).Milliseconds())
	return i
}
