package presence

import "github.com/cespare/xxhash/v2"

// Spread returns the host for a key, so that the keys are spread evenly over the hosts that are ready and not
// draining, by rendezvous hash. Hosts that reach the store are preferred. All hosts that see the same candidates
// agree. It returns "" if there is no host.
func Spread(key string, candidates []Candidate) string {
	best, bestScore, bestReaches := "", uint64(0), false
	for _, c := range candidates {
		if c.Draining || !c.Ready {
			continue
		}
		score := xxhash.Sum64String(key + "\x00" + c.Host)
		if best == "" || c.StoreReachable != bestReaches && c.StoreReachable ||
			c.StoreReachable == bestReaches && (score > bestScore || score == bestScore && c.Host < best) {
			best, bestScore, bestReaches = c.Host, score, c.StoreReachable
		}
	}
	return best
}
