// Package membership implements a SWIM-style failure detector: heartbeats over an
// overlay of bounded degree, indirect probes, suspicions that the suspect can refute,
// and periodic attempts to contact hosts recorded as dead. It does no I/O; the clock
// and the random source are passed in. The program oleander-control uses it; the
// program oleanderfall uses package presence instead.
//
// Invariant: only a host itself raises its incarnation and revision, so a live host
// that learns of its own suspicion can always override it. A wrong view costs extra
// work only; nothing relies on the view for safety.
package membership

import (
	"sort"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Machine is one host's side of the protocol. It is not safe for concurrent use.
type Machine struct {
	opt   Options
	self  members.Record
	table *members.Table
	// peers are the hosts that this host monitors. monitors are the hosts that monitor
	// this one, with the time of their last ping.
	peers        map[model.HostID]*peer
	monitors     map[model.HostID]time.Time
	peersVersion uint64
	relays       map[uint64]relay
	// suspectSince and deadSince hold when a record became suspect or dead here.
	suspectSince map[model.HostID]time.Time
	deadSince    map[model.HostID]time.Time
	lastTick     time.Time
	contacts     contacts
}

type peer struct {
	record    members.Record
	nextPing  time.Time
	lastAlive time.Time
	// probeDeadline is when the indirect probe in flight times out; zero if there is
	// none.
	probeDeadline time.Time
}

// relay is a ping in flight on behalf of another host, the requester.
type relay struct {
	requester model.HostID
	address   string
	target    model.HostID
	expires   time.Time
}

// New returns a machine whose table holds only opt.Self.
func New(opt Options, now time.Time) *Machine {
	m := &Machine{
		opt:          opt,
		self:         opt.Self,
		table:        members.NewTable(),
		peers:        map[model.HostID]*peer{},
		monitors:     map[model.HostID]time.Time{},
		relays:       map[uint64]relay{},
		suspectSince: map[model.HostID]time.Time{},
		deadSince:    map[model.HostID]time.Time{},
		lastTick:     now,
	}
	m.table.Merge(m.self)
	return m
}

// Self returns this host's own record.
func (m *Machine) Self() members.Record { return m.self }

// Sender returns this host's description of itself for outgoing messages.
func (m *Machine) Sender() Sender {
	s := m.self
	return Sender{
		Host: s.Host, Zone: s.Zone, Control: s.Control,
		Incarnation: s.Incarnation, Revision: s.Revision, Leaving: s.Leaving, EntryNotReady: s.EntryNotReady,
	}
}

// Records returns all records, including those of dead hosts, in order of host.
func (m *Machine) Records() []members.Record { return m.table.All() }

// Table returns the machine's table. Callers must not modify it.
func (m *Machine) Table() *members.Table { return m.table }

// SetLeaving announces that this host is about to leave the fleet, or withdraws that
// announcement. It has no effect if the state is unchanged.
func (m *Machine) SetLeaving(leaving bool) Output {
	if m.self.Leaving == leaving {
		return Output{}
	}
	m.self.Leaving = leaving
	return m.announceRevision(m.self.Revision + 1)
}

// SetEntryReady announces whether this host's entry program serves callers. It has no
// effect if the state is unchanged.
func (m *Machine) SetEntryReady(ready bool) Output {
	if m.self.EntryNotReady == !ready {
		return Output{}
	}
	m.self.EntryNotReady = !ready
	return m.announceRevision(m.self.Revision + 1)
}

// Depart announces this host as dead after a planned stop. Other hosts accept this
// without a suspicion phase.
func (m *Machine) Depart() Output {
	m.self.Leaving = true
	m.self.State = members.Dead
	return m.announceRevision(m.self.Revision + 1)
}

func (m *Machine) announceRevision(revision uint64) Output {
	m.self.Revision = revision
	m.table.Merge(m.self)
	return Output{Updates: []members.Record{m.self}}
}

// Links returns the hosts that updates are sent to: the hosts that this one monitors
// and those that monitor it, in order of host.
func (m *Machine) Links() []members.Record {
	out := make([]members.Record, 0, len(m.peers)+len(m.monitors))
	for _, p := range m.peers {
		out = append(out, p.record)
	}
	for id := range m.monitors {
		if r, ok := m.table.Get(id); ok && m.peers[id] == nil && r.State != members.Dead {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func (m *Machine) heartbeats(n int) time.Duration { return time.Duration(n) * m.opt.Heartbeat }

// Tick advances the machine to now. Call it several times per heartbeat interval; a
// gap of pauseHeartbeats or more counts as a pause of this process.
func (m *Machine) Tick(now time.Time) Output {
	m.compensatePause(now)
	m.lastTick = now
	var out Output
	m.refreshPeers(now, &out)
	for _, id := range m.sortedPeerIDs() {
		m.tickPeer(now, m.peers[id], &out)
	}
	m.expire(now, &out)
	m.scheduleContact(now, &out)
	return out
}

// compensatePause restarts the silence timers, abandons indirect probes and extends
// suspicions by the time that this process did not run.
func (m *Machine) compensatePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap < m.heartbeats(pauseHeartbeats) {
		return
	}
	for _, p := range m.peers {
		p.lastAlive = now
		p.probeDeadline = time.Time{}
	}
	for id, since := range m.suspectSince {
		m.suspectSince[id] = since.Add(gap)
	}
}

func (m *Machine) refreshPeers(now time.Time, out *Output) {
	if m.peersVersion == m.table.Version() {
		return
	}
	m.peersVersion = m.table.Version()
	next := map[model.HostID]*peer{}
	for _, r := range Peers(m.self.Host, m.table.Live()) {
		p := m.peers[r.Host]
		if p == nil {
			// A random phase spreads the pings to the peers over the heartbeat interval.
			phase := time.Duration(m.opt.Random() % uint64(m.opt.Heartbeat))
			p = &peer{nextPing: now.Add(phase), lastAlive: now}
		}
		p.record = r
		next[r.Host] = p
	}
	for id, p := range m.peers {
		if _, monitors := m.monitors[id]; next[id] == nil && !monitors {
			out.Drop = append(out.Drop, p.record.Control)
		}
	}
	sort.Strings(out.Drop)
	m.peers = next
}

func (m *Machine) sortedPeerIDs() []model.HostID {
	ids := make([]model.HostID, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (m *Machine) tickPeer(now time.Time, p *peer, out *Output) {
	if !now.Before(p.nextPing) {
		p.nextPing = now.Add(m.opt.Heartbeat)
		out.Sends = append(out.Sends, Send{To: p.record.Host, Address: p.record.Control, Message: Message{Kind: Ping}})
	}
	switch {
	case p.record.State != members.Alive:
	case !p.probeDeadline.IsZero() && now.After(p.probeDeadline):
		p.probeDeadline = time.Time{}
		r := p.record
		r.State = members.Suspect
		m.merge(now, r, out)
	case p.probeDeadline.IsZero() && now.Sub(p.lastAlive) > m.heartbeats(silenceHeartbeats):
		p.probeDeadline = now.Add(m.heartbeats(probeHeartbeats))
		m.requestProbes(p, out)
	}
}

// requestProbes asks up to indirectProbes random linked hosts to ping the silent peer.
func (m *Machine) requestProbes(p *peer, out *Output) {
	var helpers []members.Record
	for _, r := range m.Links() {
		if r.Host != p.record.Host && r.State == members.Alive {
			helpers = append(helpers, r)
		}
	}
	for range min(indirectProbes, len(helpers)) {
		i := int(m.opt.Random() % uint64(len(helpers)))
		h := helpers[i]
		helpers = append(helpers[:i], helpers[i+1:]...)
		out.Sends = append(out.Sends, Send{To: h.Host, Address: h.Control, Message: Message{
			Kind: ProbeRequest, Target: p.record.Host, TargetAddress: p.record.Control,
		}})
	}
}

// merge merges a record into the table. If the record replaced the old one, merge
// updates the timers and links that depend on it and adds the record to out.
func (m *Machine) merge(now time.Time, r members.Record, out *Output) {
	old, known := m.table.Get(r.Host)
	if !m.table.Merge(r) {
		return
	}
	out.Updates = append(out.Updates, r)
	delete(m.suspectSince, r.Host)
	delete(m.deadSince, r.Host)
	switch r.State {
	case members.Suspect:
		m.suspectSince[r.Host] = now
	case members.Dead:
		m.deadSince[r.Host] = now
		delete(m.monitors, r.Host)
	}
	if known && r.State == members.Dead {
		out.Drop = append(out.Drop, old.Control)
	}
	if p := m.peers[r.Host]; p != nil {
		p.record = r
	}
}

// expire declares suspects dead when their suspicion times out. It removes expired
// relays, monitors without recent pings, and hosts that have been dead for
// DeadRetention.
func (m *Machine) expire(now time.Time, out *Output) {
	for _, id := range hostsBefore(m.suspectSince, now.Add(-m.heartbeats(suspicionHeartbeats))) {
		r, _ := m.table.Get(id)
		r.State = members.Dead
		m.merge(now, r, out)
	}
	for _, id := range hostsBefore(m.deadSince, now.Add(-DeadRetention)) {
		m.table.Remove(id)
		delete(m.deadSince, id)
	}
	for _, id := range hostsBefore(m.monitors, now.Add(-m.heartbeats(silenceHeartbeats))) {
		delete(m.monitors, id)
	}
	for nonce, r := range m.relays {
		if now.After(r.expires) {
			delete(m.relays, nonce)
		}
	}
}

// hostsBefore returns the hosts whose time is before limit, in order of host.
func hostsBefore(times map[model.HostID]time.Time, limit time.Time) []model.HostID {
	var out []model.HostID
	for id, at := range times {
		if at.Before(limit) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
