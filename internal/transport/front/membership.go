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
	// maxHeartbeatBytes bounds a datagram; larger ones would be fragmented.
	maxHeartbeatBytes = 1400
	// hostListEvery is the pause between readings of the hosts' objects, which find
	// hosts that no peer has mentioned.
	hostListEvery = 10 * time.Second
	// hostListRetry is that pause while the store does not answer.
	hostListRetry = time.Second
	// hostPrefix holds an object for each host.
	hostPrefix = "hosts/"
)

// hostRecord is a host's own object.
type hostRecord struct {
	PeerAddress string `json:"peer_address"`
}

// Membership sends and takes heartbeats.
type Membership struct {
	settings Settings
	peers    *Peers
	fleet    *Fleet
	store    *objectapi.Client
	stale    objectapi.API
	describe func(*presence.Heartbeat)
	// heard is told of each accepted heartbeat.
	heard func(h presence.Heartbeat, appeared bool)
	log   *slog.Logger

	incarnation int64
	sequence    atomic.Uint64
	conn        *net.UDPConn
	seeds       atomic.Pointer[[]string]
}

// Run serves heartbeats until ctx ends.
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
	go m.send(ctx)
	return nil
}

// heartbeat returns what this host says of itself now.
func (m *Membership) heartbeat() presence.Heartbeat {
	h := presence.Heartbeat{
		Host: m.settings.Host, Zone: m.settings.Zone, Incarnation: m.incarnation,
		Sequence: m.sequence.Add(1), PeerAddress: m.settings.PeerAddress, CallerAddress: m.settings.CallerAddress,
	}
	m.fleet.With(func(t *placement.Table) { h.Loads = t.LocalLoads() })
	m.describe(&h)
	return h
}

func (m *Membership) send(ctx context.Context) {
	ticker := time.NewTicker(presence.Interval)
	defer ticker.Stop()
	for {
		m.Announce()
		m.expire()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// close ends the receiving of heartbeats.
func (m *Membership) close() {
	if m.conn != nil {
		_ = m.conn.Close() // a datagram socket has nothing to flush
	}
}

// Announce sends a heartbeat to every host at once.
func (m *Membership) Announce() {
	m.peers.mu.Lock()
	targets := m.peers.table.Addresses(time.Now())
	m.peers.mu.Unlock()
	targets = append(targets, *m.seeds.Load()...)
	slices.Sort(targets)
	m.sendTo(slices.Compact(targets), nil)
}

// sendTo sends a heartbeat, changed as alter says, to the hosts at the targets.
func (m *Membership) sendTo(targets []string, alter func(*presence.Heartbeat)) {
	h := m.heartbeat()
	if alter != nil {
		alter(&h)
	}
	b, err := cbor.Marshal(h)
	if err != nil || len(b) > maxHeartbeatBytes {
		// Loads only improve choices; the rest must get through.
		h.Loads = nil
		if b, err = cbor.Marshal(h); err != nil {
			m.log.Error("A heartbeat cannot be encoded.", "err", err)
			return
		}
	}
	for _, t := range targets {
		if t == m.settings.PeerAddress {
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", t)
		if err != nil {
			m.log.Warn("A host's address cannot be read.", "address", t, "err", err)
			continue
		}
		// A datagram that cannot be sent is like a lost one: the next follows soon.
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
			continue // an ICMP error of an earlier datagram
		}
		var h presence.Heartbeat
		if err := cbor.Unmarshal(buffer[:n], &h); err != nil {
			m.log.Warn("A datagram is no heartbeat.", "bytes", n, "err", err)
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
	m.fleet.With(func(t *placement.Table) {
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
		m.log.Info("A host is alive.", "host", h.Host, "address", h.PeerAddress, "incarnation", h.Incarnation)
	}
	m.greet(h, appeared)
	m.heard(h, appeared)
}

func hello(h *presence.Heartbeat) { h.ReplyRequested = true }

// greet answers a host that appeared or asks for an answer, and greets the hosts that
// it names and that this host does not know.
func (m *Membership) greet(h presence.Heartbeat, appeared bool) {
	m.peers.mu.Lock()
	known := m.peers.table.Addresses(time.Now())
	m.peers.mu.Unlock()
	if appeared || h.ReplyRequested {
		m.sendTo([]string{h.PeerAddress}, func(own *presence.Heartbeat) { own.Peers, own.ReplyRequested = known, appeared })
	}
	unknown := slices.DeleteFunc(slices.Clone(h.Peers), func(a string) bool { return slices.Contains(known, a) })
	if len(unknown) > 0 {
		m.sendTo(unknown, hello)
	}
}

// expire forgets the load of hosts that are silent.
func (m *Membership) expire() {
	m.peers.mu.Lock()
	silent := m.peers.table.Silent(time.Now())
	m.peers.mu.Unlock()
	for _, p := range silent {
		m.fleet.With(func(t *placement.Table) { t.SetPeerLoads(p.Host, nil) })
	}
}

// discover registers this host and reads the others' addresses.
func (m *Membership) discover(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			registered = m.register(ctx)
		}
		pause := hostListRetry
		if m.list(ctx) && registered {
			pause = hostListEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (m *Membership) register(ctx context.Context) bool {
	value, err := batches.Encode(hostRecord{PeerAddress: m.settings.PeerAddress})
	if err != nil {
		m.log.Error("The host's record cannot be encoded.", "err", err)
		return false
	}
	key := hostPrefix + m.settings.Host
	present, err := m.store.Get(ctx, key)
	switch {
	case err == nil && string(present.Value) == string(value):
		return true
	case err != nil && !errors.Is(err, objectapi.ErrNotFound):
		m.log.Warn("The host's record cannot be read.", "err", err)
		return false
	}
	if _, err := m.store.Put(ctx, key, value, present.Version); err != nil {
		m.log.Warn("The host's record cannot be written.", "err", err)
		return false
	}
	return true
}

// list reads the hosts' objects and greets all of them.
func (m *Membership) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	page, err := m.stale.List(ctx, hostPrefix, "", 0)
	if err != nil {
		m.log.Warn("The hosts' records cannot be read.", "err", err)
		return false
	}
	var found []string
	for _, o := range page.Objects {
		var r hostRecord
		payload := objectapi.Payload(o.Value)
		if err := batches.Decode(payload, &r); err != nil || r.PeerAddress == "" {
			m.log.Warn("A host's record cannot be read.", "key", o.Key, "err", err)
			continue
		}
		found = append(found, r.PeerAddress)
	}
	if len(found) > 0 {
		seeds := append(slices.Clone(m.settings.Seeds), found...)
		m.seeds.Store(&seeds)
	}
	m.sendTo(found, hello)
	return true
}
