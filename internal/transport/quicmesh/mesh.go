// Package quicmesh carries calls and datagrams between the system's processes over QUIC
// with mutual TLS, using one UDP socket per process.
//
// Invariant: a call that returns ErrNotSent cannot have reached the peer's handler. A
// reply is read completely or the call fails.
package quicmesh

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/transport/boundedqueue"
)

// Error is the class of this package's errors.
var Error = errs.Class("quicmesh")

// ErrNotSent reports that no byte of the call left this process.
var ErrNotSent = errors.New("call not sent")

const (
	idleTimeout      = 20 * time.Second
	handshakeTimeout = 3 * time.Second
	// maxStreams is the number of calls that a peer may have open on one connection.
	maxStreams = 4096
	// headerBytes is the size of the method number at the start of a request.
	headerBytes = 2
)

// Handler handles one call. The result code and detail of a *resultcode.Error are sent to
// the caller; any other error is sent as resultcode.Internal.
type Handler func(ctx context.Context, peer string, request []byte) (reply any, err error)

// Options configures a mesh.
type Options struct {
	// Listen is the UDP address to listen on. Connections to peers are dialled from the
	// same socket.
	Listen string
	// Server and Client are the TLS configurations of accepted and of dialled connections, as
	// returned by tlsconf.Keys. The stateless reset key is derived from Client's private key.
	Server *tls.Config
	Client *tls.Config
	Log    *slog.Logger
	// OnDatagram is called for each received datagram with the sender's address. It must
	// not block.
	OnDatagram func(peer string, b []byte)
	// Partitioned reports whether traffic with a peer is blocked. It is set by tests to simulate
	// network partitions.
	Partitioned func(peer string) bool
}

// Mesh is one process's socket with its connections to all peers. Its methods may be called
// from any goroutine.
type Mesh struct {
	opt       Options
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	links     *links
	handlers  map[wire.Method]Handler
	mu        sync.Mutex
	closed    bool
	cancel    context.CancelFunc
	ctx       context.Context
	running   sync.WaitGroup
}

// New opens the UDP socket. Handlers must be registered with Handle before Start.
func New(opt Options) (*Mesh, error) {
	socket, err := net.ListenPacket("udp", opt.Listen)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		opt:       opt,
		socket:    socket,
		transport: &quic.Transport{Conn: socket, StatelessResetKey: statelessResetKey(opt.Client)},
		links:     newLinks(socket.LocalAddr().String()),
		handlers:  map[wire.Method]Handler{},
		ctx:       ctx,
		cancel:    cancel,
	}, nil
}

// Address returns the local address of the socket.
func (m *Mesh) Address() string { return m.socket.LocalAddr().String() }

// Handle registers the handler of a method. It must be called before Start.
func (m *Mesh) Handle(method wire.Method, h Handler) { m.handlers[method] = h }

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		EnableDatagrams:       true,
	}
}

// Start starts accepting connections. They are served until Close.
func (m *Mesh) Start() error {
	listener, err := m.transport.Listen(m.opt.Server, quicConfig())
	if err != nil {
		return Error.Wrap(err)
	}
	m.listener = listener
	m.running.Add(1)
	go m.accept()
	return nil
}

// Close closes all connections and waits for the handlers.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	if m.listener != nil {
		_ = m.listener.Close()
	}
	m.links.closeAll()
	m.running.Wait()
	_ = m.transport.Close()
	_ = m.socket.Close()
}

func (m *Mesh) accept() {
	defer m.running.Done()
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		m.links.addAccepted(conn, time.Now())
		m.serve(conn)
	}
}

func (m *Mesh) serve(conn *quic.Conn) {
	out := m.links.track(conn)
	m.running.Add(3)
	go m.sendDatagrams(conn, out)
	go m.serveStreams(conn)
	go m.serveDatagrams(conn)
}

func (m *Mesh) sendDatagrams(conn *quic.Conn, out *boundedqueue.Queue[[]byte]) {
	defer m.running.Done()
	for {
		b, err := out.Pop(conn.Context())
		if err != nil {
			return
		}
		if err := conn.SendDatagram(b); err != nil {
			m.opt.Log.Debug("Failed to send datagram", "err", err)
		}
	}
}

