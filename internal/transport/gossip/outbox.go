package gossip

import (
	"context"
	"errors"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
)

const (
	dialTimeout = 3 * time.Second
	maxDials    = 16
)

// outbox sends datagrams without blocking the event loop. If there is no connection it
// dials in the background, at most once per address and maxDials times concurrently.
type outbox struct {
	mesh    *quicmesh.Mesh
	mu      sync.Mutex
	dialing map[string]bool
	running sync.WaitGroup
	sent    uint64
}

func newOutbox(mesh *quicmesh.Mesh) *outbox {
	return &outbox{mesh: mesh, dialing: map[string]bool{}}
}

// send sends b without waiting. The datagram may be lost.
func (o *outbox) send(ctx context.Context, address string, b []byte) {
	o.sent++
	if err := o.mesh.TrySend(address, b); !errors.Is(err, quicmesh.ErrNotConnected) {
		return
	}
	o.background(ctx, address, func(ctx context.Context) { _ = o.mesh.Send(ctx, address, b) })
}

// background runs f in a goroutine with dialTimeout. It drops f if a call with the same
// key is in flight, maxDials calls are, or ctx has ended.
func (o *outbox) background(ctx context.Context, key string, f func(context.Context)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dialing[key] || len(o.dialing) >= maxDials || ctx.Err() != nil {
		return
	}
	o.dialing[key] = true
	o.running.Add(1)
	go func() {
		defer o.running.Done()
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		f(ctx)
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.dialing, key)
	}()
}

func (o *outbox) wait() { o.running.Wait() }
