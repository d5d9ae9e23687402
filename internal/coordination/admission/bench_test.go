package admission

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

var testStart = time.Unix(1000, 0)

// BenchmarkAdmissionQueued measures one arrival and one end while 300 other requests wait.
func BenchmarkAdmissionQueued(b *testing.B) {
	const waiting = 300
	g := NewGate(64, 0.2)
	now := testStart
	var running []*Request
	arrive := func() {
		t := &Request{Caller: "lab", Deadline: now.Add(time.Hour), Priority: model.PriorityLive}
		t.Notify = func(Decision) { running = append(running, t) }
		if g.Admit(now, t).Verdict == Run {
			running = append(running, t)
		}
	}
	for range 64 + waiting {
		arrive()
	}
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		arrive()
		t := running[len(running)-1]
		running = running[:len(running)-1]
		g.Finish(now, t, Observation{Kind: ObservationAnswered, Latency: 6 * time.Millisecond, TotalTime: 6 * time.Millisecond})
	}
	if g.Waiting() != waiting {
		b.Fatalf("waiting = %d", g.Waiting())
	}
}

func BenchmarkAdmission(b *testing.B) {
	g := NewGate(64, 0.2)
	var r Rate
	r.SetLimit(1e9)
	others := Request{Caller: "batch", Deadline: testStart.Add(time.Hour), Priority: model.PriorityBatch}
	g.Admit(testStart, &others)
	t := Request{Caller: "lab", Deadline: testStart.Add(time.Hour), Priority: model.PriorityLive}
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		if ok, _ := r.Allow(now); !ok {
			b.Fatal("refused by the rate limit")
		}
		if d := g.Admit(now, &t); d.Verdict != Run {
			b.Fatal("not admitted")
		}
		g.Finish(now, &t, Observation{Kind: ObservationAnswered, Latency: 5 * time.Millisecond, TotalTime: 5 * time.Millisecond})
	}
}
