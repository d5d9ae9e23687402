package front

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/origins"
)

// The host at which a stream began is killed, and the other hosts still know which software began
// the stream, also one that has just started.
func TestStreamOrigins_SurviveTheHostOfTheStream(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.start("h1", "h2", "h3", "h4")
	want := origins.Origin{Service: "plain", Software: "v1"}
	hosts[0].Forwarder.origins.began(origins.Record{ID: "r1", Origin: want})
	time.Sleep(10 * originFlushInterval)
	w.kill(hosts[0])
	hosts = append(hosts, w.start("h5")...)
	for _, n := range hosts[1:] {
		if got, ok := n.Forwarder.origins.find(background, "r1", "other", sinceBoot()); !ok || got != want {
			t.Errorf("host %s found %+v, known %v", n.Settings.Host, got, ok)
		}
	}
}

// A host that is cut off from the others does not guess where a stream began.
func TestStreamOrigins_HostCutOffDoesNotGuess(t *testing.T) {
	w := newTestCluster(t)
	hosts := w.start("h1", "h2")
	_ = hosts[1].membership.conn.Close() // heartbeats from and to the host are lost from now on
	w.waitUntil("the host hears no other", func() bool { return hosts[1].peers.Count() == 0 })
	hosts[0].Forwarder.origins.began(origins.Record{ID: "r1", Origin: origins.Origin{Service: "plain", Software: "v2"}})
	time.Sleep(10 * originFlushInterval)
	if got, ok := hosts[1].Forwarder.origins.find(background, "r1", "plain", sinceBoot()); ok {
		t.Errorf("the host that is cut off takes %+v for the origin", got)
	}
}
