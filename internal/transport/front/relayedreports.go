package front

import (
	"cmp"
	"slices"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/prompts"
)

// summaryLoads stands for all other hosts in the table of loads of a host that receives the loads from
// its hub.
const summaryLoads = "\x00summary"

// relayedQuarantine holds the quarantined requests that a host reported. own is set if the
// host uses this one as a hub.
type relayedQuarantine struct {
	requests []presence.QuarantinedRequest
	own      bool
}

// merge returns the union of two lists of keys.
func merge(a, b []uint32) []uint32 {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// withRelayedQuarantine adds the entries reported by other hosts to this host's own: those of
// the hosts that use this one as a hub or, unless ownHosts is set, of all. The order is that of
// quarantine.List.Report.
func (m *Membership) withRelayedQuarantine(own []presence.QuarantinedRequest, ownHosts bool) []presence.QuarantinedRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(own)
	for _, q := range m.quarantine {
		if q.own || !ownHosts {
			out = append(out, q.requests...)
		}
	}
	slices.SortFunc(out, func(a, b presence.QuarantinedRequest) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.RemainingMs, a.RemainingMs))
	})
	return out
}

// recordLoads applies the loads of a heartbeat. A hub keeps those of each host that sends it
// its own; the other hosts use the totals of their primary hub.
func (m *Membership) recordLoads(now time.Time, h presence.Heartbeat, hub, primary bool) {
	host, loads, unread := h.Host, h.Loads, h.Unread
	switch {
	case h.Kind == presence.KindToHub:
		if !h.Primary {
			loads, unread = nil, nil
		}
	case h.Kind == presence.KindSummary && primary && !hub:
		m.mu.Lock()
		host, loads = summaryLoads, subtractLoads(h.Loads, m.reportedLoads)
		unread = subtractUnread(h.Unread, m.reportedUnread)
		first := !m.loadsFromSummary
		m.loadsFromSummary = true
		m.mu.Unlock()
		if first {
			m.fleet.WithTable(func(t *placement.Table) { t.ClearPeerLoads(); t.ClearPeerQueues(now) })
		}
	case h.Kind == presence.KindBetweenHubs && hub, h.Protocol == 0 && hub:
	default:
		return
	}
	m.fleet.WithTable(func(t *placement.Table) {
		t.SetPeerLoads(host, loads)
		t.SetPeerQueues(now, host, unread)
	})
}

// subtractLoads returns the loads of total that are not part of own.
func subtractLoads(total, own map[uint32]uint16) map[uint32]uint16 {
	out := make(map[uint32]uint16, len(total))
	for key, n := range total {
		if n > own[key] {
			out[key] = n - own[key]
		}
	}
	return out
}

// subtractUnread returns the unread prompts of total that are not part of own.
func subtractUnread(total, own map[uint32]prompts.Queue) map[uint32]prompts.Queue {
	var out map[uint32]prompts.Queue
	for key, q := range total {
		o := own[key]
		if q.Tokens <= o.Tokens || q.Requests <= o.Requests {
			continue
		}
		q.Tokens, q.Requests = q.Tokens-o.Tokens, q.Requests-o.Requests
		if out == nil {
			out = map[uint32]prompts.Queue{}
		}
		out[key] = q
	}
	return out
}

func (m *Membership) recordQuarantine(h presence.Heartbeat) {
	if h.Kind != presence.KindToHub && h.Kind != presence.KindBetweenHubs {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(h.Quarantine) == 0 {
		delete(m.quarantine, h.Host)
		return
	}
	m.quarantine[h.Host] = relayedQuarantine{requests: h.Quarantine, own: h.Kind == presence.KindToHub}
}
