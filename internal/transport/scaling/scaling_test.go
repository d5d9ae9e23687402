package scaling

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/scaling"
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// operator is an operator's API and the lease for calling it.
type operator struct {
	mu    sync.Mutex
	token uint64
	held  bool
	err   error
	// silent zones do not answer.
	silent string
	calls  []call
}

type call struct {
	at          time.Time
	credentials operatorapi.Credentials
	count       operatorapi.EndpointCount
}

func (o *operator) Holding(time.Duration) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.token, o.held
}

func (*operator) ReportUsage(context.Context, operatorapi.Credentials, operatorapi.Usage) error {
	return nil
}

func (o *operator) SetEndpointCount(ctx context.Context, c operatorapi.Credentials, n operatorapi.EndpointCount) error {
	o.mu.Lock()
	o.calls = append(o.calls, call{time.Now(), c, n})
	silent, err := o.silent == n.Zone, o.err
	o.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errors.Join(operatorapi.ErrUnconfirmed, ctx.Err())
	}
	return err
}

func (o *operator) set(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

// sent returns the calls so far.
func (o *operator) sent() []call {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.calls)
}

// play runs a scaler for a service that has no endpoints and needs 40 slots until stop is called.
func (o *operator) play(t *testing.T, callsPerSecond float64) (stop func()) {
	began := time.Now()
	service := catalog.Service{Name: "s", Scaling: &catalog.Scaling{Max: 8, BootTime: 4 * time.Second, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1}}}
	s := New(Options{Host: "h", CallsPerSecond: callsPerSecond, Lease: o, API: o, Source: fixedSource{service, began},
		SinceBoot: func() time.Duration { return time.Since(began) }, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

type fixedSource struct {
	service catalog.Service
	began   time.Time
}

func (f fixedSource) Services() []catalog.Service    { return []catalog.Service{f.service} }
func (f fixedSource) Gather(context.Context) Demands { return Demands{} }
func (f fixedSource) Input(string, Demands) (scaling.Input, bool) {
	return scaling.Input{Now: time.Since(f.began), Demand: scaling.Demand{Running: 30}}, true
}

// A host that orders without the lease, or with the token of a former lease, may undo the orders of
// the holder.
func TestScaler_OrdersOnlyWhileHolding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &operator{token: 7, err: operatorapi.ErrUnconfirmed}
		stop := o.play(t, 100)
		defer stop()
		time.Sleep(5 * time.Second)
		if n := len(o.sent()); n != 0 {
			t.Fatalf("%d orders without the lease", n)
		}
		o.set(func() { o.held = true })
		time.Sleep(5 * time.Second)
		o.set(func() { o.held = false })
		synctest.Wait()
		sent := len(o.sent())
		time.Sleep(10 * time.Second)
		if n := len(o.sent()); sent == 0 || n != sent {
			t.Fatalf("%d orders with the lease and %d without", sent, n-sent)
		}
		o.set(func() { o.held, o.token, o.err = true, 9, nil })
		time.Sleep(3 * time.Second)
		calls := o.sent()
		for i, c := range calls {
			if want := (operatorapi.Credentials{Holder: "h", Token: 7}); i < sent && c.credentials != want {
				t.Errorf("order with %+v, want %+v", c.credentials, want)
			}
		}
		if last := calls[len(calls)-1]; len(calls) == sent || last.credentials.Token != 9 {
			t.Errorf("last of %d orders has token %d, want 9", len(calls), last.credentials.Token)
		}
	})
}

// Calls beyond the limit are refused, those of the reports of usage too. A place that does not answer
// must not delay the orders for others.
func TestScaler_KeepsToLimitBesideSilentZone(t *testing.T) {
	for name, err := range map[string]error{"down": operatorapi.ErrUnavailable, "refusing": operatorapi.ErrSuperseded, "working": nil} {
		synctest.Test(t, func(t *testing.T) {
			const limit = 4
			o := &operator{token: 1, held: true, err: err, silent: "a"}
			stop := o.play(t, limit)
			defer stop()
			time.Sleep(30 * time.Second)
			others, calls := false, o.sent()
			for i, c := range calls {
				others = others || c.count.Zone != "a" && c.at.Sub(calls[0].at) < 2*time.Second
				n := 0
				for _, later := range calls[i:] {
					if later.at.Sub(c.at) < time.Second {
						n++
					}
				}
				if n >= limit {
					t.Errorf("%s: %d orders in a second, want less than %d", name, n, limit)
				}
			}
			if !others {
				t.Errorf("%s: no order for other zones within 2 s: %v", name, calls)
			}
		})
	}
}

