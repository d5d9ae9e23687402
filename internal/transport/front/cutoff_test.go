package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// The tests of this file guard against wrong beliefs and broken promises of hosts that have lost
// their links to all endpoints. Package platform tests the same with HTTP connections.

// hostLinks are the links of one host to the fake endpoints.
type hostLinks struct {
	*fakeEngines
	// silenced links lose all packets: dials time out, and open connections get no answer.
	silenced atomic.Bool
	// orders counts the orders sent over these links.
	orders atomic.Int64
}

// silentDialTimeout is the time after which a dial over silenced links fails.
const silentDialTimeout = 50 * time.Millisecond

func (l *hostLinks) dial() error {
	if !l.silenced.Load() {
		return nil
	}
	time.Sleep(silentDialTimeout)
	return errors.Join(backend.ErrNotRun, backend.ErrUnreachable, errors.New("dial timed out"))
}

// Do hangs on silenced links, as on a connection that was open before.
func (l *hostLinks) Do(ctx context.Context, r backend.Request) (*backend.Answer, error) {
	if l.silenced.Load() {
		<-ctx.Done()
		return nil, errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
	}
	return l.fakeEngines.Do(ctx, r)
}

func (l *hostLinks) Generate(ctx context.Context, g backend.GenerateRequest, emit func(backend.Event) error) error {
	if err := l.dial(); err != nil {
		return err
	}
	return l.fakeEngines.Generate(ctx, g, func(e backend.Event) error {
		if l.silenced.Load() {
			<-ctx.Done()
			return errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
		}
		return emit(e)
	})
}

func (l *hostLinks) CheckConnection(ctx context.Context, e catalog.Endpoint) error {
	if err := l.dial(); err != nil {
		return err
	}
	return l.fakeEngines.CheckConnection(ctx, e)
}

func (l *hostLinks) Order(ctx context.Context, o backend.Order) (backend.OrderResult, error) {
	if err := l.dial(); err != nil {
		return 0, err
	}
	l.orders.Add(1)
	return l.fakeEngines.Order(ctx, o)
}

func (l *hostLinks) ReadReport(ctx context.Context, e catalog.Endpoint) (backend.Report, error) {
	if err := l.dial(); err != nil {
		return backend.Report{}, err
	}
	return l.fakeEngines.ReadReport(ctx, e)
}

// plainRequest returns a request of the route with a path prefix.
func plainRequest(id, path string) *Inbound {
	return &Inbound{ID: id, Host: "h", Method: http.MethodPost, URI: path, Path: path, Body: []byte(id), Budget: time.Second}
}

func (n *testNode) forward(in *Inbound) (*backend.Answer, error) {
	route, err := n.Forwarder.Route(in.Host, in.Path)
	if err != nil {
		return nil, err
	}
	return n.Forwarder.Forward(background, route, in)
}

// blamed returns what is wrong about sound endpoints in the view of a host or in its reports, or "".
func (n *testNode) blamed() string {
	now := time.Now()
	var out string
	n.Forwarder.fleet.WithTable(func(t *placement.Table) {
		for _, e := range t.All() {
			if t.IsImpaired(now, e.ID) {
				out = fmt.Sprintf("endpoint %s counts as impaired at %s", e.ID, n.Settings.Host)
			}
		}
	})
	var h presence.Heartbeat
	n.fillHeartbeat(&h)
	if len(h.Unreachable)+len(h.Slow)+len(h.Quarantine) > 0 {
		out = fmt.Sprintf("%s reports %d endpoints as unreachable, %d as slow and %d requests as crashing endpoints",
			n.Settings.Host, len(h.Unreachable), len(h.Slow), len(h.Quarantine))
	}
	return out
}

// A host that loses its links while it forwards requests and runs a batch blames no endpoint and no
// request for it, neither in its own decisions nor in its reports to the others.
func TestCutOff_EndpointsNotBlamed(t *testing.T) {
	w := newTestCluster(t)
	w.engines.eventInterval = 20 * time.Millisecond
	w.engines.setDo(func(r backend.Request) (*backend.Answer, error) {
		time.Sleep(10 * time.Millisecond) // answers without any delay differ in their time by a multiple
		return &backend.Answer{Status: http.StatusOK, Signature: "signed-" + r.ID}, nil
	})
	for _, id := range []string{"p1", "p2"} {
		w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "plain", Address: id + ":1", Zone: "a", Slots: 8})
	}
	hosts := w.start("h1", "h2", "h3")
	id := submit(t, hosts[0], 20, 60)
	owner, _ := w.owner(id)
	w.waitUntil("samples run", func() bool { return w.engines.generating.Load() > 4 })
	owner.links.silenced.Store(true)
	var callers sync.WaitGroup
	for i := range 10 {
		callers.Go(func() {
			for round := range 12 {
				if _, err := owner.forward(plainRequest(fmt.Sprintf("r%d-%d", i, round), "/plain/x")); err != nil && round > 0 {
					t.Errorf("request %d of caller %d: %v", round, i, err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	end := time.Now().Add(3 * time.Second)
	w.waitUntil("the host knows that it is cut off", owner.CutOff)
	for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range hosts {
			if wrong := n.blamed(); wrong != "" {
				t.Fatal(wrong)
			}
		}
	}
	callers.Wait()
}

// A holder of the weights lease that loses its links leaves the lease to a host that has them. Orders
// never go through a peer, which would be a second holder to the engines.
func TestCutOff_HolderReleasesLease(t *testing.T) {
	w := newTestCluster(t)
	w.engines.loaded = w.register
	hosts := w.start("h1", "h2", "h3")
	loaded := func(version int) func() bool {
		return func() bool {
			w.engines.mu.Lock()
			defer w.engines.mu.Unlock()
			return w.engines.versions["e0"] == version && w.engines.versions["e1"] == version && w.engines.versions["e2"] == version
		}
	}
	w.put("models/m", 2)
	w.waitUntil("version 2 is loaded", loaded(2))
	holder := hosts[slices.IndexFunc(hosts, func(n *testNode) bool { return n.weights.FencingToken() != 0 })]
	holder.links.silenced.Store(true)
	w.put("models/m", 3)
	began := time.Now()
	w.waitUntil("version 3 is loaded", loaded(3))
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("the engines loaded the next version %v after the holder had lost its links", took)
	}
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	checkOrders(t, w.engines.received, holder.Settings.Lease)
	for _, o := range w.engines.received {
		if o.version == 3 && o.holder == holder.Settings.Host {
			t.Errorf("engine %s received an order of %s, which has no links", o.endpoint, o.holder)
		}
	}
}

// While no host has links, the holder keeps the lease: nobody else could order more.
func TestCutOff_HolderKeepsLeaseIfNoHostHasLinks(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.start("h1", "h2")
	w.waitUntil("a host holds the lease", func() bool { return hosts[0].weights.FencingToken()+hosts[1].weights.FencingToken() != 0 })
	token := hosts[0].weights.FencingToken() + hosts[1].weights.FencingToken()
	for _, n := range hosts {
		n.links.silenced.Store(true)
		_, _ = n.forward(plainRequest("r-"+n.Settings.Host, "/plain/x"))
	}
	w.waitUntil("both hosts know that they are cut off", func() bool { return hosts[0].CutOff() && hosts[1].CutOff() })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := hosts[0].weights.FencingToken() + hosts[1].weights.FencingToken(); now != token {
			t.Fatalf("fencing tokens add up to %d, want %d: the lease moved", now, token)
		}
	}
}
