package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// waitLimit bounds the wait of eventually.
const waitLimit = 10 * time.Second

// eventually waits until ok returns true and fails the test after waitLimit.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// proxyEndpoint routes the traffic of an endpoint through a fault-injecting proxy.
func (b *testEnv) proxyEndpoint(name, upstream string) *toxiproxy.Proxy {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(p.Stop)
	e := b.config.Endpoints[model.EndpointID(name)]
	e.Address = p.Listen
	b.endpoint(name, e)
	return p
}

// An endpoint that starts draining must be reported to the control program and get no new
// requests.
func TestDrainingEndpoint_GetsNoNewRequests(t *testing.T) {
	b := newTestEnv(t)
	draining := b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	b.apply(nil)
	b.poll()
	draining.SetFaults(standin.Faults{Draining: true})
	eventually(t, "the drain is reported", func() bool {
		return len(b.server.report(time.Now()).Drains) == 1
	})
	before := len(draining.Runs())
	for i := range 50 {
		body := fmt.Sprint(i)
		if r := b.call("lookup", body); r.body != standin.PlainAnswer("lookup", body) {
			t.Fatalf("got %+v", r)
		}
	}
	if after := len(draining.Runs()); after != before {
		t.Errorf("%d requests started on the draining endpoint", after-before)
	}
}

// A drain in the view stops new requests to the endpoint, without any poll.
func TestDrainInView_StopsNewRequests(t *testing.T) {
	b := newTestEnv(t)
	drained := b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	b.apply(func(v *model.FleetView) {
		v.Drains = []model.DrainEvidence{{Endpoint: "registry-0", Incarnation: 1, Source: model.DrainFromHostList}}
	})
	for range 20 {
		b.call("lookup", "x")
	}
	if n := len(drained.Runs()); n != 0 {
		t.Errorf("%d requests ran on the drained endpoint", n)
	}
}

// A request that crashes every endpoint it runs on is quarantined after two crashes, also
// over retries by the caller. Both of its fingerprints are reported, and other requests
// are still served.
func TestQuarantine_AfterTwoCrashes(t *testing.T) {
	b := newTestEnv(t)
	const endpoints = 5
	for range endpoints {
		b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond}).SetFaults(standin.Faults{CrashOnKey: "poison"})
	}
	b.apply(nil)
	b.poll()
	var last reply
	for range 10 {
		last = b.call("lookup", "poison", httpapi.IdempotencyKeyHeader, "k")
	}
	if last.code != resultcode.Quarantined {
		t.Errorf("retry got %+v", last)
	}
	crashes := 0
	for _, p := range b.plains {
		crashes += len(p.Runs())
	}
	if crashes != 2 {
		t.Errorf("%d endpoints crashed, want 2", crashes)
	}
	if q := b.server.report(time.Now()).Quarantine; len(q) != 2 || q[0].Crashes != 2 {
		t.Errorf("reported quarantine %+v", q)
	}
	if r := b.call("lookup", "harmless"); r.code != resultcode.OK {
		t.Errorf("another request got %+v", r)
	}
}

// A request that other hosts reported as quarantined is refused and does not run.
func TestQuarantine_ReportedByOtherHosts(t *testing.T) {
	b := newTestEnv(t)
	p := b.plain(standin.PlainServiceOptions{})
	q := &request{target: &target{name: "registry"}, call: "lookup"}
	q.fingerprint([]byte("poison"))
	b.apply(func(v *model.FleetView) {
		v.Quarantine = []model.QuarantinedRequest{{Fingerprint: q.fingerprints[0], Crashes: 2, Remaining: time.Minute}}
	})
	if r := b.call("lookup", "poison"); r.code != resultcode.Quarantined || r.outcome != resultcode.NotRun {
		t.Errorf("got %+v", r)
	}
	if len(p.Runs()) != 0 {
		t.Error("the request ran")
	}
}

// A stream whose connection is cut, after anything from 1 byte to most of the answer, is
// resumed at another engine, and the caller receives every token exactly once.
func TestStream_ResumedAfterCut(t *testing.T) {
	for cut := 1; cut < 700; cut += 23 {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			t.Parallel()
			b := newTestEnv(t)
			opt := standin.EngineOptions{TokenInterval: time.Millisecond, MedianTokens: testMedian, PrefillTime: time.Millisecond}
			b.newEngine(opt).SetFaults(standin.Faults{CutAtByte: cut})
			b.newEngine(opt)
			b.apply(nil)
			for i := range 4 {
				prompt := fmt.Sprint("p", i)
				g := b.generate(httpapi.GenerateRequest{Prompt: prompt, Seed: 1})
				checkTokens(t, g, prompt, 1, standin.AnswerLength(prompt, 1, testMedian, 0))
			}
		})
	}
}

