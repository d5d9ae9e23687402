// Package endpoints lists the endpoints of a service or a deployment as the shared
// configuration names them, and the part of them that one host uses.
//
// Invariant: every endpoint is in the subset of at least min(Coverage, hosts)
// hosts, and a host's subset changes only for endpoints or hosts that changed.
package endpoints

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Coverage is the number of hosts that each endpoint is spread over.
const Coverage = 8

// MinSubset is the least number of endpoints in a subset, if there are as many.
const MinSubset = 24

// Target is what a request is routed to: a service or a deployment.
type Target struct {
	Service    model.ServiceID
	Deployment model.DeploymentID
}

// String returns the name used in metrics and logs.
func (t Target) String() string {
	if t.Service != "" {
		return string(t.Service)
	}
	return string(t.Deployment)
}

// Endpoint is one endpoint as configured.
type Endpoint struct {
	ID      model.EndpointID
	Address string
	Zone    model.ZoneID
	// Slots is the most requests the endpoint runs at once.
	Slots int
}

// Of lists the endpoints of a target in order of id.
func Of(c *model.Config, t Target) []Endpoint {
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

// Subset returns the endpoints that host uses, in the order given. hosts are all
// hosts that share the endpoints.
func Subset(all []Endpoint, host model.HostID, hosts []model.HostID) []Endpoint {
	if len(hosts) <= Coverage || len(all) <= MinSubset {
		return all
	}
	own := ranks(all, host)
	var out []Endpoint
	for i, e := range all {
		if own[i] < MinSubset || covers(e.ID, host, hosts) {
			out = append(out, e)
		}
	}
	return out
}

// covers reports whether host is among the Coverage hosts with the highest score.
func covers(e model.EndpointID, host model.HostID, hosts []model.HostID) bool {
	own := score(e, host)
	higher := 0
	for _, h := range hosts {
		if h != host && score(e, h) > own {
			higher++
		}
	}
	return higher < Coverage
}

// ranks returns each endpoint's place in the host's own order of scores.
func ranks(all []Endpoint, host model.HostID) []int {
	order := make([]int, len(all))
	scores := make([]uint64, len(all))
	for i, e := range all {
		order[i] = i
		scores[i] = score(e.ID, host)
	}
	sort.Slice(order, func(i, j int) bool { return scores[order[i]] > scores[order[j]] })
	out := make([]int, len(all))
	for place, i := range order {
		out[i] = place
	}
	return out
}

func score(e model.EndpointID, h model.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e))
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(string(h))
	return d.Sum64()
}
