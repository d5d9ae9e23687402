package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/coordination/prompts"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

const (
	// maxDatagramBytes is the largest datagram that can arrive: older builds do not bound their heartbeats.
	maxDatagramBytes = 64 << 10
	// membershipTick is the time between checks for hosts that ceased to be alive.
	membershipTick = presence.Interval / 3
	// minAnnounceInterval is the minimum time between two heartbeats that announce a change,
	// so that a burst of changes does not flood the peers.
	minAnnounceInterval = 20 * time.Millisecond
	// seedInterval is the time between heartbeats to seeds that are not known to be alive.
	seedInterval = 5 * time.Second
)

// Membership sends and receives heartbeats.
type Membership struct {
	settings      Settings
	peers         *Peers
	peerClient    *PeerClient
	fleet         *Fleet
	store         *objectapi.Client
	stale         objectapi.API
	fillHeartbeat func(*presence.Heartbeat)
	// rank returns this host's position in the succession order of a task.
	rank func(task string) int
	// onHeartbeat is called with each accepted heartbeat. appeared is true if its host was
	// not alive before or has restarted.
	onHeartbeat func(h presence.Heartbeat, appeared bool)
	// onLost is called when a host ceased to be alive or has restarted.
	onLost func()
	log    *slog.Logger
	// cutEntries counts the entries that did not fit into a heartbeat, by list.
	cutEntries *prometheus.CounterVec

	incarnation int64
	sequence    atomic.Uint64
	conn        *net.UDPConn
	seeds       atomic.Pointer[[]string]
	announced   chan struct{}

	mu sync.Mutex
	// loadsFromSummary is set while the loads of all other hosts are those of summaryLoads.
	loadsFromSummary bool
	// reportedLoads are the loads that this host last sent to its primary hub.
	reportedLoads map[uint32]uint16
	// reportedUnread are the unread prompts that it sent with them.
	reportedUnread map[uint32]prompts.Queue
	// quarantine holds the entries of the last heartbeats of the hosts that this host relays
	// for, and of the other hubs.
	quarantine map[string]relayedQuarantine
	// hub and hubs are the role of this host and its hubs as last logged.
	hub  bool
	hubs []string
}

// Run opens the heartbeat socket and then sends and receives heartbeats in the background.
// Sending stops when ctx is done, receiving on close.
func (m *Membership) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", m.settings.PeerAddress)
	if err != nil {
		return err
	}
	if m.conn, err = net.ListenUDP("udp4", address); err != nil {
		return err
	}
	m.incarnation = time.Now().UnixNano()
	seeds := slices.Clone(m.settings.Seeds)
	m.seeds.Store(&seeds)
	go m.receive()
	go m.discover(ctx)
	go m.sendPeriodically(ctx)
	return nil
}

// heartbeat returns a heartbeat of this host without the parts that depend on its receiver.
func (m *Membership) heartbeat() presence.Heartbeat {
	h := presence.Heartbeat{
		Member: presence.Member{
			Host: m.settings.Host, Zone: m.settings.Zone, Incarnation: m.incarnation,
			PeerAddress: m.settings.PeerAddress, CallerAddress: m.settings.CallerAddress,
			Capacity: float32(m.settings.Capacity),
		},
	}
	m.fillHeartbeat(&h)
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	m.peers.table.SetSelf(h.Member)
	h.Member = m.peers.table.Self()
	return h
}

func (m *Membership) sendPeriodically(ctx context.Context) {
	ticker := time.NewTicker(membershipTick)
	defer ticker.Stop()
	var sentAt, seedsAt time.Time
	for {
		announce := false
		select {
		case <-ctx.Done():
			return
		case <-m.announced:
			announce = true
		case <-ticker.C:
		}
		now := time.Now()
		m.tick(ctx, now)
		due := now.Sub(sentAt) >= presence.Interval-membershipTick/2
		if due {
			sentAt = now
		}
		if due || announce {
			withSeeds := due && (m.peers.Count() == 0 || now.Sub(seedsAt) >= seedInterval)
			if withSeeds {
				seedsAt = now
			}
			m.send(now, due, withSeeds)
		} else if m.longPromptsQueued(now) {
			m.sendLoads(now)
		}
		if announce {
			select {
			case <-ctx.Done():
				return
			case <-time.After(minAnnounceInterval):
			}
		}
	}
}

