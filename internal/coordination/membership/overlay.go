package membership

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// ringLinks is the number of successors on the hash ring that a host monitors. Each
	// host is thereby monitored by at least this many others.
	ringLinks = 2
	// minCrossLinks is the minimum number of links that a host opens beyond the ring.
	minCrossLinks = 2
	// MaxLinks bounds the links of one host, opened and accepted combined.
	MaxLinks = 24
)

// Peers returns the hosts that self opens links to and monitors, in order of host. They
// are chosen from the live records: ringLinks successors on a hash ring, then
// minCrossLinks plus about log2(N)/3 hosts, taken from the other availability zones in
// turn. All hosts with the same records compute the same graph, and adding or removing
// one host changes the links of only a few hosts.
func Peers(self model.HostID, live []members.Record) []members.Record {
	others := make([]members.Record, 0, len(live))
	var own members.Record
	for _, r := range live {
		if r.Host == self {
			own = r
			continue
		}
		others = append(others, r)
	}
	want := min(linkCount(len(live)), len(others))
	chosen := map[model.HostID]members.Record{}
	for _, r := range successors(self, others, min(ringLinks, want)) {
		chosen[r.Host] = r
	}
	addCrossLinks(chosen, own, others, want)
	out := make([]members.Record, 0, len(chosen))
	for _, r := range chosen {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func linkCount(n int) int {
	return ringLinks + minCrossLinks + bits.Len(uint(n))/3
}

func successors(self model.HostID, others []members.Record, n int) []members.Record {
	at := ringPosition(self)
	ring := append([]members.Record(nil), others...)
	distance := func(r members.Record) uint64 { return ringPosition(r.Host) - at }
	sort.Slice(ring, func(i, j int) bool { return distance(ring[i]) < distance(ring[j]) })
	return ring[:n]
}

// addCrossLinks adds hosts to chosen until it holds want of them. Each round takes from
// every other zone the host with the highest rendezvous hash; when a round finds no
// host there, the highest-ranked host of any zone is added.
func addCrossLinks(chosen map[model.HostID]members.Record, own members.Record, others []members.Record, want int) {
	for round := uint64(0); len(chosen) < want; round++ {
		before := len(chosen)
		for _, zone := range rankedZones(own, others) {
			if len(chosen) >= want {
				return
			}
			addHighest(chosen, own.Host, others, round, func(r members.Record) bool { return r.Zone == zone })
		}
		if len(chosen) == before {
			addHighest(chosen, own.Host, others, round, func(members.Record) bool { return true })
		}
	}
}

// rankedZones returns the zones of the other hosts, without own's zone, ordered by a
// hash that differs per host so that the hosts spread their links over the zones.
func rankedZones(own members.Record, others []members.Record) []model.ZoneID {
	seen := map[model.ZoneID]bool{own.Zone: true}
	var zones []model.ZoneID
	for _, r := range others {
		if !seen[r.Zone] {
			seen[r.Zone] = true
			zones = append(zones, r.Zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool {
		return linkScore(own.Host, model.HostID(zones[i]), 0) > linkScore(own.Host, model.HostID(zones[j]), 0)
	})
	return zones
}

func addHighest(chosen map[model.HostID]members.Record, self model.HostID, others []members.Record, round uint64, allowed func(members.Record) bool) {
	var best members.Record
	var highest uint64
	for _, r := range others {
		if _, taken := chosen[r.Host]; taken || !allowed(r) {
			continue
		}
		if s := linkScore(self, r.Host, round); best.Host == "" || s > highest {
			best, highest = r, s
		}
	}
	if best.Host != "" {
		chosen[best.Host] = best
	}
}

func ringPosition(h model.HostID) uint64 { return xxhash.Sum64String("ring/" + string(h)) }

// linkScore returns a hash that ranks the hosts to which a host may link. The constant is
// 2^64 divided by the golden ratio; its multiples give each round a different ranking.
func linkScore(from, to model.HostID, round uint64) uint64 {
	return xxhash.Sum64String(string(from)+"/"+string(to)) ^ (round * 0x9e3779b97f4a7c15)
}
