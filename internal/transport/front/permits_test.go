package front

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// limitedEndpoint answers the plain requests of a test cluster and names a limit, in requests per
// second, to the host that sent the request.
type limitedEndpoint struct {
	limit float64

	mu       sync.Mutex
	arrivals []time.Time
	byHost   map[string]int
}

// serve makes the endpoint answer the plain requests of all hosts, whose ids begin with the name
// of the host. hosts lists the hosts in the order in which they started.
func (e *limitedEndpoint) serve(w *testCluster, hosts []*testNode) {
	e.byHost = map[string]int{}
	w.engines.setDo(func(r backend.Request) (*backend.Answer, error) {
		host := r.Header.Get("From-Host")
		e.mu.Lock()
		e.arrivals = append(e.arrivals, time.Now())
		e.byHost[host]++
		e.mu.Unlock()
		w.engines.mu.Lock()
		notices := w.engines.notices
		w.engines.mu.Unlock()
		for i, n := range hosts {
			if n.Settings.Host == host {
				notices[i](r.Endpoint, backend.Notice{Limited: true, LimitPerSecond: e.limit, SentAt: time.Now()})
			}
		}
		return &backend.Answer{Status: http.StatusOK, Signature: "s"}, nil
	})
}

// mostInWindow returns the largest number of arrivals in four seconds that arrived after a time.
func (e *limitedEndpoint) mostInWindow(after time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most, first := 0, 0
	for i, at := range e.arrivals {
		for at.Sub(e.arrivals[first]) > 4*time.Second || e.arrivals[first].Before(after) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Hosts that stop hearing each other keep to the limit together, at once and from then on, and each
// part still sends requests.
func TestLimit_HoldsWhileHostsDoNotHearEachOther(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	hosts := w.start("n1", "n2", "n3")
	e := &limitedEndpoint{limit: 30}
	e.serve(w, hosts)
	defer loadHosts(hosts, 4)()
	time.Sleep(500 * time.Millisecond)
	named := time.Now()
	time.Sleep(2 * time.Second)
	_ = hosts[1].membership.conn.Close() // its heartbeats and those to it are lost from now on
	w.waitUntil("the other hosts have noticed", func() bool {
		known, alive := hosts[0].peers.Known()
		return known == 3 && alive == 2
	})
	e.mu.Lock()
	before := e.byHost["n2"]
	e.mu.Unlock()
	time.Sleep(6 * time.Second)
	// The bound of the platform: 1.5 times the limit and 5 requests.
	if got, want := e.mostInWindow(named), int(1.5*e.limit*4)+5; got > want {
		t.Errorf("the endpoint received %d requests in 4 s, want at most %d", got, want)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if got, want := e.byHost["n2"]-before, 6*int(e.limit)/3/2; got < want {
		t.Errorf("the host that is cut off sent %d requests in 6 s, want at least %d", got, want)
	}
}

// The limit also holds in a large fleet, in which most hosts hear of it only through their hubs and
// one of the hubs is lost.
func TestLimit_HoldsInALargeFleet(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.startLarge(10)
	e := &limitedEndpoint{limit: 20}
	e.serve(w, hosts)
	stop := loadHosts(hosts, 2)
	time.Sleep(500 * time.Millisecond)
	named := time.Now()
	time.Sleep(2 * time.Second)
	hubs, _ := roles(hosts)
	w.kill(hubs[0])
	time.Sleep(5 * time.Second)
	stop()
	// The bound of the platform: 1.5 times the limit and 5 requests.
	if got, want := e.mostInWindow(named), int(1.5*e.limit*4)+5; got > want {
		t.Errorf("the endpoint received %d requests in 4 s, want at most %d", got, want)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if got, want := len(e.arrivals), 7*int(e.limit)/2; got < want {
		t.Errorf("the endpoint received %d requests in over 7 s, want at least %d", got, want)
	}
}

// loadHosts sends plain requests through hosts, from several callers each, until the returned
// function is called.
func loadHosts(hosts []*testNode, callersPerHost int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, n := range hosts {
		for range callersPerHost {
			all.Go(func() {
				for ctx.Err() == nil {
					if _, err := forwardFrom(ctx, n); err != nil {
						time.Sleep(5 * time.Millisecond)
					}
				}
			})
		}
	}
	return func() { cancel(); all.Wait() }
}

// forwardFrom sends a plain request through a host.
func forwardFrom(ctx context.Context, n *testNode) (*backend.Answer, error) {
	route, err := n.Forwarder.Route("h", "/plain/x")
	if err != nil {
		return nil, err
	}
	return n.Forwarder.Forward(ctx, route, &Inbound{ID: "r", Host: "h", Method: http.MethodPost, URI: "/plain/x", Path: "/plain/x",
		Header: http.Header{"From-Host": {n.Settings.Host}}, Budget: time.Second})
}

// Control calls are sent whatever the limit is, and leave less of it to requests.
func TestLimit_OrdersCount(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t)
	n := w.start("n1")[0]
	e := &limitedEndpoint{limit: 10}
	e.serve(w, []*testNode{n})
	p0 := catalog.Endpoint{ID: "p0", Service: "plain", Address: "p0:1", Zone: "a", Slots: 8}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			n.Forwarder.fleet.WithTable(func(t *placement.Table) { t.RecordCall(time.Now(), p0) })
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(200 * time.Millisecond)
	if _, err := forwardFrom(ctx, n); err != nil {
		t.Fatal(err)
	}
	sent := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		if _, err := forwardFrom(ctx, n); err == nil {
			sent++
		}
	}
	if sent > 10 {
		t.Errorf("%d requests in 3 s beside 10 orders a second, at a limit of 10 a second", sent)
	}
}
