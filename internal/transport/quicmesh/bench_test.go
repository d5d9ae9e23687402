package quicmesh

import (
	"log/slog"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

func benchMesh(b *testing.B, keys *tlsconf.Keys, onDatagram func(string, []byte)) *Mesh {
	b.Helper()
	m, err := New(Options{Listen: "127.0.0.1:0", Server: keys.Server(), Client: keys.Client(), Log: slog.New(slog.DiscardHandler), OnDatagram: onDatagram})
	if err != nil {
		b.Fatal(err)
	}
	if err := m.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(m.Close)
	return m
}

func benchKeys(b *testing.B) *tlsconf.Keys {
	b.Helper()
	dir := b.TempDir()
	if err := tlsconf.WriteDevelopmentKeys(dir, "host"); err != nil {
		b.Fatal(err)
	}
	keys, err := tlsconf.Load(tlsconf.Files{
		Authority: filepath.Join(dir, "ca.pem"), Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "host.key"),
	})
	if err != nil {
		b.Fatal(err)
	}
	return keys
}

func memoryInUse() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapInuse + s.StackInuse
}

// BenchmarkConnection dials connections. B/end is the memory retained by one end of a
// connection.
func BenchmarkConnection(b *testing.B) {
	keys := benchKeys(b)
	hub := benchMesh(b, keys, nil)
	peers := make([]*Mesh, 0, b.N)
	for range b.N {
		peers = append(peers, benchMesh(b, keys, nil))
	}
	before := memoryInUse()
	b.ResetTimer()
	for _, p := range peers {
		if err := hub.Send(b.Context(), p.Address(), []byte("x")); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	// The buffers of the handshake are freed shortly after it.
	time.Sleep(200 * time.Millisecond)
	b.ReportMetric(float64(memoryInUse()-before)/float64(2*b.N), "B/end")
}

// BenchmarkDatagram sends one datagram of the size of a heartbeat and waits until it is
// received.
func BenchmarkDatagram(b *testing.B) {
	keys := benchKeys(b)
	received := make(chan struct{}, 1)
	to := benchMesh(b, keys, func(string, []byte) { received <- struct{}{} })
	from := benchMesh(b, keys, nil)
	heartbeat := make([]byte, 64)
	if err := from.Send(b.Context(), to.Address(), heartbeat); err != nil {
		b.Fatal(err)
	}
	<-received
	for b.Loop() {
		if err := from.TrySend(to.Address(), append([]byte(nil), heartbeat...)); err != nil {
			b.Fatal(err)
		}
		<-received
	}
}
