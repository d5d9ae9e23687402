package gossip

import (
	"context"
	"errors"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
)

const (
	// backgroundTimeout limits a background call, including the dial.
	backgroundTimeout = 3 * time.Second
	// maxBackground limits the background calls in flight.
	maxBackground = 16
)

// outbox sends datagrams without blocking the event loop. Sends that have to dial first, and
// exchanges, run in the background, at most one per key and maxBackground concurrently.
type outbox struct {
	mesh     *quicmesh.Mesh
	mu       sync.Mutex
	inFlight map[string]bool
	running  sync.WaitGroup
	// sent counts the calls of send, which only the event loop makes.
	sent uint64
}

func newOutbox(mesh *quicmesh.Mesh) *outbox {
	return &outbox{mesh: mesh, inFlight: map[string]bool{}}
}

// send sends b without waiting. The datagram may be lost.
func (o *outbox) send(ctx context.Context, address string, b []byte) {
	o.sent++
	if err := o.mesh.TrySend(address, b); !errors.Is(err, quicmesh.ErrNotConnected) {
		return
	}
	o.background(ctx, address, func(ctx context.Context) { _ = o.mesh.Send(ctx, address, b) })
}

// background runs f in a goroutine with backgroundTimeout. It drops f if a call with the same
// key is in flight, maxBackground calls are, or ctx has ended.
func (o *outbox) background(ctx context.Context, key string, f func(context.Context)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight[key] || len(o.inFlight) >= maxBackground || ctx.Err() != nil {
		return
	}
	o.inFlight[key] = true
	o.running.Add(1)
	go func() {
		defer o.running.Done()
		ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
		defer cancel()
		f(ctx)
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.inFlight, key)
	}()
}

func (o *outbox) wait() { o.running.Wait() }
