package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// patience bounds a wait for something that must happen; it is far above any duty's
// own times and asserts none.
const patience = 40 * time.Second

// world is a store and endpoints that a few hosts share.
type world struct {
	t       *testing.T
	store   *standin.ObjectStore
	engines *engines
	nodes   map[string]*testNode
}

// testNode is a host of the test with its way to the store.
type testNode struct {
	*Node
	path *hostStore
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: standin.NewObjectStore(standin.ObjectStoreOptions{}), nodes: map[string]*testNode{}}
	w.engines = &engines{versions: map[string]int{}, orders: map[string]int64{}, down: map[string]bool{}, silent: map[string]bool{}, open: map[string]int{}, reached: map[string]int{}, pace: time.Millisecond, runs: map[string]int{}}
	w.configure(1)
	for i := range 3 {
		w.engine(fmt.Sprintf("e%d", i), 1)
	}
	w.put("endpoints/p0", catalog.Endpoint{ID: "p0", Service: "plain", Address: "p0:1", Zone: "a", Slots: 8})
	t.Cleanup(func() {
		for _, n := range w.nodes {
			w.kill(n)
		}
	})
	return w
}

// lastHost counts the hosts of all tests of this process.
var lastHost atomic.Int64

// loopback returns an address of this machine that no other host of this process and no
// other test process uses.
func loopback(t *testing.T) string {
	n := lastHost.Add(1)
	if n > 254 {
		t.Fatal("too many hosts for one process's addresses")
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid&63, pid>>6&255, n)
}

func (w *world) settings(host string) Settings {
	ip := loopback(w.t)
	at := func(port string) string { return net.JoinHostPort(ip, port) }
	s := Settings{
		Host: host, Zone: "a", CallerAddress: at("18161"), ReadyAddress: at("18167"), DirectoryAddress: at("18164"),
		PeerAddress: at("18166"), MetricsAddress: at("18168"), StoreAddress: "store:1", StoreReads: 2000, StoreWrites: 400,
		GracePeriod: 4 * time.Second, Lease: 300 * time.Millisecond, Retention: time.Minute,
	}
	for _, n := range w.nodes {
		s.Seeds = append(s.Seeds, n.Settings.PeerAddress)
	}
	return s
}

// start starts hosts and waits until they know each other and the configuration.
func (w *world) start(hosts ...string) []*testNode {
	var out []*testNode
	for _, h := range hosts {
		out = append(out, w.startWith(w.settings(h)))
	}
	w.until("hosts know each other", func() bool {
		for _, n := range out {
			if !n.Ready() || len(n.Addresses()) != len(w.nodes) {
				return false
			}
		}
		return true
	})
	return out
}

func (w *world) startWith(s Settings) *testNode {
	w.t.Helper()
	path := &hostStore{ObjectStore: w.store}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("FRONT_TEST_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})).With("host", s.Host)
	}
	n := NewNode(Ports{Settings: s, Store: path, Stale: path, Endpoints: w.engines, Decoder: testDecoder{},
		Handlers: testHandlers{}, Log: log, Registry: prometheus.NewRegistry()})
	if err := n.Start(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	tn := &testNode{Node: n, path: path}
	w.nodes[s.Host] = tn
	return tn
}

// kill ends a host without a planned stop.
func (w *world) kill(n *testNode) {
	delete(w.nodes, n.Settings.Host)
	n.close()
}

func (w *world) until(what string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("in vain: %s", what)
		}
	}
}

// put writes an object as the platform's other writers do.
func (w *world) put(key string, v any) {
	w.t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		w.t.Fatal(err)
	}
	present, err := w.store.Get(context.Background(), key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		w.t.Fatal(err)
	}
	if _, err := w.store.Put(context.Background(), key, raw, present.Version); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) configure(generation uint64) {
	w.put("conf/main", catalog.Config{Generation: generation, Routes: []catalog.Route{
		{Name: "samples", Host: "h", PathPrefix: "/samples/", Kind: catalog.KindRollout, MaxAttempts: 3, SampleTTL: 30 * time.Second,
			ResultsDue: 5 * time.Second, Targets: []catalog.Target{{Service: "engines", Weight: 1}}},
		{Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: catalog.KindSafe, MaxAttempts: 2, Objective: 150 * time.Millisecond,
			Timeout: 2 * time.Second, Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
		{Name: "once", Host: "h", PathPrefix: "/once/", Kind: catalog.KindUnsafe, MaxAttempts: 3, Objective: 150 * time.Millisecond,
			Timeout: 2 * time.Second, Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
	}})
}

// engine registers an engine with a version of its weights.
func (w *world) engine(id string, version int) {
	w.engines.mu.Lock()
	w.engines.versions[id] = version
	w.engines.mu.Unlock()
	w.report(id, version)
}

// report writes what an engine says of itself to the store.
func (w *world) report(id string, version int) {
	w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "engines", Address: id + ":1", Zone: "a", Slots: 4, Versions: map[string]int{"m": version}})
}

