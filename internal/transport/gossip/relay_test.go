package gossip

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relayNet opens UDP relays that drop a random share of the packets.
type relayNet struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand
	// lossPercent is the share of packets to drop, dropped the number dropped so far.
	lossPercent atomic.Int64
	dropped     atomic.Int64
}

func (n *relayNet) drop() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.random.Int64N(100) >= n.lossPercent.Load() {
		return false
	}
	n.dropped.Add(1)
	return true
}

// open returns the address of a new relay to target.
func (n *relayNet) open(target string) string {
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	r := &relay{net: n, listener: listener, target: target, upstreams: map[string]net.Conn{}}
	r.running.Add(1)
	go r.forward()
	n.t.Cleanup(r.close)
	return listener.LocalAddr().String()
}

// relay forwards packets to its target, over one socket per sender, and the replies back.
type relay struct {
	net       *relayNet
	listener  net.PacketConn
	target    string
	mu        sync.Mutex
	upstreams map[string]net.Conn
	running   sync.WaitGroup
}

const maxPacket = 1 << 16

func (r *relay) forward() {
	defer r.running.Done()
	b := make([]byte, maxPacket)
	for {
		size, from, err := r.listener.ReadFrom(b)
		if err != nil {
			return
		}
		conn := r.upstreamFor(from)
		if conn != nil && !r.net.drop() {
			_, _ = conn.Write(b[:size])
		}
	}
}

// upstreamFor returns the socket to the target for one sender, nil if dialling fails.
func (r *relay) upstreamFor(from net.Addr) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.upstreams[from.String()]; c != nil {
		return c
	}
	c, err := net.Dial("udp", r.target)
	if err != nil {
		return nil
	}
	r.upstreams[from.String()] = c
	r.running.Add(1)
	go r.forwardReplies(c, from)
	return c
}

func (r *relay) forwardReplies(c net.Conn, to net.Addr) {
	defer r.running.Done()
	b := make([]byte, maxPacket)
	for {
		size, err := c.Read(b)
		if err != nil {
			return
		}
		if !r.net.drop() {
			_, _ = r.listener.WriteTo(b[:size], to)
		}
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.upstreams {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
