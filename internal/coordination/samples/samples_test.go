package samples

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

func smallOptions() simOptions {
	return simOptions{
		engines: 3, slots: 8, rate: 50, median: 200, groups: 6, size: 4, steps: 3, batchMax: 8,
		trainTime: 10 * time.Second, versionInterval: 120 * time.Second, swapSpread: 10 * time.Second,
		settings: Settings{Bound: 2, Freshness: 0.5, StepSamples: 4096},
	}
}

// Broken streams, uncertain versions, lost answers and writes, failed weight swaps and owner
// crashes must not make a slot be delivered twice, with wrong spans, or over the bound, and
// must not keep a step from completing.
func TestMachine_DeliversEachSlotOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opt := smallOptions()
		opt.seed = rapid.Uint64Range(0, 1<<20).Draw(rt, "seed")
		opt.settings.Bound = rapid.IntRange(1, 3).Draw(rt, "bound")
		opt.settings.Freshness = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "freshness")
		opt.openAhead = rapid.Bool().Draw(rt, "open ahead")
		opt.brokenStreams = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "broken streams")
		opt.uncertainVersions = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "uncertain versions")
		opt.lostAnswers = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "lost answers")
		opt.lostWrites = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "lost writes")
		opt.failedSwaps = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "failed swaps")
		if rapid.Bool().Draw(rt, "crashes") {
			opt.crashInterval = 150 * time.Second
		}
		s := newSim(opt)
		if !s.run(3 * time.Hour) {
			rt.Fatalf("simulation did not finish: at step %d cursor %d", s.trainer.step, s.trainer.cursor)
		}
		if len(s.trainer.violations) > 0 {
			rt.Fatalf("%v", s.trainer.violations)
		}
		if want := opt.steps * opt.groups * opt.size; len(s.trainer.delivered) != want {
			rt.Fatalf("delivered %d of %d slots", len(s.trainer.delivered), want)
		}
	})
}

// A step with spare groups must complete with the first groups that are ready instead of
// waiting for the slowest; the remaining group is cancelled and counted as dropped.
func TestPull_CompletesWithoutSpareGroups(t *testing.T) {
	m := New(Settings{Bound: 1, SpareGroups: 0.5, StepSamples: 64}, 1)
	now := time.Unix(0, 0)
	if _, err := m.Open(now, StepSpec{Step: 1, Groups: 3, GroupSize: 1, Needed: 1, Bound: 1, Version: 1}); err != nil {
		t.Fatal(err)
	}
	starts := m.Plan(now, &fakeEngines{}, true)
	for _, a := range starts[:2] {
		m.Finished(now, a.Attempt, 10, 1)
	}
	p := Pull{Step: 1, Max: 8, Version: 1}
	_, actions := m.Pull(now, p)
	if len(actions) != 2 || actions[0].Kind != ActionCancel || actions[0].Attempt != starts[2].Attempt {
		t.Fatalf("spare group not cancelled: %v", actions)
	}
	sequence, _ := m.RecordSequence()
	m.Confirm(sequence)
	if o, _ := m.Pull(now, p); !o.Done || len(o.Slots) != 2 {
		t.Fatalf("got %v, want a complete offer of 2 slots", o)
	}
	if dropped := m.Counts().DroppedByLength; dropped.Total() != 1 {
		t.Fatalf("dropped lengths %v, want one sample", dropped)
	}
}

// Proves that the simulation detects the fault it is meant for: an owner that offers a batch
// before its record is confirmed delivers slots again after a crash.
func TestSim_DetectsOffersBeforeConfirmation(t *testing.T) {
	opt := smallOptions()
	opt.crashInterval = 60 * time.Second
	opt.newPolicy = func(c Settings, e model.Epoch) policy { return unconfirmedMachine{New(c, e)} }
	opt.writeDelay = 30 * time.Second
	for seed := range uint64(20) {
		opt.seed = seed
		s := newSim(opt)
		s.run(time.Hour)
		if slices.Contains(s.trainer.violations, "slot delivered again") || slices.Contains(s.trainer.violations, "cursor refused") {
			return
		}
	}
	t.Fatal("no seed revealed the duplicate delivery")
}

// unconfirmedMachine is a Machine that offers batches before their record is confirmed.
type unconfirmedMachine struct{ *Machine }

func (u unconfirmedMachine) Pull(now time.Time, p Pull) (Offer, []Action) {
	u.Machine.Confirm(u.sequence + 1)
	o, actions := u.Machine.Pull(now, p)
	u.confirmed = 0
	return o, actions
}

// An engine that hangs must not hold up the step: after stallTimeout without a token the
// attempt is cancelled, and the sample is resumed after the tokens it already has.
func TestTick_StalledAttemptIsResumed(t *testing.T) {
	m := New(Settings{Bound: 1, StepSamples: 64}, 1)
	now := time.Unix(0, 0)
	if _, err := m.Open(now, StepSpec{Step: 1, Groups: 1, GroupSize: 1, Bound: 1, Version: 1}); err != nil {
		t.Fatal(err)
	}
	first := m.Plan(now, &fakeEngines{}, true)[0]
	m.Progress(now, first.Attempt, 7, 1)
	if got := m.Tick(now.Add(stallTimeout - time.Second)); len(got) != 0 {
		t.Fatalf("moved too early: %v", got)
	}
	late := now.Add(stallTimeout)
	if got := m.Tick(late); len(got) != 1 || got[0].Kind != ActionCancel {
		t.Fatalf("stalled attempt not cancelled: %v", got)
	}
	if got := m.Plan(late, &fakeEngines{}, true); len(got) != 1 || got[0].Prefix != 7 {
		t.Fatalf("not resumed after its 7 tokens: %v", got)
	}
}
