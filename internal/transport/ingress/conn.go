package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headStepBytes is the step in which memory is taken for a head that arrives in parts.
	headStepBytes = 4 << 10
	// writeStepBytes is the part of an answer that counts as progress.
	writeStepBytes = 64 << 10
	// heldAnswerBytes is the length from which the memory of a write is counted.
	heldAnswerBytes = 64 << 10
	// writeStall bounds the time without progress of a client that reads an answer.
	writeStall = 30 * time.Second
	// lateRead is the time for bytes that have arrived while the process did not run.
	lateRead = 20 * time.Millisecond
	// lingerTime and lingerBytes bound what is read of a refused request, so that its client gets the answer: a
	// connection that is closed with unread bytes is reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// start is the origin of the times of progress, which must not jump.
var start = time.Now()

func now() int64 { return int64(time.Since(start)) }

// Conn is a connection of a client, for use by an http.Server. It delivers heads as a whole, and no byte of a
// request before the one in front of it has been answered.
type Conn struct {
	net.Conn
	limiter *Limiter
	// listener is the name of the listener, heads returns its limits.
	listener string
	heads    func() HeadLimits

	// waiting is above zero while the process waits for the client.
	waiting atomic.Int32
	// progress is when the client has completed its last step.
	progress atomic.Int64

	// accounted is set if the handler of the request counts the memory of its body.
	accounted atomic.Bool
	// readingBody is set while a handler reads the body of a request.
	readingBody atomic.Bool

	// held is what the connection holds of each pool. It is guarded by limiter.mu.
	held [poolCount]int64
	// evicted is set once the connection has lost what it held to others.
	evicted atomic.Bool

	// inHead is set while the next bytes belong to a head that is not complete.
	inHead atomic.Bool
	// buf has bytes that were read and not delivered. Only one goroutine reads at a time.
	buf []byte
	// request is what is left of the current request.
	request framing
	// linger is set if the client may still be sending when the connection is closed.
	linger atomic.Bool

	writeMu       sync.Mutex
	writeDeadline time.Time
}

func newConn(l *Limiter, conn net.Conn, listener string, heads func() HeadLimits) *Conn {
	c := &Conn{Conn: conn, limiter: l, listener: listener, heads: heads}
	c.beginHead()
	return c
}

// connKey is the key of a Conn in the context of its requests.
type connKey struct{}

// connOf returns the connection on which a request came, nil if there is none.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// step records progress of the client.
func (c *Conn) step() { c.progress.Store(now()) }

// await begins to wait for the client.
func (c *Conn) await() (received func()) {
	c.waiting.Add(1)
	return func() { c.waiting.Add(-1) }
}

// beginHead ends a request. What follows is the head of the next one.
func (c *Conn) beginHead() {
	c.limiter.giveAll(c)
	c.linger.Store(false)
	c.accounted.Store(false)
	c.step()
	c.waiting.Store(1)
	c.inHead.Store(true)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.inHead.Load() {
		if err := c.readHead(p); err != nil {
			return 0, err
		}
	}
	if len(c.buf) > 0 {
		n := c.request.advance(c.buf[:min(len(p), len(c.buf))])
		copy(p, c.buf[:n])
		if c.buf = c.buf[n:]; len(c.buf) == 0 {
			c.buf = nil
		}
		return n, nil
	}
	n, err := c.Conn.Read(p[:c.request.most(len(p))])
	if n > 0 {
		if allowed := c.request.advance(p[:n]); allowed < n {
			c.buf = append(c.buf, p[allowed:n]...)
			n = allowed
		}
	}
	return n, err
}

