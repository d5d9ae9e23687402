// Package endpoints lists the configured endpoints of a service or a deployment and selects
// the subset that one host uses.
//
// Invariant: every endpoint is in the subsets of at least min(HostsPerEndpoint, hosts) hosts,
// and a host's subset changes only because of endpoints or hosts that were added or removed.
package endpoints

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// HostsPerEndpoint is the minimum number of hosts that use each endpoint, if there are as many.
const HostsPerEndpoint = 8

// MinSubsetSize is the minimum number of endpoints in a subset, if there are as many.
const MinSubsetSize = 24

// Target is the service or deployment to which a request is routed. One field is set.
type Target struct {
	Service    model.ServiceID
	Deployment model.DeploymentID
}

// String returns the target's name for metrics and logs.
func (t Target) String() string {
	if t.Service != "" {
		return string(t.Service)
	}
	return string(t.Deployment)
}

// Endpoint is one configured endpoint.
type Endpoint struct {
	ID      model.EndpointID
	Address string
	Zone    model.ZoneID
	// Slots is the maximum number of requests that the endpoint runs concurrently.
	Slots int
}

// ForTarget returns the endpoints of a target, ordered by ID.
func ForTarget(c *model.Config, t Target) []Endpoint {
	slots := c.Services[t.Service].MaxRunning
	if t.Deployment != "" {
		slots = c.Deployments[t.Deployment].MaxRunning
	}
	var out []Endpoint
	for id, e := range c.Endpoints {
		engine := t.Deployment != "" && e.Kind == model.EndpointEngine && e.Deployment == t.Deployment
		plain := t.Service != "" && e.Kind == model.EndpointPlain && e.Service == t.Service
		if engine || plain {
			out = append(out, Endpoint{ID: id, Address: e.Address, Zone: e.Zone, Slots: max(1, slots)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Subset returns the endpoints of all that host uses, in the same order. hosts lists all hosts
// that share the endpoints.
func Subset(all []Endpoint, host model.HostID, hosts []model.HostID) []Endpoint {
	if len(hosts) <= HostsPerEndpoint || len(all) <= MinSubsetSize {
		return all
	}
	own := rankByScore(all, host)
	var out []Endpoint
	for i, e := range all {
		if own[i] < MinSubsetSize || isCoveringHost(e.ID, host, hosts) {
			out = append(out, e)
		}
	}
	return out
}

// isCoveringHost reports whether host is among the HostsPerEndpoint hosts with the highest
// scores for e.
func isCoveringHost(e model.EndpointID, host model.HostID, hosts []model.HostID) bool {
	own := score(e, host)
	higher := 0
	for _, h := range hosts {
		if h != host && score(e, h) > own {
			higher++
		}
	}
	return higher < HostsPerEndpoint
}

// rankByScore returns, for each endpoint, its position when all are sorted by descending score
// for host.
func rankByScore(all []Endpoint, host model.HostID) []int {
	order := make([]int, len(all))
	scores := make([]uint64, len(all))
	for i, e := range all {
		order[i] = i
		scores[i] = score(e.ID, host)
	}
	sort.Slice(order, func(i, j int) bool { return scores[order[i]] > scores[order[j]] })
	out := make([]int, len(all))
	for rank, i := range order {
		out[i] = rank
	}
	return out
}

// score returns the rendezvous hash of an endpoint and a host.
func score(e model.EndpointID, h model.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e))
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(string(h))
	return d.Sum64()
}
