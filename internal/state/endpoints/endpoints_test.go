package endpoints

import (
	"fmt"
	"testing"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// newFleet returns the given numbers of endpoints and hosts.
func newFleet(endpoints, hosts int) ([]Endpoint, []model.HostID) {
	all := make([]Endpoint, endpoints)
	for i := range all {
		all[i].ID = model.EndpointID(fmt.Sprint("e", i))
	}
	names := make([]model.HostID, hosts)
	for i := range names {
		names[i] = model.HostID(fmt.Sprint("h", i))
	}
	return all, names
}

// The subsets of all hosts must stay small and still cover each endpoint HostsPerEndpoint
// times. An endpoint that few hosts use would stay idle while others are overloaded.
func TestSubset_Coverage(t *testing.T) {
	all, hosts := newFleet(200, 130)
	covered := map[model.EndpointID]int{}
	for _, h := range hosts {
		subset := Subset(all, h, hosts)
		if len(subset) < MinSubsetSize || len(subset) > 2*MinSubsetSize+HostsPerEndpoint {
			t.Errorf("subset of host %s has %d endpoints", h, len(subset))
		}
		for _, e := range subset {
			covered[e.ID]++
		}
	}
	for _, e := range all {
		if covered[e.ID] < HostsPerEndpoint {
			t.Errorf("endpoint %s is used by %d hosts", e.ID, covered[e.ID])
		}
	}
}

// When a few endpoints and hosts are removed, a host must keep at least 90 % of its subset.
// Otherwise each change of the fleet would replace most connections.
func TestSubset_StableAfterFleetChange(t *testing.T) {
	all, hosts := newFleet(600, 100)
	before := map[model.EndpointID]bool{}
	for _, e := range Subset(all, "h7", hosts) {
		before[e.ID] = true
	}
	kept := 0
	for _, e := range Subset(all[:590], "h7", hosts[:98]) {
		if before[e.ID] {
			kept++
		}
	}
	if kept < len(before)*9/10 {
		t.Errorf("subset kept only %d of %d endpoints", kept, len(before))
	}
}