// readHead collects the next head in c.buf. scratch is room for the first read.
func (c *Conn) readHead(scratch []byte) error {
	limits := c.heads()
	if len(c.buf) == 0 {
		n, err := c.readBefore(time.Now().Add(limits.IdleTimeout), scratch)
		if n == 0 {
			return err
		}
		c.buf = append(c.buf, scratch[:n]...)
	}
	c.step()
	deadline := time.Now().Add(limits.Timeout)
	searched, taken := 0, 0
	for {
		if skipped := blankBytes(c.buf); skipped > 0 {
			c.buf, searched = c.buf[skipped:], 0
		}
		end := headLength(c.buf, searched)
		if end > limits.MaxBytes || end == 0 && len(c.buf) > limits.MaxBytes {
			return c.refuse(causeHeadBytes, tooLarge)
		}
		if end > 0 {
			return c.acceptHead(c.buf[:end], int64(taken))
		}
		searched = max(0, len(c.buf)-len("\n\r"))
		if len(c.buf) == cap(c.buf) || taken == 0 {
			if !c.limiter.take(c, heads, headStepBytes, 0, causeHeadMemory) {
				return c.refuse(causeHeadMemory, noRoom)
			}
			taken += headStepBytes
			c.buf = append(make([]byte, 0, len(c.buf)+headStepBytes), c.buf...)
		}
		n, err := c.readBefore(deadline, c.buf[len(c.buf):cap(c.buf)])
		if n == 0 {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.limiter.count(causeHeadTime, c.listener)
			}
			return err
		}
		c.buf = c.buf[:len(c.buf)+n]
	}
}

// readBefore reads until a deadline. What has arrived before the deadline while the process did not run is read too.
func (c *Conn) readBefore(deadline time.Time, p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if err := c.Conn.SetReadDeadline(time.Now().Add(lateRead)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// acceptHead lets a complete head and its body be delivered. taken is the memory that was taken for the head.
func (c *Conn) acceptHead(head []byte, taken int64) error {
	var fields int
	c.request, fields = parseFraming(head)
	if more := headCost(len(head), fields) - taken; more > 0 && !c.limiter.take(c, heads, more, 0, causeHeadMemory) {
		return c.refuse(causeHeadMemory, noRoom)
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	c.step()
	c.inHead.Store(false)
	c.waiting.Add(-1)
	return nil
}

// Answers to requests of which no handler knows.
const (
	tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom   = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// refuse answers a request before it is delivered, and ends the connection.
func (c *Conn) refuse(why cause, answer string) error {
	c.limiter.count(why, c.listener)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // if it fails, so does the write
	if _, err := io.WriteString(c.Conn, answer); err == nil {
		c.linger.Store(true)
	}
	return io.EOF
}

// SetReadDeadline implements net.Conn. The limits of the listener hold while a head is awaited.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.inHead.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. It fails if the client reads nothing for a time.
func (c *Conn) Write(p []byte) (written int, err error) {
	if len(p) >= heldAnswerBytes {
		if err := c.holdWrite(int64(len(p))); err != nil {
			return 0, err
		}
	}
	c.step()
	defer c.await()()
	for {
		part := p[written:min(len(p), written+writeStepBytes)]
		if err := c.setWriteStall(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		if written += n; err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.limiter.count(causeAnswerTime, c.listener)
			}
			return written, err
		}
		c.step()
		if written == len(p) {
			return written, nil
		}
	}
}

// holdWrite takes the memory of a write that HoldAnswer has not taken yet. It is given back at the end of the request.
func (c *Conn) holdWrite(n int64) error {
	c.limiter.mu.Lock()
	n -= c.held[answers]
	c.limiter.mu.Unlock()
	if n <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeStall)
	defer cancel()
	return c.limiter.holdAnswer(ctx, c, n)
}

// setWriteStall sets the deadline of the next write.
func (c *Conn) setWriteStall() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	t := time.Now().Add(writeStall)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(t) {
		t = c.writeDeadline
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetLinger sets what Close does with bytes that were not sent, as that of a net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	c.linger.Store(false)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn. If the client may still be sending, it goes on reading for a short time in the background.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Swap(false) && tcp.CloseWrite() == nil {
		c.limiter.giveAll(c)
		c.step()
		c.waiting.Store(1)
		go func() {
			if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
				_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // how it ends does not matter
			}
			_ = c.close()
		}()
		return nil
	}
	return c.close()
}

func (c *Conn) close() error {
	c.limiter.closed(c)
	return c.Conn.Close()
}