// batch returns a batch of groups of two samples with events events each.
func batch(id string, groups, events int) *batches.Batch {
	b := &batches.Batch{ID: id, Host: "h", Path: "/samples/" + id, Model: "m", MinVersion: 1, DesiredGroups: groups}
	for g := range groups {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d-%d", id, g, i)
			b.Samples = append(b.Samples, batches.Sample{ID: name, Path: "/samples/x", Group: strconv.Itoa(g), Body: []byte(name),
				Header: map[string]string{"Events": strconv.Itoa(events)}, Scoring: &batches.Scoring{ID: "score-" + name, Host: "h", Path: "/plain/score"}})
		}
	}
	return b
}

// readAll reads a batch's results from its start at a host until all are listed.
func (w *world) readAll(n *testNode, id string) []batches.Result {
	w.t.Helper()
	var out []batches.Result
	w.until("every result is listed", func() bool {
		page, err := n.Batches.Results(context.Background(), id, len(out), 100*time.Millisecond)
		if err != nil {
			return false
		}
		out = append(out, page.Results...)
		return len(out) == page.Total
	})
	return out
}

// checkResults fails unless every sample is there once, whole and scored.
func (w *world) checkResults(b *batches.Batch, results []batches.Result) {
	w.t.Helper()
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] {
			w.t.Errorf("sample %s is listed twice", r.ID)
		}
		seen[r.ID] = true
		events, err := strconv.Atoi(b.Samples[0].Header["Events"])
		if err != nil {
			w.t.Fatal(err)
		}
		if want := text(r.ID, events); r.Outcome != batches.Completed || r.Text != want || r.Score != "signed-score-"+r.ID {
			w.t.Errorf("sample %s ended as %s with %d bytes and the score %q", r.ID, r.Outcome, len(r.Text), r.Score)
		}
	}
	if len(seen) != len(b.Samples) {
		w.t.Errorf("%d of %d samples are listed", len(seen), len(b.Samples))
	}
}

// text is what an engine generates for a sample.
func text(id string, events int) string {
	var parts []string
	for i := range events {
		parts = append(parts, fmt.Sprintf("%s#%d", id, i+1))
	}
	return strings.Join(parts, "\n")
}

// hostStore is a host's way to the store, which can be closed.
type hostStore struct {
	*standin.ObjectStore
	refusing atomic.Bool
	statuses sync.Map
	// stalled, when set, leaves reads under this prefix without an answer.
	stalled atomic.Pointer[string]
	// swallow, when set, loses the answers of writes under this prefix.
	swallow atomic.Pointer[string]
}

func (s *hostStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if s.refusing.Load() {
		return objectapi.Object{}, objectapi.ErrRefused
	}
	if prefix := s.stalled.Load(); prefix != nil && strings.HasPrefix(key, *prefix) {
		<-ctx.Done()
		return objectapi.Object{}, errors.Join(objectapi.ErrUnavailable, ctx.Err())
	}
	return s.ObjectStore.Get(ctx, key)
}

func (s *hostStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if s.refusing.Load() {
		return 0, objectapi.ErrRefused
	}
	version, err := s.ObjectStore.Put(ctx, key, value, expect)
	if prefix := s.swallow.Load(); prefix != nil && strings.HasPrefix(key, *prefix) {
		return 0, objectapi.ErrUnavailable
	}
	return version, err
}

func (s *hostStore) List(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error) {
	if s.refusing.Load() {
		return objectapi.Page{}, objectapi.ErrRefused
	}
	return s.ObjectStore.List(ctx, prefix, after, limit)
}

func (s *hostStore) Watch(ctx context.Context, prefix string, from uint64) (objectapi.Watcher, error) {
	if s.refusing.Load() {
		return nil, objectapi.ErrRefused
	}
	return s.ObjectStore.Watch(ctx, prefix, from)
}

func (s *hostStore) PutStatus(_ context.Context, key string, status any) error {
	s.statuses.Store(key, status)
	return nil
}

type testDecoder struct{}

func (testDecoder) ConfigKey() string          { return "conf/main" }
func (testDecoder) EndpointPrefix() string     { return "endpoints/" }
func (testDecoder) ModelPrefix() string        { return "models/" }
func (testDecoder) StoreRemovalPrefix() string { return "removals/" }
func (testDecoder) RemovalDone() any           { return "done" }

func (testDecoder) Config(value []byte) (*catalog.Config, error) {
	var c catalog.Config
	return &c, json.Unmarshal(value, &c)
}

func (testDecoder) Endpoint(_ string, value []byte) (catalog.Endpoint, error) {
	var e catalog.Endpoint
	if err := json.Unmarshal(value, &e); err != nil {
		return e, err
	}
	if e.ID == "" {
		return e, errors.New("no id")
	}
	return e, nil
}

