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

// offer starts perSecond calls a second for d, at random intervals from seed,
// whatever becomes of them, and waits for all.
func offer(perSecond float64, d time.Duration, seed uint64, call func(i int)) {
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

// BenchmarkAddedLatency compares calls through an entry process on two cores with
// direct ones, in turns of one second.
func BenchmarkAddedLatency(b *testing.B) {
	const rate, turn, turns = 2000, time.Second, 4
	bed := newBed(b)
	for range 4 {
		bed.plain(standin.PlainOptions{ServiceTime: time.Millisecond, Concurrency: 64})
	}
	bed.apply(nil)
	stop := bed.child(b)
	direct := engineapi.NewClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
	through, straight := hdrhistogram.New(1, 1e8, 3), hdrhistogram.New(1, 1e8, 3)
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
	warm := func(int) { _, _ = bed.tryCall("lookup", "x") }
	offer(rate, turn, 0, warm)
	for b.Loop() {
		for n := range uint64(turns) {
			offer(rate, turn, n, func(i int) {
				timed(straight, func() error {
					_, err := direct.Call(context.Background(), bed.plains[i%4].Address(), engineapi.CallRequest{Call: "lookup", Body: []byte("x")})
					return err
				})
			})
			offer(rate, turn, n, func(int) {
				timed(through, func() error {
					r, err := bed.tryCall("lookup", "x")
					if err == nil && r.code != resultcode.OK {
						return fmt.Errorf("%v", r.code)
					}
					return err
				})
			})
		}
	}
	b.ReportMetric(float64(through.ValueAtQuantile(50)-straight.ValueAtQuantile(50)), "added-p50-µs")
	b.ReportMetric(float64(through.ValueAtQuantile(99)-straight.ValueAtQuantile(99)), "added-p99-µs")
	b.ReportMetric(float64(straight.ValueAtQuantile(99)), "direct-p99-µs")
	b.ReportMetric(float64(stop().Microseconds())/float64(through.TotalCount()+rate), "cpu-µs/request")
}

// BenchmarkTokenStreams passes 64 streams of about 100,000 tokens a second together
// through an entry process on two cores.
func BenchmarkTokenStreams(b *testing.B) {
	const engines, perEngine, tokens = 8, 8, 10000
	bed := newBed(b)
	for range engines {
		bed.newEngine(standin.EngineOptions{Slots: perEngine, TokenInterval: 5 * time.Millisecond, TokensPerStep: 10, MedianTokens: 20 * tokens})
	}
	stop := bed.child(b)
	start := time.Now()
	for b.Loop() {
		var running sync.WaitGroup
		for i := range engines * perEngine {
			running.Go(func() {
				prompt := fmt.Sprint(i)
				checkTokens(b, bed.generate(httpapi.Generate{Prompt: prompt, MaxTokens: tokens}), prompt, 0, tokens)
			})
		}
		running.Wait()
	}
	total := float64(b.N * engines * perEngine * tokens)
	b.ReportMetric(total/time.Since(start).Seconds(), "tokens/s")
	b.ReportMetric(float64(stop().Nanoseconds())/total, "cpu-ns/token")
}

// BenchmarkMemoryPerRequest holds calls at a paused endpoint and reports the memory
// of one, over that of the same calls made directly.
func BenchmarkMemoryPerRequest(b *testing.B) {
	const calls = 400
	bed := newBed(b)
	bed.config.Services["registry"] = model.Service{Timeout: time.Minute, MaxRunning: calls}
	p := bed.plain(standin.PlainOptions{Concurrency: calls})
	bed.apply(nil)
	direct := engineapi.NewClient(&http.Client{Transport: &http.Transport{}})
	held := func(call func()) float64 {
		p.SetFaults(standin.Faults{Pause: true})
		before, base := memoryInUse(), len(p.Runs())
		var running sync.WaitGroup
		for range calls {
			running.Go(call)
		}
		eventually(b, "all calls are held", func() bool { return len(p.Runs()) >= base+calls })
		used := memoryInUse() - before
		p.SetFaults(standin.Faults{})
		running.Wait()
		return used / calls
	}
	for b.Loop() {
		straight := held(func() {
			_, _ = direct.Call(context.Background(), p.Address(), engineapi.CallRequest{Call: "lookup", Body: []byte("x")})
		})
		through := held(func() { _, _ = bed.tryCall("lookup", "x") })
		b.ReportMetric((through-straight)/1024, "KiB/request")
	}
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// Sizes of the overload experiment: three services of four endpoints each.
const (
	overEndpoints = 4
	overSlots     = 4
	overService   = 20 * time.Millisecond
	// overHealthy is what three healthy endpoints can answer a second; the slow one
	// adds next to nothing.
	overHealthy  = (overEndpoints - 1) * overSlots * float64(time.Second/overService)
	overSlow     = 50
	overDeadline = 400 * time.Millisecond
	overTime     = 5 * time.Second
	quietRate    = 200
	deadRate     = 100
)

// overload offers twice its capacity to one service while another is dead, and
// reports what each answered in time and the attempts a request.
func overload(b *testing.B, disturbed bool, call func(service string, i int) bool) (busy, quiet float64) {
	var busyGood, quietGood atomic.Int64
	var running sync.WaitGroup
	load := func(service string, rate float64, seed uint64, good *atomic.Int64) {
		running.Go(func() {
			offer(rate, overTime, seed, func(i int) {
				start := time.Now()
				if call(service, i) && time.Since(start) <= overDeadline && good != nil {
					good.Add(1)
				}
			})
		})
	}
	load("quiet", quietRate, 1, &quietGood)
	if disturbed {
		load("busy", 2*overHealthy, 2, &busyGood)
		load("dead", deadRate, 3, nil)
	}
	running.Wait()
	return float64(busyGood.Load()) / overTime.Seconds(), float64(quietGood.Load()) / overTime.Seconds()
}

// overBed is a bed with the experiment's services.
func overBed(b *testing.B) (*bed, map[string][]string) {
	bed := newBed(b)
	addresses := map[string][]string{}
	for _, service := range []string{"busy", "quiet", "dead"} {
		bed.config.Services[model.ServiceID(service)] = model.Service{Timeout: time.Second, MaxRunning: overSlots}
		for i := range overEndpoints {
			p, err := standin.NewPlain("127.0.0.1:0", standin.PlainOptions{Name: fmt.Sprint(service, i), ServiceTime: overService, Concurrency: overSlots})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(p.Close)
			address := p.Address()
			if service == "dead" {
				address = hole(b)
			}
			if service == "busy" && i == 0 {
				p.SetFaults(standin.Faults{Slow: overSlow})
			}
			addresses[service] = append(addresses[service], address)
			bed.endpoint(fmt.Sprint(service, i), model.Endpoint{Kind: model.EndpointPlain, Service: model.ServiceID(service), Zone: "lj-a", Address: address})
		}
	}
	bed.apply(nil)
	return bed, addresses
}

// hole is an address that accepts connections and never answers.
func hole(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// BenchmarkOverload measures one and eight entry servers, BenchmarkOverloadBaseline a
// plain balancer, before the same stand-ins.
func BenchmarkOverload(b *testing.B) {
	for _, hosts := range []int{1, 8} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) { measureOverload(b, hosts) })
	}
}

