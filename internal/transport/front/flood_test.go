package front

import "testing"

// Guards against an endpoint in trouble that sends valid events without end, all of which its host keeps: the sample
// starts over at another endpoint, with none of that output, and what is kept at a time is bounded.
func TestSamples_EventsWithoutEnd(t *testing.T) {
	w := newTestCluster(t)
	w.engines.flooding = map[string]bool{"e0": true, "e1": true}
	n := w.start("h1")[0]
	b := batch("b1", 4, 20)
	if err := n.Batches.Submit(background, b); err != nil {
		t.Fatal(err)
	}
	w.checkResults(b, w.readAll(n, b.ID))
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	flooded := 0
	for _, s := range w.engines.started {
		if w.engines.flooding[s.endpoint] {
			flooded++
		}
	}
	if flooded == 0 {
		t.Error("no sample started at an endpoint that sends without end")
	}
	if sent, most := w.engines.flooded.Load(), int64(flooded)*(maxSampleBytes+1<<17); sent > most {
		t.Errorf("%d attempts took %d bytes, want at most %d", flooded, sent, most)
	}
}
