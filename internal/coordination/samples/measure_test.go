package samples

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// stepOptions returns options for steps of 4,096 samples with a heavy tail: 1% of the
// samples are 20 times as long as the median. A new version is published every 2 minutes.
func stepOptions(seed uint64) simOptions {
	return simOptions{
		seed: seed, engines: 64, slots: 16, rate: 50, median: 200, groups: 512, size: 8, steps: 12, batchMax: 64,
		trainTime: 100 * time.Second, versionInterval: 120 * time.Second, swapSpread: 28 * time.Second,
		openAhead: true, settings: Settings{Bound: 2, Freshness: 0.5, StepSamples: 4096},
	}
}

// simResult holds the results of a simulation: the trainer's idle time as a share of the
// duration, the staleness of the delivered samples in versions, the number of samples over
// the bound, and the record writes per step.
type simResult struct {
	idle              float64
	p50, p99, max     int
	overBound, writes int
	duration          time.Duration
}

func runSim(t testing.TB, opt simOptions) simResult {
	t.Helper()
	s := newSim(opt)
	if !s.run(24*time.Hour) || len(s.trainer.violations) > 0 {
		t.Fatalf("at step %d: %v", s.trainer.step, s.trainer.violations)
	}
	took := s.trainer.endedAt.Sub(time.Unix(0, 0))
	ages := slices.Sorted(slices.Values(s.trainer.staleness))
	o := simResult{
		idle: s.trainer.idle.Seconds() / took.Seconds(), duration: took, writes: s.writes / opt.steps,
		p50: ages[len(ages)/2], p99: ages[len(ages)*99/100], max: ages[len(ages)-1],
	}
	for _, age := range ages {
		if age > opt.settings.Bound {
			o.overBound++
		}
	}
	return o
}

// The trainer's idle share must be at most a third of the baseline's, with no higher p99
// staleness, no sample over the bound and at most 200 record writes per step.
func TestMachine_IdleTimeAtMostThirdOfBaseline(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		opt := stepOptions(seed)
		baselineOpt := opt
		baselineOpt.newPolicy = newBaseline
		base, got := runSim(t, baselineOpt), runSim(t, opt)
		t.Logf("seed %d baseline: idle %.3f p50 %d p99 %d max %d over %d", seed, base.idle, base.p50, base.p99, base.max, base.overBound)
		t.Logf("seed %d machine:  idle %.3f p50 %d p99 %d max %d over %d, %d writes per step", seed, got.idle, got.p50, got.p99, got.max, got.overBound, got.writes)
		if got.idle > base.idle/3 {
			t.Errorf("idle share %.3f, want at most a third of the baseline's %.3f", got.idle, base.idle)
		}
		if got.p99 > base.p99 || got.overBound > 0 {
			t.Errorf("p99 staleness %d (baseline %d), %d over the bound", got.p99, base.p99, got.overBound)
		}
		if got.writes > 200 {
			t.Errorf("%d writes per step, want at most 200", got.writes)
		}
	}
}

// Freshness 1 must give no higher mean staleness and no lower idle time than freshness 0. If
// OLEANDER_PLOT names a folder, the curve is also written there as a PNG.
func TestFreshness_TradesIdleTimeForStaleness(t *testing.T) {
	var points plotter.XYs
	var labels []string
	for _, freshness := range []float64{0, 0.25, 0.5, 0.75, 1} {
		opt := stepOptions(1)
		opt.settings.Freshness = freshness
		opt.trainTime = 240 * time.Second
		s := newSim(opt)
		if !s.run(24 * time.Hour) {
			t.Fatal("simulation did not finish")
		}
		sum := 0
		for _, age := range s.trainer.staleness {
			sum += age
		}
		mean := float64(sum) / float64(len(s.trainer.staleness))
		idle := s.trainer.idle.Seconds() / s.trainer.endedAt.Sub(time.Unix(0, 0)).Seconds()
		t.Logf("freshness %.2f: idle %.3f, mean staleness %.3f", freshness, idle, mean)
		points = append(points, plotter.XY{X: mean, Y: idle})
		labels = append(labels, fmt.Sprintf("%.2f", freshness))
	}
	if points[len(points)-1].X > points[0].X || points[len(points)-1].Y < points[0].Y {
		t.Errorf("freshness 1 has a higher staleness or a lower idle time than freshness 0: %v", points)
	}
	if dir := os.Getenv("OLEANDER_PLOT"); dir != "" {
		savePlot(t, filepath.Join(dir, "idle-staleness.png"), points, labels)
	}
}

func savePlot(t *testing.T, path string, points plotter.XYs, labels []string) {
	t.Helper()
	p := plot.New()
	p.Title.Text = "Trainer idle share against staleness, by freshness"
	p.X.Label.Text = "mean staleness at delivery, versions"
	p.Y.Label.Text = "idle share of the trainer"
	p.Y.Min, p.X.Min = 0, 0
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		t.Fatal(err)
	}
	names, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: labels})
	if err != nil {
		t.Fatal(err)
	}
	p.Add(plotter.NewGrid(), line, dots, names)
	if err := p.Save(16*vg.Centimeter, 11*vg.Centimeter, path); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkStepOf4096Samples drives the machines of five trainers through one complete step
// each, without engines: every slot is started, makes progress, finishes and is delivered.
func BenchmarkStepOf4096Samples(b *testing.B) {
	const trainers, groups, size = 5, 512, 8
	b.ReportAllocs()
	var bytes uint64
	samples := 0
	for b.Loop() {
		var before, after runtime.MemStats
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&before)
		b.StartTimer()
		machines := make([]*Machine, trainers)
		for i := range machines {
			machines[i] = New(Settings{Bound: 1, Freshness: 0.5, StepSamples: 4096, Scored: true}, 1)
			driveStep(b, machines[i], groups, size)
			samples += groups * size
		}
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&after)
		bytes = max(bytes, after.HeapAlloc-min(after.HeapAlloc, before.HeapAlloc))
		runtime.KeepAlive(machines)
		b.StartTimer()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(samples), "µs/sample")
	b.ReportMetric(float64(bytes)/trainers/(1<<20), "MB/step")
}

// fakeEngines is a Picker with 64 engines of 16 slots.
type fakeEngines struct{ busy int }

func (p *fakeEngines) Pick(model.WeightVersion, model.EndpointID) (model.EndpointID, bool) {
	if p.busy >= 64*16 {
		return "", false
	}
	p.busy++
	return "e", true
}

func (p *fakeEngines) NewestVersion() model.WeightVersion { return 1 }

func driveStep(b *testing.B, m *Machine, groups, size int) {
	now := time.Unix(0, 0)
	if _, err := m.Open(now, StepSpec{Step: 1, Groups: groups, GroupSize: size, Version: 1, Bound: 1}); err != nil {
		b.Fatal(err)
	}
	engines := &fakeEngines{}
	cursor := uint64(0)
	done := false
	pull := func() {
		sequence, _ := m.RecordSequence()
		m.Confirm(sequence)
		if o, _ := m.Pull(now, Pull{Step: 1, Cursor: cursor, Max: 64, Version: 1}); o.State == PullOffer {
			cursor, done = o.Next, o.Done
		}
	}
	for !done {
		now = now.Add(10 * time.Millisecond)
		for _, a := range m.Plan(now, engines, true) {
			m.Progress(now, a.Attempt, 1, 1)
			m.Finished(now, a.Attempt, 200, 1)
			m.Scored(a.Slot, a.Attempt)
			engines.busy--
			pull()
		}
		pull()
	}
}
