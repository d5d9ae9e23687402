package quicmesh

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"oleanderfall.example/oleanderfall/internal/transport/ring"
)

// packetOverheadBytes is what IPv4 and UDP add to each packet.
const packetOverheadBytes = 28

// datagramRing is the number of datagrams that wait for a connection before the
// oldest is discarded.
const datagramRing = 64

// Traffic counts what a mesh sent and received, IP and UDP headers included.
type Traffic struct {
	Connections     int
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
}

func (t *Traffic) add(s quic.ConnectionStats) {
	t.BytesSent += s.BytesSent + packetOverheadBytes*s.PacketsSent
	t.BytesReceived += s.BytesReceived + packetOverheadBytes*s.PacketsReceived
	t.PacketsSent += s.PacketsSent
	t.PacketsReceived += s.PacketsReceived
}

type link struct {
	conn    *quic.Conn
	dialled bool
	since   time.Time
}

func (l link) alive() bool { return l.conn != nil && l.conn.Context().Err() == nil }

// dial is a dial under way; conn and err are set before done closes.
type dial struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// links holds the connection in use for each address. Because every process dials
// from the socket it listens on, an accepted connection's remote address is its
// peer's own, and one connection serves both directions.
type links struct {
	own     string
	mu      sync.Mutex
	byAddr  map[string]link
	dials   map[string]*dial
	tracked map[*quic.Conn]*ring.Ring[[]byte]
	ended   Traffic
}

func newLinks(own string) *links {
	return &links{own: own, byAddr: map[string]link{}, dials: map[string]*dial{}, tracked: map[*quic.Conn]*ring.Ring[[]byte]{}}
}

// liveOrDial returns the live connection, or the dial to wait for and whether the
// caller is the one to run it.
func (l *links) liveOrDial(address string) (conn *quic.Conn, d *dial, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.byAddr[address]; k.alive() {
		return k.conn, nil, false
	}
	if d := l.dials[address]; d != nil {
		return nil, d, false
	}
	d = &dial{done: make(chan struct{})}
	l.dials[address] = d
	return nil, d, true
}

func (l *links) dialled(address string, d *dial, conn *quic.Conn, err error, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dials, address)
	d.conn, d.err = conn, err
	close(d.done)
	if err != nil {
		return
	}
	held := l.byAddr[address]
	if held.alive() && address < l.own {
		// Both sides dialled at once; the one with the lower address wins.
		return
	}
	l.byAddr[address] = link{conn: conn, dialled: true, since: now}
}

// accepted takes a connection that the peer opened. It replaces an older one, since
// a peer dials only when it has none, except when both dialled at once.
func (l *links) accepted(conn *quic.Conn, now time.Time) {
	address := conn.RemoteAddr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.byAddr[address]
	atOnce := held.alive() && held.dialled && now.Sub(held.since) < handshakeTimeout
	if atOnce && l.own < address {
		return
	}
	l.byAddr[address] = link{conn: conn, since: now}
}

func (l *links) remove(address string) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddr[address]
	delete(l.byAddr, address)
	return k.conn
}

// track opens a connection's books and returns its ring of datagrams to send.
func (l *links) track(conn *quic.Conn) *ring.Ring[[]byte] {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracked[conn] = ring.New[[]byte](datagramRing, ring.DropOldest)
	return l.tracked[conn]
}

// outgoing returns the ring of the live connection to address, nil without one.
func (l *links) outgoing(address string) *ring.Ring[[]byte] {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddr[address]
	if !k.alive() {
		return nil
	}
	return l.tracked[k.conn]
}

// untrack ends a connection's books.
func (l *links) untrack(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.tracked, conn)
	l.ended.add(conn.ConnectionStats())
	address := conn.RemoteAddr().String()
	if l.byAddr[address].conn == conn {
		delete(l.byAddr, address)
	}
}

func (l *links) closeAll() {
	l.mu.Lock()
	conns := make([]*quic.Conn, 0, len(l.tracked))
	for c := range l.tracked {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.CloseWithError(0, "closing")
	}
}

func (l *links) traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.ended
	t.Connections = len(l.tracked)
	for c := range l.tracked {
		t.add(c.ConnectionStats())
	}
	return t
}

// resetKey derives the key of stateless resets from the identity's private key, so
// that a restarted process resets its predecessor's connections at once.
func resetKey(client *tls.Config) *quic.StatelessResetKey {
	if client == nil || client.GetClientCertificate == nil {
		return nil
	}
	cert, err := client.GetClientCertificate(nil)
	if err != nil || cert == nil {
		return nil
	}
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset "), der...)))
	return &key
}
