package standin

import "oleanderfall.example/oleanderfall/internal/protocol/engineapi"

// prefixCache keeps the most recently used prompt prefixes and the events that
// tell of them. Every gapEvery-th event is lost, as on real engines.
type prefixCache struct {
	limit  int
	order  []uint64
	events []engineapi.CacheEvent
	next   uint64
}

const (
	gapEvery      = 7
	maxCacheEvent = 1024
)

func newPrefixCache(limit int) *prefixCache { return &prefixCache{limit: limit} }

// use notes a use of a prefix and reports whether it was cached.
func (c *prefixCache) use(hash uint64) bool {
	for i, h := range c.order {
		if h == hash {
			c.order = append(append(c.order[:i:i], c.order[i+1:]...), hash)
			return true
		}
	}
	c.order = append(c.order, hash)
	c.emit(hash, true)
	if len(c.order) > c.limit {
		c.emit(c.order[0], false)
		c.order = c.order[1:]
	}
	return false
}

func (c *prefixCache) emit(hash uint64, added bool) {
	c.next++
	if c.next%gapEvery == 0 {
		return
	}
	c.events = append(c.events, engineapi.CacheEvent{Sequence: c.next, Added: added, PrefixHash: hash})
	if len(c.events) > maxCacheEvent {
		c.events = c.events[1:]
	}
}

func (c *prefixCache) since(from uint64) engineapi.CacheEvents {
	out := engineapi.CacheEvents{Next: c.next + 1}
	for _, e := range c.events {
		if e.Sequence >= from {
			out.Events = append(out.Events, e)
		}
	}
	return out
}
