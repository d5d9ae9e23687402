package routing

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// maxPrefixes is the capacity of the index.
	maxPrefixes = 8192
	// maxHoldersPerPrefix is the number of endpoints kept for one prefix.
	maxHoldersPerPrefix = 4
	// prefixLifetime is the age at which an entry is no longer used, because the event
	// that reports the eviction of the prefix may have been lost.
	prefixLifetime = time.Minute
)

// prefixHolders lists the endpoints that have a prefix in their cache. addedAt is the time
// of the last event that reported one.
type prefixHolders struct {
	hash    uint64
	holders [maxHoldersPerPrefix]*entry
	addedAt time.Duration
}

// prefixIndex maps prefix hashes to the endpoints that reported the prefix as cached. When
// it is full, it evicts the prefix that was inserted first.
type prefixIndex struct {
	byHash map[uint64]*prefixHolders
	// ring holds the prefixes in the order of insertion. When it is full, the one at next is
	// the oldest.
	ring []*prefixHolders
	next int
}

func newPrefixIndex() prefixIndex { return prefixIndex{byHash: map[uint64]*prefixHolders{}} }

// holders returns the endpoints that hold the prefix. Unused elements are nil.
func (x *prefixIndex) holders(now time.Duration, hash uint64) [maxHoldersPerPrefix]*entry {
	p := x.byHash[hash]
	if p == nil || now-p.addedAt > prefixLifetime {
		return [maxHoldersPerPrefix]*entry{}
	}
	return p.holders
}

// add records e as a holder of the prefix. If the prefix has maxHoldersPerPrefix other
// holders, e replaces the first of them.
func (x *prefixIndex) add(now time.Duration, hash uint64, e *entry) {
	p := x.byHash[hash]
	if p == nil {
		p = x.allocate()
		*p = prefixHolders{hash: hash}
		x.byHash[hash] = p
	}
	p.addedAt = now
	free := 0
	for i, h := range p.holders {
		if h == e {
			return
		}
		if h == nil {
			free = i
		}
	}
	p.holders[free] = e
}

// allocate returns an element for a new prefix and, if the index is full, evicts the oldest
// one.
func (x *prefixIndex) allocate() *prefixHolders {
	if len(x.ring) < maxPrefixes {
		p := &prefixHolders{}
		x.ring = append(x.ring, p)
		return p
	}
	p := x.ring[x.next]
	x.next = (x.next + 1) % maxPrefixes
	delete(x.byHash, p.hash)
	return p
}

func (x *prefixIndex) remove(hash uint64, e *entry) {
	p := x.byHash[hash]
	if p == nil {
		return
	}
	for i, h := range p.holders {
		if h == e {
			p.holders[i] = nil
		}
	}
}

func (x *prefixIndex) removeEndpoint(e *entry) {
	for hash := range x.byHash {
		x.remove(hash, e)
	}
}

// RecordCacheEvent records that an endpoint reported a prefix as added to or evicted from its
// cache.
func (t *Table) RecordCacheEvent(now time.Time, id model.EndpointID, hash uint64, added bool) {
	e := t.byID[id]
	if e == nil {
		return
	}
	if added {
		t.prefixes.add(now.Sub(t.zeroTime), hash, e)
		return
	}
	t.prefixes.remove(hash, e)
}
