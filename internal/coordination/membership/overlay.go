package membership

import (
	"math/bits"
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

const (
	// ringLinks is the number of successors on the hash ring that a host watches, so
	// that every host is watched by as many others.
	ringLinks = 2
	// minCrossLinks is the fewest links a host opens besides the ring.
	minCrossLinks = 2
	// MaxPeers bounds the peers of one host, opened and accepted together.
	MaxPeers = 24
)

// Peers returns the hosts that self opens links to and watches, in order of host,
// chosen from the live records: ringLinks successors on a hash ring, then about
// log2(N)/2 hosts of the other availability zones in turn. The graph is the same at
// every host that has the same records, and one host more or less changes the links
// of a few hosts only.
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

// addCrossLinks fills chosen up to want: one host of each other zone in turn, by
// rendezvous hash, and when the zones are used up any host by rendezvous hash.
func addCrossLinks(chosen map[model.HostID]members.Record, own members.Record, others []members.Record, want int) {
	for round := uint64(0); len(chosen) < want; round++ {
		before := len(chosen)
		for _, zone := range zonesInTurn(own, others) {
			if len(chosen) >= want {
				return
			}
			addBest(chosen, own.Host, others, round, func(r members.Record) bool { return r.Zone == zone })
		}
		if len(chosen) == before {
			addBest(chosen, own.Host, others, round, func(members.Record) bool { return true })
		}
	}
}

// zonesInTurn returns the other hosts' zones but own's, in an order of own's.
func zonesInTurn(own members.Record, others []members.Record) []model.ZoneID {
	seen := map[model.ZoneID]bool{own.Zone: true}
	var zones []model.ZoneID
	for _, r := range others {
		if !seen[r.Zone] {
			seen[r.Zone] = true
			zones = append(zones, r.Zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool {
		return score(own.Host, model.HostID(zones[i]), 0) > score(own.Host, model.HostID(zones[j]), 0)
	})
	return zones
}

func addBest(chosen map[model.HostID]members.Record, self model.HostID, others []members.Record, round uint64, allowed func(members.Record) bool) {
	var best members.Record
	var highest uint64
	for _, r := range others {
		if _, taken := chosen[r.Host]; taken || !allowed(r) {
			continue
		}
		if s := score(self, r.Host, round); best.Host == "" || s > highest {
			best, highest = r, s
		}
	}
	if best.Host != "" {
		chosen[best.Host] = best
	}
}

func ringPosition(h model.HostID) uint64 { return xxhash.Sum64String("ring/" + string(h)) }

func score(from, to model.HostID, round uint64) uint64 {
	return xxhash.Sum64String(string(from)+"/"+string(to)) ^ (round * 0x9e3779b97f4a7c15)
}
