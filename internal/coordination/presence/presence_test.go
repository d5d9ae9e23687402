package presence

import (
	"testing"
	"time"
)

var testStart = time.Unix(1000, 0)

func heartbeat(host string, incarnation int64, sequence uint64) Heartbeat {
	return Heartbeat{Member: Member{Host: host, Incarnation: incarnation, PeerAddress: host + ":1", Ready: true, Protocol: protocolHubs}, Sequence: sequence}
}

// A host must be alive until silenceTimeout after its last heartbeat, and a heartbeat
// after that must report that it appeared again.
func TestTable_SilenceTimeout(t *testing.T) {
	table := NewTable(Member{Host: "h1"}, FullMeshHosts)
	if _, appeared := table.Receive(testStart, heartbeat("h2", 1, 1)); !appeared {
		t.Fatal("a new host was not reported as appeared")
	}
	if !table.Alive(testStart.Add(silenceTimeout-1), "h2") || table.Alive(testStart.Add(silenceTimeout), "h2") {
		t.Fatal("the host is not alive exactly until the silence timeout")
	}
	table.Tick(testStart.Add(silenceTimeout - 1))
	if got := table.Tick(testStart.Add(silenceTimeout)); len(got) != 1 || got[0].Host != "h2" {
		t.Fatalf("hosts that left: %v, want h2", got)
	}
	if _, appeared := table.Receive(testStart.Add(silenceTimeout), heartbeat("h2", 1, 2)); !appeared {
		t.Fatal("a host that returned was not reported as appeared")
	}
}

// Datagrams arrive late, reordered or duplicated. Heartbeats that are older than the last
// one, come from the own host or name no host must be ignored.
func TestReceive_StaleHeartbeatsIgnored(t *testing.T) {
	table := NewTable(Member{Host: "h1"}, FullMeshHosts)
	table.Receive(testStart, heartbeat("h2", 2, 5))
	for _, h := range []Heartbeat{heartbeat("h2", 1, 9), heartbeat("h2", 2, 5), heartbeat("h2", 2, 4), heartbeat("h1", 9, 9), {}} {
		if accepted, _ := table.Receive(testStart, h); accepted {
			t.Fatalf("accepted stale or invalid heartbeat %+v", h)
		}
	}
	if accepted, appeared := table.Receive(testStart, heartbeat("h2", 3, 1)); !accepted || !appeared {
		t.Fatal("a new incarnation was not accepted")
	}
}

// The wall clock steps back before a host restarts, so that its new process has a lower incarnation. It must
// learn of that from the hosts that ignore it, or from their roster, or it stays lost for silentRetention.
func TestReceive_RestartAfterClockStepBack(t *testing.T) {
	for name, inform := range map[string]func(peer, restarted *Table){
		"by a reply": func(peer, restarted *Table) {
			ignored := Heartbeat{Member: restarted.Self(), Sequence: 1}
			if accepted, _ := peer.Receive(testStart, ignored); accepted {
				t.Fatal("a heartbeat of a lower incarnation was accepted")
			}
			m, ok := peer.Superseding(ignored)
			if !ok {
				t.Fatal("no record supersedes the ignored heartbeat")
			}
			reply := heartbeat("h1", 1, 1)
			reply.Changed = []Member{m}
			restarted.Receive(testStart, reply)
		},
		"by the roster": func(peer, restarted *Table) { restarted.MergeRoster(testStart, "h1", peer.Roster(testStart)) },
	} {
		peer := NewTable(Member{Host: "h1", Incarnation: 1}, FullMeshHosts)
		peer.Receive(testStart, heartbeat("h2", 1000, 7))
		restarted := NewTable(Member{Host: "h2"}, FullMeshHosts)
		self := heartbeat("h2", 900, 0).Member
		restarted.SetSelf(self)
		inform(peer, restarted)
		restarted.SetSelf(self) // as for every heartbeat
		next := Heartbeat{Member: restarted.Self(), Sequence: 2}
		if accepted, appeared := peer.Receive(testStart, next); !accepted || !appeared {
			t.Errorf("%s: the heartbeat of incarnation %d is ignored", name, next.Incarnation)
		}
		if _, ok := peer.Superseding(next); ok {
			t.Errorf("%s: the new incarnation is superseded", name)
		}
	}
}

// A silent host must receive heartbeats until silentRetention has passed, so that the sides of
// a network partition find each other.
func TestSends_SilentHostRetention(t *testing.T) {
	table := NewTable(Member{Host: "h1"}, FullMeshHosts)
	table.Receive(testStart, heartbeat("h2", 1, 1))
	sends := func(at time.Time) int {
		for now := table.lastTick; now.Before(at); now = now.Add(Interval) {
			table.Tick(now)
		}
		table.Tick(at)
		return len(table.Sends(at).Direct)
	}
	table.Tick(testStart)
	lost := testStart.Add(5 * Interval) // the first tick at which the host is silent
	if got := sends(lost.Add(silentRetention)); got != 1 {
		t.Fatalf("%d sends to the silent host, want 1", got)
	}
	if got := sends(lost.Add(silentRetention + Interval)); got != 0 {
		t.Fatalf("%d sends to the forgotten host, want none", got)
	}
}

func candidate(host string) Candidate { return Candidate{Host: host, Ready: true} }

// Hosts must agree on the successor whatever the order of the candidates, and a draining
// host must not be the successor.
func TestSuccessor_OrderIndependent(t *testing.T) {
	a, b, c := candidate("a"), candidate("b"), candidate("c")
	first := Successor("duty", []Candidate{a, b, c})
	if first != Successor("duty", []Candidate{c, a, b}) {
		t.Fatal("successor depends on the order of the candidates")
	}
	for _, h := range []*Candidate{&a, &b, &c} {
		if h.Host == first {
			h.Draining = true
		}
	}
	if second := Successor("duty", []Candidate{a, b, c}); second == first || second == "" {
		t.Fatalf("successor without the draining host is %q", second)
	}
}

// A host that reaches the store must be preferred as successor over hosts that do not.
func TestSuccessor_StoreReachable(t *testing.T) {
	for _, reachable := range []string{"a", "b", "c"} {
		var candidates []Candidate
		for _, host := range []string{"a", "b", "c"} {
			h := candidate(host)
			h.StoreReachable = host == reachable
			candidates = append(candidates, h)
		}
		if got := Successor("duty", candidates); got != reachable {
			t.Fatalf("successor is %s, want %s", got, reachable)
		}
	}
	if got := Successor("duty", nil); got != "" {
		t.Fatalf("successor without candidates is %s", got)
	}
}
