package control

import (
	"sort"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/drains"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/items"
	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/gossip"
)

// assumeAliveHeartbeats is how long after its own start, in heartbeat intervals, a host
// assumes that the configured hosts without a membership record are alive.
const assumeAliveHeartbeats = 15

// viewSources holds the inputs of composeView.
type viewSources struct {
	generation model.Generation
	config     *model.Config
	state      *gossip.State
	outageFor  time.Duration
	// assumeUnknownAlive makes configured hosts without a membership record alive
	// instead of dead.
	assumeUnknownAlive bool
}

// composeView builds the fleet view from the configuration and the gossip state.
func composeView(s viewSources) *model.FleetView {
	inForce := drains.InForce(s.state.Drains, incarnations(s.state))
	v := &model.FleetView{
		Generation: s.generation,
		Config:     s.config,
		Members:    fleetMembers(s, inForce),
		Drains:     inForce,
		Loads:      endpointLoads(s.state),
		OutageFor:  s.outageFor,
	}
	for _, i := range s.state.Quarantine {
		remaining := time.Duration(i.Quarantine.RemainingMillis-i.AgeMillis) * time.Millisecond
		if remaining > 0 {
			v.Quarantine = append(v.Quarantine, model.QuarantinedRequest{
				Fingerprint: i.Quarantine.Fingerprint, Crashes: i.Quarantine.Crashes, Remaining: remaining,
			})
		}
	}
	for _, i := range s.state.Demands {
		host, _, _ := strings.Cut(i.Key, "/")
		for _, f := range i.Demand {
			v.Demands = append(v.Demands, model.CallerDemand{Host: model.HostID(host), Caller: f.Caller, PerSecond: float64(f.PerSecond)})
		}
	}
	return v
}

// incarnations returns a lookup of the highest known incarnation of an endpoint or a
// host. The lookup returns 0 for unknown targets.
func incarnations(st *gossip.State) drains.IncarnationLookup {
	byTarget := map[drains.Target]model.Incarnation{}
	for _, i := range st.Loads {
		byTarget[drains.Target{Endpoint: model.EndpointID(i.Key)}] = i.Load.Incarnation
	}
	for _, r := range st.Records {
		byTarget[drains.Target{Host: r.Host}] = r.Incarnation
	}
	return func(t drains.Target) model.Incarnation { return byTarget[t] }
}

func endpointLoads(st *gossip.State) []model.EndpointLoad {
	out := make([]model.EndpointLoad, 0, len(st.Loads))
	for _, i := range st.Loads {
		if i.Load.Unreachable {
			continue
		}
		out = append(out, model.EndpointLoad{
			Endpoint: model.EndpointID(i.Key),
			Running:  i.Load.Running,
			Queued:   i.Load.Queued,
			Version:  i.Load.Version,
			Age:      time.Duration(i.AgeMillis) * time.Millisecond,
		})
	}
	return out
}

// fleetMembers merges the configured hosts with the membership records, in order of
// host. Hosts that have a record but are not configured are included.
func fleetMembers(s viewSources, inForce []model.DrainEvidence) []model.Member {
	records := map[model.HostID]members.Record{}
	for _, r := range s.state.Records {
		records[r.Host] = r
	}
	var out []model.Member
	if s.config != nil {
		for id, h := range s.config.Hosts {
			m := model.Member{Host: id, Zone: h.Zone, Control: h.Control, EntryMesh: h.EntryMesh, Entry: h.Entry, Rollout: h.Rollout}
			r, known := records[id]
			delete(records, id)
			m.Incarnation, m.State = r.Incarnation, memberState(r, known, s.assumeUnknownAlive)
			m.EntryNotReady = r.EntryNotReady
			out = append(out, m)
		}
	}
	for id, r := range records {
		out = append(out, model.Member{Host: id, Zone: r.Zone, Control: r.Control, Incarnation: r.Incarnation, State: memberState(r, true, false)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	markDrained(out, inForce)
	return out
}

func memberState(r members.Record, known, assumeAlive bool) model.HostState {
	switch {
	case !known && assumeAlive:
		return model.HostAlive
	case !known, r.State == members.Dead:
		return model.HostDead
	case r.Leaving:
		return model.HostDraining
	case r.State == members.Suspect:
		return model.HostSuspect
	}
	return model.HostAlive
}

// markDrained marks the hosts with a drain in force as draining, unless they are dead.
func markDrained(list []model.Member, inForce []model.DrainEvidence) {
	drained := map[model.HostID]bool{}
	for _, d := range inForce {
		if d.Host != "" {
			drained[d.Host] = true
		}
	}
	for n := range list {
		if drained[list[n].Host] && list[n].State != model.HostDead {
			list[n].State = model.HostDraining
		}
	}
}

// endpointStatus returns the last observed version and reachability of each endpoint,
// and whether it has a drain in force.
func endpointStatus(st *gossip.State, v *model.FleetView) []wire.EndpointStatus {
	draining := map[model.EndpointID]bool{}
	for _, d := range v.Drains {
		draining[d.Endpoint] = true
	}
	out := make([]wire.EndpointStatus, 0, len(st.Loads))
	for _, i := range st.Loads {
		id := model.EndpointID(i.Key)
		out = append(out, wire.EndpointStatus{Endpoint: id, Version: i.Load.Version, Draining: draining[id], Reachable: !i.Load.Unreachable})
	}
	return out
}

// hostGenerations lists the generation that each host announced as in force.
func hostGenerations(list []items.Item) []wire.HostGeneration {
	out := make([]wire.HostGeneration, 0, len(list))
	for _, i := range list {
		out = append(out, wire.HostGeneration{Host: model.HostID(i.Key), Generation: i.Generation})
	}
	return out
}
