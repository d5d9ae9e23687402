package quicmesh

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"oleanderfall.example/oleanderfall/internal/transport/boundedqueue"
)

// packetOverheadBytes is the size of the IPv4 and UDP headers of a packet.
const packetOverheadBytes = 28

// datagramQueueSize is the number of datagrams that may wait to be sent on a connection
// before the oldest is dropped.
const datagramQueueSize = 64

// Traffic counts what a mesh sent and received, including IP and UDP headers. Connections
// is the number of open connections.
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

// link is the connection in use for one address.
type link struct {
	conn *quic.Conn
	// dialled is true if this process opened the connection, false if the peer did.
	dialled bool
	// since is the time at which the connection was added to the table.
	since time.Time
}

func (l link) alive() bool { return l.conn != nil && l.conn.Context().Err() == nil }

// dial is a dial in progress. conn and err are set before done is closed.
type dial struct {
	done chan struct{}
	conn *quic.Conn
	err  error
}

// links holds the connection in use for each address. Every process dials from the socket
// it listens on, so the remote address of an accepted connection is the listening address
// of the peer, and one connection serves both directions.
type links struct {
	ownAddress string
	mu         sync.Mutex
	byAddr     map[string]link
	dials      map[string]*dial
	// tracked holds the queue of outgoing datagrams of each open connection, including
	// connections that are no longer in byAddr.
	tracked map[*quic.Conn]*boundedqueue.Queue[[]byte]
	// closedTraffic is the total traffic of connections that are no longer open.
	closedTraffic Traffic
}

func newLinks(own string) *links {
	return &links{ownAddress: own, byAddr: map[string]link{}, dials: map[string]*dial{}, tracked: map[*quic.Conn]*boundedqueue.Queue[[]byte]{}}
}

// liveOrDial returns the live connection or, if there is none, the dial to wait for. first
// reports that the caller must run that dial.
func (l *links) liveOrDial(address string) (conn *quic.Conn, d *dial, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if existing := l.byAddr[address]; existing.alive() {
		return existing.conn, nil, false
	}
	if d := l.dials[address]; d != nil {
		return nil, d, false
	}
	d = &dial{done: make(chan struct{})}
	l.dials[address] = d
	return nil, d, true
}

// finishDial records the result of a dial and wakes the callers that wait for it.
func (l *links) finishDial(address string, d *dial, conn *quic.Conn, err error, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dials, address)
	d.conn, d.err = conn, err
	close(d.done)
	if err != nil {
		return
	}
	existing := l.byAddr[address]
	if existing.alive() && address < l.ownAddress {
		// If both sides dialled at the same time, the connection dialled by the side with
		// the lower address is kept.
		return
	}
	l.byAddr[address] = link{conn: conn, dialled: true, since: now}
}

// addAccepted adds a connection opened by the peer. It replaces an existing one, since a
// peer dials only if it has no connection. If both sides dialled at the same time, the
// connection of the side with the lower address is kept.
func (l *links) addAccepted(conn *quic.Conn, now time.Time) {
	address := conn.RemoteAddr().String()
	l.mu.Lock()
	defer l.mu.Unlock()
	existing := l.byAddr[address]
	simultaneous := existing.alive() && existing.dialled && now.Sub(existing.since) < handshakeTimeout
	if simultaneous && l.ownAddress < address {
		return
	}
	l.byAddr[address] = link{conn: conn, since: now}
}

// remove removes the connection to address from the table and returns it, nil if there is
// none. The caller closes it.
func (l *links) remove(address string) *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	existing := l.byAddr[address]
	delete(l.byAddr, address)
	return existing.conn
}

// track starts tracking a connection and returns its queue of outgoing datagrams.
func (l *links) track(conn *quic.Conn) *boundedqueue.Queue[[]byte] {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracked[conn] = boundedqueue.New[[]byte](datagramQueueSize, boundedqueue.DropOldest)
	return l.tracked[conn]
}

// outgoing returns the datagram queue of the live connection to address, nil if there is
// none.
func (l *links) outgoing(address string) *boundedqueue.Queue[[]byte] {
	l.mu.Lock()
	defer l.mu.Unlock()
	existing := l.byAddr[address]
	if !existing.alive() {
		return nil
	}
	return l.tracked[existing.conn]
}

// untrack stops tracking a closed connection and keeps its traffic in the totals.
func (l *links) untrack(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.tracked, conn)
	l.closedTraffic.add(conn.ConnectionStats())
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
	t := l.closedTraffic
	t.Connections = len(l.tracked)
	for c := range l.tracked {
		t.add(c.ConnectionStats())
	}
	return t
}

// statelessResetKey derives the stateless reset key from the identity's private key, so
// that a restarted process immediately resets the connections of its previous run.
func statelessResetKey(client *tls.Config) *quic.StatelessResetKey {
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
