package items

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets in a store's digest.
const Buckets = 64

// Digest summarises the items that take part in anti-entropy. Each bucket is the XOR of the
// hashes of its items.
type Digest [Buckets]uint64

type storedItem struct {
	item      Item
	createdAt time.Time
}

// Store contains the newest item of each key. It is not safe for concurrent use.
type Store struct {
	kinds  map[Kind]map[string]storedItem
	digest Digest
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{kinds: map[Kind]map[string]storedItem{}} }

// BucketOf returns the digest bucket of a key.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Merge adds an item and reports whether the store changed. An item that is invalid, too old,
// not newer than the stored one, or over the kind's limit is ignored.
func (s *Store) Merge(now time.Time, i Item) bool {
	limits, known := LimitsOf(i.Kind)
	age := time.Duration(i.AgeMillis) * time.Millisecond
	if !known || !i.Valid() || age >= limits.MaxAge {
		return false
	}
	byKey := s.kinds[i.Kind]
	if byKey == nil {
		byKey = map[string]storedItem{}
		s.kinds[i.Kind] = byKey
	}
	old, exists := byKey[i.Key]
	if exists && i.Version <= old.item.Version {
		return false
	}
	if !exists && len(byKey) >= limits.MaxCount {
		return false
	}
	if exists {
		s.toggleDigest(old.item, limits)
	}
	i.AgeMillis = 0
	byKey[i.Key] = storedItem{item: i, createdAt: now.Add(-age)}
	s.toggleDigest(i, limits)
	return true
}

// toggleDigest adds an item to the digest, or removes one that it contains.
func (s *Store) toggleDigest(i Item, limits Limits) {
	if limits.AntiEntropy {
		s.digest[BucketOf(i.Key)] ^= i.hash()
	}
}

// Get returns the item with the given ID and its current age.
func (s *Store) Get(now time.Time, id ID) (Item, bool) {
	stored, ok := s.kinds[id.Kind][id.Key]
	return withAge(now, stored), ok
}

// ByKind returns the items of a kind, ordered by key, with their current age.
func (s *Store) ByKind(now time.Time, k Kind) []Item {
	out := make([]Item, 0, len(s.kinds[k]))
	for _, stored := range s.kinds[k] {
		out = append(out, withAge(now, stored))
	}
	sortItems(out)
	return out
}

// AntiEntropyItems returns the items that take part in anti-entropy and belong to the marked
// digest buckets, ordered by kind and key, with their current age.
func (s *Store) AntiEntropyItems(now time.Time, marked func(bucket int) bool) []Item {
	var out []Item
	for k, byKey := range s.kinds {
		if limits, _ := LimitsOf(k); !limits.AntiEntropy {
			continue
		}
		for key, stored := range byKey {
			if marked(BucketOf(key)) {
				out = append(out, withAge(now, stored))
			}
		}
	}
	sortItems(out)
	return out
}

// Digest returns the digest of the items that take part in anti-entropy.
func (s *Store) Digest() Digest { return s.digest }

// Expire removes items that have reached their kind's maximum age and reports whether there
// were any.
func (s *Store) Expire(now time.Time) bool {
	removed := false
	for k, byKey := range s.kinds {
		limits, _ := LimitsOf(k)
		for key, stored := range byKey {
			if now.Sub(stored.createdAt) >= limits.MaxAge {
				s.toggleDigest(stored.item, limits)
				delete(byKey, key)
				removed = true
			}
		}
	}
	return removed
}

func withAge(now time.Time, stored storedItem) Item {
	i := stored.item
	i.AgeMillis = max(0, now.Sub(stored.createdAt).Milliseconds())
	return i
}
