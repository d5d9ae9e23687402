package membership

import (
	"time"

	"oleanderfall.example/oleanderfall/internal/state/members"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// maxRevision bounds the revisions that are taken from others, so that raising one
// never overflows.
const maxRevision = 1 << 48

// Receive takes a message that came directly from its sender.
func (m *Machine) Receive(now time.Time, from Sender, msg Message) Output {
	var out Output
	if from.Host == m.self.Host || from.Host == "" || from.Revision > maxRevision {
		return out
	}
	m.heard(now, from, &out)
	switch msg.Kind {
	case Ping:
		m.acceptLink(now, from)
		out.Sends = append(out.Sends, m.answer(from, Message{Kind: Ack, Nonce: msg.Nonce}))
	case Ack:
		m.relayAck(msg.Nonce, &out)
	case ProbeRequest:
		m.probeFor(now, from, msg, &out)
	case ProbeAck:
		m.alive(now, msg.Target)
	}
	return out
}

// Greet books that the sender is alive, as an exchange with it shows.
func (m *Machine) Greet(now time.Time, from Sender) Output {
	var out Output
	if from.Host != m.self.Host {
		m.heard(now, from, &out)
	}
	return out
}

// heard books that the sender is alive at the version it states.
func (m *Machine) heard(now time.Time, from Sender, out *Output) {
	m.alive(now, from.Host)
	m.take(now, from.record(), out)
}

func (m *Machine) alive(now time.Time, id model.HostID) {
	if p := m.peers[id]; p != nil {
		p.heard = now
		p.probeUntil = time.Time{}
	}
}

// acceptLink notes a host that watches this one, within the bound on peers.
func (m *Machine) acceptLink(now time.Time, from Sender) {
	_, known := m.accepted[from.Host]
	if known || len(m.peers)+len(m.accepted) < MaxPeers {
		m.accepted[from.Host] = now
	}
}

// answer returns a message to the sender. A sender that is suspected or thought dead
// at its present version is told, so that it refutes.
func (m *Machine) answer(to Sender, msg Message) Send {
	s := Send{To: to.Host, Address: to.Control, Message: msg}
	if r, ok := m.table.Get(to.Host); ok && r.State != members.Alive {
		s.Tell = []members.Record{r}
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

const maxRelays = 256

func (m *Machine) probeFor(now time.Time, from Sender, msg Message, out *Output) {
	if msg.Target == m.self.Host || len(m.relays) >= maxRelays {
		return
	}
	nonce := m.opt.Random() | 1
	m.relays[nonce] = relay{requester: from.Host, address: from.Control, target: msg.Target, expires: now.Add(m.heartbeats(probeHeartbeats))}
	out.Sends = append(out.Sends, Send{To: msg.Target, Address: msg.TargetAddress, Message: Message{Kind: Ping, Nonce: nonce}})
}

// Learn takes records heard from others.
func (m *Machine) Learn(now time.Time, records []members.Record) Output {
	var out Output
	for _, r := range records {
		switch {
		case r.Host == "" || r.Revision > maxRevision || r.State > members.Dead:
		case r.Host == m.self.Host:
			m.refute(r, &out)
		default:
			m.learnOther(now, r, &out)
		}
	}
	return out
}

// refute answers a claim about this host that is not its own word.
func (m *Machine) refute(r members.Record, out *Output) {
	if m.self.State == members.Dead || r == m.self || !r.Supersedes(m.self) {
		return
	}
	m.self.Incarnation = max(m.self.Incarnation, r.Incarnation)
	out.add(m.announce(r.Revision + 1))
}

// learnOther takes another host's record. The death of a host that is alive here
// counts as a suspicion first, so that after two halves of the fleet meet again the
// hosts refute their deaths before anybody acts on them. A host's own word that it
// left needs no suspicion. An unknown host's death is no news.
func (m *Machine) learnOther(now time.Time, r members.Record, out *Output) {
	old, known := m.table.Get(r.Host)
	if r.State == members.Dead {
		if !known {
			return
		}
		if old.State == members.Alive && !r.Leaving {
			r.State = members.Suspect
		}
	}
	m.take(now, r, out)
}
