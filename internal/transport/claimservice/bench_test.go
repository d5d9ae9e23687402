package claimservice

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleanderfall.example/oleanderfall/internal/coordination/claims"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/journal"
)

const (
	benchRate    = 500.0
	benchTime    = 10 * time.Second
	benchLatency = 5 * time.Millisecond
	benchSeed    = 7
	benchAnswer  = 200
)

// runAtRate calls work in an open loop with exponential gaps. It returns the latencies, which
// count from each call's scheduled start, and the number of failed calls.
func runAtRate(rate float64, d time.Duration, work func(i int) error) (*hdrhistogram.Histogram, int) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	failed := 0
	random := rand.New(rand.NewPCG(benchSeed, benchSeed))
	next := time.Now()
	end := next.Add(d)
	for i := 0; next.Before(end); i++ {
		time.Sleep(time.Until(next))
		due := next
		all.Go(func() {
			err := work(i)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
			_ = h.RecordValue(took.Microseconds())
		})
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	all.Wait()
	return h, failed
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func reportMetrics(b *testing.B, h *hdrhistogram.Histogram, failed, writes int, took, cpu time.Duration) {
	n := float64(h.TotalCount())
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
	b.ReportMetric(n/took.Seconds(), "claims/s")
	b.ReportMetric(float64(writes)/took.Seconds(), "writes/s")
	b.ReportMetric(float64(cpu.Microseconds())/n, "cpu-us/claim")
	b.ReportMetric(float64(failed)/n*100, "failed-%")
}

// BenchmarkClaims submits 500 and 1000 claims per second to eight entry hosts. Each claim is
// settled with a 200-byte answer.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []float64{benchRate, 2 * benchRate} {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(b, clusterOptions{entries: 8, shards: 4, store: standin.ObjectStoreOptions{Latency: benchLatency}})
				before, cpu, began := c.store.Calls(), cpuTime(), time.Now()
				body := make([]byte, benchAnswer)
				h, failed := runAtRate(rate, benchTime, func(i int) error {
					e := c.entries[i%8]
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					t, err := e.Begin(ctx, testKey(fmt.Sprint(i)), 1)
					if err == nil {
						e.Settle(ctx, t, resultcode.Ran, Answer{Status: 200, Body: body})
					}
					return err
				})
				reportMetrics(b, h, failed, c.store.Calls().Writes-before.Writes, time.Since(began), cpuTime()-cpu)
			}
		})
	}
}

// BenchmarkWritePerClaim is the alternative without group commits: one conditional create per
// claim and one update for its outcome, with the platform's limit of 300 writes per second
// and without.
func BenchmarkWritePerClaim(b *testing.B) {
	for _, limit := range []float64{0, 300} {
		b.Run(fmt.Sprintf("limit=%.0f", limit), func(b *testing.B) {
			for b.Loop() {
				store := standin.NewObjectStore(standin.ObjectStoreOptions{Latency: benchLatency, WritesPerSecond: limit})
				api := objectapi.NewClient(store, objectapi.ClientOptions{Seed: 1, WritesPerSecond: 4000})
				cpu, began := cpuTime(), time.Now()
				body := make([]byte, benchAnswer)
				h, failed := runAtRate(benchRate, benchTime, func(i int) error {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					key := fmt.Sprint("claim/", i)
					version, err := api.Put(ctx, key, []byte{1}, 0)
					if err != nil {
						return err
					}
					go func() { _, _ = api.Put(context.Background(), key, body, version) }()
					return nil
				})
				reportMetrics(b, h, failed, store.Calls().Writes, time.Since(began), cpuTime()-cpu)
			}
		})
	}
}

// BenchmarkTakeover reads the journal of one of four shards after ten minutes of 500 claims
// per second over all shards.
func BenchmarkTakeover(b *testing.B) {
	api := standin.NewObjectStore(standin.ObjectStoreOptions{})
	n := fillJournal(b, api, 10*time.Minute, benchRate/4)
	api.SetFaults(standin.Faults{DelayMillis: int(benchLatency.Milliseconds())})
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := &store{api: api, shard: "claims/0"}
		began := time.Now()
		l, err := s.load(context.Background())
		took := time.Since(began)
		if err != nil || l.table.Len() != n {
			b.Fatalf("%d of %d claims read: %v", l.table.Len(), n, err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(s.readCount), "reads")
		b.ReportMetric(float64(took.Milliseconds()), "takeover-ms")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/claim")
		b.ReportMetric(float64(n), "claims")
		runtime.KeepAlive(l)
	}
}

// fillJournal writes a shard's journal as its owner would, in simulated time.
func fillJournal(b *testing.B, api objectapi.API, span time.Duration, rate float64) (claimed int) {
	b.Helper()
	const interval = 40 * time.Millisecond
	ctx := context.Background()
	s := &store{api: api, shard: "claims/0"}
	core := claims.New(claims.Options{CommitInterval: interval}, journal.NewTable(), nil, nil, 0, 0)
	now := time.Unix(1_700_000_000, 0)
	holder := journal.Holder{Host: "host-1", Address: "10.0.0.1:7000", Incarnation: 1}
	body := make([]byte, benchAnswer)
	backlog := 0.0
	for end := now.Add(span); now.Before(end); now = now.Add(interval) {
		for backlog += rate * interval.Seconds(); backlog >= 1; backlog-- {
			var k journal.Key
			binary.BigEndian.PutUint64(k[:], uint64(claimed))
			core.Claim(now, claims.Request{Key: k, Attempt: journal.Attempt(k), Digest: 1, Holder: holder})
			if claimed > 0 {
				binary.BigEndian.PutUint64(k[:], uint64(claimed-1))
				core.Settle(now, claims.Settlement{Key: k, Attempt: journal.Attempt(k), State: journal.Ran, Status: 200, Body: body})
			}
			claimed++
		}
		if e := core.NextCommit(now); e != nil {
			if err := s.append(ctx, e); err != nil {
				b.Fatal(err)
			}
			core.Committed(now)
		}
		if f := core.NextCompaction(); f != nil {
			core.CompactionDone(f, s.writeSegment(ctx, f.Segment, f.Answers) == nil)
		}
	}
	return claimed
}

// BenchmarkDecision runs the core alone: one claim and one settlement per iteration.
func BenchmarkDecision(b *testing.B) {
	core := claims.New(claims.Options{CommitInterval: time.Millisecond, MaxClaims: 1 << 30, MaxWaiting: 1 << 20}, journal.NewTable(), nil, nil, 0, 0)
	now := time.Unix(1_700_000_000, 0)
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		var k journal.Key
		binary.BigEndian.PutUint64(k[:], i)
		core.Claim(now, claims.Request{Key: k, Attempt: journal.Attempt(k)})
		core.Settle(now, claims.Settlement{Key: k, Attempt: journal.Attempt(k), State: journal.Ran})
		if i++; i%100 == 0 {
			now = now.Add(10 * time.Millisecond)
			core.NextCommit(now)
			core.Committed(now)
			if f := core.NextCompaction(); f != nil {
				core.CompactionDone(f, true)
			}
		}
	}
}
