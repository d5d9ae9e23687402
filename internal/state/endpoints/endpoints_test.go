package endpoints

import (
	"fmt"
	"testing"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

func sizes(endpoints, hosts int) ([]Endpoint, []model.HostID) {
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

func TestEveryEndpointIsCoveredBySmallSubsets(t *testing.T) {
	all, hosts := sizes(200, 130)
	covered := map[model.EndpointID]int{}
	for _, h := range hosts {
		subset := Subset(all, h, hosts)
		if len(subset) < MinSubset || len(subset) > 2*MinSubset+Coverage {
			t.Errorf("host %s uses %d endpoints", h, len(subset))
		}
		for _, e := range subset {
			covered[e.ID]++
		}
	}
	for _, e := range all {
		if covered[e.ID] < Coverage {
			t.Errorf("endpoint %s is used by %d hosts", e.ID, covered[e.ID])
		}
	}
}

func TestSubsetChangesLittleWithTheFleet(t *testing.T) {
	all, hosts := sizes(600, 100)
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
		t.Errorf("kept %d of %d endpoints", kept, len(before))
	}
}
