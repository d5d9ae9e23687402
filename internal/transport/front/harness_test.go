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
	"golang.org/x/time/rate"

	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	scalingduty "oleanderfall.example/oleanderfall/internal/transport/scaling"
)

// waitTimeout bounds a wait for a condition that must become true. It is far above the
// timeouts of the code under test, so it checks none of them.
const waitTimeout = 40 * time.Second

// testCluster runs several hosts with a shared store and shared fake endpoints.
type testCluster struct {
	t       *testing.T
	store   *standin.ObjectStore
	engines *fakeEngines
	nodes   map[string]*testNode
	// stalledReads, when set, is the stalledReads of hosts that start from then on.
	stalledReads *string
	// operator, when set, is the operator's API of hosts that start from then on.
	operator operatorapi.Client
	// duties, when set, has the operator's API and the lease of the duties of a host that starts.
	duties func(host string) (operatorapi.Client, scalingduty.Lease)
}

// testNode is a host under test with its own access to the store.
type testNode struct {
	*Node
	store     *hostStore
	stale     *staleReads
	links     *hostLinks
	peerCalls *latePeers
}

func newTestCluster(t *testing.T) *testCluster {
	w := &testCluster{t: t, store: standin.NewObjectStore(standin.ObjectStoreOptions{}), nodes: map[string]*testNode{}}
	w.engines = &fakeEngines{versions: map[string]int{}, orders: map[string]int64{}, down: map[string]bool{}, silent: map[string]bool{}, openStreams: map[string]int{}, connectAttempts: map[string]int{}, eventInterval: time.Millisecond, runs: map[string]int{}}
	w.configure(1)
	for i := range 3 {
		w.addEngine(fmt.Sprintf("e%d", i), 1)
	}
	w.put("endpoints/p0", catalog.Endpoint{ID: "p0", Service: "plain", Address: "p0:1", Zone: "a", Slots: 8})
	t.Cleanup(func() {
		for _, n := range w.nodes {
			w.kill(n)
		}
	})
	return w
}

// hostCount counts the hosts of all tests in this process.
var hostCount atomic.Int64

// hostsPerBlock is the number of addresses in each of the two blocks of loopback addresses of a
// process, in 127.128.0.0/10 and in 127.240.0.0/12.
const hostsPerBlock = 254

// loopback returns a loopback address that no other host of this process uses. It includes
// bits of the process id, so that test processes running in parallel use other ones.
func loopback(t *testing.T) string {
	pid, n := os.Getpid(), hostCount.Add(1)
	switch {
	case n <= hostsPerBlock:
		return fmt.Sprintf("127.%d.%d.%d", 128+pid&63, pid>>6&255, n)
	case n > 2*hostsPerBlock:
		t.Fatalf("more than %d hosts in one test process: no loopback address left", 2*hostsPerBlock)
	}
	return fmt.Sprintf("127.%d.%d.%d", 240+pid&15, pid>>4&255, n-hostsPerBlock)
}

func (w *testCluster) settings(host string) Settings {
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
	if w.operator != nil {
		s.OperatorAPI = OperatorAPI{Address: "operator:1", CallsPerSecond: 10, ReportsUsage: true}
		s.UsageWindow, s.UsageDue = time.Second, 10*time.Second
	}
	return s
}

// start starts hosts and waits until they have discovered each other and have the
// configuration.
func (w *testCluster) start(hosts ...string) []*testNode {
	var out []*testNode
	for _, h := range hosts {
		out = append(out, w.startWith(w.settings(h)))
	}
	w.waitUntil("the hosts have discovered each other", func() bool {
		for _, n := range out {
			if !n.Ready() || len(n.Addresses("a")) != len(w.nodes) {
				return false
			}
		}
		return true
	})
	return out
}