func measureOverload(b *testing.B, hosts int) {
	first, _ := overBed(b)
	beds := []*bed{first}
	for len(beds) < hosts {
		next := newBed(b)
		next.config = first.config
		next.apply(nil)
		beds = append(beds, next)
	}
	call := func(service string, i int) bool {
		r, err := beds[i%hosts].post("/v1/services/"+service+"/lookup", fmt.Sprint(i), httpapi.DeadlineHeader, fmt.Sprint(overDeadline.Milliseconds()))
		return err == nil && r.code == resultcode.OK
	}
	attempts := func() (n float64) {
		for _, bed := range beds {
			n += attemptsMade(bed)
		}
		return n
	}
	for b.Loop() {
		_, alone := overload(b, false, call)
		before := attempts()
		busy, quiet := overload(b, true, call)
		reportOverload(b, busy, quiet, alone, attempts()-before)
	}
}

func reportOverload(b *testing.B, busy, quiet, alone, attempts float64) {
	requests := (2*overHealthy + quietRate + deadRate) * overTime.Seconds()
	b.ReportMetric(100*quiet/alone, "quiet-%")
	b.ReportMetric(100*busy/overHealthy, "busy-%")
	b.ReportMetric(attempts/requests, "attempts/request")
}

func attemptsMade(bed *bed) float64 {
	n := 0.0
	for _, t := range bed.server.allTargets() {
		n += counterValue(bed.server.metrics.attempts.WithLabelValues(t.name))
	}
	return n
}

// BenchmarkOverloadBaseline: round robin, three retries, no limits.
func BenchmarkOverloadBaseline(b *testing.B) {
	_, addresses := overBed(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var next, attempts atomic.Int64
	call := func(service string, i int) bool {
		ctx, cancel := context.WithTimeout(context.Background(), overDeadline)
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
		_, alone := overload(b, false, call)
		attempts.Store(0)
		busy, quiet := overload(b, true, call)
		reportOverload(b, busy, quiet, alone, float64(attempts.Load()))
	}
}

// roundTrip makes one attempt with a quarter of the deadline.
func roundTrip(ctx context.Context, client *http.Client, address string, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, overDeadline/4)
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
