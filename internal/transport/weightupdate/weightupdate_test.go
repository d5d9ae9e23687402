package weightupdate

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

// testFleet is a deployment of stand-in engines and the hosts that may own its shard.
type testFleet struct {
	t       testing.TB
	store   *standin.ObjectStore
	weights *standin.WeightStore
	engines []*standin.Engine
	config  *model.Config
	mu      sync.Mutex
	alive   map[model.HostID]bool
	seq     uint64
	// api is the object API that the hosts use; by default it is store.
	api objectapi.API
}

// silentWatchAPI is an object API whose watches stay open but deliver no events.
type silentWatchAPI struct{ objectapi.API }

type silentWatcher struct{}

func (silentWatchAPI) Watch(context.Context, string, uint64) (objectapi.Watcher, error) {
	return silentWatcher{}, nil
}

func (silentWatcher) Next(ctx context.Context) (objectapi.Event, error) {
	<-ctx.Done()
	return objectapi.Event{}, ctx.Err()
}

func (silentWatcher) Close() {}

func newTestFleet(t testing.TB, engines int, floor, loadsPerSecond float64, interval time.Duration) *testFleet {
	b := &testFleet{
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

func (b *testFleet) view() *model.FleetView {
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

// startHost starts a controller. The returned function kills it without handing over its
// shards.
func (b *testFleet) startHost(id model.HostID) func() {
	b.mu.Lock()
	b.alive[id] = true
	b.mu.Unlock()
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	controller := New(Options{
		Host: id, Incarnation: model.Incarnation(time.Now().UnixNano()), Address: "x",
		API:     objectapi.NewClient(b.api, objectapi.ClientOptions{AttemptTimeout: time.Second}),
		Engines: engineapi.NewClient(&http.Client{Transport: transport}), View: b.view,
		Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); controller.Run(ctx) }()
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

func (b *testFleet) publish(v model.WeightVersion) {
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

func (b *testFleet) waitForVersion(v model.WeightVersion) {
	b.t.Helper()
	waitFor(b.t, func() bool { return b.countAtVersion(v) == len(b.engines) })
}

func (b *testFleet) countAtVersion(v model.WeightVersion) int {
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
	t.Fatal("condition not met before the wait limit")
}

// Engines that fail weight swaps or are down are retried until every engine reports the version.
func TestRollingUpdate_RetriesFailedEngines(t *testing.T) {
	b := newTestFleet(t, 6, 0.5, 0, 5*time.Millisecond)
	b.engines[0].SetFaults(standin.Faults{FailSwaps: 2})
	b.engines[1].SetFaults(standin.Faults{FailSwaps: 1})
	b.engines[2].SetFaults(standin.Faults{Down: true})
	b.startHost("h0")
	b.publish(2)
	waitFor(t, func() bool { return b.countAtVersion(2) == 5 })
	b.engines[2].SetFaults(standin.Faults{})
	b.waitForVersion(2)
}

// A version published during a rolling update replaces its target: engines that were not
// updated yet skip the older version.
func TestRollingUpdate_NewerVersionPublished(t *testing.T) {
	b := newTestFleet(t, 8, 0.5, 20, 5*time.Millisecond)
	b.startHost("h0")
	b.publish(2)
	waitFor(t, func() bool { return b.countAtVersion(2) >= 2 })
	b.publish(3)
	b.waitForVersion(3)
	if n := b.weights.Downloads(); n > 14 {
		t.Errorf("got %d loads for two updates of 8 engines, of which the first was replaced; want at most 14", n)
	}
}

// A watch that stays open but delivers no events does not hide new versions, because the
// desired version is also read at intervals.
func TestRollingUpdate_SilentWatch(t *testing.T) {
	b := newTestFleet(t, 2, 0, 10, 5*time.Millisecond)
	b.api = silentWatchAPI{b.store}
	b.startHost("h0")
	b.publish(2)
	b.waitForVersion(2)
	b.publish(3)
	b.waitForVersion(3)
}

// Another host completes the rolling update of a host that was killed.
func TestRollingUpdate_Takeover(t *testing.T) {
	b := newTestFleet(t, 8, 0.5, 10, 5*time.Millisecond)
	kill := b.startHost("h0")
	b.publish(2)
	waitFor(t, func() bool { return b.countAtVersion(2) >= 2 })
	b.startHost("h1")
	kill()
	b.waitForVersion(2)
}

// A rolling update in progress continues during an outage of the object API on engines that
// check fencing tokens, and completes on the others after it.
func TestRollingUpdate_ObjectAPIOutage(t *testing.T) {
	b := newTestFleet(t, 8, 0.5, 10, 5*time.Millisecond)
	b.startHost("h0")
	b.publish(2)
	waitFor(t, func() bool { return b.countAtVersion(2) >= 1 })
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
	b.waitForVersion(2)
}

// BenchmarkSixHundredEngines reports the time to update 600 stand-in engines, of which 5%
// fail their first weight swap, as a multiple of the time that the weight store's load rate allows.
func BenchmarkSixHundredEngines(b *testing.B) {
	const engines, perSecond = 600, 100.0
	fleet := newTestFleet(b, engines, 0.5, perSecond, 200*time.Millisecond)
	fleet.startHost("h0")
	fleet.publish(2)
	fleet.waitForVersion(2)
	version := model.WeightVersion(2)
	for b.Loop() {
		failing := 0
		for i := 0; i < engines; i += 20 {
			fleet.engines[i].SetFaults(standin.Faults{FailSwaps: 1})
			failing++
		}
		version++
		startedAt := time.Now()
		fleet.publish(version)
		fleet.waitForVersion(version)
		bound := float64(engines+failing) / perSecond
		b.ReportMetric(time.Since(startedAt).Seconds()/bound, "x_store_bound")
		b.ReportMetric(time.Since(startedAt).Seconds(), "s/wave")
	}
}