func (w *testCluster) startWith(s Settings) *testNode {
	w.t.Helper()
	path := &hostStore{ObjectStore: w.store}
	stale := &staleReads{hostStore: path}
	path.stalledReads.Store(w.stalledReads)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("FRONT_TEST_LOG") != "" { // prints the logs of the hosts
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})).With("host", s.Host)
	}
	links := &hostLinks{fakeEngines: w.engines}
	n := NewNode(Params{Settings: s, Store: path, Stale: stale, Endpoints: links, Decoder: testDecoder{},
		Handlers: testHandlers{}, Log: log, Registry: prometheus.NewRegistry(), Operator: w.operator})
	peerCalls := &latePeers{RoundTripper: n.Batches.peerClient.http.Transport}
	n.Batches.peerClient.http.Transport = peerCalls
	if w.duties != nil {
		api, lease := w.duties(s.Host)
		n.scaler = n.newScaler(lease, api, NewPeerClient(n.peers, 1000))
	}
	if err := n.Start(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	tn := &testNode{Node: n, store: path, stale: stale, links: links, peerCalls: peerCalls}
	w.nodes[s.Host] = tn
	return tn
}

// latePeers delays the answers of peers to the calls about batches of a host.
type latePeers struct {
	http.RoundTripper
	// delay, when set, returns how late an answer arrives.
	delay atomic.Pointer[func() time.Duration]
}

func (l *latePeers) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.RoundTripper.RoundTrip(r)
	if delay := l.delay.Load(); delay != nil && strings.HasPrefix(r.URL.Path, "/batches") {
		time.Sleep((*delay)())
	}
	return resp, err
}

// kill stops a host without draining it.
func (w *testCluster) kill(n *testNode) {
	delete(w.nodes, n.Settings.Host)
	n.close()
}

func (w *testCluster) waitUntil(condition string, done func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// put writes an object to the store directly, as the platform's other writers do.
func (w *testCluster) put(key string, v any) {
	w.t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		w.t.Fatal(err)
	}
	current, err := w.store.Get(context.Background(), key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		w.t.Fatal(err)
	}
	if _, err := w.store.Put(context.Background(), key, raw, current.Version); err != nil {
		w.t.Fatal(err)
	}
}

func (w *testCluster) configure(generation uint64) {
	w.put("conf/main", catalog.Config{Generation: generation, Routes: []catalog.Route{
		{Name: "samples", Host: "h", PathPrefix: "/samples/", Kind: catalog.KindRollout, MaxAttempts: 3, SampleTTL: 30 * time.Second,
			ResultsObjective: 5 * time.Second, Targets: []catalog.Target{{Service: "engines", Weight: 1}}},
		{Name: "plain", Host: "h", PathPrefix: "/plain/", Kind: catalog.KindSafe, MaxAttempts: 2, Objective: 150 * time.Millisecond,
			Timeout: 2 * time.Second, Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
		{Name: "slow", Host: "h", PathPrefix: "/slow/", Kind: catalog.KindSafe, MaxAttempts: 2, Objective: 150 * time.Millisecond,
			Timeout: 20 * time.Second, Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
		{Name: "once", Host: "h", PathPrefix: "/once/", Kind: catalog.KindUnsafe, MaxAttempts: 3, Objective: 150 * time.Millisecond,
			Timeout: 2 * time.Second, Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
	}})
}

// addEngine adds an engine that has loaded a weight version.
func (w *testCluster) addEngine(id string, version int) {
	w.engines.mu.Lock()
	w.engines.versions[id] = version
	w.engines.mu.Unlock()
	w.register(id, version)
}

// register writes an engine's entry to the store.
func (w *testCluster) register(id string, version int) {
	w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "engines", Address: id + ":1", Zone: "a", Slots: 4, Versions: map[string]int{"m": version}})
}

// loaded returns a condition for waitUntil: every engine has loaded a weight version.
func (w *testCluster) loaded(version int) func() bool {
	return func() bool {
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		for _, loaded := range w.engines.versions {
			if loaded != version {
				return false
			}
		}
		return true
	}
}

// batch returns a batch with the given number of groups, each of two samples for which an
// engine generates the given number of events.
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

// readAll reads a batch's results at a host from the first position until it has all of them.
func (w *testCluster) readAll(n *testNode, id string) []batches.Result {
	w.t.Helper()
	var out []batches.Result
	w.waitUntil("every result is listed", func() bool {
		page, err := n.Batches.Results(context.Background(), id, len(out), 100*time.Millisecond)
		if err != nil {
			return false
		}
		out = append(out, page.Results...)
		return len(out) == page.Total
	})
	return out
}

// checkResults fails the test unless every sample has exactly one result, with its complete
// text and its score.
func (w *testCluster) checkResults(b *batches.Batch, results []batches.Result) {
	w.t.Helper()
	events := map[string]int{}
	for i := range b.Samples {
		n, err := strconv.Atoi(b.Samples[i].Header["Events"])
		if err != nil {
			w.t.Fatal(err)
		}
		events[b.Samples[i].ID] = n
	}
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] {
			w.t.Errorf("sample %s is listed more than once", r.ID)
		}
		seen[r.ID] = true
		if want := generatedText(r.ID, events[r.ID]); r.Outcome != batches.Completed || r.Text != want || r.Score != "signed-score-"+r.ID {
			w.t.Errorf("sample %s has outcome %s, %d bytes and score %q", r.ID, r.Outcome, len(r.Text), r.Score)
		}
	}
	if len(seen) != len(b.Samples) {
		w.t.Errorf("%d of %d samples have results", len(seen), len(b.Samples))
	}
}

