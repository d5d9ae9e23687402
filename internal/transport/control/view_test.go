package control

import (
	"fmt"
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

func TestUnheardOfHostsAreAliveOnlyRightAfterTheStart(t *testing.T) {
	s := sources{config: testConfig(2), state: &gossip.State{Records: []members.Record{{Host: "h0", Incarnation: 1}}}, trustUnknown: true}
	if got := statesOf(compose(s)); got != "h0=alive h1=alive " {
		t.Errorf("after the start: %s", got)
	}
	s.trustUnknown = false
	if got := statesOf(compose(s)); got != "h0=alive h1=dead " {
		t.Errorf("later: %s", got)
	}
}

func TestMembersShowLeavingSuspectAndDrainedHosts(t *testing.T) {
	s := sources{config: testConfig(4), state: &gossip.State{
		Records: []members.Record{
			{Host: "h0", Incarnation: 1, Leaving: true},
			{Host: "h1", Incarnation: 1, State: members.Suspect},
			{Host: "h2", Incarnation: 1},
			{Host: "h3", Incarnation: 1, State: members.Dead},
			{Host: "new", Incarnation: 1},
		},
		Drains: []items.Item{drains.OperatorItem(drains.Target{Host: "h2"}, 0, false, 1), drains.OperatorItem(drains.Target{Host: "h3"}, 0, false, 1)},
	}}
	v := compose(s)
	if got := statesOf(v); got != "h0=leaving h1=suspect h2=leaving h3=dead new=alive " {
		t.Errorf("states: %s", got)
	}
	if v.Members[1].Entry != "entry-1" {
		t.Errorf("entry address %q", v.Members[1].Entry)
	}
}

func TestQuarantineEndsWithItsTimeAndUnreachedEndpointsHaveNoLoad(t *testing.T) {
	v := compose(sources{state: &gossip.State{
		Quarantine: []items.Item{
			{Key: "1", AgeMillis: 4000, Quarantine: &items.QuarantineFact{Fingerprint: 1, RemainingMillis: 5000}},
			{Key: "2", AgeMillis: 6000, Quarantine: &items.QuarantineFact{Fingerprint: 2, RemainingMillis: 5000}},
		},
		Loads: []items.Item{
			{Key: "up", Load: &items.LoadFact{Running: 2}, AgeMillis: 700},
			{Key: "down", Load: &items.LoadFact{Unreached: true}},
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

func TestDemandsAreSpreadWhenTheyChangeOrGrowOld(t *testing.T) {
	d := demandSpread{last: map[string]spreadDemand{}}
	now := time.Unix(1000, 0)
	spread := func(after time.Duration, perSecond float64) bool {
		now = now.Add(after)
		r := wire.Report{Host: "h1", Program: "entry", Demands: []model.CallerDemand{{Caller: "shop", PerSecond: perSecond}}}
		return len(d.items(now, r)) == 1
	}
	for _, step := range []struct {
		rule      string
		after     time.Duration
		perSecond float64
		want      bool
	}{
		{"first", 0, 10, true},
		{"change at once", time.Second, 40, false},
		{"change", minDemandInterval, 40, true},
		{"small change", minDemandInterval, 44, false},
		{"unchanged for long", maxDemandInterval, 44, true},
	} {
		if got := spread(step.after, step.perSecond); got != step.want {
			t.Errorf("%s: spread %v", step.rule, got)
		}
	}
}