func (m *Mesh) serveStreams(conn *quic.Conn) {
	defer m.running.Done()
	defer m.links.untrack(conn)
	for {
		stream, err := conn.AcceptStream(m.ctx)
		if err != nil {
			_ = conn.CloseWithError(0, "closing")
			return
		}
		m.running.Add(1)
		go m.serveCall(conn, stream)
	}
}

func (m *Mesh) serveDatagrams(conn *quic.Conn) {
	defer m.running.Done()
	peer := conn.RemoteAddr().String()
	for {
		b, err := conn.ReceiveDatagram(m.ctx)
		if err != nil {
			return
		}
		if m.partitioned(peer) || m.opt.OnDatagram == nil {
			continue
		}
		m.opt.OnDatagram(peer, b)
	}
}

func (m *Mesh) partitioned(peer string) bool {
	return m.opt.Partitioned != nil && m.opt.Partitioned(peer)
}

func (m *Mesh) serveCall(conn *quic.Conn, stream *quic.Stream) {
	defer m.running.Done()
	defer func() { _ = stream.Close() }()
	peer := conn.RemoteAddr().String()
	if m.partitioned(peer) {
		stream.CancelRead(1)
		return
	}
	frame, err := io.ReadAll(io.LimitReader(stream, wire.MaxMessageBytes+headerBytes))
	if err != nil || len(frame) < headerBytes {
		return
	}
	method := wire.Method(binary.BigEndian.Uint16(frame))
	handler, ok := m.handlers[method]
	if !ok {
		m.reply(stream, nil, resultcode.New(resultcode.BadRequest, "unknown method %d", method))
		return
	}
	reply, err := handler(stream.Context(), peer, frame[headerBytes:])
	m.reply(stream, reply, err)
}

// The first byte of a reply is replyOK if the reply of the method follows, and replyFailure
// if a wire.Failure follows.
const (
	replyOK      byte = 0
	replyFailure byte = 1
)

func (m *Mesh) reply(stream *quic.Stream, reply any, err error) {
	kind := replyOK
	if err != nil {
		kind = replyFailure
		reply = failureOf(err)
	}
	b, err := wire.Encode(reply)
	if err != nil {
		m.opt.Log.Error("Failed to encode reply", "err", err)
		stream.CancelWrite(1)
		return
	}
	_, _ = stream.Write(append([]byte{kind}, b...))
}

func failureOf(err error) wire.Failure {
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return wire.Failure{Code: coded.Code, Detail: coded.Detail}
	}
	return wire.Failure{Code: resultcode.Internal, Detail: err.Error()}
}

// Call sends a request to the process at address and decodes the reply into reply, which
// must be a pointer. A *resultcode.Error was returned by the peer. With ErrNotSent the
// peer's handler certainly did not run; after any other error it may have run.
func (m *Mesh) Call(ctx context.Context, address string, method wire.Method, request, reply any) error {
	b, err := wire.Encode(request)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	if m.partitioned(address) {
		<-ctx.Done()
		return Error.Wrap(errors.Join(ErrNotSent, ctx.Err()))
	}
	stream, err := m.open(ctx, address)
	if err != nil {
		return Error.Wrap(errors.Join(ErrNotSent, err))
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(1)
		stream.CancelWrite(1)
	})
	defer stop()
	frame := binary.BigEndian.AppendUint16(make([]byte, 0, headerBytes+len(b)), uint16(method))
	if _, err := stream.Write(append(frame, b...)); err != nil {
		return Error.Wrap(err)
	}
	if err := stream.Close(); err != nil {
		return Error.Wrap(err)
	}
	response, err := io.ReadAll(io.LimitReader(stream, wire.MaxMessageBytes+1))
	if err != nil {
		m.dropAfterIdleTimeout(address, err)
		return Error.Wrap(err)
	}
	return readReply(response, reply)
}

func readReply(response []byte, reply any) error {
	if len(response) == 0 {
		return Error.New("empty reply")
	}
	if response[0] == replyOK {
		return wire.Decode(response[1:], reply)
	}
	var f wire.Failure
	if err := wire.Decode(response[1:], &f); err != nil {
		return err
	}
	return &resultcode.Error{Code: f.Code, Detail: f.Detail}
}
