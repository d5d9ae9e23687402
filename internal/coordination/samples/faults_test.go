package samples

import (
	"errors"
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

func confirm(m *Machine) {
	sequence, _ := m.Pending()
	m.Confirm(sequence)
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

func TestAPullBelowTheAcknowledgedCursorIsRefused(t *testing.T) {
	m := opened(t, Settings{Bound: 3, StepSamples: 64}, 2)
	for _, a := range m.Plan(start, &anyEngine{}, true) {
		m.Finished(start, a.Attempt, 9, 4)
	}
	for cursor := range uint64(2) {
		m.Pull(start, Pull{Step: 1, Cursor: cursor, Max: 1, Version: 4})
		confirm(m)
		if o, _ := m.Pull(start, Pull{Step: 1, Cursor: cursor, Max: 1, Version: 4}); o.State != PullOffer {
			t.Fatalf("cursor %d: %v", cursor, o)
		}
	}
	if o, _ := m.Pull(start, Pull{Step: 1, Cursor: 0, Max: 1, Version: 4}); o.State != PullConflict {
		t.Fatalf("state %v for a cursor whose batch arrived", o.State)
	}
}

func TestAPullWithABadCursorClosesNoStep(t *testing.T) {
	m := opened(t, Settings{Bound: 3, StepSamples: 64}, 2)
	if _, err := m.Open(start, StepSpec{Step: 2, Groups: 1, GroupSize: 1, Bound: 3, Version: 4}); err != nil {
		t.Fatal(err)
	}
	if o, _ := m.Pull(start, Pull{Step: 2, Cursor: 5, Max: 8, Version: 4}); o.State != PullConflict {
		t.Fatalf("got %v", o)
	}
	if _, open := m.Explain(SlotID{Step: 1}); !open {
		t.Fatal("the refused pull closed step 1")
	}
}

func TestAThirdStepIsRefusedUntilTheOldestIsWhole(t *testing.T) {
	m := opened(t, Settings{Bound: 3, StepSamples: 64}, 1)
	next := func(step uint64) error {
		_, err := m.Open(start, StepSpec{Step: step, Groups: 1, GroupSize: 1, Bound: 3, Version: 4})
		return err
	}
	if err := next(2); err != nil {
		t.Fatal(err)
	}
	if err := next(3); !errors.Is(err, ErrStepsOpen) {
		t.Fatalf("got %v while step 1 is pulled", err)
	}
	m.Finished(start, m.Plan(start, &anyEngine{}, true)[0].Attempt, 9, 4)
	m.Pull(start, Pull{Step: 1, Max: 8, Version: 4})
	if err := next(3); err != nil {
		t.Fatalf("got %v once step 1 is whole", err)
	}
}

func TestAnAttemptInItsEnginesQueueIsNotMovedForItsSpeed(t *testing.T) {
	m := opened(t, Settings{Bound: 3, StepSamples: 64}, 2)
	attempts := m.Plan(start, &anyEngine{}, true)
	m.Finished(start.Add(time.Second), attempts[0].Attempt, 1000, 4)
	if got := m.Tick(start.Add(moveAfter + time.Second)); len(got) != 0 {
		t.Fatalf("moved before its first token: %v", got)
	}
	m.Progress(start.Add(stallTime-time.Second), attempts[1].Attempt, 1, 4)
	if got := m.Tick(start.Add(stallTime)); len(got) != 0 {
		t.Fatalf("moved a second after its first token: %v", got)
	}
	if got := m.Tick(start.Add(stallTime + moveAfter)); len(got) != 1 {
		t.Fatalf("a slow attempt is not moved: %v", got)
	}
}

func TestASampleThatIsTooLongForItsBoundIsReportedOnceAStep(t *testing.T) {
	m := opened(t, Settings{Bound: 3, StepSamples: 64}, 2)
	var reports []Action
	version := m.Version()
	for range 5 {
		for _, a := range m.Plan(start, &anyEngine{}, true) {
			m.Progress(start, a.Attempt, 5, version)
		}
		version += 4
		for _, a := range m.SetVersion(start, version) {
			if a.Kind == ActionReport {
				reports = append(reports, a)
			}
		}
	}
	if len(reports) != 1 || reports[0].Report != ReportOverBound {
		t.Fatalf("reported %v", reports)
	}
	if got := m.Counts().OverBound; got != 2*3 {
		t.Fatalf("%d attempts counted over the bound, want those from the third on", got)
	}
}

func TestASlotThatMayBreakEnginesIsReportedOnceAStep(t *testing.T) {
	m := opened(t, Settings{Bound: 3, StepSamples: 64}, 1)
	reports := 0
	for i := range 6 {
		now := start.Add(time.Duration(i) * 2 * suspectDelay)
		a := m.Plan(now, &anyEngine{}, true)[0]
		for _, r := range m.Failed(now, a.Attempt, FailureBroken, 0, 0) {
			if r.Kind == ActionReport && r.Report == ReportSuspect {
				reports++
			}
		}
	}
	if reports != 1 || m.Counts().Suspect != 3 {
		t.Fatalf("%d reports, %d counted", reports, m.Counts().Suspect)
	}
}
