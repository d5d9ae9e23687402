package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/endpoints"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

var testStart = time.Unix(1000, 0)

// fleet returns n endpoints in three availability zones.
func fleet(n int) []endpoints.Endpoint {
	out := make([]endpoints.Endpoint, n)
	for i := range out {
		out[i] = endpoints.Endpoint{
			ID: model.EndpointID(fmt.Sprintf("e%03d", i)), Address: fmt.Sprintf("a:%d", i),
			Zone: model.ZoneID(fmt.Sprintf("z%d", i%3)), Slots: 32,
		}
	}
	return out
}

func BenchmarkPick(b *testing.B) {
	b.Run("load=half", func(b *testing.B) { benchmarkPick(b, 16) })
	b.Run("load=full", func(b *testing.B) { benchmarkPick(b, 32) })
}

// benchmarkPick picks among 600 endpoints with inflight requests of this host at each.
func benchmarkPick(b *testing.B, inflight int) {
	t := NewTable(testStart, "z0")
	t.Update(fleet(600))
	rng := rand.NewPCG(1, 1)
	for i, e := range fleet(600) {
		t.RecordLoad(testStart, e.ID, Load{Running: i % 40, Version: 3})
		t.RecordCacheEvent(testStart, e.ID, uint64(i%100)+1, true)
		for range inflight {
			t.Begin(testStart, Choice{entry: t.byID[e.ID]})
		}
	}
	now := testStart.Add(time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, ok := t.Pick(now, rng, Constraints{MinVersion: 2, PrefixHash: uint64(i%200) + 1})
		if !ok {
			b.Fatal("Pick found no endpoint")
		}
		t.Begin(now, c)
		t.End(now, c, now, ResultAnswered, 20*time.Millisecond)
	}
}