// An order that the API refuses for another reason than those of package operatorapi, such as a zone that it
// does not know, must not be repeated as if it had no answer, which blocks its place.
func TestScaler_RefusedOrderIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &operator{token: 1, held: true, err: errors.New("status 400")}
		stop := o.play(t, 100)
		defer stop()
		time.Sleep(9 * time.Second)
		zones := map[string]int{}
		for _, c := range o.sent() {
			zones[c.count.Zone]++
		}
		if len(zones) == 0 {
			t.Error("no orders")
		}
		for zone, n := range zones {
			if n > 1 {
				t.Errorf("%d orders for zone %s within 9 s, want 1", n, zone)
			}
		}
	})
}

// Settings without a limit on calls must not stop the orders after the first one.
func TestScaler_NoLimitOnCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &operator{token: 1, held: true}
		stop := o.play(t, 0)
		defer stop()
		time.Sleep(5 * time.Second)
		zones := map[string]bool{}
		for _, c := range o.sent() {
			zones[c.count.Zone] = true
		}
		if len(zones) != 3 {
			t.Errorf("orders for the zones %v, want three zones", zones)
		}
	})
}

// A host that runs batches and does not answer hides their demand: without knowing it, no fewer
// endpoints may be ordered. Its samples must not count twice, as samples and as requests.
func TestGatherer_SumsWhatHostsKnow(t *testing.T) {
	now, failing := time.Duration(0), false
	readAt := time.Duration(0)
	table := placement.NewTable("a")
	e := catalog.Endpoint{ID: "e", Service: "s", Zone: "b", Spot: true, Slots: 6}
	table.Put(e)
	for range 5 {
		table.Begin(time.Now(), e)
	}
	g := &Gatherer{
		Host: "h1", WithTable: func(f func(*placement.Table)) { f(table) }, BatchHosts: func() []string { return []string{"h1", "h2"} },
		HostCount:  func() int { return 10 },
		Own:        func() HostDemand { return HostDemand{Services: map[string]ServiceDemand{"s": {Waiting: 2}}} },
		ListReadAt: func() time.Duration { return readAt }, CutOff: func() bool { return false }, SinceBoot: func() time.Duration { return now },
		Ask: func(context.Context, string) (HostDemand, error) {
			if failing {
				return HostDemand{}, context.DeadlineExceeded
			}
			return HostDemand{Services: map[string]ServiceDemand{"s": {Samples: 4, Due: 9, Waiting: 1}}}, nil
		},
	}
	if _, ok := g.Input("s", Demands{}); ok {
		t.Error("input without a list of endpoints")
	}
	for _, step := range []struct {
		at      time.Duration
		failing bool
		demand  scaling.Demand
		unknown bool
	}{
		{at: time.Second, demand: scaling.Demand{Running: 1, Waiting: 5, Due: 9}}, // 3 wait at 2 of 10 hosts, 5 run
		{at: 3 * time.Second, failing: true, demand: scaling.Demand{Running: 1, Waiting: 5, Due: 9}},
		{at: 5 * time.Second, failing: true, demand: scaling.Demand{Running: 5, Waiting: 5}, unknown: true},
	} {
		now, readAt, failing = step.at, step.at, step.failing
		in, _ := g.Input("s", g.Gather(t.Context()))
		if in.Demand != step.demand || in.DemandUnknown != step.unknown {
			t.Errorf("at %v: %+v, unknown %v; want %+v, %v", step.at, in.Demand, in.DemandUnknown, step.demand, step.unknown)
		}
		if want := (scaling.Place{Zone: "b", Spot: true}); len(in.Endpoints) != 1 || in.Endpoints[0].Place != want {
			t.Errorf("endpoints %+v", in.Endpoints)
		}
	}
}
