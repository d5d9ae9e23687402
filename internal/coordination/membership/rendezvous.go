package membership

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// RendezvousHosts returns the n hosts with the highest rendezvous hash for key, highest
// first, or all hosts if there are fewer. Processes with the same list get the same result
// for a key, and adding or removing one host changes the result for few keys.
func RendezvousHosts(hosts []model.HostID, key string, n int) []model.HostID {
	type ranked struct {
		host  model.HostID
		score uint64
	}
	best := make([]ranked, 0, n+1)
	for _, h := range hosts {
		r := ranked{h, rendezvousScore(key, h)}
		at := sort.Search(len(best), func(i int) bool { return best[i].score < r.score })
		if at == n {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(n, len(best))]
	}
	out := make([]model.HostID, 0, len(best))
	for _, r := range best {
		out = append(out, r.host)
	}
	return out
}

func rendezvousScore(key string, h model.HostID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(h))
	return d.Sum64()
}
