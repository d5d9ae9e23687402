package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes bounds what the kernel keeps of a connection that is not read.
	receiveBufferBytes = 16 << 10
	// bodySilence bounds the time without a byte of a body, bodyTimeout the time for a whole body.
	bodySilence = 10 * time.Second
	bodyTimeout = time.Minute
	// uncountedCopies is how many copies exist of a body whose handler does not count them, smallBodyBytes the length up
	// to which it does not compete with large ones for memory.
	uncountedCopies = 2
	smallBodyBytes  = 64 << 10
	// bodyStepBytes is the part of a body that counts as progress.
	bodyStepBytes = 16 << 10
)

// Listener accepts the connections of clients at an address. It implements net.Listener.
type Listener struct {
	net.Listener
	limiter *Limiter
	name    string
	heads   func() HeadLimits
}

// Listen listens at an address. name names the listener, and heads returns the limits in force there, of which zero
// values stand for the defaults; heads may be nil.
func (l *Limiter) Listen(ctx context.Context, network, address, name string, heads func() HeadLimits) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // the kernel's default is used if it fails
		})
	}}
	listener, err := config.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	effective := func() HeadLimits { return DefaultHeadLimits }
	if heads != nil {
		effective = func() HeadLimits { return heads().Or(DefaultHeadLimits) }
	}
	return &Listener{Listener: listener, limiter: l, name: name, heads: effective}, nil
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l.limiter, conn, l.name, l.heads)
		if l.limiter.admit(c) {
			return c, nil
		}
		_ = conn.Close() // the client is refused either way
	}
}

// Prepare sets up a server whose listeners are those of a Limiter. It must be called before the server is used.
func Prepare(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(handler, w, r) })
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.beginHead()
		}
	}
}

// serve calls a handler. What it does not read of the request's body is not waited for.
func serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c != nil && c.limiter.busy() {
		w.Header().Set("Connection", "close")
	}
	if c == nil || r.Body == nil || r.Body == http.NoBody {
		handler.ServeHTTP(w, r)
		return
	}
	_ = c.Conn.SetReadDeadline(past) // if it fails, the connection is closed already
	body := &Body{ReadCloser: r.Body, conn: c, ctx: r.Context(), deadline: time.Now().Add(bodyTimeout)}
	r = r.WithContext(r.Context()) // net/http keeps the original body
	r.Body = body
	defer func() { c.linger.Store(!body.ended) }()
	handler.ServeHTTP(w, r)
}

// Body is the body of a request. Reading fails with os.ErrDeadlineExceeded if the client is too slow, with ErrNoRoom or
// os.ErrDeadlineExceeded if others got its memory, and at once if the context of the request has ended.
type Body struct {
	io.ReadCloser
	conn     *Conn
	ctx      context.Context
	deadline time.Time
	// unstepped counts the bytes since the last progress.
	unstepped int
	// read counts all bytes.
	read  int64
	ended bool
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	defer b.conn.await()()
	b.conn.readingBody.Store(true)
	defer b.conn.readingBody.Store(false)
	deadline := time.Now().Add(bodySilence)
	if b.deadline.Before(deadline) {
		deadline = b.deadline
	}
	_ = b.conn.Conn.SetReadDeadline(deadline) // if it fails, the connection is closed already
	if b.conn.evicted.Load() {
		_ = b.conn.Conn.SetReadDeadline(past)
	}
	stop := context.AfterFunc(b.ctx, func() { _ = b.conn.Conn.SetReadDeadline(past) })
	n, err := b.ReadCloser.Read(p)
	stopped := !stop()
	b.read += int64(n)
	if n > 0 && !b.conn.accounted.Load() {
		if _, ok := b.conn.takeBody(int64(n)*uncountedCopies, b.read > smallBodyBytes); !ok {
			_ = b.conn.Conn.SetReadDeadline(past)
			return 0, ErrNoRoom
		}
	}
	if b.conn.evicted.Load() && (err == nil || errors.Is(err, io.EOF)) {
		// Its memory has gone to others, so the request must not go on.
		_ = b.conn.Conn.SetReadDeadline(past)
		return 0, ErrNoRoom
	}
	if b.unstepped += n; b.unstepped >= bodyStepBytes || err != nil {
		b.unstepped = 0
		b.conn.step()
	}
	switch {
	case errors.Is(err, io.EOF):
		// Without a deadline the connection is read to notice that the caller leaves.
		b.ended = true
		_ = b.conn.Conn.SetReadDeadline(time.Time{})
		return n, err
	case errors.Is(err, os.ErrDeadlineExceeded) && !stopped && !b.conn.evicted.Load():
		b.conn.limiter.count(causeBodyTime, b.conn.listener)
	}
	_ = b.conn.Conn.SetReadDeadline(past)
	return n, err
}
