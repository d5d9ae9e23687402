package presence

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// hostsPerHub bounds the hosts that one hub serves on average; hubsPerHost is the number
	// of hubs that a host uses, so that the loss of one costs no interval.
	hostsPerHub = 48
	hubsPerHost = 2
	// minCapacityShare is the share of the largest processor capacity of its zone that a host
	// needs to be preferred as a hub.
	minCapacityShare = 0.5
	// hubTimeout is the time without a summary after which a host selects another hub, and
	// hubAvoidance how long it avoids the former one.
	hubTimeout   = 4 * Interval
	hubAvoidance = 5 * time.Second
	// hubSubject is the subject of the rendezvous hashes by which hubs are elected.
	hubSubject = "hub"
	// maxProbes bounds the silent hosts that a host contacts in one interval of a large fleet.
	maxProbes = 4
)

// IsHub reports whether this host is a hub, as every host of a small fleet is.
func (t *Table) IsHub() bool { return t.hubs[t.self.Host] }

// SelectedHubs returns the hubs that this host uses, the primary one first; none if it is a
// hub.
func (t *Table) SelectedHubs() []string { return slices.Clone(t.selected) }

// electHubs returns the hubs of all zones.
func (t *Table) electHubs(now time.Time) map[string]bool {
	zones := map[string][]*Peer{}
	draining := map[string]bool{}
	total := 0
	add := func(p *Peer) {
		switch {
		case p.Protocol < protocolHubs:
			return
		case p.Draining:
			draining[p.Host] = true
		default:
			zones[p.Zone] = append(zones[p.Zone], p)
		}
		total++
	}
	add(&Peer{Member: t.self, hubHash: rendezvousHash(hubSubject, t.self.Host)})
	for _, p := range t.peers {
		if t.alive(now, p) {
			add(p)
		}
	}
	out := map[string]bool{}
	if total <= t.fullMeshHosts {
		out = draining // in a small fleet every host is a hub
	}
	for _, hosts := range zones {
		count := len(hosts)
		if total > t.fullMeshHosts {
			rankHubs(hosts)
			count = min(count, max(hubsPerHost, (hubsPerHost*count+hostsPerHub-1)/hostsPerHub))
		}
		for _, m := range hosts[:count] {
			out[m.Host] = true
		}
	}
	return out
}

// rankHubs sorts the hosts of a zone by their suitability as a hub: hosts with a large
// processor capacity first, in an order that is the same at every host.
func rankHubs(hosts []*Peer) {
	largest := float32(0)
	for _, p := range hosts {
		largest = max(largest, p.Capacity)
	}
	small := func(p *Peer) int {
		if p.Capacity < minCapacityShare*largest {
			return 1
		}
		return 0
	}
	slices.SortFunc(hosts, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(small(a), small(b)), cmp.Compare(b.hubHash, a.hubHash), cmp.Compare(a.Host, b.Host))
	})
}

// compareByHash compares two hosts by their rendezvous hash for a subject.
func compareByHash(subject, a, b string) int {
	return cmp.Or(cmp.Compare(rendezvousHash(subject, b), rendezvousHash(subject, a)), cmp.Compare(a, b))
}

func rendezvousHash(subject, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(subject + "\x00" + host)) // writes to a hash never fail
	return h.Sum64()
}

// hubsAnswer reports whether this host needs no other hubs: it is one, or uses enough that
// answer.
func (t *Table) hubsAnswer(now time.Time) bool {
	if t.IsHub() {
		return true
	}
	for _, name := range t.selected {
		if p := t.peers[name]; p == nil || now.Sub(later(p.selectedAt, p.summaryAt)) > hubTimeout {
			return false
		}
	}
	return len(t.selected) == hubsPerHost && t.answers(now, t.selected[0])
}

// selectHubs selects the hubs that this host uses. It keeps the primary one while it answers.
func (t *Table) selectHubs(now time.Time) {
	if t.IsHub() {
		t.deselect(nil)
		return
	}
	reporting := slices.ContainsFunc(t.selected, func(name string) bool { return t.peers[name] != nil && t.answers(now, name) })
	for _, name := range t.selected {
		p := t.peers[name]
		if p != nil && now.Sub(later(p.selectedAt, p.summaryAt)) > hubTimeout {
			p.avoidUntil = now.Add(hubAvoidance)
			// Without another hub's report, its silence shows that it is gone.
			p.reported = p.reported && reporting
		}
	}
	order := t.hubOrder(now)
	next := order[:min(hubsPerHost, len(order))]
	for i, name := range next {
		if i > 0 && len(t.selected) > 0 && name == t.selected[0] {
			next[0], next[i] = next[i], next[0]
		}
	}
	if len(next) > 1 && !t.answers(now, next[0]) && t.answers(now, next[1]) {
		next[0], next[1] = next[1], next[0]
	}
	t.deselect(next)
	for _, name := range next {
		if p := t.peers[name]; p.selectedAt.IsZero() {
			p.selectedAt = now
		}
	}
	t.selected = next
}

