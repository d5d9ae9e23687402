package control

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/gossip"
)

func testConfig(hosts int) *model.Config {
	c := &model.Config{Hosts: map[model.HostID]model.Host{}}
	for i := range hosts {
		c.Hosts[model.HostID(fmt.Sprintf("h%d", i))] = model.Host{Entry: fmt.Sprintf("entry-%d", i)}
	}
	return c
}

func statesOf(v *model.FleetView) string {
	out := ""
	for _, m := range v.Members {
		out += fmt.Sprintf("%s=%s ", m.Host, m.State)
	}
	return out
}

// Configured hosts without a membership record count as alive right after the start, so
// that a host that has not joined yet does not list the whole fleet as dead. Later they
// count as dead.
func TestComposeView_UnknownHostsAliveAfterStart(t *testing.T) {
	s := viewSources{config: testConfig(2), state: &gossip.State{Records: []members.Record{{Host: "h0", Incarnation: 1}}}, assumeUnknownAlive: true}
	if got := statesOf(composeView(s)); got != "h0=alive h1=alive " {
		t.Errorf("right after the start: %s", got)
	}
	s.assumeUnknownAlive = false
	if got := statesOf(composeView(s)); got != "h0=alive h1=dead " {
		t.Errorf("later: %s", got)
	}
}

// The readiness of entry programs is taken from the membership records. A host whose entry
// program has not reported for entryReportTimeout counts as not ready.
func TestEntryReadiness_ExpiresWithoutReports(t *testing.T) {
	state := &gossip.State{Records: []members.Record{{Host: "h0", Incarnation: 1}, {Host: "h1", Incarnation: 1, EntryNotReady: true}}}
	v := composeView(viewSources{config: testConfig(2), state: state})
	if v.Members[0].EntryNotReady || !v.Members[1].EntryNotReady {
		t.Errorf("members %+v", v.Members)
	}
	s := &service{gossip: gossip.New(gossip.Options{Heartbeat: time.Second}), log: slog.New(slog.DiscardHandler), stopping: map[string]bool{}, demands: demandFilter{last: map[string]sentDemands{}}}
	if err := s.report(wire.Report{Program: wire.EntryProgram, NotReady: true}); err != nil || s.entryReady {
		t.Errorf("after a report of a program that is not ready: ready %v, err %v", s.entryReady, err)
	}
	if err := s.report(wire.Report{Program: wire.EntryProgram}); err != nil || !s.entryReady {
		t.Errorf("after a report of a ready program: ready %v, err %v", s.entryReady, err)
	}
	reported := s.entryReportedAt
	s.expireEntryReport(t.Context(), reported.Add(entryReportTimeout))
	if !s.entryReady {
		t.Error("readiness expired too early")
	}
	s.expireEntryReport(t.Context(), reported.Add(entryReportTimeout+time.Second))
	if s.entryReady {
		t.Error("a silent entry program still counts as ready")
	}
}

// A host is listed as draining, written "leaving", if it announced that it is leaving or has
// a drain in force, but a dead host stays dead. Hosts with a record that are not configured
// are listed too.
func TestComposeView_MemberStates(t *testing.T) {
	s := viewSources{config: testConfig(4), state: &gossip.State{
		Records: []members.Record{
			{Host: "h0", Incarnation: 1, Leaving: true},
			{Host: "h1", Incarnation: 1, State: members.Suspect},
			{Host: "h2", Incarnation: 1},
			{Host: "h3", Incarnation: 1, State: members.Dead},
			{Host: "new", Incarnation: 1},
		},
		Drains: []items.Item{drains.OperatorItem(drains.Target{Host: "h2"}, 0, false, 1), drains.OperatorItem(drains.Target{Host: "h3"}, 0, false, 1)},
	}}
	v := composeView(s)
	if got := statesOf(v); got != "h0=leaving h1=suspect h2=leaving h3=dead new=alive " {
		t.Errorf("states: %s", got)
	}
	if v.Members[1].Entry != "entry-1" {
		t.Errorf("entry address %q", v.Members[1].Entry)
	}
}

// Quarantined requests are omitted once their time has passed, and endpoints that were
// reported unreachable have no load entry.
func TestComposeView_OmitsExpiredAndUnreached(t *testing.T) {
	v := composeView(viewSources{state: &gossip.State{
		Quarantine: []items.Item{
			{Key: "1", AgeMillis: 4000, Quarantine: &items.QuarantineFact{Fingerprint: 1, RemainingMillis: 5000}},
			{Key: "2", AgeMillis: 6000, Quarantine: &items.QuarantineFact{Fingerprint: 2, RemainingMillis: 5000}},
		},
		Loads: []items.Item{
			{Key: "up", Load: &items.LoadFact{Running: 2}, AgeMillis: 700},
			{Key: "down", Load: &items.LoadFact{Unreachable: true}},
		},
		Demands: []items.Item{{Key: "h1/entry", Demand: []items.DemandFact{{Caller: "shop", PerSecond: 3}}}},
	}})
	if len(v.Quarantine) != 1 || v.Quarantine[0].Remaining != time.Second {
		t.Errorf("quarantine %+v", v.Quarantine)
	}
	if len(v.Loads) != 1 || v.Loads[0].Age != 700*time.Millisecond {
		t.Errorf("loads %+v", v.Loads)
	}
	if len(v.Demands) != 1 || v.Demands[0].Host != "h1" || v.Demands[0].PerSecond != 3 {
		t.Errorf("demands %+v", v.Demands)
	}
}

// The wall clock steps back: the demand sent after that must replace the one before, or all hosts ignore it until the
// clock has caught up.
func TestDemandFilter_ReplacesAfterClockStepBack(t *testing.T) {
	d := demandFilter{last: map[string]sentDemands{}}
	sentAt, last := time.Now().Add(-time.Hour), uint64(0)
	for i := range 3 {
		now := time.Now().Round(0).Add(-time.Duration(i) * time.Minute) // each is earlier by the wall clock
		list := d.takeDueItems(now, wire.Report{Host: "h1", Program: "entry", Demands: []model.CallerDemand{{Caller: "shop", PerSecond: 3}}})
		if len(list) != 1 || list[0].Version <= last {
			t.Fatalf("report %d: %+v, want a version above %d", i, list, last)
		}
		last = list[0].Version
		sent := d.last["entry"]
		sent.sentAt = sentAt // long ago by the monotonic clock
		d.last["entry"] = sent
	}
}

// Demands are sent when they change by more than a quarter, but not before
// minDemandInterval, and again after maxDemandInterval.
func TestDemandFilter_SendsChangedOrOld(t *testing.T) {
	d := demandFilter{last: map[string]sentDemands{}}
	now := time.Unix(1000, 0)
	sent := func(after time.Duration, perSecond float64) bool {
		now = now.Add(after)
		r := wire.Report{Host: "h1", Program: "entry", Demands: []model.CallerDemand{{Caller: "shop", PerSecond: perSecond}}}
		return len(d.takeDueItems(now, r)) == 1
	}
	for _, step := range []struct {
		name      string
		after     time.Duration
		perSecond float64
		want      bool
	}{
		{"first", 0, 10, true},
		{"change before the minimum interval", time.Second, 40, false},
		{"change", minDemandInterval, 40, true},
		{"small change", minDemandInterval, 44, false},
		{"small change after the maximum interval", maxDemandInterval, 44, true},
	} {
		if got := sent(step.after, step.perSecond); got != step.want {
			t.Errorf("%s: sent %v", step.name, got)
		}
	}
}
