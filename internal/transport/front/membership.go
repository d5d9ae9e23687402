package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/state/batches"
)

const (
	// maxHeartbeatBytes bounds a datagram. Larger ones would be fragmented.
	maxHeartbeatBytes = 1400
	// hostListInterval is the time between listings of the host records, which find hosts
	// that are unknown to all peers.
	hostListInterval = 10 * time.Second
	// hostListRetryDelay replaces hostListInterval after a failed call to the store.
	hostListRetryDelay = time.Second
	// hostPrefix is the key prefix of the host records.
	hostPrefix = "hosts/"
)

// hostRecord is the stored object in which a host publishes its address.
type hostRecord struct {
	PeerAddress string `json:"peer_address"`
}

// Membership sends and receives heartbeats.
type Membership struct {
	settings      Settings
	peers         *Peers
	fleet         *Fleet
	store         *objectapi.Client
	stale         objectapi.API
	fillHeartbeat func(*presence.Heartbeat)
	// onHeartbeat is called with each accepted heartbeat. appeared is true if its host was
	// not alive before or has restarted.
	onHeartbeat func(h presence.Heartbeat, appeared bool)
	log         *slog.Logger

	incarnation int64
	sequence    atomic.Uint64
	conn        *net.UDPConn
	seeds       atomic.Pointer[[]string]
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

// heartbeat returns the next heartbeat of this host.
func (m *Membership) heartbeat() presence.Heartbeat {
	h := presence.Heartbeat{
		Host: m.settings.Host, Zone: m.settings.Zone, Incarnation: m.incarnation,
		Sequence: m.sequence.Add(1), PeerAddress: m.settings.PeerAddress, CallerAddress: m.settings.CallerAddress,
	}
	m.fleet.WithTable(func(t *placement.Table) { h.Loads = t.LocalLoads() })
	m.fillHeartbeat(&h)
	return h
}

func (m *Membership) sendPeriodically(ctx context.Context) {
	ticker := time.NewTicker(presence.Interval)
	defer ticker.Stop()
	for {
		m.Announce()
		m.clearDeadPeerLoads()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// close closes the heartbeat socket.
func (m *Membership) close() {
	if m.conn != nil {
		_ = m.conn.Close() // a datagram socket has nothing to flush
	}
}

// Announce sends a heartbeat to all known hosts and seeds immediately.
func (m *Membership) Announce() {
	m.peers.mu.Lock()
	targets := m.peers.table.Addresses(time.Now())
	m.peers.mu.Unlock()
	targets = append(targets, *m.seeds.Load()...)
	slices.Sort(targets)
	m.sendTo(slices.Compact(targets), nil)
}

// sendTo sends a heartbeat to the target addresses. If modify is not nil, it may change the
// heartbeat first.
func (m *Membership) sendTo(targets []string, modify func(*presence.Heartbeat)) {
	h := m.heartbeat()
	if modify != nil {
		modify(&h)
	}
	b, err := cbor.Marshal(h)
	if err != nil || len(b) > maxHeartbeatBytes {
		// Loads only improve endpoint selection, so they are dropped before anything else.
		h.Loads = nil
		if b, err = cbor.Marshal(h); err != nil {
			m.log.Error("Failed to encode heartbeat", "err", err)
			return
		}
	}
	for _, t := range targets {
		if t == m.settings.PeerAddress {
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", t)
		if err != nil {
			m.log.Warn("Invalid host address", "address", t, "err", err)
			continue
		}
		// A failed send is treated like a lost datagram, since the next heartbeat follows
		// soon.
		_, _ = m.conn.WriteToUDP(b, address)
	}
}

func (m *Membership) receive() {
	buffer := make([]byte, 2*maxHeartbeatBytes)
	for {
		n, _, err := m.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error caused by an earlier datagram
		}
		var h presence.Heartbeat
		if err := cbor.Unmarshal(buffer[:n], &h); err != nil {
			m.log.Warn("Failed to decode heartbeat", "bytes", n, "err", err)
			continue
		}
		m.accept(h)
	}
}

func (m *Membership) accept(h presence.Heartbeat) {
	m.peers.mu.Lock()
	accepted, appeared := m.peers.table.Receive(time.Now(), h)
	m.peers.mu.Unlock()
	if !accepted {
		return
	}
	m.fleet.WithTable(func(t *placement.Table) {
		now := time.Now()
		t.SetPeerLoads(h.Host, h.Loads)
		for key, ms := range h.LoadingMs {
			t.SetLoading(now, key, now.Add(time.Duration(ms)*time.Millisecond))
		}
		for _, key := range h.Unreachable {
			t.MarkReportedUnreachable(now, key)
		}
		for _, key := range h.Slow {
			t.MarkReportedSlow(now, key)
		}
	})
	if appeared {
		m.log.Info("Peer appeared or restarted", "host", h.Host, "address", h.PeerAddress, "incarnation", h.Incarnation)
	}
	m.respond(h, appeared)
	m.onHeartbeat(h, appeared)
}

func requestReply(h *presence.Heartbeat) { h.ReplyRequested = true }

// respond replies to a heartbeat if its host appeared or requested a reply, and contacts the
// hosts that the heartbeat lists and this host does not know.
func (m *Membership) respond(h presence.Heartbeat, appeared bool) {
	m.peers.mu.Lock()
	known := m.peers.table.Addresses(time.Now())
	m.peers.mu.Unlock()
	if appeared || h.ReplyRequested {
		m.sendTo([]string{h.PeerAddress}, func(own *presence.Heartbeat) { own.Peers, own.ReplyRequested = known, appeared })
	}
	unknown := slices.DeleteFunc(slices.Clone(h.Peers), func(a string) bool { return slices.Contains(known, a) })
	if len(unknown) > 0 {
		m.sendTo(unknown, requestReply)
	}
}

// clearDeadPeerLoads removes the reported loads of hosts that are no longer alive.
func (m *Membership) clearDeadPeerLoads() {
	m.peers.mu.Lock()
	dead := m.peers.table.Silent(time.Now())
	m.peers.mu.Unlock()
	for _, p := range dead {
		m.fleet.WithTable(func(t *placement.Table) { t.SetPeerLoads(p.Host, nil) })
	}
}

// discover registers this host in the store and periodically lists the other hosts.
func (m *Membership) discover(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			registered = m.registerHost(ctx)
		}
		pause := hostListRetryDelay
		if m.listHosts(ctx) && registered {
			pause = hostListInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// registerHost writes this host's record to the store unless it is already there. It reports
// whether the record is up to date.
func (m *Membership) registerHost(ctx context.Context) bool {
	value, err := batches.Encode(hostRecord{PeerAddress: m.settings.PeerAddress})
	if err != nil {
		m.log.Error("Failed to encode own host record", "err", err)
		return false
	}
	key := hostPrefix + m.settings.Host
	current, err := m.store.Get(ctx, key)
	switch {
	case err == nil && string(current.Value) == string(value):
		return true
	case err != nil && !errors.Is(err, objectapi.ErrNotFound):
		m.log.Warn("Failed to read own host record", "err", err)
		return false
	}
	if _, err := m.store.Put(ctx, key, value, current.Version); err != nil {
		m.log.Warn("Failed to write own host record", "err", err)
		return false
	}
	return true
}

// listHosts reads the host records, adds them to the seeds and requests replies from all of
// them. It reports whether the records could be read.
func (m *Membership) listHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	page, err := m.stale.List(ctx, hostPrefix, "", 0)
	if err != nil {
		m.log.Warn("Failed to list host records", "err", err)
		return false
	}
	var found []string
	for _, o := range page.Objects {
		var r hostRecord
		payload := objectapi.Payload(o.Value)
		if err := batches.Decode(payload, &r); err != nil || r.PeerAddress == "" {
			m.log.Warn("Invalid host record ignored", "key", o.Key, "err", err)
			continue
		}
		found = append(found, r.PeerAddress)
	}
	if len(found) > 0 {
		seeds := append(slices.Clone(m.settings.Seeds), found...)
		m.seeds.Store(&seeds)
	}
	m.sendTo(found, requestReply)
	return true
}
