package control

import (
	"fmt"
	"testing"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/gossip"
)

// targetScaleSources returns the inputs of a view of 390 hosts and 600 endpoints.
func targetScaleSources() viewSources {
	const hosts, endpoints = 390, 600
	s := viewSources{generation: 1, config: testConfig(hosts), state: &gossip.State{}}
	for id := range s.config.Hosts {
		s.state.Records = append(s.state.Records, members.Record{Host: id, Zone: "lj-a", Control: "10.20.30.40:20000", Incarnation: 1_900_000_000_000})
		s.state.Generations = append(s.state.Generations, items.Item{Kind: items.Generation, Key: string(id), Generation: 1})
	}
	for i := range endpoints {
		s.state.Loads = append(s.state.Loads, items.Item{Kind: items.Load, Key: fmt.Sprintf("engine-%d", i), Load: &items.LoadFact{Running: 20, Queued: 3, Version: 700, Incarnation: 2}})
	}
	return s
}

// BenchmarkComposeView composes a view at the target scale, which a host does about once
// a second.
func BenchmarkComposeView(b *testing.B) {
	s := targetScaleSources()
	var v *model.FleetView
	for b.Loop() {
		v = composeView(s)
	}
	if len(v.Members) != 390 {
		b.Fatal(len(v.Members))
	}
}

// BenchmarkEncodeView encodes the view at the target scale for one program, without the
// configuration.
func BenchmarkEncodeView(b *testing.B) {
	v := composeView(targetScaleSources())
	v.Config = nil
	size := 0
	for b.Loop() {
		out, err := wire.Encode(wire.ViewReply{View: *v})
		if err != nil {
			b.Fatal(err)
		}
		size = len(out)
	}
	b.ReportMetric(float64(size), "B/view")
}
