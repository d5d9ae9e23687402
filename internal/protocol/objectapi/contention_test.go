package objectapi_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
)

// BenchmarkHostsOverThePlatformsRate has 40 hosts, each with a budget of 50 writes per second,
// write to a platform that accepts 400 per second. After a warm-up in which the budgets
// adapt, it reports the rate of successful writes (taken/s) and the percentage that the
// platform throttled (%refused).
func BenchmarkHostsOverThePlatformsRate(b *testing.B) {
	const (
		hosts    = 40
		warmUp   = 5 * time.Second
		duration = 10 * time.Second
		perHost  = 4
	)
	for b.Loop() {
		store := standin.NewObjectStore(standin.ObjectStoreOptions{WritesPerSecond: 400, Latency: 2 * time.Millisecond})
		ctx, cancel := context.WithTimeout(b.Context(), warmUp+duration)
		var writers sync.WaitGroup
		for h := range hosts {
			c := objectapi.NewClient(store, objectapi.ClientOptions{Seed: uint64(h + 1)})
			for w := range perHost {
				writers.Go(func() {
					for i := 0; ctx.Err() == nil; i++ {
						_, _ = c.Put(ctx, fmt.Sprintf("%d/%d/%d", h, w, i), []byte("value"), 0)
					}
				})
			}
		}
		time.Sleep(warmUp)
		before := store.Calls()
		writers.Wait()
		cancel()
		after := store.Calls()
		writes, throttled := after.Writes-before.Writes, after.Throttled-before.Throttled
		b.ReportMetric(float64(writes-throttled)/duration.Seconds(), "taken/s")
		b.ReportMetric(100*float64(throttled)/float64(writes), "%refused")
	}
}
