package routing

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// maxPrefixes bounds the prefixes remembered.
	maxPrefixes = 8192
	// holdersPerPrefix bounds the endpoints remembered for one prefix.
	holdersPerPrefix = 4
	// prefixLifetime is the age at which a hint is no longer used: events that
	// would have taken it back may be lost.
	prefixLifetime = time.Minute
)

type prefixHolders struct {
	hash    uint64
	holders [holdersPerPrefix]*entry
	seen    time.Duration
}

// prefixIndex remembers which endpoints are said to hold a prefix. The oldest
// prefix makes room for a new one.
type prefixIndex struct {
	byHash map[uint64]*prefixHolders
	order  []*prefixHolders
	next   int
}

func newPrefixIndex() prefixIndex { return prefixIndex{byHash: map[uint64]*prefixHolders{}} }

func (x *prefixIndex) holders(now time.Duration, hash uint64) [holdersPerPrefix]*entry {
	p := x.byHash[hash]
	if p == nil || now-p.seen > prefixLifetime {
		return [holdersPerPrefix]*entry{}
	}
	return p.holders
}

func (x *prefixIndex) add(now time.Duration, hash uint64, e *entry) {
	p := x.byHash[hash]
	if p == nil {
		p = x.room()
		*p = prefixHolders{hash: hash}
		x.byHash[hash] = p
	}
	p.seen = now
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

func (x *prefixIndex) room() *prefixHolders {
	if len(x.order) < maxPrefixes {
		p := &prefixHolders{}
		x.order = append(x.order, p)
		return p
	}
	p := x.order[x.next]
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

func (x *prefixIndex) forget(e *entry) {
	for hash := range x.byHash {
		x.remove(hash, e)
	}
}

// CacheEvent notes that an endpoint says it gained or lost a prefix.
func (t *Table) CacheEvent(now time.Time, id model.EndpointID, hash uint64, added bool) {
	e := t.byID[id]
	if e == nil {
		return
	}
	if added {
		t.prefixes.add(now.Sub(t.epoch), hash, e)
		return
	}
	t.prefixes.remove(hash, e)
}
