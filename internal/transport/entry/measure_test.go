package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"oleanderfall.example/oleanderfall/internal/protocol/engineapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/httpapi"
)

// offerLoad starts perSecond calls a second on average for d, at exponentially distributed
// intervals from seed. It does not wait for a call before it starts the next (open loop)
// and returns when all have ended.
func offerLoad(perSecond float64, d time.Duration, seed uint64, call func(i int)) {
	rng := rand.New(rand.NewPCG(seed, seed))
	var running sync.WaitGroup
	start := time.Now()
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at > d {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		running.Go(func() { call(i) })
	}
	running.Wait()
}

// BenchmarkAddedLatency compares calls through an entry process on two cores with direct
// calls, alternating every second.
func BenchmarkAddedLatency(b *testing.B) {
	const rate, turn, turns = 2000, time.Second, 4
	env := newTestEnv(b)
	for range 4 {
		env.plain(standin.PlainServiceOptions{ServiceTime: time.Millisecond, Concurrency: 64})
	}
	env.apply(nil)
	stop := env.startChild(b)
	direct := engineapi.NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
	viaEntry, baseline := hdrhistogram.New(1, 1e8, 3), hdrhistogram.New(1, 1e8, 3)
	var mu sync.Mutex
	timed := func(h *hdrhistogram.Histogram, call func() error) {
		start := time.Now()
		if err := call(); err != nil {
			b.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	warm := func(int) { _, _ = env.tryCall("lookup", "x") }
	offerLoad(rate, turn, 0, warm)
	for b.Loop() {
		for n := range uint64(turns) {
			offerLoad(rate, turn, n, func(i int) {
				timed(baseline, func() error {
					_, err := direct.Call(context.Background(), env.plains[i%4].Address(), engineapi.CallRequest{Call: "lookup", Body: []byte("x")})
					return err
				})
			})
			offerLoad(rate, turn, n, func(int) {
				timed(viaEntry, func() error {
					r, err := env.tryCall("lookup", "x")
					if err == nil && r.code != resultcode.OK {
						return fmt.Errorf("%v", r.code)
					}
					return err
				})
			})
		}
	}
	b.ReportMetric(float64(viaEntry.ValueAtQuantile(50)-baseline.ValueAtQuantile(50)), "added-p50-µs")
	b.ReportMetric(float64(viaEntry.ValueAtQuantile(99)-baseline.ValueAtQuantile(99)), "added-p99-µs")
	b.ReportMetric(float64(baseline.ValueAtQuantile(99)), "direct-p99-µs")
	b.ReportMetric(float64(stop().Microseconds())/float64(viaEntry.TotalCount()+rate), "cpu-µs/request")
}

// BenchmarkTokenStreams relays 64 concurrent streams, in total about 100,000 tokens a
// second, through an entry process on two cores.
func BenchmarkTokenStreams(b *testing.B) {
	const engines, perEngine, tokens = 8, 8, 10000
	env := newTestEnv(b)
	for range engines {
		env.newEngine(standin.EngineOptions{Slots: perEngine, TokenInterval: 5 * time.Millisecond, TokensPerStep: 10, MedianTokens: 20 * tokens})
	}
	stop := env.startChild(b)
	start := time.Now()
	for b.Loop() {
		var running sync.WaitGroup
		for i := range engines * perEngine {
			running.Go(func() {
				prompt := fmt.Sprint(i)
				checkTokens(b, env.generate(httpapi.GenerateRequest{Prompt: prompt, MaxTokens: tokens}), prompt, 0, tokens)
			})
		}
		running.Wait()
	}
	total := float64(b.N * engines * perEngine * tokens)
	b.ReportMetric(total/time.Since(start).Seconds(), "tokens/s")
	b.ReportMetric(float64(stop().Nanoseconds())/total, "cpu-ns/token")
}

// BenchmarkMemoryPerRequest keeps calls in flight at a paused endpoint and reports the
// memory per call, less that of the same calls made directly.
func BenchmarkMemoryPerRequest(b *testing.B) {
	const calls = 400
	env := newTestEnv(b)
	env.config.Services["registry"] = model.Service{Timeout: time.Minute, MaxRunning: calls}
	p := env.plain(standin.PlainServiceOptions{Concurrency: calls})
	env.apply(nil)
	direct := engineapi.NewClient(&http.Client{Transport: &http.Transport{}})
	memoryPerCall := func(call func()) float64 {
		p.SetFaults(standin.Faults{Pause: true})
		before, base := memoryInUse(), len(p.Runs())
		var running sync.WaitGroup
		for range calls {
			running.Go(call)
		}
		eventually(b, "all calls are in flight at the paused endpoint", func() bool { return len(p.Runs()) >= base+calls })
		used := memoryInUse() - before
		p.SetFaults(standin.Faults{})
		running.Wait()
		return used / calls
	}
	for b.Loop() {
		baseline := memoryPerCall(func() {
			_, _ = direct.Call(context.Background(), p.Address(), engineapi.CallRequest{Call: "lookup", Body: []byte("x")})
		})
		viaEntry := memoryPerCall(func() { _, _ = env.tryCall("lookup", "x") })
		b.ReportMetric((viaEntry-baseline)/1024, "KiB/request")
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// Parameters of the overload benchmarks, which use three services of four endpoints each.
const (
	overloadEndpoints   = 4
	overloadSlots       = 4
	overloadServiceTime = 20 * time.Millisecond
	// overloadCapacity is the number of requests a second that the three healthy endpoints
	// can answer. The slow endpoint adds almost nothing.
	overloadCapacity   = (overloadEndpoints - 1) * overloadSlots * float64(time.Second/overloadServiceTime)
	overloadSlowFactor = 50
	overloadDeadline   = 400 * time.Millisecond
	overloadDuration   = 5 * time.Second
	quietRate          = 200
	deadRate           = 100
)

// runOverload offers load to the quiet service. If disturbed is set, it also offers twice
// its capacity to the busy service, and load to the dead one. It returns the requests a
// second that the busy and the quiet service answered before the deadline.
func runOverload(b *testing.B, disturbed bool, call func(service string, i int) bool) (busy, quiet float64) {
	var busyGood, quietGood atomic.Int64
	var running sync.WaitGroup
	load := func(service string, rate float64, seed uint64, good *atomic.Int64) {
		running.Go(func() {
			offerLoad(rate, overloadDuration, seed, func(i int) {
				start := time.Now()
				if call(service, i) && time.Since(start) <= overloadDeadline && good != nil {
					good.Add(1)
				}
			})
		})
	}
	load("quiet", quietRate, 1, &quietGood)
	if disturbed {
		load("busy", 2*overloadCapacity, 2, &busyGood)
		load("dead", deadRate, 3, nil)
	}
	running.Wait()
	return float64(busyGood.Load()) / overloadDuration.Seconds(), float64(quietGood.Load()) / overloadDuration.Seconds()
}

// newOverloadEnv returns an environment with the services of the overload benchmarks, and
// the addresses of their endpoints. One endpoint of the busy service is slow.
func newOverloadEnv(b *testing.B) (*testEnv, map[string][]string) {
	env := newTestEnv(b)
	addresses := map[string][]string{}
	for _, service := range []string{"busy", "quiet", "dead"} {
		env.config.Services[model.ServiceID(service)] = model.Service{Timeout: time.Second, MaxRunning: overloadSlots}
		for i := range overloadEndpoints {
			p, err := standin.NewPlainService("127.0.0.1:0", standin.PlainServiceOptions{Name: fmt.Sprint(service, i), ServiceTime: overloadServiceTime, Concurrency: overloadSlots})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(p.Close)
			address := p.Address()
			if service == "dead" {
				address = unresponsiveAddress(b)
			}
			if service == "busy" && i == 0 {
				p.SetFaults(standin.Faults{Slow: overloadSlowFactor})
			}
			addresses[service] = append(addresses[service], address)
			env.endpoint(fmt.Sprint(service, i), model.Endpoint{Kind: model.EndpointPlain, Service: model.ServiceID(service), Zone: "lj-a", Address: address})
		}
	}
	env.apply(nil)
	return env, addresses
}

// unresponsiveAddress returns an address that accepts connections and never answers.
func unresponsiveAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// BenchmarkOverload measures one and eight entry servers under overload.
// BenchmarkOverloadBaseline measures a simple load balancer with the same stand-ins.
func BenchmarkOverload(b *testing.B) {
	for _, hosts := range []int{1, 8} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) { measureOverload(b, hosts) })
	}
}

func measureOverload(b *testing.B, hosts int) {
	first, _ := newOverloadEnv(b)
	envs := []*testEnv{first}
	for len(envs) < hosts {
		next := newTestEnv(b)
		next.config = first.config
		next.apply(nil)
		envs = append(envs, next)
	}
	call := func(service string, i int) bool {
		r, err := envs[i%hosts].post("/v1/services/"+service+"/lookup", fmt.Sprint(i), httpapi.DeadlineHeader, fmt.Sprint(overloadDeadline.Milliseconds()))
		return err == nil && r.code == resultcode.OK
	}
	attempts := func() (n float64) {
		for _, env := range envs {
			n += attemptsMade(env)
		}
		return n
	}
	for b.Loop() {
		_, alone := runOverload(b, false, call)
		before := attempts()
		busy, quiet := runOverload(b, true, call)
		reportOverload(b, busy, quiet, alone, attempts()-before)
	}
}

func reportOverload(b *testing.B, busy, quiet, alone, attempts float64) {
	requests := (2*overloadCapacity + quietRate + deadRate) * overloadDuration.Seconds()
	b.ReportMetric(100*quiet/alone, "quiet-%")
	b.ReportMetric(100*busy/overloadCapacity, "busy-%")
	b.ReportMetric(attempts/requests, "attempts/request")
}

func attemptsMade(env *testEnv) float64 {
	n := 0.0
	for _, t := range env.server.allTargets() {
		n += counterValue(env.server.metrics.attempts.WithLabelValues(t.name))
	}
	return n
}

// BenchmarkOverloadBaseline uses round robin with three retries and no concurrency limit.
func BenchmarkOverloadBaseline(b *testing.B) {
	_, addresses := newOverloadEnv(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var next, attempts atomic.Int64
	call := func(service string, i int) bool {
		ctx, cancel := context.WithTimeout(context.Background(), overloadDeadline)
		defer cancel()
		for range 4 {
			list := addresses[service]
			attempts.Add(1)
			if roundTrip(ctx, client, list[next.Add(1)%int64(len(list))], i) {
				return true
			}
		}
		return false
	}
	for b.Loop() {
		_, alone := runOverload(b, false, call)
		attempts.Store(0)
		busy, quiet := runOverload(b, true, call)
		reportOverload(b, busy, quiet, alone, float64(attempts.Load()))
	}
}

// roundTrip makes one attempt with a timeout of a quarter of the deadline and reports
// whether it was answered.
func roundTrip(ctx context.Context, client *http.Client, address string, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, overloadDeadline/4)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/call/lookup", bytes.NewReader(fmt.Append(nil, i)))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func counterValue(c prometheus.Counter) float64 {
	var m dto.Metric
	_ = c.Write(&m)
	return m.GetCounter().GetValue()
}
