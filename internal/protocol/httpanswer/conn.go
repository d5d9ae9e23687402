package httpanswer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// maxWriteEnd bounds the wait for a write whose deadline has passed.
const maxWriteEnd = time.Second

// Conn is a connection of a Transport to a server. It checks the heads of answers before net/http reads them,
// and the ends of answers that end with the connection.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// awaited is set from the begin of a request until the final head of its answer has been read; checked is
	// set from then on until the next request.
	awaited, checked bool
	// head is what has been read of the current head, headBytes the length of all heads of the answer.
	head      []byte
	headBytes int
	// writing is closed at the end of the write in progress, nil if there is none.
	writing chan struct{}
	// writeErr is the first error of a write.
	writeErr error
}

// NewConn returns a Conn that reads and writes conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// answerConn is a Conn or a type that embeds one.
type answerConn interface {
	await()
	answered() error
}

// await begins a request: what is read next is the head of its answer.
func (c *Conn) await() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.checked, c.head, c.headBytes = true, false, nil, 0
}

// answered returns an error unless the head of the answer to the last request was read and checked. net/http
// takes what a server has sent before a request for the answer to it.
func (c *Conn) answered() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checked {
		return Error.New("the answer began before its request")
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if invalid := c.check(b[:n]); invalid != nil {
			return 0, invalid
		}
	}
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// check checks the next bytes of the connection as far as they belong to the head of an answer.
func (c *Conn) check(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.awaited {
		searched := max(0, len(c.head)-len("\n\r"))
		c.head = append(c.head, b...)
		end := HeadLength(c.head, searched)
		if end == 0 {
			if c.headBytes+len(c.head) > maxHeadBytes {
				return Error.New("head of more than %d bytes", maxHeadBytes)
			}
			return nil
		}
		status, err := checkHead(c.head[:end])
		if err != nil {
			return err
		}
		if c.headBytes += end; c.headBytes > maxHeadBytes {
			return Error.New("heads of more than %d bytes", maxHeadBytes)
		}
		b, c.head = c.head[end:], nil
		if status >= minFinalStatus {
			c.awaited, c.checked = false, true
		}
	}
	return nil
}

// checkEnd returns io.EOF if the server has ended the connection, and another error if it may be broken: the
// kernel reports a reset once, and the writer of the request may have got the report. A write in progress is
// ended, because the server reads no more of it.
func (c *Conn) checkEnd() error {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return errors.Join(io.ErrUnexpectedEOF, Error.Wrap(err))
		}
		timer := time.NewTimer(maxWriteEnd)
		defer timer.Stop()
		select {
		case <-writing:
		case <-timer.C:
			return errors.Join(io.ErrUnexpectedEOF, Error.New("the connection ended while the request was being written"))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return errors.Join(io.ErrUnexpectedEOF, Error.New("the connection ended after a failed write: %w", c.writeErr))
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	ended := make(chan struct{})
	defer close(ended)
	c.mu.Lock()
	c.writing = ended
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}
