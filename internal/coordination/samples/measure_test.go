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

// stepOptions is a step of 4,096 samples with a heavy tail: 1% of the samples are 20
// times the median, and a version comes every 2 minutes.
func stepOptions(seed uint64) simOptions {
	return simOptions{
		seed: seed, engines: 64, slots: 16, rate: 50, median: 200, groups: 512, size: 8, steps: 12, batchMax: 64,
		trainTime: 100 * time.Second, versionEvery: 120 * time.Second, swapSpread: 28 * time.Second,
		openAhead: true, settings: Settings{Bound: 2, Freshness: 0.5, StepSamples: 4096},
	}
}

// outcome is what a run shows.
type outcome struct {
	idle          float64
	p50, p99, max int
	over, writes  int
	took          time.Duration
}

func play(t testing.TB, opt simOptions) outcome {
	t.Helper()
	s := newSim(opt)
	if !s.run(24*time.Hour) || len(s.trainer.wrong) > 0 {
		t.Fatalf("at step %d: %v", s.trainer.step, s.trainer.wrong)
	}
	took := s.trainer.end.Sub(time.Unix(0, 0))
	ages := slices.Sorted(slices.Values(s.trainer.staleness))
	o := outcome{
		idle: s.trainer.idle.Seconds() / took.Seconds(), took: took, writes: s.writes / opt.steps,
		p50: ages[len(ages)/2], p99: ages[len(ages)*99/100], max: ages[len(ages)-1],
	}
	for _, age := range ages {
		if age > opt.settings.Bound {
			o.over++
		}
	}
	return o
}

func TestIdleTimeIsAThirdOfTheBaselinesAtNoOlderSamples(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		opt := stepOptions(seed)
		plain := opt
		plain.fresh = newBaseline
		base, got := play(t, plain), play(t, opt)
		t.Logf("seed %d baseline: idle %.3f p50 %d p99 %d max %d over %d", seed, base.idle, base.p50, base.p99, base.max, base.over)
		t.Logf("seed %d machine:  idle %.3f p50 %d p99 %d max %d over %d, %d writes a step", seed, got.idle, got.p50, got.p99, got.max, got.over, got.writes)
		if got.idle > base.idle/3 {
			t.Errorf("idle %.3f, the baseline's is %.3f", got.idle, base.idle)
		}
		if got.p99 > base.p99 || got.over > 0 {
			t.Errorf("p99 staleness %d (baseline %d), %d over the bound", got.p99, base.p99, got.over)
		}
		if got.writes > 200 {
			t.Errorf("%d writes a step", got.writes)
		}
	}
}

// TestDrawTheCurveOfIdleTimeAgainstStaleness writes the picture when OLEANDER_PLOT
// names a folder; it always checks that freshness orders the mean staleness.
func TestDrawTheCurveOfIdleTimeAgainstStaleness(t *testing.T) {
	var points plotter.XYs
	var labels []string
	for _, freshness := range []float64{0, 0.25, 0.5, 0.75, 1} {
		opt := stepOptions(1)
		opt.settings.Freshness = freshness
		opt.trainTime = 240 * time.Second
		s := newSim(opt)
		if !s.run(24 * time.Hour) {
			t.Fatal("not done")
		}
		sum := 0
		for _, age := range s.trainer.staleness {
			sum += age
		}
		mean := float64(sum) / float64(len(s.trainer.staleness))
		idle := s.trainer.idle.Seconds() / s.trainer.end.Sub(time.Unix(0, 0)).Seconds()
		t.Logf("freshness %.2f: idle %.3f, mean staleness %.3f", freshness, idle, mean)
		points = append(points, plotter.XY{X: mean, Y: idle})
		labels = append(labels, fmt.Sprintf("%.2f", freshness))
	}
	if points[len(points)-1].X > points[0].X || points[len(points)-1].Y < points[0].Y {
		t.Errorf("the freshest setting is not fresher and idler than the busiest: %v", points)
	}
	if dir := os.Getenv("OLEANDER_PLOT"); dir != "" {
		draw(t, filepath.Join(dir, "idle-staleness.png"), points, labels)
	}
}

func draw(t *testing.T, path string, points plotter.XYs, labels []string) {
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

// BenchmarkStepOf4096Samples drives the machine alone through whole steps of five
// trainers: every slot is started, makes progress, ends and is delivered.
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

// anyEngine is a Picker with 64 engines of 16 slots.
type anyEngine struct{ busy int }

func (p *anyEngine) Pick(model.WeightVersion, model.EndpointID) (model.EndpointID, bool) {
	if p.busy >= 64*16 {
		return "", false
	}
	p.busy++
	return "e", true
}

func (p *anyEngine) Newest() model.WeightVersion { return 1 }

func driveStep(b *testing.B, m *Machine, groups, size int) {
	now := time.Unix(0, 0)
	if _, err := m.Open(now, StepSpec{Step: 1, Groups: groups, GroupSize: size, Version: 1, Bound: 1}); err != nil {
		b.Fatal(err)
	}
	engines := &anyEngine{}
	cursor := uint64(0)
	done := false
	pull := func() {
		sequence, _ := m.Pending()
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
