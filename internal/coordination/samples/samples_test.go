package samples

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func smallOptions() simOptions {
	return simOptions{
		engines: 3, slots: 8, rate: 50, median: 200, groups: 6, size: 4, steps: 3, batchMax: 8,
		trainTime: 10 * time.Second, versionEvery: 120 * time.Second, swapSpread: 10 * time.Second,
		settings: Settings{Bound: 2, Freshness: 0.5, StepSamples: 4096},
	}
}

func TestEachSlotIsDeliveredOnceTrueAndFreshUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opt := smallOptions()
		opt.seed = rapid.Uint64Range(0, 1<<20).Draw(rt, "seed")
		opt.settings.Bound = rapid.IntRange(1, 3).Draw(rt, "bound")
		opt.settings.Freshness = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "freshness")
		opt.openAhead = rapid.Bool().Draw(rt, "open ahead")
		opt.breaks = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "breaks")
		opt.doubts = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "doubts")
		opt.lostAnswers = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "lost answers")
		opt.lostWrites = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "lost writes")
		opt.failedSwaps = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "failed swaps")
		if rapid.Bool().Draw(rt, "crashes") {
			opt.crashEvery = 150 * time.Second
		}
		s := newSim(opt)
		if !s.run(3 * time.Hour) {
			rt.Fatalf("the steps did not end: at step %d cursor %d", s.trainer.step, s.trainer.cursor)
		}
		if len(s.trainer.wrong) > 0 {
			rt.Fatalf("%v", s.trainer.wrong)
		}
		if want := opt.steps * opt.groups * opt.size; len(s.trainer.seen) != want {
			rt.Fatalf("%d slots delivered of %d", len(s.trainer.seen), want)
		}
	})
}
