package samples

import (
	"errors"
	"slices"
	"testing"
	"time"
)

var testStart = time.Unix(0, 0)

// newOpenMachine returns a machine with one open step of groups of one sample each.
func newOpenMachine(t *testing.T, cfg Settings, groups int) *Machine {
	t.Helper()
	m := New(cfg, 1)
	if _, err := m.Open(testStart, StepSpec{Step: 1, Groups: groups, GroupSize: 1, Bound: 3, Version: 4}); err != nil {
		t.Fatal(err)
	}
	return m
}

func confirmPending(m *Machine) {
	sequence, _ := m.RecordSequence()
	m.Confirm(sequence)
}

func actionKinds(actions []Action) []ActionKind {
	var out []ActionKind
	for _, a := range actions {
		out = append(out, a.Kind)
	}
	return out
}

// Without memory for new content, a slot whose attempt broke must still be retried, since the
// trainer may be waiting for it, while a slot that has not run yet must not start.
func TestPlan_WithoutMemoryStartsOnlyRetries(t *testing.T) {
	m := newOpenMachine(t, Settings{Bound: 3, StepSamples: 64}, 2)
	first := m.Plan(testStart, &fakeEngines{busy: 64*16 - 1}, true)
	if got := m.Plan(testStart, &fakeEngines{}, false); len(got) != 0 {
		t.Fatalf("started new slots without memory for new content: %v", got)
	}
	m.Failed(testStart, first[0].Attempt, FailureBroken, 0, 0)
	got := m.Plan(testStart.Add(maxRetryDelay), &fakeEngines{}, false)
	if len(got) != 1 || got[0].Slot != first[0].Slot {
		t.Fatalf("started %v, want a retry of slot %v", got, first[0].Slot)
	}
}

// A lowered staleness bound applies to open steps immediately: finished and running samples that
// exceed it are dropped. When it is raised again, an open step must keep at most the bound with
// which it was opened.
func TestConfigure_LowerBoundAppliesToOpenSteps(t *testing.T) {
	m := newOpenMachine(t, Settings{Bound: 3, StepSamples: 64}, 2)
	attempts := m.Plan(testStart, &fakeEngines{}, true)
	m.Finished(testStart, attempts[0].Attempt, 9, 2)
	m.Progress(testStart, attempts[1].Attempt, 5, 2)
	actions := m.Configure(Settings{Bound: 1, StepSamples: 64})
	if want := []ActionKind{ActionDiscard, ActionCancel, ActionDiscard}; !slices.Equal(actionKinds(actions), want) {
		t.Fatalf("actions after lowering the bound: %v, want %v", actionKinds(actions), want)
	}
	if o, _ := m.Pull(testStart, Pull{Step: 1, Max: 8, Version: 4}); o.State != PullWait {
		t.Fatalf("pull after lowering the bound: got %v, want PullWait", o)
	}
	if e, _ := m.Explain(SlotID{Step: 1}); e.Bound != 1 {
		t.Errorf("bound of the open step = %d, want 1", e.Bound)
	}
	m.Configure(Settings{Bound: 9, StepSamples: 64})
	if e, _ := m.Explain(SlotID{Step: 1}); e.Bound != 3 {
		t.Errorf("bound of the open step after raising the setting = %d, want 3", e.Bound)
	}
}

// A batch may be pulled again until a later cursor acknowledges it. After that its content is
// released, so the earlier cursor must be rejected.
func TestPull_AcknowledgedCursorIsRejected(t *testing.T) {
	m := newOpenMachine(t, Settings{Bound: 3, StepSamples: 64}, 2)
	for _, a := range m.Plan(testStart, &fakeEngines{}, true) {
		m.Finished(testStart, a.Attempt, 9, 4)
	}
	for cursor := range uint64(2) {
		m.Pull(testStart, Pull{Step: 1, Cursor: cursor, Max: 1, Version: 4})
		confirmPending(m)
		if o, _ := m.Pull(testStart, Pull{Step: 1, Cursor: cursor, Max: 1, Version: 4}); o.State != PullOffer {
			t.Fatalf("repeated pull at cursor %d: got %v, want PullOffer", cursor, o)
		}
	}
	if o, _ := m.Pull(testStart, Pull{Step: 1, Cursor: 0, Max: 1, Version: 4}); o.State != PullConflict {
		t.Fatalf("pull at an acknowledged cursor: got state %v, want PullConflict", o.State)
	}
}

