package membership

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// maxRevision is the highest revision accepted from other hosts. The bound keeps a
// refutation, which uses the next higher revision, from overflowing.
const maxRevision = 1 << 48

// Receive handles a message that was received directly from the sender. Messages from
// this host itself, without a host, or with a revision over maxRevision are ignored.
func (m *Machine) Receive(now time.Time, from Sender, msg Message) Output {
	var out Output
	if from.Host == m.self.Host || from.Host == "" || from.Revision > maxRevision {
		return out
	}
	m.mergeSender(now, from, &out)
	switch msg.Kind {
	case Ping:
		m.acceptLink(now, from)
		out.Sends = append(out.Sends, m.reply(from, Message{Kind: Ack, Nonce: msg.Nonce}))
	case Ack:
		m.relayAck(msg.Nonce, &out)
	case ProbeRequest:
		m.relayProbe(now, from, msg, &out)
	case ProbeAck:
		m.markAlive(now, msg.Target)
	}
	return out
}

// ReceiveExchange records that the sender is alive after an exchange with it.
func (m *Machine) ReceiveExchange(now time.Time, from Sender) Output {
	var out Output
	if from.Host != m.self.Host {
		m.mergeSender(now, from, &out)
	}
	return out
}

// mergeSender records that the sender is alive at its stated incarnation and revision.
func (m *Machine) mergeSender(now time.Time, from Sender, out *Output) {
	m.markAlive(now, from.Host)
	m.merge(now, from.record(), out)
}

// markAlive records a sign of life of a peer: a message from it, or a ProbeAck from a host
// that reached it.
func (m *Machine) markAlive(now time.Time, id model.HostID) {
	if p := m.peers[id]; p != nil {
		p.lastAlive = now
		p.probeDeadline = time.Time{}
	}
}

// acceptLink registers a host that monitors this one, unless MaxLinks is reached.
func (m *Machine) acceptLink(now time.Time, from Sender) {
	_, known := m.monitors[from.Host]
	if known || len(m.peers)+len(m.monitors) < MaxLinks {
		m.monitors[from.Host] = now
	}
}

// reply returns a message to the sender. If the sender is recorded as suspect or dead,
// that record is attached so that the sender can refute it.
func (m *Machine) reply(to Sender, msg Message) Send {
	s := Send{To: to.Host, Address: to.Control, Message: msg}
	if r, ok := m.table.Get(to.Host); ok && r.State != members.Alive {
		s.Payload = []members.Record{r}
	}
	return s
}

func (m *Machine) relayAck(nonce uint64, out *Output) {
	r, ok := m.relays[nonce]
	if nonce == 0 || !ok {
		return
	}
	delete(m.relays, nonce)
	out.Sends = append(out.Sends, Send{To: r.requester, Address: r.address, Message: Message{Kind: ProbeAck, Target: r.target}})
}

// maxRelays bounds the pings in flight on behalf of other hosts.
const maxRelays = 256

func (m *Machine) relayProbe(now time.Time, from Sender, msg Message, out *Output) {
	if msg.Target == m.self.Host || len(m.relays) >= maxRelays {
		return
	}
	// The nonce must not be 0, which marks a ping of this host's own.
	nonce := m.opt.Random() | 1
	m.relays[nonce] = relay{requester: from.Host, address: from.Control, target: msg.Target, expires: now.Add(m.heartbeats(probeHeartbeats))}
	out.Sends = append(out.Sends, Send{To: msg.Target, Address: msg.TargetAddress, Message: Message{Kind: Ping, Nonce: nonce}})
}

// MergeRecords merges records received from other hosts. Invalid records are skipped, and
// records about this host are refuted if needed.
func (m *Machine) MergeRecords(now time.Time, records []members.Record) Output {
	var out Output
	for _, r := range records {
		switch {
		case r.Host == "" || r.Revision > maxRevision || r.State > members.Dead:
		case r.Host == m.self.Host:
			m.refute(r, &out)
		default:
			m.mergeReceived(now, r, &out)
		}
	}
	return out
}

// refute overrides a record about this host that supersedes its own: it announces a
// higher revision. After Depart the host no longer refutes.
func (m *Machine) refute(r members.Record, out *Output) {
	if m.self.State == members.Dead || r == m.self || !r.Supersedes(m.self) {
		return
	}
	m.self.Incarnation = max(m.self.Incarnation, r.Incarnation)
	out.add(m.announceRevision(r.Revision + 1))
}

// mergeReceived merges another host's record. If the record says dead and the host is
// alive here, it is treated as a suspicion first: after a network partition heals,
// hosts can then refute their deaths before any host acts on them. The death of a host
// that announced a planned stop needs no suspicion. The death of an unknown host is
// ignored; otherwise a removed record would return from hosts that still hold it.
func (m *Machine) mergeReceived(now time.Time, r members.Record, out *Output) {
	old, known := m.table.Get(r.Host)
	if r.State == members.Dead {
		if !known {
			return
		}
		if old.State == members.Alive && !r.Leaving {
			r.State = members.Suspect
		}
	}
	m.merge(now, r, out)
}
