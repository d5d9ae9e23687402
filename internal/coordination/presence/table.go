package presence

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Peer is what the table knows about another host.
type Peer struct {
	Member
	key, recordHash uint64
	// hubHash is the host's rendezvous hash as a hub, selectHash as the hub of this host.
	hubHash, selectHash uint64
	sequence            uint64
	// directAt is when the host's last heartbeat reached this host, heardAt the last sign of
	// life, directly or through a hub.
	directAt time.Time
	heardAt  time.Time
	// reported is set while the summaries of this host's hub list the host.
	reported bool
	// ownAt is the last sign of life of a host that has this host as a hub. The other hubs
	// learn of it from this host. requestedAt is when such a host last asked for summaries;
	// primary is set if it reports its loads to this host.
	ownAt       time.Time
	requestedAt time.Time
	primary     bool
	// hubAt is when the host last sent a heartbeat between hubs, summaryAt a summary.
	hubAt     time.Time
	summaryAt time.Time
	// selectedAt is when this host began to use the host as its hub; zero if it does not.
	// A hub that did not answer is not selected again before avoidUntil.
	selectedAt time.Time
	avoidUntil time.Time
	// unknownRecords counts the host's consecutive heartbeats whose rosters did not match.
	unknownRecords int
	// wasAlive is whether the host was alive at the last tick, changedAt when its record or
	// this state changed.
	wasAlive  bool
	changedAt time.Time
}

// Table holds the other hosts. It is not safe for concurrent use.
type Table struct {
	self          Member
	fullMeshHosts int
	peers         map[string]*Peer
	byKey         map[uint64]*Peer
	// hubs holds the hubs as of the last tick, possibly including this host.
	hubs map[string]bool
	// selected are the hubs that this host uses; the first is the primary one. It is empty if
	// this host is a hub.
	selected []string
	// summaryAt is when the primary hub's last summary was received.
	summaryAt       time.Time
	rosterFetchedAt time.Time
	// syncedWith is the primary hub whose roster last equaled this host's.
	syncedWith string
	lastTick   time.Time
	// nextRelayed is the first host to relay in the next heartbeat, if there are too many.
	nextRelayed int
	probed      int
	// changed is set when a host appeared, left or changed its record since the last election
	// of the hubs.
	changed bool
}

// FullMeshHosts is the number of hosts up to which every host sends heartbeats to every other
// one.
const FullMeshHosts = 16

// NewTable returns an empty table for host self, which never contains self. Hosts use hubs in
// fleets of more than fullMeshHosts hosts.
func NewTable(self Member, fullMeshHosts int) *Table {
	self.Protocol = protocolHubs
	t := &Table{self: self, fullMeshHosts: fullMeshHosts, peers: map[string]*Peer{}, byKey: map[uint64]*Peer{}}
	t.hubs = map[string]bool{self.Host: true}
	return t
}

// SetSelf updates the record of this host. The caller sets all fields but Revision, which
// increases if another field changed, and Protocol. The incarnation never decreases.
func (t *Table) SetSelf(m Member) {
	m.Revision, m.Protocol = t.self.Revision, protocolHubs
	m.Incarnation = max(m.Incarnation, t.self.Incarnation)
	if m != t.self {
		m.Revision++
		t.self, t.changed = m, true
	}
}

// Self returns the record of this host.
func (t *Table) Self() Member { return t.self }

// supersede gives this host a higher incarnation if the record m that another host has of it is of a
// higher one: the wall clock was ahead when the previous process started, and the others ignore this one.
func (t *Table) supersede(m Member) {
	if m.Host == t.self.Host && m.Incarnation > t.self.Incarnation && m.Incarnation < math.MaxInt64 {
		t.self.Incarnation, t.changed = m.Incarnation+1, true
	}
}

// Superseding returns the record that makes this host ignore a heartbeat because it is of a higher
// incarnation. The sender must learn of it, unless it is a former process.
func (t *Table) Superseding(h Heartbeat) (m Member, ok bool) {
	p, ok := t.peers[h.Host]
	if !ok || h.Incarnation >= p.Incarnation {
		return Member{}, false
	}
	return p.Member, true
}

// Receive processes a heartbeat. accepted is false for heartbeats of this host and for stale
// ones. appeared is true if the host was unknown, silent, or of another incarnation before.
func (t *Table) Receive(now time.Time, h Heartbeat) (accepted, appeared bool) {
	if h.Host == "" || h.Host == t.self.Host {
		return false, false
	}
	for _, m := range h.Changed {
		t.supersede(m)
	}
	p, known := t.peers[h.Host]
	if known && (h.Incarnation < p.Incarnation || h.Incarnation == p.Incarnation && h.Sequence <= p.sequence) {
		return false, false
	}
	appeared = !known || !t.alive(now, p) || p.Incarnation != h.Incarnation
	p = t.merge(now, h.Member)
	p.sequence, p.directAt, p.heardAt = h.Sequence, now, now
	switch h.Kind {
	case KindToHub:
		p.requestedAt, p.ownAt, p.primary = now, now, h.Primary
		t.receiveRelayed(now, p, &h, true)
	case KindBetweenHubs:
		p.hubAt = now
		t.receiveRelayed(now, p, &h, false)
	case KindSummary:
		t.receiveSummary(now, p, &h)
	case KindDirect:
		t.compareRosterSize(now, p, &h)
	}
	return true, appeared
}

