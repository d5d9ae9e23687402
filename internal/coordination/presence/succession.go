package presence

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Candidate is a host that may take over a task.
type Candidate struct {
	Host           string
	Ready          bool
	Draining       bool
	StoreReachable bool
	// CutOff is set if the host has no links to endpoints.
	CutOff bool
	// Hub is set if the host is a hub (see Table.Hubs).
	Hub bool
}

// Successor returns the host that takes over the given task, or "" if there is none. It
// is the first host in SuccessionOrder, so all hosts that see the same candidates agree on it.
func Successor(task string, candidates []Candidate) string {
	order := SuccessionOrder(task, candidates)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// Assign returns a host for each task: the first of the given number of hosts in the
// succession order of a kind of tasks, spread by rendezvous hash. All hosts that see the same
// candidates agree.
func Assign(kind string, tasks []string, hosts int, candidates []Candidate) map[string]string {
	order := SuccessionOrder(kind, candidates)
	order = order[:min(len(order), max(hosts, 1))]
	out := make(map[string]string, len(tasks))
	for _, task := range tasks {
		if len(order) > 0 {
			out[task] = slices.MinFunc(order, func(a, b string) int { return compareByHash(task, a, b) })
		}
	}
	return out
}

// The highest bits of a score rank hosts with links to the endpoints above all others, among these
// and among the others those that reach the store, and then the hubs.
const (
	linkRankBit  = 1 << 63
	storeRankBit = 1 << 62
	hubRankBit   = 1 << 61
)

// SuccessionOrder returns the hosts in the order in which they are to take over the given
// task, by rendezvous hash. Hosts with links to the endpoints come first, among these the hosts that
// reach the store, and among these the hubs, which know the loads of the fleet with the least delay.
// Draining hosts and hosts that are not ready are left out.
func SuccessionOrder(task string, candidates []Candidate) []string {
	score := map[string]uint64{}
	var out []string
	for _, c := range candidates {
		if c.Draining || !c.Ready {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(task + "\x00" + c.Host))
		s := h.Sum64() >> 3
		if c.Hub {
			s |= hubRankBit
		}
		if !c.CutOff {
			s |= linkRankBit
		}
		if c.StoreReachable {
			s |= storeRankBit
		}
		score[c.Host] = s
		out = append(out, c.Host)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(score[b], score[a]), cmp.Compare(a, b)) })
	return out
}
