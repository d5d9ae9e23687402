package front

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/internal/coordination/origins"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
)

// The tests of this file guard against streams joined from two software versions after the hosts that
// remembered where they began were killed, all at once or one by one.

// runSoftware makes the plain service consist of one endpoint of each of the given software versions.
func (w *testCluster) runSoftware(versions ...string) {
	w.t.Helper()
	page, err := w.store.List(background, "endpoints/p", "", 0)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, o := range page.Objects {
		if err := w.store.Delete(background, o.Key, o.Version); err != nil {
			w.t.Fatal(err)
		}
	}
	for _, v := range versions {
		id := "p-" + v
		w.put("endpoints/"+id, catalog.Endpoint{ID: id, Service: "plain", Address: id + ":1", Zone: "a", Slots: 8, Software: v})
	}
}

// listed returns a condition for waitUntil: the hosts list exactly the given software versions.
func listed(hosts []*testNode, versions ...string) func() bool {
	return func() bool {
		for _, n := range hosts {
			found := map[string]bool{}
			for _, e := range n.Forwarder.fleet.Endpoints() {
				if e.Service == "plain" {
					found[e.Software] = true
				}
			}
			for _, v := range versions {
				if !found[v] {
					return false
				}
			}
			if len(found) != len(versions) {
				return false
			}
		}
		return true
	}
}