// merge adds or updates the record of a host.
func (t *Table) merge(now time.Time, m Member) *Peer {
	p := t.peers[m.Host]
	switch {
	case p == nil:
		p = &Peer{Member: m, key: hostKey(m.Host), hubHash: rendezvousHash(hubSubject, m.Host), selectHash: rendezvousHash(t.self.Host, m.Host)}
		t.peers[m.Host], t.byKey[p.key] = p, p
	case m.newer(&p.Member):
		if m.Incarnation != p.Incarnation {
			p.sequence, p.reported = 0, false
		}
		p.Member = m
	case m.Protocol == 0:
		p.Member = m // builds without hubs have no revisions
		return p
	default:
		return p
	}
	p.recordHash, p.changedAt, t.changed = m.hash(), now, true
	return p
}

func (t *Table) alive(now time.Time, p *Peer) bool {
	if now.Sub(p.heardAt) < silenceTimeout {
		return true
	}
	retention := rosterRetention
	if t.IsHub() {
		retention = silenceTimeout
	}
	return p.reported && now.Sub(t.summaryAt) < retention
}

// Alive reports whether a host is known and alive at now.
func (t *Table) Alive(now time.Time, host string) bool {
	p, ok := t.peers[host]
	return ok && t.alive(now, p)
}

// LastHeard returns the last sign of life of a host, directly or through a hub, zero if there is none.
func (t *Table) LastHeard(host string) time.Time {
	if p, ok := t.peers[host]; ok {
		return p.heardAt
	}
	return time.Time{}
}

// Get returns the record of a host if it is alive at now.
func (t *Table) Get(now time.Time, host string) (Member, bool) {
	p, ok := t.peers[host]
	if !ok || !t.alive(now, p) {
		return Member{}, false
	}
	return p.Member, true
}

// Peers returns the records of the hosts that are alive at now, sorted by name.
func (t *Table) Peers(now time.Time) []Member {
	out := make([]Member, 0, len(t.peers))
	for _, p := range t.peers {
		if t.alive(now, p) {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Count returns the number of hosts that are alive at now.
func (t *Table) Count(now time.Time) int {
	n := 0
	for _, p := range t.peers {
		if t.alive(now, p) {
			n++
		}
	}
	return n
}

// Known returns the number of hosts, including this one, that are not draining and are alive or
// have been silent for less than silentRetention, and how many of them are alive. A silent host may
// be running and only be cut off from this one.
func (t *Table) Known(now time.Time) (known, alive int) {
	if !t.self.Draining {
		known, alive = 1, 1
	}
	for _, p := range t.peers {
		if p.Draining {
			continue
		}
		known++
		if t.alive(now, p) {
			alive++
		}
	}
	return known, alive
}

// Addresses returns the sorted addresses of all known hosts.
func (t *Table) Addresses() []string {
	out := make([]string, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, p.PeerAddress)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Candidates returns the hosts that are alive at now, sorted by name, as candidates for a
// task.
func (t *Table) Candidates(now time.Time) []Candidate {
	var out []Candidate
	for _, m := range t.Peers(now) {
		out = append(out, t.candidate(m))
	}
	return out
}

func (t *Table) candidate(m Member) Candidate {
	return Candidate{Host: m.Host, Ready: m.Ready, Draining: m.Draining, StoreReachable: m.StoreReachable, CutOff: m.CutOff, Hub: t.hubs[m.Host]}
}

// LeftHost is a host that ceased to be alive. Own is set if this host received its heartbeats,
// so that it is the one to log the loss.
type LeftHost struct {
	Host string
	Own  bool
}

// SmallFleet reports whether all known hosts exchange heartbeats with each other.
func (t *Table) SmallFleet() bool { return len(t.peers) < t.fullMeshHosts }

// Tick advances the table to now. It forgets hosts that have been silent for longer than
// silentRetention and selects the hubs. It returns the hosts that ceased to be alive since
// the last tick. Call it at least once an Interval.
func (t *Table) Tick(now time.Time) (left []LeftHost) {
	t.compensatePause(now)
	t.lastTick = now
	for name, p := range t.peers {
		alive := t.alive(now, p)
		if alive != p.wasAlive {
			p.wasAlive, p.changedAt, t.changed = alive, now, true
			if !alive {
				left = append(left, LeftHost{Host: name, Own: t.SmallFleet() || !p.ownAt.IsZero()})
			}
		}
		if !alive && now.Sub(later(p.heardAt, p.changedAt)) > silentRetention {
			delete(t.peers, name)
			delete(t.byKey, p.key)
		}
	}
	slices.SortFunc(left, func(a, b LeftHost) int { return cmp.Compare(a.Host, b.Host) })
	if t.changed {
		t.hubs = t.electHubs(now)
	}
	if t.changed || !t.hubsAnswer(now) {
		t.selectHubs(now)
	}
	t.changed = false
	return left
}

// compensatePause moves all times by the length of a pause of this process: heartbeats may
// have gone unread, and a hub that took the silence for failures would report the whole fleet
// as gone.
func (t *Table) compensatePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	if t.lastTick.IsZero() || gap < pauseThreshold {
		return
	}
	for _, p := range t.peers {
		for _, at := range []*time.Time{&p.directAt, &p.heardAt, &p.ownAt, &p.requestedAt, &p.hubAt, &p.summaryAt, &p.selectedAt} {
			if !at.IsZero() {
				*at = earlier(now, at.Add(gap))
			}
		}
	}
	if !t.summaryAt.IsZero() {
		t.summaryAt = earlier(now, t.summaryAt.Add(gap))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
