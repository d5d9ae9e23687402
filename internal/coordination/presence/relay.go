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
	mismatchesToFetch = 2
	// rosterFetchInterval is the minimum interval between two fetches.
	rosterFetchInterval = 500 * time.Millisecond
	// maxChanged bounds the records in one heartbeat, so that it fits into a datagram. The
	// roster has the others.
	maxChanged = 6
	// maxLeft bounds the hosts that a summary lists as no longer alive.
	maxLeft = 24
)

// FillBetweenHubs completes a heartbeat to the other hubs, or of a host that is not elected
// to the hubs that it uses.
func (t *Table) FillBetweenHubs(now time.Time, h *Heartbeat) {
	t.fillRoster(now, h)
	for _, p := range t.peers {
		age := now.Sub(p.ownAt)
		if age >= silenceTimeout {
			continue
		}
		h.Relayed = append(h.Relayed, RelayedHost{Key: p.key, AgeMs: uint16(max(age, 0).Milliseconds()), Record: uint32(p.recordHash)})
		if now.Sub(p.changedAt) < changeRetention {
			h.Changed = append(h.Changed, p.Member)
		}
	}
	slices.SortFunc(h.Relayed, func(a, b RelayedHost) int { return cmp.Compare(a.Key, b.Key) })
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

func (t *Table) fillRoster(now time.Time, h *Heartbeat) {
	h.RosterHash, h.RosterSize = t.rosterHash(now)
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
	countMismatch(from, mismatch)
	t.compareRosterSize(from, h)
}

func countMismatch(from *Peer, mismatch bool) {
	if !mismatch {
		from.unknownRecords = 0
		return
	}
	from.unknownRecords++
}

// compareRosterSize lets the roster be fetched at once from a host that knows far more hosts,
// as it does right after the start of this host.
func (t *Table) compareRosterSize(from *Peer, h *Heartbeat) {
	if h.RosterSize > 2*(len(t.peers)+1) {
		from.unknownRecords = mismatchesToFetch
	}
}

// receiveSummary merges a summary of a selected hub.
func (t *Table) receiveSummary(now time.Time, from *Peer, h *Heartbeat) {
	from.summaryAt = now
	if !t.IsPrimaryHub(from.Host) {
		return
	}
	t.summaryAt = now
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
	t.compareRosterSize(from, h)
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
		age := now.Sub(p.heardAt)
		if age >= silenceTimeout {
			age = now.Sub(t.summaryAt) // alive by the report of this host's hub
		}
		out = append(out, RosterEntry{Member: p.Member, AgeMs: max(age, 0).Milliseconds()})
	}
	return out
}

// MergeRoster merges the roster fetched from a host. If that host is the primary hub, its
// roster replaces the reported one.
func (t *Table) MergeRoster(now time.Time, from string, roster []RosterEntry) {
	primary := t.IsPrimaryHub(from)
	if primary {
		t.summaryAt = now
		for _, p := range t.peers {
			p.reported = false
		}
	}
	for _, e := range roster {
		if e.Member.Host == "" || e.Member.Host == t.self.Host {
			continue
		}
		p := t.merge(now, e.Member)
		if p.Incarnation != e.Member.Incarnation {
			continue // the roster is older than this host's own information
		}
		if primary {
			p.reported = true
			continue
		}
		p.heardAt = later(p.heardAt, now.Add(-time.Duration(e.AgeMs)*time.Millisecond))
	}
}
