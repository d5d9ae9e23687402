// Package prompts holds what package placement needs to know about the prompts of requests to
// engines: how much of a prompt an engine has to read, how fast engines read, and from which size
// on a prompt is long.
//
// An engine reads prompts in chunks between the tokens of the requests that it runs. The first
// event of a request comes once its own prompt and those before it are read. Leading parts that
// the engine has cached are not read again.
package prompts

import "slices"

// Prefix is a leading part of a prompt that several requests share.
type Prefix struct {
	// Key identifies the part.
	Key uint64
	// Tokens is the length of the part, counted from the start of the prompt.
	Tokens int
}

// Prompt describes the prompt of a request.
type Prompt struct {
	// Tokens is the length of the prompt; zero is unknown.
	Tokens int
	// Prefixes are the leading parts of the prompt that an engine may have cached.
	Prefixes []Prefix
	// Events is the expected number of events if the request has no objective for its first event,
	// and zero otherwise.
	Events int
}

// Queue is a number of requests whose prompts an engine has not finished reading, and the number
// of tokens that it has to read for them.
//
// Its encoding is part of the heartbeats between hosts: fields are only added, at the end.
type Queue struct {
	_        struct{} `cbor:",toarray"`
	Tokens   uint32
	Requests uint16
	// NanosPerToken is the time in which the engine reads a token, as the sender learned it; zero
	// is unknown. Hosts that send prompts of one size only cannot learn it themselves.
	NanosPerToken uint32
}

// Cache remembers which leading parts an engine has read. The zero value is empty.
type Cache struct {
	known map[uint64]struct{}
	order []uint64
}

// maxCached bounds the parts that are remembered for an engine. The memory of an engine holds the
// prompts of a few dozen requests besides those that it runs.
const maxCached = 128

// Unread returns the number of tokens of a prompt that an engine has to read.
func (c *Cache) Unread(p *Prompt) int {
	cached := 0
	for _, x := range p.Prefixes {
		if _, ok := c.known[x.Key]; ok {
			cached = max(cached, x.Tokens)
		}
	}
	return max(p.Tokens-cached, 0)
}

// Add remembers the leading parts of a prompt and forgets the oldest beyond maxCached. It returns
// the keys that were not known.
func (c *Cache) Add(p *Prompt) (added []uint64) {
	for _, x := range p.Prefixes {
		if _, ok := c.known[x.Key]; ok {
			continue
		}
		if c.known == nil {
			c.known = map[uint64]struct{}{}
		}
		c.known[x.Key] = struct{}{}
		c.order = append(c.order, x.Key)
		added = append(added, x.Key)
	}
	for len(c.order) > maxCached {
		delete(c.known, c.order[0])
		c.order = c.order[1:]
	}
	return added
}

// Remove forgets leading parts.
func (c *Cache) Remove(keys []uint64) {
	for _, key := range keys {
		delete(c.known, key)
	}
	if len(keys) > 0 {
		c.order = slices.DeleteFunc(c.order, func(key uint64) bool { return slices.Contains(keys, key) })
	}
}

const (
	// maxSizes is the number of recent prompts from which the size of a long one follows.
	maxSizes = 256
	// shortQuantile is the quantile of the sizes that counts as that of a short prompt. It is low, so
	// that long prompts are told from short ones also where most are long.
	shortQuantile = 0.1
	// longFactor is the multiple of the size of short prompts above which a prompt is long. Prompts
	// of deployments that have one kind of them differ by less: 276 to 1,016 tokens.
	longFactor = 4
	// sizesInterval is the number of prompts after which the size of short ones is computed again.
	sizesInterval = 16
)

// Sizes holds the number of unread tokens of recent prompts. The zero value is empty.
type Sizes struct {
	recent []int
	next   int
	added  int
	short  int
}

// Add adds a prompt. One without unread tokens is ignored.
func (s *Sizes) Add(unread int) {
	if unread <= 0 {
		return
	}
	if len(s.recent) < maxSizes {
		s.recent = append(s.recent, unread)
	} else {
		s.recent[s.next] = unread
		s.next = (s.next + 1) % maxSizes
	}
	if s.added++; len(s.recent) <= sizesInterval || s.added%sizesInterval == 0 {
		sorted := slices.Sorted(slices.Values(s.recent))
		s.short = sorted[int(shortQuantile*float64(len(sorted)))]
	}
}

// LongFrom returns the number of unread tokens above which a prompt is long. As long as no prompts
// are known, it takes short ones to have the assumed number.
func (s *Sizes) LongFrom(assumed int) int {
	if s.short == 0 {
		return longFactor * assumed
	}
	return longFactor * s.short
}
