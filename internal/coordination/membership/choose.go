package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Choose returns the n hosts of the list that rank highest for a key by rendezvous
// hash, best first. Hosts with the same list choose alike, and one host more or less
// changes the choice of few keys.
func Choose(hosts []model.HostID, key string, n int) []model.HostID {
	type ranked struct {
		host  model.HostID
		score uint64
	}
	list := make([]ranked, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, ranked{h, xxhash.Sum64String(key + "\x00" + string(h))})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
	out := make([]model.HostID, 0, n)
	for _, r := range list[:min(n, len(list))] {
		out = append(out, r.host)
	}
	return out
}