// restartAll kills all hosts at once and starts them again with settings that claim that the fleet
// starts for the first time, as those of a restarted process may.
func (w *testCluster) restartAll(hosts []*testNode, between func()) []*testNode {
	w.t.Helper()
	for _, n := range hosts {
		w.kill(n)
	}
	between()
	var out []*testNode
	for _, n := range hosts {
		s := n.Settings
		s.FirstStart = true
		out = append(out, w.startWith(s))
	}
	w.waitUntil("the restarted hosts are ready", func() bool {
		for _, n := range out {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	return out
}

// beginStream begins a stream at a software version as the host does before it passes on the first
// event.
func beginStream(t *testing.T, n *testNode, id, software string) origins.Origin {
	t.Helper()
	e, ok := n.Forwarder.fleet.Pick(placement.Query{Service: "plain", Software: software})
	if !ok {
		t.Fatal("no endpoint")
	}
	n.Forwarder.fleet.End(e, placement.OK, 0)
	origin := origins.Origin{Service: e.Service, Software: e.Software}
	if !n.Forwarder.origins.mayBegin(background, origin) {
		t.Fatalf("a stream may not begin at %+v", origin)
	}
	n.Forwarder.origins.began(origins.Record{ID: id, Origin: origin})
	return origin
}

func newStreamCluster(t *testing.T, versions ...string) (*testCluster, []*testNode) {
	w := newTestCluster(t)
	w.runSoftware(versions...)
	s := w.settings("h1")
	s.FirstStart = true
	hosts := []*testNode{w.startWith(s)}
	hosts = append(hosts, w.start("h2", "h3")...)
	w.waitUntil("the hosts list the endpoints", listed(hosts, versions...))
	return w, hosts
}

// All hosts are killed and restarted, and a stream that they no longer know was begun by software
// that is gone, or that is in service beside another version which some hosts do not see.
func TestRejoin_AllHostsRestarted(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []string
		// known is the version at which the stream may go on; empty if none.
		known string
	}{
		{"OldVersionGoneBeforeTheFirstList", []string{"v1"}, []string{"v2"}, ""},
		{"BothInService", []string{"v1"}, []string{"v1", "v2"}, ""},
		{"NewVersionGone", []string{"v1", "v2"}, []string{"v1"}, ""},
		{"OldVersionLeftBefore", []string{"v1", "v2"}, []string{"v2"}, ""},
		{"OneVersion", []string{"v1"}, []string{"v1"}, "v1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w, hosts := newStreamCluster(t, c.before...)
			begun := map[string]origins.Origin{}
			for i := range 12 {
				id := fmt.Sprintf("r%d", i)
				begun[id] = beginStream(t, hosts[i%len(hosts)], id, c.before[i%len(c.before)])
			}
			hosts = w.restartAll(hosts, func() { w.runSoftware(c.after...) })
			w.waitUntil("the restarted hosts list the endpoints", listed(hosts, c.after...))
			for id, want := range begun {
				for _, n := range hosts {
					got, ok := n.Forwarder.origins.find(background, id, "plain", sinceBoot())
					if ok && got != want {
						t.Errorf("stream %s of %s is taken up at %s", id, want.Software, got.Software)
					}
					if !ok && len(c.before)+len(c.after) > 2 && n.Forwarder.origins.unknownFor() != origins.Retention {
						t.Errorf("stream %s of %s: refused with the advice to come back in %v, want %v", id, want.Software, n.Forwarder.origins.unknownFor(), origins.Retention)
					}
					if ok != (c.known != "") {
						t.Errorf("stream %s of %s: origin known %v, want %v", id, want.Software, ok, c.known != "")
					}
				}
			}
		})
	}
}

// A host that starts for the first time joins a fleet whose other hosts were all killed; its own short
// life proves nothing.
func TestRejoin_NewHostAfterTheKill(t *testing.T) {
	t.Parallel()
	w, hosts := newStreamCluster(t, "v1")
	want := beginStream(t, hosts[0], "r1", "v1")
	for _, n := range hosts {
		w.kill(n)
	}
	w.runSoftware("v2")
	s := w.settings("h9")
	s.FirstStart = true
	n := w.startWith(s)
	w.waitUntil("the new host lists the endpoints", listed([]*testNode{n}, "v2"))
	if got, ok := n.Forwarder.origins.find(background, "r1", "plain", sinceBoot()); ok {
		t.Errorf("a stream of %s is taken up at %s", want.Software, got.Software)
	}
}

// A route that was moved to another service leads to software that did not begin the stream.
func TestRejoin_RouteMovedToAnotherService(t *testing.T) {
	t.Parallel()
	w, hosts := newStreamCluster(t, "v1")
	beginStream(t, hosts[0], "r1", "v1")
	hosts = w.restartAll(hosts, func() {
		w.put("endpoints/q", catalog.Endpoint{ID: "q", Service: "other", Address: "q:1", Zone: "a", Slots: 8, Software: "v7"})
	})
	for _, n := range hosts {
		if got, ok := n.Forwarder.origins.find(background, "r1", "other", sinceBoot()); ok {
			t.Errorf("a stream of the service plain is taken up at %+v", got)
		}
	}
}

// The store does not serve a restarted host: it cannot know what ran before, so it refuses at once.
func TestRejoin_StoreSilentAfterTheKill(t *testing.T) {
	t.Parallel()
	w, hosts := newStreamCluster(t, "v1")
	beginStream(t, hosts[0], "r1", "v1")
	hosts = w.restartAll(hosts, func() {})
	w.waitUntil("the restarted hosts list the endpoints", listed(hosts, "v1"))
	for _, n := range hosts {
		n.store.refusing.Store(true)
	}
	began := time.Now()
	if got, ok := hosts[0].Forwarder.origins.find(background, "r1", "plain", sinceBoot()); ok {
		t.Errorf("a stream is taken up at %+v without the store", got)
	}
	if wait := hosts[0].Forwarder.origins.unknownFor(); wait != 0 {
		t.Errorf("refused with the advice to come back in %v, although the store may answer at any time", wait)
	}
	if took := time.Since(began); took > originLookupTimeout+freshListTimeout+time.Second {
		t.Errorf("the refusal took %v", took)
	}
}

// A software version that the store does not record begins no stream: after a kill nobody would know
// that it had.
func TestRejoin_UnrecordedVersionBeginsNoStream(t *testing.T) {
	t.Parallel()
	w, hosts := newStreamCluster(t, "v1")
	beginStream(t, hosts[0], "r1", "v1")
	prefix := streamSoftwareKey
	for _, n := range hosts {
		n.store.refusedWrites.Store(&prefix) // otherwise the host writes through a peer
	}
	w.runSoftware("v2")
	w.waitUntil("the hosts list the new version", listed(hosts, "v2"))
	ctx, cancel := context.WithTimeout(background, 5*time.Second)
	defer cancel()
	if hosts[0].Forwarder.origins.mayBegin(ctx, origins.Origin{Service: "plain", Software: "v2"}) {
		t.Error("a stream may begin at a version that could not be recorded")
	}
	hosts[1].store.refusedWrites.Store(nil)
	if !hosts[1].Forwarder.origins.mayBegin(ctx, origins.Origin{Service: "plain", Software: "v2"}) {
		t.Error("a stream may not begin at a version that was recorded")
	}
}

// Many streams that begin at a version that is not recorded yet must share one update of the record: one
// after the other they would exceed streamSoftwareTimeout, and be refused although it is recorded.
func TestRejoin_StreamsShareTheUpdate(t *testing.T) {
	t.Parallel()
	w, hosts := newStreamCluster(t, "v1")
	n := hosts[0]
	const streams = 100
	n.store.softwareReads.Store(0)
	n.store.softwareReadDelay.Store(int64(streamSoftwareTimeout / 20))
	w.runSoftware("v1", "v2")
	w.waitUntil("the host lists the new version", listed(hosts[:1], "v1", "v2"))
	var refused atomic.Int64
	var begun sync.WaitGroup
	for range streams {
		begun.Go(func() {
			if !n.Forwarder.origins.mayBegin(background, origins.Origin{Service: "plain", Software: "v2"}) {
				refused.Add(1)
			}
		})
	}
	begun.Wait()
	if refused.Load() > 0 {
		t.Errorf("%d of %d streams may not begin", refused.Load(), streams)
	}
	// Reads of the keeper and a repeated one after a conflict are allowed for.
	if got := n.store.softwareReads.Load(); got > 5 {
		t.Errorf("%d reads of the record for %d streams", got, streams)
	}
}

// Streams that are taken up again one after the other must not read the record once for each of them.
func TestRejoin_StreamsShareReads(t *testing.T) {
	t.Parallel()
	w, hosts := newStreamCluster(t, "v1")
	n := hosts[0]
	w.waitUntil("the software of a stream is recorded", func() bool {
		return n.Forwarder.origins.mayBegin(background, origins.Origin{Service: "plain", Software: "v1"})
	})
	n.store.softwareReads.Store(0)
	const streams, period = 200, time.Second
	var unknown atomic.Int64
	var found sync.WaitGroup
	began := time.Now()
	for range streams {
		found.Go(func() {
			if _, ok := n.Forwarder.origins.software.only(background, sinceBoot()); !ok {
				unknown.Add(1)
			}
		})
		time.Sleep(period / streams)
	}
	found.Wait()
	// Two are allowed for the keeper.
	if most := int64(time.Since(began)/streamSoftwareReadSpacing) + 3; n.store.softwareReads.Load() > most {
		t.Errorf("%d reads of the record for %d streams in %v, want at most %d", n.store.softwareReads.Load(), streams, time.Since(began), most)
	}
	if unknown.Load() > 0 {
		t.Errorf("%d streams of the only version are not known", unknown.Load())
	}
}

// A host is cut off from the store and the other hosts, or stands still, while servers of a new software version join. A stream
// that began there through another host is taken up at it. It must go on at the new version or be refused, also once the host
// is back and before it has learned anything new.
func TestRejoin_HostOutOfStep(t *testing.T) {
	for name, sameID := range map[string]bool{"endpoints with new IDs": false, "endpoints with the former IDs": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, hosts := newStreamCluster(t, "v1")
			out, others := hosts[0], hosts[1:]
			beginStream(t, out, "old", "v1")
			out.store.refusing.Store(true)
			_ = out.membership.conn.Close() // its heartbeats and those to it are lost from now on
			w.waitUntil("the host hears from no other", func() bool { return out.peers.Count() == 0 })
			if sameID {
				w.put("endpoints/p-v1", catalog.Endpoint{ID: "p-v1", Service: "plain", Address: "p-v1:1", Zone: "a", Slots: 8, Software: "v2", Incarnation: 2})
			} else {
				w.runSoftware("v2")
			}
			w.waitUntil("the other hosts list the new version", listed(others, "v2"))
			want := beginStream(t, others[0], "new", "v2")
			takeUps := func(when string) {
				for _, id := range []string{"old", "new"} {
					origin := origins.Origin{Service: "plain", Software: "v1"}
					if id == "new" {
						origin = want
					}
					c := &call{f: out.Forwarder, route: &catalog.Route{Targets: []catalog.Target{{Service: "plain", Weight: 1}}},
						in: &Inbound{ResumeAfter: 1, Resumes: id}, service: "plain", deadline: time.Now().Add(5 * time.Second)}
					if err := c.findOrigin(background); err != nil {
						continue // refused
					}
					e, err := c.pickForStream(background, placement.Query{Service: c.service, Software: c.software})
					if err != nil {
						continue
					}
					out.Forwarder.fleet.End(e, placement.Cancelled, 0)
					// No endpoint of v1 is left: they have new IDs or were replaced under theirs.
					if e.ID == "p-v1" && !sameID {
						continue // nobody answers there
					}
					if origin.Software != "v2" {
						t.Errorf("%s: stream %q of %s is taken up at %s, which runs v2", when, id, origin.Software, e.ID)
					}
				}
			}
			time.Sleep(2100 * time.Millisecond)
			takeUps("out of step")
			out.store.refusing.Store(false)
			takeUps("reaches the store again")
			w.waitUntil("the host lists the new version", listed([]*testNode{out}, "v2"))
			takeUps("in step")
		})
	}
}
