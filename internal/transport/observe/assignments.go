package observe

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/membership"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// pollersPerEndpoint is the number of hosts that poll each endpoint.
	pollersPerEndpoint = 2
	// assignInterval is the minimum time between two checks for changed assignments.
	assignInterval = 2 * time.Second
)

// assignment is an endpoint that this host polls. Its rank among the endpoint's pollers
// starts at 0.
type assignment struct {
	endpoint model.EndpointID
	rank     int
}

// assigner computes the assignments of this host, and records the hosts and the
// configuration for which it last did so.
type assigner struct {
	checkedAt   time.Time
	generation  model.Generation
	hostsDigest uint64
	computed    bool
	// sequence is the sequence number of the view at the last check.
	sequence uint64
}

// refresh returns this host's assignments and true if the configuration or the set of live
// hosts has changed since they were computed. It checks at most once per assignInterval.
func (a *assigner) refresh(now time.Time, self model.HostID, view *model.FleetView) ([]assignment, bool) {
	if a.computed && (now.Sub(a.checkedAt) < assignInterval || view.Sequence == a.sequence) {
		return nil, false
	}
	a.checkedAt, a.sequence = now, view.Sequence
	hosts, digest := hostsByRegion(view)
	if a.computed && digest == a.hostsDigest && view.Generation == a.generation {
		return nil, false
	}
	a.generation, a.hostsDigest, a.computed = view.Generation, digest, true
	return assignments(self, view.Config, hosts), true
}

// hostsByRegion returns the hosts that may poll (alive or suspect) by region, and a digest
// of them. The key "" lists the hosts of all regions.
func hostsByRegion(view *model.FleetView) (map[model.RegionID][]model.HostID, uint64) {
	hosts := map[model.RegionID][]model.HostID{}
	digest := xxhash.New()
	for _, m := range view.Members {
		if m.State != model.HostAlive && m.State != model.HostSuspect {
			continue
		}
		region := view.Config.Zones[m.Zone].Region
		hosts[region] = append(hosts[region], m.Host)
		if region != "" {
			hosts[""] = append(hosts[""], m.Host)
		}
		_, _ = digest.WriteString(string(m.Host) + "\x00")
	}
	return hosts, digest.Sum64()
}

// assignments returns the endpoints that host self polls, ordered by id. An endpoint is
// polled by hosts of its region, or by hosts of any region if its region has fewer than
// pollersPerEndpoint.
func assignments(self model.HostID, config *model.Config, hosts map[model.RegionID][]model.HostID) []assignment {
	var out []assignment
	for id, e := range config.Endpoints {
		candidates := hosts[config.Zones[e.Zone].Region]
		if len(candidates) < pollersPerEndpoint {
			candidates = hosts[""]
		}
		for rank, h := range membership.RendezvousHosts(candidates, "observe/"+string(id), pollersPerEndpoint) {
			if h == self {
				out = append(out, assignment{id, rank})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].endpoint < out[j].endpoint })
	return out
}

// firstPoll returns the time of an assignment's first poll. It distributes the polls of
// different endpoints over the interval and spaces the pollers of one endpoint evenly.
func firstPoll(now time.Time, a assignment) time.Time {
	phase := time.Duration(xxhash.Sum64String(string(a.endpoint)) % uint64(pollInterval))
	phase += time.Duration(a.rank) * pollInterval / pollersPerEndpoint
	// The time that Truncate returns steps with the wall clock, so it only sets the phase.
	at := now.Add(now.Truncate(pollInterval).Sub(now) + phase%pollInterval)
	if at.Before(now) {
		at = at.Add(pollInterval)
	}
	return at
}
