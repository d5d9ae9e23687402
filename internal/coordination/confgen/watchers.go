package confgen

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// WatchersPerRegion is the number of hosts per region that watch the object API.
const WatchersPerRegion = 2

// WatchRank returns the position of host self, from 0, in the rendezvous order of the live
// members of its region. Hosts with a rank below WatchersPerRegion watch the object API,
// and the first one also collects garbage. While hosts disagree about the members there
// may be too many or too few watchers; the fallback poll covers the latter case.
func WatchRank(self model.HostID, region model.RegionID, members []model.Member, regionOf func(model.ZoneID) model.RegionID) int {
	hosts := []model.HostID{self}
	for _, m := range members {
		if m.Host != self && m.State == model.HostAlive && regionOf(m.Zone) == region {
			hosts = append(hosts, m.Host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return rendezvousHash(hosts[i], region) < rendezvousHash(hosts[j], region) })
	for i, h := range hosts {
		if h == self {
			return i
		}
	}
	return len(hosts)
}

func rendezvousHash(h model.HostID, region model.RegionID) uint64 {
	return xxhash.Sum64String(string(region) + "\x00" + string(h))
}
