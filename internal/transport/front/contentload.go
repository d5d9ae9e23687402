package front

import (
	"context"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// contentKeepTime is how long the content of a batch is kept after its load, for readers whose attempt ended
	// before.
	contentKeepTime = 5 * time.Second
	// maxKeptParts bounds the parts of the contents that are kept, unless there is only one content.
	maxKeptParts = 8
	// maxContentLoads is the number of contents that a host loads at the same time, for readers and takeovers. Each
	// may take tens of megabytes.
	maxContentLoads = 2
)

// contentLoads are reads of batches' contents from the store. A load goes on when its readers have left or the
// takeover that needs it has timed out, and the next ones get what it has read. The zero value is ready for use.
type contentLoads struct {
	mu   sync.Mutex
	byID map[string]*contentLoad
	// keptParts counts the parts of the contents in byID whose loads have ended.
	keptParts int
}

type contentLoad struct {
	// done is closed at the end of the load, which sets the other fields.
	done  chan struct{}
	batch *batches.Batch
	err   error
}

// loadContent returns the content of a batch from a load that is running or has ended recently, or from a new one.
func (s *Batches) loadContent(ctx context.Context, m *batches.Manifest) (*batches.Batch, error) {
	c := &s.contents
	c.mu.Lock()
	l, ok := c.byID[m.ID]
	if !ok {
		l = &contentLoad{done: make(chan struct{})}
		if c.byID == nil {
			c.byID = map[string]*contentLoad{}
		}
		c.byID[m.ID] = l
		go s.runContentLoad(l, *m)
	}
	c.mu.Unlock()
	select {
	case <-l.done:
		return l.batch, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *Batches) runContentLoad(l *contentLoad, m batches.Manifest) {
	ctx, cancel := context.WithTimeout(s.base, logLoadTimeout)
	defer cancel()
	select {
	case s.contentSlots <- struct{}{}:
		l.batch, l.err = s.store.content(ctx, &m)
		<-s.contentSlots
	case <-ctx.Done():
		l.err = ctx.Err()
	}
	if s.contents.keep(&m, l.err == nil) {
		time.AfterFunc(contentKeepTime, func() { s.contents.remove(&m) })
	}
	close(l.done)
}

// keep keeps the content of a load that has ended if the load was successful and there is room. It reports whether
// it did.
func (c *contentLoads) keep(m *batches.Manifest, loaded bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !loaded || c.keptParts > 0 && c.keptParts+m.Parts > maxKeptParts {
		delete(c.byID, m.ID)
		return false
	}
	c.keptParts += m.Parts
	return true
}

// remove drops a content that was kept.
func (c *contentLoads) remove(m *batches.Manifest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, m.ID)
	c.keptParts -= m.Parts
}