// generatedText is the text that an engine generates for a sample.
func generatedText(id string, events int) string {
	var parts []string
	for i := range events {
		parts = append(parts, fmt.Sprintf("%s#%d", id, i+1))
	}
	return strings.Join(parts, "\n")
}

// hostStore is a host's access to the shared store, with injected faults.
type hostStore struct {
	*standin.ObjectStore
	// refusing makes Get, Put, List and Watch fail with ErrRefused.
	refusing atomic.Bool
	// statuses has the last status written for each key.
	statuses sync.Map
	// stalledReads, when set, blocks reads of keys with this prefix until they time out.
	stalledReads atomic.Pointer[string]
	// heldReads, when set, holds the answers to reads and listings of keys with this prefix until it is reset.
	heldReads atomic.Pointer[string]
	// lostWriteAnswers, when set, applies writes of keys with this prefix but returns
	// ErrUnavailable.
	lostWriteAnswers atomic.Pointer[string]
	// lateWriteAnswers, when set, applies writes of keys with this prefix but answers them only
	// once it is reset.
	lateWriteAnswers atomic.Pointer[string]
	// answerDelay, when set, returns how late the answer to a call about batches arrives. The call is
	// executed at once.
	answerDelay atomic.Pointer[func() time.Duration]
	// refusedWrites, when set, refuses writes of keys with this prefix.
	refusedWrites atomic.Pointer[string]
	// While deletesRefused is set, deletes fail after deletesAllowed ones.
	deletesRefused atomic.Bool
	deletesAllowed atomic.Int64
	// logReads counts the reads and the listings of entries of batches' logs.
	logReads atomic.Int64
	// manifestReads counts the reads and the listings of manifests that must not be stale.
	manifestReads atomic.Int64
	// softwareReads counts the reads of the record of the software versions of streams. Each of them
	// takes softwareReadDelay nanoseconds.
	softwareReads, softwareReadDelay atomic.Int64
	// writeDelay is the time in nanoseconds that each write takes.
	writeDelay atomic.Int64
	// batchBandwidth, when set, limits the bytes a second of all reads and writes of batches' logs and contents, one
	// after another.
	batchBandwidth atomic.Pointer[rate.Limiter]
}

// transfer waits until objects have crossed the host's link, if they are entries of batches' logs or parts of
// their contents.
func (s *hostStore) transfer(ctx context.Context, objects ...objectapi.Object) error {
	link := s.batchBandwidth.Load()
	for _, o := range objects {
		limited := strings.HasPrefix(o.Key, batches.LogPrefix) || strings.HasPrefix(o.Key, batches.PartPrefix)
		for left := len(o.Value); link != nil && left > 0 && limited; left -= link.Burst() {
			if err := link.WaitN(ctx, min(left, link.Burst())); err != nil {
				return errors.Join(objectapi.ErrUnavailable, err)
			}
		}
	}
	return nil
}

