package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkTick advances one host's machine by a fifth of a heartbeat in a fleet of 390 hosts.
func BenchmarkTick(b *testing.B) {
	live := fleetOf(390, 7)
	now := time.Unix(1000, 0)
	m := New(Options{Self: live[0], Heartbeat: time.Second, Random: rand.New(rand.NewPCG(1, 1)).Uint64}, now)
	m.MergeRecords(now, live)
	m.Tick(now)
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		for _, p := range m.peers {
			p.lastAlive = now
		}
		m.Tick(now)
	}
}

// BenchmarkPeers computes one host's links, as after a membership change, among 390 hosts.
func BenchmarkPeers(b *testing.B) {
	live := fleetOf(390, 7)
	for b.Loop() {
		Peers(live[0].Host, live)
	}
}
