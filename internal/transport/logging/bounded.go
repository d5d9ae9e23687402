package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// boundedBytes is the most that waits to be written; more is dropped and counted.
	boundedBytes = 256 << 10
)

// Bounded passes lines on to a writer from a goroutine of its own. It never blocks: when
// the writer cannot keep up, lines are dropped, and their number is written later.
type Bounded struct {
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
	out     io.Writer
}

// NewBounded returns a Bounded writer in front of out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{wake: make(chan struct{}, 1), done: make(chan struct{}), out: out}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	if b.closed || len(b.waiting)+len(line) > boundedBytes {
		b.mu.Unlock()
		b.dropped.Add(1)
		return len(line), nil
	}
	b.waiting = append(b.waiting, line...)
	b.mu.Unlock()
	b.signal()
	return len(line), nil
}

func (b *Bounded) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	for {
		b.mu.Lock()
		lines, closed := b.waiting, b.closed
		b.waiting, b.spare = b.spare[:0], lines
		b.mu.Unlock()
		if n := b.dropped.Swap(0); n > 0 {
			lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log: Lines were dropped.\",\"count\":%d}\n", n)
		}
		if len(lines) > 0 {
			// There is nowhere left to report that the log itself cannot be written.
			_, _ = b.out.Write(lines)
			continue
		}
		if closed {
			return
		}
		<-b.wake
	}
}

// Close writes what waits and ends the goroutine.
func (b *Bounded) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.signal()
	<-b.done
}
