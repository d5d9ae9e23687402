package presence

import (
	"cmp"
	"slices"
)

const (
	// maxAddresses bounds an address answer. Callers choose among the addresses at random, so
	// in a large fleet a bound makes each host receive enough requests to keep its connections
	// to the endpoints open.
	maxAddresses = 24
	// minZoneAddresses is the number of ready hosts of the caller's zone from which the answer
	// names no hosts of other zones. Fewer could not take over from each other.
	minZoneAddresses = 4
)

// SelectAddresses returns the caller addresses of ready hosts for a caller in a zone, sorted.
// In a fleet of up to maxAddresses hosts it returns all of them. Otherwise it selects hosts of
// the zone by rendezvous hashing, so that all hosts give the same answer, and hosts of other
// zones only if the zone has few.
func SelectAddresses(ready []Member, zone string) []string {
	if len(ready) > maxAddresses {
		local := slices.DeleteFunc(slices.Clone(ready), func(m Member) bool { return m.Zone != zone })
		if len(local) >= minZoneAddresses {
			ready = local
		}
		ready = slices.Clone(ready)
		slices.SortFunc(ready, func(a, b Member) int {
			return cmp.Or(cmp.Compare(distance(&a, zone), distance(&b, zone)), compareByHash("addresses", a.Host, b.Host))
		})
		ready = ready[:min(len(ready), maxAddresses)]
	}
	out := make([]string, 0, len(ready))
	for _, m := range ready {
		out = append(out, m.CallerAddress)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// distance is 0 for a host of the zone and 1 for others.
func distance(m *Member, zone string) int {
	if m.Zone == zone {
		return 0
	}
	return 1
}