func (s *hostStore) Delete(ctx context.Context, key string, expect uint64) error {
	if s.refusing.Load() || s.deletesRefused.Load() && s.deletesAllowed.Add(-1) < 0 {
		return objectapi.ErrRefused
	}
	return s.ObjectStore.Delete(ctx, key, expect)
}

func (s *hostStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if s.refusing.Load() {
		return objectapi.Object{}, objectapi.ErrRefused
	}
	s.count(key)
	return s.get(ctx, key)
}

// count counts a read of a key or of the keys with a prefix.
func (s *hostStore) count(key string) {
	switch {
	case strings.HasPrefix(key, batches.LogPrefix):
		s.logReads.Add(1)
	case strings.HasPrefix(key, batches.ManifestPrefix):
		s.manifestReads.Add(1)
	case key == streamSoftwareKey:
		s.softwareReads.Add(1)
	}
}

func (s *hostStore) get(ctx context.Context, key string) (objectapi.Object, error) {
	if prefix := s.stalledReads.Load(); prefix != nil && strings.HasPrefix(key, *prefix) {
		<-ctx.Done()
		return objectapi.Object{}, errors.Join(objectapi.ErrUnavailable, ctx.Err())
	}
	s.hold(ctx, key)
	if key == streamSoftwareKey {
		time.Sleep(time.Duration(s.softwareReadDelay.Load()))
	}
	o, err := s.ObjectStore.Get(ctx, key)
	if err != nil {
		return o, err
	}
	return o, s.transfer(ctx, o)
}

func (s *hostStore) hold(ctx context.Context, key string) {
	for p := s.heldReads.Load(); p != nil && strings.HasPrefix(key, *p) && ctx.Err() == nil; p = s.heldReads.Load() {
		time.Sleep(time.Millisecond)
	}
}

// maxListedBytes bounds the values of a page of a listing.
const maxListedBytes = 1 << 20

func (s *hostStore) list(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error) {
	s.hold(ctx, prefix)
	page, err := s.ObjectStore.List(ctx, prefix, after, limit)
	if late := s.delayAnswer(ctx, prefix); late != nil {
		return objectapi.Page{}, late
	}
	size := 0
	for i, o := range page.Objects {
		if size += len(o.Value); size > maxListedBytes && i > 0 {
			page.Objects, page.More = page.Objects[:i], true
			break
		}
	}
	if err != nil {
		return page, err
	}
	return page, s.transfer(ctx, page.Objects...)
}

func (s *hostStore) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	if prefix := s.refusedWrites.Load(); s.refusing.Load() || prefix != nil && strings.HasPrefix(key, *prefix) {
		return 0, objectapi.ErrRefused
	}
	time.Sleep(time.Duration(s.writeDelay.Load()))
	if err := s.transfer(ctx, objectapi.Object{Key: key, Value: value}); err != nil {
		return 0, err
	}
	version, err := s.ObjectStore.Put(ctx, key, value, expect)
	if late := s.delayAnswer(ctx, key); late != nil {
		return 0, late
	}
	if prefix := s.lostWriteAnswers.Load(); prefix != nil && strings.HasPrefix(key, *prefix) {
		return 0, objectapi.ErrUnavailable
	}
	for prefix := s.lateWriteAnswers.Load(); prefix != nil && strings.HasPrefix(key, *prefix); prefix = s.lateWriteAnswers.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return version, err
}

func (s *hostStore) List(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error) {
	if s.refusing.Load() {
		return objectapi.Page{}, objectapi.ErrRefused
	}
	s.count(prefix)
	return s.list(ctx, prefix, after, limit)
}

// staleReads answers a host's stale reads with the current objects, or with those of old.
type staleReads struct {
	*hostStore
	old atomic.Pointer[standin.ObjectStore]
}

