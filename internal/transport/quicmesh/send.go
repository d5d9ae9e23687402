package quicmesh

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// ErrNotConnected reports that there is no connection to the address yet.
var ErrNotConnected = errors.New("not connected")

// Send sends a datagram to the process at address, and dials first if there is no
// connection. The datagram may be lost.
func (m *Mesh) Send(ctx context.Context, address string, b []byte) error {
	if m.partitioned(address) {
		return nil
	}
	conn, err := m.connection(ctx, address)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(conn.SendDatagram(b))
}

// TrySend queues a datagram on an existing connection. If there is none it returns
// ErrNotConnected without dialling. A full queue drops its oldest datagram. The mesh owns
// b afterwards.
func (m *Mesh) TrySend(address string, b []byte) error {
	if m.partitioned(address) {
		return nil
	}
	out := m.links.outgoing(address)
	if out == nil {
		return Error.Wrap(ErrNotConnected)
	}
	return Error.Wrap(out.Push(m.ctx, b))
}

// Drop closes the connection to address, if there is one.
func (m *Mesh) Drop(address string) {
	if conn := m.links.remove(address); conn != nil {
		_ = conn.CloseWithError(0, "dropped")
	}
}

// Traffic returns the traffic of the mesh since it was created.
func (m *Mesh) Traffic() Traffic { return m.links.traffic() }

func (m *Mesh) open(ctx context.Context, address string) (*quic.Stream, error) {
	conn, err := m.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn.OpenStreamSync(ctx)
}

// connection returns the live connection to address, or dials and waits. Concurrent
// callers share one dial.
func (m *Mesh) connection(ctx context.Context, address string) (*quic.Conn, error) {
	conn, d, first := m.links.liveOrDial(address)
	if conn != nil {
		return conn, nil
	}
	if first && !m.startDial(address, d) {
		return nil, context.Canceled
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startDial runs dial d in the background. If the mesh is closed, it makes d fail and
// returns false.
func (m *Mesh) startDial(address string, d *dial) bool {
	if !m.addRunning() {
		m.links.finishDial(address, d, nil, context.Canceled, time.Now())
		return false
	}
	go func() {
		defer m.running.Done()
		conn, err := m.dial(address)
		if err == nil {
			m.serve(conn)
		}
		m.links.finishDial(address, d, conn, err, time.Now())
	}()
	return true
}

// addRunning adds a goroutine to the running count. It returns false if the mesh is
// closed.
func (m *Mesh) addRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.running.Add(1)
	return true
}

func (m *Mesh) dial(address string) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return m.transport.Dial(m.ctx, addr, m.opt.Client, quicConfig())
}

// dropAfterIdleTimeout closes the connection to address if err is an idle timeout.
func (m *Mesh) dropAfterIdleTimeout(address string, err error) {
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) {
		m.Drop(address)
	}
}
