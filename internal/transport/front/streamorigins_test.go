package front

import (
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/origins"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
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

// A host that is cut off from the others and from the store does not guess where a stream began,
// although it has seen one software version only since the fleet first started: another one may have
// appeared meanwhile. While it reaches the store it is sure.
func TestStreamOrigins_HostCutOffDoesNotGuess(t *testing.T) {
	w := newTestCluster(t)
	s := w.settings("h1")
	s.FirstStart = true
	n := w.startWith(s)
	w.waitUntil("the host is ready", n.Ready)
	w.waitUntil("the software of the first stream is recorded", func() bool {
		return n.Forwarder.origins.mayBegin(background, origins.Origin{Service: "plain"})
	})
	if _, ok := n.Forwarder.origins.find(background, "r1", "plain", sinceBoot()); !ok {
		t.Error("the only software version is not taken for the origin while the store is reached")
	}
	n.store.refusing.Store(true)
	if got, ok := n.Forwarder.origins.find(background, "r2", "plain", sinceBoot()); ok {
		t.Errorf("the host that is cut off takes %+v for the origin", got)
	}
}

// Guards against a take-up that is refused because the host does not have the list of endpoints yet, as right after its
// start: the list arrives within the time that a take-up waits for a current one.
func TestStreamOrigins_WaitForTheFirstList(t *testing.T) {
	w := newTestCluster(t)
	s := w.settings("h1")
	s.FirstStart = true
	n := w.startWith(s)
	w.waitUntil("the host is ready", n.Ready)
	want := origins.Origin{Service: "late", Software: "v1"}
	w.waitUntil("the software of the first stream is recorded", func() bool { return n.Forwarder.origins.mayBegin(background, want) })
	w.put("endpoints/l0", catalog.Endpoint{ID: "l0", Service: "late", Software: "v1", Address: "l0:1", Zone: "a", Slots: 8})
	if got, ok := n.Forwarder.origins.find(background, "r1", "late", sinceBoot()); !ok || got != want {
		t.Errorf("found %+v, known %v, want %+v", got, ok, want)
	}
	if got, ok := n.Forwarder.origins.find(background, "r1", "other", sinceBoot()); ok {
		t.Errorf("a service without endpoints has the origin %+v", got)
	}
}
