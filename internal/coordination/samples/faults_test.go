package samples

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(0, 0)

// opened returns a machine with one open step of groups of one sample each.
func opened(t *testing.T, cfg Settings, groups int) *Machine {
	t.Helper()
	m := New(cfg, 1)
	if _, err := m.Open(start, StepSpec{Step: 1, Groups: groups, GroupSize: 1, Bound: 3, Version: 4}); err != nil {
		t.Fatal(err)
	}
	return m
}

func kinds(actions []Action) []ActionKind {
	var out []ActionKind
	for _, a := range actions {
		out = append(out, a.Kind)
	}
	return out
}

func TestWithoutRoomOnlySlotsThatRanBeforeStart(t *testing.T) {
	m := opened(t, Settings{Bound: 3, StepSamples: 64}, 2)
	first := m.Plan(start, &anyEngine{busy: 64*16 - 1}, true)
	if got := m.Plan(start, &anyEngine{}, false); len(got) != 0 {
		t.Fatalf("started for the first time: %v", got)
	}
	m.Failed(start, first[0].Attempt, FailureBroken, 0, 0)
	got := m.Plan(start.Add(maxRetryDelay), &anyEngine{}, false)
	if len(got) != 1 || got[0].Slot != first[0].Slot {
		t.Fatalf("started %v, want slot %v again", got, first[0].Slot)
	}
}

func TestALowerBoundIsInForceForOpenSteps(t *testing.T) {
	m := opened(t, Settings{Bound: 3, StepSamples: 64}, 2)
	attempts := m.Plan(start, &anyEngine{}, true)
	m.Finished(start, attempts[0].Attempt, 9, 2)
	m.Progress(start, attempts[1].Attempt, 5, 2)
	actions := m.Configure(Settings{Bound: 1, StepSamples: 64})
	if want := []ActionKind{ActionDiscard, ActionCancel, ActionDiscard}; !slices.Equal(kinds(actions), want) {
		t.Fatalf("the lower bound led to %v, want %v", kinds(actions), want)
	}
	if o, _ := m.Pull(start, Pull{Step: 1, Max: 8, Version: 4}); o.State != PullWait {
		t.Fatalf("offered %v", o)
	}
	if e, _ := m.Explain(SlotID{Step: 1}); e.Bound != 1 {
		t.Errorf("explained with the bound %d", e.Bound)
	}
	m.Configure(Settings{Bound: 9, StepSamples: 64})
	if e, _ := m.Explain(SlotID{Step: 1}); e.Bound != 3 {
		t.Errorf("a higher setting raised the open step's bound to %d", e.Bound)
	}
}
