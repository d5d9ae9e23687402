package presence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mismatchesToFetch is the number of consecutive heartbeats with a roster that differs
	// from the local one after which the roster is fetched. Changes usually arrive with one
	// of these heartbeats.
	mismatchesToFetch = 3
	// A host knows far more hosts than this one if it knows more by 1/farMoreDivisor.
	farMoreDivisor = 8
	// rosterFetchInterval is the minimum interval between two fetches.
	rosterFetchInterval = 500 * time.Millisecond
	// maxRelayed bounds the relayed hosts in one heartbeat, so that the loads fit into the
	// datagram as well. A hub with more hosts relays them in turn.
	maxRelayed = 40
	// maxChanged bounds the records in one heartbeat, so that it fits into a datagram. The
	// roster has the others.
	maxChanged = 6
	// maxLeft bounds the hosts that a summary lists as no longer alive.
	maxLeft = 24
)

// FillBetweenHubs completes a heartbeat of KindBetweenHubs or KindToHub. A host that is no hub
// has hosts to relay only while others use it as one all the same.
func (t *Table) FillBetweenHubs(now time.Time, h *Heartbeat) {
	t.fillRoster(now, h)
	for _, p := range t.peers {
		// Other hubs are relayed as well: a hub that misses some heartbeats of another one must
		// not report it as gone.
		age := now.Sub(later(p.ownAt, p.hubAt))
		if age >= silenceTimeout {
			continue
		}
		h.Relayed = append(h.Relayed, RelayedHost{Key: p.key, AgeMs: uint16(max(age, 0).Milliseconds()), Record: uint32(p.recordHash)})
		if now.Sub(p.changedAt) < changeRetention && !p.ownAt.IsZero() {
			h.Changed = append(h.Changed, p.Member)
		}
	}
	slices.SortFunc(h.Relayed, func(a, b RelayedHost) int { return cmp.Compare(a.Key, b.Key) })
	if n := len(h.Relayed); n > maxRelayed {
		at := t.nextRelayed % n
		h.Relayed = append(h.Relayed[at:n:n], h.Relayed[:at]...)[:maxRelayed]
		t.nextRelayed = at + maxRelayed
	}
	t.boundChanged(h)
}

// FillSummary completes a summary for the hosts that use this host as a hub.
func (t *Table) FillSummary(now time.Time, h *Heartbeat) {
	t.fillRoster(now, h)
	for _, p := range t.peers {
		switch {
		case now.Sub(p.changedAt) >= changeRetention:
		case t.alive(now, p):
			h.Changed = append(h.Changed, p.Member)
		case len(h.Left) < maxLeft:
			h.Left = append(h.Left, p.key)
		}
	}
	t.boundChanged(h)
}

// boundChanged keeps the maxChanged records that changed last.
func (t *Table) boundChanged(h *Heartbeat) {
	slices.SortFunc(h.Changed, func(a, b Member) int {
		return cmp.Or(t.peers[b.Host].changedAt.Compare(t.peers[a.Host].changedAt), cmp.Compare(a.Host, b.Host))
	})
	h.Changed = h.Changed[:min(len(h.Changed), maxChanged)]
}

// fillRoster adds the description of the roster to a heartbeat.
func (t *Table) fillRoster(now time.Time, h *Heartbeat) {
	h.RosterHash, h.RosterSize = t.rosterHash(now)
	if !t.IsHub() {
		h.RosterAgeMs = uint32(min(now.Sub(t.summaryAt), rosterRetention).Milliseconds())
	}
}

// LoadSources returns the hosts that send their loads to this host, to be added to the loads
// that this host sends to other hubs.
func (t *Table) LoadSources(now time.Time) map[string]bool {
	out := map[string]bool{}
	for name, p := range t.peers {
		if p.primary && now.Sub(p.requestedAt) < silenceTimeout {
			out[name] = true
		}
	}
	return out
}

// IsPrimaryHub reports whether a host is the hub whose summaries this host uses.
func (t *Table) IsPrimaryHub(host string) bool { return len(t.selected) > 0 && t.selected[0] == host }

// FillDirect completes a heartbeat to a host outside the exchange with hubs.
func (t *Table) FillDirect(now time.Time, h *Heartbeat) { t.fillRoster(now, h) }

// rosterHash returns the sum of the hashes of all live records and their number.
func (t *Table) rosterHash(now time.Time) (hash uint64, size int) {
	hash, size = t.self.hash(), 1
	for _, p := range t.peers {
		if t.alive(now, p) {
			hash += p.recordHash
			size++
		}
	}
	return hash, size
}