// A stream that is cut, with no other engine to resume it, ends with the error
// stream_broken and not like a complete one.
func TestStream_BrokenWithoutReplacement(t *testing.T) {
	b := newTestEnv(t)
	b.newEngine(standin.EngineOptions{TokenInterval: time.Millisecond, MedianTokens: 64}).SetFaults(standin.Faults{CutAtByte: 120})
	b.apply(nil)
	g := b.generate(httpapi.GenerateRequest{Prompt: "p", Seed: 1, MaxTokens: 60})
	if g.done || g.fault != resultcode.StreamBroken.Info().Name {
		t.Errorf("done %v, error %q after %d tokens", g.done, g.fault, len(g.tokens))
	}
}

// Streams of an engine that crashes are resumed at another engine, and the callers receive
// every token exactly once.
func TestStream_ResumedAfterEngineCrash(t *testing.T) {
	b := newTestEnv(t)
	for range 2 {
		b.newEngine(standin.EngineOptions{TokenInterval: 2 * time.Millisecond, MedianTokens: 200})
	}
	b.apply(nil)
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() {
			prompt := fmt.Sprint("long", i)
			g := b.generate(httpapi.GenerateRequest{Prompt: prompt, Seed: 2, MaxTokens: 100})
			checkTokens(t, g, prompt, 2, 100)
		})
	}
	eventually(t, "streams run on the first engine", func() bool { return len(b.engine[0].Runs()) > 0 })
	b.engine[0].SetFaults(standin.Faults{Crash: true})
	running.Wait()
}

// The minimum version is checked on each chunk, because a load report may claim a newer
// version than the engine has.
func TestMinVersion_CheckedOnChunks(t *testing.T) {
	b := newTestEnv(t)
	b.newEngine(standin.EngineOptions{TokenInterval: time.Millisecond, MedianTokens: testMedian, Version: 3})
	b.newEngine(standin.EngineOptions{TokenInterval: time.Millisecond, MedianTokens: testMedian, Version: 5})
	b.apply(func(v *model.FleetView) {
		// The load report of the first engine is wrong: the engine has version 3.
		v.Loads = []model.EndpointLoad{{Endpoint: "engine-0", Version: 5}, {Endpoint: "engine-1", Version: 5}}
	})
	for range 6 {
		g := b.generate(httpapi.GenerateRequest{Prompt: "p", Seed: 1, MinVersion: 5})
		checkTokens(t, g, "p", 1, standin.AnswerLength("p", 1, testMedian, 0))
		for _, c := range g.chunks {
			if len(c.Tokens) > 0 && c.Version < 5 {
				t.Fatalf("received a token of version %d, want at least 5", c.Version)
			}
		}
	}
}