// tick checks the table of hosts and drops what was reported by hosts that are gone.
func (m *Membership) tick(ctx context.Context, now time.Time) {
	m.peers.mu.Lock()
	left := m.peers.table.Tick(now)
	hub, hubs := m.peers.table.IsHub(), m.peers.table.SelectedHubs()
	source, fetch := m.peers.table.WantsRoster(now)
	m.peers.mu.Unlock()
	m.mu.Lock()
	if hub != m.hub || !slices.Equal(hubs, m.hubs) {
		m.hub, m.hubs = hub, hubs
		m.log.Info("Hubs selected", "is_hub", hub, "hubs", hubs, "peers", m.peers.Count())
	}
	for _, l := range left {
		delete(m.quarantine, l.Host)
	}
	wasSummary := m.loadsFromSummary
	if hub {
		m.loadsFromSummary = false
	}
	m.mu.Unlock()
	m.fleet.WithTable(func(t *placement.Table) {
		for _, l := range left {
			t.SetPeerLoads(l.Host, nil)
			t.SetPeerQueues(now, l.Host, nil)
		}
		if hub && wasSummary {
			t.SetPeerLoads(summaryLoads, nil)
			t.SetPeerQueues(now, summaryLoads, nil)
		}
	})
	for _, l := range left {
		if l.Own {
			m.log.Info("Peer lost", "host", l.Host)
		}
	}
	if len(left) > 0 {
		m.onLost()
	}
	if fetch {
		go m.fetchRoster(ctx, source)
	}
}

// fetchRoster replaces or completes the table of hosts by the one of a peer.
func (m *Membership) fetchRoster(ctx context.Context, host string) {
	roster, err := m.peerClient.Roster(ctx, host)
	if err != nil {
		m.log.Warn("Failed to fetch roster", "host", host, "err", err)
		return
	}
	m.peers.mu.Lock()
	m.peers.table.MergeRoster(time.Now(), host, roster)
	m.peers.mu.Unlock()
	m.log.Info("Roster fetched", "host", host, "hosts", len(roster))
}

// close closes the heartbeat socket.
func (m *Membership) close() {
	if m.conn != nil {
		_ = m.conn.Close() // a datagram socket has nothing to flush
	}
}

// Announce sends a heartbeat as soon as possible: to the hubs, and in a small fleet to all
// hosts.
func (m *Membership) Announce() {
	select {
	case m.announced <- struct{}{}:
	default: // one is due already
	}
}

// send sends the heartbeats of one interval, or without summaries those that announce a
// change.
func (m *Membership) send(now time.Time, withSummaries, withSeeds bool) {
	m.peers.mu.Lock()
	to := m.peers.table.Sends(now)
	alive := map[string]bool{}
	if withSeeds {
		for _, p := range m.peers.table.Peers(now) {
			alive[p.PeerAddress] = true
		}
	}
	m.peers.mu.Unlock()
	if withSeeds {
		for _, s := range *m.seeds.Load() {
			if !alive[s] {
				to.Direct = append(to.Direct, s)
			}
		}
	}
	m.sendParts(now, to, withSummaries)
}

// longPromptsQueued reports whether hosts that use the loads of this one should learn at once that
// engines have long prompts to read: those of this host or, at a hub, of any host.
func (m *Membership) longPromptsQueued(now time.Time) (queued bool) {
	m.peers.mu.Lock()
	serves := len(m.peers.table.LoadSources(now)) > 0
	m.peers.mu.Unlock()
	m.fleet.WithTable(func(t *placement.Table) { queued = t.LongQueued(now, func(string) bool { return serves }) })
	return queued
}