func (s *staleReads) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if old := s.old.Load(); old != nil {
		return old.Get(ctx, key)
	}
	if s.refusing.Load() {
		return objectapi.Object{}, objectapi.ErrRefused
	}
	return s.get(ctx, key)
}

func (s *staleReads) List(ctx context.Context, prefix, after string, limit int) (objectapi.Page, error) {
	if old := s.old.Load(); old != nil {
		return old.List(ctx, prefix, after, limit)
	}
	if s.refusing.Load() {
		return objectapi.Page{}, objectapi.ErrRefused
	}
	return s.list(ctx, prefix, after, limit)
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

// testDecoder decodes the JSON objects that testCluster.put writes.
type testDecoder struct{}

func (testDecoder) ConfigKey() string          { return "conf/main" }
func (testDecoder) EndpointPrefix() string     { return "endpoints/" }
func (testDecoder) ModelPrefix() string        { return "models/" }
func (testDecoder) StoreRemovalPrefix() string { return "removals/" }
func (testDecoder) RemovalDone() any           { return "done" }

func (testDecoder) PromptPrefixes(header map[string]string) []PromptPrefix {
	if id, ok := header["Prefix"]; ok {
		return []PromptPrefix{{id, 1000}}
	}
	return nil
}

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
		return e, errors.New("endpoint has no id")
	}
	return e, nil
}

func (testDecoder) ModelVersion(key string, value []byte) (string, int, error) {
	var version int
	return strings.TrimPrefix(key, "models/"), version, json.Unmarshal(value, &version)
}

// testHandlers serves no requests. The tests call the nodes directly.
type testHandlers struct{}

func (testHandlers) Callers(*Node) http.Handler   { return http.NotFoundHandler() }
func (testHandlers) Directory(*Node) http.Handler { return http.NotFoundHandler() }
func (testHandlers) Readiness(*Node) http.Handler { return http.NotFoundHandler() }

// receivedOrder is a load order as an engine received it.
type receivedOrder struct {
	endpoint, holder string
	token            uint64
	version          int
	at               time.Time
}

// startedSample is an attempt of a sample as an engine received it.
type startedSample struct {
	id, endpoint string
	resumeAfter  int
}

// fakeEngines is a fake backend.Client that serves all endpoints of a test.
type fakeEngines struct {
	mu       sync.Mutex
	versions map[string]int
	// orders counts the load orders that each engine has accepted.
	orders   map[string]int64
	received []receivedOrder
	// down endpoints refuse connections and break their streams.
	down          map[string]bool
	eventInterval time.Duration
	// slowdown multiplies eventInterval at an endpoint.
	slowdown map[string]time.Duration
	// started lists the attempts of samples in the order in which they arrived.
	started []startedSample
	// flooding endpoints send long events without end, up to maxFloodBytes. flooded counts their bytes.
	flooding map[string]bool
	flooded  atomic.Int64
	// silent endpoints neither send events nor accept connections.
	silent map[string]bool
	// openStreams counts the open streams at each endpoint, connectAttempts the calls of
	// CheckConnection for it.
	openStreams     map[string]int
	connectAttempts map[string]int
	// runs counts the attempts of each request id. The first crashes attempts of each sample end
	// without a response.
	runs    map[string]int
	crashes int
	// notices are the functions that hosts registered with OnNotice.
	notices []func(catalog.Endpoint, backend.Notice)
	// do, when set, handles plain requests.
	do func(r backend.Request) (*backend.Answer, error)
	// loaded, when set, is called for each load.
	loaded func(id string, version int)
	// generating counts the open streams of all endpoints, resumed the streams that started
	// after an earlier event.
	generating atomic.Int64
	resumed    atomic.Int64
}

func (e *fakeEngines) Do(ctx context.Context, r backend.Request) (*backend.Answer, error) {
	e.mu.Lock()
	e.runs[r.ID]++
	do := e.do
	e.mu.Unlock()
	if do != nil {
		return do(r)
	}
	if ctx.Err() != nil {
		return nil, errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
	}
	return &backend.Answer{Status: http.StatusOK, Signature: "signed-" + r.ID, Body: []byte("ok")}, nil
}