// A caller that disconnects cancels its stream at the engine.
func TestStream_CancelledWhenCallerDisconnects(t *testing.T) {
	b := newTestEnv(t)
	e := b.newEngine(standin.EngineOptions{TokenInterval: 2 * time.Millisecond, MedianTokens: 4000})
	b.apply(nil)
	body, _ := json.Marshal(httpapi.GenerateRequest{Prompt: "p", Seed: 1})
	resp, err := b.send("/v1/deployments/drafts/generate", string(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	eventually(t, "the engine has no request running or queued", func() bool {
		load, err := b.server.allTargets()[0].client.Load(context.Background(), e.Address())
		return err == nil && load.Running+load.Queued == 0 && len(e.Runs()) == 1
	})
}

// An endpoint whose connections are half open (no response arrives any more) is avoided:
// all requests are answered, with at most 10% more attempts than requests.
func TestUnresponsiveEndpoint_Avoided(t *testing.T) {
	b := newTestEnv(t)
	for range 3 {
		b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	}
	p := b.proxyEndpoint("registry-0", b.plains[0].Address())
	b.apply(nil)
	const warm, requests = 60, 180
	for i := range warm {
		b.call("lookup", fmt.Sprint("warm", i))
	}
	if _, err := p.Toxics.AddToxicJson(jsonReader(`{"name":"hole","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)); err != nil {
		t.Fatal(err)
	}
	for i := range requests - warm {
		body := fmt.Sprint(i)
		if r := b.call("lookup", body, httpapi.DeadlineHeader, "2000"); r.body != standin.PlainAnswer("lookup", body) {
			t.Fatalf("request %d got %+v", i, r)
		}
	}
	if made := attemptsMade(b); made > 1.1*requests {
		t.Errorf("%v attempts for %d requests", made, requests)
	}
}

// An endpoint 50 times slower than the others gets at most a tenth of the requests.
func TestSlowEndpoint_Avoided(t *testing.T) {
	b := newTestEnv(t)
	for range 4 {
		b.plain(standin.PlainServiceOptions{ServiceTime: 2 * time.Millisecond})
	}
	b.plains[0].SetFaults(standin.Faults{Slow: 50})
	b.apply(nil)
	const requests = 300
	for i := range requests {
		b.call("lookup", fmt.Sprint(i))
	}
	if n := len(b.plains[0].Runs()); n > requests/10 {
		t.Errorf("the slow endpoint got %d of %d requests", n, requests)
	}
}

// If the only endpoint is down, requests are refused as not run, with a Retry-After.
func TestDeadEndpoint_RefusedAsNotRun(t *testing.T) {
	b := newTestEnv(t)
	p := b.plain(standin.PlainServiceOptions{})
	b.apply(nil)
	p.SetFaults(standin.Faults{Down: true})
	r := b.call("lookup", "x")
	if r.outcome != resultcode.NotRun || r.header.Get(httpapi.RetryAfterMsHeader) == "" {
		t.Errorf("got %+v", r)
	}
	if len(p.Runs()) != 0 {
		t.Error("the request ran")
	}
}

// A non-idempotent call whose answer is lost has the outcome unknown. It is not run again,
// neither by the entry server nor for a retry with the same key.
func TestNonIdempotentCall_LostAnswerNotRetried(t *testing.T) {
	b := newTestEnv(t)
	for range 3 {
		b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond}).SetFaults(standin.Faults{CutAtByte: 3})
	}
	b.apply(nil)
	for range 4 {
		if r := b.call("issue", "c9", httpapi.IdempotencyKeyHeader, "k9"); r.outcome != resultcode.Unknown || r.code != resultcode.OutcomeUnknown {
			t.Errorf("got %+v", r)
		}
	}
	runs := 0
	for _, p := range b.plains {
		runs += len(p.Runs())
	}
	if runs != 1 {
		t.Errorf("ran %d times, want 1", runs)
	}
}

// Requests to a service whose endpoint accepts connections but never answers do not affect
// another service, and some of them are refused early instead of waiting.
func TestDeadService_DoesNotAffectOthers(t *testing.T) {
	b := newTestEnv(t)
	b.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond})
	b.config.Services["dead"] = model.Service{Timeout: time.Second, MaxRunning: 8}
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	b.endpoint("dead-0", model.Endpoint{Kind: model.EndpointPlain, Service: "dead", Zone: "lj-a", Address: unresponsive.Addr().String()})
	b.apply(nil)
	var running sync.WaitGroup
	var refused atomic.Int64
	for range 200 {
		running.Go(func() {
			r, err := b.post("/v1/services/dead/x", "x", httpapi.DeadlineHeader, "1500")
			if err != nil || r.code == resultcode.OK {
				t.Errorf("dead service: %+v, %v", r, err)
			}
			if r.outcome == resultcode.NotRun {
				refused.Add(1)
			}
		})
	}
	for i := range 100 {
		body := fmt.Sprint(i)
		if r := b.call("lookup", body); r.body != standin.PlainAnswer("lookup", body) {
			t.Errorf("the other service got %+v", r)
		}
	}
	running.Wait()
	if refused.Load() == 0 {
		t.Error("no request was refused as not run")
	}
}

// A planned stop removes the host from the address answers. It must interrupt neither a
// running stream nor a request of a caller whose address answer still lists the host.
func TestPlannedStop_InterruptsNoRequest(t *testing.T) {
	b := newTestEnv(t)
	for range 2 {
		b.plain(standin.PlainServiceOptions{ServiceTime: 20 * time.Millisecond})
	}
	b.newEngine(standin.EngineOptions{TokenInterval: 4 * time.Millisecond, MedianTokens: 600})
	b.apply(nil)
	var running sync.WaitGroup
	running.Go(func() {
		checkTokens(t, b.generate(httpapi.GenerateRequest{Prompt: "p", Seed: 1, MaxTokens: 500}), "p", 1, 500)
	})
	eventually(t, "the stream runs", func() bool { return len(b.engine[0].Runs()) == 1 })
	var stopping atomic.Bool
	for range 8 {
		running.Go(func() {
			for i := 0; !stopping.Load(); i++ {
				body := fmt.Sprint(i)
				if r, err := b.tryCall("lookup", body); err != nil || r.body != standin.PlainAnswer("lookup", body) {
					t.Errorf("got %+v, %v", r, err)
				}
			}
		})
	}
	stopped := make(chan error, 1)
	go func() { stopped <- b.httpServer.Stop(context.Background()) }()
	eventually(t, "the host leaves the address answers", func() bool { return len(b.addresses(t)) == 2 })
	if !b.server.report(time.Now()).Stopping {
		t.Error("the planned stop is not reported")
	}
	// Callers may use the address for its lifetime and use other hosts afterwards.
	time.Sleep(b.config.System.AddressLifetime)
	stopping.Store(true)
	running.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func (b *testEnv) addresses(t *testing.T) []string {
	t.Helper()
	resp, err := b.client.Get("http://" + b.httpServer.Address() + "/v1/addresses")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var a AddressAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	return a.Addresses
}

// The address answer lists the hosts of the local zone first, in a stable order. It leaves
// out dead and draining hosts and hosts without an entry program. Suspect hosts are listed.
func TestAddresses_LocalZoneFirst(t *testing.T) {
	b := newTestEnv(t)
	b.apply(func(v *model.FleetView) {
		v.Members = []model.Member{
			{Host: "e1", Zone: "lj-a", Entry: "a:1", State: model.HostAlive},
			{Host: "e2", Zone: "lj-b", Entry: "b:2", State: model.HostAlive},
			{Host: "e3", Zone: "lj-a", Entry: "c:3", State: model.HostSuspect},
			{Host: "e4", Zone: "lj-a", Entry: "d:4", State: model.HostDead},
			{Host: "e5", Zone: "lj-a", Entry: "e:5", State: model.HostDraining},
			{Host: "e6", Zone: "lj-a", State: model.HostAlive},
		}
	})
	got := b.addresses(t)
	if len(got) != 3 || got[2] != "b:2" {
		t.Errorf("got %v", got)
	}
	if again := b.addresses(t); fmt.Sprint(again) != fmt.Sprint(got) {
		t.Errorf("order changed from %v to %v", got, again)
	}
}

// A replaced host whose control program runs already, but whose entry program does not serve
// callers yet, must not be in the address answers: its port refuses connections. If no host is
// known to be ready, for example after all control programs have restarted, an empty answer
// would be worse than one that names all live hosts.
func TestAddresses_OnlyReadyEntryPrograms(t *testing.T) {
	b := newTestEnv(t)
	members := []model.Member{
		{Host: "e1", Zone: "lj-a", Entry: "a:1", State: model.HostAlive, EntryNotReady: true},
		{Host: "e2", Zone: "lj-a", Entry: "b:2", State: model.HostAlive},
	}
	b.apply(func(v *model.FleetView) { v.Members = members })
	if got := b.addresses(t); len(got) != 1 || got[0] != "b:2" {
		t.Errorf("one of two hosts is ready: got %v", got)
	}
	b.apply(func(v *model.FleetView) {
		v.Members = []model.Member{members[0], {Host: "e2", Zone: "lj-a", Entry: "b:2", State: model.HostAlive, EntryNotReady: true}}
	})
	if got := b.addresses(t); len(got) != 2 {
		t.Errorf("no host is ready: got %v", got)
	}
}

// The entry program reports that it is not ready until its port is open and it has a view.
func TestReport_NotReadyUntilListening(t *testing.T) {
	s := NewServer(Options{Host: "e1", Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler)})
	if !s.report(time.Now()).NotReady {
		t.Error("ready without a port and a view")
	}
	h := NewHTTPServer(s, newTestLimiter())
	if err := h.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = h.http.Close() }()
	if !s.report(time.Now()).NotReady {
		t.Error("ready without a view")
	}
	s.Apply(&model.FleetView{Config: &model.Config{}})
	if s.report(time.Now()).NotReady {
		t.Error("not ready with an open port and a view")
	}
}

func jsonReader(s string) *strings.Reader { return strings.NewReader(s) }