// sendLoads sends the heartbeats of which the receivers use the loads, between those of two intervals.
func (m *Membership) sendLoads(now time.Time) {
	m.peers.mu.Lock()
	to := m.peers.table.Sends(now)
	m.peers.mu.Unlock()
	to.Secondary, to.Direct = nil, nil
	m.sendParts(now, to, true)
}

// sendParts sends heartbeats to the given receivers.
func (m *Membership) sendParts(now time.Time, to presence.Sends, withSummaries bool) {
	m.peers.mu.Lock()
	sources := m.peers.table.LoadSources(now)
	m.peers.mu.Unlock()
	h := m.heartbeat()
	if len(to.Primary)+len(to.Secondary)+len(to.Hubs) > 0 {
		own := h
		m.fleet.WithTable(func(t *placement.Table) {
			fromSource := func(host string) bool { return sources[host] }
			own.Loads, own.Unread = t.SumLoads(fromSource), t.SumQueues(now, fromSource)
		})
		own.Quarantine = m.withRelayedQuarantine(h.Quarantine, true)
		m.fill(now, &own, (*presence.Table).FillBetweenHubs)
		own.Kind = presence.KindBetweenHubs
		m.sendTo(to.Hubs, own)
		own.Kind, own.Primary = presence.KindToHub, true
		if len(to.Primary) > 0 {
			m.mu.Lock()
			m.reportedLoads, m.reportedUnread = own.Loads, own.Unread
			m.mu.Unlock()
		}
		m.sendTo(to.Primary, own)
		own.Primary, own.Loads, own.Unread = false, nil, nil
		m.sendTo(to.Secondary, own)
	}
	if withSummaries && len(to.Summaries) > 0 {
		summary := h
		summary.Kind = presence.KindSummary
		summary.LoadingMs = nil // only hubs run batches
		m.fleet.WithTable(func(t *placement.Table) {
			fromAll := func(string) bool { return true }
			summary.Loads, summary.Unread = t.SumLoads(fromAll), t.SumQueues(now, fromAll)
			summary.Unreachable, summary.Slow = t.Reported(now)
		})
		summary.Unreachable, summary.Slow = merge(h.Unreachable, summary.Unreachable), merge(h.Slow, summary.Slow)
		summary.Quarantine = m.withRelayedQuarantine(h.Quarantine, false)
		m.fill(now, &summary, (*presence.Table).FillSummary)
		m.sendTo(to.Summaries, summary)
	}
	if len(to.Direct) > 0 {
		m.sendTo(to.Direct, m.direct(now, h))
	}
}

// direct returns a heartbeat to a host outside the exchange with hubs.
func (m *Membership) direct(now time.Time, h presence.Heartbeat) presence.Heartbeat {
	m.fleet.WithTable(func(t *placement.Table) {
		h.Loads, h.Unread = t.LocalLoads(), t.SumQueues(now, func(string) bool { return false })
	})
	m.fill(now, &h, (*presence.Table).FillDirect)
	return h
}

func (m *Membership) fill(now time.Time, h *presence.Heartbeat, fill func(*presence.Table, time.Time, *presence.Heartbeat)) {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	fill(m.peers.table, now, h)
}

// sendTo sends a heartbeat to the target addresses.
func (m *Membership) sendTo(targets []string, h presence.Heartbeat) {
	if len(targets) == 0 {
		return
	}
	// Each kind has its own sequence number, since a host may receive several kinds.
	h.Sequence = m.sequence.Add(1)
	b, cut, err := encodeHeartbeat(h)
	if err != nil {
		m.log.Error("Failed to encode heartbeat", "err", err)
		return
	}
	for list, entries := range cut {
		m.cutEntries.WithLabelValues(list).Add(float64(entries))
	}
	for _, t := range targets {
		if t == m.settings.PeerAddress {
			continue
		}
		address, err := netip.ParseAddrPort(t)
		if err != nil {
			m.log.Warn("Invalid host address", "address", t, "err", err)
			continue
		}
		// A failed send is treated like a lost datagram, since the next heartbeat follows
		// soon.
		_, _ = m.conn.WriteToUDPAddrPort(b, address)
	}
}

