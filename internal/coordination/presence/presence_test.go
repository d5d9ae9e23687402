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
