package front

import (
	"context"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	scalingduty "oleanderfall.example/oleanderfall/internal/transport/scaling"
)

// recordedOrders is an operator's API that records orders, and the lease of one host.
type recordedOrders struct {
	mu     sync.Mutex
	holder string
	orders []operatorapi.EndpointCount
	from   map[string]bool
}

func (*recordedOrders) ReportUsage(context.Context, operatorapi.Credentials, operatorapi.Usage) error {
	return nil
}

func (r *recordedOrders) SetEndpointCount(_ context.Context, c operatorapi.Credentials, n operatorapi.EndpointCount) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders, r.from[c.Holder] = append(r.orders, n), true
	return nil
}

func (r *recordedOrders) most() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.orders {
		n = max(n, o.Count)
	}
	return n
}

// hostLease is a host's view of the lease.
type hostLease struct {
	*recordedOrders
	host string
}

func (l hostLease) Holding(time.Duration) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 1, l.holder == l.host
}

// Samples that wait at the host that runs a batch are not known to the other hosts. The holder of the
// lease must learn of them, or it orders endpoints only for what runs already.
func TestScaling_SamplesWaitingAtAnotherHost(t *testing.T) {
	w := newTestCluster(t)
	w.engines.mu.Lock()
	w.engines.eventInterval = 10 * time.Millisecond
	w.engines.mu.Unlock()
	w.put("conf/main", catalog.Config{Generation: 2,
		Routes: []catalog.Route{{Name: "samples", Host: "h", PathPrefix: "/samples/", Kind: catalog.KindRollout, MaxAttempts: 3,
			SampleTTL: 30 * time.Second, ResultsObjective: 7500 * time.Millisecond, Targets: []catalog.Target{{Service: "engines", Weight: 1}}}},
		Services: []catalog.Service{{Name: "engines", Scaling: &catalog.Scaling{Min: 1, Max: 40, BootTime: 4 * time.Second, ZonePrices: map[string]float64{"a": 1}}}}})
	r := &recordedOrders{from: map[string]bool{}}
	w.duties = func(host string) (operatorapi.Client, scalingduty.Lease) { return r, hostLease{r, host} }
	var nodes []*testNode
	for _, host := range []string{"h1", "h2"} {
		s := w.settings(host)
		s.OperatorAPI = OperatorAPI{Address: "api:1", CallsPerSecond: 10, ScalesServices: true}
		nodes = append(nodes, w.startWith(s))
	}
	w.waitUntil("the hosts agree on the host that runs batches", func() bool {
		owner := nodes[0].Batches.ownerFor("m")
		return nodes[0].Ready() && nodes[1].Ready() && nodes[0].peers.Count() == 1 && nodes[1].peers.Count() == 1 && owner == nodes[1].Batches.ownerFor("m")
	})
	holder := "h1"
	if nodes[0].Batches.ownerFor("m") == holder {
		holder = "h2"
	}
	r.mu.Lock()
	r.holder = holder
	r.mu.Unlock()
	// 60 samples of 3 s and unknown length wait for 12 slots.
	if err := nodes[0].Batches.Submit(t.Context(), batch("b1", 30, 300)); err != nil {
		t.Fatal(err)
	}
	// They need 15 engines with 4 slots each; there are 3.
	w.waitUntil("engines are ordered for all samples", func() bool { return r.most() >= 15 })
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.from) != 1 || !r.from[holder] {
		t.Errorf("orders from %v, want only from %s", r.from, holder)
	}
}