func (m *Membership) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error caused by an earlier datagram
		}
		var h presence.Heartbeat
		if err := decoding.Unmarshal(buffer[:n], &h); err != nil {
			m.log.Warn("Failed to decode heartbeat", "bytes", n, "err", err)
			continue
		}
		m.accept(h)
	}
}

func (m *Membership) accept(h presence.Heartbeat) {
	now := time.Now()
	m.peers.mu.Lock()
	table := m.peers.table
	before, _ := table.Get(now, h.Host)
	incarnation := table.Self().Incarnation
	accepted, appeared := table.Receive(now, h)
	superseding, superseded := table.Superseding(h)
	raised := table.Self().Incarnation
	hub, primary := table.IsHub(), table.IsPrimaryHub(h.Host)
	m.peers.mu.Unlock()
	if raised != incarnation {
		m.log.Warn("Own incarnation raised above that of a record of this host", "from", incarnation, "to", raised, "host", h.Host)
		m.Announce()
	}
	if superseded {
		own := m.direct(now, m.heartbeat())
		own.Changed = []presence.Member{superseding}
		m.sendTo([]string{h.PeerAddress}, own)
	}
	if !accepted {
		return
	}
	if before.Host != "" && before.Incarnation != h.Incarnation {
		m.onLost()
	}
	m.recordLoads(now, h, hub, primary)
	m.recordQuarantine(h)
	m.fleet.MergeLimits(h.Limits)
	m.fleet.WithTable(func(t *placement.Table) {
		for key, ms := range h.LoadingMs {
			t.SetLoading(now, key, now.Add(time.Duration(ms)*time.Millisecond))
		}
		t.MarkReportedLeaving(h.Leaving)
		for _, key := range h.Unreachable {
			t.MarkReportedUnreachable(now, key)
		}
		for _, key := range h.Slow {
			t.MarkReportedSlow(now, key)
		}
	})
	if appeared && hub {
		m.log.Info("Peer appeared or restarted", "host", h.Host, "address", h.PeerAddress, "incarnation", h.Incarnation)
	}
	if h.Kind == presence.KindToHub && h.Member != before {
		m.Announce() // the other hubs learn of the change from this one
	}
	m.respond(now, h, appeared)
	m.onHeartbeat(h, appeared)
}

// respond replies to a heartbeat if its host appeared or requested a reply, and contacts the
// hosts that the heartbeat lists and this host does not know.
func (m *Membership) respond(now time.Time, h presence.Heartbeat, appeared bool) {
	if !(appeared && h.Kind != presence.KindSummary || h.ReplyRequested || len(h.Peers) > 0) {
		return
	}
	var known []string
	m.peers.mu.Lock()
	if m.peers.table.SmallFleet() {
		known = m.peers.table.Addresses()
	}
	m.peers.mu.Unlock()
	if appeared && h.Kind != presence.KindSummary || h.ReplyRequested {
		own := m.direct(now, m.heartbeat())
		own.Peers, own.ReplyRequested = known, appeared
		m.sendTo([]string{h.PeerAddress}, own)
	}
	unknown := slices.DeleteFunc(slices.Clone(h.Peers), func(a string) bool { return slices.Contains(known, a) })
	if len(unknown) > 0 {
		m.requestReplies(now, unknown)
	}
}

func (m *Membership) requestReplies(now time.Time, addresses []string) {
	own := m.direct(now, m.heartbeat())
	own.ReplyRequested = true
	m.sendTo(addresses, own)
}
