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

func TestAStepEndsWithoutTheSpareGroupsThatTheTrainerOffers(t *testing.T) {
	m := New(Settings{Bound: 1, SpareGroups: 0.5, StepSamples: 64}, 1)
	now := time.Unix(0, 0)
	if _, err := m.Open(now, StepSpec{Step: 1, Groups: 3, GroupSize: 1, Needed: 1, Bound: 1, Version: 1}); err != nil {
		t.Fatal(err)
	}
	starts := m.Plan(now, &anyEngine{}, true)
	for _, a := range starts[:2] {
		m.Finished(now, a.Attempt, 10, 1)
	}
	p := Pull{Step: 1, Max: 8, Version: 1}
	_, actions := m.Pull(now, p)
	if len(actions) != 2 || actions[0].Kind != ActionCancel || actions[0].Attempt != starts[2].Attempt {
		t.Fatalf("the spare group was not cancelled: %v", actions)
	}
	sequence, _ := m.Pending()
	m.Confirm(sequence)
	if o, _ := m.Pull(now, p); !o.Done || len(o.Slots) != 2 {
		t.Fatalf("got %v", o)
	}
	if dropped := m.Counts().DroppedBy; dropped.Total() != 1 {
		t.Fatalf("dropped %v", dropped)
	}
}

// TestTheNaiveOwnerDeliversTwice shows that the harness sees the fault it is for: an
// owner that offers before its record is confirmed delivers slots again after a crash.
func TestTheNaiveOwnerDeliversTwice(t *testing.T) {
	opt := smallOptions()
	opt.crashEvery = 60 * time.Second
	opt.fresh = func(c Settings, e model.Epoch) policy { return unconfirmed{New(c, e)} }
	opt.writeDelay = 30 * time.Second
	for seed := range uint64(20) {
		opt.seed = seed
		s := newSim(opt)
		s.run(time.Hour)
		if slices.Contains(s.trainer.wrong, "slot delivered again") || slices.Contains(s.trainer.wrong, "cursor refused") {
			return
		}
	}
	t.Fatal("no run showed the fault")
}

// unconfirmed is a Machine that does not wait for its record.
type unconfirmed struct{ *Machine }

func (u unconfirmed) Pull(now time.Time, p Pull) (Offer, []Action) {
	u.Machine.Confirm(u.sequence + 1)
	o, actions := u.Machine.Pull(now, p)
	u.confirmed = 0
	return o, actions
}

func TestASampleWhoseEngineGivesNoTokensIsResumedElsewhere(t *testing.T) {
	m := New(Settings{Bound: 1, StepSamples: 64}, 1)
	now := time.Unix(0, 0)
	if _, err := m.Open(now, StepSpec{Step: 1, Groups: 1, GroupSize: 1, Bound: 1, Version: 1}); err != nil {
		t.Fatal(err)
	}
	first := m.Plan(now, &anyEngine{}, true)[0]
	m.Progress(now, first.Attempt, 7, 1)
	if got := m.Tick(now.Add(stallTime - time.Second)); len(got) != 0 {
		t.Fatalf("moved too early: %v", got)
	}
	late := now.Add(stallTime)
	if got := m.Tick(late); len(got) != 1 || got[0].Kind != ActionCancel {
		t.Fatalf("not cancelled: %v", got)
	}
	if got := m.Plan(late, &anyEngine{}, true); len(got) != 1 || got[0].Prefix != 7 {
		t.Fatalf("not resumed after its tokens: %v", got)
	}
}
