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

// outbox sends datagrams without making the duty wait: where there is no connection
// it dials in the background, one dial an address and a bounded number at once.
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

// send sends b or loses it.
func (o *outbox) send(ctx context.Context, address string, b []byte) {
	o.sent++
	if err := o.mesh.TrySend(address, b); !errors.Is(err, quicmesh.ErrNotConnected) {
		return
	}
	o.background(ctx, address, func(ctx context.Context) { _ = o.mesh.Send(ctx, address, b) })
}

// background runs f unless the address is being dialled already or too many are.
func (o *outbox) background(ctx context.Context, address string, f func(context.Context)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dialing[address] || len(o.dialing) >= maxDials || ctx.Err() != nil {
		return
	}
	o.dialing[address] = true
	o.running.Add(1)
	go func() {
		defer o.running.Done()
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		f(ctx)
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.dialing, address)
	}()
}

func (o *outbox) wait() { o.running.Wait() }
