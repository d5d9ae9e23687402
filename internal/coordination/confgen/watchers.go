package confgen

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// WatchersPerRegion is the number of hosts of a region that watch the object API.
const WatchersPerRegion = 2

// WatchRank returns the place of host self among the live members of its region in
// rendezvous order: those below WatchersPerRegion watch, and the first collects
// garbage. Hosts that disagree about the members may give too many or too few
// watchers for a while; the fallback poll covers the latter.
func WatchRank(self model.HostID, region model.RegionID, members []model.Member, regionOf func(model.ZoneID) model.RegionID) int {
	hosts := []model.HostID{self}
	for _, m := range members {
		if m.Host != self && m.State == model.HostAlive && regionOf(m.Zone) == region {
			hosts = append(hosts, m.Host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return weight(hosts[i], region) < weight(hosts[j], region) })
	for i, h := range hosts {
		if h == self {
			return i
		}
	}
	return len(hosts)
}

func weight(h model.HostID, region model.RegionID) uint64 {
	return xxhash.Sum64String(string(region) + "\x00" + string(h))
}
