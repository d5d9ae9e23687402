package httpanswer

import (
	"net"
	"sync"
)

// Conn is a connection of a Transport to a server. It checks the heads of answers before net/http reads them.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// awaited is set from the begin of a request until the final head of its answer has been read; checked is
	// set from then on until the next request.
	awaited, checked bool
	// head is what has been read of the current head, headBytes the length of all heads of the answer.
	head      []byte
	headBytes int
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
	return n, err
}

// check checks the next bytes of the connection as far as they belong to the head of an answer.
func (c *Conn) check(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.awaited {
		searched := max(0, len(c.head)-len("\n\r"))
		c.head = append(c.head, b...)
		end := headLength(c.head, searched)
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