func (testDecoder) ModelVersion(key string, value []byte) (string, int, error) {
	var version int
	return strings.TrimPrefix(key, "models/"), version, json.Unmarshal(value, &version)
}

type testHandlers struct{}

func (testHandlers) Callers(*Node) http.Handler   { return http.NotFoundHandler() }
func (testHandlers) Directory(*Node) http.Handler { return http.NotFoundHandler() }
func (testHandlers) Readiness(*Node) http.Handler { return http.NotFoundHandler() }

// order is an order as an engine received it.
type order struct {
	endpoint, holder string
	token            uint64
	version          int
	at               time.Time
}

// engines stands for all endpoints. It is a small fake of backend.Client.
type engines struct {
	mu       sync.Mutex
	versions map[string]int
	orders   map[string]int64
	received []order
	down     map[string]bool
	pace     time.Duration
	// silent endpoints neither answer nor accept connections.
	silent map[string]bool
	// open are the streams at each endpoint, reached the tries of a connection to it.
	open    map[string]int
	reached map[string]int
	// runs counts the starts of each request id.
	runs map[string]int
	// do, when set, answers plain requests.
	do func(r backend.Request) (*backend.Answer, error)
	// loaded, when set, is told of each load.
	loaded func(id string, version int)
	// generating counts the streams that are open.
	generating atomic.Int64
	resumed    atomic.Int64
}

func (e *engines) Do(ctx context.Context, r backend.Request) (*backend.Answer, error) {
	e.mu.Lock()
	e.runs[r.ID]++
	do := e.do
	e.mu.Unlock()
	if do != nil {
		return do(r)
	}
	if ctx.Err() != nil {
		return nil, errors.Join(backend.ErrBroken, ctx.Err())
	}
	return &backend.Answer{Status: http.StatusOK, Signature: "signed-" + r.ID, Body: []byte("ok")}, nil
}

func (e *engines) Generate(ctx context.Context, g backend.Generate, emit func(backend.Event) error) error {
	e.mu.Lock()
	down, pace := e.down[g.Endpoint.ID] || e.silent[g.Endpoint.ID], e.pace
	e.runs[g.ID]++
	e.mu.Unlock()
	if down {
		return errors.Join(backend.ErrNotRun, backend.ErrUnreachable)
	}
	if g.ResumeAfter > 0 {
		e.resumed.Add(1)
	}
	e.generating.Add(1)
	defer e.generating.Add(-1)
	e.count(g.Endpoint.ID, 1)
	defer e.count(g.Endpoint.ID, -1)
	events, err := strconv.Atoi(g.Header.Get("Events"))
	if err != nil {
		return backend.ErrInvalid
	}
	for i := g.ResumeAfter; i < events; i++ {
		select {
		case <-ctx.Done():
			return errors.Join(backend.ErrBroken, ctx.Err())
		case <-time.After(pace):
		}
		e.mu.Lock()
		version, down, silent := e.versions[g.Endpoint.ID], e.down[g.Endpoint.ID], e.silent[g.Endpoint.ID]
		e.mu.Unlock()
		if silent {
			<-ctx.Done()
			return errors.Join(backend.ErrBroken, ctx.Err())
		}
		if down {
			return backend.ErrBroken
		}
		if err := emit(backend.Event{ID: i + 1, Data: fmt.Sprintf("%s#%d", g.ID, i+1), Version: version}); err != nil {
			return err
		}
	}
	return nil
}

func (e *engines) Stream(context.Context, backend.Generate, func(*backend.Answer) error, func([]byte) error) error {
	return backend.ErrNotRun
}

func (e *engines) Order(_ context.Context, o backend.Order) (backend.OrderState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, order{o.Endpoint.ID, o.Holder, o.FencingToken, o.Version, time.Now()})
	if o.ExpectOrders != e.orders[o.Endpoint.ID] {
		return 0, backend.ErrConflict
	}
	e.orders[o.Endpoint.ID]++
	e.versions[o.Endpoint.ID] = o.Version
	if e.loaded != nil {
		e.loaded(o.Endpoint.ID, o.Version)
	}
	return backend.OrderAccepted, nil
}

func (e *engines) Reach(_ context.Context, ep catalog.Endpoint) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reached[ep.ID]++
	if e.down[ep.ID] || e.silent[ep.ID] {
		return backend.ErrUnreachable
	}
	return nil
}

func (e *engines) count(id string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open[id] += n
}

func (e *engines) silence(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent[id] = true
}

func (e *engines) Observe(_ context.Context, ep catalog.Endpoint) (backend.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.Report{Versions: map[string]int{"m": e.versions[ep.ID]}, Orders: e.orders[ep.ID]}, nil
}
