package presence

import (
	"testing"
	"time"
)

var testStart = time.Unix(1000, 0)

func heartbeat(host string, incarnation int64, sequence uint64) Heartbeat {
	return Heartbeat{Host: host, Incarnation: incarnation, Sequence: sequence, PeerAddress: host + ":1", Ready: true}
}

// A host must be alive until silenceTimeout after its last heartbeat, and a heartbeat
// after that must report that it appeared again.
func TestTable_SilenceTimeout(t *testing.T) {
	table := NewTable("h1")
	if _, appeared := table.Receive(testStart, heartbeat("h2", 1, 1)); !appeared {
		t.Fatal("a new host was not reported as appeared")
	}
	if !table.Alive(testStart.Add(silenceTimeout-1), "h2") || table.Alive(testStart.Add(silenceTimeout), "h2") {
		t.Fatal("the host is not alive exactly until the silence timeout")
	}
	if got := table.Silent(testStart.Add(silenceTimeout)); len(got) != 1 {
		t.Fatalf("%d hosts are silent, want 1", len(got))
	}
	if _, appeared := table.Receive(testStart.Add(silenceTimeout), heartbeat("h2", 1, 2)); !appeared {
		t.Fatal("a host that returned was not reported as appeared")
	}
}

// Datagrams arrive late, reordered or duplicated. Heartbeats that are older than the last
// one, come from the own host or name no host must be ignored.
func TestReceive_StaleHeartbeatsIgnored(t *testing.T) {
	table := NewTable("h1")
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

// A silent host must receive heartbeats until silentRetention has passed.
func TestAddresses_SilentHostRetention(t *testing.T) {
	table := NewTable("h1")
	table.Receive(testStart, heartbeat("h2", 1, 1))
	if got := table.Addresses(testStart.Add(silentRetention)); len(got) != 1 {
		t.Fatalf("addresses are %v, want 1", got)
	}
	if got := table.Addresses(testStart.Add(silentRetention + 1)); len(got) != 0 {
		t.Fatalf("addresses are %v, want none", got)
	}
}

// Hosts must agree on the successor whatever the order of the candidates, and a draining
// host must not be the successor.
func TestSuccessor_OrderIndependent(t *testing.T) {
	a, b, c := heartbeat("a", 1, 1), heartbeat("b", 1, 1), heartbeat("c", 1, 1)
	first := Successor("duty", []Heartbeat{a, b, c})
	if first != Successor("duty", []Heartbeat{c, a, b}) {
		t.Fatal("successor depends on the order of the candidates")
	}
	for _, h := range []*Heartbeat{&a, &b, &c} {
		if h.Host == first {
			h.Draining = true
		}
	}
	if second := Successor("duty", []Heartbeat{a, b, c}); second == first || second == "" {
		t.Fatalf("successor without the draining host is %q", second)
	}
}

// A host that reaches the store must be preferred as successor over hosts that do not.
func TestSuccessor_StoreReachable(t *testing.T) {
	for _, reachable := range []string{"a", "b", "c"} {
		var candidates []Heartbeat
		for _, host := range []string{"a", "b", "c"} {
			h := heartbeat(host, 1, 1)
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
