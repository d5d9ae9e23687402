package standin

import "oleanderfall.example/oleanderfall/internal/protocol/engineapi"

// prefixCache is an LRU cache of prompt prefix hashes with a log of its changes. Every
// lostEventInterval-th event is missing from the log, because real engines lose events.
type prefixCache struct {
	limit int
	// lru holds the cached hashes, least recently used first.
	lru          []uint64
	events       []engineapi.CacheEvent
	lastSequence uint64
}

const (
	lostEventInterval = 7
	maxCacheEvents    = 1024
)

func newPrefixCache(limit int) *prefixCache { return &prefixCache{limit: limit} }

// use adds a prefix, or marks a cached one as most recently used. It reports whether the
// prefix was cached.
func (c *prefixCache) use(hash uint64) bool {
	for i, h := range c.lru {
		if h == hash {
			c.lru = append(append(c.lru[:i:i], c.lru[i+1:]...), hash)
			return true
		}
	}
	c.lru = append(c.lru, hash)
	c.emit(hash, true)
	if len(c.lru) > c.limit {
		c.emit(c.lru[0], false)
		c.lru = c.lru[1:]
	}
	return false
}

func (c *prefixCache) emit(hash uint64, added bool) {
	c.lastSequence++
	if c.lastSequence%lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, engineapi.CacheEvent{Sequence: c.lastSequence, Added: added, PrefixHash: hash})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsFrom returns the retained events with sequence from or higher.
func (c *prefixCache) eventsFrom(from uint64) engineapi.CacheEvents {
	out := engineapi.CacheEvents{Next: c.lastSequence + 1}
	for _, e := range c.events {
		if e.Sequence >= from {
			out.Events = append(out.Events, e)
		}
	}
	return out
}
