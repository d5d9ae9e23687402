package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxBufferedBytes limits the size of the lines that wait to be written. Further lines
	// are dropped and counted.
	maxBufferedBytes = 256 << 10
)

// BoundedWriter is an io.Writer that never blocks: a separate goroutine writes the lines to the
// underlying writer. If that writer is too slow, lines are dropped and their count is
// logged later.
type BoundedWriter struct {
	mu       sync.Mutex
	buffered []byte
	// spare is the buffer that was written last; it is reused for the next lines.
	spare   []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
	out     io.Writer
}

// NewBoundedWriter returns a BoundedWriter that writes to out. Close must be called to write the
// remaining lines.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{wake: make(chan struct{}, 1), done: make(chan struct{}), out: out}
	go b.run()
	return b
}

// Write implements io.Writer. line must hold complete lines, since it is dropped or written
// as a unit. Write reports success for a dropped line too.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	if b.closed || len(b.buffered)+len(line) > maxBufferedBytes {
		b.mu.Unlock()
		b.dropped.Add(1)
		return len(line), nil
	}
	b.buffered = append(b.buffered, line...)
	b.mu.Unlock()
	b.signal()
	return len(line), nil
}

func (b *BoundedWriter) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	for {
		b.mu.Lock()
		lines, closed := b.buffered, b.closed
		b.buffered, b.spare = b.spare[:0], lines
		b.mu.Unlock()
		if n := b.dropped.Swap(0); n > 0 {
			lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log: Dropped log lines\",\"count\":%d}\n", n)
		}
		if len(lines) > 0 {
			// A failure to write the log itself cannot be reported anywhere.
			_, _ = b.out.Write(lines)
			continue
		}
		if closed {
			return
		}
		<-b.wake
	}
}

// Close waits until the buffered lines are written and the goroutine has stopped. Later
// lines are dropped. Further calls have no effect.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.signal()
	<-b.done
}
