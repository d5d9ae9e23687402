package front

import "slices"

const (
	// cachedLogsShare is the share of a host's memory that cached logs of ended batches may
	// take, defaultCachedLogBytes their limit if the host's memory is not known. Few logs are
	// read at a time, and a log that is not cached is read from the store with cheap calls.
	cachedLogsShare       = 1.0 / 32
	defaultCachedLogBytes = 8 << 20
)

// logCache holds the result logs of batches that this host no longer runs, the most recently
// used ones up to a total size. It is not safe for concurrent use.
type logCache struct {
	maxBytes int
	// logs are the cached logs by batch, order their batches, the least recently used first.
	logs  map[string]cachedLog
	order []string
	bytes int
}

// cachedLog is a log and the size for which it counts.
type cachedLog struct {
	*resultLog
	bytes int
}

// newLogCache returns an empty cache for a host with the given memory, or zero if that is not
// known.
func newLogCache(memoryBytes int64) *logCache {
	c := &logCache{maxBytes: defaultCachedLogBytes, logs: map[string]cachedLog{}}
	if memoryBytes > 0 {
		c.maxBytes = int(cachedLogsShare * float64(memoryBytes))
	}
	return c
}

// get returns the cached log of a batch, or nil.
func (c *logCache) get(id string) *resultLog {
	l, ok := c.logs[id]
	if !ok {
		return nil
	}
	c.order = append(slices.DeleteFunc(c.order, func(o string) bool { return o == id }), id)
	return l.resultLog
}

// add caches the log of a batch, unless one with more results is cached, and evicts others beyond the total
// size. It is called again for a cached log that has grown.
func (c *logCache) add(id string, l *resultLog) {
	added := cachedLog{l, l.size()}
	if old := c.get(id); old != nil {
		if old != l && old.size() >= added.bytes {
			return
		}
		c.bytes -= c.logs[id].bytes
	} else {
		c.order = append(c.order, id)
	}
	c.logs[id] = added
	c.bytes += added.bytes
	for c.bytes > c.maxBytes && len(c.order) > 1 {
		evicted := c.order[0]
		c.bytes -= c.logs[evicted].bytes
		c.order = c.order[1:]
		delete(c.logs, evicted)
	}
}