// receiveRelayed merges the hosts that another host relays. own is set if that host uses this
// one as its hub, so that this host relays them in turn.
func (t *Table) receiveRelayed(now time.Time, from *Peer, h *Heartbeat, own bool) {
	for _, m := range h.Changed {
		if m.Host != t.self.Host && m.Host != "" {
			t.merge(now, m)
		}
	}
	mismatch := false
	for _, r := range h.Relayed {
		p := t.byKey[r.Key]
		if p == nil || uint32(p.recordHash) != r.Record {
			mismatch = mismatch || r.Key != hostKey(t.self.Host)
			continue
		}
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		p.heardAt = later(p.heardAt, at)
		if own {
			p.ownAt = later(p.ownAt, at)
		}
	}
	// Of two hubs, the one that knows fewer live hosts fetches the roster of the other.
	_, size := t.rosterHash(now)
	countMismatch(from, mismatch || !own && h.RosterSize > size)
	if !own { // else the host has its roster from this one
		t.compareRosterSize(now, from, h)
	}
}

// countMismatch counts the consecutive heartbeats of a host whose roster did not match.
func countMismatch(from *Peer, mismatch bool) {
	if !mismatch {
		from.unknownRecords = 0
		return
	}
	from.unknownRecords++
}

// compareRosterSize lets the roster be fetched at once from a host that knows far more live
// hosts, as it does right after the start of this host.
func (t *Table) compareRosterSize(now time.Time, from *Peer, h *Heartbeat) {
	_, size := t.rosterHash(now)
	if h.RosterSize > size+size/farMoreDivisor+1 {
		from.unknownRecords = mismatchesToFetch
	}
}

// receiveSummary merges a summary of a selected hub.
func (t *Table) receiveSummary(now time.Time, from *Peer, h *Heartbeat) {
	from.summaryAt = now
	if !t.IsPrimaryHub(from.Host) {
		return
	}
	// Hosts that act as hubs for each other must not keep the reports of a lost hub alive.
	t.summaryAt = later(t.summaryAt, now.Add(-time.Duration(h.RosterAgeMs)*time.Millisecond))
	from.reported = true
	for _, m := range h.Changed {
		if m.Host != t.self.Host && m.Host != "" {
			t.merge(now, m).reported = true
		}
	}
	for _, key := range h.Left {
		if p := t.byKey[key]; p != nil {
			p.reported = false
		}
	}
	hash, _ := t.rosterHash(now)
	countMismatch(from, hash != h.RosterHash)
	switch {
	case hash == h.RosterHash:
		t.syncedWith = from.Host
		for _, p := range t.peers {
			p.reported = t.alive(now, p) // the hub reports the same hosts
		}
	case t.syncedWith != from.Host:
		from.unknownRecords = mismatchesToFetch // a new primary hub has reported no host yet
	default:
		t.compareRosterSize(now, from, h)
	}
}

// WantsRoster returns the host from which to fetch the roster now, and whether a fetch is due.
// It records the fetch as started.
func (t *Table) WantsRoster(now time.Time) (host string, ok bool) {
	if now.Sub(t.rosterFetchedAt) < rosterFetchInterval {
		return "", false
	}
	for name, p := range t.peers {
		if p.unknownRecords >= mismatchesToFetch && now.Sub(p.directAt) < silenceTimeout && (!ok || name < host) {
			host, ok = name, true
		}
	}
	if ok {
		t.rosterFetchedAt = now
		t.peers[host].unknownRecords = 0
	}
	return host, ok
}

// Roster returns the live hosts, including this one.
func (t *Table) Roster(now time.Time) []RosterEntry {
	out := []RosterEntry{{Member: t.self}}
	for _, p := range t.peers {
		if !t.alive(now, p) {
			continue
		}
		e := RosterEntry{Member: p.Member, AgeMs: max(now.Sub(p.heardAt), 0).Milliseconds()}
		if now.Sub(p.heardAt) >= silenceTimeout {
			e.AgeMs, e.Reported = max(now.Sub(t.summaryAt), 0).Milliseconds(), true
		}
		out = append(out, e)
	}
	return out
}

// MergeRoster merges the roster fetched from a host. If that host is the primary hub, its
// roster replaces the reported one.
func (t *Table) MergeRoster(now time.Time, from string, roster []RosterEntry) {
	primary := t.IsPrimaryHub(from)
	t.changed = true
	if primary {
		for _, p := range t.peers {
			p.reported = false
		}
	}
	for _, e := range roster {
		t.supersede(e.Member)
		if e.Member.Host == "" || e.Member.Host == t.self.Host {
			continue
		}
		_, known := t.peers[e.Member.Host]
		p := t.merge(now, e.Member)
		if p.Incarnation != e.Member.Incarnation {
			continue // the roster is older than this host's own information
		}
		if primary {
			p.reported = true
			continue
		}
		if known && e.Reported {
			continue // a hub's report must not outlive the host by returning to the hub
		}
		p.heardAt = later(p.heardAt, now.Add(-time.Duration(e.AgeMs)*time.Millisecond))
	}
}
