package gossip

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relayNet opens UDP relays that lose a part of the packets.
type relayNet struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand
	// loss is in percent.
	loss atomic.Int64
	lost atomic.Int64
}

func (n *relayNet) drop() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.random.Int64N(100) >= n.loss.Load() {
		return false
	}
	n.lost.Add(1)
	return true
}

// open returns the address of a new relay to target.
func (n *relayNet) open(target string) string {
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	r := &relay{net: n, front: front, target: target, backs: map[string]net.Conn{}}
	r.running.Add(1)
	go r.forward()
	n.t.Cleanup(r.close)
	return front.LocalAddr().String()
}

// relay forwards packets to its target over one socket for each sender.
type relay struct {
	net     *relayNet
	front   net.PacketConn
	target  string
	mu      sync.Mutex
	backs   map[string]net.Conn
	running sync.WaitGroup
}

const maxPacket = 1 << 16

func (r *relay) forward() {
	defer r.running.Done()
	b := make([]byte, maxPacket)
	for {
		size, from, err := r.front.ReadFrom(b)
		if err != nil {
			return
		}
		back := r.back(from)
		if back != nil && !r.net.drop() {
			_, _ = back.Write(b[:size])
		}
	}
}

func (r *relay) back(from net.Addr) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.backs[from.String()]; c != nil {
		return c
	}
	c, err := net.Dial("udp", r.target)
	if err != nil {
		return nil
	}
	r.backs[from.String()] = c
	r.running.Add(1)
	go r.backward(c, from)
	return c
}

func (r *relay) backward(c net.Conn, to net.Addr) {
	defer r.running.Done()
	b := make([]byte, maxPacket)
	for {
		size, err := c.Read(b)
		if err != nil {
			return
		}
		if !r.net.drop() {
			_, _ = r.front.WriteTo(b[:size], to)
		}
	}
}

func (r *relay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	for _, c := range r.backs {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