// deselect ends the use of the selected hubs except those in keep.
func (t *Table) deselect(keep []string) {
	for _, name := range t.selected {
		if p := t.peers[name]; p != nil && !slices.Contains(keep, name) {
			p.selectedAt = time.Time{}
		}
	}
	t.selected = keep
}

func (t *Table) answers(now time.Time, hub string) bool {
	return now.Sub(t.peers[hub].summaryAt) < silenceTimeout
}

// hubOrder returns the hosts in the order in which this host prefers them as its hubs: the
// hubs of its own zone, then the hubs of other zones, then any host. Hosts that recently did
// not answer come last.
func (t *Table) hubOrder(now time.Time) []string {
	var out []string
	for name, p := range t.peers {
		if p.Protocol >= protocolHubs && t.alive(now, p) && !p.Draining {
			out = append(out, name)
		}
	}
	class := func(p *Peer) int {
		c := 0
		switch {
		case !t.hubs[p.Host]:
			c = 2
		case p.Zone != t.self.Zone:
			c = 1
		}
		if now.Before(p.avoidUntil) {
			c += 3
		}
		return c
	}
	slices.SortFunc(out, func(a, b string) int {
		p, q := t.peers[a], t.peers[b]
		return cmp.Or(cmp.Compare(class(p), class(q)), cmp.Compare(q.selectHash, p.selectHash), cmp.Compare(a, b))
	})
	return out
}

// Sends lists the addresses to which heartbeats of each kind are due.
type Sends struct {
	// Primary and Secondary are the hubs that this host uses (KindToHub).
	Primary   []string
	Secondary []string
	// Hubs are the other hubs, if this host is one (KindBetweenHubs), Summaries the hosts that
	// use this one as a hub (KindSummary).
	Hubs      []string
	Summaries []string
	// Direct are silent hosts and hosts of builds that do not know hubs (KindDirect).
	Direct []string
}

// Sends returns the addresses to send heartbeats to in one interval.
func (t *Table) Sends(now time.Time) Sends {
	var s Sends
	for i, name := range t.selected {
		if p := t.peers[name]; p != nil && i == 0 {
			s.Primary = append(s.Primary, p.PeerAddress)
		} else if p != nil {
			s.Secondary = append(s.Secondary, p.PeerAddress)
		}
	}
	hub := t.IsHub()
	var silent []*Peer
	for name, p := range t.peers {
		switch {
		case !t.alive(now, p):
			silent = append(silent, p)
		case p.Protocol < protocolHubs:
			s.Direct = append(s.Direct, p.PeerAddress)
		case hub && (t.hubs[name] || now.Sub(p.hubAt) < silenceTimeout):
			s.Hubs = append(s.Hubs, p.PeerAddress)
		}
		if now.Sub(p.requestedAt) < silenceTimeout {
			s.Summaries = append(s.Summaries, p.PeerAddress)
		}
	}
	s.Direct = append(s.Direct, t.probes(now, silent)...)
	for _, list := range [][]string{s.Hubs, s.Summaries, s.Direct} {
		slices.Sort(list)
	}
	return s
}

// probes returns the addresses of the silent hosts to contact: all of them in a small fleet,
// up to maxProbes in turn at a hub or at a host without live peers.
func (t *Table) probes(now time.Time, silent []*Peer) []string {
	if len(silent) == 0 || !t.IsHub() && len(t.selected) > 0 {
		return nil
	}
	count := len(silent)
	if len(t.peers) >= t.fullMeshHosts {
		count = min(count, maxProbes)
	}
	// Former hubs come first, as one of them connects all hosts behind it.
	slices.SortFunc(silent, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(b.hubAt.UnixNano(), a.hubAt.UnixNano()), cmp.Compare(a.Host, b.Host))
	})
	var out []string
	for range count {
		out = append(out, silent[t.probed%len(silent)].PeerAddress)
		t.probed++
	}
	return out
}
