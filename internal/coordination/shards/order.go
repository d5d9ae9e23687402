package shards

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// PreferenceOrder returns each shard's hosts, most preferred first. The order is that of
// rendezvous hashing, except that no host is first for more than an even share of the
// shards. Otherwise the shards of one service could concentrate on one host and exhaust
// its object API budget.
func PreferenceOrder(ids []string, hosts []model.HostID) map[string][]model.HostID {
	out := make(map[string][]model.HostID, len(ids))
	if len(hosts) == 0 {
		return out
	}
	share := (len(ids) + len(hosts) - 1) / len(hosts)
	load := make(map[model.HostID]int, len(hosts))
	sorted := append([]string(nil), ids...)
	sort.Strings(sorted)
	for _, id := range sorted {
		ranked := rankHosts(id, hosts)
		for i, host := range ranked {
			if load[host] < share {
				load[host]++
				copy(ranked[1:i+1], ranked[:i])
				ranked[0] = host
				break
			}
		}
		out[id] = ranked
	}
	return out
}

// rankHosts returns hosts by descending rendezvous hash for the shard id.
func rankHosts(id string, hosts []model.HostID) []model.HostID {
	ranked := append([]model.HostID(nil), hosts...)
	scores := make(map[model.HostID]uint64, len(hosts))
	for _, host := range ranked {
		scores[host] = score(id, host, 0)
	}
	sort.Slice(ranked, func(i, j int) bool { return scores[ranked[i]] > scores[ranked[j]] })
	return ranked
}

// score returns a hash of a shard and a host. The salt is 0 for the preference order
// and the epoch for the jitter.
func score(id string, host model.HostID, salt uint64) uint64 {
	b := make([]byte, 0, len(id)+len(host)+9)
	b = append(b, id...)
	b = append(b, 0)
	b = append(b, host...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, salt))
}