// A valid pull closes the earlier steps. One with an invalid cursor is rejected and must leave
// them open.
func TestPull_InvalidCursorClosesNoStep(t *testing.T) {
	m := newOpenMachine(t, Settings{Bound: 3, StepSamples: 64}, 2)
	if _, err := m.Open(testStart, StepSpec{Step: 2, Groups: 1, GroupSize: 1, Bound: 3, Version: 4}); err != nil {
		t.Fatal(err)
	}
	if o, _ := m.Pull(testStart, Pull{Step: 2, Cursor: 5, Max: 8, Version: 4}); o.State != PullConflict {
		t.Fatalf("pull with an invalid cursor: got %v, want PullConflict", o)
	}
	if _, open := m.Explain(SlotID{Step: 1}); !open {
		t.Fatal("the rejected pull closed step 1")
	}
}

// At most two steps may be open. Opening a third closes the oldest, which must therefore be
// complete.
func TestOpen_ThirdStepRejectedUntilOldestComplete(t *testing.T) {
	m := newOpenMachine(t, Settings{Bound: 3, StepSamples: 64}, 1)
	open := func(step uint64) error {
		_, err := m.Open(testStart, StepSpec{Step: step, Groups: 1, GroupSize: 1, Bound: 3, Version: 4})
		return err
	}
	if err := open(2); err != nil {
		t.Fatal(err)
	}
	if err := open(3); !errors.Is(err, ErrTooManyOpenSteps) {
		t.Fatalf("open step 3 while step 1 is incomplete: got %v, want ErrTooManyOpenSteps", err)
	}
	m.Finished(testStart, m.Plan(testStart, &fakeEngines{}, true)[0].Attempt, 9, 4)
	m.Pull(testStart, Pull{Step: 1, Max: 8, Version: 4})
	if err := open(3); err != nil {
		t.Fatalf("open step 3 after step 1 is complete: %v", err)
	}
}

// The speed of an attempt counts from its first token: time in the engine's queue must not
// make the engine look slow. It may move once minMoveAge has passed since the first token.
func TestTick_QueuedAttemptIsNotMoved(t *testing.T) {
	m := newOpenMachine(t, Settings{Bound: 3, StepSamples: 64}, 2)
	attempts := m.Plan(testStart, &fakeEngines{}, true)
	m.Finished(testStart.Add(time.Second), attempts[0].Attempt, 1000, 4)
	if got := m.Tick(testStart.Add(minMoveAge + time.Second)); len(got) != 0 {
		t.Fatalf("moved before its first token: %v", got)
	}
	m.Progress(testStart.Add(stallTimeout-time.Second), attempts[1].Attempt, 1, 4)
	if got := m.Tick(testStart.Add(stallTimeout)); len(got) != 0 {
		t.Fatalf("moved 1 s after its first token: %v", got)
	}
	if got := m.Tick(testStart.Add(stallTimeout + minMoveAge)); len(got) != 1 {
		t.Fatalf("slow attempt not moved: %v", got)
	}
}

// A sample that repeatedly exceeds the bound is counted from the third attempt on, but
// reported only once per step: further reports would tell the operators nothing new.
func TestProblemOverBound_ReportedOncePerStep(t *testing.T) {
	m := newOpenMachine(t, Settings{Bound: 3, StepSamples: 64}, 2)
	var reports []Action
	version := m.Version()
	for range 5 {
		for _, a := range m.Plan(testStart, &fakeEngines{}, true) {
			m.Progress(testStart, a.Attempt, 5, version)
		}
		version += 4
		for _, a := range m.SetVersion(testStart, version) {
			if a.Kind == ActionReport {
				reports = append(reports, a)
			}
		}
	}
	if len(reports) != 1 || reports[0].Problem != ProblemOverBound {
		t.Fatalf("reports: %v, want one with ProblemOverBound", reports)
	}
	if got := m.Counts().OverBound; got != 2*3 {
		t.Fatalf("OverBound = %d, want only the attempts from the third on", got)
	}
}

// A slot whose attempts always break without tokens is counted as suspect from the fourth
// attempt on, but reported only once per step.
func TestProblemSuspect_ReportedOncePerStep(t *testing.T) {
	m := newOpenMachine(t, Settings{Bound: 3, StepSamples: 64}, 1)
	reports := 0
	for i := range 6 {
		now := testStart.Add(time.Duration(i) * 2 * suspectDelay)
		a := m.Plan(now, &fakeEngines{}, true)[0]
		for _, r := range m.Failed(now, a.Attempt, FailureBroken, 0, 0) {
			if r.Kind == ActionReport && r.Problem == ProblemSuspect {
				reports++
			}
		}
	}
	if reports != 1 || m.Counts().Suspect != 3 {
		t.Fatalf("%d reports and Suspect = %d, want 1 and 3", reports, m.Counts().Suspect)
	}
}