func (e *fakeEngines) Generate(ctx context.Context, g backend.GenerateRequest, emit func(backend.Event) error) error {
	e.mu.Lock()
	down := e.down[g.Endpoint.ID] || e.silent[g.Endpoint.ID]
	e.runs[g.ID]++
	crash := e.runs[g.ID] <= e.crashes
	e.started = append(e.started, startedSample{g.ID, g.Endpoint.ID, g.ResumeAfter})
	e.mu.Unlock()
	if down {
		return errors.Join(backend.ErrNotRun, backend.ErrUnreachable)
	}
	if crash {
		return backend.ErrIncompleteAnswer
	}
	if g.ResumeAfter > 0 {
		e.resumed.Add(1)
	}
	e.generating.Add(1)
	defer e.generating.Add(-1)
	e.count(g.Endpoint.ID, 1)
	defer e.count(g.Endpoint.ID, -1)
	e.mu.Lock()
	flooding := e.flooding[g.Endpoint.ID]
	e.mu.Unlock()
	if flooding {
		return e.flood(g, emit)
	}
	events, err := strconv.Atoi(g.Header.Get("Events"))
	if err != nil {
		return backend.ErrInvalidRequest
	}
	for i := g.ResumeAfter; i < events; i++ {
		e.mu.Lock()
		interval := e.eventInterval * max(e.slowdown[g.Endpoint.ID], 1)
		e.mu.Unlock()
		select {
		case <-ctx.Done():
			return errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
		case <-time.After(interval):
		}
		e.mu.Lock()
		version, down, silent := e.versions[g.Endpoint.ID], e.down[g.Endpoint.ID], e.silent[g.Endpoint.ID]
		e.mu.Unlock()
		if silent {
			<-ctx.Done()
			return errors.Join(backend.ErrIncompleteAnswer, ctx.Err())
		}
		if down {
			return backend.ErrIncompleteAnswer
		}
		if err := emit(backend.Event{ID: i + 1, Data: fmt.Sprintf("%s#%d", g.ID, i+1), Version: version}); err != nil {
			return err
		}
	}
	return nil
}

// maxFloodBytes is where flooding endpoints stop after all.
const maxFloodBytes = 64 << 20

func (e *fakeEngines) flood(g backend.GenerateRequest, emit func(backend.Event) error) error {
	data := strings.Repeat("a", 64<<10)
	for i, sent := g.ResumeAfter, 0; sent < maxFloodBytes; i++ {
		sent += len(data)
		e.flooded.Add(int64(len(data)))
		if err := emit(backend.Event{ID: i + 1, Data: data, Version: 1}); err != nil {
			return err
		}
	}
	return nil
}

func (e *fakeEngines) Stream(context.Context, backend.GenerateRequest, func(*backend.Answer) error, func([]byte) error) error {
	return backend.ErrNotRun
}

func (e *fakeEngines) Order(_ context.Context, o backend.Order) (backend.OrderResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, receivedOrder{o.Endpoint.ID, o.Holder, o.FencingToken, o.Version, time.Now()})
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

func (e *fakeEngines) CheckConnection(_ context.Context, ep catalog.Endpoint) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connectAttempts[ep.ID]++
	if e.down[ep.ID] || e.silent[ep.ID] {
		return backend.ErrUnreachable
	}
	return nil
}

func (e *fakeEngines) count(id string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openStreams[id] += n
}

func (e *fakeEngines) setDo(do func(r backend.Request) (*backend.Answer, error)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.do = do
}

func (e *fakeEngines) makeSilent(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent[id] = true
}

// OnNotice adds the function of a host to those that answers with a limit are reported to.
func (e *fakeEngines) OnNotice(f func(catalog.Endpoint, backend.Notice)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notices = append(e.notices, f)
}

func (e *fakeEngines) ReadReport(_ context.Context, ep catalog.Endpoint) (backend.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.Report{Versions: map[string]int{"m": e.versions[ep.ID]}, Orders: e.orders[ep.ID]}, nil
}
