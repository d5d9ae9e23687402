package weightwave

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/ledger"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 60 * time.Second

// bench is a deployment of stand-ins and the hosts that hold its shard.
type bench struct {
	t       testing.TB
	store   *standin.ObjectStore
	weights *standin.WeightStore
	engines []*standin.Engine
	config  *model.Config
	mu      sync.Mutex
	alive   map[model.HostID]bool
	seq     uint64
	// api is the store as the hosts reach it.
	api objectapi.API
}

// muteWatch is an object API whose watches stay open and say nothing.
type muteWatch struct{ objectapi.API }

type muteWatcher struct{}

func (muteWatch) Watch(context.Context, string, uint64) (objectapi.Watcher, error) {
	return muteWatcher{}, nil
}

func (muteWatcher) Next(ctx context.Context) (objectapi.Event, error) {
	<-ctx.Done()
	return objectapi.Event{}, ctx.Err()
}

func (muteWatcher) Close() {}

func newBench(t testing.TB, engines int, floor, loadsPerSecond float64, interval time.Duration) *bench {
	b := &bench{
		t: t, store: standin.NewObjectStore(standin.ObjectStoreOptions{}), weights: standin.NewWeightStore(loadsPerSecond),
		alive: map[model.HostID]bool{},
		config: &model.Config{
			Deployments: map[model.DeploymentID]model.Deployment{"d": {ServingFloor: floor, WeightsDeadline: 28 * time.Second}},
			Endpoints:   map[model.EndpointID]model.Endpoint{},
		},
	}
	b.api = b.store
	for i := range engines {
		e, err := standin.NewEngine("127.0.0.1:0", standin.EngineOptions{
			Name: fmt.Sprintf("e%d", i), TokenInterval: interval, SwapTime: 50 * time.Millisecond, Fencing: i%2 == 0,
			Download: func(ctx context.Context, v model.WeightVersion) error { return b.weights.Download(ctx, "m", v) },
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		b.engines = append(b.engines, e)
		b.config.Endpoints[model.EndpointID(e.Name())] = model.Endpoint{
			Kind: model.EndpointEngine, Deployment: "d", Address: e.Address(), Fencing: i%2 == 0,
		}
	}
	return b
}

func (b *bench) view() *model.FleetView {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	v := &model.FleetView{Sequence: b.seq, Generation: 1, Config: b.config}
	for _, h := range []model.HostID{"h0", "h1"} {
		state := model.HostDead
		if b.alive[h] {
			state = model.HostAlive
		}
		v.Members = append(v.Members, model.Member{Host: h, State: state, Incarnation: 1})
	}
	for _, e := range b.engines {
		v.Loads = append(v.Loads, model.EndpointLoad{Endpoint: model.EndpointID(e.Name()), Version: e.Version()})
	}
	return v
}

// host starts a duty; the function returned kills it without handing over.
func (b *bench) host(id model.HostID) func() {
	b.mu.Lock()
	b.alive[id] = true
	b.mu.Unlock()
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	d := New(Options{
		Host: id, Incarnation: model.Incarnation(time.Now().UnixNano()), Address: "x",
		API:     objectapi.NewClient(b.api, objectapi.ClientOptions{AttemptTimeout: time.Second}),
		Engines: engineapi.NewClient(&http.Client{Transport: transport}), View: b.view,
		Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	kill := func() {
		cancel()
		<-done
		transport.CloseIdleConnections()
		b.mu.Lock()
		b.alive[id] = false
		b.mu.Unlock()
	}
	b.t.Cleanup(kill)
	return kill
}

func (b *bench) publish(v model.WeightVersion) {
	b.t.Helper()
	value, err := ledger.EncodeDesired(ledger.Desired{Version: v})
	if err != nil {
		b.t.Fatal(err)
	}
	api := objectapi.NewClient(b.store, objectapi.ClientOptions{})
	o, _ := api.Get(context.Background(), ledger.DesiredPrefix+"d")
	if _, err := api.Put(context.Background(), ledger.DesiredPrefix+"d", value, o.Version); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) reach(v model.WeightVersion) {
	b.t.Helper()
	waitFor(b.t, func() bool { return b.count(v) == len(b.engines) })
}

func (b *bench) count(v model.WeightVersion) int {
	n := 0
	for _, e := range b.engines {
		if e.Version() == v {
			n++
		}
	}
	return n
}

func waitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met in time")
}

func TestFailedSwapsAndDeadEnginesAreRetriedUntilEveryEngineReportsTheVersion(t *testing.T) {
	b := newBench(t, 6, 0.5, 0, 5*time.Millisecond)
	b.engines[0].SetFaults(standin.Faults{FailSwaps: 2})
	b.engines[1].SetFaults(standin.Faults{FailSwaps: 1})
	b.engines[2].SetFaults(standin.Faults{Down: true})
	b.host("h0")
	b.publish(2)
	waitFor(t, func() bool { return b.count(2) == 5 })
	b.engines[2].SetFaults(standin.Faults{})
	b.reach(2)
}

func TestANewerVersionOvertakesAWaveInFlight(t *testing.T) {
	b := newBench(t, 8, 0.5, 20, 5*time.Millisecond)
	b.host("h0")
	b.publish(2)
	waitFor(t, func() bool { return b.count(2) >= 2 })
	b.publish(3)
	b.reach(3)
	if n := b.weights.Loads(); n > 14 {
		t.Errorf("%d loads for two waves over 8 engines, of which the first was overtaken", n)
	}
}

func TestAWatchThatSaysNothingHidesNoVersion(t *testing.T) {
	b := newBench(t, 2, 0, 10, 5*time.Millisecond)
	b.api = muteWatch{b.store}
	b.host("h0")
	b.publish(2)
	b.reach(2)
	b.publish(3)
	b.reach(3)
}

func TestAnotherHostEndsTheWaveOfADeadOne(t *testing.T) {
	b := newBench(t, 8, 0.5, 10, 5*time.Millisecond)
	kill := b.host("h0")
	b.publish(2)
	waitFor(t, func() bool { return b.count(2) >= 2 })
	b.host("h1")
	kill()
	b.reach(2)
}

func TestAWaveInHandGoesOnAtFencedEnginesThroughAnOutageOfTheObjectAPI(t *testing.T) {
	b := newBench(t, 8, 0.5, 10, 5*time.Millisecond)
	b.host("h0")
	b.publish(2)
	waitFor(t, func() bool { return b.count(2) >= 1 })
	b.store.SetFaults(standin.Faults{Outage: true})
	waitFor(t, func() bool {
		for i := 0; i < len(b.engines); i += 2 {
			if b.engines[i].Version() != 2 {
				return false
			}
		}
		return true
	})
	b.store.SetFaults(standin.Faults{})
	b.reach(2)
}

// BenchmarkSixHundredEngines reports the time to bring a version to 600 stand-ins, of
// which 5% fail their first swap, as a multiple of what the weight store allows.
func BenchmarkSixHundredEngines(b *testing.B) {
	const engines, perSecond = 600, 100.0
	bench := newBench(b, engines, 0.5, perSecond, 200*time.Millisecond)
	bench.host("h0")
	bench.publish(2)
	bench.reach(2)
	version := model.WeightVersion(2)
	for b.Loop() {
		failing := 0
		for i := 0; i < engines; i += 20 {
			bench.engines[i].SetFaults(standin.Faults{FailSwaps: 1})
			failing++
		}
		version++
		began := time.Now()
		bench.publish(version)
		bench.reach(version)
		bound := float64(engines+failing) / perSecond
		b.ReportMetric(time.Since(began).Seconds()/bound, "x_store_bound")
		b.ReportMetric(time.Since(began).Seconds(), "s/wave")
	}
}
